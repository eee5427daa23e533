package evloop

import (
	"container/heap"
	"time"

	"golang.org/x/sys/unix"
)

// Timer is a pending call.
type Timer struct {
	at    time.Duration
	seq   uint64
	index int // in the heap; -1: not pending
	f     func()
}

type timerHeap struct {
	list []*Timer
	seq  uint64
}

func (h *timerHeap) Len() int { return len(h.list) }
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (h *timerHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(h.list)
	h.list = append(h.list, t)
}
func (h *timerHeap) Pop() any {
	last := len(h.list) - 1
	t := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	t.index = -1
	return t
}

// After calls f once d has passed, in a later turn.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	l.timers.seq++
	t := &Timer{at: l.now + max(d, time.Microsecond), seq: l.timers.seq, f: f}
	heap.Push(&l.timers, t)
	l.arm()
	return t
}

// Cancel takes back a timer; nil and timers that have run are passed over.
func (l *Loop) Cancel(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// arm sets the descriptor for the first timer, unless it already fires early enough.
func (l *Loop) arm() {
	if len(l.timers.list) == 0 {
		return
	}
	at := l.timers.list[0].at
	if l.armed != 0 && l.armed <= at {
		return
	}
	l.armed = at
	wait := max(at-l.now, time.Microsecond)
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(wait))}
	_ = unix.TimerfdSettime(l.timerFD, 0, &spec, nil)
}

func (l *Loop) runTimers() {
	var count [8]byte
	_, _ = unix.Read(l.timerFD, count[:])
	l.armed = 0
	last := l.timers.seq // timers set while these run wait for a later turn
	for len(l.timers.list) > 0 && l.timers.list[0].at <= l.now && l.timers.list[0].seq <= last {
		heap.Pop(&l.timers).(*Timer).f()
	}
	l.arm()
}
