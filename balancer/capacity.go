package balancer

// Capacity of the fleet and of this node's zone.

// epsilon keeps divisors above zero.
const epsilon = 1e-9

// Zones are assumed to have similar traffic. A zone with less than its share of the fleet's capacity sends keys to other
// zones. A zone that has just lost capacity does so early, because its remaining endpoints already hold connections; any
// other zone does so only when more keys would overload it. The slack is the factor by which the fraction of keys that
// try the zone first exceeds the zone's share.
const (
	stableZoneSlack       = 2
	shrunkenZoneSlack     = 1.25
	shrunkenZoneThreshold = 0.75 // fraction of baselineLocalShare; a zone below it has lost endpoints
)

// recomputeCapacity sums the capacity that the fleet and this zone have now, once per epoch. Endpoints that are warming
// up count in part and ejected ones not at all, so that the endpoints that carry their load don't appear full.
func (b *Balancer) recomputeCapacity(ready []*endpointState) {
	b.fleetCapacity = 0
	b.localCapacity = 0
	zones := map[string]bool{}
	for _, endpoint := range ready {
		zones[endpoint.zone] = true
		if b.isEjected(endpoint) {
			continue
		}
		capacity := endpoint.size * b.warmUpFraction(endpoint)
		b.fleetCapacity += capacity
		if b.isLocal(endpoint) {
			b.localCapacity += capacity
		}
	}
	b.zoneCount = max(len(zones), 1)
	localShare := float64(b.zoneCount) * b.localCapacity / max(b.fleetCapacity, epsilon)
	if b.baselineLocalShare == 0 {
		b.baselineLocalShare = localShare
	}
	slack := shrunkenZoneSlack
	if localShare >= shrunkenZoneThreshold*b.baselineLocalShare {
		slack = stableZoneSlack
	}
	b.localKeyFraction = slack * localShare
}

// overloadedShare returns the fraction of the fleet, by size, that is sent less than half of its keys because of
// overload.
func (b *Balancer) overloadedShare() float64 {
	total, overloaded := 0.0, 0.0
	for _, endpoint := range b.readyEndpoints() {
		total += endpoint.size
		if b.currentAdmittedFraction(endpoint) < 0.5 {
			overloaded += endpoint.size
		}
	}
	return overloaded / max(total, epsilon)
}
