package evloop

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadsPerTurn bounds the reads of one connection in a turn, so that a flooding peer cannot starve other connections.
	maxReadsPerTurn = 4
	// nestedReadBytes is the buffer size of a read that CheckPeer does within another connection's Data, which occupies the
	// loop's read buffer.
	nestedReadBytes = 4 << 10
)

// Pause stops reading. Bytes that the peer sends stay in the kernel's buffers until Resume.
func (c *Conn) Pause() { c.paused = true }

// Resume continues reading after Pause, in a later turn.
func (c *Conn) Resume() {
	if c.paused {
		c.paused = false
		c.scheduleRead()
	}
}

// CheckPeer reads received bytes, an EOF or an error immediately, without waiting for the poller to report them. Callers use it
// before they do work for a peer that may have disconnected while other connections were processed. It may be called from
// within Data, after Data has copied the bytes that it received.
func (c *Conn) CheckPeer() {
	if c.closed || c.dialing || c.atEOF || c.readScheduled {
		return
	}
	if !c.paused {
		c.readable = true
		c.readAvailable()
		return
	}
	if c.writeErr == nil { // otherwise handleWriteError reports the failure
		c.checkPausedPeer()
	}
}

// scheduleRead continues reading in a later turn, after the sockets that are ready by then. It uses a timer, not Post, because
// the poller runs posted functions until its queue is empty, including those posted in the meantime: a flooding peer would be
// read until it stops.
func (c *Conn) scheduleRead() { c.scheduleReadAfter(0) }

// scheduleReadAfter continues reading in a later turn, once the delay has passed. It does nothing if a read is scheduled.
func (c *Conn) scheduleReadAfter(delay time.Duration) {
	if !c.readScheduled {
		c.readScheduled = true
		c.loop.After(delay, func() {
			c.readScheduled = false
			c.readTurn()
		})
	}
}

// readTurn reads in this turn, unless a read is scheduled or in progress. If the handler has paused the connection and the
// poller reported a hangup, readTurn checks for it.
func (c *Conn) readTurn() {
	if c.readScheduled || c.delivering {
		return // a later read handles this event, so that the connection gets no second turn
	}
	c.delivering = true
	c.readAvailable()
	c.delivering = false
	if c.paused && c.hangup && !c.closed && !c.atEOF && c.writeErr == nil {
		c.checkPausedPeer()
	}
}

// readAvailable passes received bytes to the handler, with maxReadsPerTurn reads at most.
func (c *Conn) readAvailable() {
	buffer := c.loop.readBuffer
	nested := c.loop.readBufferInUse
	if nested {
		buffer = make([]byte, nestedReadBytes)
	}
	c.loop.readBufferInUse = true
	defer func() { c.loop.readBufferInUse = nested }()
	for range maxReadsPerTurn {
		if c.closed || c.paused || c.atEOF || !c.readable {
			return
		}
		n, err := c.receive(buffer)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			c.readable = false
		case isTransientError(err):
			c.scheduleReadAfter(transientRetryDelay) // the poller does not report input again that has already arrived
			return
		case err != nil:
			c.closeWithError(os.NewSyscallError("read", err))
		case n == 0 && c.writeErr != nil: // not an EOF of the peer: reads return 0 after a failed write
			c.closeWithError(c.writeErr)
		case n == 0:
			c.atEOF = true
			c.handler.EOF()
		default:
			// A short read does not mean that the kernel has no more bytes, because a signal may have interrupted it. Only
			// EAGAIN does.
			c.handler.Data(buffer[:n])
		}
	}
	if c.readable && !c.closed {
		c.scheduleRead()
	}
}

// checkPausedPeer checks whether the peer of a paused connection has disconnected. It reports a reset, or an EOF without unread
// bytes before it, at once; for an EOF after unread bytes it calls HangupPending. It polls the socket, because the poller's
// hangup event may belong to another connection with the same descriptor that was closed earlier in the batch.
func (c *Conn) checkPausedPeer() {
	poll := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	if _, err := unix.Poll(poll, 0); err != nil {
		return // interrupted; a later event or CheckPeer polls again
	}
	events := poll[0].Revents
	if events&unix.POLLERR != 0 && c.closeIfBroken() {
		return
	}
	if events&(unix.POLLRDHUP|unix.POLLHUP) == 0 {
		c.hangup = false
		return
	}
	c.reportHangup()
}

// closeIfBroken closes the connection if the kernel has a pending error for it, and reports whether it did.
func (c *Conn) closeIfBroken() bool {
	errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || errno == 0 {
		return false
	}
	c.closeWithError(os.NewSyscallError("read", unix.Errno(errno)))
	return true
}

// reportHangup notifies the handler that the peer of a paused connection has hung up: by Closed after a reset, by EOF if no
// bytes are unread, or by HangupPending once.
func (c *Conn) reportHangup() {
	var first [1]byte
	n, _, err := unix.Recvfrom(c.fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.ECONNRESET):
		c.closeWithError(os.NewSyscallError("read", err))
	case err != nil: // a later read reports the error
	case n == 0:
		c.atEOF = true
		c.handler.EOF()
	case !c.hangupReported:
		c.hangupReported = true
		if observer, ok := c.handler.(HangupObserver); ok {
			observer.HangupPending()
		}
	}
}
