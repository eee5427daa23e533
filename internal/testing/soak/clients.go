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
	// lateAnswer is how long after a request's time its answer may come; later it is lost.
	lateAnswer = 500 * time.Millisecond
	// lateAttempt is how long after the end of a client, or of its time, an attempt may begin.
	lateAttempt = 100 * time.Millisecond
	// harnessDelay is by how much this process itself may notice things late on a busy machine.
	harnessDelay = 100 * time.Millisecond
	// maxEchoDelay is how long an established connection may hold a line back.
	maxEchoDelay = time.Second
	// badClientTime is how long a client that stops in the middle of its request may be left waiting.
	badClientTime = 3 * time.Second
	dialTimeout   = 5 * time.Second
)

var lastRequest atomic.Int64

// request is what a client did, and when.
type request struct {
	id       string
	sentAt   time.Time
	patience time.Duration
	leftAt   time.Time // when its client closed; zero: it stayed for the answer
}

// clients sends requests to the proxies and records what breaks a rule.
type clients struct {
	plan Plan
	wg   sync.WaitGroup

	mu         sync.Mutex
	random     *rand.Rand
	requests   []request
	answers    map[string]int // by their first word
	longest    time.Duration  // wait for an answer
	violations []string
}

func newClients(plan Plan) *clients {
	return &clients{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 2)), answers: map[string]int{}}
}

func (c *clients) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *clients) count(answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[answer]++
}

// draw returns a number below n.
func (c *clients) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *clients) drawTime(n time.Duration) time.Duration { return time.Duration(c.draw(int(n))) }

// begin records a request that is about to be sent.
func (c *clients) begin() request {
	patience := c.plan.Patience/2 + c.drawTime(c.plan.Patience)
	return request{
		id:       fmt.Sprintf("q%d", lastRequest.Add(1)),
		sentAt:   time.Now(),
		patience: min(patience, c.plan.Longest),
	}
}

func (c *clients) record(r request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

func (r *request) line() string {
	return fmt.Sprintf("OPEN %s key%s c=feed,d=%d\r\n", r.id, r.id, r.patience.Milliseconds())
}

// load sends requests to a proxy until the context ends.
func (c *clients) load(ctx context.Context, p *proxy) {
	for range persistentOnes {
		c.wg.Go(func() { c.stayConnected(ctx, p) })
	}
	if c.plan.Crowd > 0 {
		c.wg.Go(func() { c.crowd(ctx, p) })
	}
	for ctx.Err() == nil {
		time.Sleep(c.drawTime(2 * requestPause))
		if !p.admitted() {
			continue
		}
		switch c.draw(10) {
		case 0:
			c.wg.Go(func() { c.leaveEarly(p) })
		case 1:
			c.wg.Go(func() { c.stopMidway(p) })
		default:
			c.wg.Go(func() { c.requestOnce(p) })
		}
	}
}

// send connects and sends a request; nil where the process did not accept it.
func (c *clients) send(p *proxy, text string) net.Conn {
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

// readAnswer reads a request's answer and checks that it comes in its time. ok is false where the client is not connected.
func (c *clients) readAnswer(p *proxy, conn net.Conn, r request) (reader *bufio.Reader, ok bool) {
	latest := r.sentAt.Add(r.patience + lateAnswer + harnessDelay)
	_ = conn.SetReadDeadline(latest.Add(p.heldUpSince(r.sentAt) + badClientTime))
	reader = bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	arrived := time.Now()
	switch {
	case err != nil && p.killedBy(arrived):
		c.count("killed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.violate("request %s got no answer in %v", r.id, time.Since(r.sentAt))
	case err != nil:
		c.violate("request %s got %q and %v after %v", r.id, line, err, time.Since(r.sentAt))
	case arrived.After(latest.Add(p.heldUpSince(r.sentAt))):
		c.violate("request %s got %q after %v, its time is %v", r.id, line, arrived.Sub(r.sentAt), r.patience)
	}
	if err == nil {
		c.count(strings.Fields(line + " -")[0])
		c.mu.Lock()
		c.longest = max(c.longest, arrived.Sub(r.sentAt))
		c.mu.Unlock()
	}
	return reader, err == nil && strings.HasPrefix(line, "UP ")
}

// requestOnce sends a request, reads its answer and leaves.
func (c *clients) requestOnce(p *proxy) {
	r := c.begin()
	conn := c.send(p, r.line())
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c.record(r)
	_, _ = c.readAnswer(p, conn, r)
}

// leaveEarly sends a request and closes before the answer.
func (c *clients) leaveEarly(p *proxy) {
	r := c.begin()
	conn := c.send(p, r.line())
	if conn == nil {
		return
	}
	time.Sleep(c.drawTime(r.patience / 4))
	_ = conn.Close()
	r.leftAt = time.Now()
	c.record(r)
}

// stopMidway sends half a request and stays: it is answered or closed in time.
func (c *clients) stopMidway(p *proxy) {
	conn := c.send(p, "OPEN half key c=fe")
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	_ = conn.SetReadDeadline(began.Add(2 * badClientTime))
	_, err := bufio.NewReader(conn).ReadString('\n')
	if waited := time.Since(began); errors.Is(err, os.ErrDeadlineExceeded) || waited > badClientTime+p.heldUpSince(began)+harnessDelay {
		c.violate("a client that stopped in the middle of its request waited %v: %v", waited, err)
	}
}

// crowd keeps many idle connections.
func (c *clients) crowd(ctx context.Context, p *proxy) {
	var conns []net.Conn
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		if !p.admitted() {
			continue
		}
		if conn, err := net.DialTimeout("tcp", p.addr, dialTimeout); err == nil {
			conns = append(conns, conn)
		}
		if len(conns) > c.plan.Crowd {
			_ = conns[0].Close()
			conns = conns[1:]
		}
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// stayConnected keeps an established connection in use, and comes back when it is told to move.
func (c *clients) stayConnected(ctx context.Context, p *proxy) {
	for ctx.Err() == nil {
		time.Sleep(20*time.Millisecond + c.drawTime(50*time.Millisecond))
		if !p.admitted() {
			continue
		}
		r := c.begin()
		conn := c.send(p, r.line())
		if conn == nil {
			continue
		}
		c.record(r)
		if reader, ok := c.readAnswer(p, conn, r); ok {
			c.useConnection(ctx, p, conn, reader, r)
		}
		_ = conn.Close()
	}
}

// useConnection sends lines over an established connection, until its end, and expects each back.
func (c *clients) useConnection(ctx context.Context, p *proxy, conn net.Conn, reader *bufio.Reader, r request) {
	for n := 0; ctx.Err() == nil; n++ {
		line := fmt.Sprintf("line %d of %s\r\n", n, r.id)
		sentAt := time.Now()
		_, _ = io.WriteString(conn, line) // a failure shows in what is read
		_ = conn.SetReadDeadline(sentAt.Add(maxEchoDelay + 2*badClientTime))
		got, err := reader.ReadString('\n')
		waited := time.Since(sentAt)
		switch {
		case got == "MOVE\r\n":
			c.count("MOVE")
			return
		case err != nil && p.killedBy(time.Now()):
			c.violate("connection %s was still held at the kill", r.id)
			return
		case err != nil:
			c.violate("connection %s ended without MOVE: %q, %v", r.id, got, err)
			return
		case got != line:
			c.violate("connection %s brought %q for %q", r.id, got, line)
			return
		case waited > maxEchoDelay+p.heldUpSince(sentAt)+harnessDelay:
			c.violate("connection %s held a line back for %v", r.id, waited)
		}
		time.Sleep(50*time.Millisecond + c.drawTime(200*time.Millisecond))
	}
}

// checkAttempts compares the attempts with the requests.
func (c *clients) checkAttempts(attempts map[string][]time.Time) {
	c.mu.Lock()
	requests := c.requests
	c.mu.Unlock()
	for _, r := range requests {
		for _, at := range attempts[r.id] {
			if late := at.Sub(r.sentAt.Add(r.patience)); late > lateAttempt+harnessDelay {
				c.violate("request %s was attempted %v after its time", r.id, late)
			}
			if late := at.Sub(r.leftAt); !r.leftAt.IsZero() && late > lateAttempt+harnessDelay {
				c.violate("request %s was attempted %v after its client had closed", r.id, late)
			}
		}
	}
}
