package fleetsim

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/memestimate"
	"example.org/micafront/internal/routing"
)

// defaultPool takes what no other route matches.
const defaultPool = "rest"

// Draft is what an operator makes versions from: routes and the federation's inputs.
type Draft struct {
	Routes      map[string]string // pool or service by key; other keys go to the pool "rest"
	LargeRoutes map[string]int    // number of keys by route name, all to the pool "rest"
	Inputs      catalog.Inputs
	Terms       fleetconfig.Terms
	Shuffle     bool // merge the inputs in a random order, some of them twice
}

// routingSet is the draft's route table.
func (d *Draft) routingSet() routing.Set {
	to := func(pool string) []routing.SplitShare { // all of a route's connections
		return []routing.SplitShare{{Pool: pool, PPM: routing.TotalPPM}}
	}
	set := routing.Set{
		Default: defaultPool,
		Pools:   []routing.Pool{{Name: defaultPool}},
		Routes:  []routing.Route{{Name: defaultPool, To: to(defaultPool)}},
	}
	pools := map[string]bool{defaultPool: true}
	for _, key := range sortedKeys(d.Routes) {
		pool := d.Routes[key]
		if !pools[pool] && !strings.HasPrefix(pool, catalog.ServicePrefix) {
			pools[pool] = true
			set.Pools = append(set.Pools, routing.Pool{Name: pool})
		}
		match := routing.Match{Key: routing.StringMatcher{Exact: []string{key}}}
		set.Routes = append(set.Routes, routing.Route{Name: "to-" + key, To: to(pool), Match: match})
	}
	for _, name := range sortedKeys(d.LargeRoutes) {
		route := routing.Route{Name: name, To: to(defaultPool)}
		for i := range d.LargeRoutes[name] {
			route.Match.Key.Exact = append(route.Match.Key.Exact, fmt.Sprintf("%s-%04d", name, i))
		}
		set.Routes = append(set.Routes, route)
	}
	return set
}

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// BuildBody makes a version's body from a draft, on top of the active version; nil: there is none. It returns the findings of merging
// the draft's inputs into a catalog.
func (f *Fleet) BuildBody(d *Draft, active *fleetconfig.Version) (*fleetconfig.Body, []catalog.Finding) {
	body := &fleetconfig.Body{
		Settings: json.RawMessage(`{}`),
		Routing:  must(json.Marshal(d.routingSet())),
		Fleet:    d.Terms,
	}
	if len(d.Inputs.Meshes)+len(d.Inputs.Publications) == 0 {
		return body, nil
	}
	var previous *catalog.State
	if active != nil && len(active.Body.Catalog) > 0 {
		previous = decodeCatalog(active.Body.Catalog)
	}
	inputs, at := d.Inputs, f.agreedTime()
	if d.Shuffle {
		inputs = f.shuffled(inputs)
	}
	state, findings := f.Hooks.wrapMerger(f.Merger).Merge(previous, inputs, at)
	f.invariants.checkMerge(previous, d.Inputs, state, at)
	body.Catalog = must(json.Marshal(state))
	return body, findings
}

// agreedTime is the true time in whole milliseconds. Any time that never goes back would do.
func (f *Fleet) agreedTime() time.Duration { return f.engine.now.Truncate(time.Millisecond) }

// shuffled returns inputs in a random order, some of them twice.
func (f *Fleet) shuffled(in catalog.Inputs) catalog.Inputs {
	random := f.engine.Rand
	return catalog.Inputs{
		Meshes:       ShuffledWithDuplicate(random, in.Meshes),
		Publications: ShuffledWithDuplicate(random, in.Publications),
		Overrides:    ShuffledWithDuplicate(random, in.Overrides),
		Lost:         ShuffledWithDuplicate(random, in.Lost),
	}
}

// ShuffledWithDuplicate returns a copy of a list in a random order, half of the time with one item twice.
func ShuffledWithDuplicate[T any](random *rand.Rand, list []T) []T {
	shuffled := slices.Clone(list)
	if len(shuffled) > 0 && random.IntN(2) == 0 {
		shuffled = append(shuffled, shuffled[random.IntN(len(shuffled))])
	}
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled
}

func decodeCatalog(text []byte) *catalog.State {
	state := &catalog.State{}
	if err := json.Unmarshal(text, state); err != nil {
		panic(fmt.Sprint("fleetsim: decoding a catalog that was encoded here: ", err))
	}
	return state
}

// The kinds of a simulated proxy's rejections. They are part of the trace.
const (
	kindTooLarge    = "footprint/too-large"
	kindNotCompiled = "fleetsim/not-compiled"
)

// loadedVersion is a version as a proxy of a zone uses it.
type loadedVersion struct {
	fleetconfig.Version
	table     *routing.Table
	catalog   *catalog.State
	estimate  memestimate.Estimate
	bodyBytes int // of the encoded routes
}

// loadKey is what a compiled version depends on.
type loadKey struct{ digest, zone string }

// loadResult is a compiled version, or why it cannot be compiled.
type loadResult struct {
	version   *loadedVersion
	rejection *fleetconfig.Rejection
}

// loadVersion returns a version for the proxies of a zone. The compiled parts are shared by them and never changed.
func (f *Fleet) loadVersion(v fleetconfig.Version, zone string) (*loadedVersion, *fleetconfig.Rejection) {
	key := loadKey{v.Digest, zone}
	result, ok := f.compiled[key]
	if !ok {
		result.version, result.rejection = f.compile(v, zone)
		f.compiled[key] = result
	}
	if result.rejection != nil {
		return nil, result.rejection
	}
	loaded := *result.version
	loaded.Version = v
	return &loaded, nil
}

// compile compiles a version for the proxies of a zone.
func (f *Fleet) compile(v fleetconfig.Version, zone string) (*loadedVersion, *fleetconfig.Rejection) {
	loaded := &loadedVersion{Version: v, bodyBytes: len(v.Body.Routing)}
	reject := func(err error) (*loadedVersion, *fleetconfig.Rejection) {
		return nil, &fleetconfig.Rejection{Kind: kindNotCompiled, Cause: err.Error()}
	}
	var set routing.Set
	if err := json.Unmarshal(v.Body.Routing, &set); err != nil {
		return reject(err)
	}
	if len(v.Body.Catalog) > 0 {
		loaded.catalog = decodeCatalog(v.Body.Catalog)
		var err error
		if set, err = f.Merger.Bind(set, loaded.catalog, zone); err != nil {
			return reject(err)
		}
	}
	table, err := routing.New(set)
	if err != nil {
		return reject(err)
	}
	loaded.table = table
	loaded.estimate = f.Estimator.Table(&set)
	return loaded, nil
}

// compiles reports whether proxies of every zone can compile a body, whatever its size.
func (f *Fleet) compiles(body *fleetconfig.Body) bool {
	return !slices.ContainsFunc(f.Zones, func(zone string) bool {
		_, rejection := f.loadVersion(fleetconfig.Version{Digest: body.Digest(), Body: *body}, zone)
		return rejection != nil
	})
}

// requiredBytes is the lowest memory limit for a switch between two versions, by the estimate of its peak.
func (f *Fleet) requiredBytes(current, next *loadedVersion) uint64 {
	var estimate memestimate.Estimate
	if current != nil {
		estimate = current.estimate
	}
	return memestimate.RequiredBytes(0, f.Estimator.SwitchPeak(estimate, next.estimate, next.bodyBytes))
}

// conflicting reports whether two versions decide differently on a key. A missing version conflicts with none.
func conflicting(a, b *loadedVersion, key string) bool {
	return a != nil && b != nil && a.pool(key) != b.pool(key)
}

// pool is the pool that the version selects for a key; empty: none.
func (l *loadedVersion) pool(key string) string {
	decision, ok := l.table.Decide(&routing.ConnectionAttributes{
		Key:      key,
		Listener: routing.MainListener,
		Fields:   make([]string, len(l.table.FieldNames)),
	})
	if !ok {
		return ""
	}
	return l.table.Set.Pools[decision.Pool].Name
}

// describeName describes what a name means in a catalog; empty: nothing.
func describeName(s *catalog.State, name string) string {
	entry, ok := s.Resolve(name)
	if !ok {
		return ""
	}
	text := fmt.Sprintf("%s %s of %s by %s", entry.Status, entry.Contract, entry.Owner, entry.Cause)
	for _, provider := range entry.Providers {
		text += " at " + provider.Mesh
	}
	return text
}

// NewService is a service as a mesh publishes it, with endpoints in the zone of the mesh's name.
func NewService(mesh, name, owner, contract string) catalog.Service {
	return catalog.Service{
		Name:     name,
		Owner:    owner,
		Contract: contract,
		Zones:    []string{mesh},
		Pool:     routing.Pool{Name: name, Select: routing.EndpointSelector{Zones: []string{mesh}}},
	}
}
