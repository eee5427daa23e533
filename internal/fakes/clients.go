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

// Intervals and delays of a client.
const (
	sendInterval               = 500 * time.Millisecond
	failureRetryDelay          = 200 * time.Millisecond // after a connection that failed without an answer
	defaultRejectionRetryDelay = 500 * time.Millisecond // after a rejection that names no time
	maxRetryJitter             = 100 * time.Millisecond // random addition to each delay
)

// Range and precision of the histogram of set-up latencies, and the percentiles of SetupLatency.
const (
	minSetupMicros         = 1
	maxSetupMicros         = 60_000_000
	setupSignificantDigits = 3
	medianPercentile       = 50
	p99Percentile          = 99
	clientSeedStream       = 1 // second seed of the random number generator
)

// Clients simulates clients. Each keeps one connection, sends lines at an interval, and reconnects when its connection ends or
// the proxy sends MOVE. After a rejection it waits for the time in the answer first. Clients is safe for concurrent use; the
// exported fields must be set before the first call of Add.
type Clients struct {
	Addr         string // address of the proxy
	Checker      *ProtocolChecker
	SendInterval time.Duration // time between two lines of a client

	mu          sync.Mutex
	random      *rand.Rand
	setupMicros *hdrhistogram.Histogram // time from the first line to UP, in microseconds
	established int
	running     sync.WaitGroup // goroutines of clients and their connections
}

// NewClients returns a simulation without clients. seed determines its random delays.
func NewClients(addr string, checker *ProtocolChecker, seed uint64) *Clients {
	return &Clients{
		Addr:         addr,
		Checker:      checker,
		SendInterval: sendInterval,
		random:       rand.New(rand.NewPCG(seed, clientSeedStream)),
		setupMicros:  hdrhistogram.New(minSetupMicros, maxSetupMicros, setupSignificantDigits),
	}
}

// Established returns the number of established connections.
func (c *Clients) Established() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.established
}

// SetupLatency returns the median and the 99th percentile of the set-up latency, both in microseconds.
func (c *Clients) SetupLatency() (median, p99 int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setupMicros.ValueAtQuantile(medianPercentile), c.setupMicros.ValueAtQuantile(p99Percentile)
}

// Add starts a client, which runs until the context ends. Its requests name no group if group is empty.
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

// Wait waits until all clients have ended.
func (c *Clients) Wait() { c.running.Wait() }

// jitter returns a random time below maxRetryJitter, so that clients rejected together do not reconnect together.
func (c *Clients) jitter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(maxRetryJitter)))
}

// clientRequest contains the parameters of a client's first line.
type clientRequest struct {
	class     string
	key       string
	group     string
	returning bool // the client's previous connection was established
}

// line returns the first line of a connection with a request id.
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

// connect runs one connection until it ends. It returns how long to wait before the next connection, and whether this one was
// established.
func (c *Clients) connect(ctx context.Context, request clientRequest) (retryAfter time.Duration, established bool) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return failureRetryDelay, false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	id := NextID()
	began := time.Now()
	if _, err := io.WriteString(conn, request.line(id)); err != nil {
		return failureRetryDelay, false
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		if ctx.Err() == nil {
			c.Checker.NoAnswer(id)
		}
		return failureRetryDelay, false
	}
	answer, argument := splitAnswer(line)
	c.Checker.FinalAnswer(id, answer)
	if answer != "UP" {
		if ms, err := strconv.Atoi(argument); err == nil {
			return time.Duration(ms) * time.Millisecond, false
		}
		return defaultRejectionRetryDelay, false
	}
	c.recordSetup(time.Since(began))
	defer c.recordEnd()
	ended := make(chan struct{})
	defer close(ended)
	c.running.Go(func() { c.sendLines(conn, ended) })
	c.readUntilMoved(reader)
	return 0, true
}

// splitAnswer returns the first two words of an answer. A missing word is empty.
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

// recordSetup counts an established connection and records its set-up latency.
func (c *Clients) recordSetup(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.setupMicros.RecordValue(latency.Microseconds()) // values outside the histogram's range are ignored
	c.established++
}

// recordEnd subtracts an ended connection from the number of established ones.
func (c *Clients) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.established--
}

// readUntilMoved reads lines until the connection ends or the proxy sends MOVE.
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

// sendLines sends a line every SendInterval until the connection has ended.
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
