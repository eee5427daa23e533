package main

import (
	"fmt"
	"io"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
	"golang.org/x/sys/unix"
)

// TestDescriptorsExhaustedByAttempts checks that a client is answered BUSY by its deadline if no descriptor is left for its
// attempt, because nothing has run.
func TestDescriptorsExhaustedByAttempts(t *testing.T) {
	t.Parallel()
	proxy, conns := startWithEndpoint(t, withMaxDescriptors(64), withClasses(classJSON("mint", "unsafe", "all", 0)))
	var clients []*fakes.Peer
	rejected := 0
	for i := range 60 {
		client := proxy.dial()
		clients = append(clients, client)
		client.Send(openLineOfClass("mint", fmt.Sprint("key", i), ",d=20000"))
		result, upstream, clientAnswer := nextAttemptOrAnswer(t, conns, client)
		switch result {
		case "again":
			sendUp(upstream)
			testkit.Equal(t, "answer", "UP r", fakes.Await(t, clientAnswer))
		case "BUSY":
			rejected++
			client.Close()
		default:
			t.Fatalf("client %d got %q", i, result)
		}
	}
	if rejected == 0 {
		t.Error("all clients were served, want some rejected for lack of descriptors")
	}
	for _, client := range clients {
		client.Close()
	}
	proxy.waitForCounter("open=0")
}

// TestEvictedClientIsAnswered checks that an idle client that is evicted to free a descriptor gets an answer, even in the
// middle of its first line.
func TestEvictedClientIsAnswered(t *testing.T) {
	proxy, _ := startWithEndpoint(t, withMaxDescriptors(48)) // allows fewer idle clients than are accepted in one iteration of the event loop
	var clients []*fakes.Peer
	proxy.whileSuspended(func() {
		for range 20 {
			p := proxy.dial()
			p.Send("OPEN half a li")
			clients = append(clients, p)
		}
	})
	busy := 0
	for _, p := range clients {
		switch got := strings.Join(readToEnd(p), " "); {
		case strings.HasPrefix(got, "BUSY ") && strings.HasSuffix(got, " EOF"):
			busy++
		case got != "ERR SYNTAX EOF":
			t.Errorf("answer %q", got)
		}
	}
	if busy != 12 { // of 20, all above the limit of idle clients, which is a sixth of 48
		t.Errorf("%d clients were evicted with an answer, want 12", busy)
	}
	proxy.waitForCounter("evicted=12")
}

// TestRequestFromEvictionCandidate checks that an idle client is served if its request arrives in the iteration of the event
// loop in which it would be evicted.
func TestRequestFromEvictionCandidate(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withMaxDescriptors(96))
	var clients []*fakes.Peer
	for range 16 {
		p := proxy.dial()
		p.Send("PING\r\n")
		p.ReadLine()
		clients = append(clients, p)
	}
	proxy.whileSuspended(func() {
		proxy.dial()
		clients[0].Send(openLine("key"))
	})
	answer, upstream := make(chan string, 1), fakes.Await(t, conns)
	go func() { answer <- clients[0].ReadLine() }()
	upstream.ReadLine()
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", <-answer)
	proxy.waitForCounter("evicted=0")
}

// TestRequestAtIdleTimeout checks that an idle client is served if its request arrives in the iteration of the event loop in
// which its idle timeout expires.
func TestRequestAtIdleTimeout(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client := proxy.dial()
	client.Send("PING\r\n")
	testkit.Equal(t, "readiness", "PONG", client.ReadLine())
	proxy.whileSuspended(func() {
		time.Sleep(3 * time.Second) // the idle timeout expires, which the proxy notices before it reads the request
		client.Send(openLine("key"))
	})
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
}

// TestNoDescriptorForAccept checks that clients wait while no descriptor is left for them, that the proxy does not retry in
// a busy loop, and that it serves the clients once a descriptor is available.
func TestNoDescriptorForAccept(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	fakes.Await(t, proxy.discovery.Watches)
	pid := proxy.command.Process.Pid
	var oldLimit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &oldLimit); err != nil {
		t.Fatal(err)
	}
	noneLeft := oldLimit
	noneLeft.Cur = 3
	began := time.Now()
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &noneLeft, nil); err != nil {
		t.Fatal(err)
	}
	client := proxy.dial()
	client.Send(openLine("key"))
	errorsSoFar := func() (n int) {
		proxy.command.Process.Signal(syscall.SIGUSR1)
		text := proxy.stderr.String()
		if i := strings.LastIndex(text, " accept_errors="); i >= 0 {
			_, _ = fmt.Sscanf(text[i:], " accept_errors=%d", &n) // an incomplete line counts as 0
		}
		return n
	}
	for errorsSoFar() < 20 && time.Since(began) < fakes.WaitTimeout {
		time.Sleep(20 * time.Millisecond)
	}
	// The proxy retries once in 10 ms. The counter may have been read before the clock.
	if n, most := errorsSoFar(), int(time.Since(began)/(10*time.Millisecond))+1; n < 20 || n > most {
		t.Errorf("%d accepts failed, want 20 to %d", n, most)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &oldLimit, nil); err != nil {
		t.Fatal(err)
	}
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
}

// TestRejectedClientsDoNotBlockNewOnes checks that clients that stay connected after an error answer do not use up the
// descriptors that a new client needs.
func TestRejectedClientsDoNotBlockNewOnes(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withMaxDescriptors(96))
	for range 60 {
		p := proxy.dial()
		p.Send("X\r\n")
		testkit.Equal(t, "answer", "ERR SYNTAX", p.ReadLine())
	}
	proxy.connect(conns, "key")
}

// TestIdleClientsAreEvicted checks that the proxy closes clients that send nothing, a slow partial line or only PING, and
// that many such clients leave enough descriptors for requests.
func TestIdleClientsAreEvicted(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withMaxDescriptors(96))
	slow, began := proxy.dial(), time.Now()
	go func() {
		for t.Context().Err() == nil {
			if _, err := io.WriteString(slow, "O"); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	testkit.Equal(t, "answer to a slow client", "ERR SYNTAX", slow.ReadLine())
	if took := time.Since(began); took > 10*time.Second { // 2.5 s on an idle machine
		t.Errorf("a slow client was closed only after %v", took)
	}
	var clients []*fakes.Peer
	for i := range 300 {
		p := proxy.dial()
		if clients = append(clients, p); i%3 == 0 {
			p.Send("PING\r\n")
		}
		if i%50 == 0 {
			proxy.connect(conns, fmt.Sprint(i))
		}
	}
	for i, p := range clients {
		if i%3 == 0 {
			p.ReadLine() // PONG, or the end of the connection
		}
		for l := p.ReadLine(); l != "EOF" && l != "RST"; l = p.ReadLine() {
		}
	}
	proxy.waitForCounter("open=6")
	if regexp.MustCompile(` evicted=0 .* open=6 `).MatchString(proxy.stderr.String()) {
		t.Error("no idle client was evicted")
	}
}

// TestOutOfDescriptors checks that the proxy still serves requests after idle clients used up its descriptors and
// disconnected.
func TestOutOfDescriptors(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withMaxDescriptors(48))
	var idle []*fakes.Peer
	for range 100 {
		idle = append(idle, proxy.dial())
	}
	for _, p := range idle {
		p.Close()
	}
	proxy.connect(conns, "key")
	proxy.waitForCounter("up=1")
}
