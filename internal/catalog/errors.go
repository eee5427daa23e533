package catalog

import "example.org/micafront/internal/apperror"

// Kinds of findings and errors, each with a resolution for operators.
var (
	// Collision: several services claim one short name.
	Collision = apperror.NewKind("catalog/collision",
		"name the services by their qualified names, or rule who has the short one, or have one of them renamed")
	// UnauthorizedClaim: a mesh publishes an owner's service that it may not publish.
	UnauthorizedClaim = apperror.NewKind("catalog/squatter",
		"have the mesh withdraw the service, or add the owner to the mesh's terms if it may publish for it")
	// AliasLoop: aliases form a cycle.
	AliasLoop = apperror.NewKind("catalog/alias-loop", "point one of the aliases named at a service instead")
	// AliasChainTooLong: the chain from an alias to its service has too many aliases.
	AliasChainTooLong = apperror.NewKind("catalog/alias-chain", "point the alias at the service that the chain ends in")
	// ReexportLoop: a re-export passes through a mesh twice.
	ReexportLoop = apperror.NewKind("catalog/re-export-loop",
		"have the mesh that is passed twice leave services that come from itself out of what it re-exports")
	// OverLimit: a mesh publishes more services or aliases than its terms allow.
	OverLimit = apperror.NewKind("catalog/over-limit",
		"raise max_services in the mesh's terms, or have the mesh publish less; names held before are kept first, then the first by name")
	// OutdatedPublication: a publication is older than the accepted one.
	OutdatedPublication = apperror.NewKind("catalog/old-publication",
		"have the mesh publish anew with a higher epoch; if it did, find what replays the old one")
	// Contradiction: two inputs with the same name or number have different contents.
	Contradiction = apperror.NewKind("catalog/contradiction",
		"have one of the two withdrawn; publishers that restart must raise their epoch")
	// BadPattern: a name pattern is malformed.
	BadPattern = apperror.NewKind("catalog/bad-pattern",
		"correct the pattern in the mesh's terms: *, ?, [a-z] and \\ as in path names; until then it matches no name")
	// BadName: a name is not valid; see IsValidName.
	BadName = apperror.NewKind("catalog/bad-name",
		"rename it: 1 to 128 bytes of UTF-8 without blanks, control characters and dots, since a dot sets off the mesh")
	// BadService: a service's record is invalid.
	BadService = apperror.NewKind("catalog/bad-service",
		"have the mesh correct the record and publish anew: owner, contract, spare from 0 to 1, its pool's limits and sizes")
	// UnknownMesh: the terms do not contain the mesh.
	UnknownMesh = apperror.NewKind("catalog/unknown-mesh",
		"add the mesh to the federation's terms, or stop it from publishing here")
	// UnknownService: a name does not resolve to a service.
	UnknownService = apperror.NewKind("catalog/unknown-service",
		"correct the name, or have its mesh publish the service; `why` explains a name that was known before")
	// UnusedOverride: an override assigns a name to an owner that does not publish it.
	UnusedOverride = apperror.NewKind("catalog/idle-ruling",
		"withdraw the ruling, or have the owner publish the service; until then nobody else gets the name once it is free")
	// NameReserved: a name is still reserved for its former owner.
	NameReserved = apperror.NewKind("catalog/name-waits",
		"wait until the former holder's time is over, or rule that the new owner has the name")
	// MeshLost: a mesh has stopped publishing.
	MeshLost = apperror.NewKind("catalog/mesh-gone",
		"bring the mesh's link back before its names expire, or move their routes to other services")
	// PoolNameConflict: a pool or policy of the site has a name that the catalog needs for its own.
	PoolNameConflict = apperror.NewKind("catalog/pool-taken",
		"rename the pool or policy in the site's file: names with a mesh after a dot, and those that begin with service:, are the catalog's")
	// BadState: an encoded State is damaged.
	BadState = apperror.NewKind("catalog/bad-state", "take the state from another keeper; this text is damaged or of another build")
)
