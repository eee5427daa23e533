package controlclient

import "example.org/micafront/internal/apperror"

// Kinds of errors of requests to the control plane. The names are logged and sent to replicas.
var (
	// NoResponse means that a replica cannot be reached or sent no complete response in time.
	NoResponse = apperror.NewKind("keeperlink/no-answer",
		"see that a replica listens at the named address and that this node reaches it; correct fleet.keepers and send SIGHUP if it moved")
	// Rejected means that a replica sent an error response, which the cause repeats.
	Rejected = apperror.NewKind("keeperlink/refused",
		"the replica says why, and its own resolution is in the line: most often no leader is elected yet, so see that over half of the replicas run")
	// InvalidResponse means that a response cannot be parsed or is not for the request.
	InvalidResponse = apperror.NewKind("keeperlink/garbled",
		"what answers at the named address is no replica of this release: compare fleet.keepers with the replicas' own listen addresses and versions")
	// ResponseTooLarge means that a response is larger than this node accepts.
	ResponseTooLarge = apperror.NewKind("keeperlink/too-long",
		"take routes out of the version, or give this node more memory (limits.memory_mb) and restart it")
)
