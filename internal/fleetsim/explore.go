package fleetsim

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"example.org/micafront/internal/fleetconfig"
)

// Times of a run.
const (
	calmPeriod   = 5 * time.Second  // at the start, without faults
	faultyPeriod = 30 * time.Second // with faults and proposals
	// healingTime is how long agreement may take after all faults have ended, beside MemberTimeout: a disconnected proxy
	// renews every 5 s, may stop right after a renewal and is then waited for, and a leader has to be elected.
	healingTime        = 8 * time.Second
	healingTimePerMesh = 4 * time.Second // for a catalog that waits for an earlier version
	proposalTime       = time.Second     // to agree on a proposal, beside AgreementTimeout
	maxDelayedInRow    = 2               // messages in a row that may have the largest extra delay
)

// Outcome is the result of a run.
type Outcome struct {
	Seed              uint64
	OnLeaseExpiry     fleetconfig.LeaseExpiryPolicy
	EventCount        uint64 // events
	PlacedConnections uint64 // connections placed on a version
	ActivatedVersions uint64 // that became active
	ConnectionCounts
	Overlaps                 []time.Duration // of contradicting versions, shortest first
	TimeToAgreeWithoutFaults time.Duration   // from a proposal without faults until all proxies act on it
	TimeToAgreeAfterHealing  time.Duration   // from the end of all faults until all proxies agree
	Digest                   uint64          // of the trace
	Violation                *Violation      // nil: all invariants held
}

// Explore runs a fleet under random faults, proposals, rollbacks and forced versions: first a time without faults, then one
// with faults, and then all faults end and all proxies have to agree again. The seed determines all of it. The trace is written
// to trace, unless it is nil.
func Explore(seed uint64, hooks Hooks, trace io.Writer) Outcome {
	s := newScenario(seed, hooks, trace)
	f := s.fleet
	extraDelay := maxDelayedInRow * f.DefaultLink.MaxExtraDelay
	s.awaitProposal("I6: after the start", calmPeriod+f.Terms.MemberTimeout/2+extraDelay)
	withoutFaults := s.awaitProposal("I6: a proposal without faults", DefaultTerms.AgreementTimeout+proposalTime+extraDelay)
	s.runFaults()
	s.endFaults()
	meshTime := time.Duration(len(f.Meshes)) * healingTimePerMesh
	afterHealing := s.await("I6: after all faults", DefaultTerms.MemberTimeout+healingTime+meshTime, f.Settled)
	s.awaitCatalog()
	// Processes that ended in the faulty period may still be waited for.
	limit := DefaultTerms.MemberTimeout + DefaultTerms.AgreementTimeout + proposalTime + meshTime
	s.awaitProposal("I6: a proposal after all faults", limit)

	outcome := f.outcome()
	outcome.TimeToAgreeWithoutFaults = withoutFaults
	outcome.TimeToAgreeAfterHealing = afterHealing
	return outcome
}

// outcome is the part of the outcome that the fleet knows.
func (f *Fleet) outcome() Outcome {
	outcome := Outcome{
		Seed:              f.Seed,
		OnLeaseExpiry:     f.Terms.OnLeaseExpiry,
		EventCount:        f.engine.EventCount,
		PlacedConnections: f.invariants.actCount,
		ActivatedVersions: f.invariants.highestActive,
		Overlaps:          f.Overlaps(),
		Digest:            f.engine.Digest(),
		Violation:         f.Violation,
	}
	for _, p := range f.Proxies {
		outcome.add(p.Attempts, p.Allowed, p.RejectedByState)
	}
	return outcome
}

// runFaults runs the faulty period: faults, the operator's requests and, in a run that has meshes, their publications.
func (s *scenario) runFaults() {
	until := s.fleet.engine.now + faultyPeriod
	s.startPublishers(until)
	s.repeat(300*time.Millisecond, 3*time.Second, until, s.injectFault)
	s.repeat(500*time.Millisecond, 5*time.Second, until, s.operate)
	s.fleet.Run(faultyPeriod)
}

// endFaults ends all faults.
func (s *scenario) endFaults() {
	s.fleet.Network.Default = HealthyLink
	s.healed = true
	s.fleet.Heal()
	for _, p := range s.fleet.Proxies {
		p.SetMemoryLimit(0)
	}
}

// Exploration is a number of runs.
type Exploration struct {
	FirstSeed            uint64 // the first seed
	SeedCount            uint64 // their number
	Workers              int    // runs at a time
	StopAtFirstViolation bool   // begin no run once one has a violation
	Hooks                Hooks
	Trace                io.Writer // as for Explore; with several workers it must be nil
}

// ExploreAll explores all seeds of an exploration and returns once all runs have ended. With StopAtFirstViolation all seeds below the
// first one with a violation have been run, so the lowest one is in Summary.Failed, whatever the number of workers.
func ExploreAll(e Exploration) *Summary {
	summary := &Summary{}
	var lock sync.Mutex // guards summary and next
	var running sync.WaitGroup
	next := e.FirstSeed
	nextSeed := func() (seed uint64, ok bool) {
		lock.Lock()
		defer lock.Unlock()
		seed = next
		next++
		return seed, seed < e.FirstSeed+e.SeedCount && (!e.StopAtFirstViolation || len(summary.Failed) == 0)
	}
	for range e.Workers {
		running.Go(func() {
			for seed, ok := nextSeed(); ok; seed, ok = nextSeed() {
				outcome := Explore(seed, e.Hooks, e.Trace)
				lock.Lock()
				summary.Add(outcome)
				lock.Unlock()
			}
		})
	}
	running.Wait()
	slices.SortFunc(summary.Failed, func(a, b Outcome) int { return cmp.Compare(a.Seed, b.Seed) })
	return summary
}
