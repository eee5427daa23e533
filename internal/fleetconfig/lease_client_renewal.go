package fleetconfig

import "time"

const (
	renewalsPerLease       = 4                      // in a LeaseDuration
	answerTimeoutsPerLease = 6                      // in a LeaseDuration
	immediateAttempts      = 5                      // replicas that are tried without a pause
	maxRenewalPause        = 5 * time.Second        // bounds how long a recovered replica goes unnoticed
	minRenewalInterval     = 500 * time.Microsecond // under any terms
	jitterSteps            = uint64(1000)           // resolution of a node's jitter
	jitterFraction         = 8                      // the jitter shortens an interval by up to 1/jitterFraction
)

// renewalInterval returns the time between renewals. The jitter, derived from the node's name, keeps proxies from renewing
// at the same times.
func (c *LeaseClient) renewalInterval() time.Duration {
	interval := c.terms().LeaseDuration() / renewalsPerLease
	jitter := interval / jitterFraction * time.Duration(c.jitterStep) / time.Duration(jitterSteps)
	return max(interval-jitter, minRenewalInterval)
}

// answerTimeout returns how long to wait for an answer. A renewal is due a quarter of a lease after the last answered one;
// if two replicas then time out in turn, a third one is tried 7/12 of a lease after the last answered renewal.
func (c *LeaseClient) answerTimeout() time.Duration {
	return max(c.terms().LeaseDuration()/answerTimeoutsPerLease, minRenewalInterval)
}

// renew sends a renewal if one is due and none is in progress.
func (c *LeaseClient) renew(now time.Duration) []Action {
	due := c.renewNow || now >= c.nextRenewal
	if c.renewing || c.drainConfirmed || !due {
		return nil
	}
	c.renewNow = false
	c.renewing = true
	c.drainSent = c.draining
	c.seq++
	c.renewalSentAt = now
	c.renewalDeadline = now + 2*c.answerTimeout() // fallback: the caller normally reports RenewalFailed earlier
	renewal := Renewal{
		Node:            c.node,
		Incarnation:     c.incarnation,
		Seq:             c.seq,
		ActiveVersion:   c.activeVersion,
		PreparedVersion: c.preparedVersion,
		FirstUnanswered: c.lastAnsweredSeq + 1,
		Headroom:        c.headroom,
		Draining:        c.draining,
	}
	// If both versions were rejected, the proposed one is reported.
	for _, number := range []uint64{c.latestLease.ActiveVersion, c.latestLease.ProposedVersion} {
		if rejection, ok := c.rejections[number]; ok {
			renewal.RejectedVersion = number
			renewal.Rejection = &rejection
		}
	}
	return []Action{SendRenewal{renewal, c.failures, c.answerTimeout()}}
}

// handleFailure records a renewal without a valid answer. The next replica is tried at once until immediateAttempts
// renewals have failed in a row, by which time all replicas have presumably been tried. After that, one replica is tried
// per renewal interval, with exponential backoff while the active version is unknown.
func (c *LeaseClient) handleFailure(now time.Duration) {
	c.renewing = false
	c.failures++
	pause := time.Duration(0)
	if c.failures >= immediateAttempts {
		pause = c.renewalInterval()
		if c.activeVersion == 0 || now >= c.knowledgeExpiry {
			pause = c.backoff(pause)
		}
	}
	c.nextRenewal = now + pause
}

// backoff doubles a pause with each failure beyond immediateAttempts, up to the smaller of half of MemberTimeout and
// maxRenewalPause. It never shortens the pause.
func (c *LeaseClient) backoff(pause time.Duration) time.Duration {
	longest := max(pause, min(c.terms().MemberTimeout/2, maxRenewalPause))
	for i := immediateAttempts; i < c.failures && pause < longest; i++ {
		pause *= 2
	}
	return min(pause, longest)
}

// handleLease accepts a lease that answers the renewal in progress and is not outdated. Any other answer to that renewal
// counts as a failure, and the next replica is tried.
func (c *LeaseClient) handleLease(now time.Duration, event LeaseGranted) []Action {
	lease := event.Lease
	if !c.renewing || lease.Seq != c.seq || lease.Node != c.node || lease.Incarnation != c.incarnation {
		return nil // it answers an abandoned renewal, or one of another process
	}
	terms, err := lease.Terms.WithDefaults("lease")
	invalidTerms := lease.ActiveVersion != 0 && err != nil // no replica of this release sends them
	if c.outdated(now, event) || invalidTerms {
		c.handleFailure(now)
		return nil
	}
	c.renewing = false
	c.failures = 0
	c.lastAnsweredSeq = lease.Seq
	c.nextRenewal = max(now, c.renewalSentAt+c.renewalInterval())
	if c.draining {
		c.drainConfirmed = c.drainSent
		return nil
	}
	lease.Terms = terms
	c.hasLease = true
	c.latestLease = lease
	c.leaseSentAt = event.SentAt
	c.knowledgeExpiry = event.SentAt + terms.KnowledgeDuration()
	actions := c.discardWithdrawn()
	switch lease.ActiveVersion {
	case 0: // the fleet has no version yet
	case c.activeVersion:
		c.leaseExpiry = event.SentAt + terms.LeaseDuration()
	case c.preparedVersion:
		actions = append(actions, c.switchTo(lease.ActiveVersion))
	}
	return actions
}

// outdated reports whether a lease contradicts the renewal in progress, an earlier lease, or itself.
func (c *LeaseClient) outdated(now time.Duration, event LeaseGranted) bool {
	lease := event.Lease
	switch {
	case event.SentAt < c.renewalSentAt, event.SentAt > now:
		return true
	case c.hasLease && (lease.Term < c.latestLease.Term || lease.ActiveVersion < c.latestLease.ActiveVersion):
		return true
	case lease.ActiveVersion < c.activeVersion:
		return true
	}
	return lease.ProposedVersion != 0 && lease.ProposedVersion <= lease.ActiveVersion
}
