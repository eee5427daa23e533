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
	FieldNames []string // names of the fields that ConnectionAttributes.Fields must contain, in this order

	rules         []rule         // by precedence
	shapes        []shape        // index of the rules, in the order of their first rules
	records       []byte         // concatenated records of the shapes, see recordHeaderBytes
	targets       []target       // targets of the routes, in the order of Set.Routes
	sharedTargets []target       // the same targets without duplicates
	defaultRoute  int            // position in Set.Routes; -1: none
	poolIndexes   map[string]int // position in Set.Pools by name
}

// target describes where the connections of a route go.
type target struct {
	policy    int          // position in Set.Policies; -1: none
	shares    []SplitShare // sorted by pool name
	pools     []int        // pools of the shares
	ends      []uint32     // ends of the intervals of the shares, in parts per million
	fallbacks []int        // fallback pools of the policy
}

// Decision is the routing decision for a connection. Route, Pool and Policy are positions in the lists of the Set.
type Decision struct {
	Route         int
	Pool          int
	Policy        int // -1: none
	Rule          int // position among all rules; -1: the default route
	SplitPosition int // position of the connection in the split of the route, in parts per million
}

// New compiles a set. The returned error joins all errors of the set.
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

// compileRoutes adds the targets and the rules of all routes, in the order of the routes.
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

// newTarget returns the target of a route. policies maps policy names to positions in Set.Policies.
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

// shareAt returns the index of the share whose interval contains a split position.
func (to *target) shareAt(position int) int {
	for i, end := range to.ends {
		if uint32(position) < end {
			return i
		}
	}
	return len(to.ends) - 1
}

// SplitPosition returns the position of a connection in any split, in parts per million, from 0 to below TotalPPM. It is
// derived from the group so that a group stays together, or from the key if there is no group. It does not depend on the route,
// so renaming a route moves no connection.
//
// A split consists of consecutive intervals, one per share, in the order of the pool names. If one share grows and no other
// share does, its interval ends no earlier and begins no later than before, so every key in it stays.
func SplitPosition(connection *ConnectionAttributes) int {
	text := connection.Group
	if text == "" {
		text = connection.Key
	}
	position, _ := bits.Mul64(xxhash.Sum64String(text), TotalPPM)
	return int(position)
}

// Policy returns the policy of a decision, or the zero Policy if there is none.
func (t *Table) Policy(d Decision) Policy {
	if p := t.policyAt(d.Policy); p != nil {
		return *p
	}
	return Policy{}
}

// policyAt returns the policy at a position in Set.Policies, or nil for -1.
func (t *Table) policyAt(policy int) *Policy {
	if policy < 0 {
		return nil
	}
	return &t.Set.Policies[policy]
}

// Fallbacks returns the fallback pools of the decision's policy in order, without the pool of the decision. The caller must not
// modify the result.
func (t *Table) Fallbacks(d Decision) []int {
	fallbacks := t.targets[d.Route].fallbacks
	if slices.Contains(fallbacks, d.Pool) {
		return slices.DeleteFunc(slices.Clone(fallbacks), func(pool int) bool { return pool == d.Pool })
	}
	return fallbacks
}
