package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A failed subscription is retried with jitter, and always within DiscoveryInterval.
func TestDiscoveryBackoff(t *testing.T) {
	settings := testSettings()
	settings.Subscribe = true
	var firstDelays []time.Duration
	for i := range 50 {
		b, _ := New(settings, uint64(i))
		actions := b.Handle(sec, EndpointUpdate{Kind: CachedList, Entries: testEndpoints(3)})
		timer := actionsOf[SetTimer](actions)[0]
		firstDelays = append(firstDelays, timer.Delay)
		now, last := sec+timer.Delay, sec
		for n := range 8 {
			if now-last > settings.Rules.DiscoveryInterval {
				t.Fatalf("call %d came %v after the previous one", n, now-last)
			}
			last = now
			actions = b.Handle(now, Timer{Token: timer.Token})
			if len(actionsOf[Watch](actions)) != 1 {
				t.Fatalf("call %d: got %v, want one Watch", n, actions)
			}
			actions = b.Handle(now+10*ms, EndpointUpdate{Kind: ListFailed})
			if len(actionsOf[SetTimer](actions)) != 1 {
				t.Fatalf("after failure %d: got %v, want one SetTimer", n, actions)
			}
			timer = actionsOf[SetTimer](actions)[0]
			now += 10*ms + timer.Delay
		}
		b.Handle(now, Timer{Token: timer.Token})
		actions = b.Handle(now+10*ms, EndpointUpdate{Kind: DeltaList})
		if len(actionsOf[SetTimer](actions)) != 0 {
			t.Fatalf("scheduled a retry although the subscription succeeded: %v", actions)
		}
	}
	spread := map[time.Duration]bool{}
	for _, delay := range firstDelays {
		spread[delay/(100*ms)] = true
	}
	if len(spread) < 10 {
		t.Error("the first subscriptions of the nodes are not spread over time")
	}
}

// However long DiscoveryInterval is, a node subscribes soon after its start.
func TestFirstWatchDelayIsBounded(t *testing.T) {
	settings := testSettings()
	settings.Subscribe, settings.Rules.DiscoveryInterval = true, time.Hour
	var first, last time.Duration = time.Hour, 0
	for seed := range uint64(100) {
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range actionsOf[SetTimer](b.Handle(sec, EndpointUpdate{Kind: CachedList, Entries: testEndpoints(4)})) {
			if a.Token == watchTimer {
				first, last = min(first, a.Delay), max(last, a.Delay)
			}
		}
	}
	if first > 200*ms || last < 2*sec || last > 2500*ms {
		t.Errorf("100 nodes subscribe between %v and %v after their start", first, last)
	}
}

// A complete list removes the endpoints that it does not contain. A failed list removes none.
func TestAbsentFromFullListIsRemoved(t *testing.T) {
	for _, kind := range []ListKind{FullList, CachedList} {
		b := startBalancer(t, testSettings(), testEndpoints(4), 1)
		b.Handle(2*sec, EndpointUpdate{Kind: kind, Entries: testEndpoints(3)})
		for i := range 300 {
			if got := sentTo(b.Handle(2*sec, testRequest(i, 2*sec))); got == endpointID(3) {
				t.Fatal("sent to an endpoint absent from the list")
			}
		}
	}
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	b.Handle(2*sec, EndpointUpdate{Kind: ListFailed})
	used := map[string]bool{}
	for i := range 300 {
		used[sentTo(b.Handle(2*sec, testRequest(i, 2*sec)))] = true
	}
	if !used[endpointID(3)] {
		t.Error("a failed list removed an endpoint")
	}
}

// A fleet shrinks from twelve endpoints to five while its endpoint list is late. Each request must be answered at once,
// none is sent to an endpoint that is listed as draining, and stopped endpoints cost few additional attempts.
func TestShrinkingFleetWithLateList(t *testing.T) {
	settings := loadReportSettings()
	settings.Rules.DrainGrace = sec
	b := startWithReports(t, settings, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3)
	stopped, draining, attempts := map[string]bool{}, map[string]bool{}, 0
	for i := range 400 { // 40 a second
		now := 2*sec + Instant(i)*25*ms
		if i%20 == 0 && len(stopped) < 7 {
			stopped[endpointID(len(stopped))] = true
		}
		if i%20 == 0 && i >= 220 && len(draining) < 7 { // the list announces each stop 5.5 s late
			id := endpointID(len(draining))
			draining[id] = true
			b.Handle(now, EndpointUpdate{Kind: DeltaList, Entries: []Endpoint{{ID: id, Phase: Draining, Size: 1, Zone: b.endpoints[id].zone}}})
		}
		req := testRequest(i, now)
		req.Group = fmt.Sprint("g", i%8)
		actions := b.Handle(now, req)
		for len(actionsOf[Send](actions)) > 0 {
			attempts++
			endpoint := sentTo(actions)
			if draining[endpoint] {
				t.Fatalf("request %d was sent to %s, which drains", i, endpoint)
			}
			if !stopped[endpoint] {
				b.Handle(now, Established{ID: req.ID, Endpoint: endpoint, Attempt: b.requests[req.ID].attempts - 1})
				b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: b.requests[req.ID].attempts - 1, Status: OK})
				break
			}
			actions = b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: b.requests[req.ID].attempts - 1, Status: ConnectFailed})
		}
		if state := b.requests[req.ID]; state != nil && !state.answered {
			t.Fatalf("request %d has no answer: %+v", i, actions)
		}
	}
	if attempts > 480 {
		t.Errorf("%d attempts for 400 requests", attempts)
	}
}
