package evloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// This file keeps order after the loop was held up: by a long turn of its own, or by its host.
//
// What came meanwhile is handled in the order of the poller, which says nothing of its meaning: the end of a client may come
// behind the work that is done for it, an answer behind the timer that gives it up. The loop is then held up until all that was
// ready has been handled once, and what depends on the order waits for that (AfterCatchUp).

const (
	// holdUpThreshold is how late a timer is, or how long a turn takes, from which on the loop was held up. It lies above the
	// delays of a busy host's scheduler and below what a request can lose unnoticed.
	holdUpThreshold = 20 * time.Millisecond
	// catchUpRounds is for how many turns of the timer nothing must wait in the accept queues. A timer that is set in one turn
	// comes behind all that was ready by its end.
	catchUpRounds = 2
	// maxCatchUpRounds and maxCatchUpTime bound what is waited for: neither a flood of connections nor a host that holds the loop up
	// again and again may keep requests waiting.
	maxCatchUpRounds = 256
	maxCatchUpTime   = 100 * time.Millisecond
	// deferredCallsPerTurn bounds how many calls that waited one turn makes.
	deferredCallsPerTurn = 8
	// minDataAge is the least age of received bytes that is believed: the kernel counts it in ticks of up to 10 ms.
	minDataAge = 12 * time.Millisecond
)

// holdUp is the state of a loop that was held up. The zero value was not.
type holdUp struct {
	since      time.Duration // from when on nothing was attended to; 0: the loop is not held up
	notedAt    time.Duration // when that was found
	rounds     int           // that are left without an accept queue
	maxRounds  int           // that are left at most
	deferred   []func()      // calls that wait, in order
	scheduling bool          // a timer for the next round is set
}

// HeldUp reports whether the loop was held up and has not handled all that came meanwhile.
func (l *Loop) HeldUp() bool { return l.holdUp.since != 0 || len(l.holdUp.deferred) > 0 }

// AfterCatchUp calls f now, or where the loop was held up as soon as all that came meanwhile has been handled.
func (l *Loop) AfterCatchUp(f func()) {
	if !l.HeldUp() {
		f()
		return
	}
	l.holdUp.deferred = append(l.holdUp.deferred, f)
	l.scheduleCatchUp()
}

// noteHoldUp notes that nothing was attended to since a time.
func (l *Loop) noteHoldUp(since time.Duration) {
	if l.holdUp.since == 0 {
		l.holdUp.since = since
		l.holdUp.notedAt = l.clock() // l.now may be the beginning of a long turn
		l.holdUp.maxRounds = maxCatchUpRounds
	}
	l.holdUp.rounds = catchUpRounds
	l.scheduleCatchUp()
}

// detectLateTimer notes a hold-up where the first timer should have run long ago. A loop that was held up for longer than the
// time to its next timer always has one.
func (l *Loop) detectLateTimer() {
	if len(l.timers.timers) == 0 || l.holdUp.since != 0 {
		return
	}
	if due := l.timers.timers[0].deadline; l.now-due > holdUpThreshold {
		l.noteHoldUp(due)
	}
}

func (l *Loop) scheduleCatchUp() {
	if !l.holdUp.scheduling {
		l.holdUp.scheduling = true
		l.After(0, l.catchUp)
	}
}

// catchUp is one round: it ends the hold-up once enough of them have passed, and then makes the calls that waited.
func (l *Loop) catchUp() {
	h := &l.holdUp
	h.scheduling = false
	h.maxRounds--
	if l.acceptsScheduled > 0 {
		h.rounds = catchUpRounds
	} else {
		h.rounds--
	}
	if h.since != 0 && h.rounds > 0 && h.maxRounds > 0 && l.now-h.notedAt < maxCatchUpTime {
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

// ReceivedAt returns when the latest bytes of the peer reached this host: before the loop's present time where they had to wait
// for it. Where the kernel does not say it is the earliest time that can be.
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
