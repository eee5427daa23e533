package admission

import "math"

// Quota is the part of the service that a tenant is guaranteed.
type Quota struct {
	Share       float64 // fraction of all active connections
	Connections float64 // open connections within the quota, over all nodes; 0: unknown
}

// OverQuotaFraction returns the fraction of a tenant's connections at a node that exceeds its quota. active is the
// number of active connections at the node, activeOfTenant the tenant's part of them, and nodes the number of nodes.
func (q Quota) OverQuotaFraction(active, activeOfTenant, nodes int) float64 {
	guaranteed := math.Max(q.Share*float64(active), q.Connections/float64(nodes))
	return math.Max(1-guaranteed/math.Max(float64(activeOfTenant), 1), 0)
}

// reclaimThreshold is the fleet load above which connections beyond tenants' quotas are reclaimed.
const reclaimThreshold = 0.75

// ReclaimFraction returns the fraction of the connections beyond tenants' quotas that should be migrated now, so that
// other tenants get their quotas. It rises from 0 at reclaimThreshold to 1 where the fleet has no room left for the
// highest rank. Migrated clients reconnect and are rejected.
func ReclaimFraction(fleetLoad float64) float64 {
	return math.Min(math.Max((fleetLoad-reclaimThreshold)/(LoadLimit(1)-reclaimThreshold), 0), 1)
}
