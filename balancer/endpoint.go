package balancer

import (
	"time"

	"example.org/micafront/balancer/hashing"
)

// This file holds what a node knows of one endpoint. It decides nothing.

// outlierState counts the failures of an endpoint, or of the way to a zone, since the last success, and the half-open
// trials that follow them, as in a circuit breaker.
type outlierState struct {
	failures      int
	ejectedUntil  Instant // 0: no failure since the last success
	trialInFlight bool    // the one request that probes for a recovery is out
}

// endpointState is an endpoint, as service discovery lists it and as this node finds it.
type endpointState struct {
	id    string
	hash  uint64 // of the id
	phase Phase  // setPhase changes it

	inReadyList      bool   // it is one of the ready list's as that was last read
	lastListedUpdate uint64 // updateCount of the last update that listed it

	size      float64 // relative capacity
	zone      string
	cell      int
	startedAt Instant // of its latest start as far as known; 0: long ago
	outlierState

	active     []*request // attempts in flight and connections of this node
	activeLoad float64    // of those, in mean connections

	drainStepsLeft int     // 0: not draining, or all connections have been migrated
	drainForcedAt  Instant // when migration begins even if the admission rate is below 1

	crashSuspected bool    // its connections were reset and it then refused new ones
	lastResetAt    Instant // when an established connection was last reset

	messageLatency   time.Duration // as last reported
	messageLatencyAt Instant       // when that was; 0: never

	admittedFraction   float64 // of its keys, below 1 under overload, as of admittedFractionAt
	admittedFractionAt Instant
	slowStartTokens    float64 // token bucket of slow start, as of slowStartTokensAt
	slowStartTokensAt  Instant
}

// newEndpoint registers an endpoint that is not listed yet.
func (b *Balancer) newEndpoint(id string) *endpointState {
	endpoint := &endpointState{id: id, hash: hashing.String(id), phase: Removed, admittedFraction: 1}
	b.refillSlowStart(endpoint)
	b.endpoints[id] = endpoint
	return endpoint
}

// refillSlowStart starts an endpoint's token bucket at a random level.
func (b *Balancer) refillSlowStart(endpoint *endpointState) {
	endpoint.slowStartTokens = b.random.Float64()
	endpoint.slowStartTokensAt = b.now
}

// resetProcessState forgets what was known of an earlier process of the endpoint.
func (e *endpointState) resetProcessState() {
	e.outlierState = outlierState{}
	e.crashSuspected = false
	e.admittedFraction = 1
	e.messageLatency = 0
}

// established lists the connections at an endpoint, without those whose clients have been asked to migrate.
func (e *endpointState) established() []*request {
	var open []*request
	for _, req := range e.active {
		if req.established && !req.migrating {
			open = append(open, req)
		}
	}
	return open
}

// zoneOutlier is the outlier state of the way to an endpoint's zone.
func (b *Balancer) zoneOutlier(endpoint *endpointState) *outlierState {
	zone := b.zoneOutliers[endpoint.zone]
	if zone == nil {
		zone = &outlierState{}
		b.zoneOutliers[endpoint.zone] = zone
	}
	return zone
}

// isLocal tells whether an endpoint is one of the local table's.
func (b *Balancer) isLocal(endpoint *endpointState) bool {
	return !b.localTable.isEmpty() && endpoint.zone == b.settings.Zone
}

// addActive counts an attempt or a connection at an endpoint.
func (b *Balancer) addActive(req *request, endpoint *endpointState) {
	req.endpoint = endpoint
	req.activeIndex = len(endpoint.active)
	endpoint.active = append(endpoint.active, req)
	b.activeCount++
	b.activeByTenant[req.Tenant]++
	b.setRequestLoad(req, b.expectedLoad(req.class))
}

// removeActive undoes addActive.
func (b *Balancer) removeActive(req *request) {
	endpoint := req.endpoint
	last := len(endpoint.active) - 1
	endpoint.active[req.activeIndex] = endpoint.active[last]
	endpoint.active[req.activeIndex].activeIndex = req.activeIndex
	endpoint.active = endpoint.active[:last]
	b.activeCount--
	if b.activeByTenant[req.Tenant]--; b.activeByTenant[req.Tenant] == 0 {
		delete(b.activeByTenant, req.Tenant)
	}
	endpoint.activeLoad -= req.load
	b.activeLoad -= req.load
	req.endpoint = nil
	req.load = 0
	// Sums of floating-point numbers drift; they start afresh where nothing is left.
	if last == 0 {
		endpoint.activeLoad = 0
	}
	if b.activeCount == 0 {
		b.activeLoad = 0
	}
}

// setRequestLoad changes the load of an active request, in mean connections.
func (b *Balancer) setRequestLoad(req *request, load float64) {
	req.endpoint.activeLoad += load - req.load
	b.activeLoad += load - req.load
	req.load = load
}

// pruneRemoved forgets removed endpoints without connections of this node.
func (b *Balancer) pruneRemoved() {
	for id, endpoint := range b.endpoints {
		if endpoint.phase == Removed && len(endpoint.active) == 0 {
			delete(b.endpoints, id)
			b.loadReports.Remove(id)
		}
	}
}
