// Package federation holds a fleet's replicated state about the meshes that publish services to it: the terms of the
// federation, the latest publication of each mesh, the lost meshes, and the catalog that internal/catalog merges from
// them.
//
// State is replicated: internal/fleetconfig applies its changes in log order on every control-plane replica, and each
// change of the catalog becomes a configuration version like any other. PublisherTracker is local to the leader:
// internal/consensus asks it which changes to propose. Both are deterministic: they do no I/O, read no clock and draw no
// random numbers, so the same changes result in a State with a byte-identical snapshot.
package federation
