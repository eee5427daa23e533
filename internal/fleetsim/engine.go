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
	recentEntries = 60         // trace entries that a violation includes
	randomStream  = 0x6d696361 // second word of the PCG seed
)

// Engine is a discrete-event scheduler. It runs events in the order of their true time, and events with the same time in the
// order in which they were scheduled.
type Engine struct {
	Rand       *rand.Rand
	EventCount uint64 // number of events that have run

	now            time.Duration // true time
	scheduledCount uint64        // number of events scheduled so far
	queue          eventQueue

	recent     [recentEntries]traceEntry // ring buffer of the latest trace entries
	traceCount uint64                    // number of trace entries so far
	digest     *xxhash.Digest            // hash of the trace so far
	out        io.Writer                 // receives the trace; nil: the trace is not written
	buffer     []byte                    // reused by Trace for the encoded entry
}

// event is an action that runs at a true time.
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
	old[len(old)-1] = event{} // lets the garbage collector free the action
	*q = old[:len(old)-1]
	return last
}

// traceEntry is a line of the trace. It is formatted only when it is written or shown.
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

// appendBinary appends the entry in the encoding that the digest covers. A change of the encoding changes the digest of every
// run.
func (t *traceEntry) appendBinary(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, uint64(t.at))
	b = append(b, t.process...)
	b = append(b, 0)
	b = append(b, t.event...)
	b = binary.LittleEndian.AppendUint64(b, t.number)
	b = append(b, t.text...)
	return append(b, '\n')
}

// NewEngine returns an engine that derives all random numbers from seed. It writes the trace to out unless out is nil.
func NewEngine(seed uint64, out io.Writer) *Engine {
	return &Engine{Rand: rand.New(rand.NewPCG(seed, randomStream)), digest: xxhash.New(), out: out}
}

// Now returns the true time, which simulated machines cannot read.
func (e *Engine) Now() time.Duration { return e.now }

// Schedule runs an action at a true time, or at the current time if at is in the past.
func (e *Engine) Schedule(at time.Duration, action func()) {
	e.scheduledCount++
	heap.Push(&e.queue, event{max(at, e.now), e.scheduledCount, action})
}

// Run runs all events that are due by the true time until, and then advances the time to it. It calls stop before each event
// and returns early when stop returns true.
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

// Trace adds an entry to the trace: the process, the kind of event, the number that the event concerns, such as a version, and
// further details as text.
func (e *Engine) Trace(process, event string, number uint64, text string) {
	entry := traceEntry{at: e.now, process: process, event: event, number: number, text: text}
	e.recent[e.traceCount%recentEntries] = entry
	e.traceCount++
	e.buffer = entry.appendBinary(e.buffer[:0])
	_, _ = e.digest.Write(e.buffer) // Write never returns an error
	if e.out != nil {
		_, _ = fmt.Fprintln(e.out, entry.String()) // a failed write only truncates the trace, which its reader notices
	}
}

// Digest returns the hash of the whole trace. Two runs with the same digest ran the same events at the same times.
func (e *Engine) Digest() uint64 { return e.digest.Sum64() }

// RecentTrace returns the latest entries of the trace, at most recentEntries, formatted and oldest first.
func (e *Engine) RecentTrace() []string {
	var entries []string
	for i := max(e.traceCount, recentEntries) - recentEntries; i < e.traceCount; i++ {
		entries = append(entries, e.recent[i%recentEntries].String())
	}
	return entries
}

// RandomDuration returns a random duration between from and to, both included. If to is at most from, it returns from and draws
// no random number.
func (e *Engine) RandomDuration(from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(e.Rand.Int64N(int64(to-from)+1))
}

// Chance returns true with probability p, which lies between 0 and 1. If p is 0, it draws no random number.
func (e *Engine) Chance(p float64) bool { return p > 0 && e.Rand.Float64() < p }
