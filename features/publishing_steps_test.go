package features

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetsim"
	"github.com/cucumber/godog"
)

// resolvesAny reports whether a proxy resolves at least one of the names. Unless owner is empty, the service must belong to it.
func resolvesAny(p *fleetsim.Proxy, owner string, names ...string) bool {
	state := p.Catalog()
	return state != nil && slices.ContainsFunc(names, func(name string) bool {
		entry, ok := state.Resolve(name)
		return ok && (owner == "" || entry.Owner == owner)
	})
}

// isLost reports whether the control plane has marked a mesh as lost.
func (w *world) isLost(mesh string) bool {
	return slices.ContainsFunc(w.fleet.Federation().Inputs().Lost, func(l catalog.Loss) bool { return l.Mesh == mesh })
}

// publishingWhen returns the steps in which meshes publish to the control plane of a fleet.
func publishingWhen(w *world) []step {
	return []step{
		{`^the federation has the meshes$`, func(t *godog.Table) error {
			var meshes []catalog.Mesh
			eachRow(t, func(cell func(string) string) {
				meshes = append(meshes, catalog.Mesh{
					Name:       cell("mesh"),
					Owners:     splitList(cell("owners")),
					Precedence: parseNumber(cell("precedence")),
				})
				w.fleet.AddMesh(cell("mesh"))
			})
			request := w.fleet.SetFederationTerms(federation.Terms{Meshes: meshes})
			const seconds = "5"
			return w.await(seconds, func() bool { return request.AnsweredAt > 0 && request.Answer.Err == nil }, "the terms are accepted")
		}},
		{`^the mesh (\w+) publishes "(.*)" of (\w+) to the replicas$`, func(mesh, names, owner string) {
			var services []catalog.Service
			for _, name := range splitList(names) {
				services = append(services, fleetsim.NewService(mesh, name, owner, name+" of "+owner))
			}
			w.fleet.Mesh(mesh).Publish(services...)
		}},
		{`^the operator overrides the owner of "(.*)" with (\w+) on terms (\d+)$`, func(name, owner string, base int) {
			terms := w.fleet.Federation().Terms()
			terms.Base = uint64(base)
			terms.Overrides = []catalog.Override{{Name: name, Owner: owner, SetBy: operatorName}}
			w.request = w.fleet.SetFederationTerms(terms)
		}},
	}
}

// publishingThen returns the expectations about published services.
func publishingThen(w *world) []step {
	return []step{
		{`^the publication of (\w+) is accepted` + within, func(mesh, limit string) error {
			return w.await(limit, w.fleet.Mesh(mesh).Accepted, "the publication of %s is accepted", mesh)
		}},
		{`^all proxies resolve "([^"]*)" to (\w+)'s service` + within, func(name, owner, limit string) error {
			return w.await(limit, func() bool {
				return w.allProxiesSatisfy(allProxies, func(p *fleetsim.Proxy) bool { return resolvesAny(p, owner, name) })
			}, "%q is %s's", name, owner)
		}},
		{`^all proxies resolve "([^"]*)" or "([^"]*)"` + within, func(a, b, limit string) error {
			return w.await(limit, func() bool {
				return w.allProxiesSatisfy(allProxies, func(p *fleetsim.Proxy) bool { return resolvesAny(p, "", a, b) })
			}, "%q or %q resolves", a, b)
		}},
		{`^no proxy resolves "(.*)"$`, func(name string) error {
			if !w.allProxiesSatisfy(allProxies, func(p *fleetsim.Proxy) bool { return !resolvesAny(p, "", name) }) {
				return errors.New("a proxy resolves it")
			}
			return nil
		}},
		{`^every name resolves alike at all proxies$`, w.checkNamesResolveAlike},
		{`^the mesh (\w+) is lost` + within, func(mesh, limit string) error {
			return w.await(limit, func() bool { return w.isLost(mesh) }, "%s is lost", mesh)
		}},
		{`^the mesh (\w+) is not lost$`, func(mesh string) error {
			if w.isLost(mesh) {
				return errors.New("it is lost")
			}
			return nil
		}},
		{`^the mesh (\w+) gets the finding "(.*)"` + within, func(mesh, kind, limit string) error {
			return w.await(limit, func() bool {
				return slices.ContainsFunc(w.fleet.Mesh(mesh).Findings, func(f catalog.Finding) bool {
					return f.Kind == kind && f.Resolution != ""
				})
			}, "%s gets %s, and not %v", mesh, kind, w.fleet.Mesh(mesh).Findings)
		}},
	}
}

// checkNamesResolveAlike returns an error if two proxies resolve a name of the active version to different entries.
func (w *world) checkNamesResolveAlike() error {
	const limit = 20 * time.Second
	if _, ok := w.fleet.RunUntil(limit, w.fleet.Settled); !ok {
		return fmt.Errorf("the fleet does not settle: %s", w.fleet.Describe())
	}
	var first string
	alike := w.allProxiesSatisfy(allProxies, func(p *fleetsim.Proxy) bool {
		state := p.Catalog()
		if state == nil {
			return false
		}
		var names strings.Builder
		for i := range state.Entries {
			name := state.Entries[i].Name
			entry, ok := state.Resolve(name)
			fmt.Fprintln(&names, name, ok && entry.Owner != "", entry)
		}
		same := first == "" || first == names.String()
		first = names.String()
		return same && first != ""
	})
	if !alike {
		return errors.New("names resolve differently")
	}
	return nil
}
