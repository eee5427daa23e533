package balancer

import (
	"math"
	"slices"

	"example.org/micafront/balancer/hashing"
)

// This file is the hash table: plastic hashing (Natrajan 2020) over slots, the paper's virtual hosts.

// An endpoint has minSlotsPerEndpoint slots at least, in the mean. There are minSlots in all, more beyond 128 endpoints:
// their number hardly ever changes, so that the history, which a node that starts amid a change can't know, hardly ever
// tells nodes apart.
const (
	minSlotsPerEndpoint = 16
	minSlots            = 2048
)

// update brings the table up to a list, by ID, and tells whether that changed it. A slot belongs to the endpoint with the
// strongest claim on it, so the owners follow from the list alone: a joining endpoint takes slots from all others evenly
// and keeps them; a leaving one's slots go to all others evenly; and nodes with the same list agree, whatever came before.
// The list must not be changed afterwards.
func (t *slotTable) update(ready []*endpointState) bool {
	if slices.Equal(t.members, ready) {
		return false
	}
	t.setMembers(ready)
	totalSize := 0.0
	for _, endpoint := range ready {
		totalSize += endpoint.size
	}
	count := slotCount(len(ready))
	t.slotSize = max(totalSize/float64(max(count, 1)), epsilon)
	t.countOwners()
	t.recordCount(count)
	return true
}

// slotCount is the number of slots for so many endpoints.
func slotCount(endpoints int) int {
	if endpoints == 0 {
		return 0
	}
	count := minSlots
	for count < minSlotsPerEndpoint*endpoints {
		count *= 2
	}
	return count
}

// strongestClaim returns the index of the strongest claim on a slot, by weighted rendezvous hashing (Schindelhauer,
// Schomaker 2005): an exponential draw by size, the least of which wins.
func strongestClaim(slot int, claims []claim) int {
	strongest, least := 0, math.Inf(1)
	slotHash := hashing.Mix64(uint64(slot) + 1)
	for i := range claims {
		uniform := claims[i].salt.Uniform(slotHash)
		size := claims[i].size
		if uniform/size >= least {
			continue // the draw is no less than that: most are skipped without a logarithm
		}
		if draw := -math.Log1p(-uniform) / size; draw < least {
			strongest, least = i, draw
		}
	}
	return strongest
}
