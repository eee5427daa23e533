package proxy

import (
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/metrics"
)

// A balancer migrates the connections of a draining endpoint if its pool owns the endpoint. A connection may be in another pool,
// because a reload or a hot restart removed its pool, or changed which endpoints the pool selects. Such a connection is unowned.
// Unowned connections of draining endpoints are migrated here, before the endpoints leave.

// migrationInterval is the time between the steps that migrate unowned connections, or those of a removed pool.
const migrationInterval = 100 * time.Millisecond

// drainUnowned starts the steps that migrate unowned connections of draining endpoints, unless they are running. It does nothing
// if there are no such connections.
func (ps *poolSet) drainUnowned() {
	if !ps.drainingUnowned {
		ps.unownedDrainStep()
	}
}

// drainIfUnowned is called for each new connection to an endpoint. In a later turn, after the client has received its answer, it
// starts the steps if the endpoint drains and the connection is unowned.
func (ps *poolSet) drainIfUnowned(e *endpoint) {
	if e.drainingSince != 0 {
		ps.loop.After(0, ps.drainUnowned)
	}
}

// unownedDrainStep migrates this step's share of the unowned connections of each draining endpoint, so that the last ones are
// migrated at an even pace by the end of the endpoint's DrainGrace.
func (ps *poolSet) unownedDrainStep() {
	unowned := ps.unownedByDrainingEndpoint()
	ps.drainingUnowned = len(unowned) > 0
	if !ps.drainingUnowned {
		return
	}
	for _, e := range slices.SortedFunc(maps.Keys(unowned), compareEndpoints) {
		leavesAt := e.drainingSince + ps.settings.activeSettings().Rules.DrainGrace
		ps.migrateShare(unowned[e], leavesAt, &ps.counters.Migrations)
	}
	ps.loop.After(migrationInterval, ps.unownedDrainStep)
}

// migrateShare migrates one step's share of established connections, so that an even pace migrates all of them by deadline. It
// counts them in migrations.
func (ps *poolSet) migrateShare(sessions []*session, deadline time.Duration, migrations *metrics.Counter) {
	steps := max(int((deadline-ps.loop.Now())/migrationInterval), 1)
	share := (len(sessions) + steps - 1) / steps // rounded up
	for _, s := range sessions[:share] {
		if s.downstreamState() == stateRelaying { // otherwise it was closed while an earlier one was migrated
			*migrations++
			s.migrate(balancer.Canceled)
		}
	}
}

// unownedByDrainingEndpoint returns the unowned established connections of draining endpoints.
func (ps *poolSet) unownedByDrainingEndpoint() map[*endpoint][]*session {
	unowned := map[*endpoint][]*session{}
	for _, s := range ps.sessions.established {
		e := s.attempt.endpoint
		if e.drainingSince != 0 && !ps.owns(s.pool, e.id) {
			unowned[e] = append(unowned[e], s)
		}
	}
	return unowned
}

// owns reports whether a pool owns an endpoint. For an endpoint that is no longer listed it reports whether the pool is active,
// because the balancers of active pools were notified of the removal.
func (ps *poolSet) owns(pool *endpointPool, endpointID string) bool {
	if !ps.membership.Lists(endpointID) {
		return ps.isActive(pool)
	}
	i := ps.membership.PoolOf(endpointID)
	return i >= 0 && ps.active[i] == pool
}
