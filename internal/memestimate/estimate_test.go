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
	// heapNoise is what the runtime itself may allocate or free during a measurement.
	heapNoise = 64 << 10
)

// newSet makes the set of a plan, encoded and decoded.
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

// checkRatio fails where the ratio of an estimate to what was measured is outside a range.
func checkRatio(t *testing.T, what string, estimated, measured uint64, least, most float64) {
	t.Helper()
	if ratio := float64(estimated) / float64(measured); math.IsNaN(ratio) || ratio < least || ratio > most {
		t.Errorf("%s: estimated %d, measured %d: a ratio of %.3f, not %v to %v", what, estimated, measured, ratio, least, most)
	}
}

func TestLive(t *testing.T) {
	c := memestimate.New()
	large := 0
	least := 0.95
	race := debug.BuildSetting{Key: "-race", Value: "true"}
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, race) {
		least = 0.9 // short strings use more there
	}
	for _, p := range sets.Plans(3, 3*len(sets.Kinds()), 10_000, 10_000) {
		text, set := newSet(t, p)
		live, err := sets.TableBytes(text)
		if err != nil {
			t.Fatal(p, err)
		}
		if e := c.Table(set); live >= mib {
			large++
			checkRatio(t, p.String(), e.LiveBytes, live, least, 1.15)
		} else {
			// The runtime's own allocations vary by some KiB, which is much of a small table.
			checkRatio(t, p.String(), e.LiveBytes+heapNoise, live+heapNoise, least-0.05, 1.2)
		}
	}
	if large < 20 {
		t.Errorf("only %d tables of 1 MiB or more", large)
	}
}

// TestPeak runs itself in a second process, in which the peak can be measured exactly.
func TestPeak(t *testing.T) {
	if !sets.HasStopTheWorldGC() {
		cmd := exec.Command(os.Args[0], "-test.run=^TestPeak$")
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
	// One route of 4,096 rules uses more while it is expanded than the table in the end.
	old, current := encodeAndDecode(t, routing.Set{Pools: []routing.Pool{{Name: "p"}}})
	text, set := encodeAndDecode(t, routing.Set{Pools: []routing.Pool{{Name: "p"}}, Routes: []routing.Route{{Name: "r", To: wholeToPool,
		Match: routing.Match{Key: short, Group: short}}}})
	peak, err := sets.SwitchPeak(old, text, 2)
	if err != nil {
		t.Fatal(err)
	}
	checkRatio(t, "one route", c.SwitchPeak(c.Table(current), c.Table(set), len(text)), peak, 0.95, 1.15)
}

var wholeToPool = []routing.SplitShare{{Pool: "p", PPM: routing.TotalPPM}}

// encodeAndDecode is a set's text, and the set as a decoder makes it.
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

// fieldCount is how many further fields routes have conditions on.
func fieldCount(of []routing.Route) int {
	names := map[string]bool{}
	for i := range of {
		for name := range of[i].Match.Fields {
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
		testkit.Equal(t, "the estimate in another order", all, c.Table(&mixed))

		less := all
		for n := len(set.Routes); n > 0; n-- {
			mixed.Routes = mixed.Routes[:n-1]
			_, fewer := encodeAndDecode(rt, mixed)
			e := c.Table(fewer)
			// A further field makes each rule's lists longer by one, and by chance of their sizes it may make them
			// smaller: a list of 16 texts is one of 15 grown by half of what it then holds, one of 18 is just that.
			if fieldCount(mixed.Routes) < fieldCount(mixed.Routes[:n]) {
				less = e
				continue
			}
			if e.LiveBytes > less.LiveBytes || e.LiveBytes+e.CompileBytes > less.LiveBytes+less.CompileBytes || e.Rules > less.Rules {
				rt.Fatalf("%d routes: %+v, %d: %+v", n, less, n-1, e)
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
		for _, w := range all.LargestRoutes {
			sum += w.Bytes
		}
		testkit.Equal(t, "as many as there are", 10, len(all.LargestRoutes))
		set.Routes = nil
		checkRatio(t, kind+": all routes' weights", sum, all.LiveBytes-c.Table(set).LiveBytes, 0.97, 1.03)
	}

	_, set := newSet(t, sets.Plan{Kind: "one text", Routes: 5000, Seed: 9})
	want := []memestimate.RouteSize{}
	for i := range 12 { // each a little smaller than the one before
		r := &set.Routes[4000-300*i]
		for n := range 200 - 10*i {
			r.Match.Key.Exact = append(r.Match.Key.Exact, fmt.Sprint("another text ", i, " ", n))
		}
		want = append(want, memestimate.RouteSize{Route: r.Name, Rules: uint64(len(r.Match.Key.Exact))})
	}
	got := c.Table(set).LargestRoutes
	if !slices.IsSortedFunc(got, func(a, b memestimate.RouteSize) int { return int(b.Bytes) - int(a.Bytes) }) {
		t.Errorf("not sorted by size: %v", got)
	}
	for i := range got {
		got[i].Bytes = 0
	}
	testkit.Equal(t, "the largest", want[:10], got)
}

// prefixesOfLengths is a condition of n prefixes of different lengths.
func prefixesOfLengths(n int) (s routing.StringMatcher) {
	for i := range n {
		s.Prefix = append(s.Prefix, strings.Repeat("x", i+1))
	}
	return s
}

func TestBadSets(t *testing.T) {
	c := memestimate.New()
	huge := routing.Match{Fields: map[string]routing.StringMatcher{}}
	for i := range 20 {
		huge.Fields[fmt.Sprint("f", i)] = prefixesOfLengths(500)
	}
	route := func(m routing.Match) routing.Set {
		return routing.Set{Pools: []routing.Pool{{Name: "p"}}, Routes: []routing.Route{{Name: "r", Match: m, To: wholeToPool}}}
	}
	set := route(huge)
	e := c.Table(&set)
	testkit.Equal(t, "saturated", []uint64{math.MaxUint64, math.MaxUint64, math.MaxUint64, math.MaxUint64},
		[]uint64{e.LiveBytes, e.Rules, c.SwitchPeak(e, e, 1), c.HotRestartPeak(e, 1)})
	set = routing.Set{Policies: []routing.Policy{{}, {Fallback: []string{"", "?"}}}, Default: "none",
		Routes: []routing.Route{{}, {Policy: "?", To: []routing.SplitShare{{PPM: math.MinInt}}},
			{Match: routing.Match{Key: prefixesOfLengths(3000)}}}}
	if e = c.Table(&set); e.Rules != 3002 || e.LiveBytes > 16*mib {
		t.Errorf("an invalid set: %+v", e)
	}
	testkit.Equal(t, "an empty set", uint64(0), c.Table(&routing.Set{}).Rules)
	testkit.Equal(t, "a negative length of the text", c.SwitchPeak(e, e, 0), c.SwitchPeak(e, e, -1))
}

func TestDuplicateTextsCountOnce(t *testing.T) {
	long := []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct {
		rules uint64
		match routing.Match
	}{
		{1, routing.Match{}},
		{1, routing.Match{Key: routing.StringMatcher{Exact: long, Prefix: []string{"x", ""}}}}, // always holds
		{2, routing.Match{Class: []string{"a", "b", "a"}}},
		{6, routing.Match{Zone: append(long, long...)}},
		{8, routing.Match{Key: routing.StringMatcher{Exact: append(long, "a"), Prefix: []string{"a", "b", "a"}}}},
		{4, routing.Match{Group: routing.StringMatcher{Exact: []string{"a", "a"}, Prefix: []string{"a"}}, Listener: []string{"a", "b"}}},
	} {
		set := routing.Set{Routes: []routing.Route{{Match: c.match}}}
		testkit.Equal(t, fmt.Sprintf("rules of %+v", c.match), c.rules, memestimate.New().Table(&set).Rules)
	}
}

// TestManyShapes has a table with more shapes than any real one.
func TestManyShapes(t *testing.T) {
	set := routing.Set{Pools: []routing.Pool{{Name: "p"}}}
	for i := range 2000 {
		set.Routes = append(set.Routes, routing.Route{Name: fmt.Sprint("r", i), Precedence: i,
			To: wholeToPool,
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

// allocatedBytes is what a call allocates.
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
			t.Errorf("%s: estimating a table of %d bytes allocates %d", kind, e.LiveBytes, bytes)
		}
		if n := testing.AllocsPerRun(3, func() { c.Table(set) }); n > 100 {
			t.Errorf("%s: %v allocations for %d routes", kind, n, routes)
		}
	}

	// Each of these routes has 4,096 shapes of rules, which no other route has.
	set := routing.Set{Pools: []routing.Pool{{Name: "p"}}}
	for i := range 2000 {
		set.Routes = append(set.Routes, routing.Route{Name: fmt.Sprint("r", i), Match: routing.Match{Key: prefixesOfLengths(16),
			Group: prefixesOfLengths(16), Fields: map[string]routing.StringMatcher{fmt.Sprint("f", i): prefixesOfLengths(16)}}})
	}
	var e memestimate.Estimate
	bytes := allocatedBytes(func() { e = c.Table(&set) })
	testkit.Equal(t, "rules", uint64(2000*4096), e.Rules)
	if bytes > 64*mib || e.LiveBytes < 8<<30 {
		t.Errorf("an adversarial set: %d bytes allocated, %d estimated", bytes, e.LiveBytes)
	}
}

func TestCounterIsSharedByGoroutines(t *testing.T) {
	c := memestimate.New()
	_, set := newSet(t, sets.Plan{Kind: "mixed", Routes: 200, Seed: 1})
	want := c.Table(set)
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() { testkit.Equal(t, "estimate of another goroutine", want, c.Table(set)) })
	}
	all.Wait()
}
