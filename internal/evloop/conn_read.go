package evloop

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadsPerTurn bounds what one connection may bring in a turn, so that a flood cannot starve the others.
	maxReadsPerTurn = 4
	// nestedReadBytes is the size of a read within another connection's Data, by CheckPeer.
	nestedReadBytes = 4 << 10
)

// Pause stops reading; what the peer sends waits in the kernel.
func (c *Conn) Pause() { c.paused = true }

// Resume reads again.
func (c *Conn) Resume() {
	if c.paused {
		c.paused = false
		c.scheduleRead()
	}
}

// CheckPeer reads at once what has come, an end above all, before the poller tells of it: what is about to be done for a peer
// may have become pointless while other connections had their turn. It may be called from within Data, once that has kept
// what it was given.
func (c *Conn) CheckPeer() {
	if c.closed || c.dialing || c.peerEnded || c.readScheduled {
		return
	}
	if !c.paused {
		c.readable = true
		c.readAvailable()
		return
	}
	if c.writeErr == nil { // else failWrite has the break reported
		c.checkPausedPeer()
	}
}

// scheduleRead reads on in a turn after the sockets that are ready by then. A posted call would not do: the poller runs its
// queue until that is empty, what is posted meanwhile included, so a flood would be read to its end first.
func (c *Conn) scheduleRead() { c.scheduleReadAfter(0) }

func (c *Conn) scheduleReadAfter(delay time.Duration) {
	if !c.readScheduled {
		c.readScheduled = true
		c.loop.After(delay, func() {
			c.readScheduled = false
			c.readTurn()
		})
	}
}

func (c *Conn) readTurn() {
	if c.readScheduled || c.delivering {
		return // it reads later: what is ready now must not give it a second turn
	}
	c.delivering = true
	c.readAvailable()
	c.delivering = false
	if c.paused && c.hangup && !c.closed && !c.peerEnded && c.writeErr == nil {
		c.checkPausedPeer()
	}
}

// readAvailable passes what the kernel has to the handler, maxReadsPerTurn reads at most.
func (c *Conn) readAvailable() {
	buffer := c.loop.readBuffer
	nested := c.loop.readBufferInUse
	if nested {
		buffer = make([]byte, nestedReadBytes)
	}
	c.loop.readBufferInUse = true
	defer func() { c.loop.readBufferInUse = nested }()
	for range maxReadsPerTurn {
		if c.closed || c.paused || c.peerEnded || !c.readable {
			return
		}
		n, err := c.receive(buffer)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			c.readable = false
		case isTransient(err):
			c.scheduleReadAfter(transientRetryDelay) // no edge comes for what is there already
			return
		case err != nil:
			c.closeWithError(os.NewSyscallError("read", err))
		case n == 0 && c.writeErr != nil: // no end: reads look so after a write that failed
			c.closeWithError(c.writeErr)
		case n == 0:
			c.peerEnded = true
			c.handler.EOF()
		default:
			// A short read does not say that the kernel has no more: a signal may have ended it. Only EAGAIN does.
			c.handler.Data(buffer[:n])
		}
	}
	if c.readable && !c.closed {
		c.scheduleRead()
	}
}

// checkPausedPeer finds out whether the peer of a paused connection has gone. A reset is told at once, and so is an end with
// nothing before it; of an end behind unread bytes the handler can only be warned. The kernel is asked, since the event that
// told of an end may have been of another connection with the same descriptor, closed earlier in its batch.
func (c *Conn) checkPausedPeer() {
	poll := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	if _, err := unix.Poll(poll, 0); err != nil {
		return // interrupted; a later event or CheckPeer asks again
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

// closeIfBroken closes a connection for which the kernel has an error, and reports whether it had.
func (c *Conn) closeIfBroken() bool {
	errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || errno == 0 {
		return false
	}
	c.closeWithError(os.NewSyscallError("read", unix.Errno(errno)))
	return true
}

// reportHangup tells the handler of a paused connection's end, by what is before it.
func (c *Conn) reportHangup() {
	var first [1]byte
	n, _, err := unix.Recvfrom(c.fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.ECONNRESET):
		c.closeWithError(os.NewSyscallError("read", err))
	case err != nil: // reading finds it
	case n == 0:
		c.peerEnded = true
		c.handler.EOF()
	case !c.hangupReported:
		c.hangupReported = true
		if observer, ok := c.handler.(HangupObserver); ok {
			observer.HangupPending()
		}
	}
}
