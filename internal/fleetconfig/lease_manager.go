package fleetconfig

import (
	"slices"
	"time"
)

// defaultRemoveAfterTimeouts is the number of member timeouts after which an unresponsive process is removed.
const defaultRemoveAfterTimeouts = 60

// LeaseManager implements LeaseService. Its state is lost with the leadership; a later leader waits until the leases that
// an earlier one may have granted have expired.
//
// A decision that skips a node (the activation of a version that the node has not prepared, or the node's removal) is
// binding from the time DueCommands returns it until it is applied. The node gets no lease in between, since a lease
// would let it rely on the active version for another MemberTimeout.
//
// What a node relies on depends on the leases that it accepted, not on the renewals that it sent. So a node whose renewals
// arrive but whose leases are lost delays a decision no longer than an unresponsive node. Each renewal reports which lease
// the node accepted last, and once it is sent the node accepts no answer to an earlier renewal. So the leases that may be
// in use are the one reported last and any granted since.
type LeaseManager struct {
	state        ReplicatedState
	leading      bool
	leadingSince time.Duration
	term         uint64

	sessions            map[processID]*memberSession
	activeVersion       uint64                     // as last seen in state
	activeSince         time.Duration              // when activeVersion was first seen; it became active no later
	activating          *Activate                  // returned as due and not applied yet
	removals            map[processID]RemoveMember // returned as due and not applied yet
	removeAfterTimeouts int                        // the number of member timeouts after which an unresponsive process is removed
}

// processID identifies a process of a node.
type processID struct {
	node        string
	incarnation uint64
}

var _ LeaseService = (*LeaseManager)(nil)

// NewLeaseManager returns a manager that grants nothing until BecomeLeader is called.
func NewLeaseManager(state ReplicatedState) *LeaseManager {
	return &LeaseManager{state: state, removeAfterTimeouts: defaultRemoveAfterTimeouts}
}

// BecomeLeader implements LeaseService.
func (m *LeaseManager) BecomeLeader(now time.Duration, term uint64) {
	*m = LeaseManager{
		state:               m.state,
		leading:             true,
		leadingSince:        now,
		term:                term,
		sessions:            map[processID]*memberSession{},
		activeSince:         now,
		removals:            map[processID]RemoveMember{},
		removeAfterTimeouts: m.removeAfterTimeouts,
	}
	m.syncState(now)
}

// StepDown implements LeaseService.
func (m *LeaseManager) StepDown() {
	*m = LeaseManager{state: m.state, removeAfterTimeouts: m.removeAfterTimeouts}
}

// syncState records a new active version, and drops the decisions that have been applied since the last call.
func (m *LeaseManager) syncState(now time.Duration) {
	if active, _ := m.state.Active(); active.Number != m.activeVersion {
		m.activeVersion = active.Number
		m.activeSince = now
	}
	if m.activating != nil {
		if proposed, ok := m.state.Proposed(); !ok || proposed.Number != m.activating.Number {
			m.activating = nil
		}
	}
	for id, removal := range m.removals {
		if member, ok := m.member(id); !ok || member.JoinIndex != removal.JoinIndex {
			delete(m.removals, id)
		}
	}
}

func (m *LeaseManager) member(id processID) (Member, bool) {
	members := m.state.Members()
	if i, ok := findMember(members, id.node, id.incarnation); ok {
		return members[i], true
	}
	return Member{}, false
}

// superseded reports whether a later process of the node is a member. All leases of the earlier process were granted
// before the later one was added.
func (m *LeaseManager) superseded(id processID) bool {
	latest, ok := latestIncarnation(m.state.Members(), id.node)
	return ok && latest > id.incarnation
}

// HandleRenewal implements LeaseService. Of a superseded process, only a reported drain is recorded: the process gets no
// more leases, so its renewals do not extend the wait for it.
func (m *LeaseManager) HandleRenewal(now time.Duration, r Renewal) []Command {
	if !m.leading || !validNodeName(r.Node) {
		return nil
	}
	m.syncState(now)
	id := processID{r.Node, r.Incarnation}
	_, isMember := m.member(id)
	session := m.sessions[id]
	if session == nil {
		if !isMember && len(m.sessions) >= 2*maxMembers {
			return nil
		}
		session = newMemberSession(id, m.leadingSince)
		m.sessions[id] = session
	}
	if m.superseded(id) {
		session.Draining = session.Draining || r.Draining
		return nil
	}
	session.handleRenewal(now, r)
	if isMember || session.Draining {
		return nil
	}
	return []Command{{AddMember: &AddMember{r.Node, r.Incarnation}}}
}

// GrantLease implements LeaseService. A draining process gets an answer even if it is not a member: the answer ends its
// renewals, and the process does not act on the lease.
func (m *LeaseManager) GrantLease(now time.Duration, r Renewal) (Lease, bool) {
	id := processID{r.Node, r.Incarnation}
	session := m.sessions[id]
	if !m.leading || session == nil {
		return Lease{}, false
	}
	m.syncState(now)
	if !r.Draining {
		if !m.mayGrant(now, id, session) {
			return Lease{}, false
		}
		session.recordLease(now, r.Seq)
	}
	return m.newLease(r, session), true
}

// mayGrant reports whether a process may get a lease: it is a member, is not superseded or draining, and no decision skips
// it.
func (m *LeaseManager) mayGrant(now time.Duration, id processID, session *memberSession) bool {
	_, isMember := m.member(id)
	_, removing := m.removals[id]
	switch {
	case !isMember, removing, session.Draining, m.superseded(id):
		return false
	case m.activating != nil && session.PreparedVersion != m.activating.Number:
		return false
	}
	return !m.withholdsLease(now, id, session)
}

func (m *LeaseManager) newLease(r Renewal, session *memberSession) Lease {
	active, _ := m.state.Active()
	lease := Lease{
		Node:          r.Node,
		Incarnation:   r.Incarnation,
		Seq:           r.Seq,
		Term:          m.term,
		ActiveVersion: active.Number,
		ActiveDigest:  active.Digest,
		ListNumber:    m.state.EndpointList().Number(),
		Terms:         active.Body.Fleet,
	}
	if proposed, ok := m.state.Proposed(); ok {
		// A node that rejected the version gets its number too, since the node must know which version may become active.
		lease.ProposedVersion = proposed.Number
		lease.ProposedDigest = proposed.Digest
		lease.Forced = proposed.Force
	}
	if _, excluded := slices.BinarySearch(active.Excluded, r.Node); excluded {
		lease.Excluded = session.ActiveVersion != active.Number && session.PreparedVersion != active.Number
	}
	return lease
}

// Status implements LeaseService. For a member that has not renewed under this leader, the Renewal contains only the node
// and the incarnation.
func (m *LeaseManager) Status(now time.Duration) []NodeStatus {
	if !m.leading {
		return nil
	}
	m.syncState(now)
	timeout := m.memberTimeout(now)
	active, _ := m.state.Active()
	proposed, hasProposed := m.state.Proposed()
	var statuses []NodeStatus
	for _, member := range m.state.Members() {
		status := NodeStatus{Renewal: Renewal{Node: member.Node, Incarnation: member.Incarnation}}
		session := m.sessions[processID{member.Node, member.Incarnation}]
		if session != nil {
			status.Renewal = session.Renewal
		}
		status.SinceRenewal = m.sinceRenewal(now, session)
		status.Unresponsive = status.SinceRenewal > timeout
		if session != nil && !status.Unresponsive {
			sinceConfirmed := now - session.confirmedLeaseAt
			status.Unreachable = session.lostLeases >= unreachableAfterLosses && sinceConfirmed > active.Body.Fleet.AgreementTimeout
		}
		status.BlocksProposal = hasProposed && m.verdict(now, member, proposed, timeout) == verdictPending
		statuses = append(statuses, status)
	}
	return statuses
}
