package balancer

import (
	"math"
	"time"
)

// This file follows service discovery.

// applyEndpointUpdate applies a list, or the failure to get one.
func (b *Balancer) applyEndpointUpdate(update EndpointUpdate) {
	if update.Kind == ListFailed {
		b.scheduleWatchRetry()
		return
	}
	if update.Kind != CachedList {
		b.watchFailures = 0
	}
	if len(b.endpoints) == 0 {
		b.endpoints = make(map[string]*endpointState, len(update.Entries)) // of this size at once
	}
	b.updateCount++
	for i := range update.Entries {
		b.applyEntry(&update.Entries[i])
	}
	if update.Kind == FullList || update.Kind == CachedList {
		b.removeUnlisted()
	}
	if !b.started {
		b.startWithFirstList()
	}
}

// removeUnlisted removes the endpoints that the present update, a whole list, does not name.
func (b *Balancer) removeUnlisted() {
	for _, endpoint := range b.endpoints {
		if endpoint.lastListedUpdate != b.updateCount && endpoint.phase != Removed {
			b.setPhase(endpoint, Removed)
		}
	}
}

func (b *Balancer) applyEntry(entry *Endpoint) {
	endpoint := b.endpoints[entry.ID]
	if endpoint == nil {
		endpoint = b.newEndpoint(entry.ID)
	}
	endpoint.lastListedUpdate = b.updateCount
	if endpoint.phase != entry.Phase {
		b.setPhase(endpoint, entry.Phase)
		b.startDrain(endpoint)
	}
	// The first size is kept while the endpoint owns slots: one that changes from list to list must not move keys.
	if endpoint.size == 0 {
		endpoint.size = 1
		if entry.Size > 0 && !math.IsInf(entry.Size, 0) {
			endpoint.size = entry.Size
		}
	}
	endpoint.zone = entry.Zone
	endpoint.cell = entry.Cell
	if entry.StartedAt > endpoint.startedAt {
		endpoint.startedAt = entry.StartedAt
		endpoint.resetProcessState()
		b.loadReports.Remove(endpoint.id)
		b.refillSlowStart(endpoint)
	}
}

// startWithFirstList builds the tables and starts the periodic work.
func (b *Balancer) startWithFirstList() {
	b.started = true
	b.startedAt = b.now
	b.listDirty = false
	b.historyReset = true
	b.lastEpoch = b.currentEpoch()
	b.lastChangeEpoch = b.lastEpoch
	ready := b.readyEndpoints()
	b.fleetTable.resetHistory(ready)
	b.forEachZoneTable(ready, (*slotTable).resetHistory)
	b.recomputeCapacity(ready)
	b.scheduleLoadReports()
	if b.settings.Subscribe {
		// All nodes may start at once: the delay spreads the calls, which a registry of fixed size answers in turn.
		spread := min(b.settings.Rules.DiscoveryInterval/4, maxFirstWatchDelay)
		b.setTimer(watchTimer, time.Duration(b.random.Float64()*float64(spread)))
	}
}

const maxFirstWatchDelay = 2500 * time.Millisecond

// maxWatchDoublings bounds the backoff of the watch to four times its first pause.
const maxWatchDoublings = 2

// scheduleWatchRetry subscribes again, later each time and with jitter, always within DiscoveryInterval.
func (b *Balancer) scheduleWatchRetry() {
	if !b.settings.Subscribe || b.watchRetryPending {
		return
	}
	backoff := float64(int(1) << min(b.watchFailures, maxWatchDoublings))
	pause := float64(b.settings.Rules.DiscoveryInterval) / 8 * backoff
	b.watchFailures++
	b.watchRetryPending = true
	b.setTimer(watchTimer, time.Duration(pause*b.jitter()))
}
