package features

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/fleetsim"
	"github.com/cucumber/godog"
)

const (
	allProxies    = "all proxies" // the proxies that run and are not draining
	operatorName  = "staff"
	withdrawnStep = "withdrawn" // value of fleetconfig.HistoryEntry.Step
)

// The load of each fleet, and its time to start before the next step.
const (
	loadInterval  = 50 * time.Millisecond // average time between connections at a proxy
	loadKeys      = 4
	startupTime   = 3 * time.Second // fixed run time without a first version
	maxSettleTime = 8 * time.Second // limit for the first version to become active
)

// route is a key and the pool or service that it is sent to.
type route struct{ key, pool string }

// world is the state that the steps of a scenario share.
type world struct {
	seed       uint64
	config     fleetsim.Config
	fleet      *fleetsim.Fleet   // nil if the scenario has no fleet
	draft      fleetsim.Draft    // the operator's next version, or the inputs of a catalog
	firstRoute route             // route of the first version; empty: no first version
	request    *fleetsim.Request // the operator's latest request
	lastLeader string            // name of the replica to which "the leader" last referred

	// The catalog of a scenario without a fleet, which is merged from the draft's inputs.
	agreedTime    time.Duration
	previous      *catalog.State
	state         *catalog.State
	findings      []catalog.Finding
	inputsChanged bool // since the last merge
}

// newWorld returns the world of a scenario. The seed is a hash of the scenario's name.
func newWorld(scenario string) *world {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(scenario)) // never fails
	return &world{
		seed:       uint64(hash.Sum32()),
		agreedTime: time.Hour,
		draft:      fleetsim.Draft{Routes: map[string]string{}, LargeRoutes: map[string]int{}},
	}
}

// startFleet replaces the fleet with one of the current configuration, and waits until the first route, if any, is active.
func (w *world) startFleet() error {
	w.config.Seed = w.seed
	w.config.LoadInterval = loadInterval
	w.config.Keys = loadKeys
	w.fleet = fleetsim.New(w.config)
	w.draft.Terms = w.fleet.Terms
	if w.firstRoute == (route{}) {
		w.fleet.Run(startupTime)
		return nil
	}
	w.draft.Routes = map[string]string{w.firstRoute.key: w.firstRoute.pool}
	w.propose(fleetconfig.Propose{})
	if _, ok := w.fleet.Until(maxSettleTime, w.fleet.Settled); !ok {
		return fmt.Errorf("the fleet does not settle at the start: %s", w.fleet.Describe())
	}
	return nil
}

// propose submits a proposal. Unless it is a rollback, its body is the draft applied to the active version.
func (w *world) propose(p fleetconfig.Propose) {
	var base *fleetconfig.Version
	if active := w.fleet.Active(); active.Number > 0 {
		base = &active
	}
	if p.RollbackOf == 0 {
		p.Body, _ = w.fleet.Body(&w.draft, base)
	}
	w.request = w.fleet.Submit(fleetconfig.Command{Propose: &p})
}

// await waits until a condition holds, for at most the given number of seconds. If seconds is empty, it must hold now.
func (w *world) await(seconds string, condition func() bool, format string, args ...any) error {
	limit := time.Duration(parseNumber(seconds)) * time.Second
	if _, ok := w.fleet.Until(limit, condition); ok {
		return nil
	}
	return fmt.Errorf("not within %s: %s; %s", limit, fmt.Sprintf(format, args...), w.fleet.Describe())
}

// processNames returns the names of the processes to which an expression in a scenario refers.
func (w *world) processNames(expression string) ([]string, error) {
	var names []string
	switch expression {
	case "the leader":
		leader := w.fleet.Leader()
		if leader == nil {
			return nil, fmt.Errorf("no replica leads: %s", w.fleet.Describe())
		}
		w.lastLeader = leader.Name
		return []string{w.lastLeader}, nil
	case "the paused replica":
		return []string{w.lastLeader}, nil
	case "the replicas", "all replicas", "the other replicas":
		for _, r := range w.fleet.Replicas {
			if expression != "the other replicas" || r.Name != w.lastLeader {
				names = append(names, r.Name)
			}
		}
	case allProxies:
		for _, p := range w.fleet.Proxies {
			if !p.Draining() && p.Up() {
				names = append(names, p.Name)
			}
		}
	default:
		if w.fleet.Has(expression) {
			names = []string{expression}
		}
	}
	if names == nil {
		return nil, fmt.Errorf("there is no process %q", expression)
	}
	return names, nil
}

// forEachProcess calls a function for each process to which an expression refers.
func (w *world) forEachProcess(expression string, do func(name string)) error {
	names, err := w.processNames(expression)
	for _, name := range names {
		do(name)
	}
	return err
}

// allProxiesSatisfy reports whether a condition holds for all proxies to which an expression refers.
func (w *world) allProxiesSatisfy(expression string, condition func(*fleetsim.Proxy) bool) bool {
	names, err := w.processNames(expression)
	return err == nil && len(names) > 0 && !slices.ContainsFunc(names, func(name string) bool {
		p := w.fleet.Proxy(name)
		return p == nil || !condition(p)
	})
}

// disconnect disconnects the links from one group of processes to another, and with back also in the opposite direction.
func (w *world) disconnect(from, to string, back bool) error {
	fromNames, err := w.processNames(from)
	if err != nil {
		return err
	}
	toNames, err := w.processNames(to)
	w.fleet.Disconnect(fromNames, toNames, back)
	return err
}

// withdrawal returns the leader's history entry for the withdrawal of a version.
func (w *world) withdrawal(version uint64) (fleetconfig.HistoryEntry, bool) {
	leader := w.fleet.Leader()
	if leader == nil {
		return fleetconfig.HistoryEntry{}, false
	}
	for _, entry := range leader.State().History() {
		if entry.Number == version && entry.Step == withdrawnStep {
			return entry, true
		}
	}
	return fleetconfig.HistoryEntry{}, false
}

// lastWithdrawal returns the withdrawal of the latest proposal. It must name rejections by nodes.
func (w *world) lastWithdrawal() (fleetconfig.HistoryEntry, error) {
	version := w.request.Answer.Number
	entry, ok := w.withdrawal(version)
	if !ok || len(entry.Rejections) == 0 {
		return entry, fmt.Errorf("version %d was not withdrawn because of a rejection", version)
	}
	return entry, nil
}

// rejectedWith reports whether the latest request was rejected with an error of the named kind and with its resolution.
func (w *world) rejectedWith(kind string) bool {
	resolutions := apperror.Resolutions(w.request.Answer.Err)
	return slices.ContainsFunc(apperror.Kinds(), func(k *apperror.Kind) bool {
		return k.Name == kind && k.Matches(w.request.Answer.Err) && slices.Contains(resolutions, k.Resolution)
	})
}

// eachRow calls a function for each row of a table. cell returns the cell of a column by the column's name, or "" if the table
// lacks the column.
func eachRow(t *godog.Table, row func(cell func(column string) string)) {
	columns := map[string]int{}
	for i, cell := range t.Rows[0].Cells {
		columns[cell.Value] = i
	}
	for _, r := range t.Rows[1:] {
		row(func(column string) string {
			if i, ok := columns[column]; ok {
				return r.Cells[i].Value
			}
			return ""
		})
	}
}

// splitList splits a comma-separated list. It trims the items and omits empty ones.
func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// parseNumber parses a number from a step or a table. An empty text is 0. An invalid number panics, which fails the scenario.
func parseNumber(text string) int {
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("a scenario contains %q instead of a number: %v", text, err))
	}
	return n
}

// publish replaces the services that a mesh publishes.
func (w *world) publish(mesh, epoch string, services []catalog.Service) {
	publication := w.publication(mesh)
	publication.Services = services
	publication.Seq++
	if epoch != "" {
		publication.Epoch = uint64(parseNumber(epoch))
	}
	publications := slices.DeleteFunc(slices.Clone(w.draft.Inputs.Publications),
		func(p catalog.Publication) bool { return p.Mesh == mesh })
	publications = append(publications, publication)
	w.draft.Inputs.Publications = publications
	w.inputsChanged = true
}

// publication returns the current publication of a mesh.
func (w *world) publication(mesh string) catalog.Publication {
	for _, p := range w.draft.Inputs.Publications {
		if p.Mesh == mesh {
			return p
		}
	}
	return catalog.Publication{Mesh: mesh, Epoch: 1}
}

// mergedCatalog returns the catalog of the current inputs. It merges them only if they have changed.
func (w *world) mergedCatalog() *catalog.State {
	if w.inputsChanged {
		w.previous = w.state
		w.inputsChanged = false
		w.state, w.findings = catalog.Rules{}.Merge(w.previous, w.draft.Inputs, w.agreedTime)
	}
	return w.state
}

// advanceAgreedTime merges the catalog, advances the agreed time, and marks the inputs as changed for the next merge.
func (w *world) advanceAgreedTime(d time.Duration) {
	w.mergedCatalog()
	w.agreedTime += d
	w.inputsChanged = true
}

// checkMergeOrders merges the inputs again in random orders, with some of them twice. It returns an error if a merge produces a
// different catalog.
func (w *world) checkMergeOrders(times int) error {
	if times == 0 {
		return errors.New("the number of orders must be positive")
	}
	want, err := json.Marshal(w.mergedCatalog())
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(w.seed, 1))
	for range times {
		in := w.draft.Inputs
		in.Meshes = fleetsim.Shuffled(random, in.Meshes)
		in.Publications = fleetsim.Shuffled(random, in.Publications)
		for i := range in.Publications {
			in.Publications[i].Services = fleetsim.Shuffled(random, in.Publications[i].Services)
		}
		merged, _ := catalog.Rules{}.Merge(w.previous, in, w.agreedTime)
		got, err := json.Marshal(merged)
		if err != nil {
			return err
		}
		if !bytes.Equal(got, want) {
			return fmt.Errorf("the catalog in another order is %s, want %s", got, want)
		}
	}
	return nil
}

// checkFinding returns an error unless the merged catalog has a finding of a kind, with a text and a resolution, about a name
// or a mesh.
func (w *world) checkFinding(kind, subject string) error {
	w.mergedCatalog()
	for _, finding := range w.findings {
		if finding.Kind != kind || finding.Name != subject && finding.Mesh != subject {
			continue
		}
		if finding.Resolution == "" || finding.Text == "" {
			return fmt.Errorf("the finding lacks a text or a resolution: %+v", finding)
		}
		return nil
	}
	return fmt.Errorf("the findings are %+v", w.findings)
}
