package balancer

import (
	"testing"
)

// Each ready endpoint is requested once in OverloadWindow while the fleet has little load, ten times in the first one; none
// that drains, and none where the site's endpoints report nothing.
func TestRequestsLoadReports(t *testing.T) {
	for _, reports := range []bool{true, false} {
		settings := loadReportSettings()
		settings.LoadReports = reports
		b, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		members := testEndpoints(3)
		members[2].Phase = Draining
		requested := map[string]int{}
		timers := map[string]Instant{}
		take := func(now Instant, actions []Action) {
			for _, p := range actionsOf[HealthCheck](actions) {
				requested[p.Endpoint]++
			}
			for _, a := range actionsOf[SetTimer](actions) {
				timers[a.Token] = now + a.Delay
			}
		}
		take(sec, b.Handle(sec, EndpointUpdate{Kind: CachedList, Entries: members}))
		for now := sec; now < 10*sec; now += 10 * ms {
			if at, ok := timers[loadReportTimer]; ok && at <= now {
				delete(timers, loadReportTimer)
				take(now, b.Handle(now, Timer{Token: loadReportTimer}))
			}
		}
		if !reports {
			if len(requested) > 0 {
				t.Errorf("requested %v", requested)
			}
			continue
		}
		for _, id := range []string{endpointID(0), endpointID(1)} {
			if requested[id] < 8 || requested[id] > 14 {
				t.Errorf("%s was requested %d times", id, requested[id])
			}
		}
		if requested[endpointID(2)] > 0 {
			t.Error("a draining endpoint was requested")
		}
	}
}

// TestLoadQueriesDoNotGrowWithTheList: of a large list a node asks those endpoints for their load that have connections of its own,
// and some others, the same from time to time and others than another node; of a small one all.
func TestLoadQueriesDoNotGrowWithTheList(t *testing.T) {
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
		t.Errorf("the endpoint of an attempt is not asked")
	}
	delete(later, send.Endpoint)
	for id := range later {
		if !first[id] {
			t.Errorf("%s is asked later and was not at first", id)
		}
	}
}
