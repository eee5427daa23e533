package proxy

import (
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/testing/testkit"
)

// TestClockStepsKeepSlowStart sets the wall clock forward and back, by an hour and by seconds, while endpoints start. An endpoint
// that has just started must be in its slow start and no longer than that, an endpoint that has long been up must stay warm, and
// no known endpoint must look restarted.
func TestClockStepsKeepSlowStart(t *testing.T) {
	for name, step := range map[string]time.Duration{
		"an hour forward": time.Hour, "an hour back": -time.Hour, "seconds forward": 7 * time.Second, "seconds back": -7 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			p := newScaledProxy(t, false)
			now := p.loop.Now()
			wall := now // the loop's clock starts at wall-clock time
			p.startTimes.wallClock = func() time.Time { return time.Unix(0, int64(wall)) }
			entry := func(id string, startedAt time.Duration) discovery.Entry {
				return discovery.Entry{ID: id, HostPort: "127.0.0.1:1", Zone: "a", Lifecycle: discovery.InService, StartedAtMs: startedAt.Milliseconds()}
			}
			startOf := func(id string) time.Duration {
				return now - time.Duration(p.endpoints[id].entry.StartedAtMs)*time.Millisecond
			}
			p.applyList(balancer.FullList, []discovery.Entry{
				entry("long", wall-100*time.Hour), entry("before", wall-3*time.Second), entry("unknown", 0),
			})
			long, before := startOf("long"), startOf("before")
			testkit.Equal(t, "age before the step", true, (before-3*time.Second).Abs() < 10*time.Millisecond)

			formerWall := wall
			wall += step
			p.applyList(balancer.DeltaList, []discovery.Entry{
				entry("after", wall-time.Second), entry("crossing", formerWall-2*time.Second), entry("before", formerWall-3*time.Second),
			})
			testkit.Equal(t, "age of an endpoint that started after the step", true, startOf("after") <= time.Second+10*time.Millisecond && startOf("after") >= -futureStartTolerance)
			testkit.Equal(t, "age of an endpoint that started before the step and is listed after it", true, startOf("crossing") <= 2*time.Second+10*time.Millisecond)
			testkit.Equal(t, "age of a known endpoint", before, startOf("before"))
			testkit.Equal(t, "age of an endpoint that has long been up", long, startOf("long"))
			testkit.Equal(t, "start of an endpoint that announces none", int64(0), p.endpoints["unknown"].entry.StartedAtMs)

			p.applyList(balancer.DeltaList, []discovery.Entry{entry("long", wall)}) // it restarts, possibly under a lower wall clock
			testkit.Equal(t, "age of a restarted endpoint", true, startOf("long") <= 10*time.Millisecond)
		})
	}
}

// TestSuccessorContinuesClock checks that the times of a handed-over state keep their meaning if the wall clock was set between
// the starts of the two processes.
func TestSuccessorContinuesClock(t *testing.T) {
	predecessor, successor := newTestLoop(t), newTestLoop(t)
	const step = -time.Hour
	reading, err := predecessor.ReadClock()
	if err != nil {
		t.Fatal(err)
	}
	reading.Loop -= step // as if the wall clock had been set back since the predecessor's start
	handover := receivedHandover{state: &handoverState{Clock: &reading}}
	if err := handover.continueClock(successor); err != nil {
		t.Fatal(err)
	}
	present, err := predecessor.ReadClock()
	if err != nil {
		t.Fatal(err)
	}
	difference := successor.Now() - (present.Loop - step)
	testkit.Equal(t, "the clocks differ by less than a second", true, difference.Abs() < time.Second)
	none := receivedHandover{}
	before := successor.Now()
	if err := none.continueClock(successor); err != nil || successor.Now() != before {
		t.Errorf("without a predecessor the clock moved from %v to %v, error %v", before, successor.Now(), err)
	}
}

func newTestLoop(t *testing.T) *evloop.Loop {
	t.Helper()
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	return loop
}
