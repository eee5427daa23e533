package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// answerGrace is how long after the deadline of a request its answer may arrive.
	answerGrace = 500 * time.Millisecond
	// attemptGrace is how long after the deadline of a request, or after its client has closed, an attempt may begin.
	attemptGrace = 100 * time.Millisecond
	// schedulingSlack is how late this test process may observe an event on a busy machine.
	schedulingSlack = 100 * time.Millisecond
	// maxEchoDelay is how long a line may take to return over an established connection.
	maxEchoDelay = time.Second
	// partialRequestTimeout is how long the proxy may wait for the rest of a partial request before it answers or closes.
	partialRequestTimeout = 3 * time.Second
	dialTimeout           = 5 * time.Second
)

var lastRequestID atomic.Int64

// request records what a client sent, and when.
type request struct {
	id       string
	sentAt   time.Time
	timeout  time.Duration // between sentAt and the deadline of the request
	closedAt time.Time     // when its client closed early; zero if it waited for the answer
}

// clients sends requests to the proxies and records violations of the rules.
type clients struct {
	plan Plan
	wg   sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	requests    []request
	answers     map[string]int // counts, by the first word of the answer
	longestWait time.Duration  // for an answer
	violations  []string
}

func newClients(plan Plan) *clients {
	return &clients{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 2)), answers: map[string]int{}}
}

// reportViolation records a formatted violation of a rule.
func (c *clients) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *clients) countAnswer(answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[answer]++
}

// randomInt returns a random number in [0, n).
func (c *clients) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// randomDuration returns a random duration in [0, n).
func (c *clients) randomDuration(n time.Duration) time.Duration {
	return time.Duration(c.randomInt(int(n)))
}

// newRequest returns a request that is sent now, with a random timeout.
func (c *clients) newRequest() request {
	timeout := c.plan.MeanTimeout/2 + c.randomDuration(c.plan.MeanTimeout)
	return request{
		id:      fmt.Sprintf("q%d", lastRequestID.Add(1)),
		sentAt:  time.Now(),
		timeout: min(timeout, c.plan.MaxTimeout),
	}
}

func (c *clients) recordRequest(r request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// line encodes the request in the client protocol.
func (r *request) line() string {
	return fmt.Sprintf("OPEN %s key%s c=feed,d=%d\r\n", r.id, r.id, r.timeout.Milliseconds())
}

// generateLoad sends requests to a proxy until ctx is done.
func (c *clients) generateLoad(ctx context.Context, p *proxy) {
	for range persistentClients {
		c.wg.Go(func() { c.runPersistentClient(ctx, p) })
	}
	if c.plan.IdleClients > 0 {
		c.wg.Go(func() { c.holdIdleConnections(ctx, p) })
	}
	for ctx.Err() == nil {
		time.Sleep(c.randomDuration(2 * meanRequestInterval))
		if !p.admitsConnections() {
			continue
		}
		switch c.randomInt(10) {
		case 0:
			c.wg.Go(func() { c.closeEarly(p) })
		case 1:
			c.wg.Go(func() { c.sendPartialRequest(p) })
		default:
			c.wg.Go(func() { c.requestOnce(p) })
		}
	}
}

// dialAndSend connects to a proxy and sends a text. It returns nil if the process did not accept the connection or the text.
func (c *clients) dialAndSend(p *proxy, text string) net.Conn {
	conn, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		return nil
	}
	if _, err := io.WriteString(conn, text); err != nil {
		_ = conn.Close()
		return nil
	}
	return conn
}

// readAnswer reads the answer to a request and checks that it arrives in time. ok reports whether the proxy connected the client to
// an endpoint. The client reads from reader afterwards.
func (c *clients) readAnswer(p *proxy, conn net.Conn, r request) (reader *bufio.Reader, ok bool) {
	latest := r.sentAt.Add(r.timeout + answerGrace + schedulingSlack)
	_ = conn.SetReadDeadline(latest.Add(p.suspendedSince(r.sentAt) + partialRequestTimeout))
	reader = bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	arrived := time.Now()
	switch {
	case err != nil && p.endedBy(arrived):
		c.countAnswer("killed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reportViolation("request %s got no answer within %v", r.id, time.Since(r.sentAt))
	case err != nil:
		c.reportViolation("request %s got %q and %v after %v", r.id, line, err, time.Since(r.sentAt))
	case arrived.After(latest.Add(p.suspendedSince(r.sentAt))):
		c.reportViolation("request %s got %q after %v, its timeout is %v", r.id, line, arrived.Sub(r.sentAt), r.timeout)
	}
	if err == nil {
		c.countAnswer(strings.Fields(line + " -")[0])
		c.mu.Lock()
		c.longestWait = max(c.longestWait, arrived.Sub(r.sentAt))
		c.mu.Unlock()
	}
	return reader, err == nil && strings.HasPrefix(line, "UP ")
}

// requestOnce sends a request, reads its answer and closes.
func (c *clients) requestOnce(p *proxy) {
	r := c.newRequest()
	conn := c.dialAndSend(p, r.line())
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c.recordRequest(r)
	_, _ = c.readAnswer(p, conn, r)
}

// closeEarly sends a request and closes after at most a quarter of its timeout, without reading the answer.
func (c *clients) closeEarly(p *proxy) {
	r := c.newRequest()
	conn := c.dialAndSend(p, r.line())
	if conn == nil {
		return
	}
	time.Sleep(c.randomDuration(r.timeout / 4))
	_ = conn.Close()
	r.closedAt = time.Now()
	c.recordRequest(r)
}

// sendPartialRequest sends half a request, keeps the connection open, and checks that the proxy answers or closes it within
// partialRequestTimeout.
func (c *clients) sendPartialRequest(p *proxy) {
	conn := c.dialAndSend(p, "OPEN half key c=fe")
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	sentAt := time.Now()
	_ = conn.SetReadDeadline(sentAt.Add(2 * partialRequestTimeout))
	_, err := bufio.NewReader(conn).ReadString('\n')
	if waited := time.Since(sentAt); errors.Is(err, os.ErrDeadlineExceeded) || waited > partialRequestTimeout+p.suspendedSince(sentAt)+schedulingSlack {
		c.reportViolation("a client with a partial request waited %v: %v", waited, err)
	}
}

// holdIdleConnections keeps up to plan.IdleClients idle connections to a proxy open, and replaces the oldest ones.
func (c *clients) holdIdleConnections(ctx context.Context, p *proxy) {
	var conns []net.Conn
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		if !p.admitsConnections() {
			continue
		}
		if conn, err := net.DialTimeout("tcp", p.addr, dialTimeout); err == nil {
			conns = append(conns, conn)
		}
		if len(conns) > c.plan.IdleClients {
			_ = conns[0].Close()
			conns = conns[1:]
		}
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// runPersistentClient uses an established connection, and sends a new request when the proxy notifies it to move or the connection
// ends.
func (c *clients) runPersistentClient(ctx context.Context, p *proxy) {
	for ctx.Err() == nil {
		time.Sleep(20*time.Millisecond + c.randomDuration(50*time.Millisecond))
		if !p.admitsConnections() {
			continue
		}
		r := c.newRequest()
		conn := c.dialAndSend(p, r.line())
		if conn == nil {
			continue
		}
		c.recordRequest(r)
		if reader, ok := c.readAnswer(p, conn, r); ok {
			c.echoLines(ctx, p, conn, reader, r)
		}
		_ = conn.Close()
	}
}

// echoLines sends lines over an established connection until it ends, and checks that the endpoint echoes each.
func (c *clients) echoLines(ctx context.Context, p *proxy, conn net.Conn, reader *bufio.Reader, r request) {
	for n := 0; ctx.Err() == nil; n++ {
		line := fmt.Sprintf("line %d of %s\r\n", n, r.id)
		sentAt := time.Now()
		_, _ = io.WriteString(conn, line) // the read below reports a failure
		_ = conn.SetReadDeadline(sentAt.Add(maxEchoDelay + 2*partialRequestTimeout))
		got, err := reader.ReadString('\n')
		waited := time.Since(sentAt)
		switch {
		case got == "MOVE\r\n":
			c.countAnswer("MOVE")
			return
		case err != nil && p.endedBy(time.Now()):
			c.reportViolation("connection %s was still open when its process ended", r.id)
			return
		case err != nil:
			c.reportViolation("connection %s ended without MOVE: %q, %v", r.id, got, err)
			return
		case got != line:
			c.reportViolation("connection %s returned %q for %q", r.id, got, line)
			return
		case waited > maxEchoDelay+p.suspendedSince(sentAt)+schedulingSlack:
			c.reportViolation("connection %s delayed a line by %v", r.id, waited)
		}
		time.Sleep(50*time.Millisecond + c.randomDuration(200*time.Millisecond))
	}
}

// checkAttempts reports each attempt that began after the deadline of its request or after its client had closed.
func (c *clients) checkAttempts(attempts map[string][]time.Time) {
	c.mu.Lock()
	requests := c.requests
	c.mu.Unlock()
	for _, r := range requests {
		for _, at := range attempts[r.id] {
			if late := at.Sub(r.sentAt.Add(r.timeout)); late > attemptGrace+schedulingSlack {
				c.reportViolation("request %s was attempted %v after its deadline", r.id, late)
			}
			if late := at.Sub(r.closedAt); !r.closedAt.IsZero() && late > attemptGrace+schedulingSlack {
				c.reportViolation("request %s was attempted %v after its client had closed", r.id, late)
			}
		}
	}
}
