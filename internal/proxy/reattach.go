package proxy

import "time"

// A connection that was established before this process started is reattached to the endpoint that its client names.
const (
	// reattachTimeout bounds the attempts to reattach. It is below the 40 s after which a connection counts as lost.
	reattachTimeout        = 35 * time.Second
	reattachInterval       = 250 * time.Millisecond
	reattachAttemptTimeout = 5 * time.Second
)

// startReattach begins to reattach.
func (s *session) startReattach() {
	s.proxy.counters.Reattached++
	s.reattach()
}

// assignReattached assigns a reattached connection to the pool of its endpoint and to its route, if any, so that their limits
// count it. It is called once the connection is established, because a reload may change pools and routes until then.
func (s *session) assignReattached(endpointID string) {
	pools := &s.proxy.pools
	s.pool = pools.forEndpoint(endpointID)
	attributes := s.connectionAttributes()
	if decision, ok := pools.table.Decide(&attributes); ok {
		s.route = pools.ensureRouteUsage(pools.table.Set.Routes[decision.Route].Name)
	}
}

// reattach attempts to establish the connection again at its previous endpoint.
func (s *session) reattach() {
	p := s.proxy
	now := p.loop.Now()
	e := p.endpoints[s.request.PreviousEndpoint]
	if e == nil {
		s.fail(reasonNoEndpoint)
		return
	}
	a := &attempt{session: s, endpoint: e, startedAt: now, deadline: now + reattachAttemptTimeout}
	s.attempt = a
	s.attemptCount = 1
	a.dial()
}

// retryReattach schedules the next attempt to reattach after a failed one, until reattachTimeout has passed.
func (s *session) retryReattach(a *attempt) {
	p := s.proxy
	if s.answered {
		s.forgetIfDone()
		return
	}
	if s.reattachSince == 0 {
		s.reattachSince = a.startedAt
	}
	if p.loop.Now()-s.reattachSince > reattachTimeout {
		s.fail(reasonReattachTimeout)
		return
	}
	p.loop.After(reattachInterval, func() {
		if !s.answered {
			s.reattach()
		}
	})
}
