// Package controlplane implements a replica of a fleet's control plane: it persists the replicated log, exchanges raft
// messages with the other replicas, and serves proxies and operators over HTTP. It is used by cmd/micafront-controlplane.
//
// One goroutine, the event loop, owns the raft node, the replicated state machine, the lease manager and the catalog
// proposer; every other goroutine reaches them by sending it an event. docs/design/fleet-agreement.md describes the
// protocol and its guarantees: a change is acknowledged only once a majority has stored it, and a lease is granted only by
// a leader that a majority has just confirmed.
//
// Requests and responses are JSON unless noted otherwise, and an error is sent as an [ErrorResponse]. Any replica accepts
// any request. A request that only the leader can serve is forwarded to it, at most once:
//
//	POST /v1/renew             a fleetconfig.Renewal; answered with a fleetconfig.Lease
//	GET  /v1/version/{number}  a fleetconfig.Version, as this replica has applied it; ?digest= must match it
//	POST /v1/propose           a fleetconfig.Propose; answered with a ProposeResponse once it is committed, or with
//	                           ?wait=active&timeout=30s once the version is active. A repeated id is applied once
//	POST /v1/withdraw          a fleetconfig.Withdraw; answered with a ProposeResponse
//	GET  /v1/status            the leader's Status; with ?local=1 this replica's
//	GET  /v1/history           a HistoryResponse, as this replica has applied it
//	GET  /registry/instances   the endpoint list, from the leader, in service discovery's protocol
//	POST /v1/publish           a catalog.Publication; answered with a PublishResponse once it is committed, or at once
//	                           if the same publication was committed before
//	POST /v1/terms             federation.Terms based on the current number; answered with the terms as committed
//	GET  /v1/terms             federation.Terms, as this replica has applied them
//	GET  /v1/catalog           this replica's Catalog
//	GET  /v1/catalog/{name}    this replica's NameResolution of a name
//	GET  /metrics              metrics in the Prometheus text format
//	POST /v1/peer              raft messages of another replica, in CBOR
//
// Neither callers nor peers are authenticated: a replica listens where only the fleet and its operators can reach it.
// Peers may start before their addresses are known: a listener can be inherited from a parent process ([ListenerFDEnv]),
// and [Replica.UpdateAddresses] changes the peers' addresses while the replica runs.
package controlplane
