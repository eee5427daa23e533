package fleetconfig

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/micafront/internal/testing/testkit"
)

func TestAgreementTimeoutBoundsContradictions(t *testing.T) {
	switches, comparisons := 0, 0
	testkit.Property(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), conditions{
			proxies:        rapid.IntRange(2, 5).Draw(t, "proxies"),
			lossPerMille:   rapid.IntRange(0, 300).Draw(t, "loss"),
			maxDelay:       time.Duration(rapid.IntRange(0, 60).Draw(t, "delay")) * time.Millisecond,
			maxCommitDelay: time.Duration(rapid.IntRange(0, 1000).Draw(t, "disk")) * time.Millisecond,
			maxDriftPPM:    rapid.SampledFrom([]int64{1, 1000, 30_000, 100_000}).Draw(t, "drift"),
		}, wrappers{})
		sim.run(20 * time.Second)
		if sim.violation == "" {
			sim.settle()
		}
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
		switches, comparisons = switches+sim.switches, comparisons+sim.comparisons
	})
	if switches < 1000 || comparisons < 100 {
		t.Errorf("only %d switches and %d comparisons of two versions; at least 1000 and 100 are needed", switches, comparisons)
	}
	t.Logf("%d switches, %d comparisons of two versions", switches, comparisons)
}

// unreachableCase is a fleet in which a proxy becomes unreachable (its renewals arrive, but its leases are lost) shortly
// before or after version 2 is proposed, depending on the seed.
type unreachableCase struct {
	seed             uint64
	sim              *simulation
	terms            Terms
	proxy            *simulatedProxy // the unreachable one
	slow             *simulatedProxy // prepares slowly for some seeds
	unreachableSince time.Duration
	proposedAt       time.Duration
}

func newUnreachableCase(seed uint64) *unreachableCase {
	memberTimeout := time.Duration(1+seed%4*3) * second
	c := &unreachableCase{
		seed: seed,
		sim:  newSimulation(seed, conditions{proxies: 3, maxDelay: 20 * time.Millisecond, maxDriftPPM: 1000}, wrappers{}),
		terms: Terms{
			AgreementTimeout: min(memberTimeout, 2*second),
			MemberTimeout:    memberTimeout,
			OnLeaseExpiry:    RejectOnExpiry,
			ClockDriftPPM:    1000,
		},
	}
	c.sim.faultsStopped = true
	c.propose()
	c.sim.run(2 * second)
	c.proxy = c.sim.processes[0]
	c.slow = c.sim.processes[1]
	return c
}

func (c *unreachableCase) propose() {
	c.sim.propose(Command{Propose: &Propose{Body: &Body{Settings: json.RawMessage(`{}`), Fleet: c.terms}}})
}

// whilePreparing reports whether the proxy becomes unreachable only while it prepares version 2, which never ends.
func (c *unreachableCase) whilePreparing() bool { return c.seed%3 == 2 }

// beforeProposal reports whether the proxy is unreachable for some time before the proposal.
func (c *unreachableCase) beforeProposal() bool { return c.seed%3 == 1 }

// disconnectAndPropose makes the proxy unreachable and proposes version 2, in an order that depends on the seed.
func (c *unreachableCase) disconnectAndPropose() {
	sim := c.sim
	c.unreachableSince = sim.now
	c.proposedAt = sim.now
	if c.whilePreparing() {
		c.proxy.prepareDelay = time.Hour
	} else {
		c.proxy.unreachableUntil = time.Hour
	}
	if c.beforeProposal() {
		sim.run(sim.randomDuration(3 * c.terms.MemberTimeout))
		c.proposedAt = sim.now
	}
	c.propose()
	if c.seed%5 == 0 {
		c.slow.prepareDelay = 2 * c.terms.MemberTimeout
	}
	if c.whilePreparing() {
		for sim.state.proposed == 0 || sim.now < c.proposedAt+c.terms.AgreementTimeout {
			sim.step()
		}
		c.proxy.unreachableUntil = time.Hour
		c.unreachableSince = sim.now
	}
}

// awaitActivation runs the simulation until version 2 is active. It reports whether the status named the proxy as
// unreachable and as blocking the version.
func (c *unreachableCase) awaitActivation(t *testing.T) bool {
	t.Helper()
	sim := c.sim
	reported := false
	for sim.violation == "" && sim.activeAt[2] == 0 && sim.now < c.proposedAt+10*c.terms.MemberTimeout {
		sim.step()
		for _, s := range sim.leases.Status(sim.clock.at(sim.now)) {
			reported = reported || s.Unreachable && s.BlocksProposal && s.Node == c.proxy.name
			if s.Unreachable && s.Node != c.proxy.name {
				t.Errorf("seed %d: %s is reported unreachable", c.seed, s.Node)
			}
		}
	}
	return reported
}

// A version must wait no longer for an unreachable proxy than for an unresponsive one, even if the proxy never finishes
// preparing. The proxy must act on the version once it is reachable again. A version must wait for a reachable proxy that
// prepares for longer than MemberTimeout.
func TestUnreachableProxyBlocksNoLongerThanUnresponsiveOne(t *testing.T) {
	for seed := range uint64(60) {
		c := newUnreachableCase(seed)
		sim, memberTimeout := c.sim, c.terms.MemberTimeout
		c.disconnectAndPropose()
		reported := c.awaitActivation(t)
		prepared := c.proposedAt + c.slow.prepareDelay
		// A disconnected proxy renews at least every MemberTimeout/2, and then reports that the last lease did not arrive.
		latest := max(c.unreachableSince+memberTimeout, prepared+memberTimeout/2) + c.terms.AgreementTimeout
		if at := sim.activeAt[2]; at < prepared || at > latest {
			t.Errorf("seed %d: version 2 is active at %v, not from %v to %v", seed, at, prepared, latest)
		}
		if memberTimeout > 2*c.terms.AgreementTimeout && !c.beforeProposal() && !reported {
			t.Errorf("seed %d: the status never reported that %s is unreachable and blocks the version", seed, c.proxy.name)
		}
		c.proxy.unreachableUntil = 0
		c.proxy.prepareDelay = 0
		sim.run(memberTimeout + 5*second)
		for _, p := range sim.processes {
			if sim.violation == "" && p.activeVersion != 2 && (p != c.proxy || !c.whilePreparing()) {
				sim.fail("%s acts on version %d", p.name, p.activeVersion)
			}
		}
		if sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
	}
}
