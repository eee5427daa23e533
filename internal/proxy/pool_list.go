package proxy

import (
	"maps"
	"slices"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

// This file distributes the endpoint list among the pools.

// applyList distributes a list, or changes of it.
func (ps *poolSet) applyList(list *discovery.List, kind balancer.ListKind) {
	ps.distribute(ps.owners.ApplyList(ps.loop.Now(), kind, list.Generation, list.Entries()))
}

// distribute hands pools their endpoints, and connections to the pools that have their endpoints now.
func (ps *poolSet) distribute(updates []routing.PoolUpdate) {
	for _, update := range updates {
		ps.events.handle(ps.active[update.Pool], update.Members)
	}
	ps.logNotes(ps.owners.DrainNotes())
	if ps.isSingle() && !ps.owners.AnyReserved() {
		return
	}
	ps.reassignConnections()
	ps.releaseReserved()
}

// maxLoggedNotes is up to how many notes of one turn are logged a line each: a swap of pools may move thousands of endpoints.
const maxLoggedNotes = 32

// logNotes logs what happened to endpoints.
func (ps *poolSet) logNotes(notes []routing.Note) {
	for _, note := range notes[:min(len(notes), maxLoggedNotes)] {
		ps.log.Info(string(note.Event), zap.String("endpoint", note.Endpoint), zap.String("from", note.From),
			zap.String("to", note.To))
	}
	if len(notes) <= maxLoggedNotes {
		return
	}
	counts := map[routing.NoteEvent]int{}
	for _, note := range notes[maxLoggedNotes:] {
		counts[note.Event]++
	}
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		ps.log.Info(string(event), zap.Int("more_endpoints", counts[event]))
	}
}

// releaseReserved hands pools the endpoints that were reserved for them, once these have warmed up.
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

// reassignConnections hands each connection whose endpoint is another pool's now to that pool, whose balancer is the one
// that will see when the endpoint drains. The connections themselves are not touched.
func (ps *poolSet) reassignConnections() {
	for _, s := range slices.Clone(ps.sessions.established) {
		if s.downstreamState() != stateRelaying || s.pool.retireBy != 0 {
			continue
		}
		i := ps.owners.Pool(s.attempt.endpoint.id)
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
