package fleettest

import (
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
)

// TestReplicasServeEndpointLists checks that replicas that follow service discovery serve its list to all proxies, and that no
// proxy calls service discovery. While all replicas are down the proxies must watch service discovery directly, and they must
// return to the replicas afterwards.
func TestReplicasServeEndpointLists(t *testing.T) {
	fleet := startFleet(t, 20, 3, func(options *Options) { options.ReplicasServeLists = true })
	calls := func() (proxies, replicas int) {
		fleet.discovery.mu.Lock()
		defer fleet.discovery.mu.Unlock()
		return fleet.discovery.proxyCalls.total, fleet.discovery.replicaCalls.total
	}
	all := fleet.Proxies
	must(t, fleet.AwaitActiveAt(1, all))
	must(t, fleet.AwaitListFromReplicas(all)) // a proxy that started before the replicas had a list may call service discovery
	before, _ := calls()
	for _, step := range []struct {
		name string
		do   func(int)
		want map[string]string
	}{
		{"endpoint removed", fleet.RemoveEndpoint, map[string]string{"svc.members": "7"}},
		{"endpoint added", fleet.RestoreEndpoint, map[string]string{"svc.members": "8"}},
		{"endpoint drains", fleet.DrainEndpoint, map[string]string{"svc.members": "8", "svc.members_unavailable": "1"}},
		{"endpoint ready again", fleet.RestoreEndpoint, map[string]string{"svc.members": "8", "svc.members_unavailable": "0"}},
	} {
		began := time.Now()
		step.do(7)
		for name, want := range step.want {
			must(t, fleet.AwaitMetric(name, want, all))
		}
		t.Logf("%s: all proxies updated after %v", step.name, time.Since(began).Round(time.Millisecond))
	}
	proxies, replicas := calls()
	testkit.Equal(t, "requests by proxies to service discovery while replicas serve the list", before, proxies)
	if replicas == 0 {
		t.Error("no replica called service discovery")
	}

	for _, replica := range fleet.Replicas {
		must(t, fleet.KillReplica(replica))
	}
	began := time.Now()
	must(t, fleet.AwaitListFromDiscovery(all))
	fleet.RemoveEndpoint(7)
	must(t, fleet.AwaitMetric("svc.members", "7", all))
	t.Logf("replicas down: all proxies watch service discovery after %v", time.Since(began).Round(time.Millisecond))
	fleet.RestoreEndpoint(7)
	must(t, fleet.AwaitMetric("svc.members", "8", all))
	for _, replica := range fleet.Replicas {
		must(t, fleet.StartReplica(replica))
	}
	must(t, fleet.AwaitListFromReplicas(all))
	number, err := fleet.Propose()
	must(t, err)
	must(t, fleet.AwaitActiveAt(number, all))
	must(t, fleet.AwaitRequestLine(number))
	findings := checkFindings(t, fleet)
	t.Logf("%d requests to service discovery by proxies, %d in the busiest second; %d by replicas, %d", findings.DiscoveryCalls,
		findings.DiscoveryPeak, findings.ReplicaCalls,
		findings.ReplicaPeak)
}
