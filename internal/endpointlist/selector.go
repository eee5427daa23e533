package endpointlist

import "time"

// Discovery is the result of SourceSelector.Current while discovery is selected, not a replica.
const Discovery = -1

// Durations of a SourceSelector.
const (
	// FailoverTimeout is the time without a serving replica after which a proxy fails over to discovery.
	FailoverTimeout = 2 * time.Second
	// InitialBackoff is the first backoff, without jitter. During a backoff a proxy uses discovery and does not try the replicas.
	InitialBackoff = 2 * time.Second
	// MaxBackoff is the longest backoff, including jitter.
	MaxBackoff = 30 * time.Second

	// The pause between two rounds of all replicas doubles from initialRoundPause to maxRoundPause, without jitter.
	initialRoundPause = 50 * time.Millisecond
	maxRoundPause     = 300 * time.Millisecond
	// maxBaseBackoff is the longest backoff without jitter, which at most doubles a backoff.
	maxBaseBackoff = MaxBackoff / 2
	// maxPauseDoublings bounds the shift that computes the pause, so that it cannot overflow. Fewer doublings reach maxRoundPause.
	maxPauseDoublings = 8
)

// SourceSelector selects the source from which a proxy fetches its list: one of the control-plane replicas, or discovery.
//
// It starts with a replica, before any lease is granted. After a failed call it selects the next replica. Only the leader
// serves the list and the others refuse immediately, so it repeats rounds of all replicas, with a pause between rounds in
// which the proxy sends no request. If no replica serves for FailoverTimeout, counted from the first failure or from the
// first call of a method that takes the time, it fails over to discovery. It returns to the replicas after a backoff, once a
// lease has reported that they have a list. The backoff doubles with each failed return, and is reset to InitialBackoff after
// the replicas have served for MaxBackoff.
//
// Times are readings of the proxy's monotonic clock, above 0.
type SourceSelector struct {
	replicas    int
	jitter      float64 // in [0, 1), differs between proxies
	current     int     // index of a replica, or Discovery
	lastReplica int     // selected before the failover to discovery

	started        bool
	failingSince   time.Duration // time since which no replica has served; 0: a replica serves
	servedSince    time.Duration // first success since the last return to the replicas; 0: none
	roundFailures  int           // failed calls in this round
	failedRounds   int           // successive rounds in which all replicas failed
	roundPauseEnds time.Duration // end of the pause between rounds; 0: no pause

	listAvailable bool          // a lease since the last failure reported that the replicas have a list
	backoff       time.Duration // the next backoff, without jitter
	returnAt      time.Duration // earliest time of a return to the replicas
}

// float64SignificandBits is the largest number of bits of an integer that a float64 always represents exactly.
const float64SignificandBits = 53

// NewSourceSelector returns a selector for a number of replicas. Without replicas it always selects discovery. The seed, such
// as a hash of the node name, determines the first replica and the jitter, so that the proxies of a fleet do not switch sources
// at the same instant. Its bits must be uniformly distributed.
func NewSourceSelector(replicas int, seed uint64) *SourceSelector {
	s := &SourceSelector{
		replicas: max(replicas, 0),
		jitter:   float64(seed>>(64-float64SignificandBits)) / (1 << float64SignificandBits),
		current:  Discovery,
		backoff:  InitialBackoff,
	}
	if s.replicas > 0 {
		s.current = int(seed % uint64(s.replicas))
	}
	return s
}

// start starts the failover timeout on the first call.
func (s *SourceSelector) start(now time.Duration) {
	if !s.started {
		s.started = true
		s.failingSince = now
	}
}

// LeaseGranted records a lease and the number of the committed list that it carries. The number 0 means that the control plane
// has no list, because it does not watch discovery; then LeaseGranted fails over to discovery immediately.
func (s *SourceSelector) LeaseGranted(now time.Duration, listNumber uint64) {
	s.start(now)
	s.listAvailable = listNumber > 0
	if !s.listAvailable && s.current != Discovery {
		s.failOver(now)
	}
	s.Tick(now)
}

// LeaseExpired records that the lease expired without a renewal. A replica that still serves the list stays selected.
func (s *SourceSelector) LeaseExpired(now time.Duration) {
	s.start(now)
	s.listAvailable = false
}

// UpdateReceived records that the current source sent an Update.
func (s *SourceSelector) UpdateReceived(now time.Duration) {
	s.start(now)
	if s.current == Discovery {
		return
	}
	if s.servedSince == 0 {
		s.servedSince = now
	}
	s.clearFailures()
}

// CallFailed records that a call to the current source failed or its watch ended. While discovery is selected it changes
// nothing, because the caller retries there.
func (s *SourceSelector) CallFailed(now time.Duration) {
	s.start(now)
	if s.current == Discovery {
		return
	}
	s.listAvailable = false
	if s.failingSince == 0 {
		s.failingSince = now
	}
	s.roundFailures++
	if s.roundFailures < s.replicas {
		s.advance()
	} else if s.roundPauseEnds == 0 {
		s.roundPauseEnds = now + s.roundPause()
		s.failedRounds++
	}
	s.Tick(now)
}

// jitterOf returns this proxy's jitter for a duration, in [0, span).
func (s *SourceSelector) jitterOf(span time.Duration) time.Duration {
	return time.Duration(s.jitter * float64(span))
}

// roundPause returns the pause after a failed round. It doubles with each failed round; jitter adds up to half of it.
func (s *SourceSelector) roundPause() time.Duration {
	pause := min(initialRoundPause<<min(s.failedRounds, maxPauseDoublings), maxRoundPause)
	return pause + s.jitterOf(pause/2)
}

// failoverTimeout returns FailoverTimeout less a jitter of up to a quarter, so that the proxies of a fleet do not call discovery
// at the same instant.
func (s *SourceSelector) failoverTimeout() time.Duration {
	return FailoverTimeout - s.jitterOf(FailoverTimeout/4)
}

// advance selects the next replica.
func (s *SourceSelector) advance() { s.current = (s.current + 1) % s.replicas }

// clearFailures resets the failure state after a success or a failover.
func (s *SourceSelector) clearFailures() {
	s.failingSince = 0
	s.roundFailures = 0
	s.failedRounds = 0
	s.roundPauseEnds = 0
}

// SetReplicaCount changes the number of replicas. With 0 it selects discovery.
func (s *SourceSelector) SetReplicaCount(n int) {
	s.replicas = max(n, 0)
	switch {
	case s.replicas == 0:
		s.current = Discovery
		s.lastReplica = 0
	case s.current == Discovery:
		s.lastReplica %= s.replicas
	default:
		s.current %= s.replicas
	}
}

// Current returns the selected source: the index of a replica, or Discovery.
func (s *SourceSelector) Current() int { return s.current }

// Paused reports whether the caller must send no request until NextTick, because all replicas failed in the last round.
func (s *SourceSelector) Paused() bool { return s.roundPauseEnds != 0 }

// NextTick returns the time at or after which the caller must call Tick, because the selection may change by then without any
// other event. 0 means that no call is needed.
func (s *SourceSelector) NextTick() time.Duration {
	switch {
	case s.current == Discovery && s.listAvailable && s.replicas > 0:
		return s.returnAt
	case s.current == Discovery || s.failingSince == 0:
		return 0
	case s.roundPauseEnds != 0:
		return min(s.roundPauseEnds, s.failingSince+s.failoverTimeout())
	}
	return s.failingSince + s.failoverTimeout()
}

// Tick applies the timeouts that have elapsed: the failover, the return to the replicas, and the end of a pause.
func (s *SourceSelector) Tick(now time.Duration) {
	s.start(now)
	switch {
	case s.current == Discovery:
		if s.listAvailable && s.replicas > 0 && now >= s.returnAt {
			s.current = s.lastReplica
			s.failingSince = now
			s.servedSince = 0
		}
	case s.failingSince != 0 && now >= s.failingSince+s.failoverTimeout():
		s.failOver(now)
	case s.roundPauseEnds != 0 && now >= s.roundPauseEnds:
		s.roundPauseEnds = 0
		s.roundFailures = 0
		s.advance()
	}
}

// failOver selects discovery and sets the time of the next return. It resets the backoff if the replicas served for MaxBackoff.
func (s *SourceSelector) failOver(now time.Duration) {
	if s.servedSince != 0 && now-s.servedSince >= MaxBackoff {
		s.backoff = InitialBackoff
	}
	s.returnAt = now + s.backoff + s.jitterOf(s.backoff)
	s.backoff = min(2*s.backoff, maxBaseBackoff)
	s.lastReplica = s.current
	s.current = Discovery
	s.clearFailures()
	s.servedSince = 0
	s.listAvailable = false
}
