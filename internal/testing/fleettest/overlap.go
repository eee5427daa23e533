package fleettest

import (
	"fmt"
	"slices"
	"time"
)

// ReactionTime is how long a proxy may have been able to run between the end of the agreement timeout and its write of a
// request line, before the line counts as a violation. A turn of its event loop is far shorter.
const ReactionTime = 50 * time.Millisecond

// RequestLine is a request line of the contested class, as a proxy wrote it to an endpoint.
type RequestLine struct {
	At       time.Time
	Proxy    string
	Pool     string
	Endpoint string
	ID       string // of the request

	rollout int // index of the rollout that it followed; -1: none
}

// Rollout is the proposal of a version.
type Rollout struct {
	Number     uint64
	Pool       string    // that it routes the contested class to
	ProposedAt time.Time // taken before the proposal
}

// StaleLine is a line by a version after the first line by a later one.
type StaleLine struct {
	RequestLine
	Version      uint64        // that it followed
	NewerVersion uint64        // the later one
	Staleness    time.Duration // since the first line by the later version
	Suspended    time.Duration // the part of the time beyond the agreement timeout in which the proxy could not run
}

// String describes the line for a report.
func (l StaleLine) String() string {
	return fmt.Sprintf("%s wrote %s to %s by version %d, %v after the first line by version %d; "+
		"it could not run for %v of the time beyond the agreement timeout", l.Proxy, l.ID, l.Endpoint, l.Version, l.Staleness,
		l.NewerVersion, l.Suspended)
}

// VersionOverlap is the longest overlap of a version with those before it.
type VersionOverlap struct {
	Version    uint64
	FirstLine  time.Time // of the first line by this version; zero: there was none
	Longest    time.Duration
	StaleLines int    // stale lines, without the excused ones
	Proxy      string // that wrote the last of them
}

// OverlapReport is the result of FindOverlaps.
type OverlapReport struct {
	Lines     int // of the contested class
	Overlaps  []VersionOverlap
	Longest   time.Duration // of all overlaps, without the excused lines
	OverBound []StaleLine   // beyond the agreement timeout: violations
	Excused   []StaleLine   // beyond the agreement timeout, by proxies that were suspended
}

// SuspendedTime returns for how much of a time a proxy could not run.
type SuspendedTime func(proxy string, from, to time.Time) time.Duration

// FindOverlaps finds the overlaps of versions. A line followed the newest version of its pool that had been proposed; so
// versions must go round the pools, and the bound must be shorter than a round of versions takes.
func FindOverlaps(lines []RequestLine, rollouts []Rollout, bound time.Duration, suspended SuspendedTime) OverlapReport {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b RequestLine) int { return a.At.Compare(b.At) })
	firstLines := assignRollouts(lines, rollouts)
	report := OverlapReport{Lines: len(lines)}
	for i, rollout := range rollouts {
		overlap := VersionOverlap{Version: rollout.Number, FirstLine: firstLines[i]}
		for _, line := range lines {
			isStale := line.rollout >= 0 && line.rollout < i && !firstLines[i].IsZero() && line.At.After(firstLines[i])
			if !isStale {
				continue
			}
			stale := StaleLine{
				RequestLine:  line,
				Version:      rollouts[line.rollout].Number,
				NewerVersion: rollout.Number,
				Staleness:    line.At.Sub(firstLines[i]),
			}
			if excess := stale.Staleness - bound; excess > 0 {
				stale.Suspended = suspended(line.Proxy, firstLines[i].Add(bound), line.At)
				if excess-stale.Suspended <= ReactionTime {
					report.Excused = append(report.Excused, stale)
					continue
				}
				report.OverBound = append(report.OverBound, stale)
			}
			overlap.StaleLines++
			overlap.Longest = stale.Staleness // the lines are in the order of their times
			overlap.Proxy = line.Proxy
			report.Longest = max(report.Longest, stale.Staleness)
		}
		report.Overlaps = append(report.Overlaps, overlap)
	}
	return report
}

// assignRollouts sets the rollout of each line, and returns the time of the first line by each rollout.
func assignRollouts(lines []RequestLine, rollouts []Rollout) []time.Time {
	firstLines := make([]time.Time, len(rollouts))
	for i := range lines {
		line := &lines[i]
		line.rollout = -1
		for j, rollout := range rollouts {
			if rollout.Pool == line.Pool && !rollout.ProposedAt.After(line.At) {
				line.rollout = j
			}
		}
		if line.rollout >= 0 && firstLines[line.rollout].IsZero() {
			firstLines[line.rollout] = line.At
		}
	}
	return firstLines
}
