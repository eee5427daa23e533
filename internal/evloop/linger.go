package evloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxFinalReads bounds the reads of Lingering.Close before it closes the connection. A peer that floods the connection
	// receives a reset.
	maxFinalReads = 16
	// finalReadBytes is the buffer size of these reads.
	finalReadBytes = 16 << 10
)

// LingerLimits contains the limits of a lingering close.
type LingerLimits struct {
	IdleTimeout  time.Duration // without a byte in either direction; this is also the interval of the check
	TotalTimeout time.Duration // since the start of the lingering close
	MaxBytes     int           // received bytes, which are discarded
}

// Lingering is a connection in a lingering close: its last message has been written, and its input is discarded until the peer
// closes. It is the connection's Handler.
type Lingering struct {
	conn         *Conn
	limits       LingerLimits
	startedAt    time.Duration
	bytesRead    int
	lastProgress int // bytes in both directions at the latest check
	timer        *Timer
	onClosed     func()
}

var _ Handler = (*Lingering)(nil)

// Linger closes the connection gracefully, so that pending output reaches the peer. It closes the sending side after all output
// is sent, and discards input until the peer closes too or a limit is reached. Closing with unread input would reset the
// connection and destroy output that the peer has not read yet (RFC 2525, section 2.17). The connection's previous handler is
// not called anymore; onClosed, unless it is nil, is called once the connection is closed. If there is nothing to wait for,
// Linger closes the connection at once, returns nil and does not call onClosed.
func (c *Conn) Linger(limits LingerLimits, onClosed func()) *Lingering {
	if c.closed {
		return nil
	}
	if c.atEOF && len(c.unsent) == 0 || c.dialing {
		c.Close()
		return nil
	}
	lingering := &Lingering{conn: c, limits: limits, startedAt: c.loop.now, lastProgress: c.bytesSent, onClosed: onClosed}
	c.handler = lingering
	lingering.timer = c.loop.After(limits.IdleTimeout, lingering.checkProgress)
	c.Resume()
	c.CloseWrite()
	return lingering
}

// Opened is never called, because Linger closes a connection that is still dialing.
func (l *Lingering) Opened() {}

// Drained closes the connection if the peer has closed its sending side.
func (l *Lingering) Drained() { l.closeIfComplete() }

// EOF closes the connection if all output has been sent.
func (l *Lingering) EOF() { l.closeIfComplete() }

// Data discards received bytes. It closes the connection when they exceed MaxBytes.
func (l *Lingering) Data(data []byte) {
	if l.bytesRead += len(data); l.bytesRead > l.limits.MaxBytes {
		l.Close()
	}
}

// Closed stops the progress checks and calls onClosed.
func (l *Lingering) Closed(error) {
	l.conn.loop.Cancel(l.timer)
	if l.onClosed != nil {
		l.onClosed()
	}
}

func (l *Lingering) closeIfComplete() {
	if l.conn.atEOF && len(l.conn.unsent) == 0 {
		l.Close()
	}
}

// checkProgress closes the connection if no bytes were transferred since the last check or if TotalTimeout has passed.
func (l *Lingering) checkProgress() {
	progress := l.bytesRead + l.conn.bytesSent
	if progress == l.lastProgress || l.conn.loop.now-l.startedAt >= l.limits.TotalTimeout {
		l.Close()
		return
	}
	l.lastProgress = progress
	l.timer = l.conn.loop.After(l.limits.IdleTimeout, l.checkProgress)
}

// Close closes the connection before a limit is reached. It first reads what has already arrived, because closing with unread
// input would reset the connection.
func (l *Lingering) Close() {
	conn := l.conn
	if conn.closed {
		return
	}
	if !conn.atEOF {
		conn.discardUnread()
	}
	conn.Close()
	l.Closed(nil)
}

// discardUnread reads and discards received bytes, with maxFinalReads reads at most.
func (c *Conn) discardUnread() {
	buffer := make([]byte, finalReadBytes)
	for range maxFinalReads {
		n, err := unix.Read(c.fd, buffer)
		if !errors.Is(err, unix.EINTR) && n <= 0 {
			return
		}
	}
}
