package proxy

import (
	"slices"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/metrics"
)

// actionExecutor executes the actions of a pool's balancer.
type actionExecutor interface {
	execute(pool *endpointPool, action balancer.Action)
}

// queuedEvent is an event for a pool's balancer.
type queuedEvent struct {
	pool  *endpointPool
	event balancer.Event
}

// eventQueue passes events to the pools' balancers and executes the actions that they return, in order.
type eventQueue struct {
	loop        *evloop.Loop
	executor    actionExecutor
	events      []queuedEvent
	dispatching bool
}

// handle passes an event to a pool's balancer. An event caused by an action is queued behind the pending events, so
// that no balancer is called while it is handling another event.
func (q *eventQueue) handle(pool *endpointPool, event balancer.Event) {
	q.events = append(q.events, queuedEvent{pool, event})
	q.executeActions(pool, nil)
}

// executeActions executes actions that a balancer returned outside of event handling, and then handles the queued
// events.
func (q *eventQueue) executeActions(pool *endpointPool, actions []balancer.Action) {
	if q.dispatching {
		return
	}
	q.dispatching = true
	for _, action := range actions {
		q.executor.execute(pool, action)
	}
	for len(q.events) > 0 {
		next := q.events[0]
		q.events = q.events[1:]
		if len(q.events) == 0 {
			q.events = nil
		}
		for _, action := range next.pool.balancer.Handle(q.loop.Now(), next.event) {
			q.executor.execute(next.pool, action)
		}
	}
	q.dispatching = false
}

// execute executes an action of a pool's balancer. An action for a session that no longer exists is ignored.
func (p *Proxy) execute(pool *endpointPool, action balancer.Action) {
	switch action := action.(type) {
	case balancer.Send:
		if s := p.sessions.byID[action.ID]; s != nil {
			s.startAttempt(action)
		}
	case balancer.Reject:
		if s := p.sessions.byID[action.ID]; s != nil {
			s.onPoolRejected(pool, action.RetryAfter, metrics.Reason(action.Reason))
		}
	case balancer.Fail:
		if s := p.sessions.byID[action.ID]; s != nil {
			s.fail(metrics.Reason(action.Reason))
		}
	case balancer.Cancel:
		if s := p.sessions.byID[action.ID]; s != nil && s.attempt != nil && s.attempt.mayCancel(action.Attempt) {
			s.cancelAttempt()
		}
	case balancer.Migrate:
		if s := p.sessions.byID[action.ID]; s != nil && s.downstreamState() == stateRelaying {
			p.counters.Migrations++
			s.migrate(balancer.Canceled)
		}
	case balancer.SetTimer:
		p.loop.After(action.Delay, func() { p.onBalancerTimer(pool, action.Token) })
	case balancer.Watch:
		if pool == p.pools.discoveryPool {
			p.discoveryClient.Watch(action.On)
		}
	case balancer.FetchEndpoints:
		if pool == p.pools.discoveryPool {
			p.discoveryClient.Fetch()
		}
	case balancer.Log:
		p.log.Info(action.Text)
	case balancer.HealthCheck:
		p.loadQueries.add(pool, action.Endpoint)
	}
}

// onBalancerTimer passes a timer to a pool's balancer. A removed pool without connections gets none, so that its balancer, which
// sets some timers again each time, is released.
func (p *Proxy) onBalancerTimer(pool *endpointPool, token string) {
	if p.pools.isActive(pool) || slices.Contains(p.pools.retired, pool) {
		p.events.handle(pool, balancer.Timer{Token: token})
	}
}
