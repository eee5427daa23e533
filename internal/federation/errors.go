package federation

import "example.org/micafront/internal/remedy"

// What can be wrong with a change, beside what the catalog says of publications.
var (
	StaleTerms = remedy.NewKind("federation/stale-terms",
		"look at the terms in force (GET /v1/terms), make the change on them and post them with their number as base")
	TooLarge = remedy.NewKind("federation/too-large",
		"make what is named smaller: fewer meshes or rulings, fewer services or shorter lists in a publication")
	BadChange = remedy.NewKind("federation/bad-change",
		"run keepers and tools of one release: the change is not one that this keeper knows")
	BrokenSnapshot = remedy.NewKind("federation/broken-snapshot",
		"keep this keeper's data folder for a report and start it on an empty one with --rejoin, while all others are up")
)
