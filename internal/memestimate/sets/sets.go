// Package sets generates route sets of many kinds and measures the memory of their tables. The tests and the measure command of
// memestimate use it; production code does not.
package sets

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"example.org/micafront/internal/routing"
	jsoniter "github.com/json-iterator/go"
)

// json is the codec with which proxies decode their routes.
var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Plan describes a set to generate.
type Plan struct {
	Kind   string // one of Kinds
	Routes int    // number of routes
	Seed   uint64
}

// String describes the plan for messages.
func (p Plan) String() string { return fmt.Sprintf("%s of %d (%d)", p.Kind, p.Routes, p.Seed) }

// generator generates the routes of one kind of set.
type generator struct {
	kind         string
	relativeSize int // approximate size of a route in the table, relative to a route with one exact text
	// addConditions sets the conditions of a route. uniqueText occurs in no other route; without it, two routes could claim the
	// same connections. nil means that each route uses a random other generator.
	addConditions func(b *builder, r *routing.Route, uniqueText string)
}

// Streams of random numbers, which share one seed.
const (
	planStream = 1
	setStream  = 2
)

// builder builds a set by random choices.
type builder struct {
	*rand.Rand
	set    routing.Set // so far
	fields []string    // names of the further fields
}

// Kinds that determine more of a set than the conditions of its routes.
const (
	mixedKind     = "mixed"
	manyPoolsKind = "many pools"
)

var generators = []generator{
	{"one text", 1, func(_ *builder, r *routing.Route, unique string) { r.Match.Key.Exact = []string{unique} }},
	{"splits", 2, func(b *builder, r *routing.Route, unique string) {
		r.Match.Group.Exact = []string{unique, unique + "'"}
		r.To = b.randomSplit(2 + b.IntN(5))
	}},
	{"few splits", 1, func(b *builder, r *routing.Route, unique string) {
		r.Match.Key.Exact = []string{unique}
		r.To = []routing.SplitShare{{Pool: b.set.Pools[0].Name, PPM: routing.TotalPPM - 1000*b.IntN(8)}}
		if rest := routing.TotalPPM - r.To[0].PPM; rest > 0 {
			r.To = append(r.To, routing.SplitShare{Pool: b.set.Pools[1].Name, PPM: rest})
		}
	}},
	{"fields", 3, func(b *builder, r *routing.Route, unique string) {
		r.Match.Fields = map[string]routing.StringMatcher{b.fields[0]: {Exact: []string{unique}}}
		for range 1 + b.IntN(3) {
			r.Match.Fields[b.fields[1+b.IntN(len(b.fields)-1)]] = routing.StringMatcher{Exact: b.randomTexts(1+b.IntN(3), 3, 12)}
		}
	}},
	{"many fields", 6, func(b *builder, r *routing.Route, unique string) {
		r.Match.Fields = map[string]routing.StringMatcher{b.fields[0]: {Exact: []string{unique}}}
		for range 4 + b.IntN(14) {
			r.Match.Fields[b.fields[1+b.IntN(len(b.fields)-1)]] = routing.StringMatcher{Exact: b.randomTexts(1, 3, 12)}
		}
	}},
	{"long texts", 30, func(b *builder, r *routing.Route, unique string) {
		r.Match.Key.Exact = []string{unique + b.randomText(80, 500+b.IntN(3000))}
		r.Match.Group.Prefix = b.randomTexts(1+b.IntN(4), 20, 500)
	}},
	{"long repeated", 100, func(b *builder, r *routing.Route, unique string) { // records make up most of the table
		r.Match.Key.Exact = []string{unique + b.randomText(80, 500+b.IntN(3000))}
		r.Match.Group.Exact = b.randomTexts(5+b.IntN(4), 5, 20)
	}},
	{"prefixes", 4, func(b *builder, r *routing.Route, unique string) {
		r.Match.Key.Prefix = []string{unique, unique + b.randomText(1, 9)}
		r.Match.Group = routing.StringMatcher{Exact: b.randomTexts(b.IntN(2), 2, 9), Prefix: b.randomTexts(1+b.IntN(2), 1, 30)}
	}},
	{"closed", 6, func(b *builder, r *routing.Route, unique string) {
		r.Match.Key.Exact = []string{unique}
		r.Match.Class = b.nonEmptySubset([]string{"feed", "notes", "chat", "bulk"})
		r.Match.Listener = b.nonEmptySubset([]string{"main", "lan", "partner"})
		r.Match.Zone = b.nonEmptySubset([]string{"thies", "dakar", "saint-louis"})
	}},
	{"policies", 1, func(b *builder, r *routing.Route, unique string) {
		r.Match.Key.Exact = []string{unique}
		r.Policy = b.set.Policies[b.IntN(len(b.set.Policies))].Name
		r.To = b.randomSplit(1 + b.IntN(2))
	}},
	{manyPoolsKind, 1, func(b *builder, r *routing.Route, unique string) {
		r.Match.Key.Exact = []string{unique}
		r.To = b.randomSplit(1)
	}},
	{"lists", 150, func(b *builder, r *routing.Route, unique string) {
		for i := range 20 + b.IntN(260) {
			r.Match.Key.Exact = append(r.Match.Key.Exact, fmt.Sprint(unique, "/", i))
		}
	}},
	{"combinations", 900, func(b *builder, r *routing.Route, unique string) {
		r.Match.Key.Exact = []string{unique}
		r.Match.Group.Exact = b.randomTexts(1+b.IntN(10), 3, 20)
		for range 1 + b.IntN(2) {
			r.Match.Fields = map[string]routing.StringMatcher{}
			for _, name := range b.fields[:2] {
				r.Match.Fields[name] = routing.StringMatcher{Exact: b.randomTexts(1+b.IntN(12), 3, 20), Prefix: b.randomTexts(b.IntN(5), 2, 6)}
			}
		}
	}},
	{"ladder", 2, func(b *builder, r *routing.Route, _ string) {
		r.Precedence = len(b.set.Routes)
		r.Match.Class = b.nonEmptySubset([]string{"feed", "notes", "chat", "bulk"})
	}},
	{"again", 1, func(b *builder, r *routing.Route, _ string) { // duplicates of other rules, which lookups never find
		r.Precedence = len(b.set.Routes)
		r.Match.Key.Exact = []string{fmt.Sprint("key", b.IntN(50))}
	}},
	{mixedKind, 6, nil}, // each route is of a random kind
}

// Kinds returns all kinds of sets.
func Kinds() []string {
	var kinds []string
	for _, g := range generators {
		kinds = append(kinds, g.kind)
	}
	return kinds
}

// Plans returns count plans. They cycle through all kinds, and their numbers of routes are spread logarithmically from 10 to
// maxRoutes. maxSize bounds the size of a table, in multiples of a route with one exact text. The result is deterministic.
func Plans(seed uint64, count, maxRoutes, maxSize int) []Plan {
	const minRoutes = 10
	random := rand.New(rand.NewPCG(seed, planStream))
	var plans []Plan
	for i := range count {
		g := generators[i%len(generators)]
		// The sizes of each kind increase in even steps with some jitter, up to the largest size.
		steps := max((count-1-i%len(generators))/len(generators), 1)
		position := min((float64(i/len(generators))+random.Float64()/2)/float64(steps), 1)
		routes := int(minRoutes * math.Pow(float64(maxRoutes)/minRoutes, position))
		routes = min(routes, max(maxSize/g.relativeSize, minRoutes))
		plans = append(plans, Plan{Kind: g.kind, Routes: routes, Seed: random.Uint64()})
	}
	return plans
}

// Encode generates the set of a plan and returns it as JSON. The result is deterministic. An unknown kind is an error.
func (p Plan) Encode() ([]byte, error) {
	planned := slices.IndexFunc(generators, func(g generator) bool { return g.kind == p.Kind })
	if planned < 0 {
		return nil, fmt.Errorf("generating a route set: unknown kind %q; use one of Kinds", p.Kind)
	}
	b := &builder{Rand: rand.New(rand.NewPCG(p.Seed, setStream))}
	b.addPoolsAndPolicies(p)
	for i := range p.Routes {
		r := routing.Route{Name: fmt.Sprint("route-", i), To: b.randomSplit(1)}
		g := generators[planned]
		if p.Kind == mixedKind {
			g = b.randomGenerator()
		}
		g.addConditions(b, &r, fmt.Sprint("k", i, b.randomText(0, 14)))
		b.set.Routes = append(b.set.Routes, r)
	}
	return json.Marshal(b.set)
}

// randomGenerator returns a random generator for one route of a mixed set. It rarely returns a generator of large routes.
func (b *builder) randomGenerator() generator {
	const (
		largeSize        = 10 // a route with a larger relative size counts as large
		largeRouteChance = 20 // one in this many draws of a large route is accepted
	)
	for {
		g := generators[b.IntN(len(generators))]
		if g.addConditions == nil {
			continue
		}
		if g.relativeSize <= largeSize || b.IntN(largeRouteChance) == 0 {
			return g
		}
	}
}

// addPoolsAndPolicies generates everything in the set but its routes.
func (b *builder) addPoolsAndPolicies(p Plan) {
	const defaultPools = 8
	pools := defaultPools
	if p.Kind == manyPoolsKind || p.Kind == mixedKind && b.IntN(2) == 0 {
		pools = max(p.Routes/2, defaultPools)
	}
	zones := []string{"thies", "dakar", "saint-louis"}
	for i := range pools {
		pool := routing.Pool{Name: fmt.Sprint("pool-", i, b.randomText(0, 8)), Precedence: i}
		pool.Select = routing.EndpointSelector{Zones: b.nonEmptySubset(zones), MachineTypes: b.randomTexts(b.IntN(3), 3, 9),
			IDPrefixes: b.randomTexts(b.IntN(2), 2, 6)}
		for c := range b.IntN(5) {
			pool.Select.Cells = append(pool.Select.Cells, c)
		}
		b.set.Pools = append(b.set.Pools, pool)
	}
	for i := range 12 {
		policy := routing.Policy{Name: fmt.Sprint("policy-", i), Attempts: i}
		for f := range b.IntN(6) {
			policy.Fallback = append(policy.Fallback, b.set.Pools[f].Name)
		}
		b.set.Policies = append(b.set.Policies, policy)
	}
	b.set.Listeners = map[string]string{"lan": "127.0.0.1:7001", "partner": "127.0.0.1:7002"}
	for _, z := range zones {
		b.set.Zones = append(b.set.Zones, routing.Zone{Name: z, Title: "of " + z})
	}
	b.set.Default = "route-0"
	for i := range 2 + b.IntN(30) {
		b.fields = append(b.fields, fmt.Sprint("field", i))
	}
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// randomText returns a text of at least from and fewer than to letters. from must be less than to.
func (b *builder) randomText(from, to int) string {
	var text strings.Builder
	for range from + b.IntN(to-from) {
		text.WriteByte(letters[b.IntN(len(letters))])
	}
	return text.String()
}

// randomTexts returns n results of randomText. Duplicates are possible.
func (b *builder) randomTexts(n, from, to int) (texts []string) {
	for range n {
		texts = append(texts, b.randomText(from, to))
	}
	return texts
}

// nonEmptySubset returns at least one element of a list, in random order.
func (b *builder) nonEmptySubset(list []string) (subset []string) {
	for _, i := range b.Perm(len(list))[:1+b.IntN(len(list))] {
		subset = append(subset, list[i])
	}
	return subset
}

// randomSplit returns a split among n pools, or among all pools if there are fewer.
func (b *builder) randomSplit(n int) (shares []routing.SplitShare) {
	left := routing.TotalPPM
	first := b.IntN(len(b.set.Pools))
	n = min(n, len(b.set.Pools))
	for i := range n {
		ppm := left
		if i < n-1 {
			ppm = b.IntN(left + 1)
		}
		left -= ppm
		shares = append(shares, routing.SplitShare{Pool: b.set.Pools[(first+i)%len(b.set.Pools)].Name, PPM: ppm})
	}
	return shares
}
