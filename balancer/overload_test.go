package balancer

import (
	"testing"
	"time"
)

// overloadAllEndpoints establishes n connections at the four endpoints and has each endpoint report a message latency
// once a second. It returns how many connections are migrated.
func overloadAllEndpoints(b *Balancer, n int, latency time.Duration, seconds int) (migrated int) {
	for i := range n {
		establish(b, 2*sec, testRequest(i, 2*sec))
	}
	for k := range seconds {
		for i := range 4 {
			migrated += reportLatency(b, 3*sec+Instant(k)*sec, endpointID(i), latency)
		}
	}
	return migrated
}

// Connections are migrated off a slow endpoint at a bounded rate. None leaves an endpoint that is not overloaded.
func TestOverloadReliefIsBounded(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	if migrated := overloadAllEndpoints(b, 200, 50*ms, 5); migrated != 0 {
		t.Errorf("%d migrations off endpoints whose latency is below half the objective", migrated)
	}
	b = startBalancer(t, testSettings(), testEndpoints(4), 1)
	if migrated := overloadAllEndpoints(b, 200, 300*ms, 1); migrated < 20 || migrated > 200*4/10 {
		t.Errorf("%d of 200 connections migrated in a second", migrated)
	}
	// If 150 nodes have one connection each at the same slow endpoint, about three in ten migrate it.
	migrated := 0
	for i := range 150 {
		node := startBalancer(t, testSettings(), testEndpoints(1), uint64(i))
		establish(node, 2*sec, testRequest(1, 2*sec))
		migrated += len(actionsOf[Migrate](node.Handle(3*sec, LatencyChanged{ID: "r1", Endpoint: endpointID(0), Latency: 300 * ms})))
	}
	if migrated < 20 || migrated > 75 {
		t.Errorf("%d of 150 nodes migrated their only connection at once", migrated)
	}
}

// The number of connections that are migrated off a slow endpoint follows from the growth of its latency, which
// measures the excess over its capacity, and from the work that is queued. None leaves an endpoint that recovers
// without help. If the fleet is overloaded, only a third is migrated, because the connections would overload the next
// endpoint.
func TestOverloadReliefFollowsExcess(t *testing.T) {
	for _, c := range []struct {
		name          string
		slow          int           // slow endpoints, of nine
		before, after time.Duration // latencies that are reported a second apart; 0: no report
		least         int
		most          int
	}{
		{"a little over capacity", 1, 130 * ms, 140 * ms, 14, 16}, // an excess of 1% and a queue of 140 ms
		{"far over capacity", 1, 100 * ms, 300 * ms, 41, 43},      // an excess of 20% and a queue of 300 ms
		{"recovers", 1, 500 * ms, 300 * ms, 12, 14},
		{"recovers fast enough", 1, 500 * ms, 250 * ms, 0, 0},
		{"a first report", 1, 0, 120 * ms, 16, 18}, // growth from zero within OverloadWindow
		{"messages take half of OverloadWindow", 1, 900 * ms, sec, 100, 100},
		{"unresponsive", 2, sec, 2 * sec, 100, 100},
		{"far over in an overloaded fleet", 3, 100 * ms, 300 * ms, 13, 15},
		{"unresponsive in an overloaded fleet", 3, sec, 9 * sec, 33, 34},
	} {
		b := startBalancer(t, testSettings(), testEndpoints(9), 1)
		now := 30 * sec
		for i := range 100 {
			b.Handle(now, Adopted{Request: testRequest(i, now), Endpoint: endpointID(0)})
		}
		for i := c.slow - 1; i > 0; i-- {
			b.Handle(now+sec, LatencyChanged{Endpoint: endpointID(i), Latency: sec})
		}
		if c.before > 0 {
			for i, migration := range actionsOf[Migrate](b.Handle(now, LatencyChanged{Endpoint: endpointID(0), Latency: c.before})) {
				// New connections replace the migrated ones, so that the second report finds 100 again.
				b.Handle(now, AttemptEnded{ID: migration.ID, Endpoint: endpointID(0), Status: Canceled, Final: true})
				b.Handle(now, Adopted{Request: testRequest(i+1000, now), Endpoint: endpointID(0)})
			}
		}
		actions := b.Handle(now+sec, LatencyChanged{Endpoint: endpointID(0), Latency: c.after})
		if got := len(actionsOf[Migrate](actions)); got < c.least || got > c.most {
			t.Errorf("%s: %d of 100 migrated, want %d to %d", c.name, got, c.least, c.most)
		}
	}
}

// If a zone is unreachable, many of its endpoints appear slow at once. All connections are migrated off an endpoint to
// which new attempts fail as well, even if the fleet is overloaded, because no connection that stays there is served.
func TestSlowAndUnreachableEndpointIsEmptied(t *testing.T) {
	settings := testSettings()
	settings.Limits.Attempts = 1
	b := startBalancer(t, settings, testEndpoints(4), 1)
	for i := range 80 {
		establish(b, 2*sec, testRequest(i, 2*sec))
	}
	report := func(now Instant, endpoint string) int { return reportLatency(b, now, endpoint, 600*ms) }
	for i := range 3 {
		report(3*sec, endpointID(i))
	}
	remaining := func() (n int) {
		for _, req := range b.endpoints[endpointID(0)].active {
			if !req.migrating {
				n++
			}
		}
		return n
	}
	if before, migrated := remaining(), report(4*sec, endpointID(0)); before < 8 || migrated > before*2/3 {
		t.Fatalf("%d of %d migrated off an endpoint that is only slow, in an overloaded fleet", migrated, before)
	}
	for i := 1000; b.endpoints[endpointID(0)].failures == 0; i++ { // until an attempt there fails to connect
		req := testRequest(i, 4*sec)
		if endpoint := sentTo(b.Handle(4*sec, req)); endpoint == endpointID(0) {
			b.Handle(4*sec+200*ms, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: ConnectFailed})
		}
	}
	if before, migrated := remaining(), report(5*sec, endpointID(0)); migrated != before {
		t.Errorf("%d of %d migrated off an endpoint that is slow and unreachable", migrated, before)
	}
}

// If endpoints don't report latencies, the reset of a connection migrates some of the other connections, those of the
// lowest priority first. If they do, their reports migrate the excess, and a reset migrates none.
func TestResetMigratesOthers(t *testing.T) {
	for _, reports := range []bool{false, true} {
		b := startBalancer(t, testSettings(), testEndpoints(4), 1)
		for i := range 200 {
			req := testRequest(i, 2*sec)
			if i%2 == 1 {
				req.Class = "heavy"
			}
			establish(b, 2*sec, req)
		}
		endpoint := b.endpoints[endpointID(0)]
		if reports {
			b.Handle(3*sec, LatencyChanged{ID: endpoint.active[0].ID, Endpoint: endpoint.id, Latency: 0})
		}
		active, resetRequest := len(endpoint.active), endpoint.active[0]
		migrations := actionsOf[Migrate](b.Handle(3*sec, AttemptEnded{ID: resetRequest.ID, Endpoint: endpoint.id, Status: Reset}))
		lowPriority := 0
		for _, migration := range migrations {
			if b.requests[migration.ID].class.Name == "heavy" {
				lowPriority++
			}
		}
		switch {
		case reports && len(migrations) > 0:
			t.Errorf("%d of %d migrated by a reset although latencies are reported", len(migrations), active)
		case !reports && (len(migrations) < active/2 || len(migrations) > active*7/10 || lowPriority < len(migrations)*3/4):
			t.Errorf("%d of %d migrated by a reset, %d of them of the class of low priority", len(migrations), active, lowPriority)
		}
	}
}

// Endpoints that don't report latencies reset connections when too much work is queued. Many resets lower the admission
// rate, which recovers when the resets end. A single reset does not lower it.
func TestResetsLowerAdmissionRate(t *testing.T) {
	for resets, lowered := range map[int]bool{0: false, 1: false, 10: true} {
		b := startBalancer(t, testSettings(), testEndpoints(6), 1)
		endpoints := map[int]string{}
		for i := range 60 {
			endpoints[i] = establish(b, 2*sec, testRequest(i, 2*sec))
		}
		for i := range resets {
			b.Handle(3*sec, AttemptEnded{ID: testRequest(i, 0).ID, Endpoint: endpoints[i], Status: Reset})
		}
		b.Handle(4*sec, Timer{})
		if got := b.admissionRate < 1; got != lowered {
			t.Errorf("after %d resets of 60 the admission rate is %.2f", resets, b.admissionRate)
		}
		for now := 5 * sec; now < 15*sec; now += sec {
			b.Handle(now, Timer{})
		}
		if b.admissionRate < 1 {
			t.Errorf("ten seconds after %d resets the admission rate is %.2f", resets, b.admissionRate)
		}
	}
}
