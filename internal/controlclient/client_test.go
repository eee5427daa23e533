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

// receivedRequest is a request that a scripted replica received, with its connection.
type receivedRequest struct {
	*http.Request
	body []byte
	conn net.Conn
}

func (r receivedRequest) write(text string) { _, _ = io.WriteString(r.conn, text) }

// respond sends a complete response with status 200.
func (r receivedRequest) respond(body string) {
	r.write(fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// startReplica starts a scripted replica. It sends the requests of all its connections on the channel.
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

// result holds the arguments of a callback.
type result struct {
	lease     fleetconfig.Lease
	text      []byte
	sent, now time.Duration
	err       error
}

// harness runs a client on an event loop.
type harness struct {
	t       *testing.T
	loop    *evloop.Loop
	client  *Client
	results chan result
}

func newHarness(t *testing.T, replicas ...string) *harness {
	t.Helper()
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	h := &harness{t: t, loop: loop, client: New(loop, replicas, "n0"), results: make(chan result, 64)}
	h.client.lastResponsive = 0
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

// testTimeout bounds the waiting for expected events. No passing test waits this long.
const testTimeout = time.Minute

func (h *harness) renew(seq uint64, failures int, timeout time.Duration) {
	h.t.Helper()
	renewal := fleetconfig.Renewal{Node: "n0", Incarnation: 7, Seq: seq}
	h.onLoop(func() {
		h.client.Renew(renewal, failures, timeout, func(lease fleetconfig.Lease, sent time.Duration, err error) {
			h.results <- result{lease: lease, sent: sent, now: h.loop.Now(), err: err}
		})
	})
}

func (h *harness) fetch(maxBytes int64) {
	h.t.Helper()
	h.onLoop(func() {
		h.client.FetchVersion(3, 0, maxBytes, func(text []byte, err error) { h.results <- result{text: text, err: err} })
	})
}

// leaseJSON returns the body of the response to a renewal.
func leaseJSON(seq uint64) string {
	return fmt.Sprintf(`{"node":"n0","incarnation":7,"seq":%d,"active":5}`, seq)
}

// TestRenewalsShareAConnection checks that renewals share a connection, that a renewal after the replica has closed it succeeds
// over a new one, and that the client closes a connection after a renewal without a response in time.
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
		testkit.Equal(t, "renewal", fleetconfig.Renewal{Node: "n0", Incarnation: 7, Seq: seq}, got)
		arrived := make(chan time.Duration, 1)
		h.onLoop(func() { arrived <- h.loop.Now() }) // a loop time after the request was received
		end := fakes.Await(t, arrived)
		req.respond(leaseJSON(seq))
		out := fakes.Await(t, h.results)
		if out.err != nil || out.lease.ActiveVersion != 5 || out.sent < fakes.Await(t, before) || out.sent > end {
			t.Errorf("result %+v; the request arrived before %v", out, end)
		}
		addrs = append(addrs, req.conn.RemoteAddr().String())
		if seq == 1 {
			req.conn.Close()
		}
	}
	if addrs[0] != addrs[1] || addrs[1] == addrs[2] {
		t.Errorf("client addresses of the renewals: %v, want two equal ones and another one", addrs)
	}
	h.renew(9, 0, 50*time.Millisecond)
	unanswered := fakes.Await(t, requests)
	if out := fakes.Await(t, h.results); !NoResponse.Matches(out.err) || !strings.Contains(out.err.Error(), addr) {
		t.Errorf("error %v", out.err)
	}
	if _, err := unanswered.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection without a response is still open")
	}
	h.renew(10, 0, testTimeout)
	req := fakes.Await(t, requests)
	unanswered.respond(leaseJSON(9)) // ignored, because it is late
	req.respond(leaseJSON(10))
	testkit.Equal(t, "sequence number", uint64(10), fakes.Await(t, h.results).lease.Seq)
}

// TestRenewalIsResentOnceAfterConnectionClose checks that a renewal on a connection that the replica closes is sent again over a
// new connection, that the callback receives the time of the second sending, and that a second close is an error.
func TestRenewalIsResentOnceAfterConnectionClose(t *testing.T) {
	addr, requests := startReplica(t)
	h := newHarness(t, addr)
	h.renew(1, 0, testTimeout)
	fakes.Await(t, requests).respond(leaseJSON(1))
	fakes.Await(t, h.results)
	h.renew(2, 0, testTimeout)
	fakes.Await(t, requests).conn.Close()
	req := fakes.Await(t, requests)
	after := make(chan time.Duration, 1)
	h.onLoop(func() { after <- h.loop.Now() })
	req.respond(leaseJSON(2))
	if out := fakes.Await(t, h.results); out.err != nil || out.sent > fakes.Await(t, after) {
		t.Errorf("result %+v", out)
	}
	h.renew(3, 0, testTimeout)
	fakes.Await(t, requests).conn.Close()
	fakes.Await(t, requests).conn.Close() // the new connection, so the renewal fails
	if out := fakes.Await(t, h.results); !NoResponse.Matches(out.err) {
		t.Errorf("error %v", out.err)
	}
}

// TestRetriesRotateReplicas checks that retries try the replicas in turn, starting from the last one that granted a lease, and
// that a replica that cannot be reached is an error immediately.
func TestRetriesRotateReplicas(t *testing.T) {
	first, requests := startReplica(t)
	second, others := startReplica(t)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedListener.Close()
	h := newHarness(t, closedListener.Addr().String(), first, second)
	h.renew(1, 0, testTimeout)
	if out := fakes.Await(t, h.results); !NoResponse.Matches(out.err) || len(apperror.Resolutions(out.err)) == 0 {
		t.Errorf("error %v", out.err)
	}
	h.renew(2, 2, testTimeout)
	fakes.Await(t, others).respond(leaseJSON(2))
	testkit.Equal(t, "error of the renewal at the third replica", error(nil), fakes.Await(t, h.results).err)
	h.renew(3, 0, testTimeout)
	fakes.Await(t, others).respond(leaseJSON(3))
	fakes.Await(t, h.results)
	h.renew(4, 2, testTimeout)
	fakes.Await(t, requests).respond(leaseJSON(4))
	fakes.Await(t, h.results)
	h.onLoop(func() { h.client.SetReplicas([]string{second}) })
	h.renew(5, 7, testTimeout)
	fakes.Await(t, others).respond(leaseJSON(5))
	testkit.Equal(t, "sequence number after SetReplicas", uint64(5), fakes.Await(t, h.results).lease.Seq)
}

// TestInvalidResponses checks the kind, the place and the cause of the error for each invalid response, and that the client
// closes the connection.
func TestInvalidResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: "
	for name, test := range map[string]struct {
		response string
		kind     *apperror.Kind
		contains string
	}{
		"not HTTP":        {"SSH-2.0\r\n\r\n", InvalidResponse, "status line"},
		"invalid JSON":    {head + "3\r\n\r\n{{{", InvalidResponse, "invalid"},
		"another renewal": {head + fmt.Sprint(len(leaseJSON(8))) + "\r\n\r\n" + leaseJSON(8), InvalidResponse, "renewal 8"},
		"another node":    {head + "29\r\n\r\n" + `{"node":"n1","incarnation":7}`, InvalidResponse, `"n1"`},
		"too long":        {head + "70000\r\n\r\n", ResponseTooLarge, "70000"},
		"chunk too long":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", InvalidResponse, "chunk"},
		"error status":    {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", Rejected, "503"},
		"error response":  {"HTTP/1.1 503 x\r\nContent-Length: 63\r\n\r\n" + `{"kind":"q/none","place":"k2","cause":"nobody","remedy":"wait"}`, Rejected, "q/none: k2: nobody (wait)"},
		"long error":      {"HTTP/1.1 500 x\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000), ResponseTooLarge, "too long"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, requests := startReplica(t)
			h := newHarness(t, addr)
			h.renew(1, 0, testTimeout)
			req := fakes.Await(t, requests)
			req.write(test.response)
			out := fakes.Await(t, h.results)
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

// TestFetchVersion checks that a version arrives complete with each framing of HTTP bodies, that a renewal succeeds during the
// fetch, that the client does not retain the version's text, and that a version above the limit or cut short is an error.
func TestFetchVersion(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<16)
	addr, requests := startReplica(t)
	h := newHarness(t, addr)
	for name, respond := range map[string]func(receivedRequest){
		"content length": func(req receivedRequest) { req.respond(body) },
		"chunked": func(req receivedRequest) {
			req.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for at := 0; at < len(body); at += 1 << 17 {
				req.write(fmt.Sprintf("%x\r\n%s\r\n", 1<<17, body[at:at+1<<17]))
			}
			req.write("0\r\n\r\n")
		},
		"until the connection ends": func(req receivedRequest) {
			req.write("HTTP/1.0 200 OK\r\n\r\n" + body)
			req.conn.Close()
		},
	} {
		h.fetch(int64(len(body)))
		req := fakes.Await(t, requests)
		testkit.Equal(t, name, "/v1/version/3", req.URL.Path)
		h.renew(1, 0, testTimeout)
		fakes.Await(t, requests).respond(leaseJSON(1))
		if out := fakes.Await(t, h.results); out.err != nil || out.lease.Seq != 1 {
			t.Errorf("%s: renewal during the fetch: %+v", name, out)
		}
		respond(req)
		if out := fakes.Await(t, h.results); out.err != nil || string(out.text) != body {
			t.Errorf("%s: %d bytes, error %v", name, len(out.text), out.err)
		}
		h.fetch(int64(len(body)) - 1)
		respond(fakes.Await(t, requests))
		if out := fakes.Await(t, h.results); !ResponseTooLarge.Matches(out.err) {
			t.Errorf("%s: version one byte above the limit: error %v, want ResponseTooLarge", name, out.err)
		}
	}
	h.fetch(1 << 10)
	fakes.Await(t, requests).respond(body[:1<<10])
	text := func() weak.Pointer[byte] { return weak.Make(&fakes.Await(t, h.results).text[0]) }()
	if runtime.GC(); text.Value() != nil {
		t.Error("the client retains a version's text")
	}
	h.fetch(1 << 10)
	req := fakes.Await(t, requests)
	req.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	req.conn.Close()
	if out := fakes.Await(t, h.results); !NoResponse.Matches(out.err) {
		t.Errorf("connection closed during the body: error %v, want NoResponse", out.err)
	}
}
