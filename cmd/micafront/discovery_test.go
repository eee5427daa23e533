package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// respondWatch returns a handler that answers a call with lines of a watch, the last one without a line end, and then ends
// the response or, if stall is set, keeps it open.
func respondWatch(stall bool, lines ...string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, strings.Join(lines, "\n")) // the caller may have disconnected
		rw.(http.Flusher).Flush()
		if stall {
			<-r.Context().Done()
		}
	}
}

// respondRaw returns a handler that answers a call with raw bytes, which need not be HTTP, and closes the connection.
// Without bytes it resets the connection.
func respondRaw(text string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text) // the caller may have disconnected
		if text == "" {
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		}
		conn.Close()
	}
}

// respondEndless answers with a line that has no end and is longer than any list.
func respondEndless(rw http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(rw, `{"generation":2,"x":"`) // the caller may disconnect at any time
	for range 9 << 6 {
		_, _ = rw.Write(bytes.Repeat([]byte("x"), 16<<10))
		rw.(http.Flusher).Flush()
	}
}

// serveOneRequest sends a request, accepts it, closes the endpoint's connection, and returns all lines that the client
// reads.
func serveOneRequest(proxy *proxyProcess, conns chan *fakes.Peer) []string {
	client := proxy.dial()
	defer client.Close()
	lines, _ := openAndServe(client, conns, "key", func(upstream *fakes.Peer) {
		upstream.Send("UP r\r\nBYE\r\n")
		upstream.CloseWrite()
	}, func() (lines []string) {
		for l := ""; l != "EOF" && l != "RST"; lines = append(lines, l) {
			l = client.ReadLine()
		}
		return lines
	})
	return lines
}

// TestDiscoveryInvalidResponses checks that after an invalid response the last valid list stays in use, requests are served,
// the log names the position and the fault, the failure is counted, and the proxy calls discovery again.
func TestDiscoveryInvalidResponses(t *testing.T) {
	good := listEntry("s-1", "127.0.0.1:1", "terminating")
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name      string
		handler   http.HandlerFunc
		log       string // text in the log line
		broken    bool   // whether list_broken counts the response
		nextQuery string // query of the next call; "": the same as that of the first
	}{
		{"status without a body", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(503) }, `"error": "status 503"`, false, ""},
		{"reset", respondRaw(""), `"error": "`, false, ""},
		{"end in the middle of a line", respondWatch(false, fakes.List(2, false), `{"generation":3,"ins`), `"object": 2, "pending_bytes": 20}`, false, "watch=1&from=2"},
		{"malformed JSON", respondWatch(true, fakes.List(2, false), `{"generation":3,"instances":[{]}`, ""), `"object": 2,`, true, "watch=1&from=2"},
		{"invalid JSON within an object", respondWatch(true, "{\n \"generation\": 2,\n ]"), `"object": 1, "pending_bytes": 22}`, true, ""},
		{"not an object", respondWatch(true, `[1,2]`, ""), "endpoint list", true, ""},
		{"not an object, followed by a list", respondWatch(true, `[1,2]`, fakes.List(3, false), ""), `"object": 1, "pending_bytes": 0}`, true, ""},
		{"negative generation", respondWatch(true, fakes.List(-1, false, good), ""), "generation -1", true, ""},
		{"generation that decreases", respondWatch(true, fakes.List(5, false), fakes.List(4, false, good), ""), "generation 4 after 5", true, "watch=1&from=0"},
		{"complete list without endpoints", respondWatch(true, fakes.List(3, true), ""), "the whole list is empty", true, ""},
		{"duplicate endpoint", respondWatch(true, fakes.List(3, true, good, good), ""), inJSON(`entries 1 and 2 are both "s-1"`), true, ""},
		{"unknown lifecycle", respondWatch(true, fakes.List(3, false, good, listEntry("s-2", "127.0.0.1:1", "resting")), ""), inJSON(`entry 2, "s-2", has lifecycle "resting"`), true, ""},
		{"endpoint without an ID", respondWatch(true, fakes.List(3, false, listEntry("", "127.0.0.1:1", "in_service")), ""), inJSON(`entry 1, ""`), true, ""},
		{"negative start time", respondWatch(true, strings.Replace(fakes.List(3, false, good), `"startedAtMs":0`, `"startedAtMs":-5`, 1), ""), "started at -5", true, ""},
		{"not HTTP", respondRaw("SSH-2.0-x\r\n\r\n"), "status line", false, ""},
		{"chunk without a size", respondRaw(head + "zz\r\n"), "chunk size", false, ""},
		{"chunk of a negative size", respondRaw(head + "-5\r\n"), "chunk size", false, ""},
		{"line without an end", respondEndless, "too long", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoint(t, withAdminListener, func(proxy *proxyProcess) { proxy.discovery.NextHandlers <- c.handler })
			testkit.Equal(t, "first call", "watch=1&from=1", fakes.Await(t, proxy.discovery.Watches))
			if c.nextQuery == "" {
				c.nextQuery = "watch=1&from=1"
			}
			testkit.Equal(t, "second call", c.nextQuery, fakes.Await(t, proxy.discovery.Watches))
			log := proxy.waitForLog("discovery: ")
			_, line, _ := strings.Cut(log, "discovery: ")
			line, _, _ = strings.Cut("discovery: "+line, "\n")
			call := fmt.Sprintf(`"address": %q, "path": "/registry/instances?watch=1&from=1", "object": `, proxy.discovery.Addr)
			for _, want := range []string{"discovery: call failed\t{", c.log, call} {
				if !strings.Contains(line, want) {
					t.Errorf("the log line does not contain %q: %s", want, line)
				}
			}
			proxy.waitForCounter("list_failures=1")
			proxy.waitForCounter(fmt.Sprintf("list_broken=%d", map[bool]int{true: 1}[c.broken]))
			testkit.Equal(t, "answer", []string{"UP r", "BYE", "EOF"}, serveOneRequest(proxy, conns))
			proxy.waitForMetrics(map[string]string{"svc.members": "1", "svc.members_unavailable": "0"})
		})
	}
}

// TestDiscoveryWatchStalls checks that the proxy opens a second watch within six seconds if the first one stalls in the
// middle of a line and stays open, and does not count this as a failure. The second watch sends an indented list.
func TestDiscoveryWatchStalls(t *testing.T) {
	t.Parallel()
	stalled := make(chan time.Time, 1)
	proxy, _ := startWithEndpoint(t, withAdminListener, func(proxy *proxyProcess) {
		proxy.discovery.NextHandlers <- func(rw http.ResponseWriter, r *http.Request) {
			respondWatch(false, fakes.List(2, false), `{"generation":3,"ins`)(rw, r)
			stalled <- time.Now()
			<-r.Context().Done()
		}
	})
	testkit.Equal(t, "first call", "watch=1&from=1", fakes.Await(t, proxy.discovery.Watches))
	stalledAt := fakes.Await(t, stalled)
	var entries []string
	for i := range 3 {
		entries = append(entries, listEntry(fmt.Sprintf("s-%d", i+1), "127.0.0.1:1", "terminating"))
	}
	proxy.discovery.Lists <- strings.NewReplacer("{", "{\n  ", ",", ",\n  ", ":[", ":\n[").Replace(fakes.List(5, true, entries...))
	testkit.Equal(t, "second call", "watch=1&from=2", fakes.Await(t, proxy.discovery.Watches))
	if waited := time.Since(stalledAt); waited < 2*time.Second {
		t.Errorf("the proxy called again after %v, want at least 2s", waited)
	}
	proxy.waitForCounter("lists=2") // the list known at the start counts too
	proxy.waitForCounter("list_failures=0")
	proxy.waitForMetrics(map[string]string{"svc.members": "3"})
}

// TestDiscoveryPushedLists checks that with pushed lists the current list applies immediately, in a new process and after an
// outage. Over real sockets a pushed list also arrives on a watch that the proxy opens.
func TestDiscoveryPushedLists(t *testing.T) {
	t.Parallel()
	conns := make(chan *fakes.Peer, 64)
	endpoint := fakes.NewScriptedEndpoint(t, "s-1", conns)
	proxy := startProxy(t, "null", withAdminListener, func(proxy *proxyProcess) {
		proxy.extraSettings = `"Discovery":"automatic",`
		for range 3 { // simulates an outage
			proxy.discovery.NextHandlers <- respondRaw("")
		}
	})
	for range 4 {
		testkit.Equal(t, "call", "watch=1&from=0", fakes.Await(t, proxy.discovery.Watches))
	}
	proxy.discovery.Lists <- fakes.List(20, true, listEntry(endpoint.ID, endpoint.Addr, "in_service"))
	proxy.waitForCounter("lists=2")
	proxy.waitForCounter("list_failures=3")
	proxy.discovery.Lists <- "" // ends the watch
	testkit.Equal(t, "call", "watch=1&from=20", fakes.Await(t, proxy.discovery.Watches))
	proxy.waitForMetrics(map[string]string{"svc.members": "1"})
}

// TestDiscoveryRepeatedLargeList checks that a repeated list changes nothing and that all endpoints of a list of 600 are
// used.
func TestDiscoveryRepeatedLargeList(t *testing.T) {
	conns := make(chan *fakes.Peer, 64)
	endpoint := fakes.NewScriptedEndpoint(t, "s-1", conns)
	var entries []string
	for i := range 600 {
		entries = append(entries, listEntry(fmt.Sprintf("s-%d", i+1), endpoint.Addr, "in_service"))
	}
	proxy := startProxy(t, fakes.List(1, true, entries[0]), withAdminListener)
	fakes.Await(t, proxy.discovery.Watches)
	list := fakes.List(2, true, entries...)
	for range 3 {
		proxy.discovery.Lists <- list
	}
	proxy.waitForCounter("lists=4") // the list known at the start counts too
	proxy.waitForMetrics(map[string]string{"svc.members": "600"})
	for range 10 {
		testkit.Equal(t, "answer", []string{"UP r", "BYE", "EOF"}, serveOneRequest(proxy, conns))
	}
	proxy.waitForCounter("list_failures=0")
}

// TestKnownListOutdated checks that the proxy serves from discovery's list if the list known at the start is older or newer
// than it, empty or missing.
func TestKnownListOutdated(t *testing.T) {
	for _, c := range []struct{ name, known, first string }{
		{"older than discovery", fakes.List(7, true, listEntry("s-gone", "127.0.0.1:1", "in_service")), "watch=1&from=7"},
		{"newer than discovery", fakes.List(900, true, listEntry("s-gone", "127.0.0.1:1", "in_service")), "watch=1&from=900"},
		{"empty", fakes.List(0, true), "watch=1&from=0"},
		{"missing", "null", "watch=1&from=0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conns := make(chan *fakes.Peer, 64)
			endpoint := fakes.NewScriptedEndpoint(t, "s-1", conns)
			proxy := startProxy(t, c.known, withAdminListener)
			testkit.Equal(t, "first call", c.first, fakes.Await(t, proxy.discovery.Watches))
			list := fakes.List(20, true, listEntry(endpoint.ID, endpoint.Addr, "in_service"))
			proxy.discovery.Lists <- list
			if c.name == "newer than discovery" {
				testkit.Equal(t, "call for the whole list", "watch=1&from=0", fakes.Await(t, proxy.discovery.Watches))
				proxy.discovery.Lists <- list
			}
			proxy.waitForMetrics(map[string]string{"svc.members": "1"})
			// The hash table includes the endpoint from the next epoch; until then each request is rejected once.
			got := serveOneRequest(proxy, conns)
			for ; strings.HasPrefix(got[0], "BUSY"); got = serveOneRequest(proxy, conns) {
				testkit.Equal(t, "after a rejection", "EOF", got[1])
			}
			testkit.Equal(t, "answer", []string{"UP r", "BYE", "EOF"}, got)
		})
	}
}

// TestEndpointListWatch checks that the proxy opens the watch again after it ended or sent an invalid list, and applies the
// changes that follow.
func TestEndpointListWatch(t *testing.T) {
	conns := make(chan *fakes.Peer, 64)
	endpoint := fakes.NewScriptedEndpoint(t, "s-7", conns)
	proxy := startProxy(t, fakes.List(41, true))
	testkit.Equal(t, "first call", "watch=1&from=41", fakes.Await(t, proxy.discovery.Watches))
	proxy.discovery.Lists <- ""
	testkit.Equal(t, "call after the end of the watch", "watch=1&from=41", fakes.Await(t, proxy.discovery.Watches))
	proxy.discovery.Lists <- `{"generation":42,"reset":false,"instances":[{"instanceId":"s-7","lifecycle":"odd"}]}`
	testkit.Equal(t, "call after an invalid list", "watch=1&from=41", fakes.Await(t, proxy.discovery.Watches))
	proxy.discovery.Lists <- fakes.List(43, false, listEntry(endpoint.ID, endpoint.Addr, "in_service"))
	proxy.waitForCounter("list_changes=1")
	proxy.waitForCounter("list_broken=1")
	proxy.discovery.Lists <- ""
	testkit.Equal(t, "call after a change", "watch=1&from=43", fakes.Await(t, proxy.discovery.Watches))
	// The hash table includes the endpoint from the next epoch; until then requests are rejected.
	for got := ""; got != "UP r"; got = requestAnswer(proxy.dial(), conns) {
	}
}
