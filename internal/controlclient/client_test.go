package controlclient

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
)

// receivedRequest is a request as a scripted replica receives it, and its connection.
type receivedRequest struct {
	*http.Request
	body []byte
	conn net.Conn
}

func (r receivedRequest) write(text string) { _, _ = io.WriteString(r.conn, text) }

// answer sends a complete answer of status 200.
func (r receivedRequest) answer(body string) {
	r.write(fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// startReplica listens as a scripted replica, and sends the requests of all its connections on the channel.
func startReplica(t *testing.T) (addr string, requests chan receivedRequest) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = make(chan receivedRequest, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				in := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(q.Body)
					if err != nil {
						return
					}
					requests <- receivedRequest{q, body, c}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

// outcome is what a callback was given.
type outcome struct {
	lease     fleetconfig.Lease
	text      []byte
	sent, now time.Duration
	err       error
}

// harness runs a client on an event loop.
type harness struct {
	t        *testing.T
	loop     *evloop.Loop
	client   *Client
	outcomes chan outcome
}

func newHarness(t *testing.T, replicas ...string) *harness {
	t.Helper()
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	h := &harness{t: t, loop: loop, client: New(loop, replicas, "n0"), outcomes: make(chan outcome, 64)}
	h.client.lastGood = 0
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		_ = loop.Stop()
		if err := fakes.Await(t, ended); err != nil {
			t.Error(err)
		}
	})
	return h
}

func (h *harness) onLoop(f func()) {
	h.t.Helper()
	if err := h.loop.Post(f); err != nil {
		h.t.Fatal(err)
	}
}

// testTimeout is for what is expected to happen; nothing waits for its end.
const testTimeout = time.Minute

func (h *harness) renew(seq uint64, failures int, timeout time.Duration) {
	h.t.Helper()
	renewal := fleetconfig.Renewal{Node: "n0", Incarnation: 7, Seq: seq}
	h.onLoop(func() {
		h.client.Renew(renewal, failures, timeout, func(lease fleetconfig.Lease, sent time.Duration, err error) {
			h.outcomes <- outcome{lease: lease, sent: sent, now: h.loop.Now(), err: err}
		})
	})
}

func (h *harness) fetch(maxBytes int64) {
	h.t.Helper()
	h.onLoop(func() {
		h.client.FetchVersion(3, 0, maxBytes, func(text []byte, err error) { h.outcomes <- outcome{text: text, err: err} })
	})
}

// leaseJSON is the answer to a renewal.
func leaseJSON(seq uint64) string {
	return fmt.Sprintf(`{"node":"n0","incarnation":7,"seq":%d,"active":5}`, seq)
}

// Renewals share a connection. That the replica closes it in between is no failure; without an answer in time it is closed.
func TestRenewalsShareAConnection(t *testing.T) {
	addr, requests := startReplica(t)
	h := newHarness(t, addr)
	var addrs []string
	for seq := range uint64(3) {
		before := make(chan time.Duration, 1)
		h.onLoop(func() { before <- h.loop.Now() })
		h.renew(seq, 0, testTimeout)
		req := fakes.Await(t, requests)
		var got fleetconfig.Renewal
		if err := json.Unmarshal(req.body, &got); err != nil || req.Method != "POST" || req.URL.Path != "/v1/renew" {
			t.Errorf("%s %s %s: %v", req.Method, req.URL, req.body, err)
		}
		testkit.Equal(t, "asked", fleetconfig.Renewal{Node: "n0", Incarnation: 7, Seq: seq}, got)
		arrived := make(chan time.Duration, 1)
		h.onLoop(func() { arrived <- h.loop.Now() }) // after the request was received
		end := fakes.Await(t, arrived)
		req.answer(leaseJSON(seq))
		out := fakes.Await(t, h.outcomes)
		if out.err != nil || out.lease.ActiveVersion != 5 || out.sent < fakes.Await(t, before) || out.sent > end {
			t.Errorf("%+v, arrived by %v", out, end)
		}
		addrs = append(addrs, req.conn.RemoteAddr().String())
		if seq == 1 {
			req.conn.Close()
		}
	}
	if addrs[0] != addrs[1] || addrs[1] == addrs[2] {
		t.Errorf("connections %v", addrs)
	}
	h.renew(9, 0, 50*time.Millisecond)
	unanswered := fakes.Await(t, requests)
	if out := fakes.Await(t, h.outcomes); !NoResponse.Matches(out.err) || !strings.Contains(out.err.Error(), addr) {
		t.Errorf("error %v", out.err)
	}
	if _, err := unanswered.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection without an answer is still open")
	}
	h.renew(10, 0, testTimeout)
	req := fakes.Await(t, requests)
	unanswered.answer(leaseJSON(9)) // too late: it is ignored
	req.answer(leaseJSON(10))
	testkit.Equal(t, "answered", uint64(10), fakes.Await(t, h.outcomes).lease.Seq)
}

// A renewal on a connection that was just closed is sent once more, and the time that counts is that of the second sending.
func TestRenewalMeetsClosedConnection(t *testing.T) {
	addr, requests := startReplica(t)
	h := newHarness(t, addr)
	h.renew(1, 0, testTimeout)
	fakes.Await(t, requests).answer(leaseJSON(1))
	fakes.Await(t, h.outcomes)
	h.renew(2, 0, testTimeout)
	fakes.Await(t, requests).conn.Close()
	req := fakes.Await(t, requests)
	after := make(chan time.Duration, 1)
	h.onLoop(func() { after <- h.loop.Now() })
	req.answer(leaseJSON(2))
	if out := fakes.Await(t, h.outcomes); out.err != nil || out.sent > fakes.Await(t, after) {
		t.Errorf("%+v", out)
	}
	h.renew(3, 0, testTimeout)
	fakes.Await(t, requests).conn.Close()
	fakes.Await(t, requests).conn.Close() // a new connection: that is the replica's failure
	if out := fakes.Await(t, h.outcomes); !NoResponse.Matches(out.err) {
		t.Errorf("error %v", out.err)
	}
}

// Retries go round the replicas, from the one that answered last. A replica that cannot be reached is an error at once.
func TestReplicasInTurn(t *testing.T) {
	first, requests := startReplica(t)
	second, others := startReplica(t)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedListener.Close()
	h := newHarness(t, closedListener.Addr().String(), first, second)
	h.renew(1, 0, testTimeout)
	if out := fakes.Await(t, h.outcomes); !NoResponse.Matches(out.err) || len(apperror.Resolutions(out.err)) == 0 {
		t.Errorf("error %v", out.err)
	}
	h.renew(2, 2, testTimeout)
	fakes.Await(t, others).answer(leaseJSON(2))
	testkit.Equal(t, "second", error(nil), fakes.Await(t, h.outcomes).err)
	h.renew(3, 0, testTimeout)
	fakes.Await(t, others).answer(leaseJSON(3))
	fakes.Await(t, h.outcomes)
	h.renew(4, 2, testTimeout)
	fakes.Await(t, requests).answer(leaseJSON(4))
	fakes.Await(t, h.outcomes)
	h.onLoop(func() { h.client.SetReplicas([]string{second}) })
	h.renew(5, 7, testTimeout)
	fakes.Await(t, others).answer(leaseJSON(5))
	testkit.Equal(t, "moved", uint64(5), fakes.Await(t, h.outcomes).lease.Seq)
}

// Every invalid answer is one error of its kind, with the place, and closes the connection.
func TestInvalidAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: "
	for name, test := range map[string]struct {
		answer   string
		kind     *apperror.Kind
		contains string
	}{
		"no HTTP":           {"SSH-2.0\r\n\r\n", InvalidResponse, "status line"},
		"no JSON":           {head + "3\r\n\r\n{{{", InvalidResponse, "invalid"},
		"another renewal":   {head + fmt.Sprint(len(leaseJSON(8))) + "\r\n\r\n" + leaseJSON(8), InvalidResponse, "renewal 8"},
		"another node":      {head + "29\r\n\r\n" + `{"node":"n1","incarnation":7}`, InvalidResponse, `"n1"`},
		"too long":          {head + "70000\r\n\r\n", ResponseTooLarge, "70000"},
		"too long a chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", InvalidResponse, "chunk"},
		"an error":          {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", Rejected, "503"},
		"an error response": {"HTTP/1.1 503 x\r\nContent-Length: 63\r\n\r\n" + `{"kind":"q/none","place":"k2","cause":"nobody","remedy":"wait"}`, Rejected, "q/none: k2: nobody (wait)"},
		"a long error":      {"HTTP/1.1 500 x\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000), ResponseTooLarge, "too long"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, requests := startReplica(t)
			h := newHarness(t, addr)
			h.renew(1, 0, testTimeout)
			req := fakes.Await(t, requests)
			req.write(test.answer)
			out := fakes.Await(t, h.outcomes)
			var typed *apperror.Error
			if !test.kind.Matches(out.err) || !strings.Contains(out.err.Error(), test.contains) || !errors.As(out.err, &typed) ||
				!strings.Contains(typed.Place, addr) {
				t.Errorf("error %v, want kind %s with %q", out.err, test.kind.Name, test.contains)
			}
			if _, err := req.conn.Read(make([]byte, 1)); err == nil {
				t.Error("the connection is still open")
			}
		})
	}
}

// A version arrives complete, with any of the framings of HTTP, and beside renewals; a longer one is refused.
func TestFetch(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<16)
	addr, requests := startReplica(t)
	h := newHarness(t, addr)
	for name, answer := range map[string]func(receivedRequest){
		"by length": func(req receivedRequest) { req.answer(body) },
		"in chunks": func(req receivedRequest) {
			req.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for at := 0; at < len(body); at += 1 << 17 {
				req.write(fmt.Sprintf("%x\r\n%s\r\n", 1<<17, body[at:at+1<<17]))
			}
			req.write("0\r\n\r\n")
		},
		"until the end": func(req receivedRequest) {
			req.write("HTTP/1.0 200 OK\r\n\r\n" + body)
			req.conn.Close()
		},
	} {
		h.fetch(int64(len(body)))
		req := fakes.Await(t, requests)
		testkit.Equal(t, name, "/v1/version/3", req.URL.Path)
		h.renew(1, 0, testTimeout)
		fakes.Await(t, requests).answer(leaseJSON(1))
		if out := fakes.Await(t, h.outcomes); out.err != nil || out.lease.Seq != 1 {
			t.Errorf("%s: a renewal beside it: %+v", name, out)
		}
		answer(req)
		if out := fakes.Await(t, h.outcomes); out.err != nil || string(out.text) != body {
			t.Errorf("%s: %d bytes, error %v", name, len(out.text), out.err)
		}
		h.fetch(int64(len(body)) - 1)
		answer(fakes.Await(t, requests))
		if out := fakes.Await(t, h.outcomes); !ResponseTooLarge.Matches(out.err) {
			t.Errorf("%s: one byte too many: error %v", name, out.err)
		}
	}
	h.fetch(1 << 10)
	fakes.Await(t, requests).answer(body[:1<<10])
	text := func() weak.Pointer[byte] { return weak.Make(&fakes.Await(t, h.outcomes).text[0]) }()
	if runtime.GC(); text.Value() != nil {
		t.Error("the client keeps a version's text")
	}
	h.fetch(1 << 10)
	req := fakes.Await(t, requests)
	req.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	req.conn.Close()
	if out := fakes.Await(t, h.outcomes); !NoResponse.Matches(out.err) {
		t.Errorf("half of it: error %v", out.err)
	}
}
