package faultinject

import (
	"net"
	"sync"
)

// conn is one proxied connection of a link.
type conn struct {
	link   *link
	number int // position in the order in which the link accepted its connections, from 1
	client *net.TCPConn
	up     *pipe
	down   *pipe
	dialed chan struct{} // closed when target is set
	done   chan struct{} // closed when the connection is reset

	mu      sync.Mutex
	target  *net.TCPConn // nil until connected; the up writer reads it without the lock after dialed is closed
	aborted bool
}

// newConn returns a connection for an accepted client. It starts relaying when run is called.
func newConn(l *link, number int, client *net.TCPConn) *conn {
	c := &conn{link: l, number: number, client: client, dialed: make(chan struct{}), done: make(chan struct{})}
	c.up = newPipe(c, Up)
	c.down = newPipe(c, Down)
	c.up.opposite = c.down
	c.down.opposite = c.up
	return c
}

// run relays bytes in both directions until both have ended or the connection is reset.
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
	_ = c.client.Close() // may already be closed
	if c.target != nil {
		_ = c.target.Close()
	}
}

// dial connects to the target, after waiting while a Blackhole applies to the up direction. If the target cannot be reached,
// it resets the client connection and returns false.
func (c *conn) dial() bool {
	for {
		faults, changed := c.link.activeFaults(c.number, Up)
		if _, blackholed := faults[Blackhole]; !blackholed {
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

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c *net.TCPConn) {
	_ = c.SetLinger(0) // may already be closed
	_ = c.Close()
}

// abort resets the connections to the client and to the target.
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

// isReset reports whether the connection has been reset.
func (c *conn) isReset() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// applyImmediateReset resets the connection if a Reset at offset 0 applies to it. It works while a write is blocked.
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
