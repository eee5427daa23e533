package fleetsim

import (
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

// Hooks introduces planted faults into the simulated programs. The zero value introduces none.
type Hooks struct {
	WrapClient     func(fleetconfig.Leaseholder) fleetconfig.Leaseholder       // wraps each proxy's lease client
	WrapLeases     WrapLeases                                                  // wraps each replica's lease service
	WrapMerger     func(catalog.Merger) catalog.Merger                         // wraps the merger of all processes
	WrapPublishers func(consensus.PublisherTracker) consensus.PublisherTracker // wraps each replica's publisher tracker
	// AdjustEstimate changes the estimate of the bytes that a proxy requires to switch versions.
	AdjustEstimate func(required uint64) uint64

	GrantUnconfirmed    bool // a replica that believes it leads grants leases without the confirmation of a quorum
	SkipMemoryCheck     bool // a proxy accepts versions that exceed its memory limit
	LeaseFromAnswerTime bool // a lease starts when its answer arrives, not when its renewal was sent
	LoseLastWrites      bool // a replica's disk loses the latest writes in a crash
}

// WrapLeases wraps the lease service of a replica with the given replicated state.
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
