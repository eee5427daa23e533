package main

import (
	"testing"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
)

// fallbackToB are the pools "a" and "b", of which "a" falls back to "b". onlyPoolA has only the former.
var (
	fallbackToB = twoPools(`"attempts":3,"fallback":["b"]`)
	onlyPoolA   = `{"pools":[{"name":"a","select":{"zones":["a"]}}],"default":"toA","routes":[{"name":"toA","to":[{"pool":"a","ppm":1000000}]}]}`
)

// startWithPendingFallback starts the program with fallbackToB. It returns a client whose request waits at the endpoint of pool "a",
// and that endpoint's connection.
func startWithPendingFallback(t *testing.T) (proxy *proxyProcess, conns map[string]chan *fakes.Peer, client, upstream *fakes.Peer) {
	t.Helper()
	proxy, conns, _ = startWithZones(t, []string{"a", "b"}, withRouting(fallbackToB))
	client, upstream = proxy.openPending(conns["a"], "alpha")
	return proxy, conns, client, upstream
}

// TestReloadRemovesFallbackPool guards against a crash: a request that fell back to a pool without limits that a reload had
// removed ended the process (review/1).
func TestReloadRemovesFallbackPool(t *testing.T) {
	t.Parallel()
	proxy, conns, client, upstream := startWithPendingFallback(t)
	kept, keptUpstream := proxy.connect(conns["a"], "alpha")
	proxy.reload(proxy.routing, `"routing":`+onlyPoolA+`,`)
	proxy.waitForLog(logLine("pool removed", `"pool": "b", `))
	upstream.Send("BUSY\r\n")
	proxy.expectRejectionAnswer(client)
	kept.Send("still here\r\n")
	testkit.Equal(t, "established connection", "still here", keptUpstream.ReadLine())
	expectNoConn(t, conns["b"])
}

// TestReloadRenamesFallbackPool guards against requests that lose their fallback pool, or end the process, because a reload
// renamed that pool while they waited (review/1).
func TestReloadRenamesFallbackPool(t *testing.T) {
	t.Parallel()
	proxy, conns, client, upstream := startWithPendingFallback(t)
	proxy.editConfig(`{"name":"b","select"`, `{"name":"c","was":["b"],"select"`)
	proxy.editConfig(`"fallback":["b"]`, `"fallback":["c"]`)
	proxy.reload(`"to":[{"pool":"b"`, `"to":[{"pool":"c"`)
	proxy.waitForLog(logLine("pool renamed", `"from": "b", "to": "c"}`))
	upstream.Send("BUSY\r\n")
	fallback := fakes.Await(t, conns["b"])
	fallback.ReadLine()
	sendUp(fallback)
	testkit.Equal(t, "answer from the renamed pool", "UP r", client.ReadLine())
}

// TestReloadLimitsFallbackPool guards against a pool that exceeds a limit of the new configuration, because a waiting request
// was checked against the limits under which it had been routed.
func TestReloadLimitsFallbackPool(t *testing.T) {
	t.Parallel()
	proxy, conns, client, upstream := startWithPendingFallback(t)
	proxy.connect(conns["b"], "beta")
	proxy.reload(`"select":{"zones":["b"]}`, `"max_open":1,"select":{"zones":["b"]}`)
	proxy.waitForCounter("reloads=1")
	upstream.Send("BUSY\r\n")
	proxy.expectRejectionAnswer(client)
	expectNoConn(t, conns["b"])
}

// TestFleetVersionRemovesFallbackPool guards against the crash of TestReloadRemovesFallbackPool at a change of the fleet's
// version, which ended all proxies of the fleet at once.
func TestFleetVersionRemovesFallbackPool(t *testing.T) {
	t.Parallel()
	proxy, replica, conns := startInFleet(t, fleetconfig.Terms{}, "")
	replica.update(func(replica *fakeReplica) { replica.activeVersion = proxy.version(2, fallbackToB, fleetconfig.Terms{}) })
	proxy.waitForMetrics(map[string]string{"svc.fleet.in_force": "2"})
	client, upstream := proxy.openPending(conns["a"], "alpha")
	replica.update(func(replica *fakeReplica) { replica.activeVersion = proxy.version(3, onlyPoolA, fleetconfig.Terms{}) })
	proxy.waitForMetrics(map[string]string{"svc.fleet.in_force": "3"})
	upstream.Send("BUSY\r\n")
	proxy.expectRejectionAnswer(client)
	proxy.connect(conns["a"], "alpha")
	expectNoConn(t, conns["b"])
}

// TestReloadRemovesDialedPool guards against a request that goes to a removed pool because its connection to the endpoint was
// being set up during the reload.
func TestReloadRemovesDialedPool(t *testing.T) {
	t.Parallel()
	delayed, unblock := newDelayedListener(t)
	conns := make(chan *fakes.Peer, 64)
	spare := fakes.NewScriptedEndpoint(t, "s-b", conns)
	proxy := startProxy(t, fakes.List(1, true, fakes.Entry{ID: "s-a", Addr: delayed.Addr().String(), Zone: "a"}.String(),
		fakes.Entry{ID: spare.ID, Addr: spare.Addr, Zone: "b"}.String()), withRouting(fallbackToB))
	client := proxy.dial()
	client.Send(openLine("alpha"))
	waitForSocketState(t, delayed.Addr().String(), socketSynSent)
	proxy.reload(proxy.routing, `"routing":{"pools":[{"name":"b","select":{"zones":["b"]}}],"routes":[]},`)
	proxy.waitForLog(logLine("pool removed", `"pool": "a", `))
	expectNoRequest(t, acceptDelayed(t, delayed, unblock))
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	sendUp(upstream)
	testkit.Equal(t, "answer from the fallback pool", "UP r", client.ReadLine())
}
