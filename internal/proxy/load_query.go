package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
)

// loadQueryIdleTimeout is how long a connection for load queries is kept without one: endpoints are removed, or drain.
const loadQueryIdleTimeout = 15 * time.Second

// loadQueriesPerTurn bounds how many queries one turn begins: each may dial.
const loadQueriesPerTurn = 16

// pendingLoadQuery is a query that has yet to begin.
type pendingLoadQuery struct {
	pool       *endpointPool
	endpointID string
}

// loadQueryQueue begins the balancers' load queries a few a turn. They are asked of many endpoints at once.
type loadQueryQueue struct {
	loop      *evloop.Loop
	begin     func(pool *endpointPool, endpointID string)
	pending   []pendingLoadQuery
	scheduled bool
}

// add begins a query in a later turn.
func (q *loadQueryQueue) add(pool *endpointPool, endpointID string) {
	q.pending = append(q.pending, pendingLoadQuery{pool, endpointID})
	q.schedule()
}

func (q *loadQueryQueue) schedule() {
	if !q.scheduled {
		q.scheduled = true
		q.loop.After(0, q.beginBatch)
	}
}

func (q *loadQueryQueue) beginBatch() {
	q.scheduled = false
	some := q.pending[:min(len(q.pending), loadQueriesPerTurn)]
	q.pending = q.pending[len(some):]
	if len(q.pending) > 0 {
		q.schedule()
	} else {
		q.pending = nil
	}
	for _, query := range some {
		q.begin(query.pool, query.endpointID)
	}
}

// loadQueryConn is the connection for the balancers' queries of one endpoint's load. It is kept between queries, since
// setting one up costs an endpoint more than an answer does. There is one query at a time.
type loadQueryConn struct {
	proxy     *Proxy
	endpoint  *endpoint
	conn      *evloop.Conn
	connected bool
	partial   []byte        // the start of an answer whose rest has not come
	pool      *endpointPool // whose query waits for its answer; nil: none does
	sentAt    time.Duration
	timer     *evloop.Timer // until the answer is due, then until the connection has been idle for too long
}

// queryLoad executes a balancer's HealthCheck. Each ends in one HealthCheckResult.
func (p *Proxy) queryLoad(pool *endpointPool, endpointID string) {
	e := p.endpoints[endpointID]
	if e == nil || !p.canQuery(e) {
		p.events.handle(pool, balancer.HealthCheckResult{Endpoint: endpointID, Status: balancer.NotSent})
		return
	}
	c := e.loadQuery
	if c == nil {
		c = &loadQueryConn{proxy: p, endpoint: e}
		conn, err := p.loop.Dial(e.addr, c)
		if err != nil {
			p.counters.DialErrors++
			p.events.handle(pool, balancer.HealthCheckResult{Endpoint: endpointID, Status: dialStatus(err)})
			return
		}
		c.conn = conn
		e.loadQuery = c
	}
	c.pool = pool
	c.sentAt = p.loop.Now()
	// Twice the time to connect is enough to connect and for an answer that does not wait in the endpoint's queue.
	c.setTimeout(2*p.settings.Limits.ConnectTimeout, balancer.Timeout)
	if c.connected {
		c.send()
	}
}

// canQuery reports whether no query of the endpoint is under way, and there is a connection or a descriptor for one.
func (p *Proxy) canQuery(e *endpoint) bool {
	if e.loadQuery == nil {
		return p.limits.allows(requestReserve)
	}
	return e.loadQuery.pool == nil
}

// setTimeout closes the connection after a time. status is that of the query which waits then.
func (c *loadQueryConn) setTimeout(timeout time.Duration, status balancer.Status) {
	c.proxy.loop.Cancel(c.timer)
	c.timer = c.proxy.loop.After(timeout, func() { c.close(status) })
}

func (c *loadQueryConn) send() {
	c.proxy.counters.LoadQueries++
	c.conn.Write(c.proxy.protocol.LoadQuery())
}

// Opened is part of evloop.Handler.
func (c *loadQueryConn) Opened() {
	c.connected = true
	c.send()
}

// Data is part of evloop.Handler.
func (c *loadQueryConn) Data(b []byte) {
	p := c.proxy
	c.partial = append(c.partial, b...)
	for c.isOpen() && p.protocol.CompleteBytes(c.partial) > 0 {
		var message []byte
		message, c.partial = p.protocol.NextMessage(c.partial)
		load, ok := p.protocol.ParseLoadReport(message)
		if !ok || c.pool == nil { // the endpoint does not answer load queries, or answers unasked
			c.close(balancer.AppError)
			return
		}
		pool := c.pool
		latency := p.loop.Now() - c.sentAt
		c.pool = nil
		c.setTimeout(loadQueryIdleTimeout, balancer.NotSent)
		p.events.handle(pool, balancer.HealthCheckResult{Endpoint: c.endpoint.id, Status: balancer.OK, Latency: latency, Load: load})
	}
	if len(c.partial) > p.protocol.MaxMessageBytes() {
		p.counters.OversizedMessages++
		c.close(balancer.AppError)
	}
}

// Ended is part of evloop.Handler.
func (c *loadQueryConn) Ended() { c.close(balancer.Reset) }

// Drained is part of evloop.Handler.
func (c *loadQueryConn) Drained() {}

// Closed is part of evloop.Handler.
func (c *loadQueryConn) Closed(error) {
	if c.connected {
		c.close(balancer.Reset)
	} else {
		c.close(balancer.ConnectFailed)
	}
}

func (c *loadQueryConn) isOpen() bool { return c.endpoint.loadQuery == c }

// close closes the connection and reports the query that waits, if one does. The next query opens another connection.
func (c *loadQueryConn) close(status balancer.Status) {
	if !c.isOpen() {
		return
	}
	p := c.proxy
	c.endpoint.loadQuery = nil
	p.loop.Cancel(c.timer)
	c.conn.Close()
	if c.pool != nil {
		p.counters.LoadQueriesFailed++
		latency := p.loop.Now() - c.sentAt
		p.events.handle(c.pool, balancer.HealthCheckResult{Endpoint: c.endpoint.id, Status: status, Latency: latency})
	}
}
