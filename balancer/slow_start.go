package balancer

// This file brings started endpoints up to their capacity slowly.

// warmUpFraction is the part of its capacity that an endpoint surely has by now, growing linearly over WarmUp.
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

// assumedHeadroom is how many times its steady state of connections a warm endpoint is taken to hold at most: nothing
// reports that.
const assumedHeadroom = 4

// Of the connections that an OverloadWindow may bring, sustainedFraction comes at a steady rate and the rest, a quarter
// of that, in bursts.
const (
	sustainedFraction = 0.8
	burstDivisor      = 4
)

// hasSlowStartBudget tells whether the token bucket of a warming endpoint has a token: many returning clients, or a large
// group, could overload it. It accepts connections as fast as fills it over its warm-up; all nodes together must stay
// under OverloadFactor times that. Each node's rate follows from what it has active itself: many nodes see too few
// arrivals each to tell a rate. Buckets start at random levels, so that the nodes' tokens come due one by one.
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

// steadyStateConnections is how many of this node's connections, with the next one, an endpoint has once it is warm.
func (b *Balancer) steadyStateConnections(endpoint *endpointState) float64 {
	totalSize := b.fleetTable.totalSize()
	if b.isLocal(endpoint) {
		// A zone that has lost endpoints never had all these connections on those that are left.
		totalSize = max(b.localTable.totalSize(), totalSize/float64(b.zoneCount))
	} else if !b.localTable.isEmpty() {
		totalSize *= float64(b.zoneCount) // it is the other zones' to warm up: it gets only what spills over
	}
	return float64(b.activeCount+1) * endpoint.size / max(totalSize, endpoint.size)
}
