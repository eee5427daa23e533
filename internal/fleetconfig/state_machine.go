package fleetconfig

import (
	"fmt"
	"slices"

	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/federation"
)

// Limits of the replicated state, so that no client can make it grow without bound.
const (
	maxVersions       = 64        // kept to roll back to
	maxVersionBytes   = 256 << 20 // all kept bodies together
	maxOutcomes       = 1024      // answers kept for repeated proposals
	maxHistoryEntries = 512
	maxMembers        = 1 << 16
	maxRejections     = 16 // recorded with a withdrawn version
	maxLargestRoutes  = 16 // recorded with a rejection
	maxNameBytes      = 256
	maxTextBytes      = 4 << 10
)

// MaxNodeNameBytes is the maximum length of a node's name, in bytes.
const MaxNodeNameBytes = 255

// Values of HistoryEntry.Step. They are stored and sent.
const (
	stepProposed  = "proposed"
	stepActive    = "active"
	stepWithdrawn = "withdrawn"
)

// ReplicatedState is the state that all control-plane replicas share. Each replica calls Apply with the committed commands
// in log order; the same commands yield the same state and the same answers, byte for byte. StateMachine implements
// ReplicatedState.
type ReplicatedState interface {
	Apply(index uint64, c Command) Answer
	Active() (Version, bool)   // false before the first version
	Proposed() (Version, bool) // false if no version waits to become active
	Version(number uint64) (Version, bool)
	Members() []Member       // sorted by node, then incarnation; callers must not modify it
	History() []HistoryEntry // of versions, oldest first, bounded
	// EndpointList returns the replicated endpoint list. Only commands change it; Restore replaces it.
	EndpointList() *endpointlist.State
	Federation() federation.ReplicatedState // of the meshes; only Apply changes it
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// HistoryEntry is a step in a version's lifecycle.
type HistoryEntry struct {
	Index  uint64 `json:"index"` // of the command
	Number uint64 `json:"number"`
	Step   string `json:"step"` // "proposed", "active" or "withdrawn"
	Reason string `json:"why,omitempty"`
	// Rejections contains, by node, why nodes could not load the version, if it was withdrawn because of that.
	Rejections map[string]Rejection `json:"refusals,omitempty"`
}

// IsProposal reports whether the version was proposed in this step.
func (e HistoryEntry) IsProposal() bool { return e.Step == stepProposed }

// IsWithdrawal reports whether the version was withdrawn in this step.
func (e HistoryEntry) IsWithdrawal() bool { return e.Step == stepWithdrawn }

// StateMachine implements ReplicatedState. Use NewStateMachine to create one; the zero value is not usable.
type StateMachine struct {
	lastIndex  uint64 // of the latest command
	lastNumber uint64 // the latest version number assigned
	active     uint64 // version number; 0: none
	proposed   uint64 // version number; 0: none
	versions   []Version
	members    []Member // copied on write, since Members returns it
	history    []HistoryEntry
	outcomes   []proposalOutcome // oldest first

	endpoints  *endpointlist.State
	federation *federation.State // never replaced, since Federation returns it
}

var _ ReplicatedState = (*StateMachine)(nil)

// NewStateMachine returns the state of a fleet that has no version yet.
func NewStateMachine() *StateMachine {
	return &StateMachine{endpoints: endpointlist.NewState(), federation: federation.NewState()}
}

// Apply applies a command. It rejects an index that is not above the latest one with OldCommand. The texts of its errors
// are stored with answers and sent to clients, so they cannot change.
func (s *StateMachine) Apply(index uint64, c Command) Answer {
	if index <= s.lastIndex {
		return Answer{Err: OldCommand.New(fmt.Sprintf("command %d", index), "%d is applied already", s.lastIndex)}
	}
	s.lastIndex = index
	if fields := c.fieldsSet(); fields != 1 {
		return Answer{Err: BadCommand.New(fmt.Sprintf("command %d", index), "it has %d members, not one", fields)}
	}
	switch {
	case c.EndpointChange != nil:
		return s.applyEndpointChange(*c.EndpointChange)
	case c.Propose != nil:
		return s.propose(*c.Propose)
	case c.Activate != nil:
		return s.activate(*c.Activate)
	case c.Withdraw != nil:
		return s.withdraw(*c.Withdraw)
	case c.AddMember != nil:
		return s.addMember(*c.AddMember)
	case c.MeshChange != nil:
		return s.applyMeshChange(*c.MeshChange)
	}
	return s.removeMember(*c.RemoveMember)
}

// fieldsSet returns the number of changes that the command contains.
func (c Command) fieldsSet() int {
	count := 0
	for _, set := range []bool{
		c.EndpointChange != nil,
		c.Propose != nil,
		c.Activate != nil,
		c.Withdraw != nil,
		c.AddMember != nil,
		c.RemoveMember != nil,
		c.MeshChange != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// History returns the steps of versions, oldest first.
func (s *StateMachine) History() []HistoryEntry { return slices.Clone(s.history) }

// record adds an entry to the history, at the index of the command being applied.
func (s *StateMachine) record(entry HistoryEntry) {
	entry.Index = s.lastIndex
	s.history = lastN(append(slices.Clip(s.history), entry), maxHistoryEntries)
}

// lastN returns the last n items of a list. It copies them if it drops earlier ones.
func lastN[T any](list []T, n int) []T {
	if len(list) > n {
		return slices.Clone(list[len(list)-n:])
	}
	return list
}
