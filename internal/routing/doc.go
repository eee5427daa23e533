// Package routing decides which pool of endpoints a connection belongs to, and under which policy.
//
// internal/proxy compiles a Set into a Table and asks it for each connection (Table.Decide), divides the endpoint list
// among pools (PoolMembership), and follows a request through the pools of its policy (RequestProgress). internal/sitelang and the
// tools check and compare sets (New, Diff, Table.UnreachedRoutes, Table.Candidates). Inside a pool, the pool's own decision module
// (balancer) selects the endpoint.
//
// The package is pure: it does no I/O, reads no clock and draws no random numbers. Table.Decide and Conflicting do not
// allocate.
package routing
