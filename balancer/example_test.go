package balancer_test

import (
	"fmt"
	"time"

	"example.org/micafront/balancer"
)

// A node places connections, then one endpoint joins and another drains.
func Example() {
	node, err := balancer.New(balancer.Settings{
		Nodes:   1,
		Classes: []balancer.Class{{Name: "session", LatencyObjective: 300 * time.Millisecond, Timeout: 2 * time.Second, PriorityWeight: 1}},
		Limits:  balancer.Limits{Attempts: 3, ConnectTimeout: 200 * time.Millisecond},
		Rules: balancer.Rules{AnswerSlack: 20 * time.Millisecond, WarmUp: 10 * time.Second, InitialCapacity: 0.3,
			DrainGrace: time.Second, OverloadWindow: 2 * time.Second, OverloadFactor: 3},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 100 * time.Second
	node.Handle(now, balancer.EndpointUpdate{Kind: balancer.CachedList, Entries: []balancer.Endpoint{
		{ID: "a:1", Size: 1}, {ID: "b:1", Size: 1}, {ID: "c:1", Size: 1}}})

	place := func(id, key string) {
		for _, a := range node.Handle(now, balancer.Request{ID: id, Key: key, Class: "session", Deadline: now + 2*time.Second}) {
			if s, ok := a.(balancer.Send); ok {
				fmt.Println(key, "goes to", s.Endpoint)
				node.Handle(now, balancer.Established{ID: id, Endpoint: s.Endpoint})
			}
		}
	}
	place("1", "anna")
	place("2", "bruno")
	place("3", "anna")

	node.Handle(now, balancer.EndpointUpdate{Entries: []balancer.Endpoint{
		{ID: "d:1", Size: 1, StartedAt: now}, {ID: "a:1", Phase: balancer.Draining, Size: 1}}})
	now += 20 * time.Second
	place("4", "anna")
	place("5", "bruno")

	// Output:
	// anna goes to b:1
	// bruno goes to a:1
	// anna goes to b:1
	// anna goes to b:1
	// bruno goes to d:1
}
