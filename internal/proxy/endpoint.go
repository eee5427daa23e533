package proxy

import (
	"cmp"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
)

// endpoint is an upstream endpoint: its entry in the endpoint list, and what the proxy has learned from its
// connections.
type endpoint struct {
	id    string
	addr  string
	zone  string
	entry discovery.Entry

	announcedStartMs int64 // start time as service discovery announced it; entry has it on the loop's clock
	lastListedIn     listSequence
	drainingSince    time.Duration  // when it was first known to drain or to be removed; 0 if it accepts requests
	loadQuery        *loadQueryConn // nil if none is open

	latency endpointLatency
}

// compareEndpoints orders endpoints by ID.
func compareEndpoints(a, b *endpoint) int { return cmp.Compare(a.id, b.id) }

// endpointLatency is what the proxy knows about an endpoint's latency.
type endpointLatency struct {
	samples        []time.Duration // latencies of messages since the last report
	reportedSlow   bool            // whether the last report found the endpoint slow
	selfReportedAt time.Duration   // when the endpoint last reported its own latency
}

// markDraining records that the endpoint accepts no new requests.
func (e *endpoint) markDraining(now time.Duration) {
	if e.drainingSince == 0 {
		e.drainingSince = now
	}
}

// endpointTable maps IDs to the endpoints of the current list. A connection keeps its endpoint after the endpoint is
// removed.
type endpointTable map[string]*endpoint

// listSequence numbers the endpoint lists in the order in which they are applied.
type listSequence int64

// apply updates the table to a full list, or by the changes that a delta contains.
func (t endpointTable) apply(list *discovery.List, announced announcedStarts, kind balancer.ListKind, now time.Duration, sequence listSequence) {
	for i := range list.Instances {
		t.applyEntry(&list.Instances[i], announced[i], now, sequence)
	}
	if kind != balancer.DeltaList {
		t.removeUnlisted(now, sequence)
	}
}

// removeUnlisted removes the endpoints that the full list with this sequence number does not contain.
func (t endpointTable) removeUnlisted(now time.Duration, sequence listSequence) {
	for id, e := range t {
		if e.lastListedIn != sequence {
			e.markDraining(now)
			delete(t, id)
		}
	}
}

func (t endpointTable) applyEntry(entry *discovery.Entry, announcedStartMs int64, now time.Duration, sequence listSequence) {
	e := t[entry.ID]
	if e == nil {
		e = &endpoint{id: entry.ID}
		t[entry.ID] = e
	}
	if entry.HostPort != "" {
		e.addr = entry.HostPort
	}
	e.zone = entry.Zone
	e.entry = *entry
	e.announcedStartMs = announcedStartMs
	e.lastListedIn = sequence
	e.entry.HostPort = e.addr
	if entry.Lifecycle == discovery.InService {
		e.drainingSince = 0
	} else {
		e.markDraining(now)
	}
	if entry.Lifecycle == discovery.Terminated {
		delete(t, entry.ID)
	}
}
