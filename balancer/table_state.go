package balancer

import (
	"fmt"
	"slices"
)

// Tables are encoded in a State or a Snapshot as a TableState, with the owners of all slots or with their members.

// maxEncodedOwners is the largest number of slots of a table that is encoded with the owners of its slots. Computing them
// takes time proportional to slots times members. The bound equals the number of slots for the largest endpoint lists that
// older releases supported; those releases decode owners only.
const maxEncodedOwners = 2 * minSlots

// isCompact reports whether a table or its previous form is encoded with its members instead of owners.
func (t *slotTable) isCompact() bool {
	return t.slotCount() > maxEncodedOwners || t.previous != nil && t.previous.isCompact()
}

// hasCompactTable reports whether any table is encoded with its members instead of owners.
func (b *Balancer) hasCompactTable() bool {
	for _, table := range b.zoneTables {
		if table.isCompact() {
			return true
		}
	}
	return b.fleetTable.isCompact() || b.localTable.isCompact()
}

// encodeTable encodes a table and its previous forms, with owners unless the table is too large. It calls endpointIndex for
// the owners in the order of their slots and for the previous form last, because a snapshot numbers endpoints in the order
// of the calls.
func encodeTable(table *slotTable, endpointIndex func(*endpointState) int) TableState {
	if table.slotCount() > maxEncodedOwners {
		return encodeMembers(table, endpointIndex)
	}
	encoded := TableState{Counts: slices.Clone(table.slotCountHistory), Owners: []int{}, SlotSize: table.sizePerSlot}
	for slot := range table.slotCount() {
		encoded.Owners = append(encoded.Owners, endpointIndex(table.owner(slot)))
	}
	if table.previous != nil {
		previous := encodeTable(table.previous, endpointIndex)
		encoded.Previous = &previous
	}
	return encoded
}

// encodeMembers encodes a table and its previous forms with their members instead of owners.
func encodeMembers(table *slotTable, endpointIndex func(*endpointState) int) TableState {
	encoded := TableState{Counts: slices.Clone(table.slotCountHistory), Owners: []int{}, SlotSize: table.sizePerSlot}
	if len(table.members) > 0 {
		encoded.Members = make([]int, 0, len(table.members))
	}
	for _, member := range table.members {
		encoded.Members = append(encoded.Members, endpointIndex(member))
	}
	if table.previous != nil {
		previous := encodeMembers(table.previous, endpointIndex)
		encoded.Previous = &previous
	}
	return encoded
}

// endpointLookup returns the endpoint with an index in an encoded state, or an error if the index is invalid.
type endpointLookup func(index int) (*endpointState, error)

// decode returns the table of an encoded state. It fails if an endpoint index, the history or the slot size is invalid.
func (t *TableState) decode(endpointAt endpointLookup) (*slotTable, error) {
	table := &slotTable{}
	if t.Previous != nil {
		previous, err := t.Previous.decode(endpointAt)
		if err != nil {
			return nil, err
		}
		table.previous = previous
	}
	if len(t.Owners)+len(t.Members) == 0 {
		table.sizePerSlot = t.SlotSize
		return table, nil
	}
	if err := table.decodeMembers(t, endpointAt); err != nil {
		return nil, err
	}
	if !t.countsValid() || !withinRange(t.SlotSize) || t.SlotSize <= 0 {
		return nil, fmt.Errorf("invalid table: slot count history %v does not match %d owners and %d members, or slot size %v is out of range",
			t.Counts, len(t.Owners), len(t.Members), t.SlotSize)
	}
	table.slotCountHistory = slices.Clone(t.Counts)
	table.sizePerSlot = t.SlotSize
	table.updateExpectedOwnerCount()
	return table, nil
}

// decodeMembers restores a table's members, from its owners if it was encoded with them. Owners are cached too, except in a
// large table, which computes them from the members when their slots are looked up: few slots of a large table ever are.
func (t *slotTable) decodeMembers(encoded *TableState, endpointAt endpointLookup) error {
	seen := map[*endpointState]bool{}
	for i, index := range slices.Concat(encoded.Members, encoded.Owners) {
		endpoint, err := endpointAt(index)
		if err != nil {
			return err
		}
		if !seen[endpoint] {
			seen[endpoint] = true
			t.members = append(t.members, endpoint)
		}
		if len(encoded.Members) == 0 && len(encoded.Owners) <= maxEncodedOwners {
			t.cacheOwner(i, endpoint)
		}
	}
	slices.SortStableFunc(t.members, compareIDs)
	return nil
}

// countsValid reports whether the history fits the encoded owners or members.
func (t *TableState) countsValid() bool {
	last := len(t.Counts) - 1
	if last < 0 || slices.Min(t.Counts) < 1 {
		return false
	}
	if len(t.Members) > 0 {
		return len(t.Owners) == 0
	}
	return t.Counts[last] == len(t.Owners)
}
