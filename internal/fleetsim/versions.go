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

// defaultPool receives the connections that match no other route.
const defaultPool = "rest"

// Draft holds the routes and the inputs of the federation from which an operator builds a version.
type Draft struct {
	Routes      map[string]string // pool or service by connection key; other keys go to the pool "rest"
	LargeRoutes map[string]int    // number of keys by route name; all go to the pool "rest"
	Inputs      catalog.Inputs
	Terms       fleetconfig.Terms
	Shuffle     bool // merge the inputs in a random order, with some of them duplicated
}

// routingSet returns the draft's routes as a routing.Set.
func (d *Draft) routingSet() routing.Set {
	to := func(pool string) []routing.SplitShare { // sends all connections of a route to one pool
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

// BuildBody builds a version's body from a draft. If active is not nil, its catalog is the previous one in the merge of the draft's
// inputs. BuildBody also returns the findings of that merge.
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
		inputs = f.shuffledInputs(inputs)
	}
	state, findings := f.Hooks.wrapMerger(f.Merger).Merge(previous, inputs, at)
	f.invariants.checkMerge(previous, d.Inputs, state, at)
	body.Catalog = must(json.Marshal(state))
	return body, findings
}

// agreedTime returns the true time in whole milliseconds. Merges only require a time that never decreases.
func (f *Fleet) agreedTime() time.Duration { return f.engine.now.Truncate(time.Millisecond) }

// shuffledInputs returns inputs in a random order, with some of them duplicated.
func (f *Fleet) shuffledInputs(in catalog.Inputs) catalog.Inputs {
	random := f.engine.Rand
	return catalog.Inputs{
		Meshes:       ShuffledWithDuplicate(random, in.Meshes),
		Publications: ShuffledWithDuplicate(random, in.Publications),
		Overrides:    ShuffledWithDuplicate(random, in.Overrides),
		Lost:         ShuffledWithDuplicate(random, in.Lost),
	}
}

// ShuffledWithDuplicate returns a copy of a list in a random order. With a probability of one half, one item occurs twice.
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
		panic(fmt.Sprint("fleetsim: cannot decode a catalog that this package encoded: ", err))
	}
	return state
}

// The error kinds in a simulated proxy's rejections. The trace contains them, so they must not change.
const (
	kindTooLarge    = "footprint/too-large"
	kindNotCompiled = "fleetsim/not-compiled"
)

// compiledVersion is a version compiled for the proxies of a zone.
type compiledVersion struct {
	fleetconfig.Version
	table     *routing.Table
	catalog   *catalog.State
	estimate  memestimate.Estimate
	bodyBytes int // size of the encoded routes
}

// compileKey holds the inputs that determine the result of a compilation.
type compileKey struct{ digest, zone string }

// compileResult holds a compiled version, or the rejection if it cannot be compiled.
type compileResult struct {
	version   *compiledVersion
	rejection *fleetconfig.Rejection
}

// compileCached returns a version compiled for a zone. Its callers share the compiled parts, which never change.
func (f *Fleet) compileCached(v fleetconfig.Version, zone string) (*compiledVersion, *fleetconfig.Rejection) {
	key := compileKey{v.Digest, zone}
	result, ok := f.compileCache[key]
	if !ok {
		result.version, result.rejection = f.compile(v, zone)
		f.compileCache[key] = result
	}
	if result.rejection != nil {
		return nil, result.rejection
	}
	compiled := *result.version
	compiled.Version = v
	return &compiled, nil
}

// compile compiles a version for the proxies of a zone, without the cache.
func (f *Fleet) compile(v fleetconfig.Version, zone string) (*compiledVersion, *fleetconfig.Rejection) {
	compiled := &compiledVersion{Version: v, bodyBytes: len(v.Body.Routing)}
	reject := func(err error) (*compiledVersion, *fleetconfig.Rejection) {
		return nil, &fleetconfig.Rejection{Kind: kindNotCompiled, Cause: err.Error()}
	}
	var set routing.Set
	if err := json.Unmarshal(v.Body.Routing, &set); err != nil {
		return reject(err)
	}
	if len(v.Body.Catalog) > 0 {
		compiled.catalog = decodeCatalog(v.Body.Catalog)
		var err error
		if set, err = f.Merger.Bind(set, compiled.catalog, zone); err != nil {
			return reject(err)
		}
	}
	table, err := routing.New(set)
	if err != nil {
		return reject(err)
	}
	compiled.table = table
	compiled.estimate = f.Estimator.Table(&set)
	return compiled, nil
}

// compiles reports whether a body compiles for every zone. It ignores memory limits.
func (f *Fleet) compiles(body *fleetconfig.Body) bool {
	return !slices.ContainsFunc(f.Zones, func(zone string) bool {
		_, rejection := f.compileCached(fleetconfig.Version{Digest: body.Digest(), Body: *body}, zone)
		return rejection != nil
	})
}

// requiredBytes returns the lowest memory limit that permits a switch from current to next, from the estimate of its peak memory.
// current may be nil.
func (f *Fleet) requiredBytes(current, next *compiledVersion) uint64 {
	var estimate memestimate.Estimate
	if current != nil {
		estimate = current.estimate
	}
	return memestimate.RequiredBytes(0, f.Estimator.SwitchPeak(estimate, next.estimate, next.bodyBytes))
}

// conflicting reports whether two versions contradict each other on a key. A nil version conflicts with no other.
func conflicting(a, b *compiledVersion, key string) bool {
	return a != nil && b != nil && a.pool(key) != b.pool(key)
}

// pool returns the pool that the version selects for a key, or "" if there is none.
func (l *compiledVersion) pool(key string) string {
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

// describeName describes the entry to which a name resolves in a catalog, or returns "" if there is none.
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

// NewService returns a service of a mesh. Its endpoints are in the zone that has the mesh's name.
func NewService(mesh, name, owner, contract string) catalog.Service {
	return catalog.Service{
		Name:     name,
		Owner:    owner,
		Contract: contract,
		Zones:    []string{mesh},
		Pool:     routing.Pool{Name: name, Select: routing.EndpointSelector{Zones: []string{mesh}}},
	}
}
