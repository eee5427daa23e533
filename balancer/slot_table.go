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
	counts     []int                  // history of the number of slots, the present one last
	members    []*endpointState       // the endpoints that may own slots, by ID; never changed in place
	claims     []claim                // of the members, in their order; nil until a slot is looked up
	owners     map[int]*endpointState // of the slots that have been looked up
	slotSize   float64                // endpoint size that earns one slot
	ownerCount int                    // endpoints that are to be expected to own slots
	previous   *slotTable             // as it was before its latest changes, if retained
}

// claim is what decides how strong an endpoint's claim on a slot is.
type claim struct {
	salt hashing.Salt
	size float64
}

// slotCount returns the number of slots.
func (t *slotTable) slotCount() int {
	if len(t.counts) == 0 {
		return 0
	}
	return t.counts[len(t.counts)-1]
}

// isEmpty reports whether no key has an endpoint.
func (t *slotTable) isEmpty() bool { return len(t.counts) == 0 }

// lookup returns the endpoint of a key; nil if the table is empty.
func (t *slotTable) lookup(keyHash uint64) *endpointState {
	if t.isEmpty() {
		return nil
	}
	return t.owner(plasticSlot(keyHash, t.counts))
}

// owner returns the owner of a slot. It takes time in proportion to the members where the slot has not been looked up yet.
func (t *slotTable) owner(slot int) *endpointState {
	if owner := t.owners[slot]; owner != nil {
		return owner
	}
	if t.claims == nil {
		t.claims = make([]claim, len(t.members))
		for i, member := range t.members {
			t.claims[i] = claim{salt: hashing.NewSalt(member.hash), size: member.size}
		}
	}
	owner := t.members[strongestClaim(slot, t.claims)]
	t.rememberOwner(slot, owner)
	return owner
}

// rememberOwner keeps what has been found for a slot.
func (t *slotTable) rememberOwner(slot int, owner *endpointState) {
	if t.owners == nil {
		t.owners = map[int]*endpointState{}
	}
	t.owners[slot] = owner
}

// totalSize is the size of all owners together.
func (t *slotTable) totalSize() float64 { return t.slotSize * float64(t.slotCount()) }

// setMembers replaces the members; the owners of slots are found anew.
func (t *slotTable) setMembers(members []*endpointState) {
	t.members = members
	t.claims = nil
	t.owners = nil
}

// countOwners updates the number of owners from the members and the size of a slot: an endpoint earns its size in slots, and
// how many it has is distributed by Poisson, so that one which earns less than a few may have none.
func (t *slotTable) countOwners() {
	expected := 0.0
	for _, member := range t.members {
		expected += 1 - math.Exp(-member.size/t.slotSize)
	}
	t.ownerCount = int(math.Round(expected))
}

// resetHistory updates the table and forgets its history.
func (t *slotTable) resetHistory(ready []*endpointState) {
	t.update(ready)
	if count := t.slotCount(); count > 0 {
		t.counts = []int{count}
	}
}

// clone copies a table without its previous form. Both find the same owners, and share those that have been found, until one of
// them changes.
func (t *slotTable) clone() *slotTable {
	copied := *t
	copied.counts = slices.Clone(t.counts)
	copied.previous = nil
	return &copied
}

// recordCount adds a number of slots to the history.
func (t *slotTable) recordCount(count int) {
	switch {
	case count == 0:
		t.counts = nil
	case len(t.counts) == 0:
		t.counts = []int{count}
	default:
		t.counts = appendCount(t.counts, count)
	}
}
