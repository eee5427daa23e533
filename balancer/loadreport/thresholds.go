package loadreport

import (
	"math"
	"time"
)

// ReportInterval returns the interval at which an endpoint is asked for a report: overloadWindow, the time in which
// overload does harm, while the fleet load is low, and a third of it above that. In the first window after a node's
// start it is a tenth, because nothing is known yet and all clients reconnect at once.
func ReportInterval(sinceStart, overloadWindow time.Duration, fleetLoad float64) time.Duration {
	const lowFleetLoad = 0.45
	switch {
	case sinceStart < overloadWindow:
		return overloadWindow / 10
	case fleetLoad < lowFleetLoad:
		return overloadWindow
	}
	return overloadWindow / 3
}

// LoadBound returns the load up to which a key stays with its first endpoint. Consistent hashing with bounded loads
// (Mirrokni, Thorup, Zadimoghaddam 2016) bounds the load of each server by a constant times the mean; here the constant
// is 1.1. Each group is then on few endpoints, none of which is loaded far above the others. Below the lowest bound, no
// endpoint queues work; above the highest one, messages begin to be late when loads fluctuate.
func LoadBound(meanLoad float64) float64 {
	const factor, lowest, highest = 1.1, 0.3, 0.65
	return math.Min(math.Max(factor*meanLoad, lowest), highest)
}

// ExcessFraction returns the fraction of an endpoint's connections that should be migrated off it at a load. Above its
// capacity, work queues up and no connection is served in time. Loads fluctuate, so the target is three quarters of the
// capacity.
func ExcessFraction(load float64) float64 {
	const capacity, target = 1, 0.75
	if load <= capacity {
		return 0
	}
	return (load - target) / load
}
