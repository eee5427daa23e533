package main

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// TestAnswerAndCloseInOneSegment checks that everything that an endpoint sends up to its close reaches the client, whether
// it arrives together or byte by byte.
func TestAnswerAndCloseInOneSegment(t *testing.T) {
	for _, c := range []struct {
		sent string
		want []string
	}{
		{"UP r\r\n", []string{"UP r", "EOF"}},
		{"UP r\r\na\r\nb\r\n", []string{"UP r", "a", "b", "EOF"}},
		{"UP r\r\na\r\nhalf", []string{"UP r", "a", "half|EOF"}},
		{"UP r\r\nBYE\r\n", []string{"UP r", "BYE", "EOF"}},
		{"BYE\r\n", []string{"BYE", "EOF"}},
	} {
		for _, together := range []bool{true, false} {
			t.Run(fmt.Sprintf("%q together %v", c.sent, together), func(t *testing.T) {
				t.Parallel()
				proxy, conns := startWithEndpoint(t)
				p := proxy.dial()
				p.Send(openLine("key"))
				upstream := fakes.Await(t, conns)
				upstream.ReadLine()
				if together {
					proxy.whileSuspended(func() { upstream.Send(c.sent); upstream.Close() })
				} else {
					sendByteByByte(t, upstream, c.sent)
					upstream.Close()
				}
				testkit.Equal(t, "client", c.want, readToEnd(p))
				proxy.waitForCounter("served=1")
			})
		}
	}
}

// TestByteByByte checks that lines that arrive one byte at a time are relayed unchanged in both directions.
func TestByteByByte(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	client := proxy.dial()
	sendByteByByte(t, client, "PING\r\n")
	testkit.Equal(t, "readiness", "PONG", client.ReadLine())
	first := openLine("key")
	sendByteByByte(t, client, first)
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	sendByteByByte(t, upstream, "UP r\r\n")
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
	for i := range 20 {
		up, down := fmt.Sprint("M ", i), fmt.Sprint("N ", i)
		sendByteByByte(t, client, up+"\r\n")
		testkit.Equal(t, "to the endpoint", up, upstream.ReadLine())
		sendByteByByte(t, upstream, down+"\r\n")
		testkit.Equal(t, "to the client", down, client.ReadLine())
	}
	sendByteByByte(t, upstream, "BYE\r\n")
	upstream.Close()
	testkit.Equal(t, "end", []string{"BYE", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
	client.Close()
	proxy.waitForMetrics(map[string]string{"svc.pending": "0", "svc.downstream_requests.feed.completed": "1"})
}

// TestRequestAndRelay checks a complete connection: readiness check, request, answer, lines in both directions, half-close
// and EOF.
func TestRequestAndRelay(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client := proxy.dial()
	client.Send("PING\r\n")
	testkit.Equal(t, "readiness", "PONG", client.ReadLine())
	for _, part := range []string{"OPEN 9b1f 7f", "3a c=feed,x=1,d=600", "00,g=5c\r", "\n"} {
		client.Send(part)
	}
	upstream := fakes.Await(t, conns)
	first := upstream.ReadLine()
	// The proxy replaces d with the time left and relays the rest unchanged.
	if !regexp.MustCompile(`^OPEN 9b1f 7f3a c=feed,x=1,d=[1-5]\d{4},g=5c$`).MatchString(first) {
		t.Errorf("first line %q", first)
	}
	upstream.Send("UP r1\r\nnews 1\r\nhalf")
	testkit.Equal(t, "answer", []string{"UP r1", "news 1"}, []string{client.ReadLine(), client.ReadLine()})
	client.Send("M 1\r\nM 2\r\nM")
	client.Send(" 3\r\n")
	testkit.Equal(t, "to the endpoint", []string{"M 1", "M 2", "M 3"}, []string{upstream.ReadLine(), upstream.ReadLine(), upstream.ReadLine()})
	// After the client's half-close, the lines that it sent and the lines that the endpoint still sends arrive.
	client.Send("last")
	client.CloseWrite()
	testkit.Equal(t, "to the endpoint at the end", "last|EOF", upstream.ReadLine())
	upstream.Send(" done\r\nBYE\r\n")
	upstream.Close()
	testkit.Equal(t, "after half-close", []string{"half done", "BYE", "EOF"}, []string{client.ReadLine(), client.ReadLine(), client.ReadLine()})
	proxy.waitForCounter("open=0")
}

// TestResumedConnection checks that the proxy retries a client that resumes a connection at the connection's endpoint, and
// relays a reset as a reset.
func TestResumedConnection(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client := proxy.dial()
	client.Send("OPEN id key c=feed,d=60000,at=s-1\r\n")
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	upstream.Close() // the proxy retries
	upstream = fakes.Await(t, conns)
	upstream.ReadLine()
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
	upstream.SetLinger(0)
	upstream.Close()
	testkit.Equal(t, "reset relayed", "RST", client.ReadLine())
}

// TestLoadReportIsLatency checks settings under which endpoints report latency instead of load: LOAD then carries the
// latency of a message in milliseconds, and the proxy moves clients, between two lines, from an endpoint far above the
// latency objective.
func TestLoadReportIsLatency(t *testing.T) {
	proxy, conns := startWithEndpoints(t, 5, func(proxy *proxyProcess) { // with capacity for the moved clients
		proxy.extraSettings = `"FamilyInfo":{"MessageAim":[0.05],"TellsDelay":true,"TellsLoad":false},`
	})
	client, upstream := proxy.connect(conns, "key")
	// Invalid reports are relayed and move no client.
	invalid := []string{"LOAD 1e12", "LOAD -5", "LOAD NaN", "LOAD", "LOAD x"}
	upstream.Send(strings.Join(invalid, "\r\n") + "\r\n")
	for _, l := range invalid {
		testkit.Equal(t, "invalid load report", l, client.ReadLine())
	}
	proxy.waitForCounter("absurd_loads=5")
	upstream.Send("a\r\nLOAD 3000\r\nb")
	testkit.Equal(t, "complete lines, then the move", []string{"a", "LOAD 3000", "MOVE"},
		[]string{client.ReadLine(), client.ReadLine(), client.ReadLine()})
	testkit.Equal(t, "end", "EOF", client.ReadLine())
	proxy.waitForCounter("moves=1")
}

// TestUnresponsiveEndpoint checks that the proxy moves the client of an endpoint that does not answer a line, within 7 s.
// The balancer decides by the age of the unanswered line, or the relay if no latency objective for messages is set.
func TestUnresponsiveEndpoint(t *testing.T) {
	for counter, extra := range map[string]string{
		"moves":        `"FamilyInfo":{"MessageAim":[0.05]},`,
		"moves_silent": "",
	} {
		t.Run(counter, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoints(t, 5, withSettings(extra)) // with capacity for the moved clients
			client, upstream := proxy.connect(conns, "key")
			client.Send("M 1\r\n")
			testkit.Equal(t, "to the endpoint", "M 1", upstream.ReadLine())
			testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
			proxy.waitForCounter(counter + "=1")
		})
	}
}

// TestSlowPeers checks that a peer that starts to read late receives everything in order, although the proxy buffers little
// of it.
func TestSlowPeers(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client, upstream := proxy.connect(conns, "key")
	const lines = 1 << 16
	for _, direction := range []struct{ from, to *fakes.Peer }{{client, upstream}, {upstream, client}} {
		go func() {
			for i := range lines {
				fmt.Fprintf(direction.from, "%064d\r\n", i)
			}
		}()
	}
	for _, p := range []*fakes.Peer{client, upstream} { // the second peer starts to read when the first has read everything
		for i := range lines {
			if got, want := p.ReadLine(), fmt.Sprintf("%064d", i); got != want {
				t.Fatalf("line %d: %q", i, got)
			}
		}
	}
}
