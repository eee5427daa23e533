package proxy

import (
	"slices"
	"time"

	"example.org/micafront/internal/metrics"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

// Requests are first routed to a pool. If the pool rejects them, they continue with the next pool of their policy.

// connectionAttributes returns the values of a session on which the active table's decision depends.
func (s *session) connectionAttributes() routing.ConnectionAttributes {
	return s.connectionAttributesFor(s.proxy.pools.table, nil)
}

// connectionAttributesFor returns the values of a session on which a table's decision depends. It stores Fields in buffer and
// overwrites its elements.
func (s *session) connectionAttributesFor(table *routing.Table, buffer []string) routing.ConnectionAttributes {
	request := s.request
	attributes := routing.ConnectionAttributes{
		Class:    request.Class,
		Key:      request.Key,
		Group:    request.Group,
		Zone:     s.proxy.settings.Zone,
		Listener: s.listener,
		Fields:   buffer[:0],
	}
	if request.Fields == nil {
		return attributes
	}
	attributes.Fields = slices.Grow(attributes.Fields, len(table.FieldNames))
	for _, name := range table.FieldNames {
		value, _ := request.Fields.Field(name) // "" if the request has no such field
		attributes.Fields = append(attributes.Fields, value)
	}
	return attributes
}

// assignRoute selects a request's route, pool and policy. If the request has no route or its pools are at their limits,
// it answers the request and returns false.
func (s *session) assignRoute() bool {
	p := s.proxy
	bound := p.pools.bound()
	table := bound.table
	attributes := s.connectionAttributes()
	decision, ok := table.Decide(&attributes)
	if !ok {
		p.counters.NoRoute++
		s.fail(reasonNoRoute)
		return false
	}
	routeName := table.Set.Routes[decision.Route].Name
	route := p.pools.ensureRouteUsage(routeName)
	var verdict routing.Verdict
	s.policyState, verdict = table.BeginRequest(decision, route.Usage, p.pools.availability(bound))
	switch {
	case verdict == routing.Proceed:
	case s.request.Resumed: // the connection is already open at an endpoint, so it adds no load
		s.policyState.Pool = decision.Pool
	default:
		p.counters.ResourceExhausted++
		s.reject(s.retryAfter(p.overloadDelay()), reasonPoolLimit)
		return false
	}
	s.routedBy = bound
	s.pool = bound.pools[s.policyState.Pool]
	s.route = route
	s.setUsage(usageWaiting)
	if entry := p.log.Check(zap.DebugLevel, "routed"); entry != nil {
		entry.Write(zap.String("id", s.clientID), zap.String("class", s.class), zap.String("route", routeName),
			zap.String("pool", s.pool.name), zap.String("policy", s.policyState.Policy.Name))
	}
	return true
}

// retryAfter returns when a rejected client may retry. The request's policy and the settings bound delay.
func (s *session) retryAfter(delay time.Duration) time.Duration {
	if delay <= 0 {
		return delay // the balancer gives no advice
	}
	return min(s.policyState.BoundRetryAfter(delay), s.proxy.settings.Limits.MaxRetryAfter)
}

// onPoolRejected executes a balancer's Reject. The request continues with its policy's next pool; if there is none, it
// is rejected.
func (s *session) onPoolRejected(pool *endpointPool, delay time.Duration, reason metrics.Reason) {
	p := s.proxy
	if s.answered || s.pool != pool {
		return
	}
	if !s.advanceToNextPool() {
		s.reject(s.retryAfter(delay), reason)
		return
	}
	next := s.routedBy.pools[s.policyState.Pool]
	p.counters.Fallbacks++
	p.log.Debug("pool rejected the request; trying the next pool", zap.String("id", s.clientID), zap.String("from", pool.name),
		zap.String("to", next.name))
	s.assignPool(next)
	p.events.handle(s.pool, s.balancerRequest())
}

// advanceToNextPool advances the policy's state to the next pool that may be tried. It returns false if there is none.
func (s *session) advanceToNextPool() bool {
	p := s.proxy
	if s.request == nil || s.request.Resumed {
		return false
	}
	rejection := routing.Rejection{
		Remaining:    s.deadline - p.loop.Now(),
		MinRemaining: p.settings.Rules.AnswerSlack,
		AttemptLimit: p.settings.Limits.Attempts,
		RetryIsSafe:  s.retries.isSafe(),
		InFlight:     s.attempt != nil,
	}
	return s.policyState.NextPool(rejection, p.pools.availability(s.routedBy)) == routing.Proceed
}
