package balancer

import (
	"math"
	"slices"

	"example.org/micafront/balancer/hashing"
)

// This file is the hash table of key hashes: a number of slots, each owned by an endpoint. See slot_assignment.go for the
// owners, table_history.go for the history. It decides nothing.

// slotTable maps key hashes to endpoints. The zero value is empty.
//
// A slot's owner follows from the members alone, so it is found when the slot is first looked up: to find all of them takes
// slots times members, which grows with the square of the list.
type slotTable struct {
	slotCountHistory   []int                  // history of the number of slots, the present one last
	members            []*endpointState       // the endpoints that may own slots, by ID; never changed in place
	weightedMembers    []weightedMember       // of the members, in their order; nil until a slot is looked up
	cachedOwners       map[int]*endpointState // of the slots that have been looked up
	sizePerSlot        float64                // endpoint size that earns one slot
	expectedOwnerCount int                    // endpoints that are to be expected to own slots
	previous           *slotTable             // as it was before its latest changes, if retained
}

// weightedMember holds what rendezvousOwner needs of an endpoint.
type weightedMember struct {
	salt hashing.Salt
	size float64
}

// slotCount returns the number of slots.
func (t *slotTable) slotCount() int {
	if len(t.slotCountHistory) == 0 {
		return 0
	}
	return t.slotCountHistory[len(t.slotCountHistory)-1]
}

// isEmpty reports whether no key has an endpoint.
func (t *slotTable) isEmpty() bool { return len(t.slotCountHistory) == 0 }

// lookup returns the endpoint of a key; nil if the table is empty.
func (t *slotTable) lookup(keyHash uint64) *endpointState {
	if t.isEmpty() {
		return nil
	}
	return t.owner(plasticSlot(keyHash, t.slotCountHistory))
}

// owner returns the owner of a slot. It takes time in proportion to the members where the slot has not been looked up yet.
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

// cacheOwner keeps what has been found for a slot.
func (t *slotTable) cacheOwner(slot int, owner *endpointState) {
	if t.cachedOwners == nil {
		t.cachedOwners = map[int]*endpointState{}
	}
	t.cachedOwners[slot] = owner
}

// totalSize is the size of all owners together.
func (t *slotTable) totalSize() float64 { return t.sizePerSlot * float64(t.slotCount()) }

// setMembers replaces the members; the owners of slots are found anew.
func (t *slotTable) setMembers(members []*endpointState) {
	t.members = members
	t.weightedMembers = nil
	t.cachedOwners = nil
}

// updateExpectedOwnerCount estimates the number of owners from the members' sizes. An endpoint's number of slots follows a
// Poisson distribution whose mean is its size in slots, so an endpoint with a mean of only a few slots may own none.
func (t *slotTable) updateExpectedOwnerCount() {
	expected := 0.0
	for _, member := range t.members {
		expected += 1 - math.Exp(-member.size/t.sizePerSlot)
	}
	t.expectedOwnerCount = int(math.Round(expected))
}

// resetHistory updates the table and forgets its history.
func (t *slotTable) resetHistory(ready []*endpointState) {
	t.update(ready)
	if count := t.slotCount(); count > 0 {
		t.slotCountHistory = []int{count}
	}
}

// clone copies a table without its previous form. Both find the same owners, and share those that have been found, until one of
// them changes.
func (t *slotTable) clone() *slotTable {
	copied := *t
	copied.slotCountHistory = slices.Clone(t.slotCountHistory)
	copied.previous = nil
	return &copied
}

// recordSlotCount adds a number of slots to the history.
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
