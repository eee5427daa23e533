package fleetconfig

import "example.org/micafront/internal/apperror"

// Kinds of errors in commands, bodies, terms and snapshots. The names are stored with answers and sent to clients.
var (
	// StaleBase means that a proposal is based on a version that is not active.
	StaleBase = apperror.NewKind("agreement/stale-base",
		"look at the version that is active now, make the change on it and propose again with its number as base")
	// AlreadyProposed means that another version is proposed.
	AlreadyProposed = apperror.NewKind("agreement/already-proposed",
		"wait until the proposed version is active, or withdraw it; GET /v1/status of a replica names the nodes that block it")
	// UnknownVersion means that a rollback names a version that is no longer kept, was withdrawn, or never existed.
	UnknownVersion = apperror.NewKind("agreement/unknown-version",
		"take a number from the control plane's list of versions; propose the body itself where its version is no longer kept")
	// BadTerms means that Terms are out of bounds.
	BadTerms = apperror.NewKind("agreement/bad-terms",
		"correct the fleet record: within from 10ms, know from within to 1h, on silence hold or serve, drift 0 to 100000 ppm")
	// BadBody means that a body, or a part of it, is missing or invalid.
	BadBody = apperror.NewKind("agreement/bad-body",
		"correct the member that is named and propose again: settings are a JSON object, routing and catalog JSON or absent")
	// TooLarge means that a body or a text is above its limit.
	TooLarge = apperror.NewKind("agreement/too-large",
		"make what is named smaller: fewer routes or names in a version, a shorter text in a command")
	// BrokenSnapshot means that a snapshot is damaged, inconsistent, or in the format of another release.
	BrokenSnapshot = apperror.NewKind("agreement/broken-snapshot",
		"keep this replica's data folder for a report and start it on an empty one with --rejoin, while all others are up")
	// NotProposed means that the version to activate or withdraw is not the proposed one.
	NotProposed = apperror.NewKind("agreement/not-proposed",
		"look at GET /v1/status of a replica: the version is active, was withdrawn, or another one waits")
	// OldIncarnation means that a later process of the node is a member.
	OldIncarnation = apperror.NewKind("agreement/old-incarnation",
		"stop the older process of the node; where both are wanted, give one of them a node name of its own")
	// BadCommand means that a command, or a name in it, is invalid.
	BadCommand = apperror.NewKind("agreement/bad-command",
		"run replicas and tools of one release: the command is not one that this replica knows")
	// OldCommand means that the command, or a later one, has already been applied.
	OldCommand = apperror.NewKind("agreement/old-command",
		"restart this replica: its log gave a command again that its state has already applied")
	// TooManyMembers means that the fleet has as many members as the state may hold.
	TooManyMembers = apperror.NewKind("agreement/too-many-members",
		"find out what joins under ever new node names, and give each proxy one name that it keeps over restarts")
	// NotMember means that the process to remove is not a member, or was added again.
	NotMember = apperror.NewKind("agreement/not-member",
		"nothing to do: the node has parted already, or has joined again since")
)

// answerKinds are the kinds of errors that a stored answer may have.
var answerKinds = []*apperror.Kind{StaleBase, AlreadyProposed, UnknownVersion, BadTerms, BadBody, TooLarge, BrokenSnapshot,
	NotProposed, OldIncarnation, BadCommand, OldCommand, TooManyMembers, NotMember}

// kindByName returns the kind with that name, or nil if there is none.
func kindByName(name string) *apperror.Kind {
	for _, k := range answerKinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}
