package main

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

// compileRoutes compiles a JSON text of pools and routes to a table.
func compileRoutes(t *testing.T, text string) *routing.Table {
	t.Helper()
	var set routing.Set
	if err := decodeJSON(text, &set); err != nil {
		t.Fatal(err)
	}
	table, err := routing.New(set)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestReloadOfPools checks that on a reload the remaining pools keep their connections, even if they are renamed, and that
// the connections of a removed pool are moved within the configured time.
func TestReloadOfPools(t *testing.T) {
	t.Parallel()
	proxy, conns, _ := startWithZones(t, []string{"a", "b", "c"}, withRouting(strings.Replace(twoPools(`"attempts":3`), `"pools":[`, `"drain_over_us":400000,"pools":[`, 1)))
	kept, keptUpstream := proxy.connect(conns["a"], "alpha")
	var removedPoolClients []*fakes.Peer
	for range 4 {
		c, _ := proxy.connect(conns["b"], "beta")
		removedPoolClients = append(removedPoolClients, c)
	}
	proxy.editConfig(`{"name":"a","select"`, `{"name":"first","was":["a"],"select"`)
	proxy.editConfig(`"to":[{"pool":"a"`, `"to":[{"pool":"first"`)
	proxy.editConfig(`{"name":"b","select":{"zones":["b"]}}`, `{"name":"c","select":{"zones":["c"]}}`)
	proxy.editConfig(`"to":[{"pool":"b"`, `"to":[{"pool":"c"`)
	proxy.command.Process.Signal(syscall.SIGHUP)
	proxy.waitForLog(logLine("pool renamed", `"from": "a", "to": "first"}`))
	proxy.waitForLog(logLine("pool created", `"pool": "c"}`))
	proxy.waitForLog(logLine("pool removed", `"pool": "b", "connections": 4, "drain_time": "400ms"}`))
	proxy.connect(conns["c"], "beta")
	for _, c := range removedPoolClients {
		testkit.Equal(t, "from the removed pool", []string{"MOVE", "EOF"}, []string{c.ReadLine(), c.ReadLine()})
	}
	proxy.waitForLog(logLine("removed pool has no connections left", `"pool": "b"}`))
	proxy.waitForCounter("moves_retired=4")
	kept.Send("still here\r\n")
	testkit.Equal(t, "through the renamed pool", "still here", keptUpstream.ReadLine())
	proxy.connect(conns["a"], "alpha")
	expectNoConn(t, conns["b"])
	// Invalid routes change nothing.
	proxy.reload(`"pool":"c"`, `"pool":"nowhere"`)
	proxy.waitForLog(logLine(logConfigRejected, `"error": "`+
		inJSON(proxy.configPath+`: routing: route "toB" goes to pool "nowhere", which does not exist`)))
	proxy.connect(conns["c"], "beta")
}

// TestReloadDuringRequest checks that a request whose pool is removed while it is pending is served by the policy's fallback
// pool, and that a repeated reload changes nothing.
func TestReloadDuringRequest(t *testing.T) {
	t.Parallel()
	proxy, conns, _ := startWithZones(t, []string{"a", "b", "c"}, withRouting(twoPools(`"attempts":3,"fallback":["b"]`)))
	client := proxy.dial()
	client.Send(openLine("alpha"))
	upstream := fakes.Await(t, conns["a"])
	upstream.ReadLine()
	proxy.editConfig(`{"name":"a","select":{"zones":["a"]}}`, `{"name":"c","select":{"zones":["c"]}}`)
	proxy.editConfig(`"to":[{"pool":"a"`, `"to":[{"pool":"c"`)
	proxy.command.Process.Signal(syscall.SIGHUP)
	proxy.command.Process.Signal(syscall.SIGHUP)
	proxy.waitForLog(logLine("pool removed", `"pool": "a", `))
	upstream.Send("BUSY\r\n")
	upstream = fakes.Await(t, conns["b"])
	upstream.ReadLine()
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
	proxy.connect(conns["c"], "alpha")
	proxy.waitForLog(logLine("removed pool has no connections left", `"pool": "a"}`))
}

// TestEndpointChangesPool checks that when an endpoint's entry changes to another pool, the endpoint's connections continue,
// and the other pool places new connections on it and moves all of them when it drains.
func TestEndpointChangesPool(t *testing.T) {
	t.Parallel()
	proxy, conns, entries := startWithZones(t, []string{"a", "b"}, withRouting(twoPools(`"attempts":3`)))
	client, upstream := proxy.connect(conns["a"], "alpha")
	moved := entries["a"]
	moved.Zone = "b"
	removed := entries["b"]
	removed.Lifecycle = "terminated"
	proxy.discovery.Lists <- fakes.List(2, false, moved.String(), removed.String())
	proxy.waitForLog(logLine("endpoint moved to another pool", `"endpoint": "s-a", "from": "a", "to": "b"}`))
	proxy.waitForCounter("transfers=1")
	client.Send("line\r\n")
	testkit.Equal(t, "still relayed", "line", upstream.ReadLine())
	proxy.waitUntilServed(conns["a"], "beta") // the only endpoint of pool b, once the pool's hash table includes it
	rejected := proxy.dial()
	rejected.Send(openLine("alpha"))
	if got := rejected.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("answer %q from a pool without endpoints, want BUSY", got)
	}
	moved.Lifecycle = "terminating"
	proxy.discovery.Lists <- fakes.List(3, false, moved.String())
	testkit.Equal(t, "moved off the draining endpoint", "MOVE", client.ReadLine())
}

// TestEndpointChangesPoolDuringRequest guards against a connection that counts towards the limits of its endpoint's former pool
// because the endpoint changed pools before the connection was established.
func TestEndpointChangesPoolDuringRequest(t *testing.T) {
	t.Parallel()
	proxy, conns, entries := startWithZones(t, []string{"a", "b"}, withRouting(fallbackToB), withAdminListener)
	client, upstream := proxy.openPending(conns["a"], "alpha")
	moved := entries["a"]
	moved.Zone = "b"
	proxy.discovery.Lists <- fakes.List(2, false, moved.String())
	proxy.waitForLog(logLine("endpoint moved to another pool", `"endpoint": "s-a", "from": "a", "to": "b"}`))
	sendUp(upstream)
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
	proxy.waitForMetrics(map[string]string{"svc.pool.a.open": "0", "svc.pool.b.open": "1", "svc.transfers": "1"})
	moved.Lifecycle = "terminating"
	proxy.discovery.Lists <- fakes.List(3, false, moved.String())
	testkit.Equal(t, "moved off the draining endpoint", "MOVE", client.ReadLine())
}

// TestWarmingEndpointChangesPool checks that an endpoint that changes pools during slow start belongs to neither pool until
// it is warm, so that its slow-start budget counts only once.
func TestWarmingEndpointChangesPool(t *testing.T) {
	t.Parallel()
	proxy, conns, entries := startWithZones(t, []string{"a", "b"}, withRouting(twoPools(`"attempts":3`)))
	moved := entries["a"]
	moved.StartedAt = time.Now()
	proxy.discovery.Lists <- fakes.List(2, false, moved.String())
	proxy.waitForCounter("list_changes=1")
	moved.Zone = "b"
	removed := entries["b"]
	removed.Lifecycle = "terminated"
	proxy.discovery.Lists <- fakes.List(3, false, moved.String(), removed.String())
	proxy.waitForLog(logLine("endpoint moves to another pool once it is warm", `"endpoint": "s-a", "from": "a", "to": "b"}`))
	client := proxy.dial()
	client.Send(openLine("beta"))
	if got := client.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("answer %q, want BUSY: pool b must not use the endpoint during its slow start", got)
	}
	expectNoConn(t, conns["a"])
	proxy.waitForLog(logLine("endpoint is warm and moved to its pool", `"endpoint": "s-a", "from": "", "to": "b"}`))
	proxy.waitUntilServed(conns["a"], "beta")
}

// TestReloadDuringReattach guards against a reattached connection that stays with a pool and a route of a former
// configuration: its client was not asked to move when its endpoint drained, and no limit counted it.
func TestReloadDuringReattach(t *testing.T) {
	t.Parallel()
	proxy, conns, entries := startWithZones(t, []string{"a", "b"}, withRouting(fallbackToB), withAdminListener)
	client := proxy.dial()
	client.Send("OPEN id beta c=feed,d=60000,at=s-b\r\n")
	upstream := fakes.Await(t, conns["b"])
	upstream.ReadLine()
	proxy.editConfig(`{"name":"b","select"`, `{"name":"c","select"`)
	proxy.editConfig(`"fallback":["b"]`, `"fallback":["c"]`)
	proxy.reload(`"to":[{"pool":"b"`, `"to":[{"pool":"c"`)
	proxy.waitForLog(logLine("removed pool has no connections left", `"pool": "b"}`))
	sendUp(upstream)
	testkit.Equal(t, "answer", "UP r", client.ReadLine())
	proxy.waitForMetrics(map[string]string{"svc.pool.c.open": "1", "svc.route.toB.open": "1"})
	draining := entries["b"]
	draining.Lifecycle = "terminating"
	proxy.discovery.Lists <- fakes.List(2, false, draining.String())
	testkit.Equal(t, "moved off the draining endpoint", "MOVE", client.ReadLine())
}

// TestEndpointWithoutPoolDrains guards against clients that are cut off when their endpoint leaves, because a reload removed the
// endpoint's pool, or narrowed it, and no balancer that has their connections hears of the drain any longer.
func TestEndpointWithoutPoolDrains(t *testing.T) {
	t.Parallel()
	narrowed := strings.Replace(fallbackToB, `"zones":["b"]`, `"zones":["elsewhere"]`, 1)
	for _, c := range []struct {
		name, routing string
		hotRestart    bool
	}{
		{"removed pool", onlyPoolA, false},
		{"narrowed pool", narrowed, false},
		{"removed pool at a hot restart", onlyPoolA, true},
		{"narrowed pool at a hot restart", narrowed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			proxy, conns, entries := startWithZones(t, []string{"a", "b"}, withRouting(fallbackToB))
			kept, keptUpstream := proxy.connect(conns["a"], "alpha")
			var clients []*fakes.Peer
			for range 60 {
				client, _ := proxy.connect(conns["b"], "beta")
				clients = append(clients, client)
			}
			proxy.editConfig(proxy.routing, `"routing":`+c.routing+`,`)
			if c.hotRestart {
				successor := proxy.startSuccessor()
				proxy.waitForLog(logSuccessorServes)
				proxy.stop()
				successor.waitForCounter("taken_over=61")
				proxy = successor
			} else {
				proxy.command.Process.Signal(syscall.SIGHUP)
				proxy.waitForCounter("reloads=1")
			}
			draining := entries["b"]
			draining.Lifecycle = "terminating"
			start := time.Now()
			proxy.discovery.Lists <- fakes.List(2, false, draining.String())
			for _, client := range clients {
				testkit.Equal(t, "before the endpoint leaves", "MOVE", client.ReadLine())
			}
			const grace = 3 * time.Second // DrainGrace of the settings
			if took := time.Since(start); took > grace {
				t.Errorf("the last client was asked to move after %v, want within %v", took, grace)
			}
			proxy.waitForCounter("open=1")
			kept.Send("still here\r\n")
			testkit.Equal(t, "at the other endpoint", "still here", keptUpstream.ReadLine())
		})
	}
}

// TestDiffPredictsReload checks that a reload moves exactly the keys that routing.Diff predicts.
func TestDiffPredictsReload(t *testing.T) {
	t.Parallel()
	old := twoPools(`"attempts":3`)
	next := strings.Replace(old, `"name":"toA","match":{"key":{"prefix":["a"]}},"to":[{"pool":"a","ppm":1000000}]`,
		`"name":"toA","match":{"key":{"prefix":["a"]}},"to":[{"pool":"a","ppm":700000},{"pool":"b","ppm":300000}]`, 1)
	next = strings.Replace(next, `"prefix":["b"]`, `"prefix":["b"],"exact":["a7"]`, 1)
	changes, err := routing.Diff(compileRoutes(t, old), compileRoutes(t, next), routing.MatchSpace{})
	if err != nil || len(changes) == 0 {
		t.Fatal(err, changes)
	}
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withRouting(old))
	poolsByKey := func() map[string]string {
		pools := map[string]string{}
		for i := range 40 {
			key := fmt.Sprint([]string{"a", "b"}[i%2], i/2)
			client := proxy.dial()
			client.Send(openLine(key))
			var upstream *fakes.Peer
			select {
			case upstream = <-conns["a"]:
				pools[key] = "a"
			case upstream = <-conns["b"]:
				pools[key] = "b"
			case <-time.After(fakes.WaitTimeout):
				t.Fatal("the proxy dialed no endpoint")
			}
			upstream.ReadLine()
			upstream.Send("UP r\r\n")
			testkit.Equal(t, "answer", "UP r", client.ReadLine())
		}
		return pools
	}
	before := poolsByKey()
	proxy.reload(proxy.routing, `"routing":`+next+`,`)
	proxy.waitForCounter("reloads=1")
	after := poolsByKey()
	moved := 0
	for key := range before {
		position := routing.SplitPosition(&routing.ConnectionAttributes{Key: key})
		predicted := false
		for _, c := range changes {
			matches := position >= c.From && position < c.From+c.PPM && c.ChangesPool()
			for _, s := range c.Cell {
				matches = matches && s.Contains(map[string]string{"key": key}[s.Dimension])
			}
			predicted = predicted || matches
		}
		if differs := before[key] != after[key]; differs != predicted {
			t.Errorf("key %s: pool %s before and %s after, move predicted: %v", key, before[key], after[key], predicted)
		} else if differs {
			moved++
		}
	}
	if moved == 0 || moved == len(before) {
		t.Errorf("%d of %d keys moved, want some but not all", moved, len(before))
	}
}

// TestReloadWhileDrained checks the metrics of pools and routes, a reload of pools during a drain, and a change of the log
// level.
func TestReloadWhileDrained(t *testing.T) {
	t.Parallel()
	proxy, conns, _ := startWithZones(t, []string{"a", "b", "c"}, withRouting(twoPools(`"attempts":3`)), withAdminListener)
	proxy.adminCall("PUT", "/api/log/debug")
	client, _ := proxy.connect(conns["b"], "beta")
	proxy.waitForLog(`routed`)
	proxy.waitForMetrics(map[string]string{"svc.pool.b.open": "1", "svc.pool.a.open": "0", "svc.route.toB.open": "1", "svc.pool.a.members": "1"})
	status, body := proxy.adminCall("PUT", "/api/log/loud")
	testkit.Equal(t, "unknown level", []any{404, "no such call\n"}, []any{status, body})
	_, body = proxy.adminCall("GET", "/api/log")
	testkit.Equal(t, "level", "debug\n", body)
	proxy.adminCall("PUT", "/api/evacuate")
	proxy.editConfig(`{"name":"b","select":{"zones":["b"]}}`, `{"name":"c","select":{"zones":["c"]}}`)
	proxy.reload(`"to":[{"pool":"b"`, `"to":[{"pool":"c"`)
	proxy.waitForLog(logLine("pool removed", `"pool": "b", `))
	testkit.Equal(t, "moved once", []string{"MOVE", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
	// The new pools serve new connections.
	lateClient, _ := proxy.connect(conns["c"], "beta")
	testkit.Equal(t, "moved while drained", "MOVE", lateClient.ReadLine())
	proxy.adminCall("PUT", "/api/rejoin")
	proxy.connect(conns["c"], "beta")
	expectNoConn(t, conns["b"])
}

// TestReloadDuringHotRestart checks that during a hot restart with changed pools the successor starts with the new
// configuration file and receives the connections of the old process.
func TestReloadDuringHotRestart(t *testing.T) {
	t.Parallel()
	proxy, conns, _ := startWithZones(t, []string{"a", "b", "c"}, withRouting(twoPools(`"attempts":3`)))
	kept, keptUpstream := proxy.connect(conns["a"], "alpha")
	rerouted, reroutedUpstream := proxy.connect(conns["b"], "beta")
	proxy.editConfig(`{"name":"b","select":{"zones":["b"]}}`, `{"name":"b2","was":["b"],"select":{"zones":["b"]}},{"name":"c","select":{"zones":["c"]}}`)
	proxy.editConfig(`"to":[{"pool":"b","ppm":1000000}]`, `"to":[{"pool":"c","ppm":1000000}]`)
	successor := proxy.startSuccessor()
	proxy.waitForLog(logSuccessorServes)
	proxy.command.Process.Signal(syscall.SIGHUP)
	proxy.waitForLog(logLine("pool renamed", `"from": "b", "to": "b2"}`))
	proxy.command.Process.Signal(syscall.SIGTERM)
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Fatal(err)
	}
	successor.waitForCounter("taken_over=2")
	for _, ends := range [][2]*fakes.Peer{{kept, keptUpstream}, {rerouted, reroutedUpstream}} {
		ends[0].Send("on\r\n")
		testkit.Equal(t, "relayed by the successor", "on", ends[1].ReadLine())
	}
	successor.waitUntilServed(conns["c"], "beta")
	successor.connect(conns["a"], "alpha")
}

// TestProtocolUnderReloads checks that under repeated reloads, with many clients and two pools that are often full, every
// request gets exactly one final answer and no two attempts of a request overlap.
func TestProtocolUnderReloads(t *testing.T) {
	t.Parallel()
	checker := fakes.NewProtocolChecker()
	var entries []string
	for i, zone := range []string{"a", "a", "b", "b"} {
		endpoint, err := fakes.NewEndpoint(fakes.Entry{ID: fmt.Sprint("s-", i), Zone: zone}, checker, 6, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(endpoint.Stop)
		entries = append(entries, endpoint.String())
	}
	routeSets := []string{twoPools(`"attempts":3,"fallback":["b"]`),
		strings.NewReplacer(`{"name":"a",`, `{"name":"x","was":["a"],`, `"pool":"a"`, `"pool":"x"`).Replace(twoPools(`"attempts":2,"fallback":["b"]`)),
		`{"drain_over_us":200000,"pools":[{"name":"all"}],"routes":[{"name":"toA","to":[{"pool":"all","ppm":1000000}],"max_open":20}]}`}
	proxy := startProxy(t, fakes.List(1, true, entries...), withRouting(routeSets[0]))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := fakes.NewClients(proxy.addr, checker, 7)
	clients.SendInterval = 20 * time.Millisecond
	for i := range 40 {
		clients.Add(ctx, "feed", fmt.Sprint([]string{"a", "b"}[i%2], i), "")
	}
	for round := range 6 {
		answers := checker.Counts().Answers
		for end := time.Now().Add(fakes.WaitTimeout); checker.Counts().Answers < answers+30; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("round %d: answers stopped: %+v", round, checker.Counts())
			}
		}
		proxy.reload(routeSets[round%3], routeSets[(round+1)%3])
		proxy.waitForCounter(fmt.Sprintf("reloads=%d", round+1))
	}
	cancel()
	clients.Wait()
	testkit.Equal(t, "violations", 0, len(checker.Violations()))
	for _, violation := range checker.Violations() {
		t.Log(violation)
	}
	if counts := checker.Counts(); counts.Served == 0 || counts.Rejected == 0 {
		t.Errorf("no request was served or none was rejected: %+v", counts)
	}
	proxy.waitForCounter("open=0")
}
