package fleettest

import (
	"fmt"
	"slices"
	"time"
)

// ReactionTime is the longest time for which a proxy may run between the end of the agreement timeout and its write of a stale
// request line without the line counting as a violation. One iteration of the proxy's event loop takes far less.
const ReactionTime = 50 * time.Millisecond

// RequestLine is a request line of the contested class, as a proxy wrote it to an endpoint.
type RequestLine struct {
	At       time.Time
	Proxy    string
	Pool     string
	Endpoint string
	ID       string // the request's ID

	rollout int // index of the rollout that the line followed; -1: none
}

// Rollout is the proposal of a version.
type Rollout struct {
	Number     uint64
	Pool       string    // the pool to which the version routes the contested class
	ProposedAt time.Time // the time immediately before the proposal
}

// StaleLine is a request line that followed one version after the first line that followed a later version.
type StaleLine struct {
	RequestLine
	Version      uint64        // the version that the line followed
	NewerVersion uint64        // the later version
	Staleness    time.Duration // the time since the first line that followed the later version
	Suspended    time.Duration // how long the proxy could not run between the end of the agreement timeout and the line
}

// String describes the line for a report.
func (l StaleLine) String() string {
	return fmt.Sprintf("%s wrote %s to %s according to version %d, %v after the first line of version %d; "+
		"it could not run for %v of the time beyond the agreement timeout", l.Proxy, l.ID, l.Endpoint, l.Version, l.Staleness,
		l.NewerVersion, l.Suspended)
}

// VersionOverlap is the longest overlap of a version with earlier versions.
type VersionOverlap struct {
	Version    uint64
	FirstLine  time.Time // the time of the first line that followed this version; zero if there was none
	Longest    time.Duration
	StaleLines int    // number of stale lines, without the excused lines
	Proxy      string // the proxy that wrote the last stale line
}

// OverlapReport is the result of FindOverlaps.
type OverlapReport struct {
	Lines     int // number of request lines of the contested class
	Overlaps  []VersionOverlap
	Longest   time.Duration // the longest overlap, without the excused lines
	OverBound []StaleLine   // lines beyond the agreement timeout, which are violations
	Excused   []StaleLine   // lines beyond the agreement timeout from proxies that were suspended
}

// SuspendedTime returns how long a proxy could not run between two times.
type SuspendedTime func(proxy string, from, to time.Time) time.Duration

// FindOverlaps finds the overlaps of versions. It assumes that a line followed the newest version that routes the contested class
// to the line's pool and was proposed before the line. So versions must cycle through the pools, and the bound must be shorter
// than a cycle.
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
			overlap.Longest = stale.Staleness // the lines are sorted by time
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
