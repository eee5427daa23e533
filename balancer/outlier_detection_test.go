package balancer

import (
	"fmt"
	"testing"
	"time"
)

// An endpoint that refuses connections is ejected, then probed by one request at a time.
func TestEjectedEndpointIsProbedByOneRequest(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	down := endpointID(2)
	failures := 0
	now := 2 * sec
	for i := range 4000 {
		now += 5 * ms
		req := testRequest(i, now)
		actions := b.Handle(now, req)
		endpoint := sentTo(actions)
		for attempt := 0; endpoint == down; attempt++ {
			failures++
			endpoint = sentTo(b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: down, Attempt: attempt, Status: ConnectFailed}))
		}
		if endpoint == "" {
			t.Fatalf("request %d was rejected although three endpoints are available", i)
		}
		b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: len(b.requests[req.ID].attempted) - 1, Status: OK, Final: true})
	}
	if failures > 15 || failures < 3 {
		t.Errorf("an endpoint that is down got %d attempts in 20 s, want 3 to 15", failures)
	}
	// The endpoint is used again after it recovers.
	for i := range 4000 {
		now += 5 * ms
		req := testRequest(10000+i, now)
		endpoint := sentTo(b.Handle(now, req))
		b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: OK, Final: true})
		if endpoint == down {
			return
		}
	}
	t.Error("the endpoint was not used after it recovered")
}

// Many nodes that observe the same failure at the same time must not send their trials at the same time.
func TestTrialsOfManyNodesAreSpread(t *testing.T) {
	settings := testSettings()
	trials := map[time.Duration]int{} // by interval of 100 ms
	for i := range 150 {
		b := startBalancer(t, settings, testEndpoints(4), uint64(i))
		endpoint := b.endpoints[endpointID(1)]
		for range 4 {
			b.recordFailure(endpoint, ConnectFailed)
		}
		trials[(endpoint.ejectedUntil-b.now)/(100*ms)]++
	}
	for interval, n := range trials {
		if n > 30 {
			t.Errorf("%d of 150 nodes send their trials within the same 100 ms (interval %d)", n, interval)
		}
	}
}

// An endpoint warms up after a restart that service discovery has not listed yet. The node infers the restart because
// the endpoint reset its connections and then refused new ones.
func TestUnlistedRestartWarmsUp(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	endpoint := b.endpoints[endpointID(1)]
	b.now = 3 * sec
	b.recordReset(endpoint)
	b.recordFailure(endpoint, ConnectFailed)
	b.now = 9 * sec
	b.recordSuccess(endpoint)
	if fraction := b.warmUpFraction(endpoint); fraction > 0.31 {
		t.Errorf("warm-up fraction %.2f just after an unlisted restart", fraction)
	}
	b.now = 20 * sec
	if fraction := b.warmUpFraction(endpoint); fraction != 1 {
		t.Errorf("warm-up fraction %.2f after the end of the warm-up", fraction)
	}
}

// An unreachable zone is ejected as a whole after a few failures, and requests are then sent to the other zones.
func TestUnreachableZoneIsEjected(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(30), 1)
	failed, now := 0, 2*sec
	for i := range 600 {
		now += 5 * ms
		req := testRequest(i, now)
		endpoint := sentTo(b.Handle(now, req))
		for attempt := 0; endpoint != "" && b.endpoints[endpoint].zone == "z1"; attempt++ {
			failed++
			endpoint = sentTo(b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: attempt, Status: ConnectFailed}))
		}
		if endpoint != "" {
			b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: b.requests[req.ID].attempts - 1, Status: OK, Final: true})
		}
	}
	if failed > 15 {
		t.Errorf("%d attempts to the ten endpoints of an unreachable zone in 3 s", failed)
	}
}

// An endpoint that resets single connections is sent fewer keys, but is not ejected.
func TestResetConnectionDoesNotEject(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	req := testRequest(1, 2*sec)
	endpoint := establish(b, 2*sec, req)
	b.Handle(3*sec, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: Reset, Final: true})
	if state := b.endpoints[endpoint]; b.isEjected(state) || state.admittedFraction >= 1 {
		t.Errorf("ejected %v, admitted fraction %.2f", b.isEjected(state), state.admittedFraction)
	}
}

// If all endpoints are in one zone, endpoints that fail in a row must not eject that zone, because the node would then
// reject every request.
func TestOnlyZoneIsNotEjected(t *testing.T) {
	list := testEndpoints(12)
	for i := range list {
		list[i].Zone = "z"
	}
	b := startBalancer(t, testSettings(), list, 1)
	for i := range 60 {
		now := 2*sec + time.Duration(i)*10*ms
		endpoint := sentTo(b.Handle(now, testRequest(i, now)))
		for attempt := 0; endpoint == endpointID(0) || endpoint == endpointID(1) || endpoint == endpointID(2) || endpoint == endpointID(3); attempt++ {
			endpoint = sentTo(b.Handle(now, AttemptEnded{ID: fmt.Sprint("r", i), Endpoint: endpoint, Attempt: attempt, Status: ConnectFailed}))
		}
		if endpoint == "" {
			t.Fatalf("request %d was rejected although eight of twelve endpoints are available", i)
		}
	}
}

// After a restart that service discovery lists, an endpoint warms up and the failures of its old process are cleared.
func TestListedRestartWarmsUpAndEndsEjection(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	endpoint := b.endpoints[endpointID(2)]
	for range 5 {
		b.recordFailure(endpoint, ConnectFailed)
	}
	if !b.isEjected(endpoint) {
		t.Fatal("five failures did not eject the endpoint, so the test can't check the end of the ejection")
	}
	b.Handle(4*sec, EndpointUpdate{Entries: []Endpoint{{ID: endpointID(2), Size: 1, Zone: "z2", StartedAt: 4 * sec}}})
	if fraction := b.warmUpFraction(endpoint); endpoint.failures != 0 || fraction > 0.31 {
		t.Errorf("after a listed restart: %d failures, warm-up fraction %.2f", endpoint.failures, fraction)
	}
	b.Handle(20*sec, EndpointUpdate{Entries: []Endpoint{{ID: endpointID(2), Size: 1, Zone: "z2", StartedAt: 4 * sec}}})
	if fraction := b.warmUpFraction(endpoint); fraction != 1 {
		t.Errorf("an unchanged start time restarted the warm-up: fraction %.2f", fraction)
	}
}
