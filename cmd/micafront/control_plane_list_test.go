package main

import (
	"slices"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
)

// startWithListReplicas starts the program with replicas that serve a list with one endpoint in each of two zones. If
// prepare is not nil, it is called with the replicas before the program starts.
func startWithListReplicas(t *testing.T, count int, prepare func([]*listReplica)) (proxy *proxyProcess, replicas []*listReplica, discovery *fakes.DiscoveryServer,
	conns map[string]chan *fakes.Peer) {
	t.Helper()
	discovery, err := fakes.NewDiscoveryServer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	conns = map[string]chan *fakes.Peer{}
	for _, zone := range []string{"a", "b"} {
		conns[zone] = make(chan *fakes.Peer, 64)
		discovery.Set(fakes.Entry{ID: "s-" + zone, Addr: fakes.NewScriptedEndpoint(t, "s-"+zone, conns[zone]).Addr, Zone: zone})
	}
	var fakeReplicas []*fakeReplica
	for range count {
		replica := newListReplica(t, discovery)
		replicas = append(replicas, replica)
		fakeReplicas = append(fakeReplicas, replica.fakeReplica)
	}
	if prepare != nil {
		prepare(replicas)
	}
	proxy = startProxy(t, discovery.List(), withControlPlane("", fakeReplicas...))
	for _, replica := range fakeReplicas {
		replica.update(func(r *fakeReplica) { r.activeVersion = proxy.version(1, routesByKey("b"), fleetconfig.Terms{}) })
	}
	return proxy, replicas, discovery, conns
}

// expectNoCalls checks that none of the discovery services has been called.
func expectNoCalls(t *testing.T, services ...*fakes.ScriptedDiscovery) {
	t.Helper()
	for _, service := range services {
		testkit.Equal(t, "calls of discovery", 0, len(service.Watches))
	}
}

// TestListFromControlPlane checks that the proxy takes the list and its changes from the replica and does not call
// discovery, even after a reload changes the address of discovery. While the replica has no list, the proxy calls discovery.
func TestListFromControlPlane(t *testing.T) {
	t.Parallel()
	proxy, replicas, discovery, conns := startWithListReplicas(t, 1, nil)
	replica, second, third := replicas[0], fakes.NewScriptedDiscovery(t), fakes.NewScriptedDiscovery(t)
	testkit.Equal(t, "first call", "watch=1&from=0", fakes.Await(t, replica.listQueries))
	proxy.waitForMetrics(map[string]string{"svc.fleet.list_from": "0", "svc.fleet.list_number": "1", "svc.members": "2"})
	added := fakes.Entry{ID: "s-b2", Addr: fakes.NewScriptedEndpoint(t, "s-b2", conns["b"]).Addr, Zone: "b"}
	discovery.Set(added)
	proxy.waitForMetrics(map[string]string{"svc.members": "3", "svc.members_unavailable": "0"})
	added.Lifecycle = "terminating"
	discovery.Set(added)
	proxy.waitForMetrics(map[string]string{"svc.members": "3", "svc.members_unavailable": "1"})
	proxy.reload(proxy.discovery.Addr, second.Addr)
	proxy.waitForLog(logLine("configuration read again", `"discovery": "`+second.Addr+`"}`))
	added.Lifecycle = "terminated"
	discovery.Set(added)
	proxy.waitForMetrics(map[string]string{"svc.members": "2", "svc.members_unavailable": "0", "svc.fleet.list_moves": "0",
		"svc.fleet.list_failures": "0"})
	expectNoCalls(t, proxy.discovery, second)

	replica.setListNumber(0)
	testkit.Equal(t, "call of discovery while the replica has no list", "watch=1&from=0", fakes.Await(t, second.Watches))
	second.Lists <- fakes.List(70, true, fakes.Entry{ID: "s-a", Addr: added.Addr, Zone: "a"}.String())
	proxy.waitForMetrics(map[string]string{"svc.fleet.list_from": "discovery", "svc.fleet.list_number": "0", "svc.members": "1"})
	proxy.reload(second.Addr, third.Addr)
	testkit.Equal(t, "call at the new address", "watch=1&from=0", fakes.Await(t, third.Watches))
	third.Lists <- fakes.List(5, true, fakes.Entry{ID: "s-a", Addr: added.Addr, Zone: "a"}.String())
	replica.setListNumber(7)
	testkit.Equal(t, "call once the replica has a list again", "watch=1&from=0", fakes.Await(t, replica.listQueries))
	proxy.waitForMetrics(map[string]string{"svc.fleet.list_from": "0", "svc.fleet.list_number": "7", "svc.members": "2"})
	expectNoCalls(t, proxy.discovery, third)
	proxy.connectWithRetry(conns["b"], "alpha")
}

// TestListFromNextReplica checks that the proxy skips a replica that rejects list calls, whether it is the first or the
// second one, without waiting for the balancer's retry pause.
func TestListFromNextReplica(t *testing.T) {
	t.Parallel()
	for serving, name := range []string{"0", "1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, replicas, discovery, _ := startWithListReplicas(t, 2, func(replicas []*listReplica) { replicas[1-serving].serveListsWith(respondNotLeading) })
			testkit.Equal(t, "first call", "watch=1&from=0", fakes.Await(t, replicas[serving].listQueries))
			proxy.waitForMetrics(map[string]string{"svc.fleet.list_from": name, "svc.members": "2"})
			replicas[1-serving].serveListsWith(nil)
			replicas[serving].serveListsWith(respondNotLeading) // it has lost the leadership
			testkit.Equal(t, "call of the other replica", "watch=1&from=0", fakes.Await(t, replicas[1-serving].listQueries))
			discovery.Set(fakes.Entry{ID: "s-b2", Addr: "127.0.0.1:1", Zone: "b"})
			proxy.waitForMetrics(map[string]string{"svc.fleet.list_from": []string{"1", "0"}[serving], "svc.members": "3"})
			expectNoCalls(t, proxy.discovery)
			proxy.waitForCounter("list_failures=0") // counts only failures of discovery
		})
	}
}

// TestListFallsBackToDiscovery checks that the proxy calls discovery when no replica serves the list, but not before the
// replicas have had the time to elect a leader, and that it returns to the replicas once they serve again.
func TestListFallsBackToDiscovery(t *testing.T) {
	t.Parallel()
	for name, stopServing := range map[string]func(*listReplica){
		"unresponsive": func(replica *listReplica) { replica.serveListsWith(neverRespond) },
		"rejected":     func(replica *listReplica) { replica.serveListsWith(respondNotLeading) },
		"muted":        (*listReplica).muteLists,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, replicas, discovery, conns := startWithListReplicas(t, 3, nil)
			proxy.waitForMetrics(map[string]string{"svc.fleet.state": "leased", "svc.members": "2"})
			served := func(replica *listReplica) bool { return len(replica.listQueries) > 0 }
			for end := time.Now().Add(fakes.WaitTimeout); !slices.ContainsFunc(replicas, served); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("no replica was called for a list")
				}
			}
			began := time.Now()
			for _, replica := range replicas {
				stopServing(replica)
			}
			testkit.Equal(t, "call of discovery", "watch=1&from=0", fakes.Await(t, proxy.discovery.Watches))
			took := time.Since(began)
			t.Logf("discovery was called %v after the replicas stopped serving", took)
			if took < time.Second {
				t.Errorf("discovery was called after %v, want at least 1s: the election of a leader takes longer", took)
			}
			proxy.discovery.Lists <- discovery.List()
			proxy.waitForMetrics(map[string]string{"svc.fleet.list_from": "discovery", "svc.members": "2"})
			proxy.connectWithRetry(conns["b"], "alpha")
			for _, replica := range replicas {
				replica.serveListsWith(nil)
			}
			discovery.Set(fakes.Entry{ID: "s-b2", Addr: "127.0.0.1:1", Zone: "b"})
			proxy.waitForMetrics(map[string]string{"svc.members": "3"}) // the third one is only in the replicas' list
		})
	}
}

// TestListAfterHotRestart checks that a successor requests the list from its replica starting at the predecessor's
// generation, and from the start if the predecessor's list came from discovery.
func TestListAfterHotRestart(t *testing.T) {
	t.Parallel()
	proxy, replicas, discovery, _ := startWithListReplicas(t, 1, nil)
	replica := replicas[0]
	testkit.Equal(t, "first call", "watch=1&from=0", fakes.Await(t, replica.listQueries))
	discovery.Set(fakes.Entry{ID: "s-b2", Addr: "127.0.0.1:1", Zone: "b"})
	proxy.waitForMetrics(map[string]string{"svc.members": "3", "svc.fleet.state": "leased"})
	successor := proxy.startSuccessor()
	testkit.Equal(t, "call of the successor", "watch=1&from=4", fakes.Await(t, replica.listQueries))
	proxy.waitForLog(logSuccessorServes)
	proxy.stop()
	replica.setListNumber(0)
	fakes.Await(t, proxy.discovery.Watches)
	proxy.discovery.Lists <- fakes.List(2, true, fakes.Entry{ID: "s-b", Addr: "127.0.0.1:1", Zone: "b"}.String())
	successor.waitForMetrics(map[string]string{"svc.fleet.list_from": "discovery", "svc.members": "1"})
	second := newListReplica(t, discovery)
	second.update(func(r *fakeReplica) { r.activeVersion = proxy.version(1, routesByKey("b"), fleetconfig.Terms{}) })
	proxy.editConfig(replica.addr, second.addr)
	third := successor.startSuccessor()
	testkit.Equal(t, "call of the successor after a list from discovery", "watch=1&from=0", fakes.Await(t, second.listQueries))
	third.waitForMetrics(map[string]string{"svc.members": "3"})
}
