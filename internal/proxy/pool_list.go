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
	ps.distribute(ps.owners.ApplyList(ps.loop.Now(), kind, list.Generation, list.Entries()))
}

// distribute passes the pools their endpoint updates, and reassigns connections whose endpoints moved to another pool.
func (ps *poolSet) distribute(updates []routing.PoolUpdate) {
	for _, update := range updates {
		ps.events.handle(ps.active[update.Pool], update.Members)
	}
	ps.logNotes(ps.owners.TakeEvents())
	if ps.isSingle() && !ps.owners.AnyReserved() {
		return
	}
	ps.reassignConnections()
	ps.releaseReserved()
}

// maxLoggedNotes is how many notes of one turn get a log line each. The rest are counted by event, because a swap of pools may
// move thousands of endpoints.
const maxLoggedNotes = 32

// logNotes logs ownership changes of endpoints.
func (ps *poolSet) logNotes(notes []routing.MembershipEvent) {
	for _, note := range notes[:min(len(notes), maxLoggedNotes)] {
		ps.log.Info(string(note.Type), zap.String("endpoint", note.Endpoint), zap.String("from", note.From),
			zap.String("to", note.To))
	}
	if len(notes) <= maxLoggedNotes {
		return
	}
	counts := map[routing.MembershipEventType]int{}
	for _, note := range notes[maxLoggedNotes:] {
		counts[note.Type]++
	}
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		ps.log.Info(string(event), zap.Int("more_endpoints", counts[event]))
	}
}

// releaseReserved adds reserved endpoints to their pools once they have warmed up, and sets a timer for the next ones.
func (ps *poolSet) releaseReserved() {
	now := ps.loop.Now()
	updates, next := ps.owners.ReleaseDue(now)
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

// reassignConnections moves each connection whose endpoint now belongs to another pool to that pool, because only that pool's
// balancer is notified when the endpoint drains. The connections themselves are unaffected.
func (ps *poolSet) reassignConnections() {
	for _, s := range slices.Clone(ps.sessions.established) {
		if s.downstreamState() != stateRelaying || s.pool.retireBy != 0 {
			continue
		}
		i := ps.owners.PoolOf(s.attempt.endpoint.id)
		if i < 0 || ps.active[i] == s.pool {
			continue
		}
		connection, known := s.pool.balancer.Connection(s.id)
		if !known {
			continue
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
}
