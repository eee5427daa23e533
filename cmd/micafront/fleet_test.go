package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

// version returns a version of the fleet's configuration with the settings of the process's file and the given routes.
func (p *proxyProcess) version(number uint64, routing string, terms fleetconfig.Terms) fleetconfig.Version {
	p.t.Helper()
	text, err := os.ReadFile(p.configPath)
	var file struct{ Settings json.RawMessage }
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err == nil {
		terms, err = terms.WithDefaults("test")
	}
	if err != nil {
		p.t.Fatal(err)
	}
	v := fleetconfig.Version{Number: number, Body: fleetconfig.Body{Settings: file.Settings, Routing: json.RawMessage(routing), Fleet: terms}}
	v.Digest = v.Body.Digest()
	return v
}

// routesByKey returns two pools, one for each zone, and routes by the first letter of the key: "b" goes to pool b and "a" to
// poolOfA.
func routesByKey(poolOfA string) string {
	return strings.Replace(twoPools(`"attempts":3`), `"to":[{"pool":"a"`, `"to":[{"pool":"`+poolOfA+`"`, 1)
}

// withControlPlane adds a fleet record with these replicas to the configuration; members holds further members of the
// record, each with a leading comma.
func withControlPlane(members string, replicas ...*fakeReplica) proxyOption {
	return func(proxy *proxyProcess) {
		var addrs []string
		for _, replica := range replicas {
			addrs = append(addrs, fmt.Sprintf("%q", replica.addr))
		}
		proxy.routing = fmt.Sprintf(`"routing":%s,"fleet":{"keepers":[%s]%s},`, routesByKey("a"), strings.Join(addrs, ","), members)
		proxy.adminListen = "127.0.0.1:0"
	}
}

// startInFleet starts the program with one replica and two zones and waits until version 1 is active, which routes all keys
// to pool b. members holds further members of the fleet record.
func startInFleet(t *testing.T, terms fleetconfig.Terms, members string) (*proxyProcess, *fakeReplica, map[string]chan *fakes.Peer) {
	t.Helper()
	replica := newFakeReplica(t)
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withControlPlane(members, replica))
	replica.update(func(replica *fakeReplica) { replica.activeVersion = proxy.version(1, routesByKey("b"), terms) })
	proxy.waitForMetrics(map[string]string{"svc.fleet.state": "leased", "svc.fleet.in_force": "1"})
	return proxy, replica, conns
}

// expectKeyRejected sends a request and checks that it is rejected with a retry delay.
func (p *proxyProcess) expectKeyRejected(key string) {
	p.t.Helper()
	client := p.dial()
	client.Send(openLine(key))
	p.expectRejectionAnswer(client)
}

// expectRejectionAnswer checks that a client's next answer is a rejection with a retry delay of at most a second.
func (p *proxyProcess) expectRejectionAnswer(client *fakes.Peer) {
	p.t.Helper()
	var retryMs int
	if line := client.ReadLine(); !strings.HasPrefix(line, "BUSY ") {
		p.t.Errorf("answer %q, want a rejection", line)
	} else if _, err := fmt.Sscanf(line, "BUSY %d", &retryMs); err != nil || retryMs < 1 || retryMs > 1000 {
		p.t.Errorf("answer %q has no valid retry delay: %v", line, err)
	}
	testkit.Equal(p.t, "after the rejection", "EOF", client.ReadLine())
}

// metric returns the current value of an integer metric of the telemetry.
func (p *proxyProcess) metric(name string) (n int) {
	p.t.Helper()
	_, body := p.adminCall("GET", "/api/telemetry")
	_, value, _ := strings.Cut("\n"+body, "\n"+name+"=")
	if _, err := fmt.Sscan(value, &n); err != nil {
		p.t.Fatalf("metric %s: %v in %s", name, err, body)
	}
	return n
}

// largeRoutes returns eleven routes with 2,700 combinations of match values each and one with 4,000.
func largeRoutes() string {
	texts := func(n int, prefix string) string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf(`"%s%02d"`, prefix, i))
		}
		return strings.Join(out, ",")
	}
	var routes []string
	for i, n := range append(slices.Repeat([]int{27}, 11), 40) {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","precedence":%d,"to":[{"pool":"a","ppm":1000000}],
			"match":{"key":{"exact":[%s]},"group":{"exact":[%s]},"fields":{"x":{"exact":[%s]}}}}`, i, i, texts(n, "k"), texts(10, "g"), texts(10, "x")))
	}
	return fmt.Sprintf(`{"pools":[{"name":"a"}],"routes":[%s]}`, strings.Join(routes, ","))
}

// albumCatalog returns a catalog with one service that has two providers; lost is the mesh whose link is lost.
func albumCatalog(lost string) json.RawMessage {
	s := catalog.State{Number: 5, Entries: []catalog.Entry{{Name: "album", Owner: "o", Contract: "c", Status: catalog.StatusHeld, Cause: catalog.CauseSoleClaimant}}}
	for _, zone := range []string{"a", "b"} {
		mesh := "mesh-" + zone
		s.Entries[0].Providers = append(s.Entries[0].Providers, catalog.Provider{Mesh: mesh, Zones: []string{zone}, Lost: mesh == lost,
			Pool: routing.Pool{Name: "album." + mesh, Precedence: 1}}) // takes precedence over the pools a and b, which select the same endpoints
	}
	text, _ := json.Marshal(&s)
	return text
}

// TestFleetVersionChanges checks that the control plane's version is active instead of the file's settings and routes: no
// new connection is accepted before the first lease, and each later version applies once it is active, not once it is
// prepared. Established connections continue.
func TestFleetVersionChanges(t *testing.T) {
	t.Parallel()
	replica := newFakeReplica(t)
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withControlPlane("", replica))
	renewal := replica.waitForRenewal("renewed", func(fleetconfig.Renewal) bool { return true })
	testkit.Equal(t, "first renewal", []any{"n0", uint64(1), uint64(0), uint64(0)}, []any{renewal.Node, renewal.Seq, renewal.ActiveVersion, renewal.PreparedVersion})
	testkit.Equal(t, "memory limit", uint64(192)<<20*3/4, replica.waitForRenewal("memory limit", func(renewal fleetconfig.Renewal) bool { return renewal.Headroom.Limit > 0 }).Headroom.Limit)
	testkit.Equal(t, "readiness", "ERR DRAINED", proxy.ping())
	proxy.waitForMetrics(map[string]string{"svc.fleet.state": "starting", "svc.fleet.in_force": "0"})
	proxy.expectKeyRejected("alpha")
	client := proxy.dial()
	client.Send("OPEN x alpha c=later,d=60000\r\n") // the file does not define the class, but the first version may
	proxy.expectRejectionAnswer(client)
	resumed := proxy.dial() // an established connection always continues
	resumed.Send(fmt.Sprintf("OPEN %s beta c=feed,d=60000,mid=1\r\n", fakes.NextID()))
	resumedUpstream := fakes.Await(t, conns["b"])
	resumedUpstream.ReadLine()
	resumedUpstream.Send("UP r\r\n")
	testkit.Equal(t, "resumed", "UP r", resumed.ReadLine())

	replica.update(func(replica *fakeReplica) {
		replica.activeVersion = proxy.version(1, routesByKey("b"), fleetconfig.Terms{})
	})
	proxy.waitForMetrics(map[string]string{"svc.fleet.state": "leased", "svc.fleet.in_force": "1", "svc.fleet.switches": "1"})
	testkit.Equal(t, "readiness", "PONG", proxy.ping())
	established, upstream := proxy.connectWithRetry(conns["b"], "alpha")

	second := proxy.version(2, routesByKey("a"), fleetconfig.Terms{})
	replica.propose(second)
	proxy.waitForMetrics(map[string]string{"svc.fleet.prepared": "2"})
	proxy.connectWithRetry(conns["b"], "alpha")
	replica.update(func(replica *fakeReplica) {
		replica.activeVersion, replica.proposedVersion = second, fleetconfig.Version{}
	})
	replica.waitForRenewal("active", func(renewal fleetconfig.Renewal) bool { return renewal.ActiveVersion == 2 })
	proxy.connectWithRetry(conns["a"], "alpha")
	established.Send("M 1\r\n")
	testkit.Equal(t, "an established connection", "M 1", upstream.ReadLine())
	proxy.waitForMetrics(map[string]string{"svc.fleet.switches": "2", "svc.pool.b.open": "3"})

	// A reload of the file changes the addresses of the replicas, but neither settings nor routes.
	next := newFakeReplica(t)
	next.update(func(replica *fakeReplica) { replica.activeVersion = second })
	proxy.reload(replica.addr, next.addr)
	next.waitForRenewal("renewed", func(renewal fleetconfig.Renewal) bool { return renewal.ActiveVersion == 2 })
	proxy.waitForLog("settings and routes of the fleet's active version stay")
	proxy.connectWithRetry(conns["a"], "alpha")
	proxy.command.Process.Signal(syscall.SIGTERM)
	next.waitForRenewal("leaving", func(renewal fleetconfig.Renewal) bool { return renewal.Draining })
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestFleetLeaseExpires checks that after the lease has expired the proxy rejects the requests that the next version places
// elsewhere, whether they arrive, are due for another attempt or are about to be sent, and serves all others.
func TestFleetLeaseExpires(t *testing.T) {
	t.Parallel()
	terms := fleetconfig.Terms{AgreementTimeout: 1500 * time.Millisecond, MemberTimeout: time.Hour}
	replica := newFakeReplica(t)
	conns := map[string]chan *fakes.Peer{"a": make(chan *fakes.Peer, 64), "b": make(chan *fakes.Peer, 64)}
	a1, a2, b := fakes.NewScriptedEndpoint(t, "s-1", conns["a"]), fakes.NewScriptedEndpoint(t, "s-2", conns["a"]), fakes.NewScriptedEndpoint(t, "s-3", conns["b"])
	delayed, unblock := newDelayedListener(t)
	entryIn := func(id, addr, zone string) string { return fakes.Entry{ID: id, Addr: addr, Zone: zone}.String() }
	proxy := startProxy(t, fakes.List(1, true, entryIn("s-1", a1.Addr, "a"), entryIn("s-2", a2.Addr, "a"), entryIn("s-3", b.Addr, "b"),
		entryIn("s-4", delayed.Addr().String(), "c")), withControlPlane("", replica), withConnectTimeout(59))
	withC := func(poolOfA, poolOfC string) string {
		text := strings.Replace(routesByKey(poolOfA), `"pools":[`, `"pools":[{"name":"c","select":{"zones":["c"]}},`, 1)
		return strings.Replace(text, `"routes":[`, `"routes":[{"name":"toC","match":{"key":{"prefix":["c"]}},"to":[{"pool":"`+poolOfC+`","ppm":1000000}]},`, 1)
	}
	replica.update(func(replica *fakeReplica) { replica.activeVersion = proxy.version(1, withC("a", "c"), terms) })
	proxy.waitForMetrics(map[string]string{"svc.fleet.state": "leased"})
	established, upstream := proxy.connectWithRetry(conns["a"], "alpha")
	retried := proxy.dial()
	retried.Send(openLine("again"))
	first := fakes.Await(t, conns["a"])
	first.ReadLine()
	pending := proxy.dial()
	pending.Send(openLine("c"))
	proxy.waitForMetrics(map[string]string{"svc.pending": "3"})
	replica.propose(proxy.version(2, withC("b", "b"), terms))
	replica.stopResponding()
	proxy.waitForMetrics(map[string]string{"svc.fleet.state": "lapsed", "svc.fleet.lapses": "1"})

	proxy.expectKeyRejected("alpha")
	proxy.connect(conns["b"], "beta")
	testkit.Equal(t, "readiness", "PONG", proxy.ping())
	established.Send("M 1\r\n")
	testkit.Equal(t, "an established connection", "M 1", upstream.ReadLine())
	first.Send("ERR FULL\r\n") // with a lease the balancer would try the other endpoint
	proxy.expectRejectionAnswer(retried)
	unblock()
	conn, err := delayed.Accept()
	if err != nil {
		t.Fatal(err)
	}
	proxy.expectRejectionAnswer(pending)
	testkit.Equal(t, "what the delayed endpoint gets", "EOF", fakes.NewPeer(t, conn).ReadLine())
	expectNoConn(t, conns["a"])
	proxy.waitForMetrics(map[string]string{"svc.fleet.refused_contested": "3", "svc.downstream_requests.feed.rejected": "3"})

	replica.update(func(replica *fakeReplica) { replica.handler = nil })
	proxy.connectWithRetry(conns["a"], "alpha")
}

// TestFleetVersionChangesDuringRequest checks that no further attempt is made for a request that was placed by a version
// that is no longer active.
func TestFleetVersionChangesDuringRequest(t *testing.T) {
	t.Parallel()
	proxy, replica, conns := startInFleet(t, fleetconfig.Terms{}, "")
	spare := fakes.NewScriptedEndpoint(t, "s-spare", conns["b"]) // the balancer would try it next
	proxy.discovery.Lists <- fakes.List(2, false, fakes.Entry{ID: spare.ID, Addr: spare.Addr, Zone: "b", StartedAt: time.Unix(1, 0)}.String())
	proxy.waitForMetrics(map[string]string{"svc.pool.b.members": "2"})
	client, unaffected := proxy.dial(), proxy.dial()
	client.Send(openLine("alpha"))
	upstream := fakes.Await(t, conns["b"])
	upstream.ReadLine()
	unaffected.Send(openLine("beta"))
	other := fakes.Await(t, conns["b"])
	other.ReadLine()
	second := proxy.version(2, routesByKey("a"), fleetconfig.Terms{})
	replica.propose(second)
	replica.update(func(replica *fakeReplica) {
		replica.activeVersion, replica.proposedVersion = second, fleetconfig.Version{}
	})
	replica.waitForRenewal("active", func(r fleetconfig.Renewal) bool { return r.ActiveVersion == 2 })
	upstream.Send("ERR FULL\r\n")
	upstream.Close()
	if l := client.ReadLine(); !strings.HasPrefix(l, "BUSY") {
		t.Errorf("answer %q, want a rejection", l)
	}
	testkit.Equal(t, "after the rejection", "EOF", client.ReadLine())
	other.Send("UP r\r\n")
	testkit.Equal(t, "a request that was already sent", "UP r", unaffected.ReadLine())
	expectNoConn(t, conns["a"])
	expectNoConn(t, conns["b"])
	proxy.waitForMetrics(map[string]string{"svc.fleet.refused_switched": "1"})
	proxy.connectWithRetry(conns["a"], "alpha")
}

// TestFleetMembershipExpires checks that a proxy that no longer knows which version is active rejects or serves requests
// according to the lease expiry policy of its version.
func TestFleetMembershipExpires(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		policy fleetconfig.LeaseExpiryPolicy
		serves bool
	}{{fleetconfig.RejectOnExpiry, false}, {fleetconfig.ServeOnExpiry, true}} {
		t.Run(string(c.policy), func(t *testing.T) {
			t.Parallel()
			proxy, replica, conns := startInFleet(t, fleetconfig.Terms{AgreementTimeout: 500 * time.Millisecond, MemberTimeout: time.Second, OnLeaseExpiry: c.policy}, "")
			established, upstream := proxy.connectWithRetry(conns["b"], "beta")
			replica.stopResponding()
			proxy.waitForMetrics(map[string]string{"svc.fleet.state": "blind"})
			proxy.waitForLog(logLine("fleet: lease state changed", `"state": "blind", "reason": "`))
			metric := map[bool]string{true: "svc.fleet.blind_served", false: "svc.fleet.refused_held"}[c.serves]
			before := proxy.metric(metric)
			if c.serves {
				proxy.connect(conns["b"], "alpha")
			} else {
				proxy.expectKeyRejected("alpha")
			}
			testkit.Equal(t, metric, before+1, proxy.metric(metric))
			established.Send("M 1\r\n")
			testkit.Equal(t, "an established connection", "M 1", upstream.ReadLine())
			replica.update(func(replica *fakeReplica) { replica.handler = nil })
			proxy.connectWithRetry(conns["b"], "alpha")
		})
	}
}

// TestFleetServesFromFile checks that a proxy that never had a version serves from its file after the timeouts if its expiry
// policy is "serve".
func TestFleetServesFromFile(t *testing.T) {
	t.Parallel()
	replica := newFakeReplica(t)
	replica.stopResponding()
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withControlPlane(`,"agree_within_ms":100,"know_for_ms":300,"on_silence":"serve"`, replica))
	proxy.waitUntilServed(conns["a"], "alpha")
	testkit.Equal(t, "readiness", "PONG", proxy.ping())
	proxy.waitForMetrics(map[string]string{"svc.fleet.state": "starting", "svc.fleet.blind_served": "1"})
}

// TestFleetRejectsVersions checks that a node rejects a version that is too large or invalid and gives the reason, and that
// the active version stays active.
func TestFleetRejectsVersions(t *testing.T) {
	t.Parallel()
	proxy, replica, conns := startInFleet(t, fleetconfig.Terms{AgreementTimeout: 400 * time.Millisecond}, `,"memory_mb":8`)
	number := uint64(1)
	expectVersionRejected := func(invalid fleetconfig.Version) fleetconfig.Rejection {
		t.Helper()
		number++
		invalid.Number = number
		replica.update(func(replica *fakeReplica) { replica.proposedVersion = invalid })
		renewal := replica.waitForRenewal("rejected", func(renewal fleetconfig.Renewal) bool {
			return renewal.RejectedVersion == number && renewal.Rejection != nil
		})
		testkit.Equal(t, "prepared", uint64(0), renewal.PreparedVersion)
		replica.update(func(replica *fakeReplica) { replica.proposedVersion = fleetconfig.Version{} })
		replica.waitForRenewal("withdrawn", func(renewal fleetconfig.Renewal) bool { return renewal.Rejection == nil })
		return *renewal.Rejection
	}
	rejection := expectVersionRejected(proxy.version(0, largeRoutes(), fleetconfig.Terms{}))
	if rejection.Kind != "proxy/heavy-version" || rejection.LimitBytes != 8<<20 || rejection.EstimatedBytes <= rejection.LimitBytes || len(rejection.LargestRoutes) == 0 || rejection.LargestRoutes[0] != "r11" {
		t.Errorf("rejection %+v", rejection)
	}
	for routes, want := range map[string]string{
		`{"pools":[{"name":"a"}],"routes":[{"name":"r","to":[{"pool":"c","ppm":1000000}]}]}`: `route "r" goes to pool "c"`,
		`{"pools":[],"rotes":[]}`: "rotes",
		`[1]`:                     "routing",
	} {
		if rejection := expectVersionRejected(proxy.version(0, routes, fleetconfig.Terms{})); rejection.Kind != "proxy/broken-version" || !strings.Contains(rejection.Cause, want) {
			t.Errorf("%s: rejection %+v", routes, rejection)
		}
	}
	invalid := proxy.version(0, "", fleetconfig.Terms{})
	invalid.Body.Settings = json.RawMessage(strings.Replace(string(invalid.Body.Settings), `"GiveUp":60`, `"GiveUp":-1`, 1))
	invalid.Digest = invalid.Body.Digest()
	if rejection := expectVersionRejected(invalid); rejection.Kind != "proxy/broken-version" || !strings.Contains(rejection.Cause, `"feed"`) {
		t.Errorf("rejection %+v", rejection)
	}
	proxy.waitForMetrics(map[string]string{"svc.fleet.in_force": "1", "svc.fleet.prepare_refused": "5", "svc.fleet.switches": "1"})
	proxy.connectWithRetry(conns["b"], "alpha")
	replica.propose(proxy.version(number+1, routesByKey("a"), fleetconfig.Terms{})) // a valid version is still prepared
}

// TestFleetServices checks routes to a service: connections go to the provider in the proxy's zone and fall back to the
// other provider. Once a version's catalog marks the former as lost, the other provider is preferred. A version whose routes
// name a service that its catalog does not contain is rejected.
func TestFleetServices(t *testing.T) {
	t.Parallel()
	proxy, replica, conns := startInFleet(t, fleetconfig.Terms{}, "")
	versionWithService := func(number uint64, service string, state json.RawMessage) fleetconfig.Version {
		routes := strings.Replace(routesByKey("b"), `"to":[{"pool":"b","ppm":1000000}],"policy"`, `"to":[{"pool":"service:`+service+`","ppm":1000000}],"policy"`, 1)
		v := proxy.version(number, routes, fleetconfig.Terms{})
		v.Body.Catalog = state
		v.Digest = v.Body.Digest()
		return v
	}
	activate := func(v fleetconfig.Version) {
		t.Helper()
		replica.propose(v)
		replica.update(func(replica *fakeReplica) { replica.activeVersion, replica.proposedVersion = v, fleetconfig.Version{} })
		replica.waitForRenewal("active", func(r fleetconfig.Renewal) bool { return r.ActiveVersion == v.Number })
	}
	activate(versionWithService(2, "album", albumCatalog("")))
	proxy.waitForMetrics(map[string]string{"svc.catalog.number": "5", "svc.catalog.names": "1", "svc.catalog.collisions": "0",
		"svc.catalog.album.pools": "album.mesh-a,album.mesh-b"})
	proxy.connect(conns["a"], "alpha")
	client := proxy.dial()
	client.Send(openLine("alpha"))
	full := fakes.Await(t, conns["a"])
	full.ReadLine()
	full.Send("ERR FULL\r\n")
	full.Close()
	other := fakes.Await(t, conns["b"])
	other.ReadLine()
	other.Send("UP r\r\n")
	testkit.Equal(t, "by fallback", "UP r", client.ReadLine())

	activate(versionWithService(3, "album", albumCatalog("mesh-a")))
	proxy.waitForMetrics(map[string]string{"svc.catalog.album.pools": "album.mesh-b,album.mesh-a",
		"svc.catalog.album.why": "album is the service of o with contract c at mesh-a (a), lost, mesh-b (b), because nobody else claimed it, since state 0. It is held."})
	proxy.connect(conns["b"], "alpha")
	expectNoConn(t, conns["a"])

	for number, v := range map[uint64]fleetconfig.Version{4: versionWithService(4, "notes", albumCatalog("")), 5: versionWithService(5, "album", nil)} {
		replica.update(func(replica *fakeReplica) { replica.proposedVersion = v })
		r := replica.waitForRenewal("rejected", func(r fleetconfig.Renewal) bool { return r.RejectedVersion == number && r.Rejection != nil }).Rejection
		if want := map[uint64]string{4: `"notes"`, 5: `"album"`}[number]; r.Kind != "proxy/broken-version" || !strings.Contains(r.Cause, want) {
			t.Errorf("rejection %+v", r)
		}
		replica.update(func(replica *fakeReplica) { replica.proposedVersion = fleetconfig.Version{} })
		replica.waitForRenewal("withdrawn", func(r fleetconfig.Renewal) bool { return r.Rejection == nil })
	}
	proxy.connect(conns["b"], "alpha")
}

// TestFleetReplicaInvalidResponses checks that after any invalid response of a replica the proxy calls the next replica.
func TestFleetReplicaInvalidResponses(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nContent-Length: "
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		path    string // the only path that handler answers; "": all paths
	}{
		"garbage":                    {handler: respondRaw("SSH-2.0-x\r\n\r\n")},
		"reset":                      {handler: respondRaw("")},
		"partial body":               {handler: respondRaw(head + "90\r\n\r\n{\"node\":\"n0\"")},
		"no response":                {handler: neverRespond},
		"partial body, then no more": {handler: respondWatch(true, `{"node":"n0"`)},
		"endless line":               {handler: respondEndless},
		"no leader":                  {handler: respondStatus(503, `{"kind":"keeper/no-leader","place":"k1","cause":"none is elected","remedy":"wait"}`)},
		"another node's lease":       {handler: respondStatus(200, `{"node":"n1","incarnation":1,"seq":1,"term":9,"active":9}`)},
		"not a lease":                {handler: respondStatus(200, `[1]`)},
		"garbage as version":         {respondRaw("x\r\n\r\n"), "/v1/version/1"},
		"partial version":            {respondRaw(head + "90000\r\n\r\n{\"number\":1,"), "/v1/version/1"},
		"another version":            {respondStatus(200, `{"number":1,"digest":"x","body":{"settings":{}}}`), "/v1/version/1"},
		"huge version":               {respondRaw(head + "99999999999\r\n\r\n"), "/v1/version/1"},
		"no such version":            {respondStatus(404, ``), "/v1/version/1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			good, bad := newFakeReplica(t), newFakeReplica(t)
			called := make(chan bool)
			var once sync.Once
			// The good replica serves nothing until the bad one has been called, so that every case calls the bad one.
			unavailable := func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(503) }
			good.update(func(r *fakeReplica) { r.handler = unavailable })
			proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withControlPlane("", good, bad))
			first := proxy.version(1, routesByKey("b"), fleetconfig.Terms{})
			good.update(func(r *fakeReplica) { r.activeVersion = first })
			bad.update(func(r *fakeReplica) {
				r.activeVersion = first
				r.handler = func(rw http.ResponseWriter, r *http.Request) {
					if c.path == "" || c.path == r.URL.Path {
						once.Do(func() { close(called) })
						c.handler(rw, r)
						return
					}
					plain := fakeReplica{t: t, activeVersion: first, renewals: make(chan fleetconfig.Renewal, 1)}
					plain.ServeHTTP(rw, r)
				}
			})
			fakes.Await(t, called)
			good.update(func(r *fakeReplica) { r.handler = nil })
			proxy.waitForMetrics(map[string]string{"svc.fleet.state": "leased", "svc.fleet.in_force": "1", "svc.fleet.prepare_refused": "0"})
			proxy.connectWithRetry(conns["b"], "alpha")
		})
	}
}

// TestFleetHotRestart checks that during a hot restart each process renews its own lease, and that the old process serves
// until the new one has an active version.
func TestFleetHotRestart(t *testing.T) {
	t.Parallel()
	proxy, replica, conns := startInFleet(t, fleetconfig.Terms{}, "")
	old := replica.waitForRenewal("renewed", func(r fleetconfig.Renewal) bool { return r.ActiveVersion == 1 }).Incarnation
	secondReplica := newFakeReplica(t) // only the successor calls it, so that the test can delay its first version
	secondReplica.stopResponding()
	proxy.editConfig(replica.addr, secondReplica.addr)
	successor := proxy.startSuccessor()
	proxy.waitForLog(logSuccessorConnected)
	for range 3 {
		proxy.connectWithRetry(conns["b"], "alpha")
	}
	testkit.Equal(t, "requests served by the first process", 3, proxy.metric("svc.downstream_requests.feed.completed"))
	secondReplica.update(func(replica *fakeReplica) {
		replica.activeVersion, replica.handler = proxy.version(1, routesByKey("b"), fleetconfig.Terms{}), nil
	})
	proxy.waitForLog(logSuccessorServes)
	if r := secondReplica.waitForRenewal("renewed", func(r fleetconfig.Renewal) bool { return r.ActiveVersion == 1 }); r.Incarnation <= old {
		t.Errorf("incarnation %d after %d", r.Incarnation, old)
	}
	replica.waitForRenewal("the first process still renews", func(r fleetconfig.Renewal) bool { return r.Incarnation == old })
	proxy.stop()
	successor.connectWithRetry(conns["b"], "alpha")
}

// TestNoFleet checks that without a fleet record neither the telemetry nor the log mentions a fleet.
func TestNoFleet(t *testing.T) {
	t.Parallel()
	proxy, conns := startWithEndpoint(t, withAdminListener)
	proxy.connect(conns, "a")
	if _, body := proxy.adminCall("GET", "/api/telemetry"); strings.Contains(body, "fleet") {
		t.Errorf("the telemetry mentions a fleet: %s", body)
	}
	proxy.waitForCounter("up=1")
	if text := proxy.stderr.String(); strings.Contains(text, "fleet") {
		t.Errorf("the log mentions a fleet: %s", text)
	}
}
