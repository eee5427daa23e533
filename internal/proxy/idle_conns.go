package proxy

import (
	"container/list"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/metrics"
)

const (
	// defaultMaxIdle is how many idle connections there may be where the configuration does not limit descriptors.
	defaultMaxIdle = 4096
	// maxIdleDivisor is the part of the descriptors that idle connections may have, as a divisor: clients with requests
	// may need a third and their endpoints another.
	maxIdleDivisor = 6
	minMaxIdle     = 8
	// uncountedDivisor is the part of the limit, as a divisor, up to which lingering connections do not count.
	uncountedDivisor = 4
)

// lingerBounds bound how long a peer that has had its last message may go on sending, and how much: tens of megabytes
// may be under way.
var lingerBounds = evloop.Bounds{Idle: time.Second, Total: 5 * time.Second, Bytes: 64 << 20}

// idleConns are the client connections that have no request: those that have not sent one yet, and those that linger
// after their last message. Both come in floods and must leave descriptors to requests: beyond a limit the oldest are
// closed.
type idleConns struct {
	limits    *descriptorLimit
	counters  *metrics.Counters
	waiting   list.List // of *session, the oldest first
	lingering list.List // of *evloop.Lingering, the oldest first
}

func (c *idleConns) limit() int {
	if c.limits.max == 0 {
		return defaultMaxIdle
	}
	return max(c.limits.max/maxIdleDivisor, minMaxIdle)
}

// uncountedLingering is how many lingering connections do not count, so that an evicted client receives its answer.
func (c *idleConns) uncountedLingering() int { return c.limit() / uncountedDivisor }

// count is how many connections count towards the limit.
func (c *idleConns) count() int {
	return c.waiting.Len() + max(c.lingering.Len()-c.uncountedLingering(), 0)
}

// add takes in a session that has just been accepted, and evicts others where that is one too many.
func (c *idleConns) add(s *session) {
	s.handshake.idleElement = c.waiting.PushBack(s)
	if oldest := c.oldestWaiting(); c.count() > c.limit() && oldest != s {
		oldest.downstream.CheckPeer() // its request may have come just now
	}
	c.evictOldest()
}

// remove takes out a session that has sent its request or is closed.
func (c *idleConns) remove(s *session) {
	if s.handshake.idleElement != nil {
		c.waiting.Remove(s.handshake.idleElement)
		s.handshake.idleElement = nil
	}
}

// oldestWaiting is the session that has waited longest without a request; nil if there is none.
func (c *idleConns) oldestWaiting() *session {
	if oldest := c.waiting.Front(); oldest != nil {
		return oldest.Value.(*session)
	}
	return nil
}

// evictOldest closes the oldest connections until the limit is kept. Lingering ones go first, unless most of them wait:
// a client that has just connected must not make way for those.
func (c *idleConns) evictOldest() {
	limit := c.limit()
	uncounted := c.uncountedLingering()
	for c.count() > limit {
		c.counters.Evicted++
		oldest := c.oldestWaiting()
		if oldest != nil && (c.lingering.Len() <= uncounted || c.waiting.Len() > limit/2) {
			oldest.evict()
		}
		if c.lingering.Len() > uncounted {
			c.lingering.Front().Value.(*evloop.Lingering).End()
		}
	}
}

// linger closes a connection once its last message has been received.
func (c *idleConns) linger(conn *evloop.Conn) {
	var element *list.Element
	lingering := conn.Linger(lingerBounds, func() { c.lingering.Remove(element) })
	if lingering != nil {
		element = c.lingering.PushBack(lingering)
	}
}

// expectsRequest reports whether a request may be on its way. A client that has only sent readiness checks, or nothing
// for long, is not waited for.
func (c *idleConns) expectsRequest(now time.Duration) bool {
	for element := c.waiting.Front(); element != nil; element = element.Next() {
		s := element.Value.(*session)
		if len(s.buffered) > 0 || s.handshake.readinessChecks == 0 && now-s.handshake.acceptedAt < idleBeforeClose {
			return true
		}
	}
	return false
}
