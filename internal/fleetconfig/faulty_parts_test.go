package fleetconfig

import (
	"strings"
	"testing"
	"time"
)

// Faulty implementations, each of which breaks one rule.
type (
	impatientManager    struct{ LeaseService } // does not wait for unresponsive members
	skipIgnoringManager struct {               // grants leases to nodes that a pending decision skips
		LeaseService
		unrestricted *LeaseManager
	}
	earlyCountingManager   struct{ LeaseService }  // counts the time before its election
	activeTimeoutState     struct{ *StateMachine } // waits only for the active version's MemberTimeout
	unleasedClient         struct{ Leaseholder }   // acts without a lease
	conflictIgnoringClient struct{ Leaseholder }   // treats no connection as conflicting
	forceIgnoringClient    struct{ Leaseholder }   // does not know that a version is forced
	unconfirmingClient     struct{ Leaseholder }   // does not report accepted leases
	confirmingManager      struct{ *LeaseManager } // treats every lease as confirmed
	latestOnlyState        struct{ *StateMachine } // forgets a superseded process at once
)

func (m impatientManager) DueCommands(now time.Duration) []Command {
	return m.LeaseService.DueCommands(now + time.Minute)
}

func (m skipIgnoringManager) BecomeLeader(now time.Duration, term uint64) {
	m.LeaseService.BecomeLeader(now, term)
	m.unrestricted.BecomeLeader(now, term)
}

func (m skipIgnoringManager) HandleRenewal(now time.Duration, r Renewal) []Command {
	m.unrestricted.HandleRenewal(now, r)
	return m.LeaseService.HandleRenewal(now, r)
}

func (m skipIgnoringManager) GrantLease(now time.Duration, r Renewal) (Lease, bool) {
	return m.unrestricted.GrantLease(now, r)
}

func (m earlyCountingManager) BecomeLeader(now time.Duration, term uint64) {
	m.LeaseService.BecomeLeader(now-time.Minute, term)
}

func (c forceIgnoringClient) Handle(now time.Duration, e Event) []Action {
	if granted, ok := e.(LeaseGranted); ok {
		granted.Lease.Forced = false
		e = granted
	}
	return c.Leaseholder.Handle(now, e)
}

func (c unconfirmingClient) Handle(now time.Duration, e Event) []Action {
	actions := c.Leaseholder.Handle(now, e)
	for i, a := range actions {
		if send, ok := a.(SendRenewal); ok {
			send.Renewal.FirstUnanswered = 1
			actions[i] = send
		}
	}
	return actions
}

func (m confirmingManager) GrantLease(now time.Duration, r Renewal) (Lease, bool) {
	lease, ok := m.LeaseManager.GrantLease(now, r)
	if session := m.sessions[processID{r.Node, r.Incarnation}]; session != nil {
		session.leaseUnconfirmed = false
	}
	return lease, ok
}

func (s latestOnlyState) Members() []Member {
	var members []Member
	for _, m := range s.StateMachine.Members() {
		if latest, _ := latestIncarnation(s.StateMachine.Members(), m.Node); latest == m.Incarnation {
			members = append(members, m)
		}
	}
	return members
}

func (s activeTimeoutState) Active() (Version, bool) {
	v, ok := s.StateMachine.Active()
	v.MaxMemberTimeout = v.Body.Fleet.MemberTimeout
	return v, ok
}

func (c unleasedClient) Authorize(now time.Duration, conflicts func() bool) Authorization {
	authorization := c.Leaseholder.Authorize(now, conflicts)
	version, ok := c.ActiveVersion()
	authorization.Allowed = authorization.Allowed || ok && version > 0
	return authorization
}

func (c conflictIgnoringClient) Authorize(now time.Duration, _ func() bool) Authorization {
	return c.Leaseholder.Authorize(now, func() bool { return false })
}

func TestInvariantChecksDetectFaultyParts(t *testing.T) {
	for name, faulty := range map[string]struct {
		from uint64 // the first seed; above 0 if only few seeds lead to a violation
		wrappers
	}{
		"does not wait for unresponsive members": {0, wrappers{leases: func(m *LeaseManager, _ *StateMachine) LeaseService { return impatientManager{m} }}},
		"grants leases past a pending decision": {80, wrappers{leases: func(m *LeaseManager, s *StateMachine) LeaseService {
			return skipIgnoringManager{m, NewLeaseManager(s)}
		}}},
		"counts the time before its election":      {0, wrappers{leases: func(m *LeaseManager, _ *StateMachine) LeaseService { return earlyCountingManager{m} }}},
		"waits only for the active member timeout": {0, wrappers{state: func(s *StateMachine) ReplicatedState { return activeTimeoutState{s} }}},
		"acts without a lease":                     {0, wrappers{client: func(c Leaseholder) Leaseholder { return unleasedClient{c} }}},
		"does not report accepted leases":          {0, wrappers{client: func(c Leaseholder) Leaseholder { return unconfirmingClient{c} }}},
		"treats every lease as confirmed":          {0, wrappers{leases: func(m *LeaseManager, _ *StateMachine) LeaseService { return confirmingManager{m} }}},
		"does not know that a version is forced":   {0, wrappers{client: func(c Leaseholder) Leaseholder { return forceIgnoringClient{c} }}},
		"forgets a superseded process":             {30, wrappers{state: func(s *StateMachine) ReplicatedState { return latestOnlyState{s} }}},
		"treats no connection as conflicting":      {0, wrappers{client: func(c Leaseholder) Leaseholder { return conflictIgnoringClient{c} }}},
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
			t.Errorf("no invariant was violated in %d runs", seeds)
		})
	}
}
