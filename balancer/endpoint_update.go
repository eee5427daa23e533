package balancer

import (
	"math"
	"time"
)

// Endpoint updates from service discovery.

// applyEndpointUpdate applies an endpoint list, or schedules a retry if the list could not be fetched.
func (b *Balancer) applyEndpointUpdate(update EndpointUpdate) {
	if update.Kind == ListFailed {
		b.scheduleWatchRetry()
		return
	}
	if update.Kind != CachedList {
		b.watchFailures = 0
	}
	if len(b.endpoints) == 0 {
		b.endpoints = make(map[string]*endpointState, len(update.Entries)) // allocated once, at the final size
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

// removeUnlisted removes the endpoints that are missing from the current update, which is a complete list.
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
	// The first size is kept while the endpoint owns slots. A size that changes from list to list must not move keys.
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

// startWithFirstList builds the slot tables and starts the periodic work.
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
		// All nodes may start at once. A random delay spreads their calls, because a registry of fixed size answers them
		// one after another.
		spread := min(b.settings.Rules.DiscoveryInterval/4, maxFirstWatchDelay)
		b.setTimer(watchTimer, time.Duration(b.random.Float64()*float64(spread)))
	}
}

// maxFirstWatchDelay makes a node subscribe soon after its start, however long DiscoveryInterval is.
const maxFirstWatchDelay = 2500 * time.Millisecond

// maxWatchDoublings limits the backoff of watch retries to four times the first pause.
const maxWatchDoublings = 2

// scheduleWatchRetry schedules a new subscription with exponential backoff and jitter, always within DiscoveryInterval.
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
