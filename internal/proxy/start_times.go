package proxy

import (
	"slices"
	"time"

	"example.org/micafront/internal/discovery"
)

// Service discovery announces the start times of endpoints by the wall clock, and the proxy converts them to the loop's clock.
// The loop's clock starts at wall-clock time and runs monotonically, so the two differ once the wall clock is set.

const (
	// minClockStep is the smallest change of the offset between the clocks that counts as a step. Slewing causes smaller ones.
	minClockStep = 500 * time.Millisecond
	// futureStartTolerance is how far in the future a start time may lie, because the clock of discovery's machine may be ahead.
	futureStartTolerance = time.Second
	// maxClockSteps is the number of clock offsets that are remembered.
	maxClockSteps = 8
)

// startTimes converts start times to the loop's clock. It reads the wall clock when a list arrives.
type startTimes struct {
	wallClock func() time.Time
	// offsets holds how far the wall clock was ahead of the loop's clock after each step, starting with 0; the latest is last.
	offsets []time.Duration
}

func newStartTimes(wallClock func() time.Time) startTimes {
	return startTimes{wallClock: wallClock, offsets: []time.Duration{0}}
}

// observe records a new offset if the wall clock has been set.
func (s *startTimes) observe(now time.Duration) {
	offset := time.Duration(s.wallClock().UnixNano()) - now
	if (offset - s.offsets[len(s.offsets)-1]).Abs() < minClockStep {
		return
	}
	if s.offsets = append(s.offsets, offset); len(s.offsets) > maxClockSteps {
		s.offsets = slices.Delete(s.offsets, 0, 1)
	}
}

// announcedStarts holds the start times of a list's entries as announced by discovery, in milliseconds of Unix time.
type announcedStarts []int64

// convert converts the start times of a list in place to the loop's clock, and returns the announced ones. A known endpoint with
// an unchanged announced time keeps its converted time, so that a clock step does not make it look restarted.
func (s *startTimes) convert(list *discovery.List, known endpointTable, now time.Duration) announcedStarts {
	s.observe(now)
	announced := make(announcedStarts, len(list.Instances))
	for i := range list.Instances {
		entry := &list.Instances[i]
		announced[i] = entry.StartedAtMs
		if e := known[entry.ID]; e != nil && e.announcedStartMs == entry.StartedAtMs {
			entry.StartedAtMs = e.entry.StartedAtMs
		} else {
			entry.StartedAtMs = s.startedAt(entry.StartedAtMs, now)
		}
	}
	return announced
}

// startedAt converts an announced start time to the loop's clock. Whether the endpoint started before or after a clock step is
// unknown, so the result is the latest candidate that is not in the future: treating a cold endpoint as warm would overload it.
func (s *startTimes) startedAt(announcedMs int64, now time.Duration) int64 {
	if announcedMs == 0 {
		return 0 // no start time announced: treated as long ago
	}
	nowMs := now.Milliseconds()
	latest := int64(-1)
	for _, offset := range s.offsets {
		startMs := announcedMs - offset.Milliseconds()
		if startMs <= nowMs+futureStartTolerance.Milliseconds() {
			latest = max(latest, startMs)
		}
	}
	if latest < 0 { // in the future by every offset: assume that the endpoint has just started
		return nowMs
	}
	return latest
}
