package evloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// Bounds are those of a lingering close.
type Bounds struct {
	Idle  time.Duration // without a byte either way; the connection is looked at this often
	Total time.Duration
	Bytes int // of the peer's, dropped
}

// Lingering is a connection that has had its last message.
type Lingering struct {
	conn   *Conn
	bounds Bounds
	since  time.Duration
	moved  int // bytes either way at the last look
	read   int
	limit  *Timer
	over   func()
}

// Linger ends the connection so that what was written arrives: our sending ends once all output has gone, and the peer
// is read on and dropped until it ends too or the bounds are reached. Closing over unread bytes would reset the
// connection, and take along what the peer has yet to read. The handler hears nothing more; over is called once it is
// closed. It gives nil, and over is not called, where nothing was left to wait for.
func (c *Conn) Linger(b Bounds, over func()) *Lingering {
	if c.closed {
		return nil
	}
	if c.ended && len(c.out) == 0 || c.dialling {
		c.Close()
		return nil
	}
	l := &Lingering{conn: c, bounds: b, since: c.loop.now, moved: c.sent, over: over}
	c.h = l
	l.limit = c.loop.After(b.Idle, l.look)
	c.Resume()
	c.CloseWrite()
	return l
}

// Opened and the methods below are a Handler's.
func (l *Lingering) Opened()  {}
func (l *Lingering) Drained() { l.check() }
func (l *Lingering) Ended()   { l.check() }

// Data drops what comes.
func (l *Lingering) Data(b []byte) {
	if l.read += len(b); l.read > l.bounds.Bytes {
		l.End()
	}
}

// Closed hears of a break.
func (l *Lingering) Closed(error) {
	l.conn.loop.Cancel(l.limit)
	if l.over != nil {
		l.over()
	}
}

func (l *Lingering) check() {
	if l.conn.ended && len(l.conn.out) == 0 {
		l.End()
	}
}

func (l *Lingering) look() {
	moved := l.read + l.conn.sent
	if moved == l.moved || l.conn.loop.now-l.since >= l.bounds.Total {
		l.End()
		return
	}
	l.moved = moved
	l.limit = l.conn.loop.After(l.bounds.Idle, l.look)
}

// endReads bounds what is read on at the end: whoever floods is reset.
const endReads = 16

// End closes the connection before its time. What has come by then is read first, so that only later bytes reset it.
func (l *Lingering) End() {
	c := l.conn
	if c.closed {
		return
	}
	if !c.ended {
		drop := make([]byte, 16<<10)
		for range endReads {
			if n, err := unix.Read(c.fd, drop); err != unix.EINTR && n <= 0 {
				break
			}
		}
	}
	c.Close()
	l.Closed(nil)
}
