package balancer

import (
	"time"

	"example.org/micafront/balancer/hashing"
)

// State and accounting of endpoints. Decisions are made in other files.

// outlierState is the circuit breaker of an endpoint or of the path to a zone: the failures since the last success, and
// the half-open trials that follow them.
type outlierState struct {
	failures      int
	ejectedUntil  Instant // 0: no failure since the last success
	trialInFlight bool    // the only request that tests for a recovery is in flight
}

// endpointState is an endpoint, as service discovery lists it and as this node observes it.
type endpointState struct {
	id    string
	hash  uint64 // hash of id
	phase Phase  // changed only by setPhase

	inReadyList      bool   // whether the ready list contained it when last read
	lastListedUpdate uint64 // updateCount of the latest update that listed it

	size      float64 // relative capacity
	zone      string
	cell      int
	startedAt Instant // latest known start; 0: long ago
	outlierState

	active     []*request // attempts in flight and connections of this node
	activeLoad float64    // sum over active, in mean connections

	drainStepsLeft int     // 0: not draining, or all connections have been migrated
	drainForcedAt  Instant // when migration begins even if the admission rate is below 1

	crashSuspected bool    // its connections were reset and it then refused new ones
	lastResetAt    Instant // when an established connection was last reset

	messageLatency   time.Duration // as last reported
	messageLatencyAt Instant       // time of that report; 0: none

	admittedFraction   float64 // fraction of its keys that it is sent, as of admittedFractionAt; below 1 under overload
	admittedFractionAt Instant
	slowStartTokens    float64 // token bucket of slow start, as of slowStartTokensAt
	slowStartTokensAt  Instant
}

// newEndpoint adds an endpoint that was not listed before. The caller sets its phase.
func (b *Balancer) newEndpoint(id string) *endpointState {
	endpoint := &endpointState{id: id, hash: hashing.String(id), phase: Removed, admittedFraction: 1}
	b.refillSlowStart(endpoint)
	b.endpoints[id] = endpoint
	return endpoint
}

// refillSlowStart sets an endpoint's token bucket to a random level.
func (b *Balancer) refillSlowStart(endpoint *endpointState) {
	endpoint.slowStartTokens = b.random.Float64()
	endpoint.slowStartTokensAt = b.now
}

// resetProcessState clears what was observed of an earlier process of the endpoint.
func (e *endpointState) resetProcessState() {
	e.outlierState = outlierState{}
	e.crashSuspected = false
	e.admittedFraction = 1
	e.messageLatency = 0
}

// established returns the connections at an endpoint, except those whose clients have been asked to migrate.
func (e *endpointState) established() []*request {
	var open []*request
	for _, req := range e.active {
		if req.established && !req.migrating {
			open = append(open, req)
		}
	}
	return open
}

// zoneOutlier returns the outlier state of the path to an endpoint's zone.
func (b *Balancer) zoneOutlier(endpoint *endpointState) *outlierState {
	zone := b.zoneOutliers[endpoint.zone]
	if zone == nil {
		zone = &outlierState{}
		b.zoneOutliers[endpoint.zone] = zone
	}
	return zone
}

// isLocal reports whether an endpoint is in this node's zone and that zone has a table.
func (b *Balancer) isLocal(endpoint *endpointState) bool {
	return !b.localTable.isEmpty() && endpoint.zone == b.settings.Zone
}

// addActive assigns a request to an endpoint and counts it there.
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
	// Floating-point sums drift. They are reset to 0 when nothing is active.
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

// pruneRemoved deletes removed endpoints that have no active requests of this node.
func (b *Balancer) pruneRemoved() {
	for id, endpoint := range b.endpoints {
		if endpoint.phase == Removed && len(endpoint.active) == 0 {
			delete(b.endpoints, id)
			b.loadReports.Remove(id)
		}
	}
}
