package micafront_test

import (
	"fmt"
	"time"

	"example.org/micafront"
)

// A node places connections; a server joins, another drains.
func Example() {
	node, err := micafront.New(micafront.Settings{
		Nodes:   1,
		Classes: []micafront.Class{{Name: "session", Aim: 300 * time.Millisecond, GiveUp: 2 * time.Second, Worth: 1}},
		Limits:  micafront.Limits{Attempts: 3, ConnectTimeout: 200 * time.Millisecond},
		Rules: micafront.Rules{AnswerSlack: 20 * time.Millisecond, Cold: 10 * time.Second, ColdFrom: 0.3,
			DrainGrace: time.Second, Fall: 2 * time.Second, OverloadFactor: 3},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 100 * time.Second
	node.Handle(now, micafront.Members{Kind: micafront.SavedList, Entries: []micafront.Member{
		{Server: "a:1", Size: 1}, {Server: "b:1", Size: 1}, {Server: "c:1", Size: 1}}})

	place := func(id, key string) {
		for _, a := range node.Handle(now, micafront.Request{ID: id, Key: key, Class: "session", Deadline: now + 2*time.Second}) {
			if s, ok := a.(micafront.Send); ok {
				fmt.Println(key, "goes to", s.Server)
				node.Handle(now, micafront.First{ID: id, Server: s.Server})
			}
		}
	}
	place("1", "anna")
	place("2", "bruno")
	place("3", "anna")

	node.Handle(now, micafront.Members{Entries: []micafront.Member{
		{Server: "d:1", Size: 1, StartedAt: now}, {Server: "a:1", Phase: micafront.Draining, Size: 1}}})
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
