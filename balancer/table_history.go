package balancer

import (
	"maps"
	"slices"
	"time"
)

// This file keeps the tables' history: when they follow the endpoint list, and what is retained of their earlier forms.

// epochLength is the grid, common to all nodes, on which tables change: within OverloadWindow, in which misplaced work
// does harm, yet long enough for most updates to reach all nodes in the same epoch.
func (b *Balancer) epochLength() time.Duration { return b.settings.Rules.OverloadWindow }

func (b *Balancer) currentEpoch() int64 { return int64(b.now / b.epochLength()) }

func (b *Balancer) nextEpochAt() Instant { return Instant(b.currentEpoch()+1) * b.epochLength() }

// advanceEpoch brings the tables up to the current epoch with the list as it was at the boundary.
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
	// A quiet period is as long as an endpoint warms up: a reset in the middle of growth would move keys twice.
	quiet := time.Duration(epoch-b.lastChangeEpoch) * b.epochLength()
	if !b.historyReset && quiet >= b.settings.Rules.WarmUp {
		b.resetTableHistory(ready)
	}
	b.recomputeCapacity(ready)
}

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

func (b *Balancer) resetTableHistory(ready []*endpointState) {
	b.historyReset = true
	b.baselineLocalShare = 0
	b.retainPreviousTables()
	b.fleetTable.resetHistory(ready)
	b.forEachZoneTable(ready, (*slotTable).resetHistory)
	b.pruneRemoved()
}

// retainPreviousTables keeps the tables as they are before the first of several changes.
func (b *Balancer) retainPreviousTables() {
	if b.fleetTable.previous != nil && b.now-b.previousTablesAt < b.settings.Rules.WarmUp {
		return
	}
	b.previousTablesAt = b.now
	for _, table := range append(slices.Collect(maps.Values(b.zoneTables)), &b.fleetTable) {
		table.previous = table.clone()
	}
}

// forEachZoneTable passes each zone's table its ready endpoints: none where there is one zone only.
func (b *Balancer) forEachZoneTable(ready []*endpointState, visit func(*slotTable, []*endpointState)) {
	if b.settings.Zone == "" || b.settings.LoadReports { // with load reports all zones are used alike
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

// plasticSlot is the paper's algorithm: follow the history of counts and move a key only when growth puts it on a new
// slot or shrinkage removes its own.
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

// appendSlotCount appends a count in place of all entries after the first, as the paper suggests. A key that did not move
// keeps its old count, and each further entry would draw it afresh against that: old endpoints would lose nearly all
// keys as a fleet grows in steps. With the first and the last count alone shares are even.
func appendSlotCount(counts []int, count int) []int {
	base := counts[:1:1]
	if count == base[0] {
		return base
	}
	return append(base, count)
}
