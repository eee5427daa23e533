package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
)

// withClasses replaces feedClass with other classes, in JSON.
func withClasses(text string) proxyOption {
	return withReplacement(feedClass, text)
}

// classJSON returns a class of the settings; dedupWindow is in seconds.
func classJSON(name, effect, scope string, dedupWindow float64) string {
	return fmt.Sprintf(`{"Name":%q,"Aim":5,"GiveUp":30,"Credit":2,"Effect":%q,"DedupScope":%q,"MemorySpan":%g}`, name, effect, scope, dedupWindow)
}

// openLineOfClass returns the first line of a request of a class, with a new id; attributes holds further attributes, each
// with a leading comma.
func openLineOfClass(class, key, attributes string) string {
	return fmt.Sprintf("OPEN %s %s c=%s%s\r\n", fakes.NextID(), key, class, attributes)
}

// writeUntilBlocked writes until writes block because the other side no longer reads.
func writeUntilBlocked(t *testing.T, p *fakes.Peer, chunk string) {
	t.Helper()
	chunk = strings.Repeat(chunk, 1+65536/len(chunk))
	for {
		if err := p.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if _, err := p.Write([]byte(chunk)); errors.Is(err, os.ErrDeadlineExceeded) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(p *fakes.Peer) {
	p.SetLinger(0)
	p.Close()
}

// sendByteByByte sends a text one byte at a time, each in a separate packet.
func sendByteByByte(t *testing.T, p *fakes.Peer, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(p, text[i:i+1]); err != nil {
			t.Errorf("send byte by byte: %v", err)
			return
		}
	}
}

// listEntry returns an entry of an endpoint list in JSON.
func listEntry(id, addr, lifecycle string) string {
	return fakes.Entry{ID: id, Addr: addr, Lifecycle: lifecycle}.String()
}

func decodeJSON(text string, target any) error { return json.Unmarshal([]byte(text), target) }

// openLine returns the first line of a request of the class feed, with a new id.
func openLine(key string) string {
	return fmt.Sprintf("OPEN %s %s c=feed,d=60000\r\n", fakes.NextID(), key)
}

// readToEnd reads all lines up to the end of a connection, closes it and returns them.
func readToEnd(p *fakes.Peer) (lines []string) {
	for {
		line := p.ReadLine()
		if lines = append(lines, line); strings.HasSuffix(line, "EOF") || strings.HasSuffix(line, "RST") {
			p.Close()
			return lines
		}
	}
}

// startWithEndpoint starts the program with a single endpoint.
func startWithEndpoint(t *testing.T, options ...proxyOption) (*proxyProcess, chan *fakes.Peer) {
	t.Helper()
	return startWithEndpoints(t, 1, options...)
}

// startWithEndpoints starts the program with n endpoints, which share the channel of accepted connections.
func startWithEndpoints(t *testing.T, n int, options ...proxyOption) (*proxyProcess, chan *fakes.Peer) {
	t.Helper()
	conns := make(chan *fakes.Peer, 64)
	var entries []string
	for i := range n {
		endpoint := fakes.NewScriptedEndpoint(t, fmt.Sprintf("s-%d", i+1), conns)
		entries = append(entries, listEntry(endpoint.ID, endpoint.Addr, "in_service"))
	}
	return startProxy(t, fakes.List(1, true, entries...), options...), conns
}

// openAndServe sends a request and returns the client's answer as readAnswer reads it. If an attempt reaches an endpoint, it
// calls accept with the endpoint's connection.
func openAndServe[V any](client *fakes.Peer, conns chan *fakes.Peer, key string, accept func(upstream *fakes.Peer), readAnswer func() V) (answer V, accepted bool) {
	client.Send(openLine(key))
	got := make(chan V, 1)
	go func() { got <- readAnswer() }()
	select {
	case upstream := <-conns:
		upstream.ReadLine()
		accept(upstream)
		return <-got, true
	case answer = <-got:
		return answer, false
	}
}

// sendUp accepts a request on behalf of the endpoint.
func sendUp(upstream *fakes.Peer) { upstream.Send("UP r\r\n") }

// requestAnswer sends a request, accepts it if it reaches an endpoint, and returns the client's answer.
func requestAnswer(p *fakes.Peer, conns chan *fakes.Peer) string {
	line, accepted := openAndServe(p, conns, "key", sendUp, p.ReadLine)
	if !accepted {
		p.Close() // many may be rejected
	}
	return line
}

// expectNoConn checks that no connection to the endpoints waits in the channel.
func expectNoConn(t *testing.T, conns chan *fakes.Peer) {
	t.Helper()
	select {
	case p := <-conns:
		t.Fatalf("unexpected connection to an endpoint, which received %q", p.ReadLine())
	default:
	}
}
