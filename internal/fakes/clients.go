package fakes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times of a client.
const (
	sendInterval       = 500 * time.Millisecond
	retryAfterFailure  = 200 * time.Millisecond // the connection failed without an answer
	retryAfterRejected = 500 * time.Millisecond // the answer names no time
	maxRetryJitter     = 100 * time.Millisecond // on top of each of these
)

// Range and precision of the histogram of set-up latencies, and the percentiles that are read from it.
const (
	minSetupMicros         = 1
	maxSetupMicros         = 60_000_000
	setupSignificantDigits = 3
	medianPercentile       = 50
	p99Percentile          = 99
	clientRandomStream     = 1 // of the seed
)

// Clients simulates clients: each keeps one connection, sends a line now and then, and reconnects when it is asked to move
// or rejected, after the time that the answer names. They are safe for concurrent use; the exported fields are set before the
// first Add.
type Clients struct {
	Addr         string // of the proxy
	Checker      *ProtocolChecker
	SendInterval time.Duration // between the lines of one client

	mu          sync.Mutex
	random      *rand.Rand
	setupMicros *hdrhistogram.Histogram // from the first line to UP
	established int
	running     sync.WaitGroup // goroutines of clients and of their connections
}

// NewClients returns a simulation without clients; seed determines its random delays.
func NewClients(addr string, checker *ProtocolChecker, seed uint64) *Clients {
	return &Clients{
		Addr:         addr,
		Checker:      checker,
		SendInterval: sendInterval,
		random:       rand.New(rand.NewPCG(seed, clientRandomStream)),
		setupMicros:  hdrhistogram.New(minSetupMicros, maxSetupMicros, setupSignificantDigits),
	}
}

// Established returns the number of established connections.
func (c *Clients) Established() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.established
}

// SetupLatency returns the median and the 99th percentile of the set-up latency in microseconds.
func (c *Clients) SetupLatency() (median, p99 int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setupMicros.ValueAtQuantile(medianPercentile), c.setupMicros.ValueAtQuantile(p99Percentile)
}

// Add starts one more client, which runs until the context ends. An empty group is left out of its requests.
func (c *Clients) Add(ctx context.Context, class, key, group string) {
	request := clientRequest{class: class, key: key, group: group}
	c.running.Go(func() {
		for ctx.Err() == nil {
			retryAfter, established := c.connect(ctx, request)
			request.returning = established
			select {
			case <-time.After(retryAfter + c.jitter()):
			case <-ctx.Done():
			}
		}
	})
}

// Wait returns when all clients have ended.
func (c *Clients) Wait() { c.running.Wait() }

// jitter draws a time up to maxRetryJitter, so that clients that are rejected together do not come back together.
func (c *Clients) jitter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(maxRetryJitter)))
}

// clientRequest is what a client's first line says.
type clientRequest struct {
	class     string
	key       string
	group     string
	returning bool // the client had an established connection before
}

// line is the first line of a connection under an id.
func (r clientRequest) line(id string) string {
	line := fmt.Sprintf("OPEN %s %s c=%s,d=5000", id, r.key, r.class)
	if r.group != "" {
		line += ",g=" + r.group
	}
	if r.returning {
		line += ",again=1"
	}
	return line + "\r\n"
}

// connect runs one connection from its first line to its end. It returns how long to wait before the next one, and whether
// this one was established.
func (c *Clients) connect(ctx context.Context, request clientRequest) (retryAfter time.Duration, established bool) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return retryAfterFailure, false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	id := NextID()
	began := time.Now()
	if _, err := io.WriteString(conn, request.line(id)); err != nil {
		return retryAfterFailure, false
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		if ctx.Err() == nil {
			c.Checker.NoAnswer(id)
		}
		return retryAfterFailure, false
	}
	answer, argument := splitAnswer(line)
	c.Checker.FinalAnswer(id, answer)
	if answer != "UP" {
		if ms, err := strconv.Atoi(argument); err == nil {
			return time.Duration(ms) * time.Millisecond, false
		}
		return retryAfterRejected, false
	}
	c.recordSetup(time.Since(began))
	defer c.recordEnd()
	ended := make(chan struct{})
	defer close(ended)
	c.running.Go(func() { c.sendLines(conn, ended) })
	c.readUntilMoved(reader)
	return 0, true
}

// splitAnswer returns the first two words of an answer, "" for those it lacks.
func splitAnswer(line string) (answer, argument string) {
	words := strings.Fields(line)
	if len(words) > 0 {
		answer = words[0]
	}
	if len(words) > 1 {
		argument = words[1]
	}
	return answer, argument
}

// recordSetup counts a connection as established.
func (c *Clients) recordSetup(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.setupMicros.RecordValue(latency.Microseconds()) // a value beyond the histogram's range is left out
	c.established++
}

// recordEnd counts a connection as established no more.
func (c *Clients) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.established--
}

// readUntilMoved reads lines until the connection ends or the proxy asks the client to move.
func (c *Clients) readUntilMoved(reader *bufio.Reader) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimSpace(line) == "MOVE" {
			c.Checker.UpdateCounts(func(counts *Counts) { counts.MoveRequests++ })
			return
		}
	}
}

// sendLines sends lines until the connection has ended.
func (c *Clients) sendLines(conn net.Conn, ended <-chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-time.After(c.SendInterval):
		case <-ended:
			return
		}
		if _, err := io.WriteString(conn, "M "+strconv.Itoa(n)+"\r\n"); err != nil {
			return
		}
	}
}
