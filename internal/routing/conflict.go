package routing

import "slices"

// Conflicting reports whether two tables decide differently what becomes of a connection: its pool by name, which endpoints
// the pool selects, the limits of pool and route, or the contents of the policy. Names of routes and policies alone are no
// difference. oldLine and newLine are the same connection with Fields in the order of each table. For a single connection it
// agrees with Diff, whose aspects route and policy are those names. It does not allocate.
func Conflicting(oldTable, newTable *Table, oldLine, newLine *ConnectionAttributes) bool {
	if oldTable == newTable {
		return false
	}
	a, okA := oldTable.Decide(oldLine)
	b, okB := newTable.Decide(newLine)
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

// samePolicy compares two policies except for their names; nil is none. An empty policy differs from none, as it does for
// Diff.
func samePolicy(a, b *Policy) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Attempts == b.Attempts && a.Deadline == b.Deadline && a.RetryAfterMin == b.RetryAfterMin &&
		a.RetryAfterMax == b.RetryAfterMax && slices.Equal(a.Fallback, b.Fallback)
}
