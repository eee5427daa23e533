package balancer

import (
	"cmp"
	"slices"

	"example.org/micafront/balancer/admission"
	"example.org/micafront/balancer/loadreport"
)

// requestOrder compares two requests as slices.SortFunc does. Requests that sort first are migrated first.
type requestOrder func(x, y *request) int

// byPriorityDensity orders requests by priority weight per load, lowest first.
func byPriorityDensity(x, y *request) int {
	return cmp.Compare(x.class.PriorityWeight*y.load, y.class.PriorityWeight*x.load)
}

// migrateLoad migrates established connections with a total load of excess, in the given order. If a connection's load
// exceeds what is left of excess, it is migrated with a probability equal to that remainder divided by its load.
func (b *Balancer) migrateLoad(endpoint *endpointState, excess float64, order requestOrder) {
	connections := endpoint.established()
	slices.SortStableFunc(connections, order)
	for _, req := range connections {
		if excess < req.load && b.random.Float64()*req.load >= excess {
			return
		}
		b.migrate(req)
		if excess -= req.load; excess <= 0 {
			return
		}
	}
}

// rebalanceByReport migrates connections off an endpoint whose reported load exceeds its capacity. While the fleet is short
// of capacity, it also migrates connections of tenants beyond their quotas.
func (b *Balancer) rebalanceByReport(endpoint *endpointState, load float64) {
	groupLoads := map[string]float64{}
	overQuotaLoad := 0.0
	for _, req := range endpoint.active {
		groupLoads[req.Group] += req.load
		overQuotaLoad += req.load * b.overQuotaFraction(req)
	}
	overloadExcess := loadreport.ExcessFraction(load) * endpoint.activeLoad
	quotaExcess := admission.ReclaimFraction(b.loadReports.FleetLoad(b.now)) * overQuotaLoad
	excess := max(overloadExcess, quotaExcess)
	if endpoint.phase != Ready || excess == 0 {
		return
	}
	// Connections of the tenants furthest beyond their quotas go first, then those of the groups with the least load here,
	// because each group has a cost at every endpoint that serves it.
	b.migrateLoad(endpoint, excess, func(x, y *request) int {
		return cmp.Or(
			cmp.Compare(b.overQuotaFraction(y), b.overQuotaFraction(x)),
			cmp.Compare(groupLoads[x.Group], groupLoads[y.Group]),
			cmp.Compare(x.Group, y.Group),
			byPriorityDensity(x, y))
	})
}
