package memestimate_test

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"example.org/micafront/internal/memestimate"
	"example.org/micafront/internal/memestimate/sets"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

const (
	mib = 1 << 20
	// heapNoise is the number of bytes that the runtime itself may allocate or free during a measurement.
	heapNoise = 64 << 10
)

// newSet returns the set of a plan, encoded and decoded.
func newSet(t interface{ Fatal(...any) }, p sets.Plan) (text []byte, set *routing.Set) {
	text, err := p.Encode()
	if err == nil {
		set, err = sets.Decode(text)
	}
	if err != nil {
		t.Fatal(p, err)
	}
	return text, set
}

// checkRatio checks that the ratio of an estimate to a measured value lies within a range.
func checkRatio(t *testing.T, what string, estimated, measured uint64, least, most float64) {
	t.Helper()
	if ratio := float64(estimated) / float64(measured); math.IsNaN(ratio) || ratio < least || ratio > most {
		t.Errorf("%s: estimated %d, measured %d: ratio %.3f, want %v to %v", what, estimated, measured, ratio, least, most)
	}
}

func TestLiveBytes(t *testing.T) {
	c := memestimate.New()
	largeTables := 0
	minRatio := 0.95
	race := debug.BuildSetting{Key: "-race", Value: "true"}
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, race) {
		minRatio = 0.9 // short strings use more memory under the race detector
	}
	for _, p := range sets.Plans(3, 3*len(sets.Kinds()), 10_000, 10_000) {
		text, set := newSet(t, p)
		live, err := sets.TableBytes(text)
		if err != nil {
			t.Fatal(p, err)
		}
		if e := c.Table(set); live >= mib {
			largeTables++
			checkRatio(t, p.String(), e.LiveBytes, live, minRatio, 1.15)
		} else {
			// The runtime's own allocations vary by some KiB, which is a large part of a small table.
			checkRatio(t, p.String(), e.LiveBytes+heapNoise, live+heapNoise, minRatio-0.05, 1.2)
		}
	}
	if largeTables < 20 {
		t.Errorf("only %d tables of 1 MiB or more, want at least 20", largeTables)
	}
}

// TestSwitchPeak runs itself in a child process with stop-the-world garbage collection, under which the peak is measured
// exactly.
func TestSwitchPeak(t *testing.T) {
	if !sets.HasStopTheWorldGC() {
		cmd := exec.Command(os.Args[0], "-test.run=^TestSwitchPeak$")
		cmd.Env = append(os.Environ(), "GODEBUG="+sets.StopTheWorldGC)
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%v:\n%s", err, out)
		}
		return
	}
	c := memestimate.New()
	for kind, routes := range map[string]int{"splits": 800, "fields": 200, "long texts": 150, "closed": 200, "lists": 20,
		"combinations": 8, "many pools": 800, "mixed": 150} {
		text, set := newSet(t, sets.Plan{Kind: kind, Routes: routes, Seed: 5})
		old, current := newSet(t, sets.Plan{Kind: kind, Routes: routes / 2, Seed: 6})
		peak, err := sets.SwitchPeak(old, text, 4)
		if err != nil {
			t.Fatal(kind, err)
		}
		checkRatio(t, kind, c.SwitchPeak(c.Table(current), c.Table(set), len(text)), peak, 0.95, 1.15)
	}
	var short routing.StringMatcher
	for i := range 64 {
		short.Exact = append(short.Exact, strconv.Itoa(i))
	}
	// A single route of 4,096 rules uses more memory while it is expanded than the compiled table.
	old, current := encodeAndDecode(t, routing.Set{Pools: []routing.Pool{{Name: "p"}}})
	text, set := encodeAndDecode(t, routing.Set{Pools: []routing.Pool{{Name: "p"}}, Routes: []routing.Route{{Name: "r", To: allToPool,
		Match: routing.Match{Key: short, Group: short}}}})
	peak, err := sets.SwitchPeak(old, text, 2)
	if err != nil {
		t.Fatal(err)
	}
	checkRatio(t, "one route of 4,096 rules", c.SwitchPeak(c.Table(current), c.Table(set), len(text)), peak, 0.95, 1.15)
}

var allToPool = []routing.SplitShare{{Pool: "p", PPM: routing.TotalPPM}}

// encodeAndDecode returns the encoded set, and the set as decoded from it.
func encodeAndDecode(t interface{ Fatal(...any) }, set routing.Set) ([]byte, *routing.Set) {
	text, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	out, err := sets.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	return text, out
}

// fieldCount returns the number of further fields on which routes have conditions.
func fieldCount(routes []routing.Route) int {
	names := map[string]bool{}
	for i := range routes {
		for name := range routes[i].Match.Fields {
			names[name] = true
		}
	}
	return len(names)
}

func TestEstimateIsMonotonicAndIgnoresOrder(t *testing.T) {
	c := memestimate.New()
	testkit.Property(t, func(rt *rapid.T) {
		_, set := newSet(rt, sets.Plan{Kind: rapid.SampledFrom(sets.Kinds()).Draw(rt, "kind"),
			Routes: rapid.IntRange(1, 40).Draw(rt, "routes"), Seed: rapid.Uint64().Draw(rt, "seed")})
		all := c.Table(set)
		mixed := *set
		mixed.Routes = rapid.Permutation(set.Routes).Draw(rt, "order")
		mixed.Routes = append(make([]routing.Route, 0, cap(set.Routes)), mixed.Routes...)
		testkit.Equal(t, "estimate for another order of routes", all, c.Table(&mixed))

		less := all
		for n := len(set.Routes); n > 0; n-- {
			mixed.Routes = mixed.Routes[:n-1]
			_, fewer := encodeAndDecode(rt, mixed)
			e := c.Table(fewer)
			// A further field adds an element to the lists of each rule, but rounding to capacities may make the lists smaller:
			// a list of 16 texts is a list of 15 that was reallocated with room to grow, whereas a list of 18 fits exactly.
			if fieldCount(mixed.Routes) < fieldCount(mixed.Routes[:n]) {
				less = e
				continue
			}
			if e.LiveBytes > less.LiveBytes || e.LiveBytes+e.CompileBytes > less.LiveBytes+less.CompileBytes || e.Rules > less.Rules {
				rt.Fatalf("the estimate grew when a route was removed: %d routes: %+v, %d routes: %+v", n, less, n-1, e)
			}
			less = e
		}
	})
}

func TestLargestRoutes(t *testing.T) {
	c := memestimate.New()
	for _, kind := range sets.Kinds() {
		_, set := newSet(t, sets.Plan{Kind: kind, Routes: 10, Seed: 9})
		all := c.Table(set)
		sum := uint64(0)
		for _, size := range all.LargestRoutes {
			sum += size.Bytes
		}
		testkit.Equal(t, "number of largest routes", 10, len(all.LargestRoutes))
		set.Routes = nil
		checkRatio(t, kind+": sum of the sizes of all routes", sum, all.LiveBytes-c.Table(set).LiveBytes, 0.97, 1.03)
	}

	_, set := newSet(t, sets.Plan{Kind: "one text", Routes: 5000, Seed: 9})
	want := []memestimate.RouteSize{}
	for i := range 12 { // each slightly smaller than the previous one
		r := &set.Routes[4000-300*i]
		for n := range 200 - 10*i {
			r.Match.Key.Exact = append(r.Match.Key.Exact, fmt.Sprint("another text ", i, " ", n))
		}
		want = append(want, memestimate.RouteSize{Route: r.Name, Rules: uint64(len(r.Match.Key.Exact))})
	}
	got := c.Table(set).LargestRoutes
	if !slices.IsSortedFunc(got, func(a, b memestimate.RouteSize) int { return int(b.Bytes) - int(a.Bytes) }) {
		t.Errorf("largest routes are not sorted by descending size: %v", got)
	}
	for i := range got {
		got[i].Bytes = 0
	}
	testkit.Equal(t, "names and rules of the largest routes", want[:10], got)
}

// prefixesOfLengths returns a condition with n prefixes of the lengths 1 to n.
func prefixesOfLengths(n int) (s routing.StringMatcher) {
	for i := range n {
		s.Prefix = append(s.Prefix, strings.Repeat("x", i+1))
	}
	return s
}

func TestEstimateOfInvalidSets(t *testing.T) {
	c := memestimate.New()
	huge := routing.Match{Fields: map[string]routing.StringMatcher{}}
	for i := range 20 {
		huge.Fields[fmt.Sprint("f", i)] = prefixesOfLengths(500)
	}
	route := func(m routing.Match) routing.Set {
		return routing.Set{Pools: []routing.Pool{{Name: "p"}}, Routes: []routing.Route{{Name: "r", Match: m, To: allToPool}}}
	}
	set := route(huge)
	e := c.Table(&set)
	testkit.Equal(t, "saturated values", []uint64{math.MaxUint64, math.MaxUint64, math.MaxUint64, math.MaxUint64},
		[]uint64{e.LiveBytes, e.Rules, c.SwitchPeak(e, e, 1), c.HotRestartPeak(e, 1)})
	set = routing.Set{Policies: []routing.Policy{{}, {Fallback: []string{"", "?"}}}, Default: "none",
		Routes: []routing.Route{{}, {Policy: "?", To: []routing.SplitShare{{PPM: math.MinInt}}},
			{Match: routing.Match{Key: prefixesOfLengths(3000)}}}}
	if e = c.Table(&set); e.Rules != 3002 || e.LiveBytes > 16*mib {
		t.Errorf("invalid set: %+v, want 3002 rules and at most 16 MiB", e)
	}
	testkit.Equal(t, "rules of an empty set", uint64(0), c.Table(&routing.Set{}).Rules)
	testkit.Equal(t, "peak with a negative body length", c.SwitchPeak(e, e, 0), c.SwitchPeak(e, e, -1))
}

func TestDuplicateTextsCountOnce(t *testing.T) {
	long := []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct {
		rules uint64
		match routing.Match
	}{
		{1, routing.Match{}},
		{1, routing.Match{Key: routing.StringMatcher{Exact: long, Prefix: []string{"x", ""}}}}, // matches every text
		{2, routing.Match{Class: []string{"a", "b", "a"}}},
		{6, routing.Match{Zone: append(long, long...)}},
		{8, routing.Match{Key: routing.StringMatcher{Exact: append(long, "a"), Prefix: []string{"a", "b", "a"}}}},
		{4, routing.Match{Group: routing.StringMatcher{Exact: []string{"a", "a"}, Prefix: []string{"a"}}, Listener: []string{"a", "b"}}},
	} {
		set := routing.Set{Routes: []routing.Route{{Match: c.match}}}
		testkit.Equal(t, fmt.Sprintf("rules of %+v", c.match), c.rules, memestimate.New().Table(&set).Rules)
	}
}

// TestManyShapes checks the estimate of a table with far more shapes than a real table has.
func TestManyShapes(t *testing.T) {
	set := routing.Set{Pools: []routing.Pool{{Name: "p"}}}
	for i := range 2000 {
		set.Routes = append(set.Routes, routing.Route{Name: fmt.Sprint("r", i), Precedence: i,
			To: allToPool,
			Match: routing.Match{Group: prefixesOfLengths(1 + i%7), Key: routing.StringMatcher{Prefix: []string{strings.Repeat("k", 1+i%11)}},
				Fields: map[string]routing.StringMatcher{fmt.Sprint("f", i%13): prefixesOfLengths(1 + i%3), fmt.Sprint("g", i%17): prefixesOfLengths(1)}}})
	}
	text, read := encodeAndDecode(t, set)
	live, err := sets.TableBytes(text)
	if err != nil {
		t.Fatal(err)
	}
	checkRatio(t, "many shapes", memestimate.New().Table(read).LiveBytes, live, 0.97, 1.05)
}

// allocatedBytes returns the bytes that a call allocates.
func allocatedBytes(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func TestCostOfEstimating(t *testing.T) {
	c := memestimate.New()
	for _, kind := range sets.Kinds() {
		routes := 4000
		if kind == "lists" || kind == "combinations" || strings.HasPrefix(kind, "long") {
			routes = 200
		}
		_, set := newSet(t, sets.Plan{Kind: kind, Routes: routes, Seed: 11})
		e := c.Table(set)
		if bytes := allocatedBytes(func() { c.Table(set) }); bytes > e.LiveBytes/10 {
			t.Errorf("%s: estimating a table of %d bytes allocates %d bytes, want at most a tenth", kind, e.LiveBytes, bytes)
		}
		if n := testing.AllocsPerRun(3, func() { c.Table(set) }); n > 100 {
			t.Errorf("%s: %v allocations for %d routes, want at most 100", kind, n, routes)
		}
	}

	// Each of these routes has 4,096 shapes that no other route has.
	set := routing.Set{Pools: []routing.Pool{{Name: "p"}}}
	for i := range 2000 {
		set.Routes = append(set.Routes, routing.Route{Name: fmt.Sprint("r", i), Match: routing.Match{Key: prefixesOfLengths(16),
			Group: prefixesOfLengths(16), Fields: map[string]routing.StringMatcher{fmt.Sprint("f", i): prefixesOfLengths(16)}}})
	}
	var e memestimate.Estimate
	bytes := allocatedBytes(func() { e = c.Table(&set) })
	testkit.Equal(t, "rules", uint64(2000*4096), e.Rules)
	if bytes > 64*mib || e.LiveBytes < 8<<30 {
		t.Errorf("adversarial set: %d bytes allocated, %d bytes estimated", bytes, e.LiveBytes)
	}
}

func TestCounterIsSafeForConcurrentUse(t *testing.T) {
	c := memestimate.New()
	_, set := newSet(t, sets.Plan{Kind: "mixed", Routes: 200, Seed: 1})
	want := c.Table(set)
	var workers sync.WaitGroup
	for range 4 {
		workers.Go(func() { testkit.Equal(t, "estimate in a concurrent goroutine", want, c.Table(set)) })
	}
	workers.Wait()
}
