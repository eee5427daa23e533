package routing

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table is a compiled Set. It is immutable.
type Table struct {
	Set        Set
	FieldNames []string // the fields of Match.Fields that ConnectionAttributes.Fields has to bring, in this order

	rules         []rule         // by precedence
	shapes        []shape        // index of the rules, in the order of their first rules
	records       []byte         // the shapes' records one after the other, see recordHeaderBytes
	targets       []target       // of the routes, as Set.Routes
	sharedTargets []target       // the same, equal ones once
	defaultRoute  int            // position in Set.Routes; -1: none
	poolIndexes   map[string]int // position in Set.Pools by name
}

// target is where a route's connections go.
type target struct {
	policy    int          // -1: none
	shares    []SplitShare // by pool name
	pools     []int        // of the shares
	ends      []uint32     // of the shares' intervals, in parts per million
	fallbacks []int        // the policy's fallback pools
}

// Decision is where a connection goes. Numbers are positions in the Set's lists.
type Decision struct {
	Route         int
	Pool          int
	Policy        int // -1: none
	Rule          int // position among all rules; -1: the default route
	SplitPosition int // of the key in its route's split, in parts per million
}

// New compiles a set. The error joins everything that is wrong with it.
func New(set Set) (*Table, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	t := &Table{Set: set, FieldNames: set.fieldNames(), defaultRoute: -1, poolIndexes: map[string]int{}}
	for i, p := range set.Pools {
		t.poolIndexes[p.Name] = i
	}
	t.compileRoutes()
	slices.SortStableFunc(t.rules, t.compareRules)
	if err := t.checkAmbiguities(); err != nil {
		return nil, err
	}
	t.buildIndex()
	return t, nil
}

// fieldNames returns the sorted names of the further fields that routes match.
func (s *Set) fieldNames() []string {
	names := map[string]bool{}
	for _, r := range s.Routes {
		for name := range r.Match.Fields {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// compileRoutes makes the target and the rules of each route, in the order of the routes.
func (t *Table) compileRoutes() {
	policies := map[string]int{} // position in Set.Policies by name
	for i, p := range t.Set.Policies {
		policies[p.Name] = i
	}
	for i := range t.Set.Routes {
		r := &t.Set.Routes[i]
		if r.Name == t.Set.Default {
			t.defaultRoute = i
		}
		t.targets = append(t.targets, t.newTarget(r, policies))
		for _, expanded := range t.expandRoute(r) {
			expanded.route = int32(i)
			t.rules = append(t.rules, expanded)
		}
	}
}

// newTarget returns the target of a route. policies are positions by name.
func (t *Table) newTarget(r *Route, policies map[string]int) target {
	to := target{policy: -1, shares: slices.Clone(r.To)}
	if policy, ok := policies[r.Policy]; ok {
		to.policy = policy
		for _, name := range t.Set.Policies[policy].Fallback {
			to.fallbacks = append(to.fallbacks, t.poolIndexes[name])
		}
	}
	slices.SortFunc(to.shares, func(a, b SplitShare) int { return cmp.Compare(a.Pool, b.Pool) })
	end := 0
	for _, share := range to.shares {
		end += share.PPM
		to.pools = append(to.pools, t.poolIndexes[share.Pool])
		to.ends = append(to.ends, uint32(end))
	}
	return to
}

// shareAt returns the position of the share in whose interval a place lies.
func (to *target) shareAt(place int) int {
	for i, end := range to.ends {
		if uint32(place) < end {
			return i
		}
	}
	return len(to.ends) - 1
}

// SplitPosition returns where in a split a connection lies, in parts per million, from 0 to below TotalPPM. It follows from the group, or
// else from the key, so that a group stays together. It is the same for every route and independent of their names, so that
// renaming a route moves no connection.
//
// A split arranges its shares by pool name, one after the other. Where one share grows and no other does, it ends no earlier
// and begins no later than before, so every key in it stays.
func SplitPosition(l *ConnectionAttributes) int {
	text := l.Group
	if text == "" {
		text = l.Key
	}
	place, _ := bits.Mul64(xxhash.Sum64String(text), TotalPPM)
	return int(place)
}

// PoolIndex returns a pool's position in the Set's list by its name; -1: there is none.
func (t *Table) PoolIndex(name string) int {
	if i, ok := t.poolIndexes[name]; ok {
		return i
	}
	return -1
}

// Policy returns a decision's policy; the zero one where it has none.
func (t *Table) Policy(d Decision) Policy {
	if p := t.policyAt(d.Policy); p != nil {
		return *p
	}
	return Policy{}
}

// policyAt returns the policy at a position in the Set's list; nil where that is -1.
func (t *Table) policyAt(policy int) *Policy {
	if policy < 0 {
		return nil
	}
	return &t.Set.Policies[policy]
}

// Fallbacks returns the pools to which a decision's policy falls back, in order, without the decision's own pool. They must
// not be changed.
func (t *Table) Fallbacks(d Decision) []int {
	fallbacks := t.targets[d.Route].fallbacks
	if slices.Contains(fallbacks, d.Pool) {
		return slices.DeleteFunc(slices.Clone(fallbacks), func(pool int) bool { return pool == d.Pool })
	}
	return fallbacks
}
