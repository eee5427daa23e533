package proxy

import "example.org/micafront/internal/routing"

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

// accepts reports whether a pool is active and below its limits.
func (ps *poolSet) accepts(pool *endpointPool) bool {
	return ps.isActive(pool) && !pool.usage.Full(pool.maxOpen, pool.maxWaiting)
}

// availability returns which pools of a table accept another request. The table may be a former one.
func (ps *poolSet) availability(bound boundTable) routing.PoolAvailability {
	return func(i int) bool { return ps.accepts(bound.pools[i]) }
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
