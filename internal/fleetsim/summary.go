package fleetsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/stats"
)

// Summary aggregates the outcomes of runs. Its fields correspond to those of Outcome.
type Summary struct {
	SeedCount                 uint64
	EventCount                uint64
	PlacedConnections         uint64
	ActivatedVersions         uint64
	Overlaps                  []time.Duration
	TimesToAgreeWithoutFaults []time.Duration
	TimesToAgreeAfterHealing  []time.Duration
	ByPolicy                  map[fleetconfig.LeaseExpiryPolicy]*ConnectionCounts
	Failed                    []Outcome // runs with a violation; ExploreAll sorts them by seed
}

// ConnectionCounts counts the connections of the load.
type ConnectionCounts struct {
	Attempts        uint64                            // attempted placements
	Allowed         uint64                            // placed connections
	RejectedByState map[fleetconfig.LeaseState]uint64 // by the client's state at the rejection, or superseded
}

// add adds the counts of one proxy or one run.
func (p *ConnectionCounts) add(attempts, allowed uint64, rejectedByState map[fleetconfig.LeaseState]uint64) {
	p.Attempts += attempts
	p.Allowed += allowed
	if p.RejectedByState == nil {
		p.RejectedByState = map[fleetconfig.LeaseState]uint64{}
	}
	for state, count := range rejectedByState {
		p.RejectedByState[state] += count
	}
}

// Add adds the outcome of a run.
func (s *Summary) Add(o Outcome) {
	s.SeedCount++
	s.EventCount += o.EventCount
	s.PlacedConnections += o.PlacedConnections
	s.ActivatedVersions += o.ActivatedVersions
	s.Overlaps = append(s.Overlaps, o.Overlaps...)
	s.TimesToAgreeWithoutFaults = append(s.TimesToAgreeWithoutFaults, o.TimeToAgreeWithoutFaults)
	s.TimesToAgreeAfterHealing = append(s.TimesToAgreeAfterHealing, o.TimeToAgreeAfterHealing)
	s.connections(o.OnLeaseExpiry).add(o.Attempts, o.Allowed, o.RejectedByState)
	if o.Violation != nil {
		s.Failed = append(s.Failed, o)
	}
}

// connections returns the counts of all runs with a policy.
func (s *Summary) connections(policy fleetconfig.LeaseExpiryPolicy) *ConnectionCounts {
	if s.ByPolicy == nil {
		s.ByPolicy = map[fleetconfig.LeaseExpiryPolicy]*ConnectionCounts{}
	}
	if s.ByPolicy[policy] == nil {
		s.ByPolicy[policy] = &ConnectionCounts{}
	}
	return s.ByPolicy[policy]
}

// String returns the summary as a human-readable table. Policies have the names that they have in the configuration, and lease
// states those that they have in telemetry.
func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d seeds, %d events, %d connections placed by a version, %d versions activated\n",
		s.SeedCount, s.EventCount, s.PlacedConnections, s.ActivatedVersions)
	fmt.Fprintf(&b, "%-34s %7s %12s %12s %12s\n", "", "count", "p50", "p99", "max")
	writeQuantiles(&b, "overlap of contradicting versions", s.Overlaps)
	writeQuantiles(&b, "time to agree without faults", s.TimesToAgreeWithoutFaults)
	writeQuantiles(&b, "time to agree after all faults", s.TimesToAgreeAfterHealing)
	for _, policy := range sortedKeys(s.ByPolicy) {
		s.ByPolicy[policy].write(&b, policy)
	}
	s.writeFailed(&b)
	return b.String()
}

// write writes a line with the number of connections under a policy and the fractions that were allowed and rejected.
func (p *ConnectionCounts) write(b *strings.Builder, policy fleetconfig.LeaseExpiryPolicy) {
	share := func(count uint64) float64 { return float64(count) / float64(p.Attempts) }
	fmt.Fprintf(b, "connections with on_silence %q: %d, allowed %.4f, rejected", policy, p.Attempts, share(p.Allowed))
	for _, state := range sortedKeys(p.RejectedByState) {
		fmt.Fprintf(b, " %s %.4f", state, share(p.RejectedByState[state]))
	}
	b.WriteByte('\n')
}

// writeQuantiles writes a row of the table. It sorts times in place.
func writeQuantiles(b *strings.Builder, title string, times []time.Duration) {
	slices.Sort(times)
	quantile := func(fraction float64) time.Duration { return stats.Quantile(times, fraction).Round(time.Microsecond) }
	fmt.Fprintf(b, "%-34s %7d %12s %12s %12s\n", title, len(times), quantile(0.5), quantile(0.99), quantile(1))
}

// writeFailed writes a line for each of the first maxFailed violations and the number of further ones.
func (s *Summary) writeFailed(b *strings.Builder) {
	const maxFailed = 10
	for i, outcome := range s.Failed {
		if i == maxFailed {
			fmt.Fprintf(b, "and %d more\n", len(s.Failed)-i)
			return
		}
		fmt.Fprintf(b, "FAILED seed %d at %s: %s\n", outcome.Seed, outcome.Violation.At, outcome.Violation.Description)
	}
}
