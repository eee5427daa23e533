package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"example.org/micafront/balancer/hashing"
)

// slowStartCase describes a tier of nodes that sends requests to two warming endpoints.
type slowStartCase struct {
	nodes int
	zoned bool // whether the two endpoints replace all endpoints of a zone
}

// slowStartTier is a tier of nodes that share a stream of keys, with the connections of all nodes.
type slowStartTier struct {
	rng         *rand.Rand
	nodes       []*Balancer
	lastID      int
	connections []tierConnection     // oldest first
	sends       map[string][]Instant // times of attempts, by endpoint
}

type tierConnection struct {
	node     *Balancer
	id       string
	endpoint string
	endsAt   Instant
}

// offer ends the connections whose lifetime is over and establishes a new one at a random node.
func (tier *slowStartTier) offer(now Instant) {
	const lifetime = 20 * sec
	for len(tier.connections) > 0 && tier.connections[0].endsAt <= now {
		oldest := tier.connections[0]
		oldest.node.Handle(now, AttemptEnded{ID: oldest.id, Endpoint: oldest.endpoint, Status: OK, Final: true})
		tier.connections = tier.connections[1:]
	}
	node, req := tier.nodes[tier.rng.IntN(len(tier.nodes))], testRequest(tier.lastID, now)
	tier.lastID++
	endpoint := sentTo(node.Handle(now, req))
	tier.sends[endpoint] = append(tier.sends[endpoint], now)
	node.Handle(now, Established{ID: req.ID, Endpoint: endpoint})
	tier.connections = append(tier.connections, tierConnection{node, req.ID, endpoint, now + lifetime})
}

// Nodes that share a stream of keys, and whose clients reconnect at once, must not overload a warming endpoint
// together.
func TestSlowStartBudgetHoldsForManyNodes(t *testing.T) {
	for _, c := range []slowStartCase{{1, false}, {8, false}, {150, false}, {9, true}, {150, true}} {
		settings := testSettings()
		settings.Nodes = c.nodes
		settings.Rules.InitialCapacity = 0.15
		endpoints := testEndpoints(20)
		tier := slowStartTier{rng: rand.New(rand.NewPCG(7, 7)), sends: map[string][]Instant{}}
		for i := range c.nodes {
			if c.zoned {
				settings.Zone = fmt.Sprintf("z%d", i%3)
			}
			tier.nodes = append(tier.nodes, startBalancer(t, settings, endpoints, uint64(i)))
		}
		// 20 endpoints hold 1000 connections and can hold four times as many. Then two endpoints start while many clients
		// reconnect.
		const startedAt = 32 * sec
		for now := 2 * sec; now < startedAt; now += 20 * ms {
			tier.offer(now)
		}
		warming, capacity := []string{"new1", "new2"}, 4*1000.0/20
		var update []Endpoint
		for _, id := range warming {
			update = append(update, Endpoint{ID: id, Size: 1, StartedAt: startedAt, Zone: "z0"})
		}
		for _, entry := range endpoints {
			if entry.Phase = Removed; c.zoned && entry.Zone == "z0" {
				update = append(update, entry)
				capacity = 4 * 1000.0 / 15 // 15 endpoints are left
			}
		}
		for _, node := range tier.nodes {
			node.Handle(startedAt, EndpointUpdate{Entries: update})
		}
		for now := startedAt; now < startedAt+10*sec; now += 4 * ms { // five times the previous rate
			tier.offer(now)
		}
		for _, endpoint := range warming {
			checkSlowStart(t, c, endpoint, tier.sends[endpoint], startedAt, capacity)
		}
	}
}

// checkSlowStart checks the attempts that an endpoint got since its start. capacity is the number of connections that
// it can hold once it is warm.
func checkSlowStart(t *testing.T, c slowStartCase, endpoint string, sends []Instant, startedAt Instant, capacity float64) {
	t.Helper()
	settings := testSettings()
	worst, early, worstAt := 0.0, 0, ""
	for i, from := range sends {
		received := 0
		for _, at := range sends[i:] {
			if at < from+settings.Rules.OverloadWindow {
				received++
			}
		}
		warmUpFraction := min(0.15+0.85*(from-startedAt).Seconds()/10, 1)
		limit := 3 * capacity / 10 * warmUpFraction
		if overload := float64(received) / (limit + 2*math.Sqrt(limit)); overload > worst { // allows for the scatter of small counts
			worst, worstAt = overload, fmt.Sprint(received, limit, from)
		}
		if from < startedAt+5*sec {
			early++
		}
	}
	if worst > 1.2 { // each node may have saved one token
		t.Errorf("%+v: %s got %.2f times the attempts that overload it (attempts, limit, from): %v", c, endpoint, worst, worstAt)
	}
	// Halfway through the warm-up the endpoint must have got some of its share, with few nodes and with many. The other
	// endpoints carry the rest.
	if early < 14 {
		t.Errorf("%+v: %s got %d attempts in 5 s, want at least 14", c, endpoint, early)
	}
}

// Resumed packets may belong to a connection at an endpoint that has just restarted, but most of those connections
// ended with the old process. If many nodes sent all such packets to the endpoint at once, they would overload it.
func TestResumedPacketsSpareWarmingEndpoint(t *testing.T) {
	const nodes = 300
	settings := testSettings()
	settings.Nodes, settings.PassThrough = nodes, true
	sent, resumed := 0, 0
	for i := range nodes {
		b := startBalancer(t, settings, testEndpoints(4), uint64(i))
		warming := testEndpoints(4)[1]
		warming.StartedAt = 2 * sec
		b.Handle(2*sec, EndpointUpdate{Entries: []Endpoint{warming}})
		for k := range 4 {
			req := testRequest(4*i+k, 2*sec)
			req.Resumed = true
			if b.fleetTable.lookup(hashing.String(req.Key)).id == warming.ID {
				resumed++
				if sentTo(b.Handle(2*sec, req)) == warming.ID {
					sent++
				}
			}
		}
	}
	if fraction := float64(sent) / float64(resumed); fraction < 0.04 || fraction > 0.15 { // 0.3 squared is 0.09
		t.Errorf("%d of %d packets went to an endpoint with a warm-up fraction of 0.3", sent, resumed)
	}
}
