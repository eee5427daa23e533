package balancer

import (
	"maps"
	"slices"
	"time"
)

// The tables follow the endpoint list at epoch boundaries and retain their previous forms for some time.

// epochLength returns the interval at which tables change, at the same times on all nodes. In a longer epoch misplaced load
// would do harm. In a shorter one fewer list updates would reach all nodes in the same epoch.
func (b *Balancer) epochLength() time.Duration { return b.settings.Rules.OverloadWindow }

func (b *Balancer) currentEpoch() int64 { return int64(b.now / b.epochLength()) }

func (b *Balancer) nextEpochAt() Instant { return Instant(b.currentEpoch()+1) * b.epochLength() }

// advanceEpoch updates the tables once in each epoch, to the endpoint list as of the epoch's start.
func (b *Balancer) advanceEpoch() {
	epoch := b.currentEpoch()
	if epoch == b.lastEpoch || !b.started {
		return
	}
	b.lastEpoch = epoch
	ready := b.readyEndpoints()
	if b.listDirty {
		b.listDirty = false
		b.lastChangeEpoch = epoch
		b.updateTables(ready)
	}
	// The history is reset once the list has not changed for WarmUp, because a reset amid growth would move keys twice.
	quiet := time.Duration(epoch-b.lastChangeEpoch) * b.epochLength()
	if !b.historyReset && quiet >= b.settings.Rules.WarmUp {
		b.resetTableHistory(ready)
	}
	b.recomputeCapacity(ready)
}

// updateTables updates all tables to a list of ready endpoints.
func (b *Balancer) updateTables(ready []*endpointState) {
	b.retainPreviousTables()
	changed := b.fleetTable.update(ready)
	b.forEachZoneTable(ready, func(table *slotTable, zoneEndpoints []*endpointState) {
		changed = table.update(zoneEndpoints) || changed
	})
	if changed {
		b.historyReset = false
	}
}

// resetTableHistory discards the history of all tables and forgets removed endpoints without connections.
func (b *Balancer) resetTableHistory(ready []*endpointState) {
	b.historyReset = true
	b.baselineLocalShare = 0
	b.retainPreviousTables()
	b.fleetTable.resetHistory(ready)
	b.forEachZoneTable(ready, (*slotTable).resetHistory)
	b.pruneRemoved()
}

// retainPreviousTables stores a copy of each table as its previous form. Further changes within WarmUp keep that copy, so
// that it precedes the first of several changes.
func (b *Balancer) retainPreviousTables() {
	if b.fleetTable.previous != nil && b.now-b.previousTablesAt < b.settings.Rules.WarmUp {
		return
	}
	b.previousTablesAt = b.now
	for _, table := range append(slices.Collect(maps.Values(b.zoneTables)), &b.fleetTable) {
		table.previous = table.clone()
	}
}

// forEachZoneTable calls visit with the table and the ready endpoints of each zone. The list is empty if all ready endpoints
// are in one zone, whose table would duplicate the fleet's.
func (b *Balancer) forEachZoneTable(ready []*endpointState, visit func(*slotTable, []*endpointState)) {
	if b.settings.Zone == "" || b.settings.LoadReports { // placement by load reports uses the fleet's table only
		return
	}
	byZone := map[string][]*endpointState{}
	for _, endpoint := range ready {
		byZone[endpoint.zone] = append(byZone[endpoint.zone], endpoint)
		if b.zoneTables[endpoint.zone] == nil {
			b.zoneTables[endpoint.zone] = &slotTable{}
		}
	}
	if table := b.zoneTables[b.settings.Zone]; table != nil {
		b.localTable = table
	}
	for zone, table := range b.zoneTables {
		if len(byZone[zone]) == len(ready) {
			visit(table, nil)
		} else {
			visit(table, byZone[zone])
		}
	}
}

// plasticSlot returns the slot of a key by plastic hashing (Natrajan 2020). It follows the history of slot counts and moves
// a key only when growth assigns it a new slot or shrinkage removes its slot.
func plasticSlot(keyHash uint64, counts []int) int {
	count := uint64(counts[0])
	slot := keyHash % count
	for _, next := range counts[1:] {
		nextCount := uint64(next)
		nextSlot := keyHash % nextCount
		movesToNewSlot := nextCount > count && nextSlot >= count
		losesSlot := nextCount < count && slot >= nextCount
		if movesToNewSlot || losesSlot {
			count, slot = nextCount, nextSlot
		}
	}
	return int(slot)
}

// appendSlotCount replaces all entries of a history after the first by one count, as the paper suggests. With every count in
// the history, each further count would be another chance for a key to leave an old slot, and the old slots would lose
// nearly all their keys while a fleet grows in steps. With the first and the last count alone, shares stay even.
func appendSlotCount(counts []int, count int) []int {
	base := counts[:1:1]
	if count == base[0] {
		return base
	}
	return append(base, count)
}
