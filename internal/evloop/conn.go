package evloop

import (
	"io"
	"os"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// Handler is told what happens on a connection, on the loop's goroutine.
type Handler interface {
	// Opened is called when a dialed connection is up.
	Opened()
	// Data passes bytes that came; they are valid during the call only.
	Data(data []byte)
	// EOF is called when the peer has ended its sending.
	EOF()
	// Drained is called when the kernel has taken all output, after some had to wait.
	Drained()
	// Closed is called when the connection broke or could not be made. It is not called after Close, Drop,
	// Abort or Detach.
	Closed(err error)
}

// HangupObserver is a Handler that also wants to know that the peer has hung up behind bytes that are not read while the
// connection is paused. EOF follows once they have been read.
type HangupObserver interface {
	HangupPending()
}

// Events of the poller by what they mean. A broken connection counts as readable and writable: either use finds the error.
const (
	errorEvents    = unix.EPOLLERR | unix.EPOLLHUP
	hangupEvents   = unix.EPOLLRDHUP | errorEvents
	readableEvents = unix.EPOLLIN | unix.EPOLLPRI | hangupEvents
	writableEvents = unix.EPOLLOUT | errorEvents
)

// Conn is a stream connection. It is registered with the poller edge-triggered, in both directions, for its whole life.
type Conn struct {
	loop    *Loop
	fd      int
	handler Handler
	dialing bool
	closed  bool

	readable       bool // an edge came and the kernel's buffer has not been read to its end
	paused         bool
	readScheduled  bool // a later turn reads on
	delivering     bool // its bytes are being passed to the handler
	hangup         bool // the poller told of an end or an error that has not been read yet
	hangupReported bool // HangupPending was called
	peerEnded      bool

	unsent           []byte // output that the kernel would not take yet
	writable         bool
	flushScheduled   bool
	bytesSent        int   // that the kernel took
	writeErr         error // of a failed write: unsent output is lost, and Closed follows
	closeWriteWanted bool  // sending ends once unsent is empty
	writeClosed      bool

	acceptsDescriptors bool
	descriptors        []int // received, not given out yet
}

// register adds the connection to the loop and the poller.
func (c *Conn) register() error {
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // a Unix socket has no such option
	c.loop.conns[c.fd] = c
	err := c.loop.poller.AddReadWrite(&netpoll.PollAttachment{FD: c.fd}, true)
	if err != nil {
		delete(c.loop.conns, c.fd)
	}
	return err
}

// SetHandler passes the connection to another handler.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// FD is the descriptor. It is not to be read, written or closed.
func (c *Conn) FD() int { return c.fd }

// HungUp reports whether the poller told of an end or an error that has yet to be read. Within Opened it means that the peer
// ended the connection before anything was written, unless the event was of an earlier connection on the same descriptor.
func (c *Conn) HungUp() bool { return c.hangup }

// AtEOF reports whether the peer has ended its sending.
func (c *Conn) AtEOF() bool { return c.peerEnded }

// handleEvent is one turn of the connection.
func (c *Conn) handleEvent(event netpoll.IOEvent) {
	if c.dialing && !c.finishDial(event) {
		return
	}
	if c.closed {
		return
	}
	if event&writableEvents != 0 {
		c.writable = true
		if c.flushTurn(); c.closed {
			return
		}
	}
	if event&readableEvents != 0 {
		c.readable = true
		c.hangup = c.hangup || event&hangupEvents != 0
		c.readTurn()
	}
}

// finishDial reports whether the connection is up after an event, and tells the handler that it is or that it failed.
func (c *Conn) finishDial(event netpoll.IOEvent) bool {
	errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		err = unix.Errno(errno)
	}
	switch {
	case err != nil:
		c.closeWithError(os.NewSyscallError("connect", err))
		return false
	case event&writableEvents == 0: // it is still dialing
		return false
	case event&unix.EPOLLOUT == 0: // it broke, and the kernel does not say why
		c.closeWithError(io.ErrUnexpectedEOF)
		return false
	}
	// The event may be of a connection with the same descriptor that was closed earlier in this batch.
	if _, err := unix.Getpeername(c.fd); err != nil {
		return false
	}
	c.dialing = false
	c.writable = true
	c.hangup = event&hangupEvents != 0
	c.handler.Opened()
	return true
}

// closeWithError closes a connection that broke and tells the handler.
func (c *Conn) closeWithError(err error) {
	if c.closed {
		return
	}
	c.Close()
	c.handler.Closed(err)
}

// Close ends the connection at once; output that the kernel has not taken is lost.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.unsent = nil
	delete(c.loop.conns, c.fd)
	_ = unix.Close(c.fd) // the poller forgets the descriptor by itself
	for _, fd := range c.descriptors {
		_ = unix.Close(fd)
	}
	c.descriptors = nil
}

// Drop ends the connection so that nothing which the peer does not have yet arrives any more. After a mere Close the kernel
// would go on sending what it has taken, for minutes where the peer's machine is slow or cut off.
func (c *Conn) Drop() {
	if c.closed {
		return
	}
	unacknowledged, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if len(c.unsent) > 0 || err == nil && unacknowledged > 0 {
		c.Abort()
		return
	}
	c.Close()
}

// Abort ends the connection with a reset.
func (c *Conn) Abort() {
	if !c.closed {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.Close()
	}
}

// Detach ends the connection for this process alone: another process has a copy of its descriptor.
func (c *Conn) Detach() {
	if !c.closed {
		_ = c.loop.poller.Delete(c.fd) // the poller goes by the open file, which closing this descriptor leaves open
		c.Close()
	}
}
