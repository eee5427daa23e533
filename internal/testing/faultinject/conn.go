package faultinject

import (
	"net"
	"sync"
)

// conn is one connection through a link.
type conn struct {
	link   *link
	number int // of the link, from 1
	client *net.TCPConn
	up     *pipe
	down   *pipe
	dialed chan struct{} // closed once target is set
	done   chan struct{} // closed once the connection is reset

	mu      sync.Mutex
	target  *net.TCPConn // nil until it is connected; the writer reads it after dialed without the lock
	aborted bool
}

// newConn returns a connection that has been accepted from a client. It relays nothing before run.
func newConn(l *link, number int, client *net.TCPConn) *conn {
	c := &conn{link: l, number: number, client: client, dialed: make(chan struct{}), done: make(chan struct{})}
	c.up = newPipe(c, Up)
	c.down = newPipe(c, Down)
	c.up.opposite = c.down
	c.down.opposite = c.up
	return c
}

// run relays until both directions have ended or the connection is reset.
func (c *conn) run() {
	defer c.link.removeConn(c)
	var wg sync.WaitGroup
	wg.Go(func() { c.up.read(c.client) })
	wg.Go(c.up.write)
	wg.Go(c.down.write)
	if c.dial() {
		c.down.read(c.target)
	}
	wg.Wait()
	_ = c.client.Close() // it may be closed already
	if c.target != nil {
		_ = c.target.Close()
	}
}

// dial connects to the target, once no Blackhole keeps the client's bytes from it. If the target does not answer, the client
// is reset.
func (c *conn) dial() bool {
	for {
		faults, changed := c.link.activeFaults(c.number, Up)
		if _, muted := faults[Blackhole]; !muted {
			break
		}
		select {
		case <-changed:
		case <-c.done:
			return false
		}
	}
	c.link.mu.Lock()
	addr := c.link.target
	c.link.mu.Unlock()
	target, err := (&net.Dialer{}).DialContext(c.link.owner.ctx, "tcp", addr)
	if err != nil {
		c.abort()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = target.(*net.TCPConn)
	if c.aborted {
		closeWithReset(c.target)
		return false
	}
	close(c.dialed)
	return true
}

// closeWithReset closes a connection so that its peer sees a reset.
func closeWithReset(c *net.TCPConn) {
	_ = c.SetLinger(0) // it may be closed already
	_ = c.Close()
}

// abort resets both sides.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return
	}
	c.aborted = true
	close(c.done)
	closeWithReset(c.client)
	if c.target != nil {
		closeWithReset(c.target)
	}
}

// isReset reports whether the connection is reset.
func (c *conn) isReset() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// applyImmediateReset resets the connection if a fault says so, even while a write blocks.
func (c *conn) applyImmediateReset() {
	for _, p := range []*pipe{c.up, c.down} {
		faults, _ := c.link.activeFaults(c.number, p.direction)
		if reset, ok := faults[Reset]; ok && reset.Offset == 0 {
			p.logFault(reset)
			c.abort()
			return
		}
	}
}
