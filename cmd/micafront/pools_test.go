package main

import (
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// withRouting adds the member "routing", with pools and routes, to the configuration.
func withRouting(text string) proxyOption {
	return func(proxy *proxyProcess) { proxy.routing = `"routing":` + text + `,` }
}

// twoPools returns pools "a" and "b", one for each zone, and routes by the first letter of the key. policy holds the members
// of the policy of the route to pool "a".
func twoPools(policy string) string {
	return `{"pools":[{"name":"a","select":{"zones":["a"]}},{"name":"b","select":{"zones":["b"]}}],
		"policies":[{"name":"p",` + policy + `}],
		"routes":[{"name":"toB","match":{"key":{"prefix":["b"]}},"to":[{"pool":"b","ppm":1000000}]},
		{"name":"toA","match":{"key":{"prefix":["a"]}},"to":[{"pool":"a","ppm":1000000}],"policy":"p"}]}`
}

// startWithZones starts the program with an endpoint in each zone, and returns the channels of their connections and the
// entries, by zone.
func startWithZones(t *testing.T, zones []string, options ...proxyOption) (*proxyProcess, map[string]chan *fakes.Peer, map[string]fakes.Entry) {
	t.Helper()
	conns, entries := map[string]chan *fakes.Peer{}, map[string]fakes.Entry{}
	var list []string
	for _, zone := range zones {
		conns[zone] = make(chan *fakes.Peer, 64)
		endpoint := fakes.NewScriptedEndpoint(t, "s-"+zone, conns[zone])
		entries[zone] = fakes.Entry{ID: endpoint.ID, Addr: endpoint.Addr, Zone: zone}
		list = append(list, entries[zone].String())
	}
	return startProxy(t, fakes.List(1, true, list...), options...), conns, entries
}

// connectWithRetry sends requests until one reaches an endpoint of the channel, accepts it, and returns both ends.
func (p *proxyProcess) connectWithRetry(conns chan *fakes.Peer, key string) (client, upstream *fakes.Peer) {
	p.t.Helper()
	for end := time.Now().Add(fakes.WaitTimeout); time.Now().Before(end); {
		client := p.dial()
		if line, accepted := openAndServe(client, conns, key, func(conn *fakes.Peer) { upstream = conn; sendUp(conn) }, client.ReadLine); accepted {
			testkit.Equal(p.t, "answer", "UP r", line)
			return client, upstream
		}
		client.Close()
	}
	p.t.Fatal("no request reached the endpoints")
	return nil, nil
}

// waitUntilServed sends requests until an endpoint of the channel serves one.
func (p *proxyProcess) waitUntilServed(conns chan *fakes.Peer, key string) {
	p.t.Helper()
	p.connectWithRetry(conns, key)
}

// TestRoutesChoosePools checks that a request goes to the pool of the route that matches it, and fails if none matches.
func TestRoutesChoosePools(t *testing.T) {
	t.Parallel()
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withRouting(twoPools(`"attempts":3`)))
	for range 5 {
		proxy.connect(conns["a"], "alpha")
		proxy.connect(conns["b"], "beta")
	}
	client := proxy.dial()
	client.Send(openLine("gamma"))
	testkit.Equal(t, "a key that no route matches", "ERR", client.ReadLine())
	proxy.waitForCounter("no_route=1")
	expectNoConn(t, conns["a"])
	expectNoConn(t, conns["b"])
}

// TestFallback checks that a request that its pool rejects is attempted in the policy's next pool, that attempts do not
// overlap and stay within the policy's limit, and that the client is answered when the last pool rejects the request.
func TestFallback(t *testing.T) {
	t.Parallel()
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withRouting(twoPools(`"attempts":2,"fallback":["b"]`)))
	for _, last := range []string{"UP r", "BUSY", "ERR"} {
		client := proxy.dial()
		client.Send(openLine("alpha"))
		upstream := fakes.Await(t, conns["a"])
		first := upstream.ReadLine()
		upstream.Send("BUSY\r\n")
		testkit.Equal(t, "end of the first pool's attempt", "EOF", upstream.ReadLine())
		upstream = fakes.Await(t, conns["b"])
		if second := upstream.ReadLine(); strings.Fields(second)[1] != strings.Fields(first)[1] {
			t.Errorf("the second attempt has another request id: %q after %q", second, first)
		}
		upstream.Send(last + "\r\n")
		got := client.ReadLine()
		switch last {
		case "UP r":
			testkit.Equal(t, "answer", "UP r", got)
		default: // both attempts are used up
			if !strings.HasPrefix(got, "BUSY") {
				t.Errorf("answer %q after %s from the second pool, want BUSY", got, last)
			}
			testkit.Equal(t, "end", "EOF", client.ReadLine())
		}
	}
	proxy.waitForCounter("fallbacks=3")
	proxy.waitForCounter("attempts=6")
	expectNoConn(t, conns["a"])
}

// TestFallbackWithinAttemptLimit checks that a request does not fall back to another pool if the policy allows no further
// attempt.
func TestFallbackWithinAttemptLimit(t *testing.T) {
	t.Parallel()
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withRouting(twoPools(`"attempts":1,"fallback":["b"],"come_back_from_us":700000,"come_back_to_us":700000`)))
	client := proxy.dial()
	client.Send(openLine("alpha"))
	upstream := fakes.Await(t, conns["a"])
	upstream.ReadLine()
	upstream.Send("BUSY\r\n")
	testkit.Equal(t, "answer, with the policy's retry delay", "BUSY 700", client.ReadLine())
	proxy.waitForCounter("fallbacks=0")
	expectNoConn(t, conns["b"])
}

// TestPoolWithoutEndpoints checks that a request goes to the fallback pool when its pool loses all endpoints.
func TestPoolWithoutEndpoints(t *testing.T) {
	t.Parallel()
	proxy, conns, entries := startWithZones(t, []string{"a", "b"}, withRouting(twoPools(`"attempts":4,"fallback":["b"]`)))
	client := proxy.dial()
	client.Send(openLine("alpha"))
	upstream := fakes.Await(t, conns["a"])
	upstream.ReadLine()
	removed := entries["a"]
	removed.Lifecycle = "terminated"
	proxy.discovery.Lists <- fakes.List(2, false, removed.String())
	proxy.waitForCounter("list_changes=1")
	upstream.Send("BUSY\r\n")
	upstream = fakes.Await(t, conns["b"])
	upstream.ReadLine()
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
	// The first pool now rejects requests without an attempt.
	proxy.connect(conns["b"], "alpha")
	proxy.waitForCounter("attempts=3")
}

// TestPoolAndRouteLimits checks the limits on the open connections of a pool and of a route.
func TestPoolAndRouteLimits(t *testing.T) {
	t.Parallel()
	text := strings.Replace(twoPools(`"fallback":["b"]`), `"select":{"zones":["a"]}`, `"select":{"zones":["a"]},"max_open":2`, 1)
	text = strings.Replace(text, `"name":"toB"`, `"name":"toB","max_open":1`, 1)
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withRouting(text))
	first, _ := proxy.connect(conns["a"], "alpha")
	proxy.connect(conns["a"], "alpha")
	proxy.connect(conns["b"], "alpha") // pool a is at its limit, and the policy has a fallback
	proxy.connect(conns["b"], "beta")
	client := proxy.dial()
	client.Send(openLine("beta"))
	if got := client.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("answer above the route's limit: %q", got)
	}
	first.Close()
	proxy.waitForCounter("open=3")
	proxy.connect(conns["a"], "alpha") // pool a is below its limit again
	expectNoConn(t, conns["b"])
}
