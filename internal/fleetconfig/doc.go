// Package fleetconfig keeps one versioned configuration active across a fleet of proxies. It bounds the time for which
// two proxies may act on contradicting versions (Terms.AgreementTimeout), regardless of network faults and of clock drift
// up to Terms.ClockDriftPPM.
//
// The package does no I/O, reads no clock and draws no random numbers. Callers pass the time in, and only durations
// measured on one machine's monotonic clock are compared.
//
// It has three parts:
//
//   - StateMachine is the state that all control-plane replicas share. Only committed commands change it, in the same
//     order on each replica. internal/consensus replicates it.
//   - LeaseManager is the leading replica's soft state: it records renewals, grants leases, and returns the commands that
//     are due. internal/controlplane runs it.
//   - LeaseClient is the proxy's side: it renews its lease, prepares and switches versions, and decides whether a
//     connection may be placed. internal/proxy runs it.
//
// docs/design/fleet-agreement.md shows why the bound holds. The leases follow Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (SOSP 1989).
package fleetconfig
