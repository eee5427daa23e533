package proxy

import (
	"slices"
	"time"

	"example.org/micafront/internal/discovery"
)

// This file brings the start times of endpoints, which service discovery gives by the wall clock, to the loop's clock. That began
// with the wall clock and goes on evenly, so both differ once the wall clock has been set.

const (
	// minClockStep is the least difference of the clocks that counts as a step: less comes from slewing.
	minClockStep = 500 * time.Millisecond
	// futureStartTolerance is how far in the future a start may seem to be: discovery's machine has a clock of its own.
	futureStartTolerance = time.Second
	// maxClockSteps is how many steps are remembered.
	maxClockSteps = 8
)

// startTimes converts start times. Its wall clock is read when a list comes.
type startTimes struct {
	wallClock func() time.Time
	// offsets are what the wall clock has been ahead of the loop's, the latest last; 0 is the first.
	offsets []time.Duration
}

func newStartTimes(wallClock func() time.Time) startTimes {
	return startTimes{wallClock: wallClock, offsets: []time.Duration{0}}
}

// observe notes whether the wall clock has been set.
func (s *startTimes) observe(now time.Duration) {
	offset := time.Duration(s.wallClock().UnixNano()) - now
	if (offset - s.offsets[len(s.offsets)-1]).Abs() < minClockStep {
		return
	}
	if s.offsets = append(s.offsets, offset); len(s.offsets) > maxClockSteps {
		s.offsets = slices.Delete(s.offsets, 0, 1)
	}
}

// announcedStarts are the start times of a list's entries as discovery gave them, in milliseconds of Unix time.
type announcedStarts []int64

// convert replaces the start times of a list by those of the loop's clock, and returns what was announced. An endpoint that is known
// by the same announced time keeps the one that was found for it, so that a step of the clock restarts no endpoint.
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

// startedAt converts an announced start. Whether the endpoint has started before a step or after it is not known, so the latest time
// counts that is not in the future: taking an endpoint to be warm that is not would overload it.
func (s *startTimes) startedAt(announcedMs int64, now time.Duration) int64 {
	if announcedMs == 0 {
		return 0 // long ago
	}
	nowMs := now.Milliseconds()
	latest := int64(-1)
	for _, offset := range s.offsets {
		startMs := announcedMs - offset.Milliseconds()
		if startMs <= nowMs+futureStartTolerance.Milliseconds() {
			latest = max(latest, startMs)
		}
	}
	if latest < 0 { // in the future by any clock: it has started just now as far as can be known
		return nowMs
	}
	return latest
}
