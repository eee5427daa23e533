package balancer

import (
	"math"
	"time"
)

// Ejection of endpoints and zones to which attempts fail.

// zoneEjectionThreshold is the number of endpoints of a zone that must fail in a row, without a success in between, for
// the zone to be ejected. With a quarter of the endpoints down, the probability of three failures in a row is below 2%.
const zoneEjectionThreshold = 3

// isEjected reports whether an endpoint can't be used now because it or its zone is ejected or has a recovery trial in
// flight.
func (b *Balancer) isEjected(endpoint *endpointState) bool {
	zone := b.zoneOutlier(endpoint)
	return b.now < endpoint.ejectedUntil || endpoint.failures > 0 && endpoint.trialInFlight ||
		zone.failures >= zoneEjectionThreshold && (b.now < zone.ejectedUntil || zone.trialInFlight)
}

// recordSuccess ends an ejection. An endpoint that recovers from a suspected crash starts to warm up, even if service
// discovery has not listed the restart yet.
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

// recordFailure ejects an endpoint. Endpoints that fail in a row eject their whole zone: if a zone is unreachable,
// waiting for each of its endpoints to fail would cost every client a timeout. A zone without an alternative is not
// ejected.
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

// maxEjectionDoublings limits the exponent of the backoff.
const maxEjectionDoublings = 10

// eject counts a failure and sets the time of the next trial. The pause doubles with each failure, up to twice
// OverloadWindow, and jitter makes it differ between nodes.
func (b *Balancer) eject(outlier *outlierState) {
	outlier.failures++
	outlier.trialInFlight = false
	doublings := float64(min(outlier.failures, maxEjectionDoublings))
	pause := float64(b.settings.Limits.ConnectTimeout) * math.Pow(2, doublings)
	pause = min(pause, 2*float64(b.settings.Rules.OverloadWindow)) * b.jitter()
	outlier.ejectedUntil = b.now + time.Duration(pause)
}
