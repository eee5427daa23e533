package balancer

import (
	"math"
	"slices"

	"example.org/micafront/balancer/hashing"
)

// slot_assignment.go assigns the slots of a table to endpoints, and table_history.go decides when a table changes.

// slotTable maps key hashes to endpoints. The zero value is empty.
//
// A slot's owner depends on the members alone, so owner computes it when the slot is first looked up. To compute all owners
// takes time proportional to slots times members, which grows with the square of the endpoint list.
type slotTable struct {
	slotCountHistory   []int                  // numbers of slots over time, the current one last
	members            []*endpointState       // endpoints that may own slots, sorted by ID; never modified in place
	weightedMembers    []weightedMember       // in the order of members; nil until a slot is looked up
	cachedOwners       map[int]*endpointState // by slot, for slots that have been looked up
	sizePerSlot        float64                // endpoint size per slot
	expectedOwnerCount int                    // expected number of endpoints that own any slot
	previous           *slotTable             // the table before its latest changes; nil if not retained
}

// weightedMember is an endpoint in weighted rendezvous hashing.
type weightedMember struct {
	salt hashing.Salt // of the endpoint's hash
	size float64      // the weight
}

// slotCount returns the current number of slots.
func (t *slotTable) slotCount() int {
	if len(t.slotCountHistory) == 0 {
		return 0
	}
	return t.slotCountHistory[len(t.slotCountHistory)-1]
}

// isEmpty reports whether the table has no slots.
func (t *slotTable) isEmpty() bool { return len(t.slotCountHistory) == 0 }

// lookup returns the endpoint of a key, or nil if the table is empty.
func (t *slotTable) lookup(keyHash uint64) *endpointState {
	if t.isEmpty() {
		return nil
	}
	return t.owner(plasticSlot(keyHash, t.slotCountHistory))
}

// owner returns the owner of a slot. The first lookup of a slot takes time proportional to the number of members.
func (t *slotTable) owner(slot int) *endpointState {
	if owner := t.cachedOwners[slot]; owner != nil {
		return owner
	}
	if t.weightedMembers == nil {
		t.weightedMembers = make([]weightedMember, len(t.members))
		for i, member := range t.members {
			t.weightedMembers[i] = weightedMember{salt: hashing.NewSalt(member.hash), size: member.size}
		}
	}
	owner := t.members[rendezvousOwner(slot, t.weightedMembers)]
	t.cacheOwner(slot, owner)
	return owner
}

// cacheOwner stores the owner of a slot for later lookups.
func (t *slotTable) cacheOwner(slot int, owner *endpointState) {
	if t.cachedOwners == nil {
		t.cachedOwners = map[int]*endpointState{}
	}
	t.cachedOwners[slot] = owner
}

// totalSize returns the total size of the members.
func (t *slotTable) totalSize() float64 { return t.sizePerSlot * float64(t.slotCount()) }

// setMembers replaces the members and discards the cached owners.
func (t *slotTable) setMembers(members []*endpointState) {
	t.members = members
	t.weightedMembers = nil
	t.cachedOwners = nil
}

// updateExpectedOwnerCount computes the expected number of owners. An endpoint's number of slots follows a Poisson
// distribution whose mean is its size divided by sizePerSlot, so an endpoint with a small mean may own no slot.
func (t *slotTable) updateExpectedOwnerCount() {
	expected := 0.0
	for _, member := range t.members {
		expected += 1 - math.Exp(-member.size/t.sizePerSlot)
	}
	t.expectedOwnerCount = int(math.Round(expected))
}

// resetHistory updates the table and discards its history.
func (t *slotTable) resetHistory(ready []*endpointState) {
	t.update(ready)
	if count := t.slotCount(); count > 0 {
		t.slotCountHistory = []int{count}
	}
}

// clone returns a copy of the table without its previous form. The table and its copy share members and cached owners until
// setMembers replaces those of either.
func (t *slotTable) clone() *slotTable {
	copied := *t
	copied.slotCountHistory = slices.Clone(t.slotCountHistory)
	copied.previous = nil
	return &copied
}

// recordSlotCount appends a number of slots to the history; 0 clears it.
func (t *slotTable) recordSlotCount(count int) {
	switch {
	case count == 0:
		t.slotCountHistory = nil
	case len(t.slotCountHistory) == 0:
		t.slotCountHistory = []int{count}
	default:
		t.slotCountHistory = appendSlotCount(t.slotCountHistory, count)
	}
}
