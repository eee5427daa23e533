package endpointlist

import "example.org/micafront/internal/apperror"

// Kinds of errors. The names are logged and sent to clients.
var (
	// BadList means that discovery sent entries that cannot be used as an endpoint list.
	BadList = apperror.NewKind("roster/bad-list",
		"the committed list stays in use: check what GET /registry/instances of discovery returns, and correct the entry or list that this error names")
	// StaleChange means that a change is based on a list that is no longer current.
	StaleChange = apperror.NewKind("roster/stale-change",
		"nothing to do: another list was agreed on meanwhile, and the leader asks discovery for the whole list")
	// BadChange means that this release cannot apply a committed change.
	BadChange = apperror.NewKind("roster/bad-change",
		"run all replicas on the same release: one of another release committed a change that this release cannot apply")
	// BrokenSnapshot means that a snapshot cannot be encoded or decoded.
	BrokenSnapshot = apperror.NewKind("roster/broken-snapshot",
		"keep this replica's data folder for a report and start it on an empty one with --rejoin, while all others are up")
)
