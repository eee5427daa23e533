package proxy

import (
	"slices"
	"time"

	"example.org/micafront/internal/metrics"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

// This file routes requests: to a pool at first, and on to their policy's next pool where that rejects them.

// routingLine is what the active table decides on for a session.
func (s *session) routingLine() routing.Line {
	return s.routingLineFor(s.proxy.pools.table, nil)
}

// routingLineFor is what a table decides on for a session. Its fields replace the contents of buffer.
func (s *session) routingLineFor(table *routing.Table, buffer []string) routing.Line {
	request := s.request
	line := routing.Line{
		Class:    request.Class,
		Key:      request.Key,
		Group:    request.Group,
		Zone:     s.proxy.settings.Zone,
		Listener: s.listener,
		Fields:   buffer[:0],
	}
	if request.Fields == nil {
		return line
	}
	line.Fields = slices.Grow(line.Fields, len(table.FieldNames))
	for _, name := range table.FieldNames {
		value, _ := request.Fields.Field(name) // "" where the request has none
		line.Fields = append(line.Fields, value)
	}
	return line
}

// assignRoute decides on a request's pool and policy. It returns false where the request has been answered, as it has no
// route or its pools are at their limits.
func (s *session) assignRoute() bool {
	p := s.proxy
	table := p.pools.table
	line := s.routingLine()
	decision, ok := table.Decide(&line)
	if !ok {
		p.counters.NoRoute++
		s.fail(reasonNoRoute)
		return false
	}
	routeName := table.Set.Routes[decision.Route].Name
	route := p.pools.ensureRouteUsage(routeName)
	var verdict routing.Verdict
	s.policyState, verdict = table.BeginRequest(decision, route.Usage, p.pools.usageIn(table))
	switch {
	case verdict == routing.Proceed:
	case s.request.Resumed: // it is open at an endpoint already: accepting it adds nothing
		s.policyState.Pool = decision.Pool
	default:
		p.counters.ResourceExhausted++
		s.reject(s.retryAfter(p.overloadDelay()), reasonPoolLimit)
		return false
	}
	s.table = table
	s.pool = p.pools.active[s.policyState.Pool]
	s.route = route
	s.setUsage(usageWaiting)
	if entry := p.log.Check(zap.DebugLevel, "routed"); entry != nil {
		entry.Write(zap.String("id", s.clientID), zap.String("class", s.class), zap.String("route", routeName),
			zap.String("pool", s.pool.name), zap.String("policy", s.policyState.Policy.Name))
	}
	return true
}

// retryAfter is when a rejected client may retry, within its policy and the settings.
func (s *session) retryAfter(delay time.Duration) time.Duration {
	if delay <= 0 {
		return delay // the balancer gives no advice
	}
	return min(s.policyState.BoundRetryAfter(delay), s.proxy.settings.Limits.MaxRetryAfter)
}

// onPoolRejected executes a balancer's Reject: the request goes on to its policy's next pool, else it is rejected.
func (s *session) onPoolRejected(pool *endpointPool, delay time.Duration, reason metrics.Reason) {
	p := s.proxy
	if s.answered || s.pool != pool {
		return
	}
	if !s.advanceToNextPool() {
		s.reject(s.retryAfter(delay), reason)
		return
	}
	p.counters.Fallbacks++
	p.log.Debug("pool rejected the request, next pool", zap.String("id", s.clientID), zap.String("from", pool.name))
	next := s.table.Set.Pools[s.policyState.Pool].Name
	s.assignPool(p.pools.byName(next))
	p.events.handle(s.pool, s.balancerRequest())
}

// advanceToNextPool moves the policy's state on to the next pool, if there is one that may be tried.
func (s *session) advanceToNextPool() bool {
	p := s.proxy
	if s.request == nil || s.request.Resumed {
		return false
	}
	rejection := routing.Rejection{
		Remaining:    s.deadline - p.loop.Now(),
		Slack:        p.settings.Rules.AnswerSlack,
		AttemptLimit: p.settings.Limits.Attempts,
		RepeatIsSafe: s.retries.isSafe(),
		InFlight:     s.attempt != nil,
	}
	return s.policyState.NextPool(s.table, rejection, p.pools.usageIn(s.table)) == routing.Proceed
}
