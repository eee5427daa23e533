package evloop

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errOutputPending = errors.New("earlier output has yet to be sent")
	errClosed        = errors.New("the connection is closed")
)

// Write sends data and keeps what the kernel will not take now. A failure is reported through Closed, in a later turn only,
// so that callers need not expect the connection to be closed during the call.
func (c *Conn) Write(data []byte) {
	if c.closed || c.closeWriteWanted || len(data) == 0 {
		return
	}
	if len(c.unsent) == 0 && c.writable {
		n, err := c.send(data)
		if err != nil {
			c.failWrite(err)
			return
		}
		data = data[n:]
	}
	if len(data) > 0 {
		c.unsent = append(c.unsent, data...)
	}
}

// CloseWrite ends this side's sending once all output has gone.
func (c *Conn) CloseWrite() {
	if !c.closed && !c.closeWriteWanted {
		c.closeWriteWanted = true
		c.flush()
	}
}

// Pending is how many bytes of output the kernel has not taken.
func (c *Conn) Pending() int { return len(c.unsent) }

// PendingOutput is the output that the kernel has not taken. It is valid until the next call.
func (c *Conn) PendingOutput() []byte { return c.unsent }

// Sent reports whether the kernel has taken all that was written. Where it is false and nothing is pending, a write failed
// or the connection is closed.
func (c *Conn) Sent() bool { return len(c.unsent) == 0 && c.writeErr == nil && !c.closed }

// send writes until the kernel takes no more.
func (c *Conn) send(data []byte) (sent int, err error) {
	for sent < len(data) {
		n, err := c.loop.system.Write(c.fd, data[sent:])
		switch {
		case err == nil:
			sent += n
			c.bytesSent += n
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			c.writable = false
			return sent, nil
		case isTransient(err):
			c.writable = false
			c.scheduleFlush()
			return sent, nil
		default:
			return sent, os.NewSyscallError("write", err)
		}
	}
	return sent, nil
}

// transientRetryDelay is when a call is repeated for which the kernel had no memory.
const transientRetryDelay = 10 * time.Millisecond

// scheduleFlush sends what is pending later: the poller tells of room, but not of memory.
func (c *Conn) scheduleFlush() {
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	c.loop.After(transientRetryDelay, func() {
		c.flushScheduled = false
		if !c.closed && c.writeErr == nil {
			c.writable = true
			c.flushTurn()
		}
	})
}

// flushTurn sends pending output after the kernel has made room, and tells the handler when all has gone.
func (c *Conn) flushTurn() {
	hadOutput := len(c.unsent) > 0
	if c.flush(); c.closed {
		return
	}
	if hadOutput && c.Sent() { // output that a failed write lost has not gone
		c.handler.Drained()
	}
}

func (c *Conn) flush() {
	if len(c.unsent) > 0 && c.writable {
		n, err := c.send(c.unsent)
		if err != nil {
			c.failWrite(err)
			return
		}
		if n == len(c.unsent) {
			c.unsent = nil
		} else if n > 0 {
			c.unsent = append(c.unsent[:0], c.unsent[n:]...)
		}
	}
	if c.closeWriteWanted && !c.writeClosed && len(c.unsent) == 0 {
		c.writeClosed = true
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails where the peer has reset the connection, which reading finds
	}
}

// failWrite handles a failed write. The kernel tells of the failure once; to reads that follow it looks like an end. What the
// peer had sent before is read first all the same.
func (c *Conn) failWrite(err error) {
	c.writable = false
	c.unsent = nil
	if c.writeErr != nil {
		return
	}
	c.writeErr = err
	_ = c.loop.Post(func() { // cannot fail, see Post
		c.CheckPeer()
		c.closeWithError(err)
	})
}
