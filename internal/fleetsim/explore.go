package fleetsim

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"example.org/micafront/internal/fleetconfig"
)

// Durations and limits of a run.
const (
	faultFreePeriod = 5 * time.Second  // limit for the first proposal, which runs without faults
	faultyPeriod    = 30 * time.Second // with random faults and requests of the operator
	// healingTime is how long agreement may take after all faults have ended, in addition to MemberTimeout. A disconnected
	// proxy renews only every 5 s. It may also stop right after a renewal, and then the leader waits for it. The election of a
	// leader takes time as well.
	healingTime          = 8 * time.Second
	healingTimePerMesh   = 4 * time.Second // for a catalog whose proposal waits for an earlier version
	proposalTime         = time.Second     // to agree on a proposal, in addition to AgreementTimeout
	maxConsecutiveDelays = 2               // consecutive messages that may each have the largest extra delay
)

// Outcome is the result of one run.
type Outcome struct {
	Seed              uint64
	OnLeaseExpiry     fleetconfig.LeaseExpiryPolicy
	EventCount        uint64 // number of simulated events
	PlacedConnections uint64 // number of connections placed by a version
	ActivatedVersions uint64 // number of versions that became active
	ConnectionCounts
	Overlaps                 []time.Duration // how long both versions of each contradicting pair were acted on, shortest first
	TimeToAgreeWithoutFaults time.Duration   // from a proposal without faults until all proxies have a lease on it
	TimeToAgreeAfterHealing  time.Duration   // from the end of all faults until all proxies have a lease on the active version
	Digest                   uint64          // hash of the trace
	Violation                *Violation      // nil: all invariants held
}

// Explore runs a fleet under random faults, proposals, rollbacks and forced versions. A run has three phases: one without faults,
// one with faults, and one after all faults have ended, in which all proxies must agree on a version again. The seed determines
// the whole run. Explore writes the trace to trace unless trace is nil.
func Explore(seed uint64, hooks Hooks, trace io.Writer) Outcome {
	s := newScenario(seed, hooks, trace)
	f := s.fleet
	extraDelay := maxConsecutiveDelays * f.DefaultLink.MaxExtraDelay
	s.awaitProposal("I6: after the start", faultFreePeriod+f.Terms.MemberTimeout/2+extraDelay)
	withoutFaults := s.awaitProposal("I6: a proposal without faults", DefaultTerms.AgreementTimeout+proposalTime+extraDelay)
	s.runFaults()
	s.endFaults()
	meshTime := time.Duration(len(f.Meshes)) * healingTimePerMesh
	afterHealing := s.await("I6: after all faults", DefaultTerms.MemberTimeout+healingTime+meshTime, f.Settled)
	s.awaitCatalog()
	// The leader may still wait for processes that ended in the faulty period.
	limit := DefaultTerms.MemberTimeout + DefaultTerms.AgreementTimeout + proposalTime + meshTime
	s.awaitProposal("I6: a proposal after all faults", limit)

	outcome := f.outcome()
	outcome.TimeToAgreeWithoutFaults = withoutFaults
	outcome.TimeToAgreeAfterHealing = afterHealing
	return outcome
}

// outcome returns the outcome without the times to agree, which the fleet does not measure.
func (f *Fleet) outcome() Outcome {
	outcome := Outcome{
		Seed:              f.Seed,
		OnLeaseExpiry:     f.Terms.OnLeaseExpiry,
		EventCount:        f.engine.EventCount,
		PlacedConnections: f.invariants.placementCount,
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

// runFaults runs the faulty period, with faults, requests of the operator and, in runs with publishing meshes, publications.
func (s *scenario) runFaults() {
	until := s.fleet.engine.now + faultyPeriod
	s.startPublishers(until)
	s.repeat(300*time.Millisecond, 3*time.Second, until, s.injectFault)
	s.repeat(500*time.Millisecond, 5*time.Second, until, s.operate)
	s.fleet.Run(faultyPeriod)
}

// endFaults ends all faults and removes all memory limits.
func (s *scenario) endFaults() {
	s.fleet.Network.Default = HealthyLink
	s.healed = true
	s.fleet.Heal()
	for _, p := range s.fleet.Proxies {
		p.SetMemoryLimit(0)
	}
}

// Exploration configures runs with consecutive seeds.
type Exploration struct {
	FirstSeed            uint64
	SeedCount            uint64
	Workers              int  // number of concurrent runs
	StopAtFirstViolation bool // start no further run after a violation
	Hooks                Hooks
	Trace                io.Writer // receives the trace; must be nil with several workers
}

// ExploreAll runs all seeds of an exploration and returns after all runs have ended. Workers take seeds in ascending order, so
// with StopAtFirstViolation the lowest seed that leads to a violation is in Summary.Failed, whatever the number of workers.
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
