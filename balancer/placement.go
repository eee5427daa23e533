package balancer

import (
	"math"
	"slices"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/balancer/loadreport"
)

// This file selects the endpoint of an attempt. A key has a chain of candidates, the same at every node of a zone.

// maxCandidates bounds the chain: with half of all endpoints out, none of 12 admits in under 0.03% of cases.
const maxCandidates = 12

// localCandidates is how many endpoints of the node's own zone a key is offered before the whole fleet's. A third one
// did harm: what an overloaded endpoint sheds overloads the next one of the zone while other zones have room.
const localCandidates = 2

// selectEndpoint picks the endpoint of a request's next attempt; nil if there is none.
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

// resumedEndpoint is the endpoint that most likely has a resumed connection; nil if it can't be used.
func (b *Balancer) resumedEndpoint(req *request) *endpointState {
	endpoint := b.likelyEndpoint(req)
	if endpoint == nil || endpoint.phase != Ready || b.isEjected(endpoint) {
		return nil
	}
	// One that restarted has lost its connections and is refilled as it warms up: it has about the square of that fraction.
	if hashing.Uniform(req.clientHash, endpoint.hash) < math.Pow(b.warmUpFraction(endpoint), 2) {
		return endpoint
	}
	return nil
}

// selectByHash walks the chain to the first endpoint that is not full. All full means that the shares are wrong, as
// just after a loss of endpoints: the first one takes the request then.
func (b *Balancer) selectByHash(req *request) *endpointState {
	var firstFull *endpointState
	for i := range maxCandidates {
		endpoint := b.candidate(req, i)
		if endpoint == nil {
			return nil
		}
		// Without admission nothing spills over from overloaded endpoints, which would overload the next ones. What
		// has an endpoint of its own that is well, such as a new one, is served.
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

// selectByLoadReports prefers an endpoint of this zone that holds the request's group and is loaded below the bound,
// then any endpoint below it, then the least loaded one. A group fills endpoint after endpoint along its chain, and each
// endpoint holds few groups.
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

func (b *Balancer) mayAttempt(req *request, endpoint *endpointState) bool {
	return !slices.Contains(req.attempted, endpoint) && b.mayRetryOn(req, endpoint) && b.admitsKey(req, endpoint)
}

// admitsKey tells whether an endpoint takes this key now. Every node with like evidence decides alike.
func (b *Balancer) admitsKey(req *request, endpoint *endpointState) bool {
	if endpoint.phase != Ready || b.isEjected(endpoint) {
		return false
	}
	// The part of the keys that a warming endpoint gets runs ahead of its capacity: its budget bounds what it is sent.
	fraction := math.Sqrt(b.warmUpFraction(endpoint)) * b.currentAdmittedFraction(endpoint)
	if fraction < 1 && !b.probeTrafficDue() && hashing.Uniform(req.keyHash, endpoint.hash) >= fraction {
		return false
	}
	return b.hasSlowStartBudget(endpoint)
}

// isFull tells whether an endpoint has more of this node's load than its fair share and the scatter to be expected.
// Each node that keeps its own traffic even keeps the sum even; one with next to no traffic is hardly bound.
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

// candidate is the i-th endpoint on a key's chain. Crossing zones costs at every message, so a key walks the table of
// its node's zone first and after that the whole fleet's.
func (b *Balancer) candidate(req *request, i int) *endpointState {
	if b.localTable.isEmpty() || hashing.Uniform(req.clientHash, localTableSalt) >= b.localKeyFraction {
		return b.fleetTable.lookup(hashing.Candidate(req.keyHash, i))
	}
	if i < localCandidates {
		return b.localTable.lookup(hashing.Candidate(req.keyHash, i))
	}
	return b.fleetTable.lookup(hashing.Candidate(req.keyHash, i-localCandidates))
}

// likelyEndpoint guesses which endpoint holds a connection whose packets now arrive here: the one where this node saw it
// last, else the one where the node that they came through before will have placed it.
func (b *Balancer) likelyEndpoint(req *request) *endpointState {
	for _, generation := range b.clientEndpoints {
		if endpoint := generation[req.clientHash]; endpoint != nil {
			return endpoint
		}
	}
	if b.localTable.isEmpty() {
		return b.lookupEstablished(&b.fleetTable, req.keyHash)
	}
	// A load balancer in front keeps to its zone's nodes. Just after a node's start it returns that node's connections;
	// later, where a node is alone in its zone, what comes is the other zone's.
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

// lookupEstablished looks a key up in the table by which its connection was most likely placed. Connections outlive many
// changes of a table: for a time most of them are where it led before those.
func (b *Balancer) lookupEstablished(table *slotTable, keyHash uint64) *endpointState {
	if table.previous != nil && b.now-b.previousTablesAt < 2*b.settings.Rules.WarmUp {
		endpoint := table.previous.lookup(keyHash)
		if endpoint != nil && endpoint.phase == Ready && !b.isEjected(endpoint) {
			return endpoint
		}
	}
	return table.lookup(keyHash)
}

// groupKeyHash counts a request of a group and returns the hash by which it is placed.
func (b *Balancer) groupKeyHash(req *request) uint64 {
	group := hashing.String(req.Group)
	if !req.Returning && !req.ClientRetry && !req.Resumed {
		b.groupFrequency.Observe(group)
	}
	if b.settings.LoadReports { // a group spreads as far as its endpoints report to be loaded
		return group
	}
	return b.splitGroupHash(group, req.clientHash)
}

// splitGroupHash returns the client's part of a group that is too heavy for one endpoint: the group is split into as many
// parts as endpoints' worths of traffic it has, each with a hash of its own. The client's part is found by plastic
// hashing too, so that it rarely changes while the number of parts grows.
func (b *Balancer) splitGroupHash(group, clientHash uint64) uint64 {
	owners := b.localTable.expectedOwnerCount
	if owners == 0 {
		owners = b.fleetTable.expectedOwnerCount
	}
	endpoints := float64(max(owners, 1))
	endpointsWorth := min(b.groupFrequency.Share(group, endpoints), 1) * endpoints
	if endpointsWorth < 2 {
		return group
	}
	// Powers of two, so that nodes that estimate a little differently still split alike; at least one endpoint's worth
	// each, since every endpoint that holds any of a group pays for it.
	var history []int
	for count := 1; float64(count) <= endpointsWorth; count *= 2 {
		history = append(history, count)
	}
	return hashing.Candidate(hashing.Mix64(group), plasticSlot(clientHash, history))
}
