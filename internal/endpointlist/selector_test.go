package endpointlist

import (
	"fmt"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

const (
	ms        = time.Millisecond
	startTime = time.Hour
)

// describe formats the visible state of a selector. Times count from startTime.
func describe(s *SourceSelector) string {
	due := time.Duration(0)
	if s.NextTick() != 0 {
		due = s.NextTick() - startTime
	}
	return fmt.Sprintf("%d paused=%v due=%v", s.Current(), s.Paused(), due)
}

func TestSourceSelector(t *testing.T) {
	type step struct {
		at   time.Duration
		do   func(*SourceSelector, time.Duration)
		want string
	}
	granted := func(n uint64) func(*SourceSelector, time.Duration) {
		return func(s *SourceSelector, now time.Duration) { s.LeaseGranted(now, n) }
	}
	tick := (*SourceSelector).Tick
	received := (*SourceSelector).UpdateReceived
	failed := (*SourceSelector).CallFailed
	for name, steps := range map[string][]step{
		"a replica serves and fails, the next one fails, and the third one serves": {
			{0, tick, "0 paused=false due=2s"}, {100 * ms, received, "0 paused=false due=0s"},
			{time.Minute, failed, "1 paused=false due=1m2s"}, {time.Minute, failed, "2 paused=false due=1m2s"},
			{time.Minute + ms, received, "2 paused=false due=0s"}},
		"rounds with growing pauses, then failover": {
			{0, failed, "1 paused=false due=2s"}, {0, failed, "2 paused=false due=2s"}, {0, failed, "2 paused=true due=50ms"},
			{40 * ms, tick, "2 paused=true due=50ms"}, {50 * ms, tick, "0 paused=false due=2s"},
			{50 * ms, failed, "1 paused=false due=2s"}, {50 * ms, failed, "2 paused=false due=2s"},
			{50 * ms, failed, "2 paused=true due=150ms"},
			{2 * time.Second, tick, "-1 paused=false due=0s"}},
		"unresponsive replicas, and returns once a lease carries a list number": {
			{0, tick, "0 paused=false due=2s"}, {time.Second, failed, "1 paused=false due=2s"},
			{2 * time.Second, failed, "-1 paused=false due=0s"},
			{2500 * ms, granted(3), "-1 paused=false due=4s"}, {2600 * ms, (*SourceSelector).LeaseExpired, "-1 paused=false due=0s"},
			{4100 * ms, tick, "-1 paused=false due=0s"}, {4200 * ms, granted(3), "2 paused=false due=6.2s"},
			{6200 * ms, tick, "-1 paused=false due=0s"}, {6300 * ms, granted(3), "-1 paused=false due=10.2s"}, // the backoff has doubled
			{10200 * ms, tick, "2 paused=false due=12.2s"}, {10300 * ms, received, "2 paused=false due=0s"},
			{50 * time.Second, failed, "0 paused=false due=52s"}, {52 * time.Second, failed, "-1 paused=false due=0s"},
			{53 * time.Second, granted(3), "-1 paused=false due=54s"}}, // the replicas served for over MaxBackoff, so the backoff was reset
		"replicas without a list": {
			{0, granted(0), "-1 paused=false due=0s"}, {ms, received, "-1 paused=false due=0s"},
			{2 * ms, failed, "-1 paused=false due=0s"},
			{time.Hour, granted(0), "-1 paused=false due=0s"}, {2 * time.Hour, granted(1), "0 paused=false due=2h0m2s"}},
		"the number of replicas decreases": {
			{0, failed, "1 paused=false due=2s"}, {0, failed, "2 paused=false due=2s"},
			{ms, func(s *SourceSelector, _ time.Duration) { s.SetReplicaCount(2) }, "0 paused=false due=2s"},
			{2 * ms, func(s *SourceSelector, _ time.Duration) { s.SetReplicaCount(0) }, "-1 paused=false due=0s"},
			{3 * ms, granted(1), "-1 paused=false due=0s"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSourceSelector(3, 0)
			for i, step := range steps {
				step.do(s, startTime+step.at)
				testkit.Equal(t, fmt.Sprint("step ", i), step.want, describe(s))
			}
		})
	}
}

// TestSourceSelectorJitter checks that proxies that lose the replicas at the same instant fail over to discovery, and return to
// the replicas, at different times.
func TestSourceSelectorJitter(t *testing.T) {
	failovers := map[time.Duration]bool{}
	returns := map[time.Duration]bool{}
	for i := range uint64(200) {
		s := NewSourceSelector(3, i*0x9e3779b97f4a7c15)
		s.Tick(startTime)
		failovers[s.NextTick().Truncate(50*ms)] = true
		s.Tick(startTime + FailoverTimeout)
		testkit.Equal(t, "after the failover timeout", Discovery, s.Current())
		s.LeaseGranted(startTime+FailoverTimeout, 1)
		returns[s.NextTick().Truncate(100*ms)] = true
		if d := s.NextTick() - startTime - FailoverTimeout; d < InitialBackoff || d >= 2*InitialBackoff {
			t.Errorf("the return is due %v after the failover, want at least %v and less than %v", d, InitialBackoff, 2*InitialBackoff)
		}
	}
	testkit.Equal(t, "intervals of 50 ms with failovers", 11, len(failovers)) // 10 intervals of jitter, and the full timeout for a jitter of 0
	testkit.Equal(t, "intervals of 100 ms with returns", 20, len(returns))
}

// Behaviors of a simulated replica.
const (
	refusing = iota
	unresponsive
	serving
)

// simulation calls a selector as a proxy does. The behavior of its replicas changes between runs.
type simulation struct {
	t        *rapid.T
	selector *SourceSelector
	replicas []int // behavior of each replica
	granting bool  // whether leases are granted

	now           time.Duration
	nextLease     time.Duration
	callEnds      time.Duration // 0: no call is in flight
	current       int           // source that was selected after the last step
	failedOverAt  time.Duration
	unservedSince time.Duration // time since which no replica has served; 0: a replica serves
}

const (
	simulatedCallTimeout   = time.Second
	simulatedLeaseInterval = 500 * ms
)

// run advances the simulated time.
func (s *simulation) run(until time.Duration) {
	s.t.Helper()
	const maxSteps = 200_000
	for steps := 0; s.now < until; steps++ {
		if steps > maxSteps {
			s.t.Fatalf("more than %d steps before the time %v: the selector is %s", maxSteps, until, describe(s.selector))
		}
		s.startCall()
		s.now = s.nextEvent(until)
		s.grantLease()
		s.endCall()
		s.selector.Tick(s.now)
		s.checkSource()
	}
}

// startCall starts a call unless one is in flight. A call to a serving replica continues as a watch, which ends when the replica
// stops serving.
func (s *simulation) startCall() {
	if s.callEnds != 0 || s.selector.Current() == Discovery || s.selector.Paused() {
		return
	}
	behavior := s.replicas[s.selector.Current()]
	if s.unservedSince != 0 {
		s.callEnds = s.now + []time.Duration{refusing: ms, unresponsive: simulatedCallTimeout, serving: ms}[behavior]
	} else if behavior != serving {
		s.callEnds = s.now + ms
	}
}

func (s *simulation) nextEvent(until time.Duration) time.Duration {
	next := min(until, s.nextLease)
	for _, due := range []time.Duration{s.selector.NextTick(), s.callEnds} {
		if due != 0 {
			next = min(next, max(due, s.now))
		}
	}
	return next
}

func (s *simulation) grantLease() {
	if s.now < s.nextLease {
		return
	}
	s.nextLease = s.now + simulatedLeaseInterval
	if s.granting {
		s.selector.LeaseGranted(s.now, 1)
	} else {
		s.selector.LeaseExpired(s.now)
	}
}

func (s *simulation) endCall() {
	if s.callEnds == 0 || s.now < s.callEnds || s.selector.Current() != s.current {
		return
	}
	s.callEnds = 0
	if s.replicas[s.current] == serving {
		s.selector.UpdateReceived(s.now)
		s.unservedSince = 0
		return
	}
	s.selector.CallFailed(s.now)
	if s.unservedSince == 0 {
		s.unservedSince = s.now
	}
}

// checkSource checks the minimum backoff before a return, and that no replica stays selected without serving for longer than
// the failover timeout and one call.
func (s *simulation) checkSource() {
	s.t.Helper()
	selected := s.selector.Current()
	if selected != s.current && s.current == Discovery {
		if s.now-s.failedOverAt < InitialBackoff {
			s.t.Fatalf("return to the replicas %v after the failover, want at least %v", s.now-s.failedOverAt, InitialBackoff)
		}
		s.unservedSince = s.now
	}
	if selected != s.current {
		s.callEnds = 0
		if selected == Discovery {
			s.failedOverAt = s.now
		}
	}
	s.current = selected
	if unserved := s.now - s.unservedSince; selected != Discovery && s.unservedSince != 0 && unserved > FailoverTimeout+simulatedCallTimeout {
		s.t.Fatalf("replica %d is still selected after %v without a serving replica", selected, unserved)
	}
}

// TestSourceSelectorMakesProgress checks for random behavior of the replicas that the selector finally selects the serving
// replica, or discovery if none serves. It fails over within the failover timeout and one call, and uses discovery for at least
// the initial backoff.
func TestSourceSelectorMakesProgress(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(rt, "replicas")
		selector := NewSourceSelector(n, rapid.Uint64().Draw(rt, "seed"))
		s := &simulation{t: rt, selector: selector, replicas: make([]int, n), granting: true, now: startTime, nextLease: startTime,
			current: selector.Current(), unservedSince: startTime}
		for range rapid.IntRange(1, 12).Draw(rt, "phases") {
			for i := range s.replicas {
				s.replicas[i] = rapid.IntRange(refusing, serving).Draw(rt, "replica")
			}
			s.granting = rapid.Bool().Draw(rt, "granting")
			s.run(s.now + time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "ms"))*ms)
		}
		last := rapid.IntRange(Discovery, n-1).Draw(rt, "last serving replica")
		for i := range s.replicas {
			s.replicas[i] = refusing
		}
		s.granting = last != Discovery
		if last != Discovery {
			s.replicas[last] = serving
		}
		s.run(s.now + 2*MaxBackoff)
		if selector.Current() != last {
			rt.Fatalf("the final state is %s, want source %d", describe(selector), last)
		}
	})
}
