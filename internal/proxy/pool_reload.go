package proxy

import (
	"reflect"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

// applyTable switches to another routing table within one turn of the event loop. Pools that the table keeps, under their name
// or a former one, retain their balancers' state. On an error nothing changes.
func (ps *poolSet) applyTable(table *routing.Table) error {
	warmUp := ps.settings.activeSettings().Rules.WarmUp
	if reflect.DeepEqual(ps.table.Set, table.Set) {
		ps.membership.SetWarmUp(warmUp)
		return nil
	}
	successors := routing.SuccessorPools(&ps.table.Set, &table.Set)
	pools, created, err := ps.poolsFor(table, successors)
	if err != nil {
		return err
	}
	now := ps.loop.Now()
	former := ps.active
	ps.updateDefinitions(table, pools, created)
	ps.table = table
	ps.active = pools
	if successors[slices.Index(former, ps.discoveryPool)] < 0 {
		ps.discoveryPool = pools[0]
	}
	updates := ps.membership.Reconfigure(now, &table.Set, warmUp, successors)
	for i := range updates {
		if slices.Contains(created, pools[updates[i].Pool]) {
			updates[i].Members.Kind = balancer.CachedList
		}
	}
	ps.dropUnusedRoutes()
	ps.distribute(updates)
	for i, pool := range former {
		if successors[i] < 0 {
			ps.retire(pool, now+table.Set.EffectiveDrainTimeout())
		}
	}
	return nil
}

// poolsFor returns the pools of a table: active pools that the table keeps, and created ones for the rest. successors holds
// each active pool's index in the table, -1 for a removed pool.
func (ps *poolSet) poolsFor(table *routing.Table, successors []int) (pools, created []*endpointPool, err error) {
	pools = make([]*endpointPool, len(table.Set.Pools))
	for i := range pools {
		if former := slices.Index(successors, i); former >= 0 {
			pools[i] = ps.active[former]
			continue
		}
		pool, err := ps.newPool(&table.Set.Pools[i])
		if err != nil {
			return nil, nil, err
		}
		pools[i] = pool
		created = append(created, pool)
	}
	return pools, created, nil
}

// updateDefinitions sets the names and limits of kept pools from the table, and logs renamed and created pools.
func (ps *poolSet) updateDefinitions(table *routing.Table, pools, created []*endpointPool) {
	for i, pool := range pools {
		definition := &table.Set.Pools[i]
		if pool.name != definition.Name {
			ps.log.Info("pool renamed", zap.String("from", pool.name), zap.String("to", definition.Name))
		}
		pool.name = definition.Name
		pool.maxOpen = definition.MaxOpen
		pool.maxWaiting = definition.MaxWaiting
	}
	for _, pool := range created {
		ps.log.Info("pool created", zap.String("pool", pool.name))
	}
}

func (ps *poolSet) dropUnusedRoutes() {
	for name, usage := range ps.routeUsages {
		if usage.Open+usage.Waiting == 0 {
			delete(ps.routeUsages, name)
		}
	}
}

// retire migrates a removed pool's connections at an even pace until deadline. It empties the balancer's endpoint list, so that
// nothing new is placed: waiting requests are rejected, or proceed to their policy's next pool.
func (ps *poolSet) retire(pool *endpointPool, deadline time.Duration) {
	ps.log.Info("pool removed", zap.String("pool", pool.name), zap.Int("connections", pool.usage.Open),
		zap.Duration("drain_time", deadline-ps.loop.Now()))
	pool.retireBy = deadline
	ps.retired = append(ps.retired, pool)
	ps.events.handle(pool, balancer.EndpointUpdate{Kind: balancer.FullList})
	ps.retireStep(pool)
}

// retireStep migrates this step's share of a retired pool's connections, and drops the pool once no connections or waiting
// requests remain.
func (ps *poolSet) retireStep(pool *endpointPool) {
	var remaining []*session
	for _, s := range ps.sessions.established {
		if s.pool == pool {
			remaining = append(remaining, s)
		}
	}
	ps.migrateShare(remaining, pool.retireBy, &ps.counters.MigrationsRetired)
	if len(remaining) == 0 && pool.usage.Waiting == 0 {
		ps.retired = slices.DeleteFunc(ps.retired, func(other *endpointPool) bool { return other == pool })
		ps.log.Info("removed pool has no connections left", zap.String("pool", pool.name))
		return
	}
	ps.loop.After(migrationInterval, func() { ps.retireStep(pool) })
}
