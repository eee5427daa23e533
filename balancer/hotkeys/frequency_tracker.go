// Package hotkeys estimates the share of each group of clients in a node's traffic. Package balancer uses the estimates to split
// groups that are too heavy for one endpoint. The package has no I/O and no clock. Its sums are exact, so they don't depend on
// the iteration order of a map.
package hotkeys

import "math"

// MaxTotal is the total count, in requests, at which all counts are halved. This bounds the memory of the tracker and lets shares
// follow changes in the traffic.
const MaxTotal = 4096

// FrequencyTracker counts the requests of each group. Observe maintains the fields, which are exported for encoding.
type FrequencyTracker struct {
	Counts       map[uint64]float64 // requests by group hash; whole numbers
	Total        float64            // sum of the counts
	SumOfSquares float64            // sum of the squares of the counts
}

// New returns an empty tracker.
func New() FrequencyTracker { return FrequencyTracker{Counts: map[uint64]float64{}} }

// Observe counts a request of a group.
func (t *FrequencyTracker) Observe(group uint64) {
	count := t.Counts[group]
	t.Counts[group] = count + 1
	t.SumOfSquares += 2*count + 1
	t.Total++
	if t.Total >= MaxTotal {
		t.halve()
	}
}

// halve halves all counts and rounds them down. Sums of whole numbers are exact in any order; sums of fractions would not be.
func (t *FrequencyTracker) halve() {
	t.Total = 0
	t.SumOfSquares = 0
	for group, count := range t.Counts {
		if count < 2 {
			delete(t.Counts, group)
			continue
		}
		t.Counts[group] = math.Floor(count / 2)
	}
	for _, count := range t.Counts {
		t.Total += count
		t.SumOfSquares += count * count
	}
}

// priorRequests is the weight of the mean share in Share, in requests: a group's own count outweighs the mean share once the
// tracker has counted more requests than that. With less weight, nodes that have seen only a dozen requests each split groups by
// chance, and each node a different group, which scatters the clients of these groups. priorPairs is the number of pairs among
// these requests.
const (
	priorRequests = 32.0
	priorPairs    = priorRequests * (priorRequests - 1) / 2
)

// Share estimates the fraction of all traffic that a group has, in [0,1]. With few requests the estimate tends to the mean
// share of a request's group, which is the probability that two requests are from the same group. The estimate of that mean
// tends to 1/endpoints, where endpoints is the number of endpoints that serve the traffic.
func (t *FrequencyTracker) Share(group uint64, endpoints float64) float64 {
	pairs := t.Total * (t.Total - 1) / 2
	pairsOfOneGroup := (t.SumOfSquares - t.Total) / 2
	meanShare := (pairsOfOneGroup + priorPairs/endpoints) / (pairs + priorPairs)
	return (t.Counts[group] + priorRequests*meanShare) / (t.Total + priorRequests)
}
