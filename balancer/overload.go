package balancer

import (
	"time"

	"example.org/micafront/balancer/admission"
)

// Overload detection for endpoints that don't report their load, based on message latency, rejections and resets.
// Overload lowers the fraction of an endpoint's keys that this node sends to it and migrates connections off it.

// minAdmittedFraction keeps a few keys on an overloaded endpoint, so that nodes notice when it recovers.
const minAdmittedFraction = 0.05

// currentAdmittedFraction returns the fraction of an endpoint's keys that this node sends to it. After an overload the
// fraction recovers linearly, from 0 to 1 in WarmUp.
func (b *Balancer) currentAdmittedFraction(endpoint *endpointState) float64 {
	if endpoint.admittedFraction < 1 {
		elapsed := b.now - endpoint.admittedFractionAt
		recovered := float64(elapsed) / float64(b.settings.Rules.WarmUp)
		endpoint.admittedFraction = min(endpoint.admittedFraction+recovered, 1)
	}
	endpoint.admittedFractionAt = b.now
	return endpoint.admittedFraction
}

// halveAdmittedFraction halves the fraction of an endpoint's keys that this node sends to it, after the endpoint
// rejected a request or reset a connection.
func (b *Balancer) halveAdmittedFraction(endpoint *endpointState) {
	endpoint.admittedFraction = max(b.currentAdmittedFraction(endpoint)/2, minAdmittedFraction)
}

// recordReset records the reset of an established connection. An endpoint with too much queued work resets connections
// one by one. It is sent fewer keys but is not ejected, because an ejection would move a whole group to the next
// endpoint and overload that one. If resets are the only sign of overload, many of the other connections are migrated
// too: they are served late and would be reset next.
func (b *Balancer) recordReset(endpoint *endpointState) {
	b.halveAdmittedFraction(endpoint)
	stress := admission.ResetStress(b.now, endpoint.messageLatencyAt, b.settings.Rules.OverloadWindow)
	endpoint.lastResetAt = b.now
	b.stress += stress
	if stress > 0 && endpoint.phase == Ready {
		b.migrateLoad(endpoint, admission.ResetMigrationFraction*endpoint.activeLoad, byPriorityDensity)
	}
}

// observeLatency processes a latency report; each endpoint sends about one a second. The admitted fraction falls from
// 1, at a third of the shortest message objective, to the minimum at the objective, where a connection has no value to
// its client.
func (b *Balancer) observeLatency(endpoint *endpointState, latency time.Duration) {
	objective := float64(b.minMessageObjective)
	if objective == 0 || b.settings.LoadReports { // load reports show overload earlier
		return
	}
	fraction := max(min((objective-float64(latency))/(objective*2/3), 1), minAdmittedFraction)
	b.stress += (1 - fraction) * float64(len(endpoint.active))
	endpoint.admittedFraction = min(b.currentAdmittedFraction(endpoint), fraction)

	window := b.settings.Rules.OverloadWindow
	previous, elapsed := endpoint.messageLatency, b.now-endpoint.messageLatencyAt
	if elapsed > 3*window { // after a gap in the reports, assume zero latency one window ago
		previous, elapsed = 0, window
	}
	endpoint.messageLatency = latency
	endpoint.messageLatencyAt = b.now
	growth := float64(latency-previous) / float64(max(elapsed, window/2))
	b.relieveOverload(endpoint, float64(latency)/objective, growth)
}

// fleetOverloadThreshold is the overloaded share above which the fleet as a whole is short of capacity. Connections
// that are migrated off one endpoint then overload the next.
const fleetOverloadThreshold = 0.25

// minLatencyGrowth bounds the migrated fraction, so that a recovering endpoint keeps some of its connections.
const minLatencyGrowth = -0.9

// relieveOverload migrates connections off an endpoint whose messages are late. Otherwise the messages would stay late
// for as long as the connections live. slowness is the latency divided by the objective; growth is the change of the
// latency divided by the time in which it occurred.
//
// Work queues up at the rate by which it exceeds the endpoint's capacity, so growth measures the excess. All nodes
// observe it within a second, and each migrates the same fraction of its own connections: the excess, and enough to
// empty the queue within half an OverloadWindow, in which the migrated clients reconnect. If the fleet is short of
// capacity, the fraction is a third of that. If attempts to the endpoint or its zone fail as well, the fraction is 1. The
// lateness scales the fraction, so that a latency up to half the objective migrates none. Connections with the lowest
// priority for their load go first.
func (b *Balancer) relieveOverload(endpoint *endpointState, slowness, growth float64) {
	growth = max(growth, minLatencyGrowth)
	queued := 2 * float64(endpoint.messageLatency) / float64(b.settings.Rules.OverloadWindow)
	fraction := min(max((growth+queued)/(1+growth), 0), 1)
	if endpoint.failures > 0 || b.zoneOutlier(endpoint).failures >= zoneEjectionThreshold {
		fraction = 1
	} else if b.overloadedShare() > fleetOverloadThreshold {
		fraction /= 3
	}
	lateness := min(max(2*slowness-1, 0), 1) // 0 at half the objective, 1 at the objective
	b.migrateLoad(endpoint, fraction*lateness*endpoint.activeLoad, byPriorityDensity)
}
