package balancer

import (
	"math"
	"slices"

	"example.org/micafront/balancer/hashing"
)

// Plastic hashing (Natrajan 2020) maps keys to slots, which the paper calls virtual hosts. Weighted rendezvous hashing assigns
// the slots to endpoints.

// A table has minSlots slots for up to 128 endpoints and more for larger lists, so the number of slots rarely changes. A node
// that starts during a change does not know the history of that number and may place keys differently from other nodes.
const (
	minSlotsPerEndpoint = 16 // mean over all endpoints
	minSlots            = 2048
)

// update replaces the table's members with a list that is sorted by ID, and reports whether the table changed. Rendezvous
// hashing makes the owners depend on the list alone: a joining endpoint takes slots evenly from all others and keeps them,
// the slots of a leaving endpoint are spread evenly over all others, and nodes with the same list agree regardless of the
// lists they had before. The caller must not modify the list afterwards.
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
			continue // this is a lower bound of the draw; it saves most members the logarithm
		}
		if draw := -math.Log1p(-uniform) / size; draw < leastDraw {
			owner, leastDraw = i, draw
		}
	}
	return owner
}
