package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
)

// noPool is the position of a pool that there is not.
const noPool = -1

// EndpointEntry is an endpoint of a list, with the attributes that only pools look at.
type EndpointEntry struct {
	balancer.Endpoint
	MachineType string
}

// Attributes returns what pools look at. A size that is not given is 1.
func (e *EndpointEntry) Attributes() EndpointAttributes {
	size := e.Size
	if size == 0 {
		size = 1
	}
	return EndpointAttributes{ID: e.ID, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, Size: size}
}

// PoolUpdate is the part of a list that concerns one pool.
type PoolUpdate struct {
	Pool    int
	Members balancer.EndpointUpdate
}

// PoolMembership assigns each endpoint to one pool at most at any time. A pool is given as its position in the Set's list, -1 for none.
//
// An endpoint that changes pools during its slow start belongs to neither pool until it has warmed up or restarted: what the
// former pool has sent it still counts in its slow-start budget, and the new pool would begin another budget. That time is
// its reservation.
type PoolMembership struct {
	set       *Set
	poolOrder []int                       // positions in set.Pools by precedence
	warmUp    time.Duration               // of an endpoint after its start
	endpoints map[string]*ownership       // by id
	restored  map[string]balancer.Instant // reservations of an earlier process, by id, for endpoints that are not listed yet
	lists     int                         // that were applied
	notes     []MembershipEvent           // since TakeEvents was last called
}

// MembershipEvent is something that PoolMembership did with an endpoint and that operators should know of.
type MembershipEvent struct {
	Type     MembershipEventType
	Endpoint string // id
	From     string // name of the pool that had the endpoint; "": none, or one that was removed
	To       string // name of the pool that has the endpoint, or will have it; "": none
}

// MembershipEventType is what a MembershipEvent is about: the message of a log line.
type MembershipEventType string

// Types of membership events.
const (
	NotSelected       MembershipEventType = "endpoint belongs to no pool"
	SelectedBySeveral MembershipEventType = "endpoint fits several pools"
	Moved             MembershipEventType = "endpoint moved to another pool"
	Reserved          MembershipEventType = "endpoint moves to another pool once it is warm"
	Released          MembershipEventType = "endpoint is warm and moved to its pool"
)

// ownership is what PoolMembership knows of an endpoint.
type ownership struct {
	entry            EndpointEntry
	pool             int              // or noPool
	servedSinceStart bool             // a pool has had it since its latest start
	reservedUntil    balancer.Instant // 0: it is not reserved
	listedBy         int              // which of the lists named it last
}

// updateBuilder collects the parts of a list by pool.
type updateBuilder []PoolUpdate

// newUpdateBuilder has an empty update for each pool.
func newUpdateBuilder(pools int, template balancer.EndpointUpdate) updateBuilder {
	updates := make(updateBuilder, pools)
	for i := range updates {
		updates[i] = PoolUpdate{Pool: i, Members: template}
	}
	return updates
}

func (u updateBuilder) add(pool int, e balancer.Endpoint) {
	u[pool].Members.Entries = append(u[pool].Members.Entries, e)
}

// NewPoolMembership makes a PoolMembership without endpoints. warmUp is how long an endpoint's slow start takes. The set must not be changed.
func NewPoolMembership(set *Set, warmUp time.Duration) *PoolMembership {
	o := &PoolMembership{endpoints: map[string]*ownership{}}
	o.usePools(set, warmUp)
	return o
}

// usePools sets the pools among which endpoints are divided from now on.
func (o *PoolMembership) usePools(set *Set, warmUp time.Duration) {
	o.set = set
	o.warmUp = warmUp
	o.poolOrder = nil
	for i := range set.Pools {
		o.poolOrder = append(o.poolOrder, i)
	}
	slices.SortFunc(o.poolOrder, func(a, b int) int { return comparePools(&set.Pools[a], &set.Pools[b]) })
}

// SetWarmUp changes how long an endpoint's slow start takes.
func (o *PoolMembership) SetWarmUp(warmUp time.Duration) { o.warmUp = warmUp }

// sorted returns all endpoints by id.
func (o *PoolMembership) sorted() []*ownership {
	return slices.SortedFunc(maps.Values(o.endpoints), compareOwnerships)
}

// reserved returns the endpoints that are reserved, by id.
func (o *PoolMembership) reserved() []*ownership {
	var reserved []*ownership
	for _, e := range o.endpoints {
		if e.reservedUntil > 0 {
			reserved = append(reserved, e)
		}
	}
	slices.SortFunc(reserved, compareOwnerships)
	return reserved
}

func compareOwnerships(a, b *ownership) int { return cmp.Compare(a.entry.ID, b.entry.ID) }

// AnyReserved reports whether any endpoint is reserved.
func (o *PoolMembership) AnyReserved() bool {
	for _, e := range o.endpoints {
		if e.reservedUntil > 0 {
			return true
		}
	}
	return false
}

// choosePool returns the first pool by precedence that selects an endpoint, or noPool, and whether others select it too.
func (o *PoolMembership) choosePool(attributes EndpointAttributes) (pool int, several bool) {
	pool = noPool
	for _, i := range o.poolOrder {
		if !o.set.Pools[i].Select.Matches(attributes) {
			continue
		}
		if pool != noPool {
			return pool, true
		}
		pool = i
	}
	return pool, false
}

// PoolOf returns the pool that has an endpoint now; -1: none, since no pool selects it, it is reserved, or it is not listed.
func (o *PoolMembership) PoolOf(id string) int {
	if e := o.endpoints[id]; e != nil && e.reservedUntil == 0 {
		return e.pool
	}
	return noPool
}

// poolName returns a pool's name; "" for noPool.
func (o *PoolMembership) poolName(pool int) string {
	if pool == noPool {
		return ""
	}
	return o.set.Pools[pool].Name
}

func (o *PoolMembership) note(event MembershipEventType, endpoint string, from, to int) {
	o.notes = append(o.notes, MembershipEvent{Type: event, Endpoint: endpoint, From: o.poolName(from), To: o.poolName(to)})
}

// noteMove notes that an endpoint is another pool's, now or once its reservation has ended.
func (o *PoolMembership) noteMove(e *ownership, from, to int) {
	event := Moved
	if e.reservedUntil > 0 && to != noPool {
		event = Reserved
	}
	o.note(event, e.entry.ID, from, to)
}

// TakeEvents returns what has happened since the last call, and forgets it: changes of owners, and endpoints that no pool or
// several pools select.
func (o *PoolMembership) TakeEvents() []MembershipEvent {
	notes := o.notes
	o.notes = nil
	return notes
}

// ApplyList divides a list, or changes of it (DeltaList), among the pools. Every pool gets an update, even an empty one.
func (o *PoolMembership) ApplyList(now balancer.Instant, kind balancer.ListKind, version int64, entries []EndpointEntry) []PoolUpdate {
	updates := newUpdateBuilder(len(o.set.Pools), balancer.EndpointUpdate{Kind: kind, Version: version})
	isDelta := kind == balancer.DeltaList
	o.lists++
	if len(o.endpoints) == 0 {
		o.endpoints = make(map[string]*ownership, len(entries)) // of this size at once
	}
	if len(updates) == 1 {
		updates[0].Members.Entries = make([]balancer.Endpoint, 0, len(entries))
	}
	for i := range entries {
		o.placeEndpoint(now, entries[i], updates, isDelta)
	}
	if !isDelta {
		maps.DeleteFunc(o.endpoints, func(_ string, e *ownership) bool { return e.listedBy != o.lists })
	}
	return updates
}

// placeEndpoint adds an entry to the update of its pool. addRemoval says that a former pool's update names it as removed; in
// updates that are whole lists it is enough that it is missing.
func (o *PoolMembership) placeEndpoint(now balancer.Instant, e EndpointEntry, updates updateBuilder, addRemoval bool) {
	pool, several := o.choosePool(e.Attributes())
	if e.Phase == balancer.Removed {
		o.removeEndpoint(e, pool, updates)
		return
	}
	known := o.endpoints[e.ID]
	if known == nil {
		known = o.addEndpoint(now, e, pool, several)
	}
	if e.StartedAt != known.entry.StartedAt && known.entry.ID != "" { // it has restarted
		known.servedSinceStart = false
		known.reservedUntil = 0
	}
	known.entry = e
	known.listedBy = o.lists
	if known.pool != pool {
		o.changePool(now, known, pool, updates, addRemoval)
	} else if known.reservedUntil > 0 {
		known.reservedUntil = o.warmUpEnd(now, e)
	}
	if pool != noPool && known.reservedUntil == 0 {
		known.servedSinceStart = true
		updates.add(pool, e.Endpoint)
	}
}

// removeEndpoint forgets an endpoint, and adds its removal to the update of the pool that has it, or else of the one that
// selects it.
func (o *PoolMembership) removeEndpoint(e EndpointEntry, selecting int, updates updateBuilder) {
	pool := selecting
	if known := o.endpoints[e.ID]; known != nil && known.pool != noPool {
		pool = known.pool
	}
	delete(o.endpoints, e.ID)
	if pool != noPool {
		updates.add(pool, e.Endpoint)
	}
}

// addEndpoint adds an endpoint that was not listed before. It is reserved where it was in an earlier process. several says
// that other pools select it too.
func (o *PoolMembership) addEndpoint(now balancer.Instant, e EndpointEntry, pool int, several bool) *ownership {
	added := &ownership{pool: pool}
	if o.restored[e.ID] > now {
		added.servedSinceStart = true
		added.reservedUntil = o.warmUpEnd(now, e)
	}
	o.endpoints[e.ID] = added
	if pool == noPool {
		o.note(NotSelected, e.ID, noPool, noPool)
	} else if several {
		o.note(SelectedBySeveral, e.ID, noPool, pool)
	}
	return added
}

// changePool moves an endpoint to another pool, or to none, and reserves it where it is in its slow start. addRemoval is that of
// placeEndpoint.
func (o *PoolMembership) changePool(now balancer.Instant, e *ownership, pool int, updates updateBuilder, addRemoval bool) {
	former := e.pool
	e.pool = pool
	if former != noPool && e.reservedUntil == 0 && addRemoval {
		removed := e.entry.Endpoint
		removed.Phase = balancer.Removed
		updates.add(former, removed)
	}
	if e.servedSinceStart {
		e.reservedUntil = o.warmUpEnd(now, e.entry)
	}
	o.noteMove(e, former, pool)
}

// warmUpEnd returns when an endpoint's slow start ends; 0: it has ended, or the start is unknown.
func (o *PoolMembership) warmUpEnd(now balancer.Instant, e EndpointEntry) balancer.Instant {
	if end := e.StartedAt + o.warmUp; e.StartedAt > 0 && end > now {
		return end
	}
	return 0
}

// ReleaseDue gives pools the endpoints whose reservations have ended, and returns when the next one ends; 0: there is none.
func (o *PoolMembership) ReleaseDue(now balancer.Instant) (updates []PoolUpdate, next balancer.Instant) {
	for _, e := range o.reserved() {
		switch {
		case e.reservedUntil <= now:
			e.reservedUntil = 0
			if e.pool == noPool {
				continue
			}
			e.servedSinceStart = true
			o.note(Released, e.entry.ID, noPool, e.pool)
			updates = append(updates, PoolUpdate{
				Pool:    e.pool,
				Members: balancer.EndpointUpdate{Kind: balancer.DeltaList, Entries: []balancer.Endpoint{e.entry.Endpoint}},
			})
		case next == 0 || e.reservedUntil < next:
			next = e.reservedUntil
		}
	}
	return updates, next
}

// Entries returns the endpoints that a pool has, by id.
func (o *PoolMembership) Entries(pool int) []balancer.Endpoint {
	var endpoints []balancer.Endpoint
	for _, e := range o.sorted() {
		if e.pool == pool && e.reservedUntil == 0 {
			endpoints = append(endpoints, e.entry.Endpoint)
		}
	}
	return endpoints
}

// Reconfigure changes to another set. successors is the pool of the new set that continues each pool of the old one, -1 where
// none does (SuccessorPools). Every pool of the new set gets a whole list.
func (o *PoolMembership) Reconfigure(now balancer.Instant, set *Set, warmUp time.Duration, successors []int) []PoolUpdate {
	o.usePools(set, warmUp)
	updates := newUpdateBuilder(len(set.Pools), balancer.EndpointUpdate{Kind: balancer.FullList})
	for _, e := range o.sorted() {
		if e.pool != noPool {
			e.pool = successors[e.pool]
			if e.pool == noPool {
				o.reassign(now, e)
			}
		}
		o.placeEndpoint(now, e.entry, updates, false)
	}
	return updates
}

// reassign gives an endpoint whose pool was removed to another pool. What the removed pool has sent it still counts.
func (o *PoolMembership) reassign(now balancer.Instant, e *ownership) {
	pool, _ := o.choosePool(e.entry.Attributes())
	if pool == noPool {
		return
	}
	e.pool = pool
	if e.servedSinceStart {
		e.reservedUntil = o.warmUpEnd(now, e.entry)
	}
	o.noteMove(e, noPool, pool)
}

// Reservations returns until when endpoints are reserved, by id, for a successor process.
func (o *PoolMembership) Reservations() map[string]balancer.Instant {
	reservations := map[string]balancer.Instant{}
	for id, e := range o.endpoints {
		if e.reservedUntil > 0 {
			reservations[id] = e.reservedUntil
		}
	}
	return reservations
}

// RestoreReservations takes over the Reservations of a predecessor process. It is called before the first list is applied.
func (o *PoolMembership) RestoreReservations(until map[string]balancer.Instant) { o.restored = until }
