package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
)

// noPool is the value of a pool position that refers to no pool.
const noPool = -1

// EndpointEntry is an endpoint of a list, with the attributes that only pool selectors use.
type EndpointEntry struct {
	balancer.Endpoint
	MachineType string
}

// Attributes returns the attributes that pool selectors use. A missing size defaults to 1.
func (e *EndpointEntry) Attributes() EndpointAttributes {
	size := e.Size
	if size == 0 {
		size = 1
	}
	return EndpointAttributes{ID: e.ID, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, Size: size}
}

// PoolUpdate is the part of an endpoint list that concerns one pool.
type PoolUpdate struct {
	Pool    int
	Members balancer.EndpointUpdate
}

// PoolMembership assigns each endpoint to at most one pool at any time. Pools are identified by their positions in Set.Pools;
// -1 means no pool.
//
// An endpoint that changes pools during its slow start belongs to neither pool until it has warmed up or restarted, because the
// load from the former pool still counts against its slow-start budget and the new pool would start a second budget. During
// that time the endpoint is reserved.
type PoolMembership struct {
	set                  *Set
	poolOrder            []int                       // positions in set.Pools, by precedence
	warmUp               time.Duration               // duration of the slow start of an endpoint
	endpoints            map[string]*member          // by id
	restoredReservations map[string]balancer.Instant // ends of reservations of the predecessor process, by id, for newly listed endpoints
	listCount            int                         // number of applied lists
	events               []MembershipEvent           // events since the last call of TakeEvents
}

// MembershipEvent reports an assignment of an endpoint that is relevant to operators.
type MembershipEvent struct {
	Type     MembershipEventType
	Endpoint string // id
	From     string // name of the former pool; "": none, or a removed pool
	To       string // name of the current or future pool; "": none
}

// MembershipEventType is the type of a MembershipEvent. Its text is the message of a log line.
type MembershipEventType string

// Types of membership events.
const (
	NotSelected       MembershipEventType = "endpoint belongs to no pool"
	SelectedBySeveral MembershipEventType = "endpoint fits several pools"
	Moved             MembershipEventType = "endpoint moved to another pool"
	Reserved          MembershipEventType = "endpoint moves to another pool once it is warm"
	Released          MembershipEventType = "endpoint is warm and moved to its pool"
)

// member is the state of an endpoint in a PoolMembership.
type member struct {
	entry              EndpointEntry
	pool               int              // position in Set.Pools, or noPool
	assignedSinceStart bool             // the endpoint has belonged to a pool since its last start
	reservedUntil      balancer.Instant // 0: not reserved
	lastList           int              // number of the last list that contained the endpoint
}

// updateBuilder collects the parts of an endpoint list by pool.
type updateBuilder []PoolUpdate

// newUpdateBuilder returns an updateBuilder with an empty update for each pool.
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

// NewPoolMembership returns a PoolMembership without endpoints. warmUp is the duration of an endpoint's slow start. The caller
// must not modify set.
func NewPoolMembership(set *Set, warmUp time.Duration) *PoolMembership {
	m := &PoolMembership{endpoints: map[string]*member{}}
	m.setPools(set, warmUp)
	return m
}

// setPools replaces the pools among which endpoints are divided.
func (m *PoolMembership) setPools(set *Set, warmUp time.Duration) {
	m.set = set
	m.warmUp = warmUp
	m.poolOrder = nil
	for i := range set.Pools {
		m.poolOrder = append(m.poolOrder, i)
	}
	slices.SortFunc(m.poolOrder, func(a, b int) int { return comparePools(&set.Pools[a], &set.Pools[b]) })
}

// SetWarmUp changes the duration of an endpoint's slow start.
func (m *PoolMembership) SetWarmUp(warmUp time.Duration) { m.warmUp = warmUp }

// sortedMembers returns all endpoints, sorted by id.
func (m *PoolMembership) sortedMembers() []*member {
	return slices.SortedFunc(maps.Values(m.endpoints), compareMembers)
}

// reservedMembers returns the reserved endpoints, sorted by id.
func (m *PoolMembership) reservedMembers() []*member {
	var reserved []*member
	for _, e := range m.endpoints {
		if e.reservedUntil > 0 {
			reserved = append(reserved, e)
		}
	}
	slices.SortFunc(reserved, compareMembers)
	return reserved
}

func compareMembers(a, b *member) int { return cmp.Compare(a.entry.ID, b.entry.ID) }

// AnyReserved reports whether any endpoint is reserved.
func (m *PoolMembership) AnyReserved() bool {
	for _, e := range m.endpoints {
		if e.reservedUntil > 0 {
			return true
		}
	}
	return false
}

// choosePool returns the first pool by precedence that selects an endpoint, or noPool. several reports whether other pools
// select it too.
func (m *PoolMembership) choosePool(attributes EndpointAttributes) (pool int, several bool) {
	pool = noPool
	for _, i := range m.poolOrder {
		if !m.set.Pools[i].Select.Matches(attributes) {
			continue
		}
		if pool != noPool {
			return pool, true
		}
		pool = i
	}
	return pool, false
}

// PoolOf returns the pool to which an endpoint belongs. It returns -1 if no pool selects the endpoint, if the endpoint is
// reserved, or if it is not listed.
func (m *PoolMembership) PoolOf(id string) int {
	if e := m.endpoints[id]; e != nil && e.reservedUntil == 0 {
		return e.pool
	}
	return noPool
}

// Lists reports whether the endpoint list contains an endpoint.
func (m *PoolMembership) Lists(id string) bool { return m.endpoints[id] != nil }

// poolName returns the name of a pool, or "" for noPool.
func (m *PoolMembership) poolName(pool int) string {
	if pool == noPool {
		return ""
	}
	return m.set.Pools[pool].Name
}

func (m *PoolMembership) addEvent(event MembershipEventType, endpoint string, from, to int) {
	m.events = append(m.events, MembershipEvent{Type: event, Endpoint: endpoint, From: m.poolName(from), To: m.poolName(to)})
}

// addMoveEvent adds an event about an endpoint that moves to another pool, either now or at the end of its reservation.
func (m *PoolMembership) addMoveEvent(e *member, from, to int) {
	event := Moved
	if e.reservedUntil > 0 && to != noPool {
		event = Reserved
	}
	m.addEvent(event, e.entry.ID, from, to)
}

// TakeEvents returns the events since the last call and clears them. They report changes of pools, and endpoints that no pool
// or several pools select.
func (m *PoolMembership) TakeEvents() []MembershipEvent {
	events := m.events
	m.events = nil
	return events
}

// ApplyList divides a list, or the changes to it (DeltaList), among the pools. It returns an update for every pool, even if
// that is empty.
func (m *PoolMembership) ApplyList(now balancer.Instant, kind balancer.ListKind, version int64, entries []EndpointEntry) []PoolUpdate {
	updates := newUpdateBuilder(len(m.set.Pools), balancer.EndpointUpdate{Kind: kind, Version: version})
	isDelta := kind == balancer.DeltaList
	m.listCount++
	if len(m.endpoints) == 0 {
		m.endpoints = make(map[string]*member, len(entries)) // preallocate for the first list
	}
	if len(updates) == 1 {
		updates[0].Members.Entries = make([]balancer.Endpoint, 0, len(entries))
	}
	for i := range entries {
		m.placeEndpoint(now, entries[i], updates, isDelta)
	}
	if !isDelta {
		maps.DeleteFunc(m.endpoints, func(_ string, e *member) bool { return e.lastList != m.listCount })
	}
	return updates
}

// placeEndpoint adds an entry to the update of its pool. If addRemoval is set, the update of its former pool lists the endpoint
// as removed. Updates that are full lists need no such entry, because a missing endpoint counts as removed.
func (m *PoolMembership) placeEndpoint(now balancer.Instant, e EndpointEntry, updates updateBuilder, addRemoval bool) {
	pool, several := m.choosePool(e.Attributes())
	if e.Phase == balancer.Removed {
		m.removeEndpoint(e, pool, updates)
		return
	}
	known := m.endpoints[e.ID]
	if known == nil {
		known = m.addEndpoint(now, e, pool, several)
	}
	if e.StartedAt != known.entry.StartedAt && known.entry.ID != "" { // the endpoint has restarted
		known.assignedSinceStart = false
		known.reservedUntil = 0
	}
	known.entry = e
	known.lastList = m.listCount
	if known.pool != pool {
		m.changePool(now, known, pool, updates, addRemoval)
	} else if known.reservedUntil > 0 {
		known.reservedUntil = m.warmUpEnd(now, e)
	}
	if pool != noPool && known.reservedUntil == 0 {
		known.assignedSinceStart = true
		updates.add(pool, e.Endpoint)
	}
}

// removeEndpoint deletes an endpoint, and adds its removal to the update of the pool to which it belongs, or else to the update
// of the pool that selects it.
func (m *PoolMembership) removeEndpoint(e EndpointEntry, selectingPool int, updates updateBuilder) {
	pool := selectingPool
	if known := m.endpoints[e.ID]; known != nil && known.pool != noPool {
		pool = known.pool
	}
	delete(m.endpoints, e.ID)
	if pool != noPool {
		updates.add(pool, e.Endpoint)
	}
}

// addEndpoint adds an endpoint that was not listed before. The endpoint is reserved if it was reserved in the predecessor
// process. several means that other pools select it too.
func (m *PoolMembership) addEndpoint(now balancer.Instant, e EndpointEntry, pool int, several bool) *member {
	added := &member{pool: pool}
	if m.restoredReservations[e.ID] > now {
		added.assignedSinceStart = true
		added.reservedUntil = m.warmUpEnd(now, e)
	}
	m.endpoints[e.ID] = added
	if pool == noPool {
		m.addEvent(NotSelected, e.ID, noPool, noPool)
	} else if several {
		m.addEvent(SelectedBySeveral, e.ID, noPool, pool)
	}
	return added
}

// changePool moves an endpoint to another pool or to none, and reserves it if it is in its slow start. addRemoval is as in
// placeEndpoint.
func (m *PoolMembership) changePool(now balancer.Instant, e *member, pool int, updates updateBuilder, addRemoval bool) {
	former := e.pool
	e.pool = pool
	if former != noPool && e.reservedUntil == 0 && addRemoval {
		removed := e.entry.Endpoint
		removed.Phase = balancer.Removed
		updates.add(former, removed)
	}
	if e.assignedSinceStart {
		e.reservedUntil = m.warmUpEnd(now, e.entry)
	}
	m.addMoveEvent(e, former, pool)
}

// warmUpEnd returns the time at which the slow start of an endpoint ends, or 0 if it has ended or the start time is unknown.
func (m *PoolMembership) warmUpEnd(now balancer.Instant, e EndpointEntry) balancer.Instant {
	if end := e.StartedAt + m.warmUp; e.StartedAt > 0 && end > now {
		return end
	}
	return 0
}

// ReleaseDue assigns the endpoints whose reservations have ended to their pools. next is the time at which the next reservation
// ends, or 0 if there is none.
func (m *PoolMembership) ReleaseDue(now balancer.Instant) (updates []PoolUpdate, next balancer.Instant) {
	for _, e := range m.reservedMembers() {
		switch {
		case e.reservedUntil <= now:
			e.reservedUntil = 0
			if e.pool == noPool {
				continue
			}
			e.assignedSinceStart = true
			m.addEvent(Released, e.entry.ID, noPool, e.pool)
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

// Entries returns the endpoints that belong to a pool, sorted by id.
func (m *PoolMembership) Entries(pool int) []balancer.Endpoint {
	var endpoints []balancer.Endpoint
	for _, e := range m.sortedMembers() {
		if e.pool == pool && e.reservedUntil == 0 {
			endpoints = append(endpoints, e.entry.Endpoint)
		}
	}
	return endpoints
}

// Reconfigure replaces the set. successors contains, for each pool of the old set, the position of the pool in the new set that
// continues it, or -1 (see SuccessorPools). Reconfigure returns a full list for every pool of the new set.
func (m *PoolMembership) Reconfigure(now balancer.Instant, set *Set, warmUp time.Duration, successors []int) []PoolUpdate {
	m.setPools(set, warmUp)
	updates := newUpdateBuilder(len(set.Pools), balancer.EndpointUpdate{Kind: balancer.FullList})
	for _, e := range m.sortedMembers() {
		if e.pool != noPool {
			e.pool = successors[e.pool]
			if e.pool == noPool {
				m.reassign(now, e)
			}
		}
		m.placeEndpoint(now, e.entry, updates, false)
	}
	return updates
}

// reassign assigns an endpoint whose pool was removed to another pool. It reserves the endpoint during its slow start, because
// the load from the removed pool still counts against the slow-start budget.
func (m *PoolMembership) reassign(now balancer.Instant, e *member) {
	pool, _ := m.choosePool(e.entry.Attributes())
	if pool == noPool {
		return
	}
	e.pool = pool
	if e.assignedSinceStart {
		e.reservedUntil = m.warmUpEnd(now, e.entry)
	}
	m.addMoveEvent(e, noPool, pool)
}

// Reservations returns the ends of all reservations by endpoint id, for a successor process.
func (m *PoolMembership) Reservations() map[string]balancer.Instant {
	reservations := map[string]balancer.Instant{}
	for id, e := range m.endpoints {
		if e.reservedUntil > 0 {
			reservations[id] = e.reservedUntil
		}
	}
	return reservations
}

// RestoreReservations restores the Reservations of a predecessor process. It must be called before the first ApplyList.
func (m *PoolMembership) RestoreReservations(until map[string]balancer.Instant) {
	m.restoredReservations = until
}
