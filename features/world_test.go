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
	allProxies    = "all proxies" // those that run and do not drain
	operatorName  = "staff"
	withdrawnStep = "withdrawn" // of fleetconfig.HistoryEntry
)

// The load of every fleet, and how long it may take to start.
const (
	loadInterval  = 50 * time.Millisecond // between connections at a proxy, on average
	loadKeys      = 4
	startTime     = 3 * time.Second // without a first version
	maxSettleTime = 8 * time.Second // with a first version
)

// route is a key and the pool or service that it is sent to.
type route struct{ key, pool string }

// world is what the steps of a scenario share.
type world struct {
	seed       uint64
	config     fleetsim.Config
	fleet      *fleetsim.Fleet   // nil: the scenario has none
	draft      fleetsim.Draft    // of the operator's next version, or the inputs of a catalog
	firstRoute route             // of the first version; empty: no version at the start
	request    *fleetsim.Request // the operator's latest
	lastLeader string            // the replica that "the leader" meant last

	// A catalog that is merged without a fleet, from the draft's inputs.
	agreedTime    time.Duration
	previous      *catalog.State
	state         *catalog.State
	findings      []catalog.Finding
	inputsChanged bool // since the last merge
}

// newWorld returns the world of a scenario, whose name is its seed.
func newWorld(scenario string) *world {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(scenario)) // never fails
	return &world{
		seed:       uint64(hash.Sum32()),
		agreedTime: time.Hour,
		draft:      fleetsim.Draft{Routes: map[string]string{}, LargeRoutes: map[string]int{}},
	}
}

// build makes the fleet anew, as the given steps so far describe it, with the first route active, if there is one.
func (w *world) build() error {
	w.config.Seed = w.seed
	w.config.LoadInterval = loadInterval
	w.config.KeyCount = loadKeys
	w.fleet = fleetsim.New(w.config)
	w.draft.Terms = w.fleet.Terms
	if w.firstRoute == (route{}) {
		w.fleet.Run(startTime)
		return nil
	}
	w.draft.Routes = map[string]string{w.firstRoute.key: w.firstRoute.pool}
	w.propose(fleetconfig.Propose{})
	if _, ok := w.fleet.RunUntil(maxSettleTime, w.fleet.Settled); !ok {
		return fmt.Errorf("the fleet does not settle at the start: %s", w.fleet.Describe())
	}
	return nil
}

// propose submits a proposal, with the draft on top of the active version unless it is a rollback.
func (w *world) propose(p fleetconfig.Propose) {
	var base *fleetconfig.Version
	if active := w.fleet.Active(); active.Number > 0 {
		base = &active
	}
	if p.RollbackOf == 0 {
		p.Body, _ = w.fleet.BuildBody(&w.draft, base)
	}
	w.request = w.fleet.Submit(fleetconfig.Command{Propose: &p})
}

// await waits until a condition holds, for at most a number of seconds; empty: it must hold now.
func (w *world) await(seconds string, condition func() bool, format string, args ...any) error {
	limit := time.Duration(number(seconds)) * time.Second
	if _, ok := w.fleet.RunUntil(limit, condition); ok {
		return nil
	}
	return fmt.Errorf("not within %s: %s; %s", limit, fmt.Sprintf(format, args...), w.fleet.Describe())
}

// processes are the names of the processes that an expression of a scenario means.
func (w *world) processes(expression string) ([]string, error) {
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
		if w.fleet.HasProcess(expression) {
			names = []string{expression}
		}
	}
	if names == nil {
		return nil, fmt.Errorf("there is no process %q", expression)
	}
	return names, nil
}

// each calls a function for each process that an expression means.
func (w *world) each(expression string, do func(name string)) error {
	names, err := w.processes(expression)
	for _, name := range names {
		do(name)
	}
	return err
}

// all reports whether a condition holds for all proxies that an expression means.
func (w *world) all(expression string, condition func(*fleetsim.Proxy) bool) bool {
	names, err := w.processes(expression)
	return err == nil && len(names) > 0 && !slices.ContainsFunc(names, func(name string) bool {
		p := w.fleet.Proxy(name)
		return p == nil || !condition(p)
	})
}

// disconnect disconnects the links between the processes of two expressions, with back in both directions.
func (w *world) disconnect(from, to string, back bool) error {
	fromNames, err := w.processes(from)
	if err != nil {
		return err
	}
	toNames, err := w.processes(to)
	w.fleet.Disconnect(fromNames, toNames, back)
	return err
}

// withdrawal is the history entry of a withdrawn version at the leader.
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

// lastWithdrawal is the withdrawal of the latest proposal, for rejections of nodes.
func (w *world) lastWithdrawal() (fleetconfig.HistoryEntry, error) {
	version := w.request.Answer.Number
	entry, ok := w.withdrawal(version)
	if !ok || len(entry.Rejections) == 0 {
		return entry, fmt.Errorf("version %d was not withdrawn for a rejection", version)
	}
	return entry, nil
}

// rejectedWith reports whether the latest request was rejected with an error of a kind, and with its resolution.
func (w *world) rejectedWith(kind string) bool {
	resolutions := apperror.Resolutions(w.request.Answer.Err)
	return slices.ContainsFunc(apperror.Kinds(), func(k *apperror.Kind) bool {
		return k.Name == kind && k.Matches(w.request.Answer.Err) && slices.Contains(resolutions, k.Resolution)
	})
}

// eachRow calls a function for each row of a table, with the cells by the names of the columns. A missing column is empty.
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

// list splits a comma-separated list.
func list(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// number parses a number that a step's expression or a table has; empty: 0. It panics where it is none, which fails the scenario.
func number(text string) int {
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("a scenario has %q for a number: %v", text, err))
	}
	return n
}

// publish replaces the services that a mesh publishes.
func (w *world) publish(mesh, epoch string, services []catalog.Service) {
	publication := w.publication(mesh)
	publication.Services = services
	publication.Seq++
	if epoch != "" {
		publication.Epoch = uint64(number(epoch))
	}
	publications := slices.DeleteFunc(slices.Clone(w.draft.Inputs.Publications),
		func(p catalog.Publication) bool { return p.Mesh == mesh })
	publications = append(publications, publication)
	w.draft.Inputs.Publications = publications
	w.inputsChanged = true
}

// publication is what a mesh publishes.
func (w *world) publication(mesh string) catalog.Publication {
	for _, p := range w.draft.Inputs.Publications {
		if p.Mesh == mesh {
			return p
		}
	}
	return catalog.Publication{Mesh: mesh, Epoch: 1}
}

// merged is the catalog of the present inputs.
func (w *world) merged() *catalog.State {
	if w.inputsChanged {
		w.previous = w.state
		w.inputsChanged = false
		w.state, w.findings = catalog.Rules{}.Merge(w.previous, w.draft.Inputs, w.agreedTime)
	}
	return w.state
}

// pass lets agreed time pass. The catalog is merged before and after.
func (w *world) pass(d time.Duration) {
	w.merged()
	w.agreedTime += d
	w.inputsChanged = true
}

// sameInOrders merges the inputs again in random orders, some of them twice, and fails where that gives another catalog.
func (w *world) sameInOrders(times int) error {
	if times == 0 {
		return errors.New("no order was tried")
	}
	want, err := json.Marshal(w.merged())
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(w.seed, 1))
	for range times {
		in := w.draft.Inputs
		in.Meshes = fleetsim.ShuffledWithDuplicate(random, in.Meshes)
		in.Publications = fleetsim.ShuffledWithDuplicate(random, in.Publications)
		for i := range in.Publications {
			in.Publications[i].Services = fleetsim.ShuffledWithDuplicate(random, in.Publications[i].Services)
		}
		merged, _ := catalog.Rules{}.Merge(w.previous, in, w.agreedTime)
		got, err := json.Marshal(merged)
		if err != nil {
			return err
		}
		if !bytes.Equal(got, want) {
			return fmt.Errorf("in another order it is %s, not %s", got, want)
		}
	}
	return nil
}

// hasFinding fails where the merged catalog has no finding of a kind, with a text and a resolution, about a name or a mesh.
func (w *world) hasFinding(kind, subject string) error {
	w.merged()
	for _, finding := range w.findings {
		if finding.Kind != kind || finding.Name != subject && finding.Mesh != subject {
			continue
		}
		if finding.Resolution == "" || finding.Text == "" {
			return fmt.Errorf("it has no text or no resolution: %+v", finding)
		}
		return nil
	}
	return fmt.Errorf("the findings are %+v", w.findings)
}
