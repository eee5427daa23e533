package evloop

import (
	"io"
	"os"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"
)

// Handler receives the events of a connection, on the loop's goroutine.
type Handler interface {
	// Opened is called when a dialed connection is established.
	Opened()
	// Data passes received bytes, which are valid only during the call.
	Data(data []byte)
	// EOF is called when the peer has closed its sending side. Output can still be sent.
	EOF()
	// Drained is called when the kernel has accepted all output, after some output had to wait.
	Drained()
	// Closed is called when the connection failed or could not be established. It is not called after Close, Drop, Abort or
	// Detach.
	Closed(err error)
}

// HangupObserver is an optional interface of a Handler.
type HangupObserver interface {
	// HangupPending is called when the connection is paused and its peer has closed its sending side after bytes that are
	// still unread. EOF follows once they have been read.
	HangupPending()
}

// Masks of epoll events. A broken connection counts as both readable and writable, because either operation returns the error.
const (
	errorEvents    = unix.EPOLLERR | unix.EPOLLHUP
	hangupEvents   = unix.EPOLLRDHUP | errorEvents
	readableEvents = unix.EPOLLIN | unix.EPOLLPRI | hangupEvents
	writableEvents = unix.EPOLLOUT | errorEvents
)

// Conn is a stream connection. It stays registered with the poller, edge-triggered for reads and writes, until it is closed.
type Conn struct {
	loop    *Loop
	fd      int
	handler Handler
	dialing bool
	closed  bool

	readable       bool // the poller reported input, and the kernel's buffer has not been emptied since
	paused         bool
	readScheduled  bool // a later turn continues reading
	delivering     bool // received bytes are being passed to the handler
	hangup         bool // the poller reported an EOF or an error that has not been read yet
	hangupReported bool // HangupPending was called
	atEOF          bool // the peer has closed its sending side, and all its bytes have been read

	unsent           []byte // output that the kernel has not accepted yet
	writable         bool
	flushScheduled   bool
	bytesSent        int   // output that the kernel has accepted
	writeErr         error // of a failed write: unsent output is lost, and Closed follows
	closeWriteWanted bool  // the sending side is closed once unsent is empty
	writeClosed      bool

	acceptsDescriptors bool
	descriptors        []int // received, and not returned by TakeDescriptors yet
}

// register adds the connection to the loop and the poller.
func (c *Conn) register() error {
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // fails on a Unix socket, which has no such option
	c.loop.conns[c.fd] = c
	err := c.loop.poller.AddReadWrite(&netpoll.PollAttachment{FD: c.fd}, true)
	if err != nil {
		delete(c.loop.conns, c.fd)
	}
	return err
}

// SetHandler replaces the connection's handler.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// FD returns the connection's descriptor. Callers must not read, write or close it.
func (c *Conn) FD() int { return c.fd }

// HungUp reports whether the poller has reported an EOF or an error that has not been read yet. Within Opened it means that the
// peer closed the connection before anything was written, unless the event belongs to an earlier connection with the same
// descriptor.
func (c *Conn) HungUp() bool { return c.hangup }

// AtEOF reports whether the peer has closed its sending side and all its bytes have been read.
func (c *Conn) AtEOF() bool { return c.atEOF }

// handleEvent processes an event of the connection: it first completes the dial, then sends pending output, then reads.
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

// finishDial reports whether an event shows that the connection is established. It notifies the handler of success or failure.
func (c *Conn) finishDial(event netpoll.IOEvent) bool {
	errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		err = unix.Errno(errno)
	}
	switch {
	case err != nil:
		c.closeWithError(os.NewSyscallError("connect", err))
		return false
	case event&writableEvents == 0: // still dialing
		return false
	case event&unix.EPOLLOUT == 0: // failed, and the kernel does not report why
		c.closeWithError(io.ErrUnexpectedEOF)
		return false
	}
	// The event may belong to a connection with the same descriptor that was closed earlier in this batch.
	if _, err := unix.Getpeername(c.fd); err != nil {
		return false
	}
	c.dialing = false
	c.writable = true
	c.hangup = event&hangupEvents != 0
	c.handler.Opened()
	return true
}

// closeWithError closes a connection that failed and notifies the handler.
func (c *Conn) closeWithError(err error) {
	if c.closed {
		return
	}
	c.Close()
	c.handler.Closed(err)
}

// Close closes the connection immediately. Output that the kernel has not accepted is lost.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.unsent = nil
	delete(c.loop.conns, c.fd)
	_ = unix.Close(c.fd) // this also removes the descriptor from the poller
	for _, fd := range c.descriptors {
		_ = unix.Close(fd)
	}
	c.descriptors = nil
}

// Drop closes the connection so that no further output reaches the peer: it resets the connection if the peer has not
// acknowledged all output. After Close the kernel would continue to send the output that it has accepted, for minutes if the
// peer's host is slow or unreachable.
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

// Abort resets the connection.
func (c *Conn) Abort() {
	if !c.closed {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.Close()
	}
}

// Detach closes the connection's descriptor in this process only. The connection stays open for another process that holds a
// copy of the descriptor.
func (c *Conn) Detach() {
	if !c.closed {
		_ = c.loop.poller.Delete(c.fd) // the poller tracks the open file, which the other process keeps open
		c.Close()
	}
}
