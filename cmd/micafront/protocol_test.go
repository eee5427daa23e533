package main

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// TestIdleClientIsAnswered checks that the proxy answers an idle client before it closes the connection, because the client
// may be sending a request at that moment.
func TestIdleClientIsAnswered(t *testing.T) {
	proxy, _ := startWithEndpoint(t)
	silent, ready := proxy.dial(), proxy.dial()
	ready.Send("PING\r\n")
	testkit.Equal(t, "answer to a client that sent nothing", []string{"BUSY", "EOF"}, readToEnd(silent))
	testkit.Equal(t, "answer to a client that checked readiness", []string{"PONG", "EOF"}, readToEnd(ready))
}

// TestMalformedRequests checks that malformed first lines are answered with a syntax error and counted.
func TestMalformedRequests(t *testing.T) {
	proxy, _ := startWithEndpoint(t)
	for _, in := range []string{
		"HELLO\r\n", "\r\n", "OPEN\r\n", "OPEN id key\r\n", "OPEN id key c=feed,d=-1\r\n",
		"OPEN id key c=feed,d=1,d=2\r\n", "OPEN id key c=feed,d=9999999999999999999999\r\n",
		"OPEN id key c=feed,h=NaN,d=5\r\n", "OPEN id key c=feed,d\r\n", "OPEN id key c=feed,d=5\n",
		"OPEN i\x00d key c=feed,d=5\r\n", strings.Repeat("x", 4097),
	} {
		client := proxy.dial()
		client.Send(in)
		testkit.Equal(t, fmt.Sprintf("answer to %.40q", in), []string{"ERR SYNTAX", "EOF"},
			[]string{client.ReadLine(), client.ReadLine()})
	}
	proxy.waitForCounter("bad_lines=11")
	proxy.waitForCounter("overlong=1")
	// No connection can be established at an endpoint that is not in the list.
	client := proxy.dial()
	client.Send("OPEN id key c=feed,d=60000,at=s-9\r\n")
	testkit.Equal(t, "unknown endpoint", "ERR", client.ReadLine())
}

// TestRejectedImmediately checks that a request that cannot be placed is rejected immediately, with a retry delay, and not
// at its deadline.
func TestRejectedImmediately(t *testing.T) {
	proxy := startProxy(t, fakes.List(1, true))
	client := proxy.dial()
	client.Send("OPEN id key c=feed,d=3600000\r\n")
	if got := client.ReadLine(); !regexp.MustCompile(`^BUSY [1-9]\d*$`).MatchString(got) {
		t.Errorf("answer %q", got)
	}
	testkit.Equal(t, "end", "EOF", client.ReadLine())
}

// TestProtocolViolations checks that a client that violates the protocol immediately gets exactly one answer, that none of
// its data reaches an endpoint, and that other clients are not affected.
func TestProtocolViolations(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client, upstream := proxy.connect(conns, "a")
	id := fakes.PreviousID(0)
	for counter, in := range map[string]string{
		"unknown_class": "OPEN x1 key c=feed2,d=60000\r\n",
		"same_id":       "OPEN " + id + " key c=feed,d=60000\r\n",
		"overtalked":    strings.Repeat(openLine("key"), 300),
		"bad_lines":     "OPEN x2 ke", // a partial line, then EOF
	} {
		violator := proxy.dial()
		violator.Send(in)
		if counter == "bad_lines" {
			violator.CloseWrite()
		}
		testkit.Equal(t, counter, []string{"ERR SYNTAX", "EOF"}, []string{violator.ReadLine(), violator.ReadLine()})
		proxy.waitForCounter(counter + "=1")
	}
	pings := proxy.dial()
	pings.Send(strings.Repeat("PING\r\n", 100))
	for range 8 {
		testkit.Equal(t, "readiness", "PONG", pings.ReadLine())
	}
	testkit.Equal(t, "too many readiness checks", []string{"ERR SYNTAX", "EOF"}, []string{pings.ReadLine(), pings.ReadLine()})
	// A line before the answer is an error too: the attempt ends, and the endpoint does not receive the line.
	early := proxy.dial()
	early.Send(openLine("b"))
	earlyUpstream := fakes.Await(t, conns)
	earlyUpstream.ReadLine()
	early.Send("M 1\r\n")
	testkit.Equal(t, "line before the answer", []string{"ERR SYNTAX", "EOF"}, []string{early.ReadLine(), early.ReadLine()})
	testkit.Equal(t, "its attempt", "EOF", earlyUpstream.ReadLine())
	proxy.waitForCounter("attempts=2")
	client.Send("M 1\r\n")
	testkit.Equal(t, "the other client", "M 1", upstream.ReadLine())
}

// TestAnswerReachesSendingClient checks that a client that is still sending receives its error answer. If the proxy closed
// the connection with unread bytes, the kernel would reset it and the answer would be lost. Other clients are served
// meanwhile.
func TestAnswerReachesSendingClient(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client := proxy.dial()
	sent := make(chan error, 1)
	go func() {
		chunk := bytes.Repeat([]byte("k"), 1<<20)
		for range 24 { // takes longer than an idle connection is kept
			if _, err := client.Write(chunk); err != nil {
				sent <- err
				return
			}
			time.Sleep(60 * time.Millisecond)
		}
		sent <- nil
	}()
	proxy.connect(conns, "a")
	if err := fakes.Await(t, sent); err != nil {
		t.Errorf("the connection was closed while the client was sending: %v", err)
	}
	testkit.Equal(t, "answer", []string{"ERR SYNTAX", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
}
