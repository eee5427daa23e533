package evloop

import (
	"container/heap"
	"time"

	"golang.org/x/sys/unix"
)

// notPending is the index of a timer that is not in the heap.
const notPending = -1

// Timer is a call that is due at a time.
type Timer struct {
	deadline time.Duration
	seq      uint64 // timers of one deadline run in the order in which they were set
	index    int    // in the heap, or notPending
	callback func()
}

// timerHeap implements heap.Interface, the earliest deadline first.
type timerHeap struct {
	timers  []*Timer
	lastSeq uint64
}

func (h *timerHeap) Len() int { return len(h.timers) }

func (h *timerHeap) Less(i, j int) bool {
	a, b := h.timers[i], h.timers[j]
	return a.deadline < b.deadline || a.deadline == b.deadline && a.seq < b.seq
}

func (h *timerHeap) Swap(i, j int) {
	h.timers[i], h.timers[j] = h.timers[j], h.timers[i]
	h.timers[i].index, h.timers[j].index = i, j
}

// Push is heap.Interface's; use heap.Push.
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(h.timers)
	h.timers = append(h.timers, timer)
}

// Pop is heap.Interface's; use heap.Pop.
func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	timer := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	timer.index = notPending
	return timer
}

// After calls callback once the delay has passed, in a later turn.
func (l *Loop) After(delay time.Duration, callback func()) *Timer {
	l.timers.lastSeq++
	timer := &Timer{deadline: l.now + max(delay, time.Microsecond), seq: l.timers.lastSeq, callback: callback}
	heap.Push(&l.timers, timer)
	l.armTimerFD()
	return timer
}

// Cancel revokes a timer. It does nothing for nil and for timers that have run.
func (l *Loop) Cancel(timer *Timer) {
	if timer != nil && timer.index != notPending {
		heap.Remove(&l.timers, timer.index)
	}
}

// armTimerFD sets the descriptor for the first timer, unless it already fires early enough.
func (l *Loop) armTimerFD() {
	if len(l.timers.timers) == 0 {
		return
	}
	deadline := l.timers.timers[0].deadline
	if l.timerFDAt != 0 && l.timerFDAt <= deadline {
		return
	}
	l.timerFDAt = deadline
	wait := max(deadline-l.now, time.Microsecond)
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(wait))}
	_ = unix.TimerfdSettime(l.timerFD, 0, &spec, nil) // cannot fail: descriptor and time are valid
}

// maxTimersPerTurn bounds how many timers one turn runs: after a hold-up many are due.
const maxTimersPerTurn = 64

// runTimers runs those that are due, up to a bound. Timers set meanwhile wait for a later turn.
func (l *Loop) runTimers() {
	var expirations [8]byte
	_, _ = unix.Read(l.timerFD, expirations[:])
	l.timerFDAt = 0
	lastSeq := l.timers.lastSeq
	for range maxTimersPerTurn {
		if len(l.timers.timers) == 0 {
			break
		}
		first := l.timers.timers[0]
		if first.deadline > l.now || first.seq > lastSeq {
			break
		}
		heap.Pop(&l.timers)
		first.callback()
	}
	l.armTimerFD()
}
