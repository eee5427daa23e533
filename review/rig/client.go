package rig

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Answer is what a client got.
type Answer struct {
	Request string
	Proxy   string
	At      time.Time     // when the request was sent
	Waits   time.Duration // how long the client waits for UP, as it said in d
	First   string        // the answer's line, or what came in its place
	After   time.Duration
}

// Clients opens connections at proxies. Its methods are safe for concurrent use.
type Clients struct {
	Interval time.Duration // between two lines of a client; set before the first Open

	record *Record
	mu     sync.Mutex
	next   int
	got    []Answer
	ends   []End
	active sync.WaitGroup
}

// NewClients returns clients that have sent nothing.
func NewClients(record *Record) *Clients { return &Clients{Interval: lineInterval, record: record} }

// Open sends one request to a proxy in a goroutine of its own. Where it is served, the client keeps the connection for life.
func (c *Clients) Open(proxy, addr, class string, patience, life time.Duration) {
	c.mu.Lock()
	c.next++
	number := c.next
	c.mu.Unlock()
	id := fmt.Sprintf("%s-%06d", proxy, number)
	line := fmt.Sprintf("OPEN %s key%06d c=%s,d=%d,g=group%d\r\n", id, number, class, patience.Milliseconds(), number%97)
	c.active.Go(func() { c.run(proxy, addr, id, line, patience, life) })
}

func (c *Clients) run(proxy, addr, id, line string, patience, life time.Duration) {
	sent := time.Now()
	first, conn, reader := c.request(addr, line, patience)
	answer := Answer{id, proxy, sent, patience, first, time.Since(sent)}
	c.mu.Lock()
	c.got = append(c.got, answer)
	c.mu.Unlock()
	c.record.Printf("client %s: %s after %v", id, first, answer.After.Round(time.Millisecond))
	if conn == nil {
		return
	}
	defer conn.Close()
	if strings.HasPrefix(first, "UP") {
		c.converse(id, conn, reader, life)
	}
}

// lineInterval is how often a client sends a line on an open connection.
const lineInterval = 2 * time.Second

// converse sends a line at once and every lineInterval, and notes how the connection ends: by the client after life, or before.
func (c *Clients) converse(id string, conn net.Conn, reader *bufio.Reader, life time.Duration) {
	over := time.AfterFunc(life, func() { conn.Close() })
	defer over.Stop()
	began := time.Now()
	done := make(chan struct{})
	defer close(done)
	go func() { // ends with the connection
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(conn, "%s line %d\r\n", id, n); err != nil {
				return
			}
			select {
			case <-time.After(c.Interval):
			case <-done:
				return
			}
		}
	}()
	moved := false
	for n := 1; ; {
		line, err := reader.ReadString('\n')
		text := strings.TrimSpace(line)
		switch {
		case err != nil && time.Since(began) >= life:
			return
		case err != nil:
			c.note(End{id, time.Now(), moved, short(err)})
			return
		case text == "MOVE":
			moved = true
		case text == fmt.Sprintf("%s line %d", id, n):
			n++
		case !strings.HasPrefix(text, "LOAD"):
			c.note(End{id, time.Now(), moved, "got " + text})
		}
	}
}

// End is a connection that ended before its client ended it, or brought something that nobody sent.
type End struct {
	Request string
	At      time.Time
	Moved   bool // MOVE came before
	How     string
}

func (c *Clients) note(end End) {
	c.mu.Lock()
	c.ends = append(c.ends, end)
	c.mu.Unlock()
	c.record.Printf("client %s: connection ended, after MOVE: %v, %s", end.Request, end.Moved, end.How)
}

// Ends returns the connections that ended early so far.
func (c *Clients) Ends() []End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]End(nil), c.ends...)
}

// answerLimit is how long after its time a client still reads, to see whether an answer comes at all.
const answerLimit = 4 * time.Second

// request sends a first line and returns the answer's line, or what came in its place.
func (c *Clients) request(addr, line string, patience time.Duration) (string, net.Conn, *bufio.Reader) {
	conn, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return "unreachable", nil, nil
	}
	_ = conn.SetDeadline(time.Now().Add(patience + answerLimit))
	if _, err := fmt.Fprint(conn, line); err != nil {
		return "broken", conn, nil
	}
	reader := bufio.NewReader(conn)
	answer, err := reader.ReadString('\n')
	if err != nil {
		return "no answer: " + short(err), conn, nil
	}
	_ = conn.SetDeadline(time.Time{})
	return strings.TrimSpace(answer), conn, reader
}

// short returns an error without addresses.
func short(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}

// Wait waits until all clients have ended.
func (c *Clients) Wait() { c.active.Wait() }

// Answers returns what the clients got so far.
func (c *Clients) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.got...)
}

// Count counts the answers by first word from a moment on, for one proxy or, with "", for all.
func (c *Clients) Count(proxy string, from time.Time) map[string]int {
	counts := map[string]int{}
	for _, answer := range c.Answers() {
		if (proxy == "" || answer.Proxy == proxy) && answer.At.After(from) {
			word, _, _ := strings.Cut(answer.First, " ")
			counts[word]++
		}
	}
	return counts
}
