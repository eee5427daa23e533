package proxy

import (
	"fmt"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/metrics"
	"example.org/micafront/internal/routing"
)

// endpointPool is a pool of endpoints with the balancer that places connections there.
type endpointPool struct {
	name       string
	balancer   *balancer.Balancer
	usage      routing.Usage
	maxOpen    int           // limit of the latest table that has the pool, see routing.Pool
	maxWaiting int           // likewise
	retireBy   time.Duration // when the last connections of a removed pool are migrated; 0: it is not removed
}

// boundTable is a routing table with the pools that it refers to by position. A request keeps the boundTable that routed it,
// because a later table may rename, remove or reorder the pools, so that neither a name nor a position identifies them.
type boundTable struct {
	table *routing.Table
	pools []*endpointPool // in the order of the table's pools; never modified
}

// routeUsage counts the requests and connections of a route. It is kept by the route's name across routing tables.
type routeUsage struct{ routing.Usage }

// settingsSource returns the active settings, which change on a reload and on a switch of the fleet's version.
type settingsSource interface {
	activeSettings() *balancer.Settings
}

// poolSet holds the pools of the active routing table, and removed pools while they have connections left. Package routing
// decides which pool serves a request and which pool owns an endpoint; poolSet executes these decisions.
type poolSet struct {
	settings settingsSource
	events   *eventQueue
	loop     *evloop.Loop
	log      *logging.Logger
	counters *metrics.Counters
	sessions *sessionTable

	table         *routing.Table
	membership    *routing.PoolMembership
	active        []*endpointPool // in the order of the table's pools
	discoveryPool *endpointPool   // only its balancer requests the endpoint list
	retired       []*endpointPool // removed by the configuration, with connections left
	routeUsages   map[string]*routeUsage
	releaseAt     time.Duration // next check of reserved endpoints; 0: none are reserved
	nextSeed      uint64        // for the next pool's balancer

	drainingUnowned bool // the next step of unownedDrainStep is scheduled
}

// bound returns the active table with its pools.
func (ps *poolSet) bound() boundTable { return boundTable{ps.table, ps.active} }

// isActive reports whether the active table has a pool.
func (ps *poolSet) isActive(pool *endpointPool) bool { return slices.Contains(ps.active, pool) }

// init creates the pools of the first table.
func (ps *poolSet) init(table *routing.Table, seed uint64) error {
	ps.table = table
	ps.nextSeed = seed
	ps.routeUsages = map[string]*routeUsage{}
	ps.membership = routing.NewPoolMembership(&table.Set, ps.settings.activeSettings().Rules.WarmUp)
	for i := range table.Set.Pools {
		pool, err := ps.newPool(&table.Set.Pools[i])
		if err != nil {
			return err
		}
		ps.active = append(ps.active, pool)
	}
	return nil
}

// newPool creates a pool without endpoints.
func (ps *poolSet) newPool(definition *routing.Pool) (*endpointPool, error) {
	pool := &endpointPool{name: definition.Name, maxOpen: definition.MaxOpen, maxWaiting: definition.MaxWaiting}
	if ps.discoveryPool == nil {
		ps.discoveryPool = pool
	}
	poolBalancer, err := balancer.New(ps.balancerSettings(pool), ps.nextSeed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ps.nextSeed++
	pool.balancer = poolBalancer
	return pool, nil
}

// balancerSettings returns the settings of a pool's balancer. Only the discovery pool's balancer watches the endpoint list.
func (ps *poolSet) balancerSettings(pool *endpointPool) balancer.Settings {
	settings := *ps.settings.activeSettings()
	settings.Subscribe = settings.Subscribe && pool == ps.discoveryPool
	return settings
}

// isSingle reports whether all endpoints belong to one pool, as they do if the configuration names no pools.
func (ps *poolSet) isSingle() bool { return len(ps.active) == 1 }

// forEndpoint returns the pool that owns an endpoint. For an endpoint without an owner it returns the first pool, whose
// balancer does not know the endpoint.
func (ps *poolSet) forEndpoint(endpointID string) *endpointPool {
	if i := ps.membership.PoolOf(endpointID); i >= 0 {
		return ps.active[i]
	}
	return ps.active[0]
}

// forTransfer returns the pool of a predecessor's connection: the owner of its endpoint, or else the pool that continues the
// predecessor's pool.
func (ps *poolSet) forTransfer(formerPool, endpointID string) *endpointPool {
	if ps.membership.PoolOf(endpointID) < 0 {
		if continuing := routing.SuccessorsOf([]string{formerPool}, &ps.table.Set)[0]; continuing >= 0 {
			return ps.active[continuing]
		}
	}
	return ps.forEndpoint(endpointID)
}

// unavailableEndpoints returns the number of endpoints of active pools that get no new requests now.
func (ps *poolSet) unavailableEndpoints() int {
	n := 0
	for _, pool := range ps.active {
		n += pool.balancer.UnavailableEndpoints()
	}
	return n
}

// appendMetrics appends the telemetry text of each pool and each route. It appends nothing while there is only one
// pool, counting retired ones.
func (ps *poolSet) appendMetrics(out []byte, endpoints endpointTable) []byte {
	if ps.isSingle() && len(ps.retired) == 0 {
		return out
	}
	endpointCounts := make([]int, len(ps.active))
	for id := range endpoints {
		if i := ps.membership.PoolOf(id); i >= 0 {
			endpointCounts[i]++
		}
	}
	for i, pool := range ps.active {
		out = fmt.Appendf(out, "svc.pool.%[1]s.open=%[2]d\nsvc.pool.%[1]s.waiting=%[3]d\nsvc.pool.%[1]s.members=%[4]d\n"+
			"svc.pool.%[1]s.members_unavailable=%[5]d\n",
			pool.name, pool.usage.Open, pool.usage.Waiting, endpointCounts[i], pool.balancer.UnavailableEndpoints())
	}
	for _, pool := range ps.retired {
		out = fmt.Appendf(out, "svc.pool_gone.%s.open=%d\n", pool.name, pool.usage.Open)
	}
	for i := range ps.table.Set.Routes {
		name := ps.table.Set.Routes[i].Name
		var usage routing.Usage
		if route := ps.routeUsages[name]; route != nil {
			usage = route.Usage
		}
		out = fmt.Appendf(out, "svc.route.%[1]s.open=%[2]d\nsvc.route.%[1]s.waiting=%[3]d\n", name, usage.Open, usage.Waiting)
	}
	return fmt.Appendf(out, "svc.no_route=%d\nsvc.fallbacks=%d\nsvc.transfers=%d\n",
		ps.counters.NoRoute, ps.counters.Fallbacks, ps.counters.PoolTransfers)
}
