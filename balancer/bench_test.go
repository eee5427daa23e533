package balancer

import (
	"fmt"
	"testing"
)

// BenchmarkEndpoints measures the cost of one placement decision and of one entry of an endpoint list, for fleets of several sizes.
func BenchmarkEndpoints(b *testing.B) {
	for _, count := range []int{15, 60, 90, 600} {
		settings := testSettings()
		settings.Zone = "z0"
		members := testEndpoints(count)
		b.Run(fmt.Sprintf("decision/%d", count), func(b *testing.B) {
			node := startBalancer(b, settings, members, 1)
			for i := range b.N {
				req := testRequest(i, 2*sec)
				if endpoint := establish(node, 2*sec, req); endpoint != "" {
					node.Handle(2*sec, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: OK, Final: true})
				}
			}
		})
		b.Run(fmt.Sprintf("entry/%d", count), func(b *testing.B) {
			node, now := startBalancer(b, settings, members, 1), 2*sec
			for i := 0; i < b.N; i += count { // each list contains one change, in a new epoch
				now += 2 * sec
				members[i/count%count].Phase ^= Draining
				node.Handle(now, EndpointUpdate{Kind: FullList, Entries: members})
				node.Handle(now+2*sec, Timer{})
			}
		})
	}
}
