package fleetconfig

import (
	"strings"
	"testing"
	"time"
)

// Faulty parts, each of which breaks one rule.
type (
	impatientManager    struct{ LeaseService } // does not wait for unresponsive members
	skipIgnoringManager struct {               // grants leases to nodes that a pending decision skips
		LeaseService
		unrestricted *LeaseManager
	}
	earlyCountingManager   struct{ LeaseService }  // counts the time before its election
	activeTimeoutState     struct{ *StateMachine } // waits only for the active version's MemberTimeout
	unleasedClient         struct{ Leaseholder }   // acts without a lease
	conflictIgnoringClient struct{ Leaseholder }   // takes no connection for contested
	forceIgnoringClient    struct{ Leaseholder }   // does not know that a version is forced
	unconfirmingClient     struct{ Leaseholder }   // does not report accepted leases
	confirmingManager      struct{ *LeaseManager } // takes each lease for confirmed
	latestOnlyState        struct{ *StateMachine } // forgets a superseded process at once
)

func (h impatientManager) DueCommands(now time.Duration) []Command {
	return h.LeaseService.DueCommands(now + time.Minute)
}

func (f skipIgnoringManager) BecomeLeader(now time.Duration, term uint64) {
	f.LeaseService.BecomeLeader(now, term)
	f.unrestricted.BecomeLeader(now, term)
}

func (f skipIgnoringManager) HandleRenewal(now time.Duration, r Renewal) []Command {
	f.unrestricted.HandleRenewal(now, r)
	return f.LeaseService.HandleRenewal(now, r)
}

func (f skipIgnoringManager) GrantLease(now time.Duration, r Renewal) (Lease, bool) {
	return f.unrestricted.GrantLease(now, r)
}

func (n earlyCountingManager) BecomeLeader(now time.Duration, term uint64) {
	n.LeaseService.BecomeLeader(now-time.Minute, term)
}

func (u forceIgnoringClient) Handle(now time.Duration, e Event) []Action {
	if g, ok := e.(LeaseGranted); ok {
		g.Lease.Forced = false
		e = g
	}
	return u.Leaseholder.Handle(now, e)
}

func (u unconfirmingClient) Handle(now time.Duration, e Event) []Action {
	out := u.Leaseholder.Handle(now, e)
	for i, a := range out {
		if ask, ok := a.(SendRenewal); ok {
			ask.Renewal.FirstUnanswered = 1
			out[i] = ask
		}
	}
	return out
}

func (o confirmingManager) GrantLease(now time.Duration, r Renewal) (Lease, bool) {
	g, ok := o.LeaseManager.GrantLease(now, r)
	if h := o.sessions[processID{r.Node, r.Incarnation}]; h != nil {
		h.leaseUnconfirmed = false
	}
	return g, ok
}

func (s latestOnlyState) Members() []Member {
	var out []Member
	for _, m := range s.StateMachine.Members() {
		if latest, _ := latestIncarnation(s.StateMachine.Members(), m.Node); latest == m.Incarnation {
			out = append(out, m)
		}
	}
	return out
}

func (s activeTimeoutState) Active() (Version, bool) {
	v, ok := s.StateMachine.Active()
	v.MaxMemberTimeout = v.Body.Fleet.MemberTimeout
	return v, ok
}

func (c unleasedClient) Authorize(now time.Duration, contested func() bool) Authorization {
	p := c.Leaseholder.Authorize(now, contested)
	n, ok := c.ActiveVersion()
	p.Allowed = p.Allowed || ok && n > 0
	return p
}

func (i conflictIgnoringClient) Authorize(now time.Duration, _ func() bool) Authorization {
	return i.Leaseholder.Authorize(now, func() bool { return false })
}

func TestInvariantChecksDetectFaultyParts(t *testing.T) {
	for name, faulty := range map[string]struct {
		from uint64 // the first seed, where the violation is rare
		wrappers
	}{
		"does not wait for unresponsive members": {0, wrappers{leases: func(m *LeaseManager, _ *StateMachine) LeaseService { return impatientManager{m} }}},
		"grants leases past a pending decision": {80, wrappers{leases: func(m *LeaseManager, b *StateMachine) LeaseService {
			return skipIgnoringManager{m, NewLeaseManager(b)}
		}}},
		"counts the time before its election":      {0, wrappers{leases: func(m *LeaseManager, _ *StateMachine) LeaseService { return earlyCountingManager{m} }}},
		"waits only for the active member timeout": {0, wrappers{state: func(b *StateMachine) ReplicatedState { return activeTimeoutState{b} }}},
		"acts without a lease":                     {0, wrappers{client: func(f Leaseholder) Leaseholder { return unleasedClient{f} }}},
		"does not report accepted leases":          {0, wrappers{client: func(f Leaseholder) Leaseholder { return unconfirmingClient{f} }}},
		"takes each lease for confirmed":           {0, wrappers{leases: func(m *LeaseManager, _ *StateMachine) LeaseService { return confirmingManager{m} }}},
		"does not know that a version is forced":   {0, wrappers{client: func(f Leaseholder) Leaseholder { return forceIgnoringClient{f} }}},
		"forgets a superseded process":             {30, wrappers{state: func(b *StateMachine) ReplicatedState { return latestOnlyState{b} }}},
		"takes no connection for contested":        {0, wrappers{client: func(f Leaseholder) Leaseholder { return conflictIgnoringClient{f} }}},
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 200
			for seed := range uint64(seeds) {
				seed += faulty.from
				sim := newSimulation(seed, moderateConditions, faulty.wrappers)
				if sim.run(40 * time.Second); sim.violation != "" && !strings.Contains(sim.violation, "still proposed") {
					t.Logf("seed %d: %s", seed, sim.violation)
					return
				}
			}
			t.Errorf("no violation in %d runs", seeds)
		})
	}
}
