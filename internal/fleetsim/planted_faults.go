package fleetsim

import (
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

// plantedFault is a fault that the explorer must detect. The hooks put it between the parts, so that these stay as they are.
type plantedFault struct {
	name  string // in the explore command's -plant
	hooks Hooks
}

var plantedFaults = []plantedFault{
	{"lease-not-checked", Hooks{WrapClient: func(client fleetconfig.Leaseholder) fleetconfig.Leaseholder {
		return unleasedClient{client}
	}}},
	{"lease-from-answer", Hooks{LeaseFromAnswerTime: true}},
	{"prepare-skipped", Hooks{SkipMemoryCheck: true}},
	{"wrong-precedence", Hooks{WrapMerger: func(merger catalog.Merger) catalog.Merger { return ownerIgnoringMerger{merger} }}},
	{"first-come", Hooks{WrapMerger: func(merger catalog.Merger) catalog.Merger { return firstMeshMerger{merger} }}},
	{"estimate-halved", Hooks{AdjustEstimate: func(required uint64) uint64 { return required / 2 }}},
	{"silence-ignored", Hooks{
		WrapLeases: func(leases fleetconfig.LeaseService, state fleetconfig.ReplicatedState) fleetconfig.LeaseService {
			return &impatientLeases{LeaseService: leases, state: state}
		},
	}},
	{"grant-unconfirmed", Hooks{GrantUnconfirmed: true}},
	{"forgetful-disk", Hooks{LoseLastWrites: true}},
	{"hearing-forgotten", Hooks{WrapPublishers: func(publishers consensus.PublisherTracker) consensus.PublisherTracker {
		return forgetfulPublishers{publishers}
	}}},
}

// PlantedFaultHooks returns the hooks of a planted fault; false: there is none of that name.
func PlantedFaultHooks(name string) (Hooks, bool) {
	i := slices.IndexFunc(plantedFaults, func(f plantedFault) bool { return f.name == name })
	if i < 0 {
		return Hooks{}, false
	}
	return plantedFaults[i].hooks, true
}

// PlantedFaultNames are the names of the planted faults.
func PlantedFaultNames() []string {
	var names []string
	for _, fault := range plantedFaults {
		names = append(names, fault.name)
	}
	return names
}

// unleasedClient allows everything once it has a version.
type unleasedClient struct{ fleetconfig.Leaseholder }

// Authorize implements fleetconfig.Leaseholder.
func (c unleasedClient) Authorize(now time.Duration, conflicts func() bool) fleetconfig.Authorization {
	if _, ok := c.ActiveVersion(); ok {
		return fleetconfig.Authorization{Allowed: true}
	}
	return c.Leaseholder.Authorize(now, conflicts)
}

// impatientLeases activates a version once the nodes that renewed within patience have prepared it.
type impatientLeases struct {
	fleetconfig.LeaseService
	state    fleetconfig.ReplicatedState
	renewals map[string]receivedRenewal // the latest one by node; nil before it leads
}

// patience is below any MemberTimeout, for which a leader has to wait.
const patience = time.Second

// receivedRenewal is a renewal and when it was received, on the replica's clock.
type receivedRenewal struct {
	at time.Duration
	fleetconfig.Renewal
}

// BecomeLeader implements fleetconfig.LeaseService.
func (l *impatientLeases) BecomeLeader(now time.Duration, term uint64) {
	l.renewals = map[string]receivedRenewal{}
	l.LeaseService.BecomeLeader(now, term)
}

// HandleRenewal implements fleetconfig.LeaseService.
func (l *impatientLeases) HandleRenewal(now time.Duration, r fleetconfig.Renewal) []fleetconfig.Command {
	if l.renewals != nil {
		l.renewals[r.Node] = receivedRenewal{now, r}
	}
	return l.LeaseService.HandleRenewal(now, r)
}

// DueCommands implements fleetconfig.LeaseService.
func (l *impatientLeases) DueCommands(now time.Duration) []fleetconfig.Command {
	due := l.LeaseService.DueCommands(now)
	proposed, hasProposed := l.state.Proposed()
	ready := 0
	for _, renewal := range l.renewals {
		switch {
		case now-renewal.at > patience:
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

// forgetfulPublishers takes a mesh that has not published since the election for silent during all of the mesh timeout before it.
type forgetfulPublishers struct{ consensus.PublisherTracker }

// BecomeLeader implements federation.LeaderTracker.
func (p forgetfulPublishers) BecomeLeader(now time.Duration) {
	p.PublisherTracker.BecomeLeader(now - meshTimeout)
	const step = meshTimeout / 8 // short enough that the tracker does not take the replica for paused meanwhile
	for ago := meshTimeout - step; ago > 0; ago -= step {
		p.DueChanges(now - ago)
	}
}

// ownerIgnoringMerger merges without the previous owners, so that precedence decides on each name anew.
type ownerIgnoringMerger struct{ catalog.Merger }

// Merge implements catalog.Merger.
func (m ownerIgnoringMerger) Merge(previous *catalog.State, in catalog.Inputs, at time.Duration) (*catalog.State, []catalog.Finding) {
	state, findings := m.Merger.Merge(nil, in, at)
	if previous != nil {
		state.Number = previous.Number + 1
	}
	return state, findings
}

// firstMeshMerger gives precedence to the mesh that comes first among the inputs.
type firstMeshMerger struct{ catalog.Merger }

// Merge implements catalog.Merger.
func (m firstMeshMerger) Merge(previous *catalog.State, in catalog.Inputs, at time.Duration) (*catalog.State, []catalog.Finding) {
	in.Meshes = slices.Clone(in.Meshes)
	for i := range in.Meshes {
		in.Meshes[i].Precedence = len(in.Meshes) - i
	}
	return m.Merger.Merge(previous, in, at)
}
