package fleetconfig

import "time"

// unreachableAfterLosses is the number of consecutive lost leases that makes a process unreachable. Any process may lose
// fewer by chance.
const unreachableAfterLosses = 3

// memberSession is what this leader knows about a process.
type memberSession struct {
	Renewal                        // the renewal with the highest Seq, since renewals may arrive out of order
	lastRenewalAt    time.Duration // when a renewal last arrived
	confirmedLeaseAt time.Duration // when the latest lease known to be accepted was granted; initially, when this replica became leader
	lastLeaseAt      time.Duration // when the latest lease was granted
	lastLeaseSeq     uint64        // Seq of the renewal that the latest lease answers
	leaseUnconfirmed bool          // it is unknown whether the latest lease has been or will be accepted
	lostLeases       int           // leases in a row that are known not to have been accepted
}

// newMemberSession returns the session of a process that has not renewed under this leader.
func newMemberSession(id processID, leadingSince time.Duration) *memberSession {
	return &memberSession{
		Renewal:          Renewal{Node: id.node, Incarnation: id.incarnation},
		lastRenewalAt:    leadingSince,
		confirmedLeaseAt: leadingSince,
	}
}

// handleRenewal records a renewal. A reported drain is never revoked.
func (s *memberSession) handleRenewal(now time.Duration, r Renewal) {
	s.lastRenewalAt = now
	s.confirmLease(r)
	if r.Seq >= s.Seq {
		r.Draining = r.Draining || s.Draining
		s.Renewal = r
	}
}

// confirmLease determines whether the latest lease was accepted, from a renewal later than the one that the lease answers.
// If the renewal does not report this, the lease counts as accepted, since the process may have accepted it.
func (s *memberSession) confirmLease(r Renewal) {
	if !s.leaseUnconfirmed || r.Seq <= s.lastLeaseSeq {
		return
	}
	s.leaseUnconfirmed = false
	if r.FirstUnanswered != 0 && r.FirstUnanswered <= s.lastLeaseSeq {
		s.lostLeases++
		return
	}
	s.confirmedLeaseAt = s.lastLeaseAt
	s.lostLeases = 0
}

// recordLease records a granted lease. It ignores a lease that answers an outdated renewal, since the process does not
// accept it.
func (s *memberSession) recordLease(now time.Duration, seq uint64) {
	if seq >= s.Seq {
		s.lastLeaseAt = now
		s.lastLeaseSeq = seq
		s.leaseUnconfirmed = true
	}
}

// sinceLease returns the time since the process was last granted a lease that it may have accepted. It is at most the time
// for which this replica has been leader.
func (m *LeaseManager) sinceLease(now time.Duration, session *memberSession) time.Duration {
	switch {
	case session == nil:
		return now - m.leadingSince
	case session.leaseUnconfirmed:
		return now - session.lastLeaseAt
	}
	return now - session.confirmedLeaseAt
}

// sinceRenewal returns the time since the last renewal of the process arrived. It is at most the time for which this
// replica has been leader.
func (m *LeaseManager) sinceRenewal(now time.Duration, session *memberSession) time.Duration {
	if session == nil {
		return now - m.leadingSince
	}
	return now - max(session.lastRenewalAt, m.leadingSince)
}

// earlierLeasesExpired reports whether all leases of versions before the active one have expired. The renewals of those
// leases were sent before the active version was first seen.
func (m *LeaseManager) earlierLeasesExpired(now time.Duration, active Version) bool {
	return now-m.activeSince > expiryWithDrift(active.MaxMemberTimeout, active.Body.Fleet.ClockDriftPPM)
}

// memberTimeout returns how long a member must have accepted no lease before decisions skip it. A lease carries the
// MemberTimeout of the version that was active when it was granted, and the node may have received no lease since. So the
// longest MemberTimeout that an unexpired lease may carry applies: Version.MaxMemberTimeout, which the replicated state
// keeps across changes of leader. Once all leases of earlier versions have expired, the active version's own applies.
func (m *LeaseManager) memberTimeout(now time.Duration) time.Duration {
	active, ok := m.state.Active()
	if !ok {
		return expiryWithDrift(defaultMemberTimeout, defaultClockDriftPPM) // earlier leases name no version to act on
	}
	if m.earlierLeasesExpired(now, active) {
		return expiryWithDrift(active.Body.Fleet.MemberTimeout, active.Body.Fleet.ClockDriftPPM)
	}
	return expiryWithDrift(active.MaxMemberTimeout, active.Body.Fleet.ClockDriftPPM)
}

// withholdsLease reports whether a process gets no lease so that a proposed version need not wait for it. That is the case
// if the process has neither prepared nor rejected the version, reports that its latest leases did not arrive, and is in
// the last quarter of the member timeout after the last lease that did. Otherwise some lease might always be in flight,
// and the process could block the version forever. No lease is granted in that quarter, so that the process has reported
// the earlier ones as lost when the timeout ends. A lease is granted again once per member timeout, in case the process
// becomes reachable while the version waits for other members.
func (m *LeaseManager) withholdsLease(now time.Duration, id processID, session *memberSession) bool {
	proposed, ok := m.state.Proposed()
	if !ok || session.lostLeases < unreachableAfterLosses || session.leaseUnconfirmed {
		return false
	}
	timeout := m.memberTimeout(now)
	triedRecently := now-session.lastLeaseAt <= timeout
	inLastQuarter := 4*m.sinceLease(now, session) > 3*timeout
	if !triedRecently || !inLastQuarter {
		return false
	}
	verdict := m.verdict(now, Member{Node: id.node, Incarnation: id.incarnation}, proposed, timeout)
	return verdict == verdictPending || verdict == verdictSkipped
}
