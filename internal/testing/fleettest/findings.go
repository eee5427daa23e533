package fleettest

import (
	"fmt"
	"slices"
	"time"

	"example.org/micafront/internal/fakes"
)

// LoggedEvent is a recorded action of the harness, such as a fault.
type LoggedEvent struct {
	At   time.Time
	Text string
}

// LogEvent records an action of the harness for the report.
func (f *Fleet) LogEvent(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, LoggedEvent{time.Now(), fmt.Sprintf(format, args...)})
}

// Findings contains the results of a run.
type Findings struct {
	OverlapReport
	Tally              fakes.Counts
	Violations         []string // descriptions of all violations; empty if all guarantees held
	ConnectionsRefused int      // failed dials of clients
	RequestsLost       int      // requests without an answer because their proxy was killed or stopping
	DiscoveryCalls     int      // requests from proxies to service discovery
	DiscoveryRejected  int      // requests among DiscoveryCalls that the rate limit rejected
	DiscoveryPeak      int      // maximum of DiscoveryCalls within one second
	Answers            []Answer
	Rollouts           []Rollout
	Events             []LoggedEvent
	StartedAt          time.Time
	Suspended          map[string]time.Duration   // how long each proxy could not run, by its name
	VersionChanges     map[string][]VersionChange // by the proxy's name

	ReplicaCalls int // requests from replicas to service discovery
	ReplicaPeak  int // maximum of ReplicaCalls within one second
}

// Findings returns the results of the run so far. Violations begins with the violations of the agreement timeout, one for each
// line of OverBound in the same order.
func (f *Fleet) Findings() Findings {
	findings := Findings{
		StartedAt:      f.startedAt,
		Suspended:      map[string]time.Duration{},
		VersionChanges: map[string][]VersionChange{},
	}
	for _, proxy := range f.Proxies {
		findings.Suspended[proxy.Name] = proxy.suspended.overlap(f.startedAt, time.Now())
		findings.VersionChanges[proxy.Name] = proxy.VersionChanges()
	}
	f.addOverlaps(&findings)
	f.addAnswers(&findings)
	for _, process := range f.processes() {
		for _, err := range process.Failures() {
			findings.Violations = append(findings.Violations, err.Error())
		}
	}
	f.addDiscoveryCalls(&findings)
	return findings
}

// addOverlaps adds the overlaps of versions, which it determines from the request lines.
func (f *Fleet) addOverlaps(findings *Findings) {
	f.mu.Lock()
	lines := slices.Clone(f.requestLines)
	findings.Rollouts = slices.Clone(f.rollouts)
	findings.Events = slices.Clone(f.events)
	f.mu.Unlock()
	processes := map[string]*Process{}
	for _, proxy := range f.Proxies {
		processes[proxy.Name] = proxy.Process
	}
	suspended := func(proxy string, from, to time.Time) time.Duration {
		return processes[proxy].suspended.overlap(from, to)
	}
	findings.OverlapReport = FindOverlaps(lines, findings.Rollouts, f.AgreementTimeout, suspended)
	for _, stale := range findings.OverBound {
		findings.Violations = append(findings.Violations, stale.String())
	}
}

// addAnswers adds the answers to the clients' requests, and a violation for each request without exactly one final answer.
func (f *Fleet) addAnswers(findings *Findings) {
	findings.Tally = f.answerChecker.Counts()
	unanswered := f.clients.unanswered()
	findings.Violations = append(findings.Violations, unanswered...)
	findings.Violations = append(findings.Violations, f.answerChecker.Violations()...)
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	findings.Answers = slices.Clone(f.clients.answers)
	findings.ConnectionsRefused = f.clients.connectionsRefused
	findings.RequestsLost = len(f.clients.lost) - len(unanswered)
}

// addDiscoveryCalls adds the counts of requests to service discovery.
func (f *Fleet) addDiscoveryCalls(findings *Findings) {
	f.discovery.mu.Lock()
	defer f.discovery.mu.Unlock()
	findings.DiscoveryCalls = f.discovery.proxyCalls.total
	findings.DiscoveryRejected = f.discovery.proxyCalls.rejected
	findings.DiscoveryPeak = f.discovery.proxyCalls.peak
	findings.ReplicaCalls = f.discovery.replicaCalls.total
	findings.ReplicaPeak = f.discovery.replicaCalls.peak
}
