package balancer

import (
	"math"
	"slices"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/balancer/loadreport"
)

// Each key has a chain of candidate endpoints, which is the same at all nodes of a zone. selectEndpoint chooses from it.

// maxCandidates is the length of a key's chain. With half of all endpoints out, 12 candidates all fail in under 0.03% of
// cases.
const maxCandidates = 12

// localCandidates is the number of candidates from the node's zone that precede those from the whole fleet. With a third
// one, the load shed by an overloaded endpoint overloads the next endpoint of the zone while other zones have capacity.
const localCandidates = 2

// selectEndpoint returns the endpoint for a request's next attempt, or nil if no endpoint can take it.
func (b *Balancer) selectEndpoint(req *request) *endpointState {
	if req.Resumed && req.attempts == 0 {
		if endpoint := b.resumedEndpoint(req); endpoint != nil {
			return endpoint
		}
	}
	if b.settings.LoadReports {
		return b.selectByLoadReports(req)
	}
	return b.selectByHash(req)
}

// resumedEndpoint returns the endpoint that most likely holds a resumed connection, or nil if there is none or it can't be
// used.
func (b *Balancer) resumedEndpoint(req *request) *endpointState {
	endpoint := b.likelyEndpoint(req)
	if endpoint == nil || endpoint.phase != Ready || b.isEjected(endpoint) {
		return nil
	}
	// A restarted endpoint has lost its connections and gains new ones as it warms up. The chance that it holds this one
	// is about the square of its warm-up fraction.
	if hashing.Uniform(req.clientHash, endpoint.hash) < math.Pow(b.warmUpFraction(endpoint), 2) {
		return endpoint
	}
	return nil
}

// selectByHash returns the first endpoint on the chain that is not full. If all are full, the load shares are out of date,
// as they are just after a loss of endpoints, and the first full endpoint takes the request.
func (b *Balancer) selectByHash(req *request) *endpointState {
	var firstFull *endpointState
	for i := range maxCandidates {
		endpoint := b.candidate(req, i)
		if endpoint == nil {
			return nil
		}
		// A request that was denied admission may only use its first candidate, and only while that endpoint, for example
		// a new one, is healthy. If it spilled over from an overloaded endpoint, it would overload the next one.
		if req.admissionDenied && (i > 0 || b.currentAdmittedFraction(endpoint) < 1 || b.isFull(endpoint)) {
			return nil
		}
		if !b.mayAttempt(req, endpoint) {
			continue
		}
		if !b.isFull(endpoint) {
			return endpoint
		}
		if firstFull == nil {
			firstFull = endpoint
		}
	}
	return firstFull
}

// selectByLoadReports prefers an endpoint in this zone that already serves the request's group and whose load is below the
// bound, then the first endpoint below the bound, then the least loaded one. A group therefore fills the endpoints of its
// chain one after another, and each endpoint serves few groups.
func (b *Balancer) selectByLoadReports(req *request) *endpointState {
	if req.admissionDenied {
		return nil
	}
	var selected *endpointState
	selectedLoad := math.Inf(1)
	loadBound := loadreport.LoadBound(b.loadReports.FleetLoad(b.now))
	for i := range maxCandidates {
		endpoint := b.candidate(req, i)
		if endpoint == nil {
			return nil
		}
		if !b.mayAttempt(req, endpoint) {
			continue
		}
		placementLoad := b.placementLoad(req, endpoint)
		holdsGroup := placementLoad == b.expectedLoad(req.class)
		load := b.loadReports.ExpectedLoad(endpoint.id, endpoint.size, placementLoad)
		if load < loadBound && endpoint.zone == b.settings.Zone && holdsGroup {
			return endpoint
		}
		if load < selectedLoad && selectedLoad >= loadBound {
			selected = endpoint
			selectedLoad = load
		}
	}
	return selected
}

// mayAttempt reports whether a request's next attempt may go to an endpoint.
func (b *Balancer) mayAttempt(req *request, endpoint *endpointState) bool {
	return !slices.Contains(req.attempted, endpoint) && b.mayRetryOn(req, endpoint) && b.admitsKey(req, endpoint)
}

// admitsKey reports whether an endpoint accepts the request's key now. Nodes with the same observations of the endpoint
// decide alike.
func (b *Balancer) admitsKey(req *request, endpoint *endpointState) bool {
	if endpoint.phase != Ready || b.isEjected(endpoint) {
		return false
	}
	// The square root admits more keys than a warming endpoint has capacity for; its slow-start budget bounds its requests.
	fraction := math.Sqrt(b.warmUpFraction(endpoint)) * b.currentAdmittedFraction(endpoint)
	if fraction < 1 && !b.probeTrafficDue() && hashing.Uniform(req.keyHash, endpoint.hash) >= fraction {
		return false
	}
	return b.hasSlowStartBudget(endpoint)
}

// isFull reports whether an endpoint's part of this node's load exceeds its fair share plus the expected random variation.
// If each node spreads its own load evenly, the fleet's load is even too. The bound hardly limits a node with little traffic.
func (b *Balancer) isFull(endpoint *endpointState) bool {
	if b.activeCount == 0 {
		return false
	}
	meanLoad := b.activeLoad / float64(b.activeCount)
	capacity := b.fleetCapacity
	if b.isLocal(endpoint) {
		capacity = b.localCapacity
	}
	fairLoad := b.activeLoad * endpoint.size * b.warmUpFraction(endpoint) / max(capacity, epsilon)
	return endpoint.activeLoad >= fairLoad+math.Sqrt(fairLoad*meanLoad)+meanLoad
}

// candidate returns the i-th endpoint on a key's chain, or nil if the tables are empty. Every message that crosses zones
// has a cost, so the chain begins in the table of the node's zone and continues in the table of the whole fleet.
func (b *Balancer) candidate(req *request, i int) *endpointState {
	if b.localTable.isEmpty() || hashing.Uniform(req.clientHash, localTableSalt) >= b.localKeyFraction {
		return b.fleetTable.lookup(hashing.Candidate(req.keyHash, i))
	}
	if i < localCandidates {
		return b.localTable.lookup(hashing.Candidate(req.keyHash, i))
	}
	return b.fleetTable.lookup(hashing.Candidate(req.keyHash, i-localCandidates))
}

// likelyEndpoint returns the endpoint that probably holds a connection whose packets now arrive at this node: the endpoint
// where this node last saw the client, or else the one where the packets' previous node probably placed the connection.
func (b *Balancer) likelyEndpoint(req *request) *endpointState {
	for _, generation := range b.clientEndpoints {
		if endpoint := generation[req.clientHash]; endpoint != nil {
			return endpoint
		}
	}
	if b.localTable.isEmpty() {
		return b.lookupEstablished(&b.fleetTable, req.keyHash)
	}
	// A load balancer in front of the nodes uses the nodes of its own zone. Just after this node's start it returns the
	// connections that this node had. Later, if this node is alone in its zone, they come from a node of the other zone.
	aloneInZone := b.settings.Nodes <= b.zoneCount
	if aloneInZone && b.now-b.startedAt > b.settings.Rules.OverloadWindow*3/2 && len(b.zoneTables) == 2 {
		for zone, table := range b.zoneTables {
			if zone != b.settings.Zone && !table.isEmpty() {
				return b.lookupEstablished(table, req.keyHash)
			}
		}
	}
	return b.lookupEstablished(b.localTable, req.keyHash)
}

// lookupEstablished looks up a key in the form of the table that most likely placed its connection. Connections outlive
// many changes of a table, so for some time after a change most of them are where its previous form placed them.
func (b *Balancer) lookupEstablished(table *slotTable, keyHash uint64) *endpointState {
	if table.previous != nil && b.now-b.previousTablesAt < 2*b.settings.Rules.WarmUp {
		endpoint := table.previous.lookup(keyHash)
		if endpoint != nil && endpoint.phase == Ready && !b.isEjected(endpoint) {
			return endpoint
		}
	}
	return table.lookup(keyHash)
}

// groupKeyHash returns the hash that places a request of a group. It also counts the request toward the group's traffic,
// unless the client is returning, retrying or resuming a connection.
func (b *Balancer) groupKeyHash(req *request) uint64 {
	group := hashing.String(req.Group)
	if !req.Returning && !req.ClientRetry && !req.Resumed {
		b.groupFrequency.Observe(group)
	}
	if b.settings.LoadReports { // selectByLoadReports spreads a group by the load that its endpoints report
		return group
	}
	return b.splitGroupHash(group, req.clientHash)
}

// splitGroupHash returns the key hash for a client of a group. A group that is too heavy for one endpoint is split into
// about as many parts as it needs endpoints, and each part has its own hash. Plastic hashing assigns clients to parts, so
// that a client's part rarely changes while the number of parts grows.
func (b *Balancer) splitGroupHash(group, clientHash uint64) uint64 {
	ownerCount := b.localTable.expectedOwnerCount
	if ownerCount == 0 {
		ownerCount = b.fleetTable.expectedOwnerCount
	}
	endpoints := float64(max(ownerCount, 1))
	endpointsNeeded := min(b.groupFrequency.Share(group, endpoints), 1) * endpoints
	if endpointsNeeded < 2 {
		return group
	}
	// The number of parts is a power of two, so that nodes with slightly different estimates still split alike. Each part
	// is worth at least one endpoint, because a group has a cost at every endpoint that serves it.
	var partCounts []int
	for count := 1; float64(count) <= endpointsNeeded; count *= 2 {
		partCounts = append(partCounts, count)
	}
	return hashing.Candidate(hashing.Mix64(group), plasticSlot(clientHash, partCounts))
}
