package proxy

import (
	"io"
	"testing"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

// TestHandoverIntoSplitPools guards against a hot restart after which both parts of a split pool go on with the state of the
// former pool, and its connections belong to neither of the parts that has their endpoint or that goes on.
func TestHandoverIntoSplitPools(t *testing.T) {
	predecessor := newScaledProxy(t, false)
	predecessor.applyList(balancer.CachedList, scaledEntries(0, 6, discovery.InService))
	captured := predecessor.captureState()
	captured.Pools = map[string]balancer.State{"old": captured.Balancer}
	table, err := routing.New(routing.Set{Pools: []routing.Pool{
		{Name: "z", FormerNames: []string{"old"}, Select: routing.EndpointSelector{Zones: []string{"b"}}},
		{Name: "y", FormerNames: []string{"old"}, Select: routing.EndpointSelector{Zones: []string{"a"}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	log := logging.New(io.Discard, logging.JSON, 0)
	t.Cleanup(func() { _ = log.Close() })
	successor := newProxy(predecessor.config, newTestLoop(t), log)
	if err := successor.pools.init(table, 1); err != nil {
		t.Fatal(err)
	}
	successor.discoveryClient = successor.newDiscoveryClient(predecessor.config)
	if _, err := captured.encode(); err != nil {
		t.Fatal(err)
	}
	restored, _ := successor.resumeBalancers(&captured.handoverState)
	testkit.Equal(t, "pools that go on with the state", []bool{false, true}, []bool{restored[0].ok, restored[1].ok})
	successor.pools.membership.ApplyList(0, balancer.FullList, 1, []routing.EndpointEntry{{Endpoint: balancer.Endpoint{ID: "s-b", Zone: "b"}}})
	poolOf := func(endpoint string) string {
		return successor.transferredSession(&transferredConn{Pool: "old", Connection: balancer.Adopted{Endpoint: endpoint}}).pool.name
	}
	testkit.Equal(t, "pools of the connections", []string{"z", "y"}, []string{poolOf("s-b"), poolOf("s-without-pool")})
}
