package proxy

import (
	"reflect"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

// This file switches the pools to another routing table and retires those that it drops.

// retireInterval is that of the steps in which a dropped pool's connections are migrated.
const retireInterval = 100 * time.Millisecond

// applyTable switches to another table, in one turn. Pools that it keeps, by their name or a former one, go on with all
// that their balancers know. On an error nothing has changed.
func (ps *poolSet) applyTable(table *routing.Table) error {
	warmUp := ps.settings.activeSettings().Rules.WarmUp
	if reflect.DeepEqual(ps.table.Set, table.Set) {
		ps.owners.SetWarmUp(warmUp)
		return nil
	}
	successors := routing.SuccessorPools(&ps.table.Set, &table.Set)
	pools, created, err := ps.poolsFor(table, successors)
	if err != nil {
		return err
	}
	now := ps.loop.Now()
	former := ps.active
	ps.updatePoolNames(table, pools, created)
	ps.table = table
	ps.active = pools
	if successors[slices.Index(former, ps.discoveryPool)] < 0 {
		ps.discoveryPool = pools[0]
	}
	updates := ps.owners.Reconfigure(now, &table.Set, warmUp, successors)
	for i := range updates {
		if slices.Contains(created, pools[updates[i].Pool]) {
			updates[i].Members.Kind = balancer.CachedList
		}
	}
	ps.dropUnusedRoutes()
	ps.distribute(updates)
	for i, pool := range former {
		if successors[i] < 0 {
			ps.retire(pool, now+table.Set.Drain())
		}
	}
	return nil
}

// poolsFor are the pools of a table: active ones by successors, which has the index there for each of them, else created
// ones.
func (ps *poolSet) poolsFor(table *routing.Table, successors []int) (pools, created []*endpointPool, err error) {
	pools = make([]*endpointPool, len(table.Set.Pools))
	for i := range pools {
		if former := slices.Index(successors, i); former >= 0 {
			pools[i] = ps.active[former]
			continue
		}
		pool, err := ps.newPool(table.Set.Pools[i].Name)
		if err != nil {
			return nil, nil, err
		}
		pools[i] = pool
		created = append(created, pool)
	}
	return pools, created, nil
}

// updatePoolNames gives the pools that are kept their names in the table, and logs what is new.
func (ps *poolSet) updatePoolNames(table *routing.Table, pools, created []*endpointPool) {
	for i, pool := range pools {
		if name := table.Set.Pools[i].Name; pool.name != name {
			ps.log.Info("pool renamed", zap.String("from", pool.name), zap.String("to", name))
			pool.name = name
		}
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

// retire migrates a dropped pool's connections at an even pace. Its balancer has no endpoints from now on, so that
// nothing new is placed: requests that wait are rejected, or go on to their policy's next pool.
func (ps *poolSet) retire(pool *endpointPool, deadline time.Duration) {
	ps.log.Info("pool removed", zap.String("pool", pool.name), zap.Int("connections", pool.usage.Open),
		zap.Duration("drain_time", deadline-ps.loop.Now()))
	pool.retireBy = deadline
	ps.retired = append(ps.retired, pool)
	ps.events.handle(pool, balancer.EndpointUpdate{Kind: balancer.FullList})
	ps.retireStep(pool)
}

// retireStep migrates this step's connections of a retired pool, and drops it once it has none.
func (ps *poolSet) retireStep(pool *endpointPool) {
	var remaining []*session
	for _, s := range ps.sessions.established {
		if s.pool == pool {
			remaining = append(remaining, s)
		}
	}
	steps := max(int((pool.retireBy-ps.loop.Now())/retireInterval), 1)
	for _, s := range remaining[:ceilDiv(len(remaining), steps)] {
		ps.counters.MigrationsRetired++
		s.migrate(balancer.Canceled)
	}
	if len(remaining) == 0 && pool.usage.Waiting == 0 {
		ps.retired = slices.DeleteFunc(ps.retired, func(other *endpointPool) bool { return other == pool })
		ps.log.Info("removed pool has no connections left", zap.String("pool", pool.name))
		return
	}
	ps.loop.After(retireInterval, func() { ps.retireStep(pool) })
}

// ceilDiv is n/d, rounded up.
func ceilDiv(n, d int) int { return (n + d - 1) / d }
