package evloop

import (
	"container/heap"
	"time"

	"golang.org/x/sys/unix"
)

// notInHeap is the index of a timer that has run or was canceled.
const notInHeap = -1

// Timer is a pending call of a callback. Loop.After returns one.
type Timer struct {
	deadline time.Duration // on the loop's clock
	seq      uint64        // timers with equal deadlines run in the order in which they were set
	index    int           // in the heap, or notInHeap
	callback func()
}

// timerHeap is a heap.Interface with the earliest deadline at the top.
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

// Push implements heap.Interface. Use heap.Push to add a timer.
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(h.timers)
	h.timers = append(h.timers, timer)
}

// Pop implements heap.Interface. Use heap.Pop to remove the earliest timer.
func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	timer := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	timer.index = notInHeap
	return timer
}

// After schedules callback to run in a later turn, once the delay has passed.
func (l *Loop) After(delay time.Duration, callback func()) *Timer {
	l.timers.lastSeq++
	timer := &Timer{deadline: l.now + max(delay, time.Microsecond), seq: l.timers.lastSeq, callback: callback}
	heap.Push(&l.timers, timer)
	l.armTimerFD()
	return timer
}

// Cancel stops a timer. It does nothing if the timer is nil or has already run.
func (l *Loop) Cancel(timer *Timer) {
	if timer != nil && timer.index != notInHeap {
		heap.Remove(&l.timers, timer.index)
	}
}

// armTimerFD sets the timer descriptor to fire at the earliest deadline, unless it already fires by then.
func (l *Loop) armTimerFD() {
	if len(l.timers.timers) == 0 {
		return
	}
	deadline := l.timers.timers[0].deadline
	if l.timerFDDeadline != 0 && l.timerFDDeadline <= deadline {
		return
	}
	l.timerFDDeadline = deadline
	wait := max(deadline-l.now, time.Microsecond)
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(wait))}
	_ = unix.TimerfdSettime(l.timerFD, 0, &spec, nil) // cannot fail: the descriptor and the time are valid
}

// maxTimersPerTurn bounds how many timers one turn runs, because many are due after a hold-up.
const maxTimersPerTurn = 64

// runTimers runs up to maxTimersPerTurn due timers. Timers that their callbacks set wait for a later turn.
func (l *Loop) runTimers() {
	var expirations [8]byte
	_, _ = unix.Read(l.timerFD, expirations[:])
	l.timerFDDeadline = 0
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
