package balancer

import (
	"testing"
)

// A node requests a load report from each ready endpoint once per OverloadWindow while the fleet load is low, and ten
// times in the first window after its start. It requests none from a draining endpoint, and none if LoadReports is off.
func TestRequestsLoadReports(t *testing.T) {
	for _, reports := range []bool{true, false} {
		settings := loadReportSettings()
		settings.LoadReports = reports
		b, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		endpoints := testEndpoints(3)
		endpoints[2].Phase = Draining
		requested := map[string]int{}
		timers := map[string]Instant{}
		collect := func(now Instant, actions []Action) {
			for _, check := range actionsOf[HealthCheck](actions) {
				requested[check.Endpoint]++
			}
			for _, timer := range actionsOf[SetTimer](actions) {
				timers[timer.Token] = now + timer.Delay
			}
		}
		collect(sec, b.Handle(sec, EndpointUpdate{Kind: CachedList, Entries: endpoints}))
		for now := sec; now < 10*sec; now += 10 * ms {
			if at, ok := timers[loadReportTimer]; ok && at <= now {
				delete(timers, loadReportTimer)
				collect(now, b.Handle(now, Timer{Token: loadReportTimer}))
			}
		}
		if !reports {
			if len(requested) > 0 {
				t.Errorf("requests with LoadReports off: %v", requested)
			}
			continue
		}
		for _, id := range []string{endpointID(0), endpointID(1)} {
			if requested[id] < 8 || requested[id] > 14 {
				t.Errorf("%d reports of %s were requested", requested[id], id)
			}
		}
		if requested[endpointID(2)] > 0 {
			t.Error("a report of a draining endpoint was requested")
		}
	}
}

// The number of endpoints that a node asks for their load must not grow with the list. Of a large list the node asks
// those that hold its connections and a sample, which is stable over time and differs between nodes. Of a small list it
// asks all.
func TestLoadReportRequestsDoNotGrowWithList(t *testing.T) {
	asked := func(b *Balancer, now Instant) map[string]bool {
		ids := map[string]bool{}
		for _, check := range actionsOf[HealthCheck](b.Handle(now, Timer{Token: loadReportTimer})) {
			ids[check.Endpoint] = true
		}
		return ids
	}
	start := func(self, endpoints int) *Balancer {
		settings := testSettings()
		settings.LoadReports, settings.NodeIndex = true, self
		return startBalancer(t, settings, testEndpoints(endpoints), 1)
	}
	if got := len(asked(start(0, maxReportingEndpoints), 10*sec)); got != maxReportingEndpoints {
		t.Errorf("%d of %d endpoints are asked", got, maxReportingEndpoints)
	}
	b, other := start(0, 3200), start(1, 3200)
	first := asked(b, 10*sec)
	if len(first) < sampledEndpoints/2 || len(first) > maxReportingEndpoints {
		t.Errorf("%d of 3,200 endpoints are asked", len(first))
	}
	shared := 0
	for id := range asked(other, 10*sec) {
		if first[id] {
			shared++
		}
	}
	if shared > len(first)/2 {
		t.Errorf("two nodes ask %d endpoints in common", shared)
	}
	send := actionsOf[Send](b.Handle(11*sec, testRequest(1, 11*sec)))[0]
	later := asked(b, 20*sec)
	if !later[send.Endpoint] {
		t.Errorf("the endpoint of an active attempt is not asked")
	}
	delete(later, send.Endpoint)
	for id := range later {
		if !first[id] {
			t.Errorf("%s is asked later but was not asked at first", id)
		}
	}
}
