// Package admission decides which connections are rejected first when a fleet is short of capacity, by the priority of
// their class for their load and by the quota of their tenant. Package balancer uses it to admit and migrate
// connections. It performs no I/O and reads no clock.
package admission

import (
	"math"
	"time"
)

// epsilon gives all classes the same rank if none has a priority.
const epsilon = 1e-12

// PriorityRank returns a connection's priority for its load relative to that of the best class, in (0,1]. A density is
// a priority weight divided by a load. Callers reduce it for connections beyond their tenant's quota.
func PriorityRank(density, bestDensity float64) float64 {
	return (density + epsilon) / (bestDensity + epsilon)
}

// AdmittedFraction returns the fraction of the connections of a rank that is admitted at an admission rate: the rate
// itself for rank 1, less for lower ranks.
func AdmittedFraction(rate, rank float64) float64 { return math.Pow(rate, 1/rank) }

// LoadLimit returns the fleet load below which connections of a rank are admitted. This is trunk reservation, by which
// telephone exchanges reserve their last lines for the most important calls. An admitted connection uses capacity for
// as long as it lives, so capacity that is given to the lowest rank now is missing for the highest rank later.
func LoadLimit(rank float64) float64 {
	const highest, reserved = 0.9, 0.3
	return highest - reserved*(1-rank)
}

// The admission rate falls while more than tolerableStress of a node's connections are served late or reset, and rises
// otherwise. Uneven groups cause that much stress even in a fleet with ample capacity. The rate never falls below
// minRate, so that it recovers soon even after a stall of all endpoints.
const (
	tolerableStress = 0.15
	minRate         = 0.1
	maxDecrease     = 0.8 // fraction of the rate, per update
)

// UpdateRate returns the admission rate after a number of seconds during which a fraction of a node's connections was
// served late or reset.
//
// A node combines the stress of all its connections, for two reasons. With many nodes, each one has little evidence on
// a single endpoint. And if the fleet as a whole is short of capacity, spillover from one overloaded endpoint to the
// next overloads all of them. Rejected clients return within about a second, so the rate falls and rises equally fast.
func UpdateRate(rate, stressedFraction, seconds float64) float64 {
	seconds = math.Min(seconds, 1)
	if stressedFraction = math.Min(stressedFraction, 1); stressedFraction > tolerableStress {
		rate *= 1 - math.Min(2*(stressedFraction-tolerableStress)*seconds, maxDecrease)
	} else {
		rate *= 1 + 4*(tolerableStress-stressedFraction)*seconds
	}
	return math.Min(math.Max(rate, minRate), 1)
}

// resetStress is the stress that one connection reset counts as, in connections times seconds.
const resetStress = 6

// ResetStress returns the stress, in connections times seconds, that a connection reset indicates: its client is away
// for a second or two, and the other connections are served late until the endpoint has less load. It is 0 for an
// endpoint that reported its message latency within three windows, because that report already counts as stress.
func ResetStress(now, latencyReportedAt, overloadWindow time.Duration) float64 {
	if latencyReportedAt > 0 && now-latencyReportedAt <= 3*overloadWindow { // 0: never reported
		return 0
	}
	return resetStress
}

// ResetMigrationFraction is the fraction of a node's load on an endpoint that is migrated after a connection reset. At
// 1 all connections would move, more than the next endpoints can take, and those would reset connections in turn.
const ResetMigrationFraction = 0.6
