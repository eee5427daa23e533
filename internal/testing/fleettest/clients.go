package fleettest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"example.org/micafront/internal/fakes"
)

// contestedShare is the average number of contested-class requests per plain-class request.
const contestedShare = 3

// clientPool runs the clients of all proxies. Each client sends one request at a time: it opens a connection, sends one line over
// it if the proxy accepts the request, and disconnects. The pool checks and counts every answer.
type clientPool struct {
	checker  *fakes.ProtocolChecker
	interval time.Duration  // between a client's requests, on average
	wg       sync.WaitGroup // the clients' goroutines

	mu                 sync.Mutex
	answers            []Answer
	answersByProxy     map[string]int // by the proxy's name
	lost               []lostRequest
	connectionsRefused int // failed dials, which do not count as requests
}

// Answer is the final answer to a request.
type Answer struct {
	At        time.Time
	Proxy     string
	Word      string        // UP, BUSY or ERR
	Contested bool          // whether the request was of the contested class
	Latency   time.Duration // from the dial to the answer
}

// lostRequest is a request whose connection ended without an answer.
type lostRequest struct {
	proxy *Process
	id    string
	start time.Time // before the dial
	end   time.Time // after the connection failed
	err   error     // the error of the connection
}

// start starts the n-th client of a proxy, which sends requests until the context ends. A request in flight at that time still
// waits for its answer.
func (c *clientPool) start(ctx context.Context, proxy *Proxy, seed uint64, n int) {
	c.wg.Go(func() {
		rng := rand.New(rand.NewPCG(seed, uint64(proxy.Index)<<16|uint64(n)))
		for ctx.Err() == nil {
			contested := rng.IntN(contestedShare+1) > 0
			class := PlainClass
			if contested {
				class = ContestedClass
			}
			c.request(proxy, fmt.Sprintf("%s%08x", class, rng.Uint32()), contested)
			select {
			case <-time.After(time.Duration(rng.Int64N(int64(2 * c.interval)))):
			case <-ctx.Done():
			}
		}
	})
}

// request sends a request and records its answer, or its loss.
func (c *clientPool) request(proxy *Proxy, key string, contested bool) {
	start := time.Now()
	conn, err := net.Dial("tcp", proxy.Addr())
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.connectionsRefused++
		return
	}
	defer conn.Close()
	id := fakes.NextID()
	_ = conn.SetDeadline(time.Now().Add(2 * fakes.WaitTimeout)) // fails only on a closed connection, as do the calls below
	reader := bufio.NewReader(conn)
	word, err := open(conn, reader, id, key)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lost = append(c.lost, lostRequest{proxy.Process, id, start, time.Now(), err})
		return
	}
	c.checker.FinalAnswer(id, word)
	c.mu.Lock()
	c.answersByProxy[proxy.Name]++
	c.answers = append(c.answers, Answer{time.Now(), proxy.Name, word, contested, time.Since(start)})
	c.mu.Unlock()
	if word == "UP" {
		if _, err := io.WriteString(conn, "M 1\r\n"); err == nil {
			_, _ = reader.ReadString('\n') // an echo, a MOVE, or an error if the endpoint was stopped
		}
		return
	}
	for { // the checker reports any further answer as a violation
		word, err := readAnswer(reader)
		if err != nil {
			return
		}
		c.checker.FinalAnswer(id, word)
	}
}

// open sends the first line of a request and returns the first word of its answer.
func open(conn net.Conn, reader *bufio.Reader, id, key string) (word string, err error) {
	if _, err := fmt.Fprintf(conn, "OPEN %s %s c=feed,d=5000\r\n", id, key); err != nil {
		return "", err
	}
	return readAnswer(reader)
}

// readAnswer reads a line and returns its first word.
func readAnswer(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return "", errors.New("empty answer line")
	}
	return words[0], nil
}

// unanswered describes the requests that got no answer although their proxy was up. A stopping proxy may drop a request that
// arrived after the signal, but must answer earlier ones.
func (c *clientPool) unanswered() (descriptions []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.lost {
		if !request.proxy.WasDown(request.start, request.end) {
			descriptions = append(descriptions, fmt.Sprintf("request %s at %s has no final answer after %v: %v",
				request.id, request.proxy.Name, request.end.Sub(request.start), request.err))
		}
	}
	return descriptions
}

// AwaitAnswers waits until a proxy has answered at least count requests.
func (f *Fleet) AwaitAnswers(proxy *Proxy, count int) error {
	ctx, cancel := context.WithTimeout(f.ctx, fakes.WaitTimeout)
	defer cancel()
	for ; f.answerCount(proxy) < count; pause(ctx, localPollInterval) {
		if ctx.Err() != nil {
			return fmt.Errorf("%s answered %d requests, want at least %d: %w", proxy.Name, f.answerCount(proxy), count, ctx.Err())
		}
	}
	return nil
}

func (f *Fleet) answerCount(p *Proxy) int {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	return f.clients.answersByProxy[p.Name]
}
