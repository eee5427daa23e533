package proxy

import (
	"bytes"
	"errors"
	"time"

	"example.org/micafront/internal/evloop"
)

// maxHeartbeatBytes bounds a received heartbeat, and the heartbeats queued for a slow process.
const maxHeartbeatBytes = 1 << 20

var errHeartbeatTooLong = errors.New("heartbeat exceeds its size limit")

// heartbeat is the message that the processes send each other, one JSON object per line. Processes of different releases
// exchange it, so the names of its JSON members must not change.
type heartbeat struct {
	OpenDescriptors int               `json:"open"` // descriptors of connections
	Serving         bool              `json:"serving"`
	Established     map[uint64]string `json:"stood,omitempty"` // during a stop: endpoints of established connections, by client
	Transfer        *transferredConn  `json:"relay,omitempty"` // during a stop: a connection; its two descriptors accompany the message
}

// linkedProcess is the process at the other end of a peerLink.
type linkedProcess interface {
	// onHeartbeat handles a received heartbeat.
	onHeartbeat(h heartbeat)
	// onLinkClosed is called once, after the connection has closed. cause is nil if the other process closed it.
	onLinkClosed(cause error)
}

// peerLink is the connection to the predecessor or the successor, over which both sides send heartbeats.
type peerLink struct {
	loop            *evloop.Loop
	conn            *evloop.Conn
	process         linkedProcess
	buffer          []byte        // an incomplete heartbeat
	lastHeartbeat   time.Duration // arrival of the last heartbeat; initially the creation of the link
	openDescriptors int           // descriptors of the other process's connections
}

var _ evloop.Handler = (*peerLink)(nil)

// heartbeatAge returns the time since the last heartbeat arrived.
func (l *peerLink) heartbeatAge() time.Duration { return l.loop.Now() - l.lastHeartbeat }

// send writes a heartbeat. It drops the heartbeat if too much output is pending, because the next one carries newer values.
func (l *peerLink) send(line []byte) {
	if l.conn.Pending() < maxHeartbeatBytes {
		l.conn.Write(line)
	}
}

// fail closes the link because of cause.
func (l *peerLink) fail(cause error) {
	l.conn.Close()
	l.process.onLinkClosed(cause)
}

// Opened implements evloop.Handler.
func (l *peerLink) Opened() {}

// Drained implements evloop.Handler.
func (l *peerLink) Drained() {}

// Data implements evloop.Handler.
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

// EOF implements evloop.Handler.
func (l *peerLink) EOF() { l.fail(nil) }

// Closed implements evloop.Handler.
func (l *peerLink) Closed(err error) { l.process.onLinkClosed(err) }
