package federation

import (
	"fmt"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
)

// Kinds of errors of this package. Publications can also fail with kinds of internal/catalog.
var (
	// StaleTerms means that the terms are not based on the active ones.
	StaleTerms = apperror.NewKind("federation/stale-terms",
		"look at the active terms (GET /v1/terms), make the change on them and post them with their number as base")
	// TooLarge means that terms or publications exceed a size limit.
	TooLarge = apperror.NewKind("federation/too-large",
		"make what is named smaller: fewer meshes or overrides, fewer services or shorter lists in a publication")
	// BadChange means that this release does not support the change.
	BadChange = apperror.NewKind("federation/bad-change",
		"run replicas and tools of one release: the change is not one that this replica knows")
	// BrokenSnapshot means that a snapshot cannot be encoded or decoded.
	BrokenSnapshot = apperror.NewKind("federation/broken-snapshot",
		"keep this replica's data folder for a report and start it on an empty one with --rejoin, while all others are up")
)

// unknownMesh returns the error for a change that concerns a mesh not listed in the terms.
func unknownMesh(mesh string) *apperror.Error {
	return catalog.UnknownMesh.New(fmt.Sprintf("mesh %.140q", mesh), "the federation's terms do not name it")
}
