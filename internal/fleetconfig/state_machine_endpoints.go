package fleetconfig

import "example.org/micafront/internal/endpointlist"

// EndpointList implements ReplicatedState.
func (s *StateMachine) EndpointList() *endpointlist.State { return s.endpoints }

// applyEndpointChange applies a change of the endpoint list. The answer carries the number of the list.
func (s *StateMachine) applyEndpointChange(change endpointlist.Change) Answer {
	err := s.endpoints.Apply(change)
	return Answer{s.endpoints.Number(), err}
}

// addEndpointsTo adds the endpoint list to a snapshot. It adds nothing before the first list, so that releases without
// endpoint lists can read the snapshot.
func (s *StateMachine) addEndpointsTo(snapshot *snapshotJSON) error {
	if s.endpoints.Number() == 0 {
		return nil
	}
	var err error
	snapshot.EndpointList, err = s.endpoints.Snapshot()
	return err
}

func (s *StateMachine) restoreEndpoints(snapshot snapshotJSON) error {
	s.endpoints = endpointlist.NewState()
	if snapshot.EndpointList == nil {
		return nil
	}
	if err := s.endpoints.Restore(snapshot.EndpointList); err != nil {
		return BrokenSnapshot.Wrap("list", err)
	}
	return nil
}
