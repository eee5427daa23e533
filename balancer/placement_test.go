package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/internal/testing/testkit"
)

// A group with much of the traffic is split over several endpoints; a light group is not.
func TestHotGroupIsSplit(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(40), 1)
	heavy, light := map[string]bool{}, map[string]bool{}
	for i := range 2000 {
		req := testRequest(i, 2*sec)
		switch {
		case i%4 == 0:
			req.Group = "heavy"
		case i%200 == 1:
			req.Group = "light"
		default:
			req.Group = req.Key
		}
		endpoint := sentTo(b.Handle(2*sec, req))
		b.Handle(2*sec, Established{ID: req.ID, Endpoint: endpoint})
		b.Handle(2*sec, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: OK, Final: true})
		if i < 500 {
			continue // the estimate of the group's share is not stable yet
		}
		switch req.Group {
		case "heavy":
			heavy[endpoint] = true
		case "light":
			light[endpoint] = true
		}
	}
	if len(heavy) < 4 || len(heavy) > 12 {
		t.Errorf("a group with a quarter of the traffic of 40 endpoints is on %d endpoints, want 4 to 12", len(heavy))
	}
	if len(light) > 1 {
		t.Errorf("a light group is on %d endpoints, want at most 1", len(light))
	}
}

// Every message that crosses zones has a cost. While a zone has its share of the fleet's capacity, the keys of its nodes stay
// in the zone, and all its nodes place a key at the same endpoint. Some keys leave a zone that has lost most of its endpoints,
// and all leave a zone without endpoints.
func TestKeysStayInLocalZone(t *testing.T) {
	settings := testSettings()
	settings.Zone = "z0"
	members := testEndpoints(12) // four endpoints in each of three zones
	a, b := startBalancer(t, settings, members, 1), startBalancer(t, settings, members, 2)
	place := func(b *Balancer, now Instant, from, n int) (local int, placed []string) {
		for i := range n {
			endpoint := sentTo(b.Handle(now, testRequest(from+i, now)))
			placed = append(placed, endpoint)
			if b.endpoints[endpoint].zone == "z0" {
				local++
			}
			b.Handle(now, ClientDisconnected{ID: fmt.Sprintf("r%d", from+i)})
			b.Handle(now, AttemptEnded{ID: fmt.Sprintf("r%d", from+i), Endpoint: endpoint, Status: Canceled, Final: true})
		}
		return local, placed
	}
	local, placed := place(a, 2*sec, 0, 200)
	if local != 200 {
		t.Errorf("%d of 200 keys are in their node's zone, want all", local)
	}
	if _, other := place(b, 2*sec, 0, 200); !slices.Equal(placed, other) {
		t.Error("two nodes of a zone place keys differently")
	}
	for i := range members {
		if i%3 == 0 && i > 0 {
			members[i].Phase = Removed // leaves one of the zone's four endpoints, 0.11 of the fleet's capacity
		}
	}
	a.Handle(3*sec, EndpointUpdate{Kind: FullList, Entries: members})
	if local, _ = place(a, 6*sec, 200, 400); local < 120 || local > 280 {
		t.Errorf("%d of 400 keys are at the only endpoint of the zone, want 120 to 280", local)
	}
	// A zone that was this small from the start keeps more of its keys, because that costs less than crossing zones.
	small := startBalancer(t, settings, members, 3)
	if inSmall, _ := place(small, 2*sec, 1000, 400); inSmall <= local+40 {
		t.Errorf("%d of 400 keys stay in a zone that was always small, %d in one that just lost endpoints; want over 40 more", inSmall, local)
	}
	members[0].Phase = Removed
	a.Handle(7*sec, EndpointUpdate{Kind: FullList, Entries: members})
	if local, placed = place(a, 10*sec, 600, 50); local != 0 || slices.Contains(placed, "") {
		t.Errorf("%d keys are in a zone without endpoints, want 0; all keys are at %q", local, placed)
	}
}

// Only the endpoint that holds a connection can serve its resumed packets. A node must send them to the endpoint where it last
// saw the client. If it never saw the client, it must use the local table just after its start, and the other zone's table
// later, when only a node of the other zone can have stopped.
func TestResumedPacketsGoToLikelyEndpoint(t *testing.T) {
	settings := testSettings()
	settings.Zone, settings.Nodes, settings.PassThrough = "z0", 2, true
	var members []Endpoint
	for i := range 12 {
		members = append(members, Endpoint{ID: endpointID(i), Size: 1, Zone: fmt.Sprintf("z%d", i%2)})
	}
	other := settings
	other.Zone = "z1"
	requestCount := 0
	place := func(node *Balancer, now Instant, key string, resumed bool) (endpoint, requestID string) {
		requestCount++
		req := testRequest(requestCount, now)
		req.Key, req.Resumed = key, resumed
		return establish(node, now, req), req.ID
	}
	for i := range 40 {
		key := fmt.Sprint("k", i)
		a, b, now := startBalancer(t, settings, members, 1), startBalancer(t, other, members, 2), 10*sec
		placedAt, requestID := place(a, now, key, false)
		if got, _ := place(b, now, key, true); got != placedAt {
			t.Errorf("%s is at %s, but a node of the other zone sends its resumed packets to %s", key, placedAt, got)
		}
		if a.Misplaced(requestID) {
			t.Errorf("%s is misplaced at its first endpoint", key)
		}
		restarted := startBalancer(t, settings, members, 3)
		if got, _ := place(restarted, sec+100*ms, key, true); got != placedAt {
			t.Errorf("%s is at %s, but a restarted node sends its resumed packets to %s", key, placedAt, got)
		}
		// After a failure at its first endpoint, the connection is misplaced, and only this node has recorded where it is.
		req := testRequest(1000+i, now)
		req.Key = key + "x"
		first := sentTo(a.Handle(now, req))
		second := sentTo(a.Handle(now, AttemptEnded{ID: req.ID, Endpoint: first, Status: AppError}))
		a.Handle(now, Established{ID: req.ID, Endpoint: second, Attempt: 1})
		if !a.Misplaced(req.ID) {
			t.Errorf("%s is not misplaced at its second endpoint", req.Key)
		}
		a.Handle(now, AttemptEnded{ID: req.ID, Endpoint: second, Attempt: 1, Status: Canceled, Final: true})
		if got, _ := place(a, now, req.Key, true); got != second {
			t.Errorf("%s was at %s, but the same node sends its resumed packets to %s", req.Key, second, got)
		}
	}
}

// A group has a cost at every endpoint that serves it, so nodes must split groups alike. Nodes that have seen few requests must
// almost never split a group, and nodes that have seen many must split a group that is too heavy for one endpoint.
func TestLowTrafficNodesSplitGroupsAlike(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	randomGroup := func() string { // the heaviest of 16 groups has a sixth of the traffic
		for {
			if g := rng.IntN(16); rng.IntN(g+2) < 2 {
				return fmt.Sprint("g", g)
			}
		}
	}
	splitCounts := map[uint64]int{}
	for i := range 80 {
		b := startBalancer(t, testSettings(), testEndpoints(12), uint64(i))
		for k := range 12 {
			req := testRequest(k, 2*sec)
			req.Group = randomGroup()
			b.Handle(2*sec, req)
		}
		for g := range 16 {
			if id := hashing.String(fmt.Sprint("g", g)); b.splitGroupHash(id, hashing.String("a client")) != id {
				splitCounts[id]++
			}
		}
	}
	for id, count := range splitCounts {
		if count > 8 {
			t.Errorf("group %x is split by %d of 80 nodes that saw a dozen requests each, want at most 8", id, count)
		}
	}
	b := startBalancer(t, testSettings(), testEndpoints(12), 1)
	for k := range 1000 {
		req := testRequest(k, 2*sec)
		if req.Group = randomGroup(); k%2 == 0 {
			req.Group = "half"
		}
		b.Handle(2*sec, req)
	}
	parts := map[uint64]bool{}
	for k := range 100 {
		parts[b.splitGroupHash(hashing.String("half"), hashing.String(fmt.Sprint("k", k)))] = true
	}
	testkit.Equal(t, "parts of a group that has half the traffic of 12 endpoints", 4, len(parts))
}

// After endpoints have joined and left, a node must send resumed packets to the endpoint where the connection was placed before
// the change, not to the one that the table now gives, as long as the former is ready.
func TestResumedPacketsFollowPreviousTables(t *testing.T) {
	settings := testSettings()
	settings.PassThrough, settings.Zone = true, "z0"
	first, other := startBalancer(t, settings, testEndpoints(24), 1), startBalancer(t, settings, testEndpoints(24), 2)
	placedAt := map[int]string{}
	for i := range 300 {
		placedAt[i] = establish(first, 3*sec, testRequest(i, 3*sec))
	}
	var change []Endpoint
	for i := range 4 {
		change = append(change, Endpoint{ID: endpointID(6 * i), Phase: Removed}, Endpoint{ID: fmt.Sprint("new", i), Size: 1, Zone: "z0"})
	}
	other.Handle(4*sec, EndpointUpdate{Entries: change})
	other.Handle(7*sec, EndpointUpdate{Entries: []Endpoint{{ID: "new0", Phase: Draining, Size: 1, Zone: "z0"}}})
	found, ready := 0, 0
	for i, endpoint := range placedAt {
		if other.endpoints[endpoint].phase != Ready {
			continue
		}
		req := testRequest(i, 10*sec)
		req.ID, req.Resumed = "again"+req.ID, true
		if ready++; sentTo(other.Handle(10*sec, req)) == endpoint {
			found++
		}
	}
	if ready < 100 || found < ready*95/100 {
		t.Errorf("%d of %d connections are found, want 95%% of at least 100", found, ready)
	}
}

// Resumed packets go to the endpoint that the table gives, even if that endpoint and the node admit few new keys.
func TestResumedPacketsIgnoreAdmission(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(8), 1)
	req := testRequest(1, 2*sec)
	endpoint := establish(b, 2*sec, req)
	b.endpoints[endpoint].admittedFraction, b.endpoints[endpoint].admittedFractionAt = minAdmittedFraction, 2*sec
	b.admissionRate = minAdmittedFraction
	resumed := req
	resumed.ID, resumed.Resumed = "again", true
	if got := sentTo(b.Handle(2*sec, resumed)); got != endpoint {
		t.Errorf("resumed packets went to %q, want %s, which holds the connection", got, endpoint)
	}
}

// If all endpoints of a node's zone are overloaded, its requests go to other zones with capacity.
func TestOverloadedZoneSpillsOver(t *testing.T) {
	b := startWithReports(t, loadReportSettings(), 1.1, 0.2, 0.2, 1.1, 0.2, 0.2, 1.1, 0.2, 0.2) // z0: s000, s003, s006
	for i := range 30 {
		req := testRequest(i, 2*sec)
		req.Group = fmt.Sprint("g", i%5)
		actions := b.Handle(2*sec, req)
		if at := sentTo(actions); at == "" || b.endpoints[at].zone == "z0" {
			t.Fatalf("request %d is not sent to another zone: %+v", i, actions)
		}
	}
}

// If endpoints in several zones have capacity and already serve a request's group, the request goes to one in its node's zone.
// The group has a cost at all of them anyway, and another zone would add the cost of crossing.
func TestLocalEndpointOfGroupIsPreferred(t *testing.T) {
	b := startWithReports(t, loadReportSettings(), 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
	groupsByZone := map[string]int{}
	for i := range 8 {
		req := testRequest(i, 2*sec)
		req.Group = fmt.Sprint("g", i)
		groupsByZone[b.endpoints[sentTo(b.Handle(2*sec, req))].zone]++
	}
	if groupsByZone["z0"] == 8 {
		t.Fatal("all 8 groups without connections are placed in the node's zone, want some in others")
	}
	local := 0
	for g := range 20 {
		b = startWithReports(t, loadReportSettings(), 0.4, 0.4, 0.4, 0.4, 0.4, 0.4)
		group := fmt.Sprint("g", g)
		for i := range 6 { // all endpoints serve this group
			req := b.newRequest(testRequest(100+i, 2*sec))
			req.Group, req.attempts, req.established, req.answered = group, 1, true, true
			b.addActive(req, b.endpoints[endpointID(i)])
		}
		req := testRequest(200, 2*sec)
		req.Group = group
		if at := sentTo(b.Handle(2*sec, req)); b.endpoints[at].zone == "z0" {
			local++
		}
	}
	if local < 18 { // a chain of 12 candidates may miss both endpoints of the zone
		t.Errorf("%d of 20 groups stay in the node's zone, want at least 18", local)
	}
}
