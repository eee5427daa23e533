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

// nextAttemptOrAnswer waits for what follows an attempt. For another attempt it returns "again", the attempt's connection
// and a channel that receives the client's answer; otherwise it returns the first word of the client's answer.
func nextAttemptOrAnswer(t *testing.T, conns chan *fakes.Peer, client *fakes.Peer) (result string, upstream *fakes.Peer, answer chan string) {
	t.Helper()
	answer = make(chan string, 1)
	go func() {
		line, _ := client.ReadLineErr()
		answer <- line
	}()
	select {
	case upstream = <-conns:
		upstream.ReadLine()
		return "again", upstream, answer
	case line := <-answer:
		word, _, _ := strings.Cut(line, " ")
		return word, nil, nil
	case <-time.After(fakes.WaitTimeout):
		t.Fatal("timed out waiting for another attempt or an answer")
	}
	return "", nil, nil
}

// endpointReactions are the possible reactions of an endpoint to a request, by name.
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

// retryCase is an attempt with the result that must follow it.
type retryCase struct {
	effect      string
	scope       string  // scope of the deduplication
	dedupWindow float64 // in seconds
	endpoints   []fakes.Entry
	reaction    string // key of endpointReactions
	want        string // result of nextAttemptOrAnswer
}

// retryCases returns cases of an unsafe class with every reaction and of other classes with some reactions.
func retryCases() []retryCase {
	sameCell := []fakes.Entry{{Cell: 3}, {Cell: 3}}
	twoCells := []fakes.Entry{{Cell: 3}, {Cell: 4}}
	twoZones := []fakes.Entry{{Cell: 3}, {Cell: 4, Zone: "b"}}
	var cases []retryCase
	for reaction := range endpointReactions {
		if reaction == "full" {
			cases = append(cases, retryCase{"unsafe", "all", 60, sameCell, reaction, "again"}, retryCase{"keyed", "cell", 0, twoZones, reaction, "again"})
			continue
		}
		cases = append(cases, retryCase{"unsafe", "all", 60, sameCell, reaction, "ERR"})
	}
	cases = append(cases,
		retryCase{"safe", "cell", 0, twoZones, "reset", "again"},
		retryCase{"keyed", "all", 60, twoZones, "reset", "again"},
		retryCase{"keyed", "all", 60, twoZones, "too long", "again"},
		retryCase{"keyed", "zone", 60, twoCells, "end", "again"},
		retryCase{"keyed", "zone", 60, twoZones, "end", "ERR"},
		retryCase{"keyed", "cell", 60, sameCell, "error", "again"},
		retryCase{"keyed", "cell", 60, twoCells, "error", "ERR"},
		retryCase{"keyed", "rack", 60, sameCell, "error", "ERR"}, // an unknown scope
		retryCase{"some", "all", 60, sameCell, "error", "ERR"},   // an unknown effect
		retryCase{"keyed", "all", 1e-6, sameCell, "end", "BUSY"}, // repeats are no longer recognized, but do no harm
		retryCase{"keyed", "cell", 1e-6, sameCell, "end", "ERR"}, // repeats are no longer recognized, and may do harm
	)
	return cases
}

// TestRetryAfterAttempt checks what follows an attempt: another attempt, BUSY, which promises that a repeat is harmless, or
// ERR, which promises nothing. The result depends on the effect of the class and on whether the attempt may have run, not on
// the name of the class.
func TestRetryAfterAttempt(t *testing.T) {
	for _, c := range retryCases() {
		t.Run(fmt.Sprint(c.effect, " ", c.scope, " ", c.dedupWindow, " ", c.reaction), func(t *testing.T) {
			t.Parallel()
			conns := make(chan *fakes.Peer, 8)
			var entries []string
			for i, e := range c.endpoints {
				endpoint := fakes.NewScriptedEndpoint(t, fmt.Sprint("s-", i), conns)
				e.ID, e.Addr = endpoint.ID, endpoint.Addr
				entries = append(entries, e.String())
			}
			proxy := startProxy(t, fakes.List(1, true, entries...),
				withClasses(classJSON("calm", "safe", "all", 60)+","+classJSON("mint", c.effect, c.scope, c.dedupWindow)))
			client := proxy.dial()
			client.Send(openLineOfClass("mint", "key", ",d=20000"))
			upstream := fakes.Await(t, conns)
			upstream.ReadLine()
			endpointReactions[c.reaction](upstream)
			got, next, clientAnswer := nextAttemptOrAnswer(t, conns, client)
			testkit.Equal(t, "result", c.want, got)
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

// TestEndpointClosesBeforeRequest checks that the proxy rejects even an unsafe request with BUSY if the endpoint closes the
// connection before the request is written, because the endpoint cannot have run it.
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

// TestEndpointDrainsWhileDialing checks that an endpoint that starts to drain while the proxy dials it receives no request,
// because its drain grace may have ended by the time the connection is established.
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

// TestResumeAtDrainingEndpoint checks that a connection established at a draining endpoint, whose packets now arrive at this
// proxy, continues at that endpoint until the drain grace ends.
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
				t.Fatalf("the endpoint received %q, want a request", line)
			}
			sendUp(upstream)
			testkit.Equal(t, "answer", "UP r", client.ReadLine())
		})
	}
}

// TestCanceledRequestNeverArrives checks that a request never reaches the endpoint if its attempt is canceled before the
// endpoint's machine has received it completely. Otherwise the request might run concurrently with the next attempt, or
// after the client was told that nothing will run.
func TestCanceledRequestNeverArrives(t *testing.T) {
	t.Parallel()
	smallBuffer := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		return errors.Join(controlErr, err)
	}}
	listener, err := smallBuffer.Listen(t.Context(), "tcp", "127.0.0.1:0")
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
	upstream := fakes.NewPeer(t, conn) // does not read yet, so that the request stays partly unsent
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
	proxy.waitForCounter("outcome_cancelled=1")
	if line := upstream.ReadLine(); line != "RST" && !strings.Contains(line, "|") {
		t.Errorf("the request arrived after its attempt was canceled: %.40q…", line)
	}
}

// TestTwoEventsInOneLoopIteration checks that two events in one iteration of the event loop, in either order, cause no
// second attempt and leave no state.
func TestTwoEventsInOneLoopIteration(t *testing.T) {
	type connection struct{ client, upstream *fakes.Peer }
	cases := map[string]func(connection){
		"answer, client closed":         func(c connection) { c.upstream.Send("UP r\r\n"); c.client.Close() },
		"answer, client reset":          func(c connection) { c.upstream.Send("UP r\r\n"); c.client.SetLinger(0); c.client.Close() },
		"client reset, answer":          func(c connection) { c.client.SetLinger(0); c.client.Close(); c.upstream.Send("UP r\r\n") },
		"reset, client closed":          func(c connection) { c.upstream.SetLinger(0); c.upstream.Close(); c.client.Close() },
		"client closed, reset":          func(c connection) { c.client.Close(); c.upstream.SetLinger(0); c.upstream.Close() },
		"error, client reset":           func(c connection) { c.upstream.Send("ERR\r\n"); c.client.SetLinger(0); c.client.Close() },
		"full, client closed":           func(c connection) { c.upstream.Send("BUSY\r\n"); c.client.Close() },
		"answer and end, client closed": func(c connection) { c.upstream.Send("UP r\r\nBYE\r\n"); c.upstream.Close(); c.client.Close() },
		"both closed":                   func(c connection) { c.upstream.Close(); c.client.Close() },
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
			act(connection{client, upstream})
			waitForArrival(t, client)
			waitForArrival(t, upstream)
			resume()
			upstream.Close() // closes the connection if it was established
			proxy.waitForMetrics(map[string]string{"svc.pending": "0"})
			select {
			case next := <-conns: // dialed before the proxy noticed that the client had closed
				expectNoRequest(t, next)
			default:
			}
			proxy.waitForCounter("attempts=1")
		})
	}
}

// TestDuplicateRequestID checks that a request with the id of a request in progress is rejected while the first one
// continues, and that the id can be used again afterwards.
func TestDuplicateRequestID(t *testing.T) {
	t.Parallel()
	proxy, conns := startWithEndpoint(t, withClasses(classJSON("mint", "unsafe", "all", 0)))
	line := openLineOfClass("mint", "key", ",d=20000")
	client, duplicate := proxy.dial(), proxy.dial()
	client.Send(line)
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	duplicate.Send(line)
	testkit.Equal(t, "duplicate", []string{"ERR SYNTAX", "EOF"}, []string{duplicate.ReadLine(), duplicate.ReadLine()})
	upstream.Send("ERR\r\n")
	testkit.Equal(t, "first request", []string{"ERR", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
	again := proxy.dial()
	again.Send(line)
	upstream = fakes.Await(t, conns)
	upstream.ReadLine()
	sendUp(upstream)
	testkit.Equal(t, "request with the same id afterwards", "UP r", again.ReadLine())
	proxy.waitForCounter("attempts=2")
}

// TestAttemptOutcomes checks that every outcome ends the attempt and that the next attempt goes to another endpoint. The
// case name is the counter that the outcome increments.
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
				t.Error("both attempts went to the same endpoint")
			}
			next.Send("UP r\r\n")
			testkit.Equal(t, "answer", "UP r", client.ReadLine())
			proxy.waitForCounter(name + "=1")
			proxy.waitForCounter("attempts=2")
		})
	}
}
