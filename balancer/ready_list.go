package balancer

import (
	"cmp"
	"slices"
)

// This file keeps the list of ready endpoints. It decides nothing.

// readyList are the endpoints that may own slots, by ID. It is brought up to date when it is read: in time that grows with the
// list, plus the sorting of what has become ready since.
type readyList struct {
	endpoints []*endpointState
	changed   []*endpointState // whose phase has changed since, some repeatedly
}

// markChanged records that an endpoint's phase has changed.
func (l *readyList) markChanged(endpoint *endpointState) { l.changed = append(l.changed, endpoint) }

// reset replaces the list by the ready ones among others.
func (l *readyList) reset(endpoints map[string]*endpointState) {
	for _, endpoint := range l.endpoints {
		endpoint.inReadyList = false
	}
	*l = readyList{}
	for _, endpoint := range endpoints {
		l.markChanged(endpoint)
	}
}

// current returns the endpoints. The slice is never changed afterwards: tables keep it.
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

func compareIDs(x, y *endpointState) int { return cmp.Compare(x.id, y.id) }

// mergeByID merges two lists, each in the order of IDs.
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

// readyEndpoints lists the endpoints that may own slots, by ID.
func (b *Balancer) readyEndpoints() []*endpointState { return b.ready.current() }

// setPhase changes an endpoint's phase.
func (b *Balancer) setPhase(endpoint *endpointState, phase Phase) {
	endpoint.phase = phase
	b.listDirty = true
	b.ready.markChanged(endpoint)
}
