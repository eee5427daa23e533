package routing

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

var (
	classes     = []string{"feed", "notes", "chat"}
	sampleTexts = []string{"a", "ab", "abc", "b", "ba", "c"}
	space       = MatchSpace{Classes: classes, Listeners: []string{"main", "lan"}, Zones: []string{"thies", "dakar"}}
)

// drawSubset draws up to most different elements of a list.
func drawSubset(t *rapid.T, from []string, most int, label string) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(from), 0, most, rapid.ID[string]).Draw(t, label)
}

func drawCondition(t *rapid.T, label string) StringMatcher {
	if rapid.IntRange(0, 2).Draw(t, label) > 0 {
		return StringMatcher{}
	}
	return StringMatcher{Exact: drawSubset(t, append([]string{""}, sampleTexts...), 2, label+" exact"), Prefix: drawSubset(t, sampleTexts, 2, label+" prefix")}
}

// drawSet draws a set with few different texts, so that rules often overlap.
func drawSet(t *rapid.T) Set {
	set := Set{Pools: []Pool{{Name: "p0"}, {Name: "p1"}, {Name: "p2", MaxOpen: rapid.IntRange(0, 1).Draw(t, "limit")}},
		Policies: []Policy{{Name: "q", Attempts: rapid.IntRange(1, 2).Draw(t, "attempts"), Fallback: []string{"p1"}}}}
	for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
		r := Route{Name: "r" + strconv.Itoa(i), Precedence: rapid.IntRange(0, 2).Draw(t, "precedence")*10 + i,
			Policy: rapid.SampledFrom([]string{"", "q"}).Draw(t, "policy"),
			Match: Match{Class: drawSubset(t, classes, 2, "class"), Zone: drawSubset(t, space.Zones, 1, "zone"),
				Listener: drawSubset(t, space.Listeners, 1, "listener"), Key: drawCondition(t, "key"), Group: drawCondition(t, "group")}}
		if f := drawCondition(t, "field"); !f.MatchesAll() {
			r.Match.Fields = map[string]StringMatcher{rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"): f}
		}
		a := rapid.IntRange(0, TotalPPM).Draw(t, "part")
		b := rapid.IntRange(0, TotalPPM-a).Draw(t, "part")
		r.To = []SplitShare{{Pool: "p1", PPM: a}, {Pool: "p0", PPM: b}, {Pool: "p2", PPM: TotalPPM - a - b}}
		set.Routes = append(set.Routes, r)
	}
	if len(set.Routes) > 0 && rapid.Bool().Draw(t, "default") {
		set.Default = "r0"
	}
	return set
}

// drawConnection draws a connection as a map from field names to texts. It includes texts that no rule of drawSet contains.
func drawConnection(t *rapid.T) map[string]string {
	text := rapid.OneOf(rapid.SampledFrom(append([]string{"", "abcd", "zz", "aa"}, sampleTexts...)), rapid.StringMatching("[a-c]{1,4}"))
	connection := map[string]string{}
	for _, name := range []string{"key", "group", "x", "y"} {
		connection[name] = text.Draw(t, name)
	}
	connection["class"] = rapid.SampledFrom(classes).Draw(t, "class")
	connection["zone"] = rapid.SampledFrom(space.Zones).Draw(t, "zone")
	connection["listener"] = rapid.SampledFrom(space.Listeners).Draw(t, "listener")
	return connection
}

// connectionFor converts a drawn connection to the field order of a table.
func connectionFor(t *Table, connection map[string]string) *ConnectionAttributes {
	out := &ConnectionAttributes{Class: connection["class"], Key: connection["key"], Group: connection["group"], Zone: connection["zone"], Listener: connection["listener"]}
	for _, name := range t.FieldNames {
		out.Fields = append(out.Fields, connection[name])
	}
	return out
}

// referenceDecide returns the name of the route that applies according to the manual. It checks all routes without an index.
func referenceDecide(set *Set, connection map[string]string) (route string) {
	var best []int
	for i := range set.Routes {
		r := &set.Routes[i]
		m := &r.Match
		matchesList := func(list []string, text string) bool { return len(list) == 0 || slices.Contains(list, text) }
		ok := matchesList(m.Class, connection["class"]) && matchesList(m.Zone, connection["zone"]) && matchesList(m.Listener, connection["listener"]) &&
			m.Key.Matches(connection["key"]) && m.Group.Matches(connection["group"])
		rank := []int{r.Precedence, specificity(m.Key, connection["key"]), specificity(m.Group, connection["group"])}
		for _, name := range []string{"x", "y"} {
			ok = ok && m.Fields[name].Matches(connection[name])
			rank = append(rank, specificity(m.Fields[name], connection[name]))
		}
		for _, list := range [][]string{m.Class, m.Listener, m.Zone} {
			rank = append(rank, min(len(list), 1))
		}
		if ok && (best == nil || slices.Compare(rank, best) > 0) {
			best = rank
			route = r.Name
		}
	}
	if best == nil {
		return set.Default
	}
	return route
}

// specificity returns the rank of a condition that matches a text: exact text, longer prefix, shorter prefix, no condition.
func specificity(s StringMatcher, text string) int {
	if s.MatchesAll() {
		return -1
	}
	if slices.Contains(s.Exact, text) {
		return 1 << 20
	}
	best := 0
	for _, p := range s.Prefix {
		if strings.HasPrefix(text, p) {
			best = max(best, len(p))
		}
	}
	return best
}

func TestDecideAgreesWithReference(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		set := drawSet(rt)
		table, err := New(set)
		if err != nil {
			rt.Fatal(err)
		}
		for range 20 {
			connection := drawConnection(rt)
			d, ok := table.Decide(connectionFor(table, connection))
			got := ""
			if ok {
				got = set.Routes[d.Route].Name
			}
			if want := referenceDecide(&set, connection); got != want {
				rt.Fatalf("%v: got route %q, want %q", connection, got, want)
			}
		}
	})
}

// TestDiffAgreesWithDecisions checks for random connections that exactly one change of Diff contains a connection if the
// decisions of both tables differ on it, and none otherwise.
func TestDiffAgreesWithDecisions(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		old, err := New(drawSet(rt))
		if err != nil {
			rt.Fatal(err)
		}
		next, err := New(drawSet(rt))
		if err != nil {
			rt.Fatal(err)
		}
		changes, err := Diff(old, next, space)
		if err != nil {
			rt.Fatal(err)
		}
		for range 60 {
			connection := drawConnection(rt)
			var outcomes [2]Outcome
			for side, table := range []*Table{old, next} {
				attributes := connectionFor(table, connection)
				if d, ok := table.Decide(attributes); ok {
					outcomes[side] = table.outcome(d.Route, table.targets[d.Route].shareAt(d.SplitPosition))
				}
			}
			position := SplitPosition(&ConnectionAttributes{Key: connection["key"], Group: connection["group"]})
			var matching []Change
			for _, c := range changes {
				in := position >= c.From && position < c.From+c.PPM
				for _, s := range c.Cell {
					in = in && s.Contains(connection[strings.TrimPrefix(s.Dimension, "field ")])
				}
				if in {
					matching = append(matching, c)
				}
			}
			if differ := len(differences(outcomes[0], outcomes[1])) > 0; differ != (len(matching) == 1) || len(matching) > 1 {
				rt.Fatalf("%v at split position %d: decisions differ: %v, but %d changes contain the connection", connection, position, differ, len(matching))
			}
			if len(matching) == 1 && (matching[0].Old != outcomes[0] || matching[0].New != outcomes[1]) {
				rt.Fatalf("%v: Diff returned %+v -> %+v, decisions are %+v -> %+v", connection, matching[0].Old, matching[0].New, outcomes[0], outcomes[1])
			}
		}
	})
}

// TestDiffOfEqualSets checks that a set does not differ from itself, regardless of the order of its routes and pools.
func TestDiffOfEqualSets(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		set := drawSet(rt)
		other := set
		other.Routes = slices.Clone(set.Routes)
		other.Pools = slices.Clone(set.Pools)
		slices.Reverse(other.Routes)
		slices.Reverse(other.Pools)
		a, err := New(set)
		if err != nil {
			rt.Fatal(err)
		}
		b, err := New(other)
		if err != nil {
			rt.Fatal(err)
		}
		if changes, err := Diff(a, b, space); err != nil || len(changes) > 0 {
			rt.Fatalf("changes %+v, error %v; want neither", changes, err)
		}
	})
}

// TestSplitIsStable checks that a share that grows while no other share does keeps all its keys, and that about as many keys
// move as Diff predicts.
func TestSplitIsStable(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "parts")
		before := make([]SplitShare, n)
		left := TotalPPM
		for i := range before {
			before[i] = SplitShare{Pool: fmt.Sprint("p", i), PPM: left}
			if i < n-1 {
				before[i].PPM = rapid.IntRange(0, left).Draw(rt, "part")
			}
			left -= before[i].PPM
		}
		grown := rapid.IntRange(0, n-1).Draw(rt, "grown")
		after := slices.Clone(before)
		for i := range after {
			if i != grown {
				less := rapid.IntRange(0, after[i].PPM).Draw(rt, "less")
				after[i].PPM -= less
				after[grown].PPM += less
			}
		}
		tables := [2]*Table{}
		for i, parts := range [][]SplitShare{before, after} {
			set := Set{Default: "r", Routes: []Route{{Name: "r", To: parts}}}
			for _, p := range parts {
				set.Pools = append(set.Pools, Pool{Name: p.Pool})
			}
			var err error
			if tables[i], err = New(set); err != nil {
				rt.Fatal(err)
			}
		}
		moved := 0
		for k := range 500 {
			connection := &ConnectionAttributes{Key: strconv.Itoa(k)}
			a, _ := tables[0].Decide(connection)
			b, _ := tables[1].Decide(connection)
			if a.Pool == grown && b.Pool != grown {
				rt.Fatalf("key %d left the growing share: %v -> %v", k, before, after)
			}
			if a.Pool != b.Pool {
				moved++
			}
		}
		changes, err := Diff(tables[0], tables[1], MatchSpace{})
		if err != nil {
			rt.Fatal(err)
		}
		share := 0
		for _, c := range changes {
			share += c.PPM
		}
		if got := float64(moved) / 500; got > float64(share)/TotalPPM+0.12 || got < float64(share)/TotalPPM-0.12 {
			rt.Fatalf("a part of %v of the keys moved, Diff implies %v", got, float64(share)/TotalPPM)
		}
	})
}

func TestNewRejectsInvalidSets(t *testing.T) {
	pool := []Pool{{Name: "a"}, {Name: "b"}}
	whole := []SplitShare{{Pool: "a", PPM: TotalPPM}}
	for want, set := range map[string]Set{
		"there is no pool":                           {},
		`pool "a" is defined twice`:                  {Pools: []Pool{{Name: "a"}, {Name: "a"}}},
		`pool "a b" has a blank or a control`:        {Pools: []Pool{{Name: "a b"}}},
		`a pool has no name`:                         {Pools: []Pool{{}}},
		`pool "a" has a limit below 0`:               {Pools: []Pool{{Name: "a", MaxOpen: -1}}},
		`pool "a" selects sizes from 2 to 1`:         {Pools: []Pool{{Name: "a", Select: EndpointSelector{SizeFrom: 2, SizeTo: 1}}}},
		`falls back to pool "c", which does not`:     {Pools: pool, Policies: []Policy{{Name: "q", Fallback: []string{"c"}}}},
		`policy "q" has a negative value`:            {Pools: pool, Policies: []Policy{{Name: "q", Deadline: -1}}},
		`goes to pool "c", which does not exist`:     {Pools: pool, Routes: []Route{{Name: "r", To: []SplitShare{{Pool: "c", PPM: TotalPPM}}}}},
		`come to 50 %, not to 100 %`:                 {Pools: pool, Routes: []Route{{Name: "r", To: []SplitShare{{Pool: "a", PPM: TotalPPM / 2}}}}},
		`uses policy "x", which does not exist`:      {Pools: pool, Routes: []Route{{Name: "r", To: whole, Policy: "x"}}},
		`the default route "r" does not exist`:       {Pools: pool, Default: "r"},
		`a further listener cannot be named "main"`:  {Pools: pool, Listeners: map[string]string{"main": ""}},
		`both claim class "feed", no group`:          {Pools: pool, Routes: []Route{{Name: "r", To: whole, Match: Match{Class: []string{"feed"}, Group: StringMatcher{Exact: []string{""}}}}, {Name: "s", To: whole, Match: Match{Class: []string{"feed", "x"}, Group: StringMatcher{Exact: []string{"g", ""}}}}}},
		`both claim every connection`:                {Pools: pool, Routes: []Route{{Name: "r", To: whole}, {Name: "s", To: whole}}},
		`has 1048576 combinations of conditions, ov`: {Pools: pool, Routes: []Route{{Name: "r", To: whole, Match: Match{Key: manyTexts(2000), Group: manyTexts(2000)}}}},
	} {
		if _, err := New(set); err == nil || !containsParts(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// containsParts reports whether text contains want, or all comma-separated parts of want in any order.
func containsParts(text, want string) bool {
	if strings.Contains(text, want) {
		return true
	}
	for _, part := range strings.Split(want, ", ") { // the error lists the conditions in the order of the table's dimensions
		if !strings.Contains(text, strings.TrimPrefix(part, "both claim ")) {
			return false
		}
	}
	return true
}

func manyTexts(n int) StringMatcher {
	var s StringMatcher
	for i := range n {
		s.Exact = append(s.Exact, strconv.Itoa(i))
	}
	return s
}

func TestUnreached(t *testing.T) {
	to := []SplitShare{{Pool: "a", PPM: TotalPPM}}
	table, err := New(Set{Pools: []Pool{{Name: "a"}}, Routes: []Route{
		{Name: "feeds", Precedence: 5, To: to, Match: Match{Class: []string{"feed"}}},
		{Name: "rest", Precedence: 5, To: to, Match: Match{Class: []string{"notes", "chat"}}},
		{Name: "never", To: to, Match: Match{Group: StringMatcher{Prefix: []string{"g"}}}},
		{Name: "late", Precedence: 9, To: to, Match: Match{Class: []string{"chat"}, Key: StringMatcher{Prefix: []string{"k"}}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := table.UnreachedRoutes(space)
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "unreached routes", map[string][]string{"never": {"feeds", "late", "rest"}}, got)
}

func newEntry(id, zone string, started time.Duration) EndpointEntry {
	return EndpointEntry{Endpoint: balancer.Endpoint{ID: id, Zone: zone, StartedAt: started}}
}

// endpointsByPool returns the endpoint ids in the update of each pool, with a "-" before the ids of removed endpoints.
func endpointsByPool(updates []PoolUpdate) map[int][]string {
	ids := map[int][]string{}
	for _, update := range updates {
		for _, e := range update.Members.Entries {
			if e.Phase == balancer.Removed {
				e.ID = "-" + e.ID
			}
			ids[update.Pool] = append(ids[update.Pool], e.ID)
		}
	}
	return ids
}

// TestMembershipReservesEndpointsInSlowStart checks that an endpoint that changes pools during its slow start belongs to
// neither pool until it has warmed up. Otherwise it would get a second slow-start budget.
func TestMembershipReservesEndpointsInSlowStart(t *testing.T) {
	set := Set{Pools: []Pool{{Name: "t", Select: EndpointSelector{Zones: []string{"thies"}}}, {Name: "d", Select: EndpointSelector{Zones: []string{"dakar"}}}}}
	o := NewPoolMembership(&set, 10*time.Second)
	now := 100 * time.Second
	first := o.ApplyList(now, balancer.CachedList, 1, []EndpointEntry{newEntry("warm", "thies", 0), newEntry("cold", "thies", 95*time.Second), newEntry("x", "mars", 0)})
	testkit.Equal(t, "first list", map[int][]string{0: {"warm", "cold"}}, endpointsByPool(first))
	moved := []EndpointEntry{newEntry("warm", "dakar", 0), newEntry("cold", "dakar", 95*time.Second)}
	testkit.Equal(t, "moved", map[int][]string{0: {"-warm", "-cold"}, 1: {"warm"}}, endpointsByPool(o.ApplyList(now+time.Second, balancer.DeltaList, 2, moved)))
	testkit.Equal(t, "pools of the endpoints", []int{1, -1, -1}, []int{o.PoolOf("warm"), o.PoolOf("cold"), o.PoolOf("x")})
	_, next := o.ReleaseDue(now + 4*time.Second)
	testkit.Equal(t, "end of the next reservation", 105*time.Second, next)
	// A full list before the end of the reservation does not release the endpoint either.
	testkit.Equal(t, "full list", map[int][]string{1: {"warm"}}, endpointsByPool(o.ApplyList(now+4*time.Second, balancer.FullList, 3, moved)))
	due, next := o.ReleaseDue(now + 4500*time.Millisecond)
	testkit.Equal(t, "releases before the end of the reservation", []any{0, 105 * time.Second}, []any{len(due), next})
	due, next = o.ReleaseDue(now + 5*time.Second)
	testkit.Equal(t, "releases after warm-up", []any{map[int][]string{1: {"cold"}}, time.Duration(0)}, []any{endpointsByPool(due), next})
	testkit.Equal(t, "events", []MembershipEvent{{Type: NotSelected, Endpoint: "x"}, {Type: Moved, Endpoint: "warm", From: "t", To: "d"},
		{Type: Reserved, Endpoint: "cold", From: "t", To: "d"}, {Type: Released, Endpoint: "cold", To: "d"}}, o.TakeEvents())
	// An endpoint that restarts and changes pools at the same time belongs to the new pool immediately.
	restarted := newEntry("cold", "thies", 110*time.Second)
	testkit.Equal(t, "restarted", map[int][]string{0: {"cold"}, 1: {"-cold"}}, endpointsByPool(o.ApplyList(now+11*time.Second, balancer.DeltaList, 4, []EndpointEntry{restarted})))
	testkit.Equal(t, "endpoint that never belonged to a pool", map[int][]string{0: {"x"}},
		endpointsByPool(o.ApplyList(now+11*time.Second, balancer.DeltaList, 5, []EndpointEntry{newEntry("x", "thies", 110*time.Second)})))
}

// membershipChecker applies pool updates. It checks that no endpoint belongs to two pools, and that none changes pools during
// its slow start.
type membershipChecker struct {
	t       *rapid.T
	warmUp  time.Duration
	current map[string]string        // pool by endpoint id
	last    map[string]string        // last pool since the start of the endpoint, by endpoint id
	started map[string]time.Duration // start time by endpoint id
}

// apply applies the updates of one step, removals first. isFullList means that the updates are full lists.
func (o *membershipChecker) apply(now time.Duration, set *Set, updates []PoolUpdate, isFullList bool) {
	o.t.Helper()
	if isFullList {
		for _, update := range updates {
			pool := set.Pools[update.Pool].Name
			maps.DeleteFunc(o.current, func(_, current string) bool { return current == pool })
		}
	}
	for _, update := range updates {
		for _, e := range update.Members.Entries {
			if e.Phase == balancer.Removed {
				delete(o.current, e.ID)
			}
		}
	}
	for _, update := range updates {
		for _, e := range update.Members.Entries {
			if e.Phase != balancer.Removed {
				o.add(now, set.Pools[update.Pool].Name, e.ID)
			}
		}
	}
}

func (o *membershipChecker) add(now time.Duration, pool, id string) {
	o.t.Helper()
	if current, ok := o.current[id]; ok && current != pool {
		o.t.Fatalf("endpoint %s belongs to pools %s and %s", id, current, pool)
	}
	if last := o.last[id]; last != "" && last != pool && o.started[id] > 0 && now < o.started[id]+o.warmUp {
		o.t.Fatalf("endpoint %s moved from pool %s to %s during its slow start", id, last, pool)
	}
	o.current[id] = pool
	o.last[id] = pool
}

// TestMembershipNeverSharesEndpoints checks for random sequences of lists and sets that no endpoint belongs to two pools at
// once, and that no endpoint moves to another pool during its slow start.
func TestMembershipNeverSharesEndpoints(t *testing.T) {
	const warmUp = 10 * time.Second
	zones := []string{"a", "b", "c"}
	drawPools := func(rt *rapid.T) *Set {
		set := &Set{}
		for i := range rapid.IntRange(1, 3).Draw(rt, "pools") {
			set.Pools = append(set.Pools, Pool{Name: fmt.Sprint("p", i), Select: EndpointSelector{Zones: drawSubset(rt, zones, 2, "zones")}})
		}
		return set
	}
	testkit.Property(t, func(rt *rapid.T) {
		set := drawPools(rt)
		o := NewPoolMembership(set, warmUp)
		now := 100 * time.Second
		observer := &membershipChecker{t: rt, warmUp: warmUp, current: map[string]string{}, last: map[string]string{}, started: map[string]time.Duration{}}
		for range rapid.IntRange(1, 15).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond
			var entries []EndpointEntry
			step := rapid.IntRange(0, 3).Draw(rt, "step")
			for _, id := range drawSubset(rt, []string{"s1", "s2", "s3"}, 3, "servers") {
				e := newEntry(id, rapid.SampledFrom(zones).Draw(rt, "zone"), observer.started[id])
				if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 && step < 2 {
					e.StartedAt = now
					observer.started[id] = now
					delete(observer.last, id)
				}
				entries = append(entries, e)
			}
			switch step {
			case 0:
				observer.apply(now, set, o.ApplyList(now, balancer.FullList, 1, entries), true)
				maps.DeleteFunc(observer.last, func(id, _ string) bool { // an endpoint that is no longer listed starts over
					return !slices.ContainsFunc(entries, func(e EndpointEntry) bool { return e.ID == id })
				})
			case 1:
				observer.apply(now, set, o.ApplyList(now, balancer.DeltaList, 1, entries), false)
			case 2:
				due, _ := o.ReleaseDue(now)
				observer.apply(now, set, due, false)
			case 3:
				next := drawPools(rt)
				successors := SuccessorPools(set, next)
				set = next
				updates := o.Reconfigure(now, set, warmUp, successors)
				clear(observer.current)
				observer.apply(now, set, updates, true)
			}
		}
	})
}

func TestSuccessorPools(t *testing.T) {
	old := Set{Pools: []Pool{{Name: "kept"}, {Name: "renamed"}, {Name: "split"}, {Name: "gone"}}}
	next := Set{Pools: []Pool{{Name: "z", FormerNames: []string{"split"}}, {Name: "y", FormerNames: []string{"split"}}, {Name: "new", FormerNames: []string{"renamed"}}, {Name: "kept", FormerNames: []string{"gone"}}}}
	testkit.Equal(t, "successors", []int{3, 2, 1, -1}, SuccessorPools(&old, &next))
}

// TestRequestProgress checks for random pool responses that the attempts in all pools together stay within the limits, and that
// no pool is tried twice.
func TestRequestProgress(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(rt, "limit")
		most := rapid.IntRange(0, 6).Draw(rt, "attempts")
		table, err := New(Set{Pools: []Pool{{Name: "a"}, {Name: "b", MaxOpen: 3}, {Name: "c", MaxWaiting: 2}},
			Policies: []Policy{{Name: "q", Attempts: most, Fallback: []string{"c", "a", "b"}}}, Default: "r",
			Routes: []Route{{Name: "r", Policy: "q", To: []SplitShare{{Pool: "a", PPM: TotalPPM}}, MaxOpen: 9}}})
		if err != nil {
			rt.Fatal(err)
		}
		uses := make([]Usage, 3)
		for i := range uses {
			uses[i] = Usage{rapid.IntRange(0, 4).Draw(rt, "open"), rapid.IntRange(0, 3).Draw(rt, "waiting")}
		}
		activePools := rapid.SliceOfN(rapid.Bool(), 3, 3)
		active := activePools.Draw(rt, "active")
		available := func(i int) bool {
			pool := table.Set.Pools[i]
			return active[i] && !uses[i].Full(pool.MaxOpen, pool.MaxWaiting)
		}
		d, _ := table.Decide(&ConnectionAttributes{Key: "k"})
		route := Usage{Open: rapid.IntRange(0, 10).Draw(rt, "open")}
		progress, verdict := table.BeginRequest(d, route, available)
		if (verdict == RouteFull) != (route.Open >= 9) {
			rt.Fatalf("got verdict %v for route usage %+v", verdict, route)
		}
		if verdict != Proceed {
			return
		}
		safe := rapid.Bool().Draw(rt, "safe")
		total := 0
		seen := map[int]bool{}
		ran := false
		for {
			if seen[progress.Pool] || !available(progress.Pool) {
				rt.Fatalf("pool %d was tried twice, is removed or is at a limit", progress.Pool)
			}
			seen[progress.Pool] = true
			for n := rapid.IntRange(0, progress.AttemptsLeft(limit)).Draw(rt, "tries"); n > 0; n-- {
				if got := progress.AttemptInPool(total); got < 0 || got != progress.poolAttempts {
					rt.Fatalf("attempt %d has number %d within the pool, want %d", total, got, progress.poolAttempts)
				}
				progress.AttemptSent()
				total++
				never := rapid.Bool().Draw(rt, "never ran")
				ran = ran || !never
				progress.AttemptEnded(never)
			}
			left := time.Duration(rapid.IntRange(0, 20).Draw(rt, "left"))
			before := progress.AttemptsLeft(limit)
			active = activePools.Draw(rt, "active")
			v := progress.NextPool(Rejection{Remaining: left, MinRemaining: 5, AttemptLimit: limit, RetryIsSafe: safe}, available)
			if v == Proceed && (left <= 5 || before == 0 || ran && !safe) {
				rt.Fatalf("request proceeds with %v remaining, %d attempts left, attempt may have run: %v", left, before, ran)
			}
			if v != Proceed {
				break
			}
		}
		if total > limit || most > 0 && total > most {
			rt.Fatalf("%d attempts, limits are %d (settings) and %d (policy)", total, limit, most)
		}
	})
}

func TestRequestProgressTimes(t *testing.T) {
	progress := RequestProgress{Policy: Policy{Deadline: 2_000_000, RetryAfterMin: 500_000, RetryAfterMax: 800_000}}
	testkit.Equal(t, "deadlines", []time.Duration{3 * time.Second, 1500 * time.Millisecond},
		[]time.Duration{progress.Deadline(time.Second, 60*time.Second), progress.Deadline(time.Second, 1500*time.Millisecond)})
	testkit.Equal(t, "Retry-After", []time.Duration{500 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond},
		[]time.Duration{progress.BoundRetryAfter(0), progress.BoundRetryAfter(600 * time.Millisecond), progress.BoundRetryAfter(time.Minute)})
}

func TestOverlap(t *testing.T) {
	for _, c := range []struct {
		a, b EndpointSelector
		want bool
	}{
		{EndpointSelector{}, EndpointSelector{Zones: []string{"a"}}, true},
		{EndpointSelector{Zones: []string{"a"}}, EndpointSelector{Zones: []string{"b"}}, false},
		{EndpointSelector{IDPrefixes: []string{"s-1"}}, EndpointSelector{IDPrefixes: []string{"s-12", "x"}}, true},
		{EndpointSelector{IDPrefixes: []string{"s-1"}}, EndpointSelector{IDPrefixes: []string{"s-2"}}, false},
		{EndpointSelector{SizeTo: 1}, EndpointSelector{SizeFrom: 2}, false},
		{EndpointSelector{SizeTo: 2}, EndpointSelector{SizeFrom: 2}, true},
		{EndpointSelector{Cells: []int{1, 2}, SizeTo: 0.5}, EndpointSelector{Cells: []int{2}}, true},
	} {
		e, ok := c.a.Overlap(&c.b)
		if ok != c.want || ok && (!c.a.Matches(e) || !c.b.Matches(e)) {
			t.Errorf("Overlap of %+v and %+v: got %v, %+v", c.a, c.b, ok, e)
		}
	}
}

func FuzzDecide(f *testing.F) {
	table, err := New(Set{Pools: []Pool{{Name: "a"}, {Name: "b"}}, Default: "r", Routes: []Route{
		{Name: "r", To: []SplitShare{{Pool: "a", PPM: TotalPPM}}},
		{Name: "s", To: []SplitShare{{Pool: "a", PPM: TotalPPM / 2}, {Pool: "b", PPM: TotalPPM / 2}}, Match: Match{Key: StringMatcher{Prefix: []string{"k", "key"}}, Fields: map[string]StringMatcher{"x": {Exact: []string{"1"}}}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("key1", "", "1")
	f.Fuzz(func(t *testing.T, key, group, x string) {
		d, ok := table.Decide(&ConnectionAttributes{Key: key, Group: group, Fields: []string{x}})
		want := 0
		if strings.HasPrefix(key, "k") && x == "1" {
			want = 1
		}
		if !ok || d.Route != want {
			t.Errorf("key %q, group %q, x %q: got route %d, %v, want route %d", key, group, x, d.Route, ok, want)
		}
	})
}

// largeTable returns a table with n routes. Each route matches a group prefix and a class.
func largeTable(n int) *Table {
	set := Set{Default: "r0", Pools: []Pool{{Name: "a"}, {Name: "b"}}}
	for i := range n {
		set.Routes = append(set.Routes, Route{Name: fmt.Sprint("r", i), To: []SplitShare{{Pool: "a", PPM: TotalPPM / 4}, {Pool: "b", PPM: TotalPPM / 4 * 3}},
			Match: Match{Class: []string{classes[i%3]}, Group: StringMatcher{Prefix: []string{fmt.Sprintf("%06x", i)}}}})
	}
	t, err := New(set)
	if err != nil {
		panic(err)
	}
	return t
}

func TestDecideDoesNotAllocate(t *testing.T) {
	table := largeTable(1000)
	connection := &ConnectionAttributes{Class: "feed", Group: "00000301", Key: "k"}
	if n := testing.AllocsPerRun(100, func() { table.Decide(connection) }); n != 0 {
		t.Errorf("%v allocations per decision, want 0", n)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := largeTable(n)
			connections := make([]ConnectionAttributes, 4096)
			for i := range connections {
				k := (i * 7919) % n
				connections[i] = ConnectionAttributes{Class: classes[k%3], Group: fmt.Sprintf("%06x-%d", k, i), Key: fmt.Sprint("k", i)}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, ok := table.Decide(&connections[i&4095]); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}
