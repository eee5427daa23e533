package evloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxFinalReads bounds what End reads before it closes: a peer that floods is reset.
	maxFinalReads  = 16
	finalReadBytes = 16 << 10
)

// LingerLimits limit a lingering close.
type LingerLimits struct {
	IdleTimeout  time.Duration // without a byte either way; progress is checked this often
	TotalTimeout time.Duration
	MaxBytes     int // of the peer's, which are discarded
}

// Lingering is a connection that has had its last message and is read to its end (lingering close). It is its connection's
// Handler.
type Lingering struct {
	conn         *Conn
	bounds       LingerLimits
	startedAt    time.Duration
	bytesRead    int
	lastProgress int // bytes either way at the latest check
	timer        *Timer
	onClosed     func()
}

var _ Handler = (*Lingering)(nil)

// Linger ends the connection so that what was written arrives: sending ends once all output has gone, and the peer is read
// and its bytes discarded until it ends too or the bounds are reached. Closing over unread bytes would reset the connection
// and take along what the peer has yet to read (RFC 2525, 2.17). The connection's handler is not called any more; onClosed is
// called once the connection is closed. Linger returns nil, and onClosed is not called, where nothing was left to wait for.
func (c *Conn) Linger(bounds LingerLimits, onClosed func()) *Lingering {
	if c.closed {
		return nil
	}
	if c.peerEnded && len(c.unsent) == 0 || c.dialing {
		c.Close()
		return nil
	}
	lingering := &Lingering{conn: c, bounds: bounds, startedAt: c.loop.now, lastProgress: c.bytesSent, onClosed: onClosed}
	c.handler = lingering
	lingering.timer = c.loop.After(bounds.IdleTimeout, lingering.checkProgress)
	c.Resume()
	c.CloseWrite()
	return lingering
}

// Opened is never called: a connection that is still dialing does not linger.
func (l *Lingering) Opened() {}

// Drained closes the connection if the peer has ended too.
func (l *Lingering) Drained() { l.closeIfComplete() }

// EOF closes the connection if all output has gone.
func (l *Lingering) EOF() { l.closeIfComplete() }

// Data discards what the peer sends, up to the bound.
func (l *Lingering) Data(data []byte) {
	if l.bytesRead += len(data); l.bytesRead > l.bounds.MaxBytes {
		l.Close()
	}
}

// Closed finishes a connection that broke.
func (l *Lingering) Closed(error) {
	l.conn.loop.Cancel(l.timer)
	if l.onClosed != nil {
		l.onClosed()
	}
}

func (l *Lingering) closeIfComplete() {
	if l.conn.peerEnded && len(l.conn.unsent) == 0 {
		l.Close()
	}
}

func (l *Lingering) checkProgress() {
	progress := l.bytesRead + l.conn.bytesSent
	if progress == l.lastProgress || l.conn.loop.now-l.startedAt >= l.bounds.TotalTimeout {
		l.Close()
		return
	}
	l.lastProgress = progress
	l.timer = l.conn.loop.After(l.bounds.IdleTimeout, l.checkProgress)
}

// Close closes the connection before its bounds are reached. What has come by then is read first, so that only later bytes
// reset it.
func (l *Lingering) Close() {
	conn := l.conn
	if conn.closed {
		return
	}
	if !conn.peerEnded {
		conn.discardUnread()
	}
	conn.Close()
	l.Closed(nil)
}

// discardUnread reads what the kernel has, up to a bound.
func (c *Conn) discardUnread() {
	buffer := make([]byte, finalReadBytes)
	for range maxFinalReads {
		n, err := unix.Read(c.fd, buffer)
		if !errors.Is(err, unix.EINTR) && n <= 0 {
			return
		}
	}
}
