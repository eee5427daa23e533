package proxy

import (
	"bytes"
	"errors"
	"time"

	"example.org/micafront/internal/evloop"
)

// maxHeartbeatBytes bounds a heartbeat, and the heartbeats that wait for a slow process.
const maxHeartbeatBytes = 1 << 20

var errHeartbeatTooLong = errors.New("heartbeat too long")

// heartbeat is what the processes send each other, a line each. Processes of different releases exchange it: the names of
// its JSON members stay.
type heartbeat struct {
	OpenDescriptors int               `json:"open"` // of connections
	Serving         bool              `json:"serving"`
	Established     map[uint64]string `json:"stood,omitempty"` // at a stop: endpoints of established connections by client
	Transfer        *transferredConn  `json:"relay,omitempty"` // at a stop: a connection, its two descriptors along with it
}

// linkedProcess is the process at the other end of a peerLink.
type linkedProcess interface {
	// onHeartbeat handles a heartbeat that came.
	onHeartbeat(h heartbeat)
	// onLinkClosed is called once, when the connection has been closed. cause is nil where the process has exited.
	onLinkClosed(cause error)
}

// peerLink is the connection to the predecessor or the successor, over which both sides send heartbeats.
type peerLink struct {
	loop            *evloop.Loop
	conn            *evloop.Conn
	process         linkedProcess
	buffer          []byte        // the start of a heartbeat whose rest has not come
	lastHeartbeat   time.Duration // when it came; at first when the link was made
	openDescriptors int           // of the other process's connections
}

var _ evloop.Handler = (*peerLink)(nil)

// heartbeatAge is how long ago the last heartbeat came.
func (l *peerLink) heartbeatAge() time.Duration { return l.loop.Now() - l.lastHeartbeat }

// send writes a heartbeat. It is dropped where too many wait: the next one has later values.
func (l *peerLink) send(line []byte) {
	if l.conn.Pending() < maxHeartbeatBytes {
		l.conn.Write(line)
	}
}

// fail closes a link that is of no use any more.
func (l *peerLink) fail(cause error) {
	l.conn.Close()
	l.process.onLinkClosed(cause)
}

// Opened is part of evloop.Handler.
func (l *peerLink) Opened() {}

// Drained is part of evloop.Handler.
func (l *peerLink) Drained() {}

// Data is part of evloop.Handler.
func (l *peerLink) Data(b []byte) {
	l.buffer = append(l.buffer, b...)
	for {
		end := bytes.IndexByte(l.buffer, '\n')
		if end < 0 {
			break
		}
		var received heartbeat
		err := json.Unmarshal(l.buffer[:end], &received)
		l.buffer = l.buffer[end+1:]
		if err != nil {
			l.fail(err)
			return
		}
		l.lastHeartbeat = l.loop.Now()
		l.openDescriptors = max(received.OpenDescriptors, 0)
		l.process.onHeartbeat(received)
	}
	if len(l.buffer) > maxHeartbeatBytes {
		l.fail(errHeartbeatTooLong)
	}
}

// Ended is part of evloop.Handler.
func (l *peerLink) Ended() { l.fail(nil) }

// Closed is part of evloop.Handler.
func (l *peerLink) Closed(err error) { l.process.onLinkClosed(err) }
