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

// respondWatch answers a call with the lines of a watch, without an end to the last one, and then ends it or stalls.
func respondWatch(silent bool, lines ...string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, strings.Join(lines, "\n")) // the caller may have left
		rw.(http.Flusher).Flush()
		if silent {
			<-r.Context().Done()
		}
	}
}

// respondRaw answers a call with bytes that need not be HTTP, and closes the connection; with none it resets it.
func respondRaw(text string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text) // the caller may have left
		if text == "" {
			_ = conn.(*net.TCPConn).SetLinger(0) // fails on a closed connection alone
		}
		conn.Close()
	}
}

// respondEndless answers with more bytes than any list has, without the end of a line.
func respondEndless(rw http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(rw, `{"generation":2,"x":"`) // the caller may leave at any time
	for range 9 << 6 {
		_, _ = rw.Write(bytes.Repeat([]byte("x"), 16<<10))
		rw.(http.Flusher).Flush()
	}
}

// serveOneRequest sends a request whose endpoint accepts and closes, and returns all lines that the client reads.
func serveOneRequest(proxy *proxyProcess, conns chan *fakes.Peer) []string {
	client := proxy.dial()
	defer client.Close()
	all, _ := openAndServe(client, conns, "key", func(upstream *fakes.Peer) {
		upstream.Send("UP r\r\nBYE\r\n")
		upstream.CloseWrite()
	}, func() (all []string) {
		for l := ""; l != "EOF" && l != "RST"; all = append(all, l) {
			l = client.ReadLine()
		}
		return all
	})
	return all
}

// TestDiscoveryInvalidResponses checks that after each invalid response the last valid list stays in use, every request
// gets its one answer, the log names place and fault, the counters count it, and discovery is called again.
func TestDiscoveryInvalidResponses(t *testing.T) {
	good := listEntry("s-1", "127.0.0.1:1", "terminating")
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		log    string
		broken bool
		again  string // the query of the next call; "": that of the first
	}{
		{"no answer but a code", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(503) }, `"error": "status 503"`, false, ""},
		{"a reset", respondRaw(""), `"error": "`, false, ""},
		{"half a line and the end", respondWatch(false, fakes.List(2, false), `{"generation":3,"ins`), `"object": 2, "pending_bytes": 20}`, false, "watch=1&from=2"},
		{"malformed JSON", respondWatch(true, fakes.List(2, false), `{"generation":3,"instances":[{]}`, ""), `"object": 2,`, true, "watch=1&from=2"},
		{"garbage in an object", respondWatch(true, "{\n \"generation\": 2,\n ]"), `"object": 1, "pending_bytes": 22}`, true, ""},
		{"another form", respondWatch(true, `[1,2]`, ""), "endpoint list", true, ""},
		{"another form, and more behind it", respondWatch(true, `[1,2]`, fakes.List(3, false), ""), `"object": 1, "pending_bytes": 0}`, true, ""},
		{"a generation below 0", respondWatch(true, fakes.List(-1, false, good), ""), "generation -1", true, ""},
		{"a generation that goes back", respondWatch(true, fakes.List(5, false), fakes.List(4, false, good), ""), "generation 4 after 5", true, "watch=1&from=0"},
		{"a whole list without endpoints", respondWatch(true, fakes.List(3, true), ""), "the whole list is empty", true, ""},
		{"one endpoint twice", respondWatch(true, fakes.List(3, true, good, good), ""), inJSON(`entries 1 and 2 are both "s-1"`), true, ""},
		{"an unknown lifecycle", respondWatch(true, fakes.List(3, false, good, listEntry("s-2", "127.0.0.1:1", "resting")), ""), inJSON(`entry 2, "s-2", has lifecycle "resting"`), true, ""},
		{"an endpoint without a name", respondWatch(true, fakes.List(3, false, listEntry("", "127.0.0.1:1", "in_service")), ""), inJSON(`entry 1, ""`), true, ""},
		{"started before all time", respondWatch(true, strings.Replace(fakes.List(3, false, good), `"startedAtMs":0`, `"startedAtMs":-5`, 1), ""), "started at -5", true, ""},
		{"no HTTP", respondRaw("SSH-2.0-x\r\n\r\n"), "status line", false, ""},
		{"a chunk without a size", respondRaw(head + "zz\r\n"), "chunk size", false, ""},
		{"a chunk of a negative size", respondRaw(head + "-5\r\n"), "chunk size", false, ""},
		{"a line without an end", respondEndless, "too long", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoint(t, withAdminListener, func(proxy *proxyProcess) { proxy.discovery.NextHandlers <- c.answer })
			testkit.Equal(t, "first call", "watch=1&from=1", fakes.Await(t, proxy.discovery.Watches))
			if c.again == "" {
				c.again = "watch=1&from=1"
			}
			testkit.Equal(t, "second call", c.again, fakes.Await(t, proxy.discovery.Watches))
			log := proxy.waitForLog("discovery: ")
			_, line, _ := strings.Cut(log, "discovery: ")
			line, _, _ = strings.Cut("discovery: "+line, "\n")
			call := fmt.Sprintf(`"address": %q, "path": "/registry/instances?watch=1&from=1", "object": `, proxy.discovery.Addr)
			for _, want := range []string{"discovery: call failed\t{", c.log, call} {
				if !strings.Contains(line, want) {
					t.Errorf("the log's line lacks %q: %s", want, line)
				}
			}
			proxy.waitForCounter("list_failures=1")
			proxy.waitForCounter(fmt.Sprintf("list_broken=%d", map[bool]int{true: 1}[c.broken]))
			testkit.Equal(t, "answer", []string{"UP r", "BYE", "EOF"}, serveOneRequest(proxy, conns))
			proxy.waitForMetrics(map[string]string{"svc.members": "1", "svc.members_unavailable": "0"})
		})
	}
}

// TestDiscoveryWatchStalls checks that a watch that stalls in the middle of a line, and stays open, is replaced beside
// it within six seconds, without counting as a failure. The lists are indented here.
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
	var many []string
	for i := range 3 {
		many = append(many, listEntry(fmt.Sprintf("s-%d", i+1), "127.0.0.1:1", "terminating"))
	}
	proxy.discovery.Lists <- strings.NewReplacer("{", "{\n  ", ",", ",\n  ", ":[", ":\n[").Replace(fakes.List(5, true, many...))
	testkit.Equal(t, "second call", "watch=1&from=2", fakes.Await(t, proxy.discovery.Watches))
	if begun := time.Since(stalledAt); begun < 2*time.Second {
		t.Errorf("called again after %v, before the watch had stalled", begun)
	}
	proxy.waitForCounter("lists=2") // the list known at the start counts too
	proxy.waitForCounter("list_failures=0")
	proxy.waitForMetrics(map[string]string{"svc.members": "3"})
}

// TestDiscoveryPushedLists checks that where lists are pushed the current one applies at once, in a new process and
// after an outage. On sockets a pushed list too arrives on a watch that the proxy opens.
func TestDiscoveryPushedLists(t *testing.T) {
	t.Parallel()
	conns := make(chan *fakes.Peer, 64)
	endpoint := fakes.NewScriptedEndpoint(t, "s-1", conns)
	proxy := startProxy(t, "null", withAdminListener, func(proxy *proxyProcess) {
		proxy.extraSettings = `"Discovery":"automatic",`
		for range 3 { // an outage
			proxy.discovery.NextHandlers <- respondRaw("")
		}
	})
	for range 4 {
		testkit.Equal(t, "call", "watch=1&from=0", fakes.Await(t, proxy.discovery.Watches))
	}
	proxy.discovery.Lists <- fakes.List(20, true, listEntry(endpoint.ID, endpoint.Addr, "in_service"))
	proxy.waitForCounter("lists=2")
	proxy.waitForCounter("list_failures=3")
	proxy.discovery.Lists <- "" // the next outage
	testkit.Equal(t, "call", "watch=1&from=20", fakes.Await(t, proxy.discovery.Watches))
	proxy.waitForMetrics(map[string]string{"svc.members": "1"})
}

// TestDiscoveryRepeatedLargeList checks that a repeated list changes nothing and that a list of 600 endpoints is used
// whole.
func TestDiscoveryRepeatedLargeList(t *testing.T) {
	conns := make(chan *fakes.Peer, 64)
	endpoint := fakes.NewScriptedEndpoint(t, "s-1", conns)
	var entries []string
	for i := range 600 {
		entries = append(entries, listEntry(fmt.Sprintf("s-%d", i+1), endpoint.Addr, "in_service"))
	}
	proxy := startProxy(t, fakes.List(1, true, entries[0]), withAdminListener)
	fakes.Await(t, proxy.discovery.Watches)
	many := fakes.List(2, true, entries...)
	for range 3 {
		proxy.discovery.Lists <- many
	}
	proxy.waitForCounter("lists=4") // the list known at the start counts too
	proxy.waitForMetrics(map[string]string{"svc.members": "600"})
	for range 10 {
		testkit.Equal(t, "answer", []string{"UP r", "BYE", "EOF"}, serveOneRequest(proxy, conns))
	}
	proxy.waitForCounter("list_failures=0")
}

// TestKnownListOutdated checks that the list known at the start may be old, empty or missing, or list other endpoints
// than discovery.
func TestKnownListOutdated(t *testing.T) {
	for _, c := range []struct{ name, known, first string }{
		{"old", fakes.List(7, true, listEntry("s-gone", "127.0.0.1:1", "in_service")), "watch=1&from=7"},
		{"ahead of discovery", fakes.List(900, true, listEntry("s-gone", "127.0.0.1:1", "in_service")), "watch=1&from=900"},
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
			if c.name == "ahead of discovery" {
				testkit.Equal(t, "call for the whole list", "watch=1&from=0", fakes.Await(t, proxy.discovery.Watches))
				proxy.discovery.Lists <- list
			}
			proxy.waitForMetrics(map[string]string{"svc.members": "1"})
			// The hash table follows at the next epoch; until then each request is rejected once.
			got := serveOneRequest(proxy, conns)
			for ; strings.HasPrefix(got[0], "BUSY"); got = serveOneRequest(proxy, conns) {
				testkit.Equal(t, "after a rejection", "EOF", got[1])
			}
			testkit.Equal(t, "answer", []string{"UP r", "BYE", "EOF"}, got)
		})
	}
}

// TestEndpointListWatch checks that the proxy calls again and follows when the watch ends, answers an invalid list, or
// arrives in pieces.
func TestEndpointListWatch(t *testing.T) {
	conns := make(chan *fakes.Peer, 64)
	endpoint := fakes.NewScriptedEndpoint(t, "s-7", conns)
	proxy := startProxy(t, fakes.List(41, true))
	testkit.Equal(t, "watch", "watch=1&from=41", fakes.Await(t, proxy.discovery.Watches))
	proxy.discovery.Lists <- ""
	testkit.Equal(t, "after its end", "watch=1&from=41", fakes.Await(t, proxy.discovery.Watches))
	proxy.discovery.Lists <- `{"generation":42,"reset":false,"instances":[{"instanceId":"s-7","lifecycle":"odd"}]}`
	testkit.Equal(t, "after an invalid list", "watch=1&from=41", fakes.Await(t, proxy.discovery.Watches))
	proxy.discovery.Lists <- fakes.List(43, false, listEntry(endpoint.ID, endpoint.Addr, "in_service"))
	proxy.waitForCounter("list_changes=1")
	proxy.waitForCounter("list_broken=1")
	proxy.discovery.Lists <- ""
	testkit.Equal(t, "after a change", "watch=1&from=43", fakes.Await(t, proxy.discovery.Watches))
	// The hash table follows at the next epoch; until then requests are rejected.
	for got := ""; got != "UP r"; got = requestAnswer(proxy.dial(), conns) {
	}
}
