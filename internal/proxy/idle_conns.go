package proxy

import (
	"container/list"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/lifecycle"
	"example.org/micafront/internal/metrics"
)

const (
	// defaultIdleLimit is the limit on idle connections where the configuration does not limit descriptors.
	defaultIdleLimit = 4096
	// idleLimitDivisor is what the limit on descriptors is divided by to get the limit on idle connections. Clients
	// with requests may need a third of the descriptors and their connections to endpoints another third.
	idleLimitDivisor = 6
	minIdleLimit     = 8
	// lingeringAllowanceDivisor is what the limit on idle connections is divided by to get the number of lingering
	// connections that do not count towards it.
	lingeringAllowanceDivisor = 4
)

// lingerBounds limits how long and how much a client may send after the proxy has sent it the last message. Tens of
// megabytes may be in transit.
var lingerBounds = evloop.LingerLimits{IdleTimeout: time.Second, TotalTimeout: 5 * time.Second, MaxBytes: 64 << 20}

// idleConns holds the client connections without a request: those that have not sent one yet, and those that linger
// after their last message. Both kinds come in floods and must leave descriptors for requests. Beyond a limit the
// oldest are closed.
type idleConns struct {
	limits    *descriptorLimit
	counters  *metrics.Counters
	waiting   list.List // of *session, the oldest first
	lingering list.List // of *evloop.Lingering, the oldest first
}

func (c *idleConns) limit() int {
	if c.limits.max == 0 {
		return defaultIdleLimit
	}
	return max(c.limits.max/idleLimitDivisor, minIdleLimit)
}

// lingeringAllowance returns how many lingering connections do not count towards the limit, so that an evicted client
// receives its answer.
func (c *idleConns) lingeringAllowance() int { return c.limit() / lingeringAllowanceDivisor }

// count returns how many connections count towards the limit.
func (c *idleConns) count() int {
	return c.waiting.Len() + max(c.lingering.Len()-c.lingeringAllowance(), 0)
}

// add tracks a session that has just been accepted. If that exceeds the limit, it evicts others.
func (c *idleConns) add(s *session) {
	s.handshake.idleElement = c.waiting.PushBack(s)
	if oldest := c.oldestWaiting(); c.count() > c.limit() && oldest != s {
		oldest.downstream.CheckPeer() // its request may just have arrived
	}
	c.evictOldest()
}

// remove stops tracking a session that has sent its request or is closed.
func (c *idleConns) remove(s *session) {
	if s.handshake.idleElement != nil {
		c.waiting.Remove(s.handshake.idleElement)
		s.handshake.idleElement = nil
	}
}

// oldestWaiting returns the session that has been open longest without a request, or nil if there is none.
func (c *idleConns) oldestWaiting() *session {
	if oldest := c.waiting.Front(); oldest != nil {
		return oldest.Value.(*session)
	}
	return nil
}

// evictOldest closes the oldest connections until the limit is met. Lingering connections go first, so that they do not
// displace a client that has just connected, unless more than half of the limit is taken by sessions without a request.
func (c *idleConns) evictOldest() {
	limit := c.limit()
	allowance := c.lingeringAllowance()
	for c.count() > limit {
		c.counters.Evicted++
		oldest := c.oldestWaiting()
		if oldest != nil && (c.lingering.Len() <= allowance || c.waiting.Len() > limit/2) {
			oldest.evict()
		}
		if c.lingering.Len() > allowance {
			c.lingering.Front().Value.(*evloop.Lingering).Close()
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

// expectsRequest reports whether a request may be in transit. It ignores clients that have sent only readiness checks,
// and clients that have sent nothing for lifecycle.IdleBeforeClose.
func (c *idleConns) expectsRequest(now time.Duration) bool {
	for element := c.waiting.Front(); element != nil; element = element.Next() {
		s := element.Value.(*session)
		if len(s.buffered) > 0 || s.handshake.readinessChecks == 0 && now-s.handshake.acceptedAt < lifecycle.IdleBeforeClose {
			return true
		}
	}
	return false
}
