package controlplane

import "example.org/micafront/internal/apperror"

// Kinds of errors that requests to a replica return, in addition to those of consensus, fleetconfig, federation and catalog.
var (
	// Overloaded means that the limit of requests or of queued events is reached. The request had no effect.
	Overloaded = apperror.NewKind("keeper/overloaded",
		"nothing was accepted: retry after Retry-After; if it persists, check the replica's CPU and which callers send most requests")
	// TimedOut means that there was no response in time. The request may have taken effect.
	TimedOut = apperror.NewKind("keeper/timed-out",
		"see /v1/status for the leader and which node blocks the version; repeat a proposal under the same id")
	// Stopping means that the replica shuts down.
	Stopping = apperror.NewKind("keeper/stopping", "ask another replica")
	// BadRequest means that a request is malformed.
	BadRequest = apperror.NewKind("keeper/bad-request", "correct what the cause names; docs/FLEET.md lists the calls")
	// InvalidProposal means that no proxy could apply a proposal's settings, routes or catalog.
	InvalidProposal = apperror.NewKind("keeper/broken-rules",
		"correct the member that is named and propose again; micafront config check says the same")
	// Withdrawn means that a version was withdrawn while the caller waited for it to become active.
	Withdrawn = apperror.NewKind("keeper/withdrawn", "do what the refusals' causes ask for, or propose again with force")
	// DigestMismatch means that a version's digest is not the requested one.
	DigestMismatch = apperror.NewKind("keeper/other-digest",
		"renew the lease: the version's number belongs to other contents")
	// LeaderUnreachable means that a request could not be forwarded to the leader.
	LeaderUnreachable = apperror.NewKind("keeper/leader-unreachable",
		"check that replicas reach one another at the addresses in their files; repeat a proposal under the same id")
	// EndpointListUnavailable means that the leader has no current endpoint list to serve.
	EndpointListUnavailable = apperror.NewKind("keeper/no-list",
		"nothing if the replicas have just started: proxies query discovery meanwhile; otherwise check lists in /v1/status and discovery")
	// DiscoveryFailed means that a request to service discovery failed.
	DiscoveryFailed = apperror.NewKind("keeper/discovery-failed",
		"see whether discovery runs there and what curl -sS http://ADDRESS/registry/instances answers from this replica's machine")
	// ListenFailed means that the replica cannot listen on its address.
	ListenFailed = apperror.NewKind("keeper/listen-failed", "free the address, or give the replica another one")
)

// Kinds of errors in the configuration and the data directory, with which a replica cannot start.
var (
	// BadConfig means that a replica cannot run with its configuration.
	BadConfig = apperror.NewKind("keeper/bad-config",
		"correct the member that is named, in the replica's file or flags; a replica that runs keeps its former file")
	// DataLocked means that another process uses the data directory.
	DataLocked = apperror.NewKind("keeper/data-locked",
		"stop the other replica that runs on this data directory, or give this one a directory of its own")
	// DataCorrupted means that the data directory is corrupt or of another format.
	DataCorrupted = apperror.NewKind("keeper/data-broken",
		"keep this directory for a report and start the replica on an empty one with --rejoin, while all others are up")
	// DataFailed means that reading or writing the data directory failed.
	DataFailed = apperror.NewKind("keeper/data-failed",
		"see that the data directory can be written, its disk has room and works; then start the replica again")
)
