package evloop

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errOutputPending = errors.New("earlier output is still pending")
	errClosed        = errors.New("the connection is closed")
)

// Write sends data and buffers what the kernel does not accept yet. A failure is reported through Handler.Closed in a later
// turn, so that the connection is never closed during the call.
func (c *Conn) Write(data []byte) {
	if c.closed || c.closeWriteWanted || len(data) == 0 {
		return
	}
	if len(c.unsent) == 0 && c.writable {
		n, err := c.send(data)
		if err != nil {
			c.handleWriteError(err)
			return
		}
		data = data[n:]
	}
	if len(data) > 0 {
		c.unsent = append(c.unsent, data...)
	}
}

// CloseWrite closes the sending side of the connection once all output has been sent.
func (c *Conn) CloseWrite() {
	if !c.closed && !c.closeWriteWanted {
		c.closeWriteWanted = true
		c.flush()
	}
}

// Pending returns the number of output bytes that the kernel has not accepted yet.
func (c *Conn) Pending() int { return len(c.unsent) }

// PendingOutput returns the output that the kernel has not accepted yet. It is valid until the next call of a Conn method.
func (c *Conn) PendingOutput() []byte { return c.unsent }

// Sent reports whether the kernel has accepted all output. If it returns false although no output is pending, a write failed or
// the connection is closed.
func (c *Conn) Sent() bool { return len(c.unsent) == 0 && c.writeErr == nil && !c.closed }

// send writes data until the kernel accepts no more, and returns the number of bytes that it accepted.
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
		case isTransientError(err):
			c.writable = false
			c.scheduleFlush()
			return sent, nil
		default:
			return sent, os.NewSyscallError("write", err)
		}
	}
	return sent, nil
}

// transientRetryDelay is the delay before the retry of a system call that failed because the kernel was out of memory.
const transientRetryDelay = 10 * time.Millisecond

// scheduleFlush retries sending after transientRetryDelay, because the poller reports free buffer space but not free memory.
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

// flushTurn sends pending output when the connection is writable again, and calls Drained once all output has been sent.
func (c *Conn) flushTurn() {
	hadOutput := len(c.unsent) > 0
	if c.flush(); c.closed {
		return
	}
	if hadOutput && c.Sent() { // Sent is false if a failed write lost output
		c.handler.Drained()
	}
}

// flush sends pending output as far as the kernel accepts it, and then closes the sending side if CloseWrite was called.
func (c *Conn) flush() {
	if len(c.unsent) > 0 && c.writable {
		n, err := c.send(c.unsent)
		if err != nil {
			c.handleWriteError(err)
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
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails if the peer has reset the connection, which a read reports
	}
}

// handleWriteError discards pending output and schedules the close of the connection. Bytes that the peer sent before are read
// first. The kernel reports the failure only once: later reads return EOF, so writeErr keeps the error.
func (c *Conn) handleWriteError(err error) {
	c.writable = false
	c.unsent = nil
	if c.writeErr != nil {
		return
	}
	c.writeErr = err
	_ = c.loop.Post(func() { // does not fail in practice, see Post
		c.CheckPeer()
		c.closeWithError(err)
	})
}
