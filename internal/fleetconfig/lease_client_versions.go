package fleetconfig

import "time"

// rejectedRetryInterval is the time between attempts to prepare a version that was rejected.
const rejectedRetryInterval = 30 * time.Second

// discardWithdrawn discards the versions that are neither active nor proposed according to the latest lease. Since version
// numbers are never reused, they cannot become active later.
func (c *LeaseClient) discardWithdrawn() []Action {
	lease := c.latestLease
	var actions []Action
	if c.preparedVersion != lease.ActiveVersion && c.preparedVersion != lease.ProposedVersion {
		actions = append(actions, discard(&c.preparedVersion)...)
	}
	stillNeeded := c.preparingVersion == lease.ActiveVersion && c.activeVersion != lease.ActiveVersion
	if c.preparingVersion != lease.ProposedVersion && !stillNeeded {
		actions = append(actions, discard(&c.preparingVersion)...)
	}
	for number := range c.rejections {
		if number != lease.ActiveVersion && number != lease.ProposedVersion {
			delete(c.rejections, number)
		}
	}
	return actions
}

// discard clears a version number and returns the action that discards the version, or nil if the number was 0.
func discard(number *uint64) []Action {
	if *number == 0 {
		return nil
	}
	dropped := *number
	*number = 0
	return []Action{DiscardVersion{dropped}}
}

// switchTo switches to the active version of the latest lease, which is prepared.
func (c *LeaseClient) switchTo(number uint64) Action {
	c.activeVersion = number
	if c.preparedVersion == number {
		c.preparedVersion = 0
	}
	delete(c.rejections, number)
	c.leaseExpiry = c.leaseSentAt + c.latestLease.Terms.LeaseDuration()
	c.switches++
	return SwitchVersion{number}
}

// handlePrepareDone handles the outcome of a preparation. If the prepared version is already active, the process switches
// to it.
func (c *LeaseClient) handlePrepareDone(now time.Duration, event PrepareDone) []Action {
	if event.Number == 0 || event.Number != c.preparingVersion {
		return nil // the version was discarded meanwhile
	}
	c.preparingVersion = 0
	c.renewNow = true // reports the outcome
	if event.Rejection != nil {
		c.rejections[event.Number] = *event.Rejection
		c.retryPrepareAt = now + rejectedRetryInterval
		return nil
	}
	delete(c.rejections, event.Number)
	if event.Number == c.latestLease.ActiveVersion && now < c.knowledgeExpiry {
		// The latest lease still determines which versions can be active, so no later version is active without this
		// process knowing of it.
		return []Action{c.switchTo(event.Number)}
	}
	c.preparedVersion = event.Number
	return nil
}

// startPreparation starts to prepare the next version: the active one before the proposed one, one at a time. A prepared
// version has been acknowledged, so no other version is prepared in its place.
func (c *LeaseClient) startPreparation(now time.Duration) []Action {
	if c.draining || c.preparingVersion != 0 || c.preparedVersion != 0 {
		return nil
	}
	lease := c.latestLease
	for _, next := range []PrepareVersion{
		{lease.ActiveVersion, lease.ActiveDigest},
		{lease.ProposedVersion, lease.ProposedDigest},
	} {
		if next.Number == 0 || next.Number == c.activeVersion {
			continue
		}
		if _, rejected := c.rejections[next.Number]; rejected && now < c.retryPrepareAt {
			continue
		}
		c.preparingVersion = next.Number
		return []Action{next}
	}
	return nil
}
