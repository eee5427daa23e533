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

// TestDescriptorsExhaustedByAttempts checks that a client for whose attempt no descriptor is left is answered BUSY by
// its deadline: nothing has run.
func TestDescriptorsExhaustedByAttempts(t *testing.T) {
	t.Parallel()
	proxy, conns := startWithEndpoint(t, withMaxDescriptors(64), withClasses(classJSON("mint", "unsafe", "all", 0)))
	var all []*fakes.Peer
	rejected := 0
	for i := range 60 {
		client := proxy.dial()
		all = append(all, client)
		client.Send(openLineOfClass("mint", fmt.Sprint("key", i), ",d=20000"))
		what, upstream, clientAnswer := nextAttemptOrAnswer(t, conns, client)
		switch what {
		case "again":
			sendUp(upstream)
			testkit.Equal(t, "answer", "UP r", fakes.Await(t, clientAnswer))
		case "BUSY":
			rejected++
			client.Close()
		default:
			t.Fatalf("client %d got %q", i, what)
		}
	}
	if rejected == 0 {
		t.Error("all of them were served")
	}
	for _, client := range all {
		client.Close()
	}
	proxy.waitForCounter("open=0")
}

// TestEvictedClientIsAnswered checks that a client that is evicted to free a descriptor gets an answer, whatever it was
// sending.
func TestEvictedClientIsAnswered(t *testing.T) {
	proxy, _ := startWithEndpoint(t, withMaxDescriptors(48)) // fewer idle clients than are accepted in one iteration
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
	if busy != 12 { // all but the limit of idle clients, a sixth of 48
		t.Errorf("%d were evicted with an answer", busy)
	}
	proxy.waitForCounter("evicted=12")
}

// TestRequestFromEvictionCandidate checks that an idle client that sends a request just when it would be evicted is
// served.
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
	l, s := make(chan string, 1), fakes.Await(t, conns)
	go func() { l <- clients[0].ReadLine() }()
	s.ReadLine()
	s.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", <-l)
	proxy.waitForCounter("evicted=0")
}

// TestRequestAtIdleTimeout checks that an idle client whose request arrives in the same iteration as its idle timeout is
// served.
func TestRequestAtIdleTimeout(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client := proxy.dial()
	client.Send("PING\r\n")
	testkit.Equal(t, "readiness", "PONG", client.ReadLine())
	proxy.whileSuspended(func() {
		time.Sleep(3 * time.Second) // the idle timeout ends, which the proxy sees first
		client.Send(openLine("key"))
	})
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
}

// TestNoDescriptorForAccept checks that clients wait while no descriptor is left, without a busy loop, and are served
// once there is one.
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
			_, _ = fmt.Sscanf(text[i:], " accept_errors=%d", &n) // a line that is not complete yet counts as 0
		}
		return n
	}
	for errorsSoFar() < 20 && time.Since(began) < fakes.WaitTimeout {
		time.Sleep(20 * time.Millisecond)
	}
	// One in 10 ms; the counter that is read may be older than the clock.
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

// TestRejectedClientsDoNotBlockNewOnes checks that clients that were answered with an error and stay do not keep out a
// new one.
func TestRejectedClientsDoNotBlockNewOnes(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withMaxDescriptors(96))
	for range 60 {
		p := proxy.dial()
		p.Send("X\r\n")
		testkit.Equal(t, "answer", "ERR SYNTAX", p.ReadLine())
	}
	proxy.connect(conns, "key")
}

// TestIdleClientsAreEvicted checks that clients that send nothing, half a line or only PING are closed in time, also
// one that sends slowly, and that many of them leave descriptors to requests.
func TestIdleClientsAreEvicted(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withMaxDescriptors(96))
	trickle, began := proxy.dial(), time.Now()
	go func() {
		for t.Context().Err() == nil {
			if _, err := io.WriteString(trickle, "O"); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	testkit.Equal(t, "a slow client", "ERR SYNTAX", trickle.ReadLine())
	if took := time.Since(began); took > 10*time.Second { // 2.5 s on an idle machine
		t.Errorf("a slow client was kept for %v", took)
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
			p.ReadLine() // PONG or the end
		}
		for l := p.ReadLine(); l != "EOF" && l != "RST"; l = p.ReadLine() {
		}
	}
	proxy.waitForCounter("open=6")
	if regexp.MustCompile(` evicted=0 .* open=6 `).MatchString(proxy.stderr.String()) {
		t.Error("nobody was evicted")
	}
}

// TestOutOfDescriptors checks that the proxy survives running out of descriptors.
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
