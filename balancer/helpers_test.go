package balancer

import (
	"fmt"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

func testSettings() Settings {
	return Settings{
		Nodes: 4, // Zone is empty, so no endpoint is local; tests of the local table set it
		Classes: []Class{
			{Name: "light", LatencyObjective: 300 * ms, Timeout: 2 * sec, MessageObjective: 120 * ms, PriorityWeight: 2},
			{Name: "heavy", LatencyObjective: 500 * ms, Timeout: 3 * sec, MessageObjective: 120 * ms, PriorityWeight: 1},
		},
		Limits: Limits{Attempts: 3, ConnectTimeout: 200 * ms, MaxRetryAfter: sec, MaxOpen: 10000, RetryAfter: true,
			Cancel: true},
		Rules: Rules{AnswerSlack: 20 * ms, DiscoveryInterval: 10 * sec, WarmUp: 10 * sec, InitialCapacity: 0.3,
			DrainGrace: 250 * ms, OverloadWindow: 2 * sec, OverloadFactor: 3},
	}
}

func endpointID(i int) string { return fmt.Sprintf("s%03d", i) }

func testEndpoints(n int) []Endpoint {
	var endpoints []Endpoint
	for i := range n {
		endpoints = append(endpoints, Endpoint{ID: endpointID(i), Size: 1, Zone: fmt.Sprintf("z%d", i%3), Cell: i / 4})
	}
	return endpoints
}

func startBalancer(t testing.TB, settings Settings, endpoints []Endpoint, seed uint64) *Balancer {
	t.Helper()
	b, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(sec, EndpointUpdate{Kind: CachedList, Entries: endpoints})
	return b
}

func testRequest(id int, now Instant) Request {
	return Request{ID: fmt.Sprintf("r%d", id), Class: "light", Key: fmt.Sprintf("k%d", id), Deadline: now + 2*sec}
}

func actionsOf[A Action](actions []Action) []A {
	var found []A
	for _, action := range actions {
		if action, ok := action.(A); ok {
			found = append(found, action)
		}
	}
	return found
}

// sentTo returns the endpoint of the first attempt among actions, or "" if there is none.
func sentTo(actions []Action) string {
	if sends := actionsOf[Send](actions); len(sends) > 0 {
		return sends[0].Endpoint
	}
	return ""
}

// reportLatency reports a message latency of an endpoint through one of its active requests, and returns how many
// connections are migrated.
func reportLatency(b *Balancer, now Instant, endpoint string, latency time.Duration) (migrated int) {
	for _, req := range b.endpoints[endpoint].active {
		return len(actionsOf[Migrate](b.Handle(now, LatencyChanged{ID: req.ID, Endpoint: endpoint, Latency: latency})))
	}
	return 0
}

// establish sends a request and establishes its connection. It returns the endpoint, or "" if the request was not sent.
func establish(b *Balancer, now Instant, req Request) string {
	endpoint := sentTo(b.Handle(now, req))
	if endpoint != "" {
		b.Handle(now+ms, Established{ID: req.ID, Endpoint: endpoint, Latency: ms})
	}
	return endpoint
}

// loadReportSettings returns the settings of a site whose endpoints report their load.
func loadReportSettings() Settings {
	settings := testSettings()
	settings.Zone, settings.LoadReports = "z0", true
	settings.Limits.HealthChecks = true
	settings.OverQuotaWeight = 0.05
	settings.Rules.OverloadWindow = 3 * sec
	return settings
}

// startWithReports starts a node with one endpoint per load and has each endpoint report its load.
func startWithReports(t testing.TB, settings Settings, loads ...float64) *Balancer {
	t.Helper()
	b := startBalancer(t, settings, testEndpoints(len(loads)), 1)
	for i, load := range loads {
		b.Handle(sec, HealthCheckResult{Endpoint: endpointID(i), Load: LoadReport{UtilizationMetric: load, ConnectionsMetric: 10}})
	}
	return b
}

// allOwners returns the owners of all slots.
func (t *slotTable) allOwners() []*endpointState {
	owners := make([]*endpointState, t.slotCount())
	for slot := range owners {
		owners[slot] = t.owner(slot)
	}
	return owners
}
