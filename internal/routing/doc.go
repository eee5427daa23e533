// Package routing decides which pool of endpoints serves a connection, and which policy applies to its requests.
//
// internal/proxy compiles a Set into a Table and queries it for each connection (Table.Decide). It divides the endpoint list
// among pools (PoolMembership), and tracks each request through the pools of its policy (RequestProgress). internal/sitelang
// and the tools check and compare sets (New, Diff, Table.UnreachedRoutes, Table.Candidates). Within a pool, a separate instance
// of package balancer selects the endpoint.
//
// The package is pure: it does no I/O, reads no clock and draws no random numbers. Table.Decide and Conflicting do not
// allocate.
package routing
