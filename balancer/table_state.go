package balancer

import (
	"fmt"
	"slices"
)

// This file encodes tables for a State or a Snapshot, and decodes them.

// maxEncodedOwners bounds the slots of a table whose owners are encoded: all of them are found for that, which takes slots times
// members. It is that of the largest lists which releases knew that read no other form.
const maxEncodedOwners = 2 * minSlots

// isCompact reports whether a table, or the earlier form that it retains, is encoded by its members.
func (t *slotTable) isCompact() bool {
	return t.slotCount() > maxEncodedOwners || t.previous != nil && t.previous.isCompact()
}

// hasCompactTable reports whether any table is encoded by its members.
func (b *Balancer) hasCompactTable() bool {
	for _, table := range b.zoneTables {
		if table.isCompact() {
			return true
		}
	}
	return b.fleetTable.isCompact() || b.localTable.isCompact()
}

// encodeTable encodes a table and its previous forms. It asks for the indices of the owners in the order of the slots,
// those of the previous form last: a snapshot numbers endpoints as it meets them.
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

// encodeMembers encodes a table and its previous forms by their members.
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

// endpointLookup returns the endpoint of an index in an encoded state, never nil without an error.
type endpointLookup func(index int) (*endpointState, error)

// decode returns the table that was encoded.
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
		return nil, fmt.Errorf("a table's history %v does not end with its %d slots of %d members, or its slot size %v is out of range",
			t.Counts, len(t.Owners), len(t.Members), t.SlotSize)
	}
	table.slotCountHistory = slices.Clone(t.Counts)
	table.sizePerSlot = t.SlotSize
	table.updateExpectedOwnerCount()
	return table, nil
}

// decodeMembers restores the members, or the owners, which are the members then. The owners of a large table are found again
// when they are needed: they follow from the members, and few of them ever are.
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

// countsValid tells whether the history fits a table with slots.
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
