package proxy

import (
	"maps"
	"slices"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

// applyList distributes a whole endpoint list or a delta among the pools.
func (ps *poolSet) applyList(list *discovery.List, kind balancer.ListKind) {
	ps.distribute(ps.membership.ApplyList(ps.loop.Now(), kind, list.Generation, list.Entries()))
}

// distribute passes the pools their endpoint updates, reassigns connections whose endpoints moved to another pool, and migrates
// those whose draining endpoint their pool does not own.
func (ps *poolSet) distribute(updates []routing.PoolUpdate) {
	for _, update := range updates {
		ps.events.handle(ps.active[update.Pool], update.Members)
	}
	ps.logMembershipEvents(ps.membership.TakeEvents())
	if !ps.isSingle() || ps.membership.AnyReserved() {
		ps.reassignConnections()
		ps.releaseReserved()
	}
	ps.drainUnowned()
}

// maxLoggedEvents is how many membership events of one turn get a log line each. The rest are counted by type, because a swap of
// pools may move thousands of endpoints.
const maxLoggedEvents = 32

// logMembershipEvents logs the changes of the pools that endpoints belong to.
func (ps *poolSet) logMembershipEvents(events []routing.MembershipEvent) {
	for _, event := range events[:min(len(events), maxLoggedEvents)] {
		ps.log.Info(string(event.Type), zap.String("endpoint", event.Endpoint), zap.String("from", event.From),
			zap.String("to", event.To))
	}
	if len(events) <= maxLoggedEvents {
		return
	}
	counts := map[routing.MembershipEventType]int{}
	for _, event := range events[maxLoggedEvents:] {
		counts[event.Type]++
	}
	for _, eventType := range slices.Sorted(maps.Keys(counts)) {
		ps.log.Info(string(eventType), zap.Int("more_endpoints", counts[eventType]))
	}
}

// releaseReserved adds reserved endpoints to their pools once they have warmed up, and sets a timer for the next ones.
func (ps *poolSet) releaseReserved() {
	now := ps.loop.Now()
	updates, next := ps.membership.ReleaseDue(now)
	if len(updates) > 0 {
		ps.distribute(updates)
		return
	}
	if next == 0 || ps.releaseAt > now && ps.releaseAt <= next {
		return
	}
	ps.releaseAt = next
	ps.loop.After(next-now, func() {
		if ps.releaseAt == next {
			ps.releaseAt = 0
			ps.releaseReserved()
		}
	})
}

// reassignConnections reassigns all established connections.
func (ps *poolSet) reassignConnections() {
	for _, s := range slices.Clone(ps.sessions.established) {
		ps.reassign(s)
	}
}

// reassign moves an established connection whose endpoint now belongs to another pool to that pool, because only that pool's
// balancer is notified when the endpoint drains. The connection itself is unaffected.
func (ps *poolSet) reassign(s *session) {
	if s.downstreamState() != stateRelaying || s.pool.retireBy != 0 {
		return
	}
	i := ps.membership.PoolOf(s.attempt.endpoint.id)
	if i < 0 || ps.active[i] == s.pool {
		return
	}
	connection, known := s.pool.balancer.Connection(s.id)
	if !known {
		return
	}
	ps.events.handle(s.pool, balancer.AttemptEnded{
		ID:       s.id,
		Endpoint: connection.Endpoint,
		Attempt:  s.attempt.number,
		Status:   balancer.Canceled,
		Final:    true,
	})
	s.assignPool(ps.active[i])
	s.attempt.number = 0
	ps.counters.PoolTransfers++
	ps.events.handle(s.pool, connection)
}
