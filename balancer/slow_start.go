package balancer

// Slow start of endpoints that have just started.

// warmUpFraction returns the fraction of its capacity that an endpoint is certain to have by now. It grows linearly
// over WarmUp.
func (b *Balancer) warmUpFraction(endpoint *endpointState) float64 {
	if endpoint.startedAt == 0 {
		return 1
	}
	initial, warmUp := b.settings.Rules.InitialCapacity, b.settings.Rules.WarmUp
	age := b.now - endpoint.startedAt
	if age >= warmUp {
		return 1
	}
	return initial + (1-initial)*max(float64(age)/float64(warmUp), 0)
}

// assumedHeadroom is the assumed ratio between the connections that a warm endpoint can hold and those that it holds in
// the steady state. Endpoints don't report this ratio.
const assumedHeadroom = 4

// The fill rate of the token bucket grants sustainedFraction of the connections that are allowed per OverloadWindow. The
// size of the bucket grants the remaining fifth, a quarter of the sustained connections, for bursts.
const (
	sustainedFraction = 0.8
	burstDivisor      = 4
)

// hasSlowStartBudget reports whether the token bucket of a warming endpoint holds a token. Without the bucket,
// returning clients or a large group could overload the endpoint.
//
// The endpoint can accept connections at the rate that fills it over its warm-up. All nodes together must stay under
// OverloadFactor times that rate. Each node derives its part from its own active connections, because with many nodes
// each one sees too few arrivals to measure a rate. Buckets start at random levels, so that the nodes' tokens become
// available at different times.
func (b *Balancer) hasSlowStartBudget(endpoint *endpointState) bool {
	warmUpFraction := b.warmUpFraction(endpoint)
	if warmUpFraction >= 1 {
		return true
	}
	rules := &b.settings.Rules
	fillRate := assumedHeadroom * b.steadyStateConnections(endpoint) / rules.WarmUp.Seconds()
	rate := fillRate * warmUpFraction * rules.OverloadFactor * sustainedFraction
	burst := max(rate*rules.OverloadWindow.Seconds()/burstDivisor, 1)
	elapsed := b.now - endpoint.slowStartTokensAt
	endpoint.slowStartTokens = min(endpoint.slowStartTokens+rate*elapsed.Seconds(), burst)
	endpoint.slowStartTokensAt = b.now
	return endpoint.slowStartTokens >= 1
}

// steadyStateConnections returns how many of this node's connections, including the next one, a warm endpoint would
// hold.
func (b *Balancer) steadyStateConnections(endpoint *endpointState) float64 {
	totalSize := b.fleetTable.totalSize()
	if b.isLocal(endpoint) {
		// In a zone that has lost endpoints, the remaining ones never held all of the zone's connections.
		totalSize = max(b.localTable.totalSize(), totalSize/float64(b.zoneCount))
	} else if !b.localTable.isEmpty() {
		totalSize *= float64(b.zoneCount) // nodes of the endpoint's own zone warm it up; this node only sends it spillover
	}
	return float64(b.activeCount+1) * endpoint.size / max(totalSize, endpoint.size)
}
