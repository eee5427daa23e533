package balancer

import (
	"testing"
)

// While a fleet grows, endpoints that warm up must not make the others appear full, so no request is rejected.
func TestGrowingFleetRejectsNoRequest(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(10), 1)
	now, rejected, live := 2*sec, 0, []Request{}
	for i := range 3000 {
		now += 10 * ms
		if i >= 500 && i%100 == 0 && i < 2000 {
			b.Handle(now, EndpointUpdate{Entries: []Endpoint{{ID: endpointID(100 + i), Size: 1, StartedAt: now, Zone: "z0"}}})
		}
		req := testRequest(i, now)
		if establish(b, now, req) == "" {
			rejected++
		} else {
			live = append(live, req)
		}
		if len(live) > 300 {
			b.Handle(now, AttemptEnded{ID: live[0].ID, Status: OK, Final: true})
			live = live[1:]
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 3000 requests rejected while the fleet grows", rejected)
	}
}

// While all endpoints are down, every request is answered in time. After the endpoints recover, requests are served
// again.
func TestAllCapacityLost(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(6), 1)
	now := 2 * sec
	serve := func(i int, up bool) (ok bool) {
		now += 10 * ms
		req := testRequest(i, now)
		actions := b.Handle(now, req)
		for attempt := 0; ; attempt++ {
			endpoint := sentTo(actions)
			if endpoint == "" {
				if len(actionsOf[Reject](actions)) != 1 {
					t.Fatalf("request %d was neither sent nor rejected: %v", i, actions)
				}
				return false
			}
			if up {
				b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: attempt, Status: OK, Final: true})
				return true
			}
			actions = b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: attempt, Status: ConnectFailed})
		}
	}
	for i := range 1000 {
		serve(i, false)
	}
	served := 0
	for i := range 2500 { // ejections last up to 6 s, and crashed endpoints then warm up for 10 s
		if serve(5000+i, true) && i >= 2000 {
			served++
		}
	}
	if served < 495 {
		t.Errorf("%d of the last 500 requests served, 20 s after all endpoints recovered", served)
	}
}

func TestNoEndpointsRejectsInTime(t *testing.T) {
	b := startBalancer(t, testSettings(), nil, 1)
	for i := range 5 {
		actions := b.Handle(2*sec, testRequest(i, 2*sec))
		if len(actionsOf[Send](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
			t.Fatalf("without endpoints: actions %v", actions)
		}
	}
	if len(b.requests) != 0 || len(b.deadlineTimers) != 0 {
		t.Error("answered requests are kept")
	}
	b.Handle(3*sec, EndpointUpdate{Entries: testEndpoints(3)})
	if endpoint := sentTo(b.Handle(5*sec, testRequest(9, 5*sec))); endpoint == "" {
		t.Error("endpoints that were listed later are not used")
	}
}
