package fleetconfig

import "time"

// DueCommands implements LeaseService.
func (m *LeaseManager) DueCommands(now time.Duration) []Command {
	if !m.leading {
		return nil
	}
	m.syncState(now)
	timeout := m.memberTimeout(now)
	due := m.dueRemovals(now, timeout)
	m.dropStaleSessions(now, timeout)
	if proposed, ok := m.state.Proposed(); ok {
		due = append(due, m.decide(now, proposed, timeout)...)
	}
	return due
}

// dueRemovals returns the removals of members that drain, have been superseded, or have been unresponsive for
// removeAfterTimeouts member timeouts.
func (m *LeaseManager) dueRemovals(now, timeout time.Duration) []Command {
	var due []Command
	for _, member := range m.state.Members() {
		id := processID{member.Node, member.Incarnation}
		session := m.sessions[id]
		_, removing := m.removals[id]
		draining := session != nil && session.Draining
		sinceLease := m.sinceLease(now, session)
		replaced := sinceLease > timeout && m.superseded(id)
		inactive := min(m.sinceRenewal(now, session), sinceLease)
		unresponsive := inactive > time.Duration(m.removeAfterTimeouts)*timeout
		if removing || draining || replaced || unresponsive {
			removal := RemoveMember(member) // the two types have the same fields
			m.removals[id] = removal
			due = append(due, Command{RemoveMember: &removal})
		}
	}
	return due
}

// dropStaleSessions deletes the sessions of unresponsive processes that are not members.
func (m *LeaseManager) dropStaleSessions(now, timeout time.Duration) {
	for id, session := range m.sessions {
		if _, isMember := m.member(id); !isMember && m.sinceRenewal(now, session) > timeout {
			delete(m.sessions, id)
		}
	}
}

// decide returns the command that activates or withdraws the proposed version, or nil while the version waits for members.
func (m *LeaseManager) decide(now time.Duration, proposed Version, timeout time.Duration) []Command {
	if m.activating == nil {
		rejections, pending := m.collectVerdicts(now, proposed, timeout)
		if len(rejections) > 0 && !proposed.Force {
			return []Command{{Withdraw: &Withdraw{
				Number:     proposed.Number,
				Reason:     rejectionSummary(rejections),
				Rejections: boundRejections(rejections),
			}}}
		}
		if pending {
			return nil
		}
		m.activating = &Activate{Number: proposed.Number, Excluded: sortedNodes(rejections)}
		if active, ok := m.state.Active(); ok && m.earlierLeasesExpired(now, active) {
			m.activating.SettledVersion = active.Number
		}
	}
	activate := *m.activating
	return []Command{{Activate: &activate}}
}

// collectVerdicts returns the members' rejections of the proposed version by node, and whether any verdict is pending.
func (m *LeaseManager) collectVerdicts(
	now time.Duration, proposed Version, timeout time.Duration,
) (rejections map[string]Rejection, pending bool) {
	rejections = map[string]Rejection{}
	for _, member := range m.state.Members() {
		switch m.verdict(now, member, proposed, timeout) {
		case verdictRejected:
			rejections[member.Node] = *m.sessions[processID{member.Node, member.Incarnation}].Rejection
		case verdictPending:
			pending = true
		}
	}
	return rejections, pending
}

// verdict is a member's answer to a proposed version.
type verdict int

const (
	verdictPending  verdict = iota // the version waits for the member
	verdictReady                   // the member has prepared the version
	verdictRejected                // the member cannot load the version
	verdictSkipped                 // the member drains or its leases have expired, so the version need not wait for it
)

// verdict derives a member's answer to the proposed version from its renewals and leases. timeout is the member timeout.
func (m *LeaseManager) verdict(now time.Duration, member Member, proposed Version, timeout time.Duration) verdict {
	id := processID{member.Node, member.Incarnation}
	session := m.sessions[id]
	switch {
	case session != nil && session.Draining:
		return verdictSkipped
	case session != nil && session.PreparedVersion == proposed.Number:
		return verdictReady // from now on the member assumes that this version may be active
	case session != nil && session.RejectedVersion == proposed.Number && session.Rejection != nil && !m.superseded(id):
		return verdictRejected
	case m.sinceLease(now, session) > timeout:
		return verdictSkipped
	}
	return verdictPending
}
