package faultinject

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	chunkBytes = 8 << 10 // that are read at once, at most
	// maxQueueBytes bounds the bytes that are queued in a direction.
	maxQueueBytes = 64 << 10
	// maxDelayedBytes is the bound under a Delay, so that the delay does not limit the rate as well.
	maxDelayedBytes = 4 << 20
	// MaxLoggedCorruptions is how many garbled bytes of one direction of a connection are logged.
	MaxLoggedCorruptions = 1000
)

// pipe is one direction of a connection. Its reader queues chunks with the time when each is due; its writer forwards
// them and applies the other faults.
type pipe struct {
	conn      *conn
	direction Direction
	seed      uint64
	opposite  *pipe
	queued    chan struct{} // signals the writer
	dequeued  chan struct{} // signals the reader

	forwardedBytes atomic.Int64 // added to by the writer alone

	mu           sync.Mutex
	queue        []chunk
	queuedBytes  int
	received     int64           // bytes
	lastDue      time.Time       // of the last chunk
	loggedFaults map[Kind]uint64 // by kind, the id of the fault that was logged last

	// Of the writer alone.
	loggedGarbles int       // bytes that were garbled and logged, or would have been
	swallowed     bool      // bytes or the end were discarded by a Blackhole
	writeEnded    bool      // nothing can be forwarded any more
	nextSendAt    time.Time // when the rate allows the next byte
}

// chunk is bytes that were read at once, or the error that ended the direction, io.EOF among them.
type chunk struct {
	data []byte
	due  time.Time // when it may be forwarded; zero: at once
	err  error
}

func newPipe(c *conn, d Direction) *pipe {
	var identity []byte
	identity = binary.LittleEndian.AppendUint64(identity, c.link.owner.seed)
	identity = binary.LittleEndian.AppendUint64(identity, uint64(c.number))
	identity = append(append(identity, d...), c.link.name...)
	return &pipe{
		conn:         c,
		direction:    d,
		seed:         xxhash.Sum64(identity),
		queued:       make(chan struct{}, 1),
		dequeued:     make(chan struct{}, 1),
		loggedFaults: map[Kind]uint64{},
	}
}

// random returns a number that depends on the seed, the link, the connection, the direction and an offset alone.
func (p *pipe) random(offset int64) uint64 { return rand.NewPCG(p.seed, uint64(offset)).Uint64() }

// signal wakes up the receiver of a channel of capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// logFault logs a fault the first time that it applies to this direction.
func (p *pipe) logFault(f activeFault) {
	p.mu.Lock()
	first := p.loggedFaults[f.Kind] != f.id
	p.loggedFaults[f.Kind] = f.id
	offset := p.forwardedBytes.Load()
	if f.Kind == Delay {
		offset = p.received
	}
	p.mu.Unlock()
	if first {
		p.addLogEntry(offset, f.Kind)
	}
}

// addLogEntry logs a fault at an offset of this direction.
func (p *pipe) addLogEntry(offset int64, kind Kind) {
	p.conn.link.owner.addLogEntry(LogEntry{
		Link:       p.conn.link.name,
		Connection: p.conn.number,
		Direction:  p.direction,
		Offset:     offset,
		Kind:       kind,
	})
}

// read queues what comes from source until it ends or the connection is reset.
func (p *pipe) read(source *net.TCPConn) {
	buf := make([]byte, chunkBytes)
	receive := source.Read
	p.conn.link.mu.Lock()
	observe := p.conn.link.observe
	p.conn.link.mu.Unlock()
	if observe != nil {
		receive = p.tapReader(source, observe)
	}
	for {
		n, err := receive(buf)
		if n > 0 {
			p.enqueue(chunk{data: bytes.Clone(buf[:n])})
		}
		if err != nil {
			p.enqueue(chunk{err: err})
			return
		}
		if !p.awaitSpace() {
			return
		}
	}
}

// awaitSpace waits until the queue has space; false if the connection is reset.
func (p *pipe) awaitSpace() bool {
	for {
		faults, changed := p.conn.link.activeFaults(p.conn.number, p.direction)
		limit := maxQueueBytes
		if _, delayed := faults[Delay]; delayed {
			limit = maxDelayedBytes
		}
		p.mu.Lock()
		full := p.queuedBytes >= limit
		p.mu.Unlock()
		if !full {
			return true
		}
		select {
		case <-p.dequeued:
		case <-changed:
		case <-p.conn.done:
			return false
		}
	}
}

// enqueue adds a chunk and applies a Delay to it. A chunk is never due before the one in front of it.
func (p *pipe) enqueue(c chunk) {
	faults, _ := p.conn.link.activeFaults(p.conn.number, p.direction)
	delay, delayed := faults[Delay]
	if delayed {
		p.logFault(delay)
	}
	p.mu.Lock()
	if delayed {
		c.due = time.Now().Add(delay.Duration)
		if delay.Jitter > 0 {
			c.due = c.due.Add(time.Duration(p.random(p.received) % uint64(delay.Jitter)))
		}
	}
	if c.due.Before(p.lastDue) {
		c.due = p.lastDue
	}
	p.lastDue = c.due
	p.received += int64(len(c.data))
	p.queuedBytes += len(c.data)
	p.queue = append(p.queue, c)
	p.mu.Unlock()
	signal(p.queued)
}

// receivedBytes returns how many bytes have been queued in all.
func (p *pipe) receivedBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received
}

// head returns the first chunk of the queue.
func (p *pipe) head() (chunk, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return chunk{}, false
	}
	return p.queue[0], true
}

// dequeue removes n bytes of the head, and the head itself if nothing is left of it.
func (p *pipe) dequeue(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	head := &p.queue[0]
	head.data = head.data[n:]
	p.queuedBytes -= n
	if len(head.data) == 0 {
		p.queue[0] = chunk{}
		p.queue = p.queue[1:]
	}
	signal(p.dequeued)
}
