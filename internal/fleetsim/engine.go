package fleetsim

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	recentEntries = 60         // trace entries that a violation shows
	randomStream  = 0x6d696361 // second half of the random generator's seed
)

// Engine runs events in the order of true time, and events of the same time in the order in which they were scheduled.
type Engine struct {
	Rand       *rand.Rand
	EventCount uint64 // events that have run

	now       time.Duration // true time
	scheduled uint64        // events so far
	queue     eventQueue

	recent [recentEntries]traceEntry // a ring buffer
	traced uint64                    // entries so far
	digest *xxhash.Digest            // of the trace
	out    io.Writer                 // nil: the trace is not written
	buffer []byte                    // of Trace, reused
}

// event is an action at a true time.
type event struct {
	at     time.Duration
	seq    uint64 // orders events of the same time
	action func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{} // releases the action
	*q = old[:len(old)-1]
	return last
}

// traceEntry is a line of the trace. It is formatted only where it is read.
type traceEntry struct {
	at      time.Duration
	process string
	event   string
	number  uint64
	text    string
}

func (t *traceEntry) String() string {
	return fmt.Sprintf("%12.6f %-8s %-9s %6d %s", t.at.Seconds(), t.process, t.event, t.number, t.text)
}

// appendBinary appends the entry as the digest takes it. Another form gives every run another digest.
func (t *traceEntry) appendBinary(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, uint64(t.at))
	b = append(b, t.process...)
	b = append(b, 0)
	b = append(b, t.event...)
	b = binary.LittleEndian.AppendUint64(b, t.number)
	b = append(b, t.text...)
	return append(b, '\n')
}

// NewEngine returns an engine whose random numbers all come from a seed. The trace is written to out, unless it is nil.
func NewEngine(seed uint64, out io.Writer) *Engine {
	return &Engine{Rand: rand.New(rand.NewPCG(seed, randomStream)), digest: xxhash.New(), out: out}
}

// Now is the true time, which no simulated machine knows.
func (e *Engine) Now() time.Duration { return e.now }

// Schedule runs an action at a true time, or now where that is past.
func (e *Engine) Schedule(at time.Duration, action func()) {
	e.scheduled++
	heap.Push(&e.queue, event{max(at, e.now), e.scheduled, action})
}

// Run runs all events that are due until a true time, and advances the time to it. It returns early where stop reports true
// before an event.
func (e *Engine) Run(until time.Duration, stop func() bool) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		if stop() {
			return
		}
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		e.EventCount++
		next.action()
	}
	e.now = max(e.now, until)
}

// Trace adds an entry to the trace: an event of a process, a number that says what it is about, such as a version, and a text.
func (e *Engine) Trace(process, event string, number uint64, text string) {
	entry := traceEntry{at: e.now, process: process, event: event, number: number, text: text}
	e.recent[e.traced%recentEntries] = entry
	e.traced++
	e.buffer = entry.appendBinary(e.buffer[:0])
	_, _ = e.digest.Write(e.buffer) // never fails
	if e.out != nil {
		_, _ = fmt.Fprintln(e.out, entry.String()) // the trace is for a reader, who sees the failure
	}
}

// Digest is the hash of the whole trace: two runs with the same digest did the same things at the same times.
func (e *Engine) Digest() uint64 { return e.digest.Sum64() }

// RecentTrace returns the last entries of the trace.
func (e *Engine) RecentTrace() []string {
	var entries []string
	for i := max(e.traced, recentEntries) - recentEntries; i < e.traced; i++ {
		entries = append(entries, e.recent[i%recentEntries].String())
	}
	return entries
}

// RandomDuration draws a duration between from and to, both included. It draws nothing where to is not above from.
func (e *Engine) RandomDuration(from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(e.Rand.Int64N(int64(to-from)+1))
}

// Chance returns true with probability p, from 0 to 1. It draws nothing where p is 0.
func (e *Engine) Chance(p float64) bool { return p > 0 && e.Rand.Float64() < p }
