package balancer

import (
	"cmp"
	"slices"
)

// readyList holds the ready endpoints, which may own slots, sorted by ID. current applies the changes since its last call. That
// takes time linear in the length of the list, plus the time to sort the endpoints that have become ready.
type readyList struct {
	endpoints []*endpointState
	changed   []*endpointState // phase changed since the last call of current; may hold duplicates
}

// markChanged records that an endpoint's phase has changed.
func (l *readyList) markChanged(endpoint *endpointState) { l.changed = append(l.changed, endpoint) }

// reset replaces the list with the ready ones of the given endpoints.
func (l *readyList) reset(endpoints map[string]*endpointState) {
	for _, endpoint := range l.endpoints {
		endpoint.inReadyList = false
	}
	*l = readyList{}
	for _, endpoint := range endpoints {
		l.markChanged(endpoint)
	}
}

// current returns the ready endpoints, sorted by ID. The slice is never modified afterwards, because tables retain it.
func (l *readyList) current() []*endpointState {
	if len(l.changed) == 0 {
		return l.endpoints
	}
	stayed := make([]*endpointState, 0, len(l.endpoints))
	for _, endpoint := range l.endpoints {
		if endpoint.phase == Ready {
			stayed = append(stayed, endpoint)
		} else {
			endpoint.inReadyList = false
		}
	}
	var joined []*endpointState
	for _, endpoint := range l.changed {
		if endpoint.phase == Ready && !endpoint.inReadyList {
			endpoint.inReadyList = true
			joined = append(joined, endpoint)
		}
	}
	slices.SortFunc(joined, compareIDs)
	l.endpoints = mergeByID(stayed, joined)
	l.changed = nil
	return l.endpoints
}

// compareIDs orders endpoints by ID.
func compareIDs(x, y *endpointState) int { return cmp.Compare(x.id, y.id) }

// mergeByID merges two lists that are sorted by ID.
func mergeByID(x, y []*endpointState) []*endpointState {
	merged := make([]*endpointState, 0, len(x)+len(y))
	for len(x) > 0 && len(y) > 0 {
		if compareIDs(x[0], y[0]) <= 0 {
			merged = append(merged, x[0])
			x = x[1:]
		} else {
			merged = append(merged, y[0])
			y = y[1:]
		}
	}
	merged = append(merged, x...)
	return append(merged, y...)
}

// readyEndpoints returns the endpoints that may own slots, sorted by ID.
func (b *Balancer) readyEndpoints() []*endpointState { return b.ready.current() }

// setPhase sets an endpoint's phase and marks the endpoint list as changed.
func (b *Balancer) setPhase(endpoint *endpointState, phase Phase) {
	endpoint.phase = phase
	b.listDirty = true
	b.ready.markChanged(endpoint)
}
