package balancer

import (
	"fmt"
	"testing"
)

// TestSlowStartHoldsInLargeLists: many hosts, each with few connections, warm up within their bounds, at few nodes and at many. The
// capacity of all hosts together, counted for each node, is the usual one.
func TestSlowStartHoldsInLargeLists(t *testing.T) {
	for _, day := range []rampDay{
		{name: "few nodes", nodes: 3, hosts: 400, connectionsPerNode: 100, replacedFraction: 0.3, admitAll: true},
		{name: "many nodes", nodes: 120, hosts: 800, connectionsPerNode: 6, restartedFraction: 0.3, admitAll: true},
		{name: "many nodes, groups", nodes: 120, hosts: 800, connectionsPerNode: 6, replacedFraction: 0.3, groups: 40, admitAll: true},
	} {
		day.utilization = 0.7
		day.connectionLifetime = 2 * sec
		for day.seed = 1; day.seed <= 2; day.seed++ {
			t.Run(fmt.Sprintf("%s/%d", day.name, day.seed), func(t *testing.T) {
				w := newRampModel(t, day)
				w.run()
				most, at, early, connections, _ := w.totals()
				t.Logf("%.2f of the bound (%s); %.2f of a share came in 3 s, %.2f is there after the warm-up; of %d rejected %v",
					most, at, early, connections, w.requested, w.rejected)
				if most > 1 {
					t.Errorf("a warming host got %.2f of what overloads it: %s", most, at)
				}
			})
		}
	}
}
