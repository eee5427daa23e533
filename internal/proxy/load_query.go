package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
)

// loadQueryIdleTimeout is how long a connection for load queries stays open without a query. Endpoints that drain or
// are removed are no longer queried.
const loadQueryIdleTimeout = 15 * time.Second

// loadQueriesPerTurn limits how many queries one turn of the event loop starts, because each may dial.
const loadQueriesPerTurn = 16

// pendingLoadQuery is a load query that has not started.
type pendingLoadQuery struct {
	pool       *endpointPool
	endpointID string
}

// loadQueryQueue starts the balancers' load queries a few per turn, because balancers query many endpoints at once.
type loadQueryQueue struct {
	loop      *evloop.Loop
	begin     func(pool *endpointPool, endpointID string)
	pending   []pendingLoadQuery
	scheduled bool
}

// add schedules a query for a later turn.
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
	batch := q.pending[:min(len(q.pending), loadQueriesPerTurn)]
	q.pending = q.pending[len(batch):]
	if len(q.pending) > 0 {
		q.schedule()
	} else {
		q.pending = nil
	}
	for _, query := range batch {
		q.begin(query.pool, query.endpointID)
	}
}

// loadQueryConn is the connection for the balancers' queries of one endpoint's load. It stays open between queries,
// because a new connection costs an endpoint more than an answer does. At most one query is in progress.
type loadQueryConn struct {
	proxy     *Proxy
	endpoint  *endpoint
	conn      *evloop.Conn
	connected bool
	partial   []byte        // the start of an incomplete answer
	pool      *endpointPool // the pool whose query is in progress; nil if none is
	sentAt    time.Duration
	timer     *evloop.Timer // closes the connection if an answer is overdue, or after loadQueryIdleTimeout without a query
}

// queryLoad executes a balancer's HealthCheck. Each HealthCheck ends in exactly one HealthCheckResult.
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
	// Twice the connect timeout is enough to connect and to receive an answer that does not wait in the endpoint's
	// queue.
	c.setTimeout(2*p.settings.Limits.ConnectTimeout, balancer.Timeout)
	if c.connected {
		c.send()
	}
}

// canQuery reports whether the endpoint has no query in progress and has a connection, or a descriptor is left for one.
func (p *Proxy) canQuery(e *endpoint) bool {
	if e.loadQuery == nil {
		return p.limits.allows(requestReserve)
	}
	return e.loadQuery.pool == nil
}

// setTimeout closes the connection after timeout. status is the result of a query that is then in progress.
func (c *loadQueryConn) setTimeout(timeout time.Duration, status balancer.Status) {
	c.proxy.loop.Cancel(c.timer)
	c.timer = c.proxy.loop.After(timeout, func() { c.close(status) })
}

func (c *loadQueryConn) send() {
	c.proxy.counters.LoadQueries++
	c.conn.Write(c.proxy.protocol.LoadQuery())
}

// Opened implements evloop.Handler.
func (c *loadQueryConn) Opened() {
	c.connected = true
	c.send()
}

// Data implements evloop.Handler.
func (c *loadQueryConn) Data(b []byte) {
	p := c.proxy
	c.partial = append(c.partial, b...)
	for c.isOpen() && p.protocol.CompleteBytes(c.partial) > 0 {
		var message []byte
		message, c.partial = p.protocol.NextMessage(c.partial)
		load, ok := p.protocol.ParseLoadReport(message)
		if !ok || c.pool == nil { // the endpoint does not support load queries, or sent data without a query
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

// EOF implements evloop.Handler.
func (c *loadQueryConn) EOF() { c.close(balancer.Reset) }

// Drained implements evloop.Handler.
func (c *loadQueryConn) Drained() {}

// Closed implements evloop.Handler.
func (c *loadQueryConn) Closed(error) {
	if c.connected {
		c.close(balancer.Reset)
	} else {
		c.close(balancer.ConnectFailed)
	}
}

func (c *loadQueryConn) isOpen() bool { return c.endpoint.loadQuery == c }

// close closes the connection and reports the result of the query in progress, if any. The next query opens another
// connection.
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
