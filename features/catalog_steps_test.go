package features

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetsim"
	"github.com/cucumber/godog"
)

// catalogGiven returns the steps that change the inputs of a catalog in scenarios without a fleet.
func catalogGiven(w *world) []step {
	return []step{
		{`^the meshes$`, func(t *godog.Table) {
			w.draft.Inputs.Meshes = nil
			w.inputsChanged = true
			eachRow(t, func(cell func(string) string) {
				w.draft.Inputs.Meshes = append(w.draft.Inputs.Meshes, catalog.Mesh{
					Name:        cell("mesh"),
					Owners:      splitList(cell("owners")),
					Precedence:  parseNumber(cell("precedence")),
					MaxServices: parseNumber(cell("limit")),
				})
			})
		}},
		{`^(\w+) publishes(?: in epoch (\d+))?$`, func(mesh, epoch string, t *godog.Table) {
			var services []catalog.Service
			eachRow(t, func(cell func(string) string) {
				service := fleetsim.NewService(mesh, cell("name"), cell("owner"), cell("contract"))
				service.Origin = cell("origin")
				service.Via = splitList(cell("via"))
				if minutes := cell("drains for"); minutes != "" {
					service.DrainBy = w.agreedTime + time.Duration(parseNumber(minutes))*time.Minute
				}
				services = append(services, service)
			})
			w.publish(mesh, epoch, services)
		}},
		{`^(\w+) publishes (\d+) services$`, func(mesh string, n int) {
			var services []catalog.Service
			for i := range n {
				services = append(services, fleetsim.NewService(mesh, fmt.Sprint("s", i), "team", fmt.Sprint("c", i)))
			}
			w.publish(mesh, "", services)
		}},
		{`^(\w+) publishes the alias "(.*)" of "(.*)"$`, func(mesh, name, target string) {
			p := w.publication(mesh)
			w.publish(mesh, "", p.Services)
			last := &w.draft.Inputs.Publications[len(w.draft.Inputs.Publications)-1]
			last.Aliases = append(slices.Clone(p.Aliases), catalog.Alias{Name: name, To: target})
		}},
		{`^an override gives "(.*)" to (\w+)$`, func(name, owner string) {
			w.draft.Inputs.Overrides = append(w.draft.Inputs.Overrides, catalog.Override{Name: name, Owner: owner, SetBy: operatorName})
			w.inputsChanged = true
		}},
		{`^(\w+) is lost$`, func(mesh string) {
			w.draft.Inputs.Lost = append(w.draft.Inputs.Lost, catalog.Loss{Mesh: mesh, Since: w.agreedTime})
			w.inputsChanged = true
		}},
		{`^(\w+) returns$`, func(mesh string) {
			w.draft.Inputs.Lost = slices.DeleteFunc(w.draft.Inputs.Lost, func(l catalog.Loss) bool { return l.Mesh == mesh })
			w.inputsChanged = true
		}},
		{`^(\d+) minutes pass$`, func(n int) { w.advanceAgreedTime(time.Duration(n) * time.Minute) }},
		{`^the catalog is merged$`, func() { w.mergedCatalog() }},
	}
}

// catalogThen returns the expectations about the merged catalog.
func catalogThen(w *world) []step {
	resolve := func(name string) (*catalog.Entry, error) {
		entry, ok := w.mergedCatalog().Resolve(name)
		if !ok {
			return nil, fmt.Errorf("%q does not resolve: %s", name, w.state.Explain(name))
		}
		return entry, nil
	}
	return []step{
		{`^"(.*)" resolves to (\w+)'s service at "(.*?)"(?: by "(.*)")?$`, func(name, owner, providers, cause string) error {
			entry, err := resolve(name)
			if err != nil {
				return err
			}
			var at []string
			for _, provider := range entry.Providers {
				at = append(at, provider.Mesh)
			}
			if entry.Owner != owner || strings.Join(at, ", ") != providers || cause != "" && entry.Cause != cause {
				return fmt.Errorf("it resolves to %s's service at %v by %q: %s", entry.Owner, at, entry.Cause, w.state.Explain(name))
			}
			return nil
		}},
		{`^"(.*)" does not resolve$`, func(name string) error {
			if entry, ok := w.mergedCatalog().Resolve(name); ok {
				return fmt.Errorf("it resolves to %s's service by %q", entry.Owner, entry.Cause)
			}
			return nil
		}},
		{`^"(.*)" has the status "(.*)"$`, func(name, status string) error {
			entry, err := resolve(name)
			if err == nil && entry.Status != status {
				err = fmt.Errorf("its status is %q", entry.Status)
			}
			return err
		}},
		{`^(\d+) of (\w+)' services are in the catalog$`, func(want int, mesh string) error {
			count := 0
			for _, entry := range w.mergedCatalog().Entries {
				if entry.Status == catalog.StatusHeld && !strings.Contains(entry.Name, ".") && entry.Providers[0].Mesh == mesh {
					count++
				}
			}
			if count != want {
				return fmt.Errorf("the catalog contains %d", count)
			}
			return nil
		}},
		{`^there is a finding "(.*)" about "(\w+)"$`, w.checkFinding},
		{`^there is no finding about "(.*)"$`, func(name string) error {
			w.mergedCatalog()
			if slices.ContainsFunc(w.findings, func(f catalog.Finding) bool { return f.Name == name }) {
				return fmt.Errorf("the findings are %+v", w.findings)
			}
			return nil
		}},
		{`^the catalog is the same in (\d+) other orders of its inputs$`, w.checkMergeOrders},
	}
}
