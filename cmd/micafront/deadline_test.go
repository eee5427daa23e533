package main

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// TestDedupWindowEndsWhileDialing checks that a retry is not sent if the deduplication window ends while its connection is
// dialed.
func TestDedupWindowEndsWhileDialing(t *testing.T) {
	for scope, want := range map[string]string{"all": `^BUSY`, "zone": `^ERR$`} {
		t.Run(scope, func(t *testing.T) {
			t.Parallel()
			proxy, delayed, unblock, client, upstream := startWithDelayedSecondEndpoint(t, withClasses(classJSON("mint", "keyed", scope, 3)), withConnectTimeout(100))
			upstream.Close()
			waitForSocketState(t, delayed.Addr().String(), socketSynSent)
			if got := client.ReadLine(); !regexp.MustCompile(want).MatchString(got) {
				t.Errorf("answer %q", got)
			}
			unblock()
			proxy.waitForCounter("attempts=1")
			proxy.waitForCounter("open=0")
		})
	}
}

// TestDedupWindowEndsAsConnectionIsEstablished checks that a retry is not sent if its connection is established and the
// deduplication window ends in the same iteration of the event loop: both happen while the process is suspended.
func TestDedupWindowEndsAsConnectionIsEstablished(t *testing.T) {
	t.Parallel()
	proxy, delayed, unblock, client, firstUpstream := startWithDelayedSecondEndpoint(t, withClasses(classJSON("mint", "keyed", "zone", 4)), withConnectTimeout(100))
	firstUpstream.Close()
	waitForSocketState(t, delayed.Addr().String(), socketSynSent)
	dialedAt := time.Now()
	resume := proxy.suspend()
	upstream := acceptDelayed(t, delayed, unblock)
	time.Sleep(time.Until(dialedAt.Add(4100 * time.Millisecond))) // the window of 4 s ends
	resume()
	expectNoRequest(t, upstream)
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
}

// TestConnectionEstablishedAfterDeadline checks that the proxy sends nothing on a connection that is established after the
// client's deadline.
func TestConnectionEstablishedAfterDeadline(t *testing.T) {
	t.Parallel()
	proxy, delayed, unblock := startWithDelayedEndpoint(t, withClasses(classJSON("mint", "unsafe", "all", 0)))
	client := proxy.dial()
	sentAt := time.Now()
	client.Send(openLineOfClass("mint", "key", ",d=4000"))
	waitForSocketState(t, delayed.Addr().String(), socketSynSent)
	resume := proxy.suspend()
	upstream := acceptDelayed(t, delayed, unblock)
	time.Sleep(time.Until(sentAt.Add(4100 * time.Millisecond))) // the client's deadline passes
	resume()
	expectNoRequest(t, upstream)
	if got := client.ReadLine(); !strings.HasPrefix(got, "BUSY") && got != "ERR" {
		t.Errorf("answer %q", got)
	}
	testkit.Equal(t, "one answer", "EOF", client.ReadLine())
	proxy.waitForCounter("attempts=0")
}

// TestSuspendedPastDeadline checks that a process that was suspended past a client's deadline answers the client exactly
// once when it resumes, with the endpoint's answer or with ERR, and makes no other attempt.
func TestSuspendedPastDeadline(t *testing.T) {
	for name, answer := range map[string]string{"answered": "UP r\r\n", "hangs": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoints(t, 2, withClasses(classJSON("mint", "unsafe", "all", 0)))
			client := proxy.dial()
			client.Send(openLineOfClass("mint", "key", ",d=3000"))
			upstream := fakes.Await(t, conns)
			upstream.ReadLine()
			resume := proxy.suspend()
			if upstream.Send(answer); answer != "" {
				waitForArrival(t, upstream)
			}
			time.Sleep(3100 * time.Millisecond) // the client's deadline passes
			resume()
			switch got := client.ReadLine(); {
			case got == "UP r" && answer != "":
				client.Send("M 1\r\n")
				testkit.Equal(t, "established", "M 1", upstream.ReadLine())
			case got == "ERR":
				testkit.Equal(t, "one answer", "EOF", client.ReadLine())
				expectNoRequest(t, upstream)
			default:
				t.Errorf("answer %q", got)
			}
			expectNoConn(t, conns)
			proxy.waitForCounter("attempts=1")
		})
	}
}

// TestOneAnswerByDeadline checks that a request gets exactly one answer by its deadline, however short the deadline is. An
// answer that comes more than half a second after the deadline and the slack for late clients is lost. The test allows 3 s.
func TestOneAnswerByDeadline(t *testing.T) {
	for _, c := range []struct {
		name, attributes string
		timeout          time.Duration
		want             string // answer if the endpoint hangs
	}{
		{"zero", ",d=0", 0, "BUSY"},
		{"under the slack", ",d=1", time.Millisecond, "BUSY"},
		{"short", ",d=60", 60 * time.Millisecond, "ERR"},
		{"default of the class", "", 1200 * time.Millisecond, "ERR"},
		{"negative", ",d=-5", 0, "ERR SYNTAX"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoint(t, withClasses(strings.Replace(classJSON("mint", "unsafe", "all", 0), `"GiveUp":30`, `"GiveUp":1.2`, 1)))
			client := proxy.dial()
			began := time.Now()
			client.Send(openLineOfClass("mint", "key", c.attributes))
			go func() {
				for s := range conns {
					_, _ = s.ReadLineErr() // and never answers
				}
			}()
			got := client.ReadLine()
			if took := time.Since(began); took > c.timeout+3*time.Second {
				t.Errorf("answered after %v, with a timeout of %v", took, c.timeout)
			}
			if want := c.want; got != want && (want != "BUSY" || !strings.HasPrefix(got, "BUSY ")) {
				t.Errorf("answer %q, want %s", got, want)
			}
			testkit.Equal(t, "one answer", "EOF", client.ReadLine())
		})
	}
}

// TestEndpointHangs checks that an attempt times out and its connection is closed if the endpoint reads the request and
// never answers. If a repeat is harmless the next attempt follows; otherwise the client receives an error.
func TestEndpointHangs(t *testing.T) {
	for effect, want := range map[string]string{"safe": "again", "keyed": "again", "unsafe": "ERR"} {
		t.Run(effect, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoints(t, 2, withClasses(classJSON("mint", effect, "all", 60)), withConnectTimeout(1.4))
			client := proxy.dial()
			client.Send(openLineOfClass("mint", "key", ",d=3000"))
			upstream := fakes.Await(t, conns)
			upstream.ReadLine()
			got, next, clientAnswer := nextAttemptOrAnswer(t, conns, client)
			testkit.Equal(t, "result", want, got)
			expectNoRequest(t, upstream)
			if next != nil {
				sendUp(next)
				testkit.Equal(t, "answer", "UP r", fakes.Await(t, clientAnswer))
			}
			proxy.waitForCounter("outcome_timeout=1")
		})
	}
}

// TestEndpointCloseBeforeAttemptTimeout checks that if an attempt times out and its endpoint closes the connection while the
// process is suspended, the process reads the close before it checks the timeout. The attempt then ends by the close, and
// the next attempt, which reuses the descriptor, is served.
func TestEndpointCloseBeforeAttemptTimeout(t *testing.T) {
	t.Parallel()
	proxy, conns := startWithEndpoints(t, 2, withClasses(classJSON("mint", "keyed", "all", 60)), withConnectTimeout(2))
	client := proxy.dial()
	began := time.Now()
	client.Send(openLineOfClass("mint", "key", ",d=6000"))
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	resume := proxy.suspend()
	time.Sleep(time.Until(began.Add(3100 * time.Millisecond))) // the attempt times out, after half of the client's timeout of 6 s
	upstream.Close()
	waitForArrival(t, upstream)
	resume()
	next := fakes.Await(t, conns)
	if l := next.ReadLine(); !strings.HasPrefix(l, "OPEN ") {
		t.Fatalf("the next attempt sent %q", l)
	}
	sendUp(next)
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
	proxy.waitForCounter("outcome_reset=1")
	testkit.Equal(t, "an attempt is counted as timed out", false, strings.Contains(proxy.stderr.String(), "outcome_timeout=1"))
}

// TestStaleCloseOfCanceledAttempt checks that the close of a connection whose attempt was canceled earlier in the same
// iteration of the event loop is not attributed to the next attempt, which reuses the descriptor.
func TestStaleCloseOfCanceledAttempt(t *testing.T) {
	t.Parallel()
	proxy, conns := startWithEndpoints(t, 2, withClasses(classJSON("mint", "keyed", "all", 60)), withConnectTimeout(2))
	canceled, client := proxy.dial(), proxy.dial()
	canceled.Send(openLineOfClass("mint", "key", ",d=6000"))
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	// The suspension is too short to count as a hold-up, after which attempts would wait until everything else has been read.
	proxy.whileSuspended(func() {
		canceled.Close()
		client.Send(openLineOfClass("mint", "key", ",d=6000"))
		upstream.Close()
	})
	next := fakes.Await(t, conns)
	if l := next.ReadLine(); !strings.HasPrefix(l, "OPEN ") {
		t.Fatalf("the next attempt sent %q", l)
	}
	sendUp(next)
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
	proxy.waitForCounter("outcome_cancelled=1")
	for _, outcome := range []string{"outcome_reset=1", "outcome_no_connect=1", "outcome_moot=1"} {
		testkit.Equal(t, outcome, false, strings.Contains(proxy.stderr.String(), outcome))
	}
}

// TestHugeDeadline checks that a huge deadline is limited, also in the request that the endpoint receives.
func TestHugeDeadline(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withReplacement(`"GiveUp":60`, `"GiveUp":1e15`))
	byClass := proxy.dial()
	byClass.Send(openLineOfClass("feed", "key", ""))
	byClassUpstream := fakes.Await(t, conns)
	byClassUpstream.ReadLine()
	sendUp(byClassUpstream)
	testkit.Equal(t, "answer with the timeout of the class", "UP r", byClass.ReadLine())
	client := proxy.dial()
	client.Send(openLineOfClass("feed", "key", ",d=9223372036854775807"))
	upstream := fakes.Await(t, conns)
	if l := upstream.ReadLine(); !regexp.MustCompile(`d=[0-3][0-9]{6}$`).MatchString(l) {
		t.Errorf("first line %q", l)
	}
	sendUp(upstream)
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
}
