package fleetsim

import (
	"io"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
)

// maxLinkDelay is the largest link delay of a fleet with an AgreementTimeout of a second. A renewal and its answer take six
// messages, which must fit into a sixth of a lease.
const maxLinkDelay = 20 * time.Millisecond

// scenarioStream is combined with the seed by XOR, so that a scenario's Config and its run use different random numbers.
const scenarioStream = 0x5eed

// scenario generates random faults and requests for a fleet.
type scenario struct {
	fleet     *Fleet
	draft     Draft
	randomInt func(n int) int // returns a random number from 0 to n-1
	healed    bool            // whether all faults have ended
}

// federatedMeshes returns the meshes of a scenario.
func federatedMeshes() []catalog.Mesh {
	return []catalog.Mesh{{Name: "thies", Precedence: 1}, {Name: "dakar", Precedence: 2}, {Name: "caroni", Precedence: 3}}
}

func newScenario(seed uint64, hooks Hooks, trace io.Writer) *scenario {
	f := New(randomConfig(seed, hooks, trace))
	s := &scenario{
		fleet:     f,
		randomInt: f.engine.Rand.IntN,
		draft:     Draft{Routes: map[string]string{}, LargeRoutes: map[string]int{}, Terms: f.Terms, Shuffle: true},
	}
	if seed%3 != 0 { // in the other runs, meshes publish to the replicas
		s.draft.Inputs.Meshes = federatedMeshes()
	}
	return s
}

// randomConfig returns a random fleet. A different order of the random draws would change the run of every seed.
func randomConfig(seed uint64, hooks Hooks, trace io.Writer) Config {
	randomInt := NewEngine(seed^scenarioStream, nil).Rand.IntN
	c := Config{
		Seed:         seed,
		Hooks:        hooks,
		Trace:        trace,
		ClockDrift:   true,
		LoadInterval: 100 * time.Millisecond,
		Zones:        []string{"thies", "dakar"},
		Terms:        DefaultTerms,
	}
	c.ReplicaCount = 3 + 2*randomInt(2)         // 3 or 5
	c.ProxyCount = 3 + randomInt(3)             // 3 to 5
	c.SnapshotEvery = uint64(8 << randomInt(4)) // 8 to 64
	if randomInt(2) == 0 {
		c.Terms.AgreementTimeout = time.Second
		c.Terms.MemberTimeout = 4 * time.Second
	}
	if seed%2 == 0 {
		c.Terms.OnLeaseExpiry = fleetconfig.ServeOnExpiry
	}
	links := []Link{
		HealthyLink,
		{MinDelay: time.Millisecond, MaxDelay: 40 * time.Millisecond},
		{
			MinDelay:       200 * time.Microsecond,
			MaxDelay:       10 * time.Millisecond,
			DuplicateRate:  0.05,
			ExtraDelayRate: 0.01,
			MaxExtraDelay:  3 * time.Second,
		},
	}
	c.DefaultLink = links[randomInt(len(links))]
	if c.DefaultLink.MaxDelay > maxLinkDelay {
		c.Terms.AgreementTimeout = DefaultTerms.AgreementTimeout
		c.Terms.MemberTimeout = DefaultTerms.MemberTimeout
	}
	c.KeyCount = 4 + randomInt(12) // 4 to 15
	return c
}

// awaitProposal proposes a version that every proxy can compile, and waits until all proxies have a lease on it. It returns the
// elapsed time. Exceeding the limit is a violation.
func (s *scenario) awaitProposal(goal string, limit time.Duration) time.Duration {
	request := s.propose(true)
	return s.await(goal, limit, func() bool {
		if request.AnsweredAt > 0 && request.Answer.Err != nil { // an earlier request conflicted with the proposal
			request = s.propose(true)
		}
		return request.AnsweredAt > 0 && s.fleet.Active().Number >= request.Answer.Number && s.fleet.Settled()
	})
}

// await waits until a condition holds, and returns the elapsed time. Exceeding the limit is a violation.
func (s *scenario) await(goal string, limit time.Duration, condition func() bool) time.Duration {
	after, ok := s.fleet.RunUntil(limit, condition)
	if !ok {
		s.fleet.violate("%s: not reached within %s: %s", goal, limit, s.fleet.Describe())
	}
	return after
}

// repeat runs an action at random intervals until a true time.
func (s *scenario) repeat(minInterval, maxInterval, until time.Duration, action func()) {
	engine := s.fleet.engine
	engine.Schedule(engine.now+engine.RandomDuration(minInterval, maxInterval), func() {
		if engine.now < until {
			action()
			s.repeat(minInterval, maxInterval, until, action)
		}
	})
}

// scheduleEnd schedules the end of a fault at a random time, at most latest from now.
func (s *scenario) scheduleEnd(latest time.Duration, end func()) {
	const earliest = 50 * time.Millisecond
	engine := s.fleet.engine
	engine.Schedule(engine.now+engine.RandomDuration(earliest, latest), end)
}

// pick returns a random item of a list.
func pick[T any](s *scenario, list []T) T { return list[s.randomInt(len(list))] }
