package fleetsim

import (
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

// plantedFault is a defect that Explore must detect. Its hooks wrap the interfaces of the simulated programs, whose own code
// stays unchanged.
type plantedFault struct {
	name  string // value of the explore command's flag -plant
	hooks Hooks
}

var plantedFaults = []plantedFault{
	{"lease-not-checked", Hooks{WrapClient: func(client fleetconfig.Leaseholder) fleetconfig.Leaseholder {
		return noLeaseCheckClient{client}
	}}},
	{"lease-from-answer", Hooks{LeaseFromAnswerTime: true}},
	{"prepare-skipped", Hooks{SkipMemoryCheck: true}},
	{"wrong-precedence", Hooks{WrapMerger: func(merger catalog.Merger) catalog.Merger { return ownerIgnoringMerger{merger} }}},
	{"first-come", Hooks{WrapMerger: func(merger catalog.Merger) catalog.Merger { return inputOrderMerger{merger} }}},
	{"estimate-halved", Hooks{AdjustEstimate: func(required uint64) uint64 { return required / 2 }}},
	{"silence-ignored", Hooks{
		WrapLeases: func(leases fleetconfig.LeaseService, state fleetconfig.ReplicatedState) fleetconfig.LeaseService {
			return &earlyActivationLeases{LeaseService: leases, state: state}
		},
	}},
	{"grant-unconfirmed", Hooks{GrantUnconfirmed: true}},
	{"forgetful-disk", Hooks{LoseLastWrites: true}},
	{"hearing-forgotten", Hooks{WrapPublishers: func(publishers consensus.PublisherTracker) consensus.PublisherTracker {
		return earlyLossPublishers{publishers}
	}}},
}

// PlantedFaultHooks returns the hooks of the planted fault with the name, and false if there is none.
func PlantedFaultHooks(name string) (Hooks, bool) {
	i := slices.IndexFunc(plantedFaults, func(f plantedFault) bool { return f.name == name })
	if i < 0 {
		return Hooks{}, false
	}
	return plantedFaults[i].hooks, true
}

// PlantedFaultNames returns the names of all planted faults.
func PlantedFaultNames() []string {
	var names []string
	for _, fault := range plantedFaults {
		names = append(names, fault.name)
	}
	return names
}

// noLeaseCheckClient authorizes every connection after its first version, even without a valid lease.
type noLeaseCheckClient struct{ fleetconfig.Leaseholder }

// Authorize implements fleetconfig.Leaseholder.
func (c noLeaseCheckClient) Authorize(now time.Duration, conflicts func() bool) fleetconfig.Authorization {
	if _, ok := c.ActiveVersion(); ok {
		return fleetconfig.Authorization{Allowed: true}
	}
	return c.Leaseholder.Authorize(now, conflicts)
}

// earlyActivationLeases activates a version after all nodes that renewed within renewalWindow have prepared it. It does not wait
// for the other members.
type earlyActivationLeases struct {
	fleetconfig.LeaseService
	state    fleetconfig.ReplicatedState
	renewals map[string]receivedRenewal // latest renewal by node; nil until the replica leads
}

// renewalWindow is shorter than every MemberTimeout, for which a leader must wait.
const renewalWindow = time.Second

// receivedRenewal is a renewal and the time of its receipt on the replica's clock.
type receivedRenewal struct {
	at time.Duration
	fleetconfig.Renewal
}

// BecomeLeader implements fleetconfig.LeaseService.
func (l *earlyActivationLeases) BecomeLeader(now time.Duration, term uint64) {
	l.renewals = map[string]receivedRenewal{}
	l.LeaseService.BecomeLeader(now, term)
}

// HandleRenewal implements fleetconfig.LeaseService.
func (l *earlyActivationLeases) HandleRenewal(now time.Duration, r fleetconfig.Renewal) []fleetconfig.Command {
	if l.renewals != nil {
		l.renewals[r.Node] = receivedRenewal{now, r}
	}
	return l.LeaseService.HandleRenewal(now, r)
}

// DueCommands implements fleetconfig.LeaseService.
func (l *earlyActivationLeases) DueCommands(now time.Duration) []fleetconfig.Command {
	due := l.LeaseService.DueCommands(now)
	proposed, hasProposed := l.state.Proposed()
	ready := 0
	for _, renewal := range l.renewals {
		switch {
		case now-renewal.at > renewalWindow:
		case renewal.PreparedVersion != proposed.Number:
			return due
		default:
			ready++
		}
	}
	if hasProposed && ready > 0 && len(due) == 0 {
		due = []fleetconfig.Command{{Activate: &fleetconfig.Activate{Number: proposed.Number}}}
	}
	return due
}

// earlyLossPublishers backdates an election by the mesh timeout, so a mesh that has not published since the election is marked
// lost too early.
type earlyLossPublishers struct{ consensus.PublisherTracker }

// BecomeLeader implements federation.LeaderTracker.
func (p earlyLossPublishers) BecomeLeader(now time.Duration) {
	p.PublisherTracker.BecomeLeader(now - meshTimeout)
	const step = meshTimeout / 8 // a longer gap between calls makes the tracker assume that the replica was paused
	for ago := meshTimeout - step; ago > 0; ago -= step {
		p.DueChanges(now - ago)
	}
}

// ownerIgnoringMerger ignores the previous owners, so precedence alone decides the owner of each name.
type ownerIgnoringMerger struct{ catalog.Merger }

// Merge implements catalog.Merger.
func (m ownerIgnoringMerger) Merge(previous *catalog.State, in catalog.Inputs, at time.Duration) (*catalog.State, []catalog.Finding) {
	state, findings := m.Merger.Merge(nil, in, at)
	if previous != nil {
		state.Number = previous.Number + 1
	}
	return state, findings
}

// inputOrderMerger replaces the precedence of the meshes with their order in the inputs.
type inputOrderMerger struct{ catalog.Merger }

// Merge implements catalog.Merger.
func (m inputOrderMerger) Merge(previous *catalog.State, in catalog.Inputs, at time.Duration) (*catalog.State, []catalog.Finding) {
	in.Meshes = slices.Clone(in.Meshes)
	for i := range in.Meshes {
		in.Meshes[i].Precedence = len(in.Meshes) - i
	}
	return m.Merger.Merge(previous, in, at)
}
