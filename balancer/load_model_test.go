package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// loadModel simulates endpoints that report their load, and the nodes that send requests to them.
type loadModel struct {
	t           *testing.T
	nodes       []*Balancer
	connections map[string]map[string]Request // by endpoint and request ID
	endpointOf  map[string]string             // by request ID
	retrying    []retryingClient
	offered     map[string]int
	maxLoad     float64
}

// modelCapacity is the capacity of an endpoint of size 1, in mean connections with the cost of groups.
const modelCapacity = 20.0

func (m *loadModel) load(endpoint string) float64 {
	groups, n := map[string]bool{}, 0.0
	for _, req := range m.connections[endpoint] {
		groups[req.Group] = true
		n++
	}
	return (n + 3*float64(len(groups))) / modelCapacity
}

func (m *loadModel) execute(node int, now Instant, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			req := m.nodes[node].requests[action.ID].Request
			m.connections[action.Endpoint][action.ID], m.endpointOf[action.ID] = req, action.Endpoint
			m.nodes[node].Handle(now, Established{ID: action.ID, Endpoint: action.Endpoint})
		case Migrate:
			delete(m.connections[m.endpointOf[action.ID]], action.ID)
			req := m.nodes[node].requests[action.ID].Request
			m.nodes[node].Handle(now, AttemptEnded{ID: action.ID, Endpoint: m.endpointOf[action.ID], Status: Canceled})
			req.ID, req.Returning = req.ID+"+", true
			m.send(node, now, req)
		}
	}
}

// send passes a request to a node, which must answer at once with either an attempt or a rejection. Rejected clients
// retry.
func (m *loadModel) send(node int, now Instant, req Request) {
	m.t.Helper()
	req.Deadline = now + 2*sec
	actions := m.nodes[node].Handle(now, req)
	rejected := actionsOf[Reject](actions)
	if len(actionsOf[Send](actions))+len(rejected) != 1 || len(actionsOf[Fail](actions)) > 0 {
		m.t.Fatalf("request %s: got %+v, want one attempt or rejection", req.ID, actions)
	}
	m.execute(node, now, actions)
	for _, rejection := range rejected {
		req.ID += "."
		m.retrying = append(m.retrying, retryingClient{node, now + rejection.RetryAfter, req})
	}
}

// retryingClient is a client that was rejected and retries later.
type retryingClient struct {
	node    int
	at      Instant
	request Request
}

// runLoadModel sends 40 requests a second and has each endpoint report its load three times a second.
func runLoadModel(t *testing.T, seed uint64, seconds int, draw func(rng *rand.Rand, i int) Request) *loadModel {
	settings := loadReportSettings()
	for _, share := range []float64{0.35, 0.31, 0.23, 0.11} {
		settings.Tenants = append(settings.Tenants, Tenant{Name: fmt.Sprint(share), Share: share, Connections: 100 * share})
	}
	m := &loadModel{t: t, connections: map[string]map[string]Request{}, endpointOf: map[string]string{},
		offered: map[string]int{}}
	endpoints := testEndpoints(12)
	for i := range 4 {
		settings.Zone = fmt.Sprint("z", i%3)
		b, err := New(settings, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(sec, EndpointUpdate{Kind: CachedList, Entries: endpoints})
		m.nodes = append(m.nodes, b)
	}
	for i := range endpoints {
		m.connections[endpointID(i)] = map[string]Request{}
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range seconds * 40 {
		now := 2*sec + Instant(i)*25*ms
		if i%13 == 0 {
			for s := range endpoints {
				load := m.load(endpointID(s))
				m.maxLoad = max(m.maxLoad, load)
				for n, b := range m.nodes {
					report := LoadReport{UtilizationMetric: load, ConnectionsMetric: float64(len(m.connections[endpointID(s)]))}
					m.execute(n, now, b.Handle(now, HealthCheckResult{Endpoint: endpointID(s), Load: report}))
				}
			}
		}
		req := draw(rng, i)
		waiting := m.retrying
		m.retrying = nil
		for _, client := range waiting {
			if client.at > now {
				m.retrying = append(m.retrying, client)
			} else {
				m.send(client.node, now, client.request)
			}
		}
		req.ID, req.Class = fmt.Sprint("r", i), "light"
		m.offered[req.Tenant]++
		m.send(rng.IntN(len(m.nodes)), now, req)
	}
	return m
}

// Three hot keys carry a quarter of the traffic. They must not overload any endpoint, and each group must stay on few
// endpoints.
func TestHotKeysOverloadNoEndpoint(t *testing.T) {
	for seed := range uint64(10) {
		m := runLoadModel(t, seed, 3, func(rng *rand.Rand, i int) Request {
			req := Request{Tenant: "0.35", Key: fmt.Sprint("k", i), Group: fmt.Sprint("g", rng.IntN(6))}
			if rng.IntN(4) == 0 {
				req.Key = fmt.Sprint("hot", rng.IntN(3))
				req.Group = "hot"
			}
			return req
		})
		placements := 0 // pairs of a group and an endpoint
		for _, connections := range m.connections {
			groups := map[string]bool{}
			for _, req := range connections {
				groups[req.Group] = true
			}
			placements += len(groups)
		}
		if m.maxLoad > 1.3 || placements > 42 { // of 84 for seven groups on twelve endpoints
			t.Errorf("seed %d: an endpoint was loaded to %.2f of its capacity, groups have %d placements", seed, m.maxLoad, placements)
		}
	}
}

// One tenant sends five times its share to an overloaded fleet. The other tenants must keep at least 80% of their
// share.
func TestExcessiveTenantSparesOthers(t *testing.T) {
	shares := []float64{0.35, 0.31, 0.23, 0.11}
	for seed := range uint64(8) {
		excessive := shares[seed%4]
		m := runLoadModel(t, seed, 12, func(rng *rand.Rand, i int) Request {
			draw, sum := rng.Float64(), 0.0
			all := 1 + 4*excessive
			tenant := shares[3]
			for _, share := range shares {
				part := share / all
				if share == excessive {
					part *= 5
				}
				if sum += part; draw < sum {
					tenant = share
					break
				}
			}
			return Request{Tenant: fmt.Sprint(tenant), Key: fmt.Sprint("k", i), Group: fmt.Sprint("g", rng.IntN(8))}
		})
		held, all := map[string]int{}, 0
		for _, connections := range m.connections {
			for _, req := range connections {
				held[req.Tenant]++
				all++
			}
		}
		for _, share := range shares {
			name := fmt.Sprint(share)
			guaranteed := min(share*float64(all), float64(m.offered[name]))
			if share != excessive && float64(held[name]) < 0.8*guaranteed {
				t.Errorf("seed %d, tenant %v is excessive: tenant %s holds %d of %d connections, its share is %.0f", seed, excessive, name, held[name], all, guaranteed)
			}
		}
	}
}
