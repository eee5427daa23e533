package fleetconfig

import (
	"encoding/json"

	"example.org/micafront/internal/federation"
)

// Federation returns the state of the meshes. Only Apply changes it.
func (s *StateMachine) Federation() federation.ReplicatedState { return s.federation }

// applyMeshChange applies a change of the federation. Its errors are of the kinds of the federation and catalog packages.
func (s *StateMachine) applyMeshChange(change federation.Change) Answer {
	return Answer{Err: s.federation.Apply(change)}
}

// federationSnapshot returns the federation's part of a snapshot. It returns nil before the first mesh, as in releases
// without meshes.
func (s *StateMachine) federationSnapshot() (json.RawMessage, error) {
	if s.federation.AgreedTime() == 0 && s.federation.Terms().Base == 0 {
		return nil, nil
	}
	return s.federation.Snapshot()
}

// restoredFederation decodes the federation's part of a snapshot. The result keeps the rules of the current state.
func (s *StateMachine) restoredFederation(snapshot json.RawMessage) (*federation.State, error) {
	restored := federation.NewState()
	restored.Merger = s.federation.Merger
	if len(snapshot) == 0 {
		return restored, nil
	}
	return restored, restored.Restore(snapshot)
}
