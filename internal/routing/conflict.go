package routing

import "slices"

// Conflicting reports whether two tables decide differently on a connection. It compares the name of the pool, the endpoints
// that the pool selects, the limits of pool and route, and the contents of the policy. A different name of the route or policy
// alone is not a conflict; Diff reports these as the aspects route and policy, and agrees with Conflicting in all others.
// oldConnection and newConnection are the same connection, with Fields in the order of the respective table. Conflicting does
// not allocate.
func Conflicting(oldTable, newTable *Table, oldConnection, newConnection *ConnectionAttributes) bool {
	if oldTable == newTable {
		return false
	}
	a, okA := oldTable.Decide(oldConnection)
	b, okB := newTable.Decide(newConnection)
	if !okA || !okB {
		return okA != okB
	}
	oldRoute, newRoute := &oldTable.Set.Routes[a.Route], &newTable.Set.Routes[b.Route]
	oldPool, newPool := &oldTable.Set.Pools[a.Pool], &newTable.Set.Pools[b.Pool]
	switch {
	case oldPool.Name != newPool.Name:
		return true
	case oldPool.Precedence != newPool.Precedence || !oldPool.Select.Equal(&newPool.Select):
		return true
	case oldPool.MaxOpen != newPool.MaxOpen || oldPool.MaxWaiting != newPool.MaxWaiting:
		return true
	case oldRoute.MaxOpen != newRoute.MaxOpen || oldRoute.MaxWaiting != newRoute.MaxWaiting:
		return true
	}
	return !samePolicy(oldTable.policyAt(a.Policy), newTable.policyAt(b.Policy))
}

// samePolicy reports whether two policies are equal except for their names; nil means no policy. As in Diff, an empty policy
// differs from no policy.
func samePolicy(a, b *Policy) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Attempts == b.Attempts && a.Deadline == b.Deadline && a.RetryAfterMin == b.RetryAfterMin &&
		a.RetryAfterMax == b.RetryAfterMax && slices.Equal(a.Fallback, b.Fallback)
}
