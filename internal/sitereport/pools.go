package sitereport

import (
	"fmt"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/sitelang"
)

// requestTimeout is the timeout of the requests that find the first endpoint of a key. It is longer than any pool needs.
const requestTimeout = time.Minute

// sitePools holds the pools of a site, each with a balancer that has received the pool's part of an endpoint list.
type sitePools struct {
	site       *sitelang.Site
	membership *routing.PoolMembership
	balancers  []*balancer.Balancer // by pool
	now        balancer.Instant
	requests   int // number of requests that firstEndpoint has made, for their ids
}

// newSitePools returns the pools in the state that they have in a proxy after it has received the list. The seed of each
// balancer is derived from its pool's position, so the same list yields the same results. newSitePools returns an error if
// the site's settings are invalid.
func newSitePools(site *sitelang.Site, list *discovery.List, now balancer.Instant) (*sitePools, error) {
	p := &sitePools{site: site, membership: routing.NewPoolMembership(&site.RoutingSet, site.Settings.Rules.WarmUp), now: now}
	for i, update := range p.membership.ApplyList(now, balancer.CachedList, list.Generation, list.Entries()) {
		settings := site.Settings
		settings.Subscribe = false // there is no discovery to subscribe to
		b, err := balancer.New(settings, uint64(i)+1)
		if err != nil {
			return nil, err
		}
		b.Handle(now, update.Members)
		p.balancers = append(p.balancers, b)
	}
	return p, nil
}

// newRequest returns a request for a connection.
func newRequest(id string, connection *routing.ConnectionAttributes, deadline balancer.Instant) balancer.Request {
	return balancer.Request{ID: id, Class: connection.Class, Key: connection.Key, Group: connection.Group, Deadline: deadline}
}

// firstEndpoint returns the endpoint that a pool tries first; "" if there is none. It cancels its request before it returns,
// so that the pool's state is the same for the next request.
func (p *sitePools) firstEndpoint(pool int, connection *routing.ConnectionAttributes) string {
	p.requests++
	id := fmt.Sprint("k", p.requests)
	b := p.balancers[pool]
	defer func() {
		b.Handle(p.now, balancer.ClientDisconnected{ID: id})
		b.Handle(p.now, balancer.AttemptEnded{ID: id, Status: balancer.NotSent, Final: true})
	}()
	request := newRequest(id, connection, p.now+requestTimeout)
	request.ClientRetry = true // a retry is not counted as traffic of its group
	for _, action := range b.Handle(p.now, request) {
		if send, ok := action.(balancer.Send); ok {
			return send.Endpoint
		}
	}
	return ""
}

// attemptOrder returns the endpoints that the request's current pool tries, in order, if each of them is full. It records the
// attempts in the request's progress.
func (p *sitePools) attemptOrder(progress *routing.RequestProgress, connection *routing.ConnectionAttributes, deadline balancer.Instant, attemptLimit int) []string {
	const requestID = "x"
	request := newRequest(requestID, connection, deadline)
	request.MaxAttempts = progress.AttemptsLeft(attemptLimit)
	var endpoints []string
	events := []balancer.Event{request}
	for len(events) > 0 {
		actions := p.balancers[progress.Pool].Handle(p.now, events[0])
		events = events[1:]
		for _, action := range actions {
			send, ok := action.(balancer.Send)
			if !ok {
				continue
			}
			events = append(events, balancer.AttemptEnded{ID: requestID, Endpoint: send.Endpoint, Attempt: len(endpoints), Status: balancer.RejectedByEndpoint})
			endpoints = append(endpoints, send.Endpoint)
			progress.AttemptSent()
			progress.AttemptEnded(true)
		}
	}
	return endpoints
}

// advanceToNextPool moves a request that its current pool has rejected to the next pool of its policy, and reports whether
// there is one.
func (p *sitePools) advanceToNextPool(progress *routing.RequestProgress, deadline balancer.Instant) bool {
	settings := &p.site.Settings
	rejection := routing.Rejection{
		Remaining:    deadline - p.now,
		MinRemaining: settings.Rules.AnswerSlack,
		AttemptLimit: settings.Limits.Attempts,
		RetryIsSafe:  true, // a full endpoint has executed nothing
	}
	return progress.NextPool(rejection, allAvailable) == routing.Proceed
}
