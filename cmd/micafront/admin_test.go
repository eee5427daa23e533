package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
)

// withAdminListener enables the admin listener.
func withAdminListener(proxy *proxyProcess) { proxy.adminListen = "127.0.0.1:0" }

// adminCall makes an HTTP call to the admin listener and returns the response's status and body.
func (p *proxyProcess) adminCall(method, path string) (int, string) {
	p.t.Helper()
	req, err := http.NewRequest(method, "http://"+p.adminAddr+path, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	client := http.Client{Timeout: fakes.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// waitForMetrics reads the telemetry until the named metrics have these values.
func (p *proxyProcess) waitForMetrics(want map[string]string) {
	p.t.Helper()
	var diff string
	for end := time.Now().Add(fakes.WaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, body := p.adminCall("GET", "/api/telemetry")
		got := map[string]string{}
		for _, l := range strings.Split(strings.TrimSpace(body), "\n") {
			name, value, _ := strings.Cut(l, "=")
			if _, wanted := want[name]; wanted {
				got[name] = value
			}
		}
		if diff = cmp.Diff(want, got); diff == "" {
			return
		}
	}
	p.t.Fatalf("telemetry (-want +got):\n%s", diff)
}

// ping sends a readiness check on a new client connection and returns the answer.
func (p *proxyProcess) ping() string {
	p.t.Helper()
	client := p.dial()
	defer client.Close()
	client.Send("PING\r\n")
	return client.ReadLine()
}

// dialAdmin opens a connection to the admin listener.
func (p *proxyProcess) dialAdmin() *fakes.Peer {
	p.t.Helper()
	c, err := net.Dial("tcp", p.adminAddr)
	if err != nil {
		p.t.Fatal(err)
	}
	return fakes.NewPeer(p.t, c)
}

// TestAdminCalls checks the paths, the methods and the HTTP parser of the admin listener.
func TestAdminCalls(t *testing.T) {
	proxy, _ := startWithEndpoint(t, withAdminListener)
	for _, c := range []struct {
		call   string
		status int
	}{
		{"GET /api/ready", 200}, {"GET /api/telemetry", 200}, {"PUT /api/rejoin", 200}, {"HEAD /api/ready", 200},
		{"GET /api/ready?x=1", 200}, {"GET /", 404}, {"PUT /api/readyy", 404}, {"GET /api/evacuate", 405},
		{"POST /api/rejoin", 405}, {"DELETE /api/telemetry", 405},
	} {
		method, path, _ := strings.Cut(c.call, " ")
		status, _ := proxy.adminCall(method, path)
		testkit.Equal(t, c.call, c.status, status)
	}
	for in, want := range map[string]string{
		"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n":                                         "200",
		"PUT /api/rejoin HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello":                         "200",
		"PUT /api/rejoin HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n": "200",
		"PUT /api/rejoin HTTP/1.1\r\nContent-Length: -5\r\n\r\n":                             "400",
		"PUT /api/rejoin HTTP/1.1\r\nContent-Length: 99999\r\n\r\n":                          "413",
		"GET /api/ready HTTP/2.0\r\n\r\n":                                                    "505",
		"GET  /api/ready HTTP/1.1\r\n\r\n":                                                   "400",
		"PING\r\n\r\n":                                                                       "400",
		"GET /" + strings.Repeat("x", 5000):                                                  "431",
	} {
		c := proxy.dialAdmin()
		go func() { // sends one byte at a time, each in a separate packet
			for i := range len(in) {
				if _, err := io.WriteString(c, in[i:i+1]); err != nil {
					return
				}
			}
		}()
		testkit.Equal(t, fmt.Sprintf("status of %.60q", in), want, strings.Fields(c.ReadLine())[1])
	}
	partial := proxy.dialAdmin()
	partial.Send("GET /api/ready HT")
	partial.CloseWrite()
	testkit.Equal(t, "partial call and EOF", "HTTP/1.1 400 Bad Request", partial.ReadLine())
}

// TestAdminListenerDuringConnectionFlood checks that the admin listener still answers calls when there are many unfinished
// calls and clients use all descriptors.
func TestAdminListenerDuringConnectionFlood(t *testing.T) {
	proxy, _ := startWithEndpoint(t, withAdminListener, withMaxDescriptors(48))
	var unfinished []*fakes.Peer
	for range 40 {
		c := proxy.dialAdmin()
		c.Send("GET /api/re")
		unfinished = append(unfinished, c)
	}
	stop := make(chan bool)
	defer close(stop)
	for range 4 {
		go func() {
			// Bounded, because a fast machine would run out of descriptors in the test first.
			var open [512]net.Conn
			defer func() {
				for _, c := range open {
					if c != nil {
						c.Close()
					}
				}
			}()
			for i := 0; ; i = (i + 1) % len(open) {
				if open[i] != nil {
					open[i].Close()
				}
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", proxy.addr); err == nil {
					_, _ = io.WriteString(c, openLine("key")) // no endpoint answers, so that descriptors stay in use
					open[i] = c
				} else {
					time.Sleep(time.Millisecond)
				}
			}
		}()
	}
	for range 100 {
		status, _ := proxy.adminCall("GET", "/api/ready")
		testkit.Equal(t, "status during the flood", 200, status)
	}
	// The proxy closes the oldest unfinished call.
	testkit.Equal(t, "oldest unfinished call", "EOF", unfinished[0].ReadLine())
	pending := regexp.MustCompile(`(?m)^svc\.pending=[1-9]`)
	for end := time.Now().Add(fakes.WaitTimeout); ; {
		_, body := proxy.adminCall("GET", "/api/telemetry")
		if pending.MatchString(body) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no request is pending, so the flood did not take effect: %s", body)
		}
	}
}

// TestTelemetry checks that the telemetry counts every accepted request once in its class, and an attempt once its request
// is sent.
func TestTelemetry(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	client, upstream := proxy.connect(conns, "a")
	failed := proxy.dial()
	failed.Send(openLine("b"))
	failedUpstream := fakes.Await(t, conns)
	failedUpstream.ReadLine()
	proxy.waitForMetrics(map[string]string{"svc.pending": "2", "svc.upstream_requests": "2", "svc.members": "1",
		"svc.members_unavailable": "0", "svc.downstream_requests.feed.completed": "1"})
	failed.Send("too early\r\n")
	testkit.Equal(t, "failed", "ERR SYNTAX", failed.ReadLine())
	rejected := proxy.dial()
	rejected.Send(openLine("c"))
	rejectedUpstream := fakes.Await(t, conns)
	rejectedUpstream.ReadLine()
	rejectedUpstream.Send("BUSY\r\n")
	if l := rejected.ReadLine(); !strings.HasPrefix(l, "BUSY ") {
		t.Errorf("answer %q, want BUSY", l)
	}
	bad := proxy.dial()
	bad.Send("OPEN x k c=none,d=5000\r\n")
	testkit.Equal(t, "unknown class", "ERR SYNTAX", bad.ReadLine())
	proxy.reload(`"known":{`, `"known":[{`)
	proxy.waitForLog(logConfigRejected)
	proxy.reload(`"known":[{`, `"known":{`)
	client.Close()
	testkit.Equal(t, "end of the connection", "EOF", upstream.ReadLine())
	for _, p := range []*fakes.Peer{failed, rejected, bad} {
		p.Close()
	}
	fakes.Await(t, proxy.discovery.Watches)
	proxy.discovery.Lists <- fakes.List(2, false, listEntry("s-1", "", "terminating"), listEntry("s-2", "127.0.0.1:1", "in_service"))
	proxy.waitForMetrics(map[string]string{"svc.pending": "0", "svc.upstream_requests": "3", "svc.members": "2",
		"svc.members_unavailable": "1", "svc.config_reloads": "1", "svc.config_reload_errors": "1",
		"svc.downstream_requests.feed.completed": "1", "svc.downstream_requests.feed.rejected": "1",
		"svc.downstream_requests.feed.failed": "1"})
}

// TestDrain checks that a drained proxy answers PING with an error and moves established and new connections while it
// continues to serve, and that it is ready again after a rejoin. Every call is made twice, because operators repeat calls.
func TestDrain(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	put := func(path string) {
		t.Helper()
		for range 2 {
			status, _ := proxy.adminCall("PUT", path)
			testkit.Equal(t, path, 200, status)
		}
	}
	moved := func(p *fakes.Peer) {
		t.Helper()
		testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, []string{p.ReadLine(), p.ReadLine()})
	}
	early, _ := proxy.connect(conns, "a")
	testkit.Equal(t, "before", "PONG", proxy.ping())
	put("/api/evacuate")
	testkit.Equal(t, "drained", "ERR DRAINED", proxy.ping())
	moved(early)
	lateClient, _ := proxy.connect(conns, "b")
	moved(lateClient)
	status, _ := proxy.adminCall("GET", "/api/ready")
	testkit.Equal(t, "the process serves", 200, status)
	put("/api/rejoin")
	testkit.Equal(t, "back", "PONG", proxy.ping())
	client, upstream := proxy.connect(conns, "c")
	client.Send("M 1\r\n")
	testkit.Equal(t, "stays", "M 1", upstream.ReadLine())
	put("/api/evacuate")
	put("/api/rejoin") // before any client was moved
	put("/api/evacuate")
	moved(client)
	last, _ := proxy.connect(conns, "d")
	proxy.command.Process.Signal(syscall.SIGTERM)
	moved(last)
	last.Close()
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
	proxy.waitForLog("moves_stop=4")
}
