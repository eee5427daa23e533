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

// setUsage changes how a session counts towards the limits of its pool and route.
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

// assignPool moves a session and its usage to a pool.
func (s *session) assignPool(pool *endpointPool) {
	kind := s.usage
	s.setUsage(usageNone)
	s.pool = pool
	s.setUsage(kind)
}

// fullUsage is the usage of a pool that accepts nothing more, whatever its limits.
var fullUsage = routing.Usage{Open: math.MaxInt32, Waiting: math.MaxInt32}

// usageIn returns a function that maps the index of a pool in table to its current usage. A pool that is no longer active
// has fullUsage.
func (ps *poolSet) usageIn(table *routing.Table) func(int) routing.Usage {
	return func(i int) routing.Usage {
		if pool := ps.byName(table.Set.Pools[i].Name); pool != nil {
			return pool.usage
		}
		return fullUsage
	}
}

// ensureRouteUsage returns the usage of the named route, creating it if necessary.
func (ps *poolSet) ensureRouteUsage(name string) *routeUsage {
	usage := ps.routeUsages[name]
	if usage == nil {
		usage = &routeUsage{}
		ps.routeUsages[name] = usage
	}
	return usage
}

// routeName returns the name of the route that has this usage, or "" if there is none.
func (ps *poolSet) routeName(usage *routeUsage) string {
	for name, u := range ps.routeUsages {
		if u == usage {
			return name
		}
	}
	return ""
}
