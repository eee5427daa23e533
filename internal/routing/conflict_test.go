package routing

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

// drawChangedSet draws a set that replaces another one. It is either a random set or the same set with one changed number or
// name, so that over many draws each aspect also differs alone.
func drawChangedSet(t *rapid.T, set Set) Set {
	if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
		return drawSet(t)
	}
	next := set
	next.Pools = slices.Clone(set.Pools)
	next.Policies = slices.Clone(set.Policies)
	next.Routes = slices.Clone(set.Routes)
	switch rapid.IntRange(0, 6).Draw(t, "change") {
	case 0:
		next.Pools[1].MaxWaiting++
	case 1:
		next.Pools[0].Select.Zones = []string{"thies"}
	case 2:
		next.Policies[0].RetryAfterMax++
	case 3:
		next.Policies[0].Name = "renamed"
		for i := range next.Routes {
			if next.Routes[i].Policy != "" {
				next.Routes[i].Policy = "renamed"
			}
		}
	case 4:
		for i := range next.Routes {
			next.Routes[i].Name = "n" + strconv.Itoa(i)
		}
		next.Default = strings.Replace(next.Default, "r", "n", 1)
	case 5:
		next.Pools[2].Precedence++
	case 6:
		for i := range next.Routes {
			next.Routes[i].MaxOpen++
		}
	}
	return next
}

// TestConflictingAgreesWithDiff checks that Conflicting reports a conflict for a connection exactly if Diff returns a change
// that contains the connection and differs in more than the names of the route and the policy.
func TestConflictingAgreesWithDiff(t *testing.T) {
	seen := map[string]int{}
	testkit.Property(t, func(rt *rapid.T) {
		set := drawSet(rt)
		old, err := New(set)
		if err != nil {
			rt.Fatal(err)
		}
		next, err := New(drawChangedSet(rt, set))
		if err != nil {
			rt.Fatal(err)
		}
		changes, err := Diff(old, next, space)
		if err != nil {
			rt.Fatal(err)
		}
		for range 40 {
			connection := drawConnection(rt)
			oldConnection, newConnection := connectionFor(old, connection), connectionFor(next, connection)
			position := SplitPosition(oldConnection)
			want := false
			for _, c := range changes {
				in := position >= c.From && position < c.From+c.PPM
				for _, s := range c.Cell {
					in = in && s.Contains(connection[strings.TrimPrefix(s.Dimension, "field ")])
				}
				for _, aspect := range c.Aspects {
					if in && aspect != "route" && aspect != "policy" {
						want = true
						seen[aspect]++
					} else if in {
						seen["name alone"]++
					}
				}
			}
			if got := Conflicting(old, next, oldConnection, newConnection); got != want {
				rt.Fatalf("%v at split position %d: Conflicting returned %v, Diff implies %v", connection, position, got, want)
			}
			if Conflicting(next, old, newConnection, oldConnection) != want || Conflicting(old, old, oldConnection, oldConnection) {
				rt.Fatalf("%v: Conflicting depends on the order of the tables, or a table conflicts with itself", connection)
			}
		}
	})
	for _, aspect := range []string{"pool", "terms", "limits", "selection", "name alone"} {
		if seen[aspect] == 0 {
			t.Errorf("no drawn connection differed in the aspect %q", aspect)
		}
	}
}

func TestConflictingDoesNotAllocate(t *testing.T) {
	to := []SplitShare{{Pool: "a", PPM: TotalPPM / 2}, {Pool: "b", PPM: TotalPPM / 2}}
	set := Set{Pools: []Pool{{Name: "a", Select: EndpointSelector{Zones: []string{"thies"}}}, {Name: "b"}}, Default: "r",
		Policies: []Policy{{Name: "q", Fallback: []string{"b"}}}, Routes: []Route{{Name: "r", To: to, Policy: "q"},
			{Name: "s", To: to, Match: Match{Key: StringMatcher{Prefix: []string{"k"}}, Fields: map[string]StringMatcher{"x": {Exact: []string{"1"}}}}}}}
	old, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	next, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	connection := &ConnectionAttributes{Class: "feed", Key: "key", Fields: []string{"1"}}
	if n := testing.AllocsPerRun(100, func() {
		if Conflicting(old, next, connection, connection) {
			t.Error("equal tables conflict")
		}
	}); n != 0 {
		t.Errorf("%v allocations per call, want 0", n)
	}
}
