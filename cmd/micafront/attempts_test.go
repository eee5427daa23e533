package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// nextAttemptOrAnswer returns what follows an attempt: another one, as "again", or the first word of the client's
// answer. After another attempt the client's answer arrives on the channel.
func nextAttemptOrAnswer(t *testing.T, conns chan *fakes.Peer, client *fakes.Peer) (what string, upstream *fakes.Peer, answer chan string) {
	t.Helper()
	answer = make(chan string, 1)
	go func() {
		l, _ := client.ReadLineErr()
		answer <- l
	}()
	select {
	case upstream = <-conns:
		upstream.ReadLine()
		return "again", upstream, answer
	case l := <-answer:
		word, _, _ := strings.Cut(l, " ")
		return word, nil, nil
	case <-time.After(fakes.WaitTimeout):
		t.Fatal("neither an attempt nor an answer in time")
	}
	return "", nil, nil
}

// endpointReactions are what an endpoint may do with a request, by name.
var endpointReactions = map[string]func(*fakes.Peer){
	"full":                func(s *fakes.Peer) { s.Send("BUSY\r\n") },
	"error":               func(s *fakes.Peer) { s.Send("ERR\r\n") },
	"invalid answer":      func(s *fakes.Peer) { s.Send("NO\r\n") },
	"move":                func(s *fakes.Peer) { s.Send("MOVE\r\n"); s.Close() },
	"end":                 func(s *fakes.Peer) { s.Close() },
	"partial line, end":   func(s *fakes.Peer) { s.Send("UP r"); s.Close() },
	"half-closed":         func(s *fakes.Peer) { s.CloseWrite() },
	"reset":               func(s *fakes.Peer) { s.SetLinger(0); s.Close() },
	"partial line, reset": func(s *fakes.Peer) { s.Send("B"); s.SetLinger(0); s.Close() },
	"too long":            func(s *fakes.Peer) { s.Send("UP " + strings.Repeat("x", 4096) + "\r\n") },
}

// retryCase is one attempt and what follows it.
type retryCase struct {
	effect    string
	scope     string // of the deduplication
	memory    float64
	endpoints []fakes.Entry
	reaction  string // of the endpoint
	want      string // what follows
}

// retryCases lists an unsafe class with each reaction, and other classes with some.
func retryCases() []retryCase {
	sameCell := []fakes.Entry{{Cell: 3}, {Cell: 3}}
	twoCells := []fakes.Entry{{Cell: 3}, {Cell: 4}}
	twoZones := []fakes.Entry{{Cell: 3}, {Cell: 4, Zone: "b"}}
	var all []retryCase
	for reaction := range endpointReactions {
		if reaction == "full" {
			all = append(all, retryCase{"unsafe", "all", 60, sameCell, reaction, "again"}, retryCase{"keyed", "cell", 0, twoZones, reaction, "again"})
			continue
		}
		all = append(all, retryCase{"unsafe", "all", 60, sameCell, reaction, "ERR"})
	}
	all = append(all,
		retryCase{"safe", "cell", 0, twoZones, "reset", "again"},
		retryCase{"keyed", "all", 60, twoZones, "reset", "again"},
		retryCase{"keyed", "all", 60, twoZones, "too long", "again"},
		retryCase{"keyed", "zone", 60, twoCells, "end", "again"},
		retryCase{"keyed", "zone", 60, twoZones, "end", "ERR"},
		retryCase{"keyed", "cell", 60, sameCell, "error", "again"},
		retryCase{"keyed", "cell", 60, twoCells, "error", "ERR"},
		retryCase{"keyed", "rack", 60, sameCell, "error", "ERR"}, // an unknown scope
		retryCase{"some", "all", 60, sameCell, "error", "ERR"},   // an unknown effect
		retryCase{"keyed", "all", 1e-6, sameCell, "end", "BUSY"}, // no repeat is recognized any more, but none does harm
		retryCase{"keyed", "cell", 1e-6, sameCell, "end", "ERR"}, // nor here, where one might
	)
	return all
}

// TestRetryAfterAttempt checks what may follow an attempt: another attempt, BUSY, which promises that a repeat is
// harmless, or ERR, which promises nothing. It depends on the effect of the class and on whether the attempt may have
// run, not on the names of classes.
func TestRetryAfterAttempt(t *testing.T) {
	for _, c := range retryCases() {
		t.Run(fmt.Sprint(c.effect, " ", c.scope, " ", c.memory, " ", c.reaction), func(t *testing.T) {
			t.Parallel()
			conns := make(chan *fakes.Peer, 8)
			var entries []string
			for i, e := range c.endpoints {
				endpoint := fakes.NewScriptedEndpoint(t, fmt.Sprint("s-", i), conns)
				e.ID, e.Addr = endpoint.ID, endpoint.Addr
				entries = append(entries, e.String())
			}
			proxy := startProxy(t, fakes.List(1, true, entries...),
				withClasses(classJSON("calm", "safe", "all", 60)+","+classJSON("mint", c.effect, c.scope, c.memory)))
			client := proxy.dial()
			client.Send(openLineOfClass("mint", "key", ",d=20000"))
			upstream := fakes.Await(t, conns)
			upstream.ReadLine()
			endpointReactions[c.reaction](upstream)
			got, next, clientAnswer := nextAttemptOrAnswer(t, conns, client)
			testkit.Equal(t, "what follows", c.want, got)
			if next != nil {
				sendUp(next)
				testkit.Equal(t, "answer", "UP r", fakes.Await(t, clientAnswer))
				return
			}
			testkit.Equal(t, "after the answer", "EOF", client.ReadLine())
			proxy.waitForCounter("attempts=1")
		})
	}
}

// TestEndpointClosesBeforeRequest checks that an endpoint that closes the connection before the request is written has
// not run it: even an unsafe request is rejected with BUSY.
func TestEndpointClosesBeforeRequest(t *testing.T) {
	t.Parallel()
	for name, act := range map[string]func(*fakes.Peer){
		"nothing sent": func(*fakes.Peer) {},
		"early answer": func(upstream *fakes.Peer) { upstream.Send("UP too early\r\n") },
		"full":         func(upstream *fakes.Peer) { upstream.Send("BUSY\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, delayed, unblock := startWithDelayedEndpoint(t, withClasses(classJSON("mint", "unsafe", "all", 0)))
			client := proxy.dial()
			client.Send(openLineOfClass("mint", "key", ",d=20000"))
			waitForSocketState(t, delayed.Addr().String(), socketSynSent)
			resume := proxy.suspend()
			upstream := acceptDelayed(t, delayed, unblock)
			act(upstream)
			upstream.CloseWrite()
			waitForSocketState(t, delayed.Addr().String(), socketCloseWait)
			resume()
			expectNoRequest(t, upstream)
			if got := client.ReadLine(); !strings.HasPrefix(got, "BUSY") {
				t.Errorf("answer %q", got)
			}
			proxy.waitForCounter("attempts=0")
		})
	}
}

// TestEndpointDrainsWhileDialing checks that an endpoint that begins to drain while a connection to it is dialed gets
// no request: its grace may be over by then.
func TestEndpointDrainsWhileDialing(t *testing.T) {
	t.Parallel()
	for name, list := range map[string]func(string) string{
		"drains": func(e string) string {
			return fakes.List(2, false, strings.Replace(e, "in_service", "terminating", 1))
		},
		"removed": func(e string) string {
			return fakes.List(2, false, strings.Replace(e, "in_service", "terminated", 1))
		},
		"not listed": func(string) string { return fakes.List(2, true, listEntry("s-new", "127.0.0.1:1", "in_service")) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, listener, unblock := startWithDelayedEndpoint(t)
			fakes.Await(t, proxy.discovery.Watches)
			client := proxy.dial()
			client.Send(openLine("key"))
			waitForSocketState(t, listener.Addr().String(), socketSynSent)
			proxy.discovery.Lists <- list(listEntry("s-late", listener.Addr().String(), "in_service"))
			if name == "not listed" {
				proxy.waitForCounter("lists=2")
			} else {
				proxy.waitForCounter("list_changes=1")
			}
			upstream := acceptDelayed(t, listener, unblock)
			expectNoRequest(t, upstream)
			if got := client.ReadLine(); !strings.HasPrefix(got, "BUSY") {
				t.Errorf("answer %q", got)
			}
		})
	}
}

// TestResumeAtDrainingEndpoint checks that a connection that is established at a draining endpoint, and whose packets
// now arrive at this proxy, continues there while the grace lasts.
func TestResumeAtDrainingEndpoint(t *testing.T) {
	t.Parallel()
	for grace, continues := range map[string]bool{`"DrainGrace":30`: true, `"DrainGrace":0`: false} {
		t.Run(grace, func(t *testing.T) {
			t.Parallel()
			proxy, listener, unblock := startWithDelayedEndpoint(t, withReplacement(`"DrainGrace":3`, grace))
			fakes.Await(t, proxy.discovery.Watches)
			client := proxy.dial()
			client.Send(openLineOfClass("feed", "key", ",d=20000,mid=1"))
			waitForSocketState(t, listener.Addr().String(), socketSynSent)
			proxy.discovery.Lists <- fakes.List(2, false, listEntry("s-late", listener.Addr().String(), "terminating"))
			proxy.waitForCounter("list_changes=1")
			upstream := acceptDelayed(t, listener, unblock)
			if !continues {
				expectNoRequest(t, upstream)
				return
			}
			if line := upstream.ReadLine(); !strings.HasPrefix(line, "OPEN ") {
				t.Fatalf("the endpoint got %q", line)
			}
			sendUp(upstream)
			testkit.Equal(t, "answer", "UP r", client.ReadLine())
		})
	}
}

// TestCanceledRequestNeverArrives checks that a request that an endpoint's machine has not received in full when its
// attempt is canceled never arrives there: it might run beside the next attempt, or after the client was answered that
// nothing will.
func TestCanceledRequestNeverArrives(t *testing.T) {
	t.Parallel()
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		return errors.Join(controlErr, err)
	}}
	listener, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	proxy := startProxy(t, fakes.List(1, true, listEntry("s-1", listener.Addr().String(), "in_service")), withClasses(classJSON("mint", "unsafe", "all", 0)))
	client := proxy.dial()
	client.Send(openLineOfClass("mint", "key", ",d=1000,x="+strings.Repeat("x", 4000)))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s := fakes.NewPeer(t, conn) // which does not read yet
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
	proxy.waitForCounter("outcome_cancelled=1")
	if line := s.ReadLine(); line != "RST" && !strings.Contains(line, "|") {
		t.Errorf("the request arrived after its attempt was canceled: %.40q…", line)
	}
}

// TestTwoEventsInOneLoopIteration checks that two events of one iteration, in either order, give one answer and leave
// no state.
func TestTwoEventsInOneLoopIteration(t *testing.T) {
	type ends struct{ client, upstream *fakes.Peer }
	cases := map[string]func(ends){
		"answer, client closed":         func(e ends) { e.upstream.Send("UP r\r\n"); e.client.Close() },
		"answer, client reset":          func(e ends) { e.upstream.Send("UP r\r\n"); e.client.SetLinger(0); e.client.Close() },
		"client reset, answer":          func(e ends) { e.client.SetLinger(0); e.client.Close(); e.upstream.Send("UP r\r\n") },
		"reset, client closed":          func(e ends) { e.upstream.SetLinger(0); e.upstream.Close(); e.client.Close() },
		"client closed, reset":          func(e ends) { e.client.Close(); e.upstream.SetLinger(0); e.upstream.Close() },
		"error, client reset":           func(e ends) { e.upstream.Send("ERR\r\n"); e.client.SetLinger(0); e.client.Close() },
		"full, client closed":           func(e ends) { e.upstream.Send("BUSY\r\n"); e.client.Close() },
		"answer and end, client closed": func(e ends) { e.upstream.Send("UP r\r\nBYE\r\n"); e.upstream.Close(); e.client.Close() },
		"both closed":                   func(e ends) { e.upstream.Close(); e.client.Close() },
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoints(t, 2, withAdminListener)
			client := proxy.dial()
			client.Send(openLine("key"))
			upstream := fakes.Await(t, conns)
			upstream.ReadLine()
			resume := proxy.suspend()
			act(ends{client, upstream})
			waitForArrival(t, client)
			waitForArrival(t, upstream)
			resume()
			upstream.Close() // ends an established connection
			proxy.waitForMetrics(map[string]string{"svc.pending": "0"})
			select {
			case next := <-conns: // dialed before the client's close was seen
				expectNoRequest(t, next)
			default:
			}
			proxy.waitForCounter("attempts=1")
		})
	}
}

// TestDuplicateRequestID checks that a request under the id of one in progress gets one answer, and that the first
// continues; afterwards the id may be used again.
func TestDuplicateRequestID(t *testing.T) {
	t.Parallel()
	proxy, conns := startWithEndpoint(t, withClasses(classJSON("mint", "unsafe", "all", 0)))
	line := openLineOfClass("mint", "key", ",d=20000")
	client, twin := proxy.dial(), proxy.dial()
	client.Send(line)
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	twin.Send(line)
	testkit.Equal(t, "while it is in progress", []string{"ERR SYNTAX", "EOF"}, []string{twin.ReadLine(), twin.ReadLine()})
	upstream.Send("ERR\r\n")
	testkit.Equal(t, "the request itself", []string{"ERR", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
	again := proxy.dial()
	again.Send(line)
	upstream = fakes.Await(t, conns)
	upstream.ReadLine()
	sendUp(upstream)
	testkit.Equal(t, "once it is over", "UP r", again.ReadLine())
	proxy.waitForCounter("attempts=2")
}

// TestAttemptOutcomes checks that each outcome ends the attempt, and that another endpoint gets the next one after the
// first connection has been closed.
func TestAttemptOutcomes(t *testing.T) {
	for name, act := range map[string]func(*fakes.Peer){
		"outcome_full":      func(upstream *fakes.Peer) { upstream.Send("BUSY\r\n") },
		"outcome_error":     func(upstream *fakes.Peer) { upstream.Send("ERR\r\n") },
		"bad_lines":         func(upstream *fakes.Peer) { upstream.Send("NO\r\n") },
		"overlong":          func(upstream *fakes.Peer) { upstream.Send(strings.Repeat("x", 5000)) },
		"outcome_cancelled": func(upstream *fakes.Peer) { upstream.Send("MO"); upstream.Send("VE\r\n") },
		"outcome_reset":     func(upstream *fakes.Peer) { upstream.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conns := make(chan *fakes.Peer, 64)
			a, b := fakes.NewScriptedEndpoint(t, "s-1", conns), fakes.NewScriptedEndpoint(t, "s-2", conns)
			proxy := startProxy(t, fakes.List(1, true, listEntry(a.ID, a.Addr, "in_service"), listEntry(b.ID, b.Addr, "in_service")))
			client := proxy.dial()
			client.Send("OPEN id key c=feed,d=60000\r\n")
			upstream := fakes.Await(t, conns)
			upstream.ReadLine()
			act(upstream)
			next := fakes.Await(t, conns)
			next.ReadLine()
			if upstream.LocalAddr().String() == next.LocalAddr().String() {
				t.Error("both attempts at one endpoint")
			}
			next.Send("UP r\r\n")
			testkit.Equal(t, "answer", "UP r", client.ReadLine())
			proxy.waitForCounter(name + "=1")
			proxy.waitForCounter("attempts=2")
		})
	}
}
