package evloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// A hold-up is a time in which the loop processed nothing, because a turn took too long or the host did not run the process.
//
// Events that arrive during a hold-up are handled in the poller's order, not in the order in which they arrived: a client's
// disconnect may be handled after work that is done for that client, and a response after the timer that gives up on it. The
// loop therefore counts as held up until every event that was ready has been handled once. Calls that depend on the order of
// events wait until then (AfterCatchUp).

const (
	// holdUpThreshold is the lateness of a timer, or the length of a turn, above which the loop was held up. It is longer than
	// scheduling delays on a busy host and shorter than a delay that matters to a request.
	holdUpThreshold = 20 * time.Millisecond
	// catchUpRounds is the number of consecutive rounds in which no accept queue may hold connections before the hold-up ends.
	// Each round is a timer that is set in one turn and runs after all events that were ready by the end of that turn.
	catchUpRounds = 2
	// maxCatchUpRounds and maxCatchUpTime bound the catch-up, so that neither a flood of connections nor a host that
	// repeatedly holds up the loop can delay requests indefinitely.
	maxCatchUpRounds = 256
	maxCatchUpTime   = 100 * time.Millisecond
	// deferredCallsPerTurn bounds how many deferred calls one turn runs.
	deferredCallsPerTurn = 8
	// minDataAge is the smallest age of received data that is trusted. The kernel measures the age in ticks of up to 10 ms.
	minDataAge = 12 * time.Millisecond
)

// holdUp is the state of the latest hold-up. Its zero value means that the loop is not held up.
type holdUp struct {
	since           time.Duration // when the hold-up began; 0 if the loop is not held up
	detectedAt      time.Duration // when the hold-up was detected
	emptyRoundsLeft int           // rounds with empty accept queues that are still needed
	roundsLeft      int           // rounds until the catch-up ends regardless
	deferred        []func()      // calls that wait for the end of the catch-up, in order
	roundScheduled  bool          // the timer for the next round is set
}

// HeldUp reports whether the loop was held up and has not yet handled every event that arrived during the hold-up.
func (l *Loop) HeldUp() bool { return l.holdUp.since != 0 || len(l.holdUp.deferred) > 0 }

// AfterCatchUp calls f at once, or, if the loop is held up, after it has handled every event that arrived during the hold-up.
// maxCatchUpRounds and maxCatchUpTime limit the wait.
func (l *Loop) AfterCatchUp(f func()) {
	if !l.HeldUp() {
		f()
		return
	}
	l.holdUp.deferred = append(l.holdUp.deferred, f)
	l.scheduleCatchUp()
}

// recordHoldUp starts or restarts the catch-up after a hold-up that began at since.
func (l *Loop) recordHoldUp(since time.Duration) {
	if l.holdUp.since == 0 {
		l.holdUp.since = since
		l.holdUp.detectedAt = l.clock() // l.now may be the start of a long turn
		l.holdUp.roundsLeft = maxCatchUpRounds
	}
	l.holdUp.emptyRoundsLeft = catchUpRounds
	l.scheduleCatchUp()
}

// detectLateTimer records a hold-up if the earliest timer is overdue by more than holdUpThreshold. Every hold-up that lasts that
// much longer than the time to the next timer is detected this way.
func (l *Loop) detectLateTimer() {
	if len(l.timers.timers) == 0 || l.holdUp.since != 0 {
		return
	}
	if due := l.timers.timers[0].deadline; l.now-due > holdUpThreshold {
		l.recordHoldUp(due)
	}
}

// scheduleCatchUp sets the timer for the next round, unless it is set.
func (l *Loop) scheduleCatchUp() {
	if !l.holdUp.roundScheduled {
		l.holdUp.roundScheduled = true
		l.After(0, l.catchUp)
	}
}

// catchUp runs one round. After the last round it ends the hold-up and starts to run the deferred calls.
func (l *Loop) catchUp() {
	h := &l.holdUp
	h.roundScheduled = false
	h.roundsLeft--
	if l.acceptsScheduled > 0 {
		h.emptyRoundsLeft = catchUpRounds
	} else {
		h.emptyRoundsLeft--
	}
	if h.since != 0 && h.emptyRoundsLeft > 0 && h.roundsLeft > 0 && l.now-h.detectedAt < maxCatchUpTime {
		l.scheduleCatchUp()
		return
	}
	if h.since != 0 && l.observer != nil {
		l.observer.CaughtUp(l.now - h.since)
	}
	h.since = 0
	calls := h.deferred[:min(len(h.deferred), deferredCallsPerTurn)]
	h.deferred = h.deferred[len(calls):]
	if len(h.deferred) > 0 {
		l.scheduleCatchUp()
	} else {
		h.deferred = nil
	}
	for _, call := range calls {
		call()
	}
}

// ReceivedAt returns the time at which the latest bytes from the peer reached this host. It is earlier than Now if the bytes
// waited to be read. If the kernel does not report it, ReceivedAt returns the earliest possible time: the start of the
// hold-up, or Now without one.
func (c *Conn) ReceivedAt() time.Duration {
	now := c.loop.now
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State == 0 {
		if c.loop.holdUp.since != 0 {
			return c.loop.holdUp.since
		}
		return now
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	if age < minDataAge {
		return now
	}
	return now - age
}
