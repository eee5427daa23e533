package balancer

import (
	"math"
	"time"
)

// This file ejects endpoints, and zones, to which attempts fail.

// zoneEjectionThreshold is how many endpoints of a zone must fail in a row, without a success between, for the zone to
// be ejected. With a quarter of the endpoints down, three in a row are under 2% of chance.
const zoneEjectionThreshold = 3

// isEjected tells that an endpoint, or the way to its zone, waits for its next trial.
func (b *Balancer) isEjected(endpoint *endpointState) bool {
	zone := b.zoneOutlier(endpoint)
	return b.now < endpoint.ejectedUntil || endpoint.failures > 0 && endpoint.trialInFlight ||
		zone.failures >= zoneEjectionThreshold && (b.now < zone.ejectedUntil || zone.trialInFlight)
}

// recordSuccess ends an ejection. An endpoint that recovers from a crash warms up, whatever the list says so far.
func (b *Balancer) recordSuccess(endpoint *endpointState) {
	if endpoint.crashSuspected {
		endpoint.startedAt = b.now
		endpoint.slowStartTokens = 0
		endpoint.slowStartTokensAt = b.now
	}
	endpoint.crashSuspected = false
	endpoint.outlierState = outlierState{}
	*b.zoneOutlier(endpoint) = outlierState{}
}

// recordFailure ejects an endpoint. Where a zone is cut off, waiting for each of its endpoints to fail would cost every
// client a timeout, so endpoints that fail in a row eject the whole zone. An only zone is no worse than another.
func (b *Balancer) recordFailure(endpoint *endpointState, status Status) {
	wasReset := b.now-endpoint.lastResetAt < b.settings.Rules.OverloadWindow
	if status == ConnectFailed && len(endpoint.active) == 0 && (endpoint.failures > 0 || wasReset) {
		endpoint.crashSuspected = true
	}
	if zone := b.zoneOutlier(endpoint); b.zoneCount > 1 && (endpoint.failures == 0 || zone.trialInFlight) {
		b.eject(zone)
	}
	b.eject(&endpoint.outlierState)
}

const maxEjectionDoublings = 10

// eject counts a failure and sets the time of the next trial: it doubles with each failure and differs from node to node.
func (b *Balancer) eject(outlier *outlierState) {
	outlier.failures++
	outlier.trialInFlight = false
	doublings := float64(min(outlier.failures, maxEjectionDoublings))
	pause := float64(b.settings.Limits.ConnectTimeout) * math.Pow(2, doublings)
	pause = min(pause, 2*float64(b.settings.Rules.OverloadWindow)) * b.jitter()
	outlier.ejectedUntil = b.now + time.Duration(pause)
}
