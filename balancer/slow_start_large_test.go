package balancer

import (
	"fmt"
	"testing"
)

// Many hosts, each with few connections, must warm up within their bounds, with few nodes and with many. The capacity
// of all hosts together, per node, is the same as in the other tests.
func TestSlowStartHoldsInLargeLists(t *testing.T) {
	for _, scenario := range []rampScenario{
		{name: "few nodes", nodes: 3, hosts: 400, connectionsPerNode: 100, replacedFraction: 0.3, admitAll: true},
		{name: "many nodes", nodes: 120, hosts: 800, connectionsPerNode: 6, restartedFraction: 0.3, admitAll: true},
		{name: "many nodes, groups", nodes: 120, hosts: 800, connectionsPerNode: 6, replacedFraction: 0.3, groups: 40, admitAll: true},
	} {
		scenario.utilization = 0.7
		scenario.connectionLifetime = 2 * sec
		for scenario.seed = 1; scenario.seed <= 2; scenario.seed++ {
			t.Run(fmt.Sprintf("%s/%d", scenario.name, scenario.seed), func(t *testing.T) {
				m := newRampModel(t, scenario)
				m.run()
				most, at, early, connections, _ := m.totals()
				t.Logf("maximum %.2f of the bound (%s); %.2f of a share in the first 3 s, %.2f after the warm-up; of %d requests rejected: %v",
					most, at, early, connections, m.requested, m.rejected)
				if most > 1 {
					t.Errorf("a warming host got %.2f times the bound: %s", most, at)
				}
			})
		}
	}
}
