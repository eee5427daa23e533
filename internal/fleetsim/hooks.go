package fleetsim

import (
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

// Hooks plant faults. The zero value plants none.
type Hooks struct {
	WrapClient     func(fleetconfig.Leaseholder) fleetconfig.Leaseholder // of proxies
	WrapLeases     WrapLeases                                            // of replicas
	WrapMerger     func(catalog.Merger) catalog.Merger                   // of all
	WrapPublishers func(consensus.PublisherTracker) consensus.PublisherTracker
	// AdjustEstimate changes the estimate of the bytes that a proxy needs for a switch.
	AdjustEstimate func(required uint64) uint64

	GrantUnconfirmed    bool // a replica grants leases as soon as it takes itself for the leader
	SkipMemoryCheck     bool // a proxy accepts versions above its memory limit
	LeaseFromAnswerTime bool // a lease counts from its answer, not from its renewal
	LoseLastWrites      bool // a replica's disk loses the last writes in a crash
}

// WrapLeases returns the lease service that a replica uses in place of its own one, beside its replicated state.
type WrapLeases func(fleetconfig.LeaseService, fleetconfig.ReplicatedState) fleetconfig.LeaseService

func (h *Hooks) wrapClient(client fleetconfig.Leaseholder) fleetconfig.Leaseholder {
	if h.WrapClient != nil {
		return h.WrapClient(client)
	}
	return client
}

func (h *Hooks) wrapLeases(leases fleetconfig.LeaseService, state fleetconfig.ReplicatedState) fleetconfig.LeaseService {
	if h.WrapLeases != nil {
		return h.WrapLeases(leases, state)
	}
	return leases
}

func (h *Hooks) wrapMerger(merger catalog.Merger) catalog.Merger {
	if h.WrapMerger != nil {
		return h.WrapMerger(merger)
	}
	return merger
}

func (h *Hooks) wrapPublishers(publishers consensus.PublisherTracker) consensus.PublisherTracker {
	if h.WrapPublishers != nil {
		return h.WrapPublishers(publishers)
	}
	return publishers
}

func (h *Hooks) adjustEstimate(required uint64) uint64 {
	if h.AdjustEstimate != nil {
		return h.AdjustEstimate(required)
	}
	return required
}
