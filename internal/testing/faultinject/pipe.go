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
	chunkBytes = 8 << 10 // maximum size of one read
	// maxQueueBytes limits the bytes queued in one direction.
	maxQueueBytes = 64 << 10
	// maxDelayedBytes is the limit while a Delay applies. It is larger, so that the delay does not also limit the throughput.
	maxDelayedBytes = 4 << 20
	// MaxLoggedCorruptions limits the corrupted bytes that are logged for one direction of a connection.
	MaxLoggedCorruptions = 1000
)

// pipe is one direction of a connection. Its reader queues chunks and applies a Delay; its writer forwards them and applies
// the other faults.
type pipe struct {
	conn      *conn
	direction Direction
	seed      uint64
	opposite  *pipe
	queued    chan struct{} // wakes up the writer
	dequeued  chan struct{} // wakes up the reader

	forwardedBytes atomic.Int64 // only the writer adds to it

	mu           sync.Mutex
	queue        []chunk
	queuedBytes  int
	received     int64           // bytes
	lastDue      time.Time       // due time of the last chunk in the queue
	loggedFaults map[Kind]uint64 // id of the last logged fault of each kind

	// Used only by the writer.
	corruptions int       // corrupted bytes, logged or not
	discarded   bool      // a Blackhole discarded bytes or the end of the stream
	writeEnded  bool      // the destination accepts no more bytes
	nextSendAt  time.Time // earliest time of the next write under a Rate
}

// chunk holds the bytes of one read, or the error that ended the direction, which may be io.EOF.
type chunk struct {
	data []byte
	due  time.Time // earliest time at which it may be forwarded; zero: immediately
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

// randomAt returns a random number that depends only on the seed, the link, the connection, the direction and the offset.
func (p *pipe) randomAt(offset int64) uint64 { return rand.NewPCG(p.seed, uint64(offset)).Uint64() }

// signal wakes up the receiver of a channel of capacity 1 without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// logFault logs a fault when it applies to this direction for the first time.
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

// addLogEntry adds an entry for a fault at an offset of this direction to the log.
func (p *pipe) addLogEntry(offset int64, kind Kind) {
	p.conn.link.owner.addLogEntry(LogEntry{
		Link:       p.conn.link.name,
		Connection: p.conn.number,
		Direction:  p.direction,
		Offset:     offset,
		Kind:       kind,
	})
}

// read queues the bytes from source until the stream ends or the connection is reset.
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

// awaitSpace waits until the queue has space. It returns false if the connection is reset.
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

// enqueue appends a chunk to the queue and applies a Delay to it. A chunk is never due before its predecessor.
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
			c.due = c.due.Add(time.Duration(p.randomAt(p.received) % uint64(delay.Jitter)))
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

// receivedBytes returns the total number of bytes that have been queued.
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

// dequeue removes n bytes from the head of the queue, and the head itself if it is then empty.
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
