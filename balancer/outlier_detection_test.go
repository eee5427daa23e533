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
			t.Fatalf("request %d rejected though three endpoints are well", i)
		}
		b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: len(b.requests[req.ID].attempted) - 1, Status: OK, Final: true})
	}
	if failures > 15 || failures < 3 {
		t.Errorf("an endpoint that is down got %d attempts in 20 s", failures)
	}
	// It is used again once it answers.
	for i := range 4000 {
		now += 5 * ms
		req := testRequest(10000+i, now)
		endpoint := sentTo(b.Handle(now, req))
		b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: OK, Final: true})
		if endpoint == down {
			return
		}
	}
	t.Error("an endpoint that answers again is never used")
}

// The trials of many nodes that saw the same failure at the same moment must not coincide.
func TestTrialsOfManyNodesAreSpread(t *testing.T) {
	settings := testSettings()
	at := map[time.Duration]int{}
	for i := range 150 {
		b := startBalancer(t, settings, testEndpoints(4), uint64(i))
		endpoint := b.endpoints[endpointID(1)]
		for range 4 {
			b.recordFailure(endpoint, ConnectFailed)
		}
		at[(endpoint.ejectedUntil-b.now)/(100*ms)]++
	}
	for slot, n := range at {
		if n > 30 {
			t.Errorf("%d of 150 nodes try within the same 100 ms (slot %d)", n, slot)
		}
	}
}

// An endpoint that restarted before discovery says so (its connections were reset, it refused new ones) warms up.
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
		t.Errorf("warm-up fraction %.2f long after", fraction)
	}
}

// When a zone is unreachable it is ejected whole after a few failures, and the others are used at once.
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
		t.Errorf("%d attempts into an unreachable zone, in 3 s, with ten endpoints there", failed)
	}
}

// An endpoint that resets single connections is sent less, but not ejected.
func TestResetConnectionDoesNotEject(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	req := testRequest(1, 2*sec)
	endpoint := establish(b, 2*sec, req)
	b.Handle(3*sec, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: Reset, Final: true})
	if state := b.endpoints[endpoint]; b.isEjected(state) || state.admittedFraction >= 1 {
		t.Errorf("ejected %v, admitted fraction %.2f", b.isEjected(state), state.admittedFraction)
	}
}

// Where all endpoints are in one zone, failures in a row do not make a node reject everybody.
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
			t.Fatalf("request %d is rejected though eight endpoints of twelve are well", i)
		}
	}
}

// A listed restart has an endpoint warm up and clears the failures of the old process.
func TestListedRestartWarmsUpAndEndsEjection(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	endpoint := b.endpoints[endpointID(2)]
	for range 5 {
		b.recordFailure(endpoint, ConnectFailed)
	}
	if !b.isEjected(endpoint) {
		t.Fatal("five failures did not eject: the test shows nothing")
	}
	b.Handle(4*sec, EndpointUpdate{Entries: []Endpoint{{ID: endpointID(2), Size: 1, Zone: "z2", StartedAt: 4 * sec}}})
	if fraction := b.warmUpFraction(endpoint); endpoint.failures != 0 || fraction > 0.31 {
		t.Errorf("after a listed restart: %d failures, warm-up fraction %.2f", endpoint.failures, fraction)
	}
	b.Handle(20*sec, EndpointUpdate{Entries: []Endpoint{{ID: endpointID(2), Size: 1, Zone: "z2", StartedAt: 4 * sec}}})
	if fraction := b.warmUpFraction(endpoint); fraction != 1 {
		t.Errorf("an old start listed again has it warm up: fraction %.2f", fraction)
	}
}
