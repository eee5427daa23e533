// Package fleetsim is a whole fleet in one process and in virtual time: keepers, proxies, the operator's desk, the links
// between them, clocks that run fast or slow. It runs the very Book, Warden, Follower and consensus that the programs run,
// with nothing between them but an engine of events, so that a minute of a fleet takes milliseconds and a seed repeats it
// to the byte. Invariants are checked at every step; the explorer looks for schedules of faults that break one.
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

// Engine runs events in the order of true time, and of their making where times are equal.
type Engine struct {
	Rand  *rand.Rand
	Steps uint64 // events that have run

	now    time.Duration
	made   uint64
	queue  events
	notes  [lastNotes]note
	noted  uint64
	digest *xxhash.Digest
	out    io.Writer // nil: nobody reads along
	scrap  []byte
}

// lastNotes is how many of the last events a breach shows.
const lastNotes = 60

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// note is a line of the trace; it becomes text only where somebody reads it.
type note struct {
	at        time.Duration
	who, what string
	n         uint64
	text      string
}

func (n *note) String() string {
	return fmt.Sprintf("%12.6f %-4s %-9s %6d %s", n.at.Seconds(), n.who, n.what, n.n, n.text)
}

// NewEngine makes an engine whose every chance comes from a seed. The trace goes to out as it grows, where that is not nil.
func NewEngine(seed uint64, out io.Writer) *Engine {
	return &Engine{Rand: rand.New(rand.NewPCG(seed, 0x6d696361)), digest: xxhash.New(), out: out}
}

// Now is the true time, which no machine of the fleet knows.
func (e *Engine) Now() time.Duration { return e.now }

// At has something done at a true time, or now if that is over.
func (e *Engine) At(at time.Duration, do func()) {
	e.made++
	heap.Push(&e.queue, event{max(at, e.now), e.made, do})
}

// Run does all that is due until then and leaves the time there. It stops early where stop says so after an event.
func (e *Engine) Run(until time.Duration, stop func() bool) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		if stop() {
			return
		}
		ev := heap.Pop(&e.queue).(event)
		e.now = ev.at
		e.Steps++
		ev.do()
	}
	e.now = max(e.now, until)
}

// Note adds a line to the trace.
func (e *Engine) Note(who, what string, n uint64, text string) {
	l := note{e.now, who, what, n, text}
	e.notes[e.noted%lastNotes] = l
	e.noted++
	e.scrap = binary.LittleEndian.AppendUint64(e.scrap[:0], uint64(e.now))
	e.scrap = binary.LittleEndian.AppendUint64(append(append(append(e.scrap, who...), 0), what...), n)
	_, _ = e.digest.Write(append(append(e.scrap, text...), '\n'))
	if e.out != nil {
		fmt.Fprintln(e.out, l.String())
	}
}

// Digest is of the whole trace so far: two runs of one digest did the same things at the same times.
func (e *Engine) Digest() uint64 { return e.digest.Sum64() }

// Last are the last lines of the trace.
func (e *Engine) Last() (out []string) {
	for i := max(e.noted, lastNotes) - lastNotes; i < e.noted; i++ {
		out = append(out, e.notes[i%lastNotes].String())
	}
	return out
}

// Between draws a time.
func (e *Engine) Between(from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(e.Rand.Int64N(int64(to-from)+1))
}

// Chance is true with a probability.
func (e *Engine) Chance(p float64) bool { return p > 0 && e.Rand.Float64() < p }

// Clock is a machine's monotonic clock: it begins anywhere and runs fast or slow by parts per million.
type Clock struct {
	Offset time.Duration
	PPM    int64
}

// Read is what it shows at a true time.
func (c Clock) Read(true time.Duration) time.Duration {
	return c.Offset + true + time.Duration(int64(true)/1_000_000*c.PPM) + time.Duration(int64(true)%1_000_000*c.PPM/1_000_000)
}

// True is the earliest true time at which it shows at.
func (c Clock) True(at time.Duration) time.Duration {
	t := time.Duration(float64(at-c.Offset) * 1e6 / float64(1_000_000+c.PPM))
	for c.Read(t) < at {
		t++
	}
	return t
}

// Proc is a process on a machine. While it is paused nothing of it runs, its clock goes on and what comes for it waits.
type Proc struct {
	Name  string
	Clock Clock

	e      *Engine
	life   uint64 // grows with each start and each crash
	up     bool
	paused bool
	waits  []func()
}

// Now is what its clock shows.
func (p *Proc) Now() time.Duration { return p.Clock.Read(p.e.now) }

// Up reports whether it runs or is paused.
func (p *Proc) Up() bool { return p.up }

// Post has something done in this life of the process, at a true time.
func (p *Proc) Post(at time.Duration, do func()) {
	life := p.life
	p.e.At(at, func() {
		switch {
		case p.life != life || !p.up:
		case p.paused:
			p.waits = append(p.waits, do)
		default:
			do()
		}
	})
}

// Timer has something done when its own clock shows at.
func (p *Proc) Timer(at time.Duration, do func()) { p.Post(p.Clock.True(at), do) }

func (p *Proc) start() {
	p.life++
	p.up, p.paused, p.waits = true, false, nil
	p.e.Note(p.Name, "start", p.life, "")
}

func (p *Proc) crash() {
	p.life++
	p.up, p.paused, p.waits = false, false, nil
	p.e.Note(p.Name, "crash", p.life, "")
}

func (p *Proc) pause() {
	p.paused = p.up
	p.e.Note(p.Name, "pause", 0, "")
}

func (p *Proc) resume() {
	if !p.paused {
		return
	}
	p.paused = false
	p.e.Note(p.Name, "resume", uint64(len(p.waits)), "")
	waits := p.waits
	p.waits = nil
	for _, do := range waits {
		p.Post(p.e.now, do)
	}
}
