package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/stats"
)

// result is the result of one seed. The seed's process writes it as JSON for the process that runs several seeds. Durations are in
// nanoseconds.
type result struct {
	Seed          uint64
	OnLeaseExpiry fleetconfig.LeaseExpiryPolicy `json:"Silence"`
	WithoutFaults bool                          `json:"Calm"`

	Failure     string          `json:"Fault"`   // why the run failed; empty if it completed; if set, the fields below are unset
	Violations  []string        `json:"Broken"`  // descriptions of all violations
	Overlaps    []time.Duration `json:"Longest"` // the longest overlap of each version that request lines followed
	CommitTimes []time.Duration `json:"Took"`    // from each proposal until the version was active
	Versions    int             // number of versions proposed
	Lost        []string        // descriptions of versions that were lost
	Unanswered  int             // number of Violations about requests without exactly one final answer
	Lines       int             // number of request lines of the contested class
	Excused     int             // number of Lines beyond the agreement timeout from suspended proxies
	Waived      int             `json:"GivenUp"` // number of Lines beyond the agreement timeout that ServeOnExpiry allows
	Tally       fakes.Counts

	DiscoveryCalls    int           `json:"Calls"`     // requests from proxies to service discovery
	DiscoveryRejected int           `json:"Away"`      // number of DiscoveryCalls that were rejected
	DiscoveryPeak     int           `json:"Busiest"`   // maximum of DiscoveryCalls within one second
	ReplicaCalls      int           `json:"ByKeepers"` // requests from replicas to service discovery
	Suspended         time.Duration `json:"Stood"`     // maximum over all proxies of the total time that a proxy could not run
	Duration          time.Duration `json:"Lasted"`    // from the start of the first process to the end of the last
	FleetCPU          time.Duration `json:"Used"`      // CPU time of the fleet's processes
	HarnessCPU        time.Duration `json:"Own"`       // CPU time of the seed's process, which runs clients, endpoints and links
	Memory            int64         // memory of the fleet's processes at the end, in bytes
	Files             int           // open files of the seed's process at the end
	Outage            *outage       `json:"Blackout,omitempty"`
}

// outage is the result of a period in which no replica ran.
type outage struct {
	Phases       [phaseCount]answerShare
	Recovery     []time.Duration `json:"Again"`  // for each proxy, the time from the end of the outage until it served
	NotRecovered []string        `json:"Silent"` // proxies that did not serve again
	ConnsOpened  int             `json:"Stood"`  // number of persistent connections
	ConnsFailed  int             `json:"Cut"`    // number of ConnsOpened that failed before the end of the run
}

// The phases of an outage, in order.
const (
	phaseBefore         = iota
	phaseMembersKnown   // replicas have been down for at most the member timeout
	phaseMembersExpired // replicas have been down for longer than the member timeout
	phaseAfter
	phaseCount
)

// maxViolationsPerSeed bounds how many violations of a seed violationsError describes.
const maxViolationsPerSeed = 5

// phaseNames returns the descriptions of the phases, in order.
func phaseNames(memberTimeout time.Duration) []string {
	return []string{
		phaseBefore:         "before",
		phaseMembersKnown:   fmt.Sprintf("in the first %v without replicas", memberTimeout),
		phaseMembersExpired: "after that, without replicas",
		phaseAfter:          "after the outage",
	}
}

// answerShare counts requests by their final answers.
type answerShare struct {
	Served  int
	Refused int
	Failed  int
}

// percent returns count as a percentage of all requests, or 0 if there are none.
func (s answerShare) percent(count int) float64 {
	return 100 * float64(count) / float64(max(s.all(), 1))
}

func (s answerShare) servedPercent() float64 { return s.percent(s.Served) }

func (s answerShare) all() int { return s.Served + s.Refused + s.Failed }

// String returns the percentages of requests served, refused and failed, and the total.
func (s answerShare) String() string {
	if s.all() == 0 {
		return "none"
	}
	return fmt.Sprintf("%.2f / %.2f / %.2f %% of %d", s.percent(s.Served), s.percent(s.Refused), s.percent(s.Failed), s.all())
}

// add counts a request by the first word of its answer.
func (s *answerShare) add(word string) {
	switch word {
	case "UP":
		s.Served++
	case "BUSY":
		s.Refused++
	default:
		s.Failed++
	}
}

// result returns the part of the report that a seed's process writes.
func (r *report) result() result {
	out := result{
		Seed:              r.Seed,
		OnLeaseExpiry:     r.OnLeaseExpiry,
		WithoutFaults:     r.withoutFaults,
		Violations:        r.Violations,
		CommitTimes:       r.commitTimes,
		Versions:          len(r.Rollouts),
		Lost:              r.lostVersions,
		Lines:             r.Lines,
		Excused:           len(r.Excused),
		Waived:            r.waived,
		Tally:             r.Tally,
		DiscoveryCalls:    r.DiscoveryCalls,
		DiscoveryRejected: r.DiscoveryRejected,
		DiscoveryPeak:     r.DiscoveryPeak,
		ReplicaCalls:      r.ReplicaCalls,
		Duration:          r.duration,
		FleetCPU:          r.fleetCPU,
		HarnessCPU:        r.harnessCPU,
		Memory:            r.memory,
		Files:             r.openFiles,
	}
	for _, overlap := range r.Overlaps {
		if !overlap.FirstLine.IsZero() {
			out.Overlaps = append(out.Overlaps, overlap.Longest)
		}
	}
	for _, violation := range r.Violations {
		if strings.Contains(violation, "final answer") {
			out.Unanswered++
		}
	}
	for _, suspended := range r.Suspended {
		out.Suspended = max(out.Suspended, suspended)
	}
	if r.conns != nil {
		out.Outage = r.outageResult()
	}
	return out
}

// outageResult counts the answers of each phase of the outage, and finds when each proxy served again.
func (r *report) outageResult() *outage {
	out := &outage{ConnsOpened: r.conns.Opened, ConnsFailed: len(r.connFailures)}
	recoveredAt := map[string]time.Time{}
	for _, answer := range r.Answers {
		phase := phaseBefore
		switch {
		case answer.At.Before(r.readyAt):
			continue
		case answer.At.Before(r.outageBegan):
		case answer.At.Before(r.outageBegan.Add(min(r.MemberTimeout, r.outageEnded.Sub(r.outageBegan)))):
			phase = phaseMembersKnown
		case answer.At.Before(r.outageEnded):
			phase = phaseMembersExpired
		default:
			phase = phaseAfter
			if earlier, ok := recoveredAt[answer.Proxy]; answer.Word == "UP" && (!ok || answer.At.Before(earlier)) {
				recoveredAt[answer.Proxy] = answer.At
			}
		}
		out.Phases[phase].add(answer.Word)
	}
	for name := range r.VersionChanges {
		if at, ok := recoveredAt[name]; ok {
			out.Recovery = append(out.Recovery, at.Sub(r.outageEnded))
		} else {
			out.NotRecovered = append(out.NotRecovered, name)
		}
	}
	return out
}

// sumResults sums results, except those of failed runs. It concatenates lists, and takes the maximum of peaks, suspensions, memory
// and files.
func sumResults(results []result) (sum result) {
	for _, result := range results {
		if result.Failure != "" {
			continue
		}
		sum.Violations = append(sum.Violations, result.Violations...)
		sum.Lost = append(sum.Lost, result.Lost...)
		sum.Overlaps = append(sum.Overlaps, result.Overlaps...)
		sum.CommitTimes = append(sum.CommitTimes, result.CommitTimes...)
		sum.Versions += result.Versions
		sum.Unanswered += result.Unanswered
		sum.Lines += result.Lines
		sum.Excused += result.Excused
		sum.Tally.Answers += result.Tally.Answers
		sum.Tally.Served += result.Tally.Served
		sum.Tally.Rejected += result.Tally.Rejected
		sum.Tally.Failed += result.Tally.Failed
		sum.DiscoveryCalls += result.DiscoveryCalls
		sum.DiscoveryRejected += result.DiscoveryRejected
		sum.ReplicaCalls += result.ReplicaCalls
		sum.DiscoveryPeak = max(sum.DiscoveryPeak, result.DiscoveryPeak)
		sum.Suspended = max(sum.Suspended, result.Suspended)
		sum.FleetCPU += result.FleetCPU
		sum.HarnessCPU += result.HarnessCPU
		sum.Duration += result.Duration
		sum.Memory = max(sum.Memory, result.Memory)
		sum.Files = max(sum.Files, result.Files)
	}
	return sum
}

// violationsError returns an error that describes the failures and violations of each seed, or nil if there are none.
func violationsError(results []result) error {
	var errs []error
	for _, result := range results {
		name := fmt.Sprint("seed ", result.Seed)
		if result.Outage != nil {
			name += ", " + result.variant()
		}
		if result.Failure != "" {
			errs = append(errs, fmt.Errorf("%s failed: %s", name, result.Failure))
		}
		for i, violation := range result.Violations {
			if i == maxViolationsPerSeed {
				errs = append(errs, fmt.Errorf("%s: and %d more", name, len(result.Violations)-i))
				break
			}
			errs = append(errs, fmt.Errorf("%s: %s", name, violation))
		}
	}
	return errors.Join(errs...)
}

// variant describes the lease expiry policy and the faults of an outage's run.
func (r *result) variant() string {
	if r.WithoutFaults {
		return fmt.Sprintf("%s, without other faults", r.OnLeaseExpiry)
	}
	return fmt.Sprintf("%s, with other faults", r.OnLeaseExpiry)
}

// processors returns the average number of processors that the fleet and the harness used.
func (r *result) processors() float64 {
	if r.Duration == 0 {
		return 0
	}
	return (r.FleetCPU + r.HarnessCPU).Seconds() / r.Duration.Seconds()
}

// answers returns the percentages of final answers by kind.
func (r *result) answers() string {
	return answerShare{Served: r.Tally.Served, Refused: r.Tally.Rejected, Failed: r.Tally.Failed}.String()
}

// quantiles formats the median, the 99th percentile and the maximum.
func quantiles(values []time.Duration) string {
	return fmt.Sprintf("%s, %s, %s", formatMillis(stats.Quantile(values, 0.5)), formatMillis(stats.Quantile(values, 0.99)),
		formatMillis(stats.Quantile(values, 1)))
}
