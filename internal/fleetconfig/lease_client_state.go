package fleetconfig

import (
	"fmt"
	"time"
)

// Bounds of Authorization.RetryAfter.
const (
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = time.Second
)

// state returns the current state, by which Authorize decides.
func (c *LeaseClient) state(now time.Duration) LeaseState {
	lease := c.latestLease
	behind := lease.ActiveVersion != c.activeVersion
	_, activeRejected := c.rejections[lease.ActiveVersion]
	_, proposedRejected := c.rejections[lease.ProposedVersion]
	switch {
	case c.draining:
		return Draining
	case c.activeVersion != 0 && now < c.leaseExpiry:
		return Leased // also if a later version is known to be active: the agreement bound holds until the lease ends
	case c.hasLease && behind && (lease.Excluded || activeRejected):
		return Excluded
	case c.activeVersion == 0:
		return Starting
	case behind, now >= c.knowledgeExpiry, proposedRejected && lease.Forced:
		return Disconnected // the version that is active may be one that this process cannot compare with its own
	}
	return Expired
}

// reportState returns a StatusChanged if the state differs from the one reported last.
func (c *LeaseClient) reportState(now time.Duration) []Action {
	state := c.state(now)
	if state == c.reportedState {
		return nil
	}
	if c.reportedState == Leased && state != Draining {
		c.expirations++
	}
	c.reportedState = state
	return []Action{StatusChanged{state, c.describe(state)}}
}

// Authorize implements Leaseholder. Under ServeOnExpiry a starting process serves by its own settings once no lease has
// named an active version for MemberTimeout. An excluded or draining process places no connections.
func (c *LeaseClient) Authorize(now time.Duration, conflicts func() bool) Authorization {
	c.ensureStarted(now)
	state := c.state(now)
	if c.allows(now, state, conflicts) {
		return Authorization{Allowed: true, State: state}
	}
	next := c.nextRenewal
	if c.renewing {
		next = c.renewalSentAt + c.answerTimeout()
	}
	return Authorization{RetryAfter: min(max(next-now, minRetryAfter), maxRetryAfter), State: state}
}

// allows reports whether a connection may be placed. It counts connections that are allowed while the active version is
// unknown.
func (c *LeaseClient) allows(now time.Duration, state LeaseState, conflicts func() bool) bool {
	serve := false
	switch state {
	case Leased:
		return true
	case Expired:
		return c.preparedVersion == 0 || !conflicts()
	case Disconnected:
		serve = c.terms().OnLeaseExpiry == ServeOnExpiry
	case Starting:
		since := c.startedAt
		if c.hasLease && c.latestLease.ActiveVersion != 0 {
			since = c.leaseSentAt
		}
		serve = c.ownTerms.OnLeaseExpiry == ServeOnExpiry && now-since >= c.ownTerms.MemberTimeout
	}
	if serve {
		c.servedDisconnected++
	}
	return serve
}

// ActiveVersion implements Leaseholder.
func (c *LeaseClient) ActiveVersion() (uint64, bool) { return c.activeVersion, c.activeVersion != 0 }

// Status implements Leaseholder.
func (c *LeaseClient) Status(now time.Duration) LeaseStatus {
	status := LeaseStatus{
		State:              c.state(now),
		ActiveVersion:      c.activeVersion,
		PreparedVersion:    c.preparedVersion,
		Switches:           c.switches,
		Expirations:        c.expirations,
		ServedDisconnected: c.servedDisconnected,
	}
	if c.activeVersion != 0 {
		status.LeaseRemaining = c.leaseExpiry - now
	}
	return status
}

// describe returns the text that is logged for a state. internal/testing/fleettest searches the log for parts of the texts
// for Expired and Disconnected.
func (c *LeaseClient) describe(state LeaseState) string {
	switch state {
	case Leased:
		return fmt.Sprintf("version %d is active", c.activeVersion)
	case Expired:
		if c.preparedVersion != 0 {
			return fmt.Sprintf("the lease on version %d expired: what version %d contests is refused", c.activeVersion, c.preparedVersion)
		}
		return fmt.Sprintf("the lease on version %d expired, and no other version can be active", c.activeVersion)
	case Disconnected:
		return fmt.Sprintf("unknown which version is in force after version %d; policy %q applies", c.activeVersion, c.terms().OnLeaseExpiry)
	case Excluded:
		return fmt.Sprintf("this node cannot prepare the active version %d: new connections are rejected", c.latestLease.ActiveVersion)
	case Draining:
		return "the process is draining: new connections are rejected"
	}
	return "the process has no version yet"
}
