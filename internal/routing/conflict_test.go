package routing

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

// drawNext draws a set that replaces another: a random one, or the same but for one figure or name, so that each aspect in
// which tables can differ does so alone now and then.
func drawNext(t *rapid.T, set Set) Set {
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

// Conflicting says of a connection what Diff says of all: a change that is more than a name includes it.
func TestConflictingAgreesWithDiff(t *testing.T) {
	seen := map[string]int{}
	testkit.Property(t, func(rt *rapid.T) {
		set := drawSet(rt)
		old, err := New(set)
		if err != nil {
			rt.Fatal(err)
		}
		next, err := New(drawNext(rt, set))
		if err != nil {
			rt.Fatal(err)
		}
		changes, err := Diff(old, next, space)
		if err != nil {
			rt.Fatal(err)
		}
		for range 40 {
			l := drawLine(rt)
			was, is := lineFor(old, l), lineFor(next, l)
			place := SplitPosition(was)
			want := false
			for _, c := range changes {
				in := place >= c.From && place < c.From+c.PPM
				for _, s := range c.Cell {
					in = in && s.Contains(l[strings.TrimPrefix(s.Dimension, "field ")])
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
			if got := Conflicting(old, next, was, is); got != want {
				rt.Fatalf("%v at %d: conflicting %v, by Diff %v", l, place, got, want)
			}
			if Conflicting(next, old, is, was) != want || Conflicting(old, old, was, was) {
				rt.Fatalf("%v: the order of the tables matters", l)
			}
		}
	})
	for _, aspect := range []string{"pool", "terms", "limits", "selection", "name alone"} {
		if seen[aspect] == 0 {
			t.Errorf("no connection ever conflicted in its %s", aspect)
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
	l := &ConnectionAttributes{Class: "feed", Key: "key", Fields: []string{"1"}}
	if n := testing.AllocsPerRun(100, func() {
		if Conflicting(old, next, l, l) {
			t.Error("equal tables conflict")
		}
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
