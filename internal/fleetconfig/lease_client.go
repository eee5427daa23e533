package fleetconfig

import (
	"hash/fnv"
	"time"
)

// LeaseClient implements Leaseholder: it renews its lease, prepares and switches versions, and authorizes connections.
//
// The latest accepted lease determines which versions can be active. For KnowledgeDuration after its renewal was sent,
// these are the lease's active version and the versions that this process has acknowledged since: the control plane
// activates any other version only after the process has been unresponsive for longer. A version counts as acknowledged as
// soon as it is prepared, before any renewal reports it; a forced version counts as acknowledged also once it is rejected.
type LeaseClient struct {
	node        string
	incarnation uint64
	ownTerms    Terms
	jitterStep  uint64 // below jitterSteps; from the node's name
	started     bool
	startedAt   time.Duration // time of the first call

	// Renewals.
	seq             uint64
	renewing        bool // a renewal is in progress
	renewNow        bool // renew as soon as the one in progress ends
	renewalSentAt   time.Duration
	renewalDeadline time.Duration
	nextRenewal     time.Duration
	failures        int    // consecutive
	lastAnsweredSeq uint64 // Seq of the renewal that brought the last accepted lease

	// The latest accepted lease.
	hasLease        bool
	latestLease     Lease
	leaseSentAt     time.Duration // when its renewal was sent
	leaseExpiry     time.Duration // end of the lease on activeVersion
	knowledgeExpiry time.Duration // until then the latest lease determines which versions can be active

	// Versions.
	activeVersion    uint64 // the version that this process acts on
	preparedVersion  uint64
	preparingVersion uint64
	rejections       map[uint64]Rejection // by version
	retryPrepareAt   time.Duration        // when to prepare a rejected version again
	headroom         MemoryHeadroom

	// Draining.
	draining       bool
	drainSent      bool // the renewal in progress reports it
	drainConfirmed bool // a replica has answered such a renewal

	timerArmed    bool
	timerAt       time.Duration
	reportedState LeaseState

	// Counters.
	switches           uint64
	expirations        uint64
	servedDisconnected uint64
}

var _ Leaseholder = (*LeaseClient)(nil)

// NewLeaseClient returns a LeaseClient that has no version yet. ownTerms, from the node's own settings, apply until a lease
// carries others; if they are invalid, the defaults apply.
func NewLeaseClient(node string, incarnation uint64, ownTerms Terms) *LeaseClient {
	terms, err := ownTerms.WithDefaults(node)
	if err != nil {
		terms, _ = Terms{}.WithDefaults(node) // the defaults are valid
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node)) // never fails
	return &LeaseClient{
		node:          node,
		incarnation:   incarnation,
		ownTerms:      terms,
		jitterStep:    hash.Sum64() % jitterSteps,
		rejections:    map[uint64]Rejection{},
		reportedState: Starting,
	}
}

// ensureStarted records the time of the first call.
func (c *LeaseClient) ensureStarted(now time.Duration) {
	if !c.started {
		c.started = true
		c.startedAt = now
		c.nextRenewal = now
	}
}

// terms returns the terms of the active version that the latest lease names, or the node's own if there is none.
func (c *LeaseClient) terms() Terms {
	if c.hasLease && c.latestLease.ActiveVersion != 0 {
		return c.latestLease.Terms
	}
	return c.ownTerms
}

// Handle implements Leaseholder.
func (c *LeaseClient) Handle(now time.Duration, event Event) []Action {
	c.ensureStarted(now)
	actions := c.handleEvent(now, event)
	if c.renewing && now >= c.renewalDeadline {
		c.handleFailure(now)
	}
	actions = append(actions, c.startPreparation(now)...)
	actions = append(actions, c.reportState(now)...)
	actions = append(actions, c.renew(now)...)
	return append(actions, c.armTimer(now)...)
}

func (c *LeaseClient) handleEvent(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case Tick:
		c.timerArmed = false
	case LeaseGranted:
		return c.handleLease(now, event)
	case RenewalFailed:
		if c.renewing && event.Seq == c.seq {
			c.handleFailure(now)
		}
	case PrepareDone:
		return c.handlePrepareDone(now, event)
	case HeadroomChanged:
		if c.headroom != event.Headroom {
			c.headroom = event.Headroom
			c.retryPrepareAt = now // a version that did not fit may fit now
		}
	case StartDrain:
		return c.startDrain()
	}
	return nil
}

// startDrain discards the prepared version and the one in preparation. Renewals continue only to report the drain.
func (c *LeaseClient) startDrain() []Action {
	if c.draining {
		return nil
	}
	c.draining = true
	c.renewNow = true
	return append(discard(&c.preparingVersion), discard(&c.preparedVersion)...)
}

// armTimer sets the timer to the earliest of the next renewal (or the deadline of the one in progress), leaseExpiry,
// knowledgeExpiry and retryPrepareAt.
func (c *LeaseClient) armTimer(now time.Duration) []Action {
	next := c.nextRenewal
	if c.renewing {
		next = c.renewalDeadline
	} else if c.drainConfirmed {
		return nil
	}
	times := []time.Duration{c.leaseExpiry, c.knowledgeExpiry}
	if len(c.rejections) > 0 {
		times = append(times, c.retryPrepareAt)
	}
	for _, at := range times {
		if at > now {
			next = min(next, at)
		}
	}
	if c.timerArmed && c.timerAt == next {
		return nil
	}
	c.timerArmed = true
	c.timerAt = next
	return []Action{SetTimer{next}}
}
