package fleetsim

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
)

func TestNoViolationUnderRandomFaults(t *testing.T) {
	seeds := uint64(200)
	if testing.Short() {
		seeds = 20
	}
	summary := ExploreAll(Exploration{FirstSeed: 1, SeedCount: seeds, Workers: 2})
	t.Logf("\n%s", summary)
	for _, outcome := range summary.Failed {
		t.Error(outcome.Violation)
	}
	if summary.PlacedConnections < 500*seeds || summary.ActivatedVersions < 4*seeds || len(summary.Overlaps) < int(seeds/4) {
		t.Error("the runs place too few connections, activate too few versions or have too few overlaps")
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		var a, b bytes.Buffer
		first, second := Explore(seed, Hooks{}, &a), Explore(seed, Hooks{}, &b)
		if first.Digest != second.Digest || !bytes.Equal(a.Bytes(), b.Bytes()) || a.Len() < 10_000 {
			t.Errorf("seed %d: two runs differ or their traces are too short: %d and %d bytes", seed, a.Len(), b.Len())
		}
		if other := Explore(seed+100, Hooks{}, nil); other.Digest == first.Digest {
			t.Errorf("seeds %d and %d lead to the same run", seed, seed+100)
		}
	}
}

// TestPlantedFaultsAreDetected checks that each planted fault violates the invariant that guards against it, within a number of
// seeds, and that the seed reproduces the violation.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		seeds    uint64
		violates string
	}{
		"lease-not-checked": {30, "I1"}, "lease-from-answer": {200, "I1"}, "prepare-skipped": {30, "I5"},
		"wrong-precedence": {10, "I4"}, "first-come": {10, "I4"}, "estimate-halved": {30, "I5"},
		"silence-ignored": {60, "I1"}, "grant-unconfirmed": {60, "I2"}, "forgetful-disk": {30, ""},
		"hearing-forgotten": {30, "I7"},
	} {
		t.Run(name, func(t *testing.T) {
			hooks, ok := PlantedFaultHooks(name)
			if !ok {
				t.Fatal("no planted fault has this name")
			}
			summary := ExploreAll(Exploration{FirstSeed: 1, SeedCount: c.seeds, Workers: 2, StopAtFirstViolation: true, Hooks: hooks})
			if len(summary.Failed) == 0 {
				t.Fatalf("the fault is not detected within %d seeds", c.seeds)
			}
			outcome := summary.Failed[0]
			t.Logf("with seed %d: %s", outcome.Seed, outcome.Violation.Description)
			if !strings.HasPrefix(outcome.Violation.Description, c.violates) {
				t.Errorf("the violation is %q, and does not concern %s", outcome.Violation.Description, c.violates)
			}
			again := Explore(outcome.Seed, hooks, nil)
			if again.Violation == nil || again.Violation.Error() != outcome.Violation.Error() {
				t.Errorf("seed %d does not reproduce the violation: %v", outcome.Seed, again.Violation)
			}
		})
	}
}

func TestDriftingClocks(t *testing.T) {
	for _, c := range []Clock{{0, 0}, {time.Hour, 1000}, {-time.Second, -1000}, {7, 50_000}} {
		for _, at := range []time.Duration{0, 1, time.Millisecond + 1, time.Hour, 1000 * time.Hour} {
			local := c.Read(at)
			back := c.TrueTime(local)
			if c.Read(back) < local || back > 0 && c.Read(back-1) >= local+1 || back-at > 2 || at-back > 2 {
				t.Errorf("%+v reads %d at true time %d, but TrueTime of that reading is %d", c, local, at, back)
			}
		}
	}
	fast := Clock{DriftPPM: 1000}
	testkit.Equal(t, "reading of a fast clock after a minute", 60_060*time.Millisecond, fast.Read(time.Minute))
}

func TestPausedProcessesDeferTheirEvents(t *testing.T) {
	e := NewEngine(1, nil)
	p := &Process{Name: "p", engine: e}
	p.start()
	var ran []time.Duration
	action := func() { ran = append(ran, e.Now()) }
	n := newNetwork(e, Link{MinDelay: time.Second, MaxDelay: time.Second})
	p.Timer(2*time.Second, action)
	n.Send("q", p, action)
	p.pause()
	run := func(until time.Duration) { e.Run(until, func() bool { return false }) }
	run(5 * time.Second)
	testkit.Equal(t, "while paused", []time.Duration(nil), ran)
	p.resume()
	run(6 * time.Second)
	testkit.Equal(t, "after resume", []time.Duration{5 * time.Second, 5 * time.Second}, ran)
	p.Timer(7*time.Second, action)
	p.crash()
	p.start()
	n.Link("q", "p").Disconnected = true
	n.Send("q", p, action)
	n.Send("r", p, action)
	run(9 * time.Second)
	testkit.Equal(t, "after a crash", []time.Duration{5 * time.Second, 5 * time.Second, 7 * time.Second}, ran)
	testkit.Equal(t, "lost messages", uint64(1), n.Lost)
}

// TestInvariantsDetectViolations requires a violation from each check of I1 to I5, and from a switch to an unprepared version. It
// guards against a check that never fails.
func TestInvariantsDetectViolations(t *testing.T) {
	version := func(n uint64, pool string) *compiledVersion {
		f := New(Config{Seed: 1, ProxyCount: 1})
		body, _ := f.BuildBody(&Draft{Routes: map[string]string{"k": pool}, Terms: f.Terms}, nil)
		compiled, rejection := f.compileCached(fleetconfig.Version{Number: n, Digest: body.Digest(), Body: *body}, "thies")
		if rejection != nil {
			t.Fatal(rejection)
		}
		return compiled
	}
	older, newer := version(1, "a"), version(2, "b")
	for description, violate := range map[string]func(*Fleet){
		"I1: p1 sends": func(f *Fleet) {
			p := f.Proxies[0]
			p.active = newer
			f.invariants.checkPlacement(p, "k", "b")
			f.Run(f.Terms.AgreementTimeout + 1)
			p.active = older
			f.invariants.checkPlacement(p, "k", "a")
		},
		"I2: proposal x is answered": func(f *Fleet) { f.invariants.checkAnswer("x", 1); f.invariants.checkAnswer("x", 2) },
		"I2: r1 grants a lease on version 1 to": func(f *Fleet) {
			f.invariants.checkLease(f.Replicas[0], pendingRenewal{activeAtReceipt: 2}, fleetconfig.Lease{ActiveVersion: 1})
		},
		"I2: r1 leads in term": func(f *Fleet) {
			f.invariants.checkAnswer("x", 7)
			f.invariants.checkLease(f.Replicas[0], pendingRenewal{receivedAt: 1}, fleetconfig.Lease{ActiveVersion: 1})
		},
		"I3: the state of r1 differs": func(f *Fleet) {
			f.invariants.checkApplied(f.Replicas[0], 3)
			f.Replicas[0].state.Apply(4, fleetconfig.Command{AddMember: &fleetconfig.AddMember{Node: "n", Incarnation: 1}})
			f.invariants.checkApplied(f.Replicas[0], 3)
		},
		"I4: version 1 is": func(f *Fleet) {
			f.invariants.checkDigest("p1", fleetconfig.Version{Number: 1, Digest: "x"})
			f.invariants.checkDigest("p2", fleetconfig.Version{Number: 1, Digest: "y"})
		},
		"I5: p1 loads": func(f *Fleet) { f.Proxies[0].MemoryLimit = 1; f.invariants.checkPrepared(f.Proxies[0], older) },
		"p1 switches to version 9, which it has not": func(f *Fleet) { f.Proxies[0].switchTo(9) },
	} {
		f := New(Config{Seed: 1, ProxyCount: 1})
		violate(f)
		if f.Violation == nil || !strings.HasPrefix(f.Violation.Description, description) {
			t.Errorf("violation %q is not detected: %v", description, f.Violation)
		}
	}
}
