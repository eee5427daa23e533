package proxy

import (
	"math"

	"example.org/micafront/internal/routing"
)

// usageKind is how a session counts towards the limits of its pool and route.
type usageKind int

const (
	usageNone    usageKind = iota
	usageWaiting           // a request without an answer
	usageOpen              // an established connection
)

// setUsage changes how a session counts.
func (s *session) setUsage(kind usageKind) {
	if s.pool == nil || s.route == nil {
		return
	}
	for _, usage := range []*routing.Usage{&s.pool.usage, &s.route.Usage} {
		addUsage(usage, s.usage, -1)
		addUsage(usage, kind, 1)
	}
	s.usage = kind
}

func addUsage(usage *routing.Usage, kind usageKind, n int) {
	switch kind {
	case usageWaiting:
		usage.Waiting += n
	case usageOpen:
		usage.Open += n
	}
}

// assignPool moves a session to a pool.
func (s *session) assignPool(pool *endpointPool) {
	kind := s.usage
	s.setUsage(usageNone)
	s.pool = pool
	s.setUsage(kind)
}

// fullUsage is that of a pool which takes nothing more, whatever its limits.
var fullUsage = routing.Usage{Open: math.MaxInt32, Waiting: math.MaxInt32}

// usageIn returns what a table's pools have now, by their index there. A pool that is no longer active is full.
func (ps *poolSet) usageIn(table *routing.Table) func(int) routing.Usage {
	return func(i int) routing.Usage {
		if pool := ps.byName(table.Set.Pools[i].Name); pool != nil {
			return pool.usage
		}
		return fullUsage
	}
}

// ensureRouteUsage is what a route has, by its name.
func (ps *poolSet) ensureRouteUsage(name string) *routeUsage {
	usage := ps.routeUsages[name]
	if usage == nil {
		usage = &routeUsage{}
		ps.routeUsages[name] = usage
	}
	return usage
}

// routeName is the name of a route with that usage; "" if there is none.
func (ps *poolSet) routeName(usage *routeUsage) string {
	for name, u := range ps.routeUsages {
		if u == usage {
			return name
		}
	}
	return ""
}
