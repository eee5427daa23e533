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

// update brings the table up to a list, by ID, and tells whether that changed it. The owner of a slot is the endpoint
// that wins its rendezvous, so the owners follow from the list alone: a joining endpoint takes slots from all others evenly
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
	count := slotCountFor(len(ready))
	t.sizePerSlot = max(totalSize/float64(max(count, 1)), epsilon)
	t.updateExpectedOwnerCount()
	t.recordSlotCount(count)
	return true
}

// slotCountFor returns the number of slots of a table with endpointCount endpoints.
func slotCountFor(endpointCount int) int {
	if endpointCount == 0 {
		return 0
	}
	count := minSlots
	for count < minSlotsPerEndpoint*endpointCount {
		count *= 2
	}
	return count
}

// rendezvousOwner returns the index of the member that owns a slot, by weighted rendezvous hashing (Schindelhauer, Schomaker
// 2005): each member has an exponentially distributed draw whose rate is its size, and the least draw wins.
func rendezvousOwner(slot int, members []weightedMember) int {
	owner, leastDraw := 0, math.Inf(1)
	slotHash := hashing.Mix64(uint64(slot) + 1)
	for i := range members {
		uniform := members[i].salt.Uniform(slotHash)
		size := members[i].size
		if uniform/size >= leastDraw {
			continue // the draw is no less than that: most are skipped without a logarithm
		}
		if draw := -math.Log1p(-uniform) / size; draw < leastDraw {
			owner, leastDraw = i, draw
		}
	}
	return owner
}
