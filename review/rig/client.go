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
	At      time.Time // when the request was sent
	First   string    // first word of the answer, or the error
	After   time.Duration
}

// Clients opens connections at proxies. Its methods are safe for concurrent use.
type Clients struct {
	record *Record
	mu     sync.Mutex
	next   int
	got    []Answer
	active sync.WaitGroup
}

// NewClients returns clients that have sent nothing.
func NewClients(record *Record) *Clients { return &Clients{record: record} }

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
	first, conn := c.request(addr, line, patience)
	answer := Answer{id, proxy, sent, first, time.Since(sent)}
	c.mu.Lock()
	c.got = append(c.got, answer)
	c.mu.Unlock()
	c.record.Printf("client %s: %s after %v", id, first, answer.After.Round(time.Millisecond))
	if conn == nil {
		return
	}
	if strings.HasPrefix(first, "UP") {
		time.Sleep(life)
	}
	conn.Close()
}

// request sends a first line and returns the answer's line, or what came in its place.
func (c *Clients) request(addr, line string, patience time.Duration) (string, net.Conn) {
	conn, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return "unreachable", nil
	}
	_ = conn.SetDeadline(time.Now().Add(patience + time.Second))
	if _, err := fmt.Fprint(conn, line); err != nil {
		return "broken", conn
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "no answer: " + short(err), conn
	}
	_ = conn.SetDeadline(time.Time{})
	return strings.TrimSpace(answer), conn
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
