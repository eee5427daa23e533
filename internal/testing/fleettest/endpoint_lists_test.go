package fleettest

import (
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
)

// Replicas that follow service discovery give all proxies its list, and are the only ones that call it. While they are down
// the proxies ask it themselves, and they return once the replicas are up.
func TestReplicasServeEndpointLists(t *testing.T) {
	fleet := startFleet(t, 20, 3, func(options *Options) { options.ReplicasServeLists = true })
	calls := func() (proxies, replicas int) {
		fleet.discovery.mu.Lock()
		defer fleet.discovery.mu.Unlock()
		return fleet.discovery.proxyCalls.total, fleet.discovery.replicaCalls.total
	}
	all := fleet.Proxies
	must(t, fleet.AwaitActiveAt(1, all))
	must(t, fleet.AwaitListFromReplicas(all)) // one that started before the replicas had a list may have asked service discovery
	before, _ := calls()
	for _, step := range []struct {
		name string
		do   func(int)
		want map[string]string
	}{
		{"one is removed", fleet.RemoveEndpoint, map[string]string{"svc.members": "7"}},
		{"one is added", fleet.RestoreEndpoint, map[string]string{"svc.members": "8"}},
		{"one drains", fleet.DrainEndpoint, map[string]string{"svc.members": "8", "svc.members_unavailable": "1"}},
		{"one is ready again", fleet.RestoreEndpoint, map[string]string{"svc.members": "8", "svc.members_unavailable": "0"}},
	} {
		began := time.Now()
		step.do(7)
		for name, want := range step.want {
			must(t, fleet.AwaitMetric(name, want, all))
		}
		t.Logf("%s: all proxies know after %v", step.name, time.Since(began).Round(time.Millisecond))
	}
	proxies, replicas := calls()
	testkit.Equal(t, "requests of proxies while replicas serve the list", before, proxies)
	if replicas == 0 {
		t.Error("no replica has called service discovery")
	}

	for _, replica := range fleet.Replicas {
		must(t, fleet.KillReplica(replica))
	}
	began := time.Now()
	must(t, fleet.AwaitListFromDiscovery(all))
	fleet.RemoveEndpoint(7)
	must(t, fleet.AwaitMetric("svc.members", "7", all))
	t.Logf("without replicas all proxies watch service discovery after %v", time.Since(began).Round(time.Millisecond))
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
