package endpointlist

import "time"

// Discovery stands for discovery itself where SourceSelector names a replica.
const Discovery = -1

// Times of a SourceSelector.
const (
	// FailoverTimeout is how long no replica may serve the list before discovery is asked.
	FailoverTimeout = 2 * time.Second
	// InitialBackoff is how long a proxy stays with discovery before it first tries the replicas again.
	InitialBackoff = 2 * time.Second
	// MaxBackoff is the longest backoff, jitter included.
	MaxBackoff = 30 * time.Second

	// The pause between two rounds of all replicas doubles from initialRoundPause to maxRoundPause, without the jitter.
	initialRoundPause = 50 * time.Millisecond
	maxRoundPause     = 300 * time.Millisecond
	// maxBaseBackoff is the longest backoff before jitter, which at most doubles it.
	maxBaseBackoff = MaxBackoff / 2
	// maxPauseDoublings is past the number of doublings that reaches maxRoundPause; it keeps the shift from overflowing.
	maxPauseDoublings = 8
)

// SourceSelector decides whether a proxy fetches its list from a control-plane replica, from which one, or from discovery.
//
// It starts with the replicas, before any lease. When a call fails, it goes on to the next replica. A replica that does not
// lead refuses at once, so rounds of all replicas are repeated, with a pause in between in which nothing is asked. When no
// replica has served for FailoverTimeout, counted from the first failure or from the first call of a method that gets the time,
// it fails over to discovery. It returns to the replicas where a lease has said that they have a list, after a backoff that
// doubles with each failed return and starts anew once a return has lasted for MaxBackoff.
//
// Times are on the proxy's own monotonic clock, and above 0.
type SourceSelector struct {
	replicas    int
	jitter      float64 // in [0, 1), differs between proxies
	current     int     // replica, or Discovery
	lastReplica int     // asked before failing over to discovery

	started        bool
	failingSince   time.Duration // first failure without a success since; 0: a replica serves
	servedSince    time.Duration // first success since the last return to the replicas; 0: none
	roundFailures  int           // replicas that have failed in this round
	failedRounds   int           // rounds in which all replicas have failed
	roundPauseEnds time.Duration // 0: no pause between rounds

	listAvailable bool          // a lease since the last failure has said that the replicas have a list
	backoff       time.Duration // the next one, before jitter
	returnAt      time.Duration // when the replicas may be tried again
}

// floatBits is how many bits of an integer a float64 represents exactly.
const floatBits = 53

// NewSourceSelector makes a selector for a number of replicas; with none it stays with discovery. The seed selects the first
// replica and the jitter, so that a fleet does not move at one instant; its bits should be as uniform as a hash's.
func NewSourceSelector(replicas int, seed uint64) *SourceSelector {
	s := &SourceSelector{
		replicas: max(replicas, 0),
		jitter:   float64(seed>>(64-floatBits)) / (1 << floatBits),
		current:  Discovery,
		backoff:  InitialBackoff,
	}
	if s.replicas > 0 {
		s.current = int(seed % uint64(s.replicas))
	}
	return s
}

// start begins the failover timeout with the first call.
func (s *SourceSelector) start(now time.Duration) {
	if !s.started {
		s.started = true
		s.failingSince = now
	}
}

// LeaseGranted notes a lease and the number of the agreed list that it names. 0 says that the control plane does not watch
// discovery: there is no list to wait for.
func (s *SourceSelector) LeaseGranted(now time.Duration, listNumber uint64) {
	s.start(now)
	s.listAvailable = listNumber > 0
	if !s.listAvailable && s.current != Discovery {
		s.failOver(now)
	}
	s.Tick(now)
}

// LeaseExpired notes that no lease was granted for as long as one lasts. A replica that still serves the list is kept.
func (s *SourceSelector) LeaseExpired(now time.Duration) {
	s.start(now)
	s.listAvailable = false
}

// UpdateReceived notes that the current source sent an Update.
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

// CallFailed notes that a call to the current source failed or a watch broke. At discovery it changes nothing: the caller
// retries there.
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

// jitterOf returns this proxy's own part of a span of time.
func (s *SourceSelector) jitterOf(span time.Duration) time.Duration {
	return time.Duration(s.jitter * float64(span))
}

// roundPause returns how long nothing is asked after a round: it doubles with each failed one, and the jitter makes it up to a
// half longer.
func (s *SourceSelector) roundPause() time.Duration {
	pause := min(initialRoundPause<<min(s.failedRounds, maxPauseDoublings), maxRoundPause)
	return pause + s.jitterOf(pause/2)
}

// failoverTimeout returns this proxy's own FailoverTimeout, which the jitter shortens by up to a quarter, so that a fleet does
// not call discovery at one instant.
func (s *SourceSelector) failoverTimeout() time.Duration {
	return FailoverTimeout - s.jitterOf(FailoverTimeout/4)
}

// advance selects the next replica.
func (s *SourceSelector) advance() { s.current = (s.current + 1) % s.replicas }

// clearFailures forgets the failures since the last success.
func (s *SourceSelector) clearFailures() {
	s.failingSince = 0
	s.roundFailures = 0
	s.failedRounds = 0
	s.roundPauseEnds = 0
}

// SetReplicaCount changes the number of replicas. With none discovery is selected.
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

// Current returns the source to ask: the index of a replica, or Discovery.
func (s *SourceSelector) Current() int { return s.current }

// Paused reports whether nothing is to be asked until NextTick: all replicas have failed in a round.
func (s *SourceSelector) Paused() bool { return s.roundPauseEnds != 0 }

// NextTick returns when the decision may change by time alone; 0: it does not. The caller calls Tick then, or later.
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

// Tick makes the decisions that are due by time.
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

// failOver selects discovery and sets the backoff, which starts anew where the replicas have served for long enough.
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
