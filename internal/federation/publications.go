package federation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
)

// Limits on publications. They bound a replica's memory, and ensure that all publications fit into a version's body.
const (
	// MaxPublicationBytes is the maximum size of one publication, in bytes of JSON.
	MaxPublicationBytes = 2 << 20
	// maxAllPublicationsBytes is the maximum size of all publications together, in bytes of JSON.
	maxAllPublicationsBytes = 24 << 20
	// maxContradictions is the maximum number of publications that are kept for one mesh, epoch and sequence number with
	// different contents. Two are enough, because the catalog accepts none of them if there are several.
	maxContradictions = 2
)

// publication is the latest publication of a mesh, or one of several with the same number and different contents.
type publication struct {
	catalog.Publication
	digest string
	size   int // bytes of JSON
}

// publicationRange returns the half-open index range of a mesh's publications in s.publications.
func (s *State) publicationRange(mesh string) (from, to int) {
	from, _ = slices.BinarySearchFunc(s.publications, mesh, func(p publication, mesh string) int { return cmp.Compare(p.Mesh, mesh) })
	for to = from; to < len(s.publications) && s.publications[to].Mesh == mesh; to++ {
	}
	return from, to
}

// publish stores a publication, and reports whether it was not stored already. Errors are UnknownMesh,
// OutdatedPublication and Contradiction of internal/catalog, and TooLarge.
func (s *State) publish(p catalog.Publication) (changed bool, err *apperror.Error) {
	if !s.hasMesh(p.Mesh) {
		return false, unknownMesh(p.Mesh)
	}
	place := fmt.Sprintf("publication %d.%d of mesh %.140q", p.Epoch, p.Seq, p.Mesh)
	from, to := s.publicationRange(p.Mesh)
	added := publication{Publication: p, digest: p.Digest()}
	kept := s.publications[from:to] // publications with the same number
	if len(kept) > 0 {
		latest := kept[0]
		switch order := cmp.Or(cmp.Compare(p.Epoch, latest.Epoch), cmp.Compare(p.Seq, latest.Seq)); {
		case order < 0:
			return false, catalog.OutdatedPublication.New(place, "it is older than %d.%d, which was accepted before", latest.Epoch, latest.Seq)
		case order > 0:
			kept = nil
		case slices.ContainsFunc(kept, func(q publication) bool { return q.digest == added.digest }):
			return false, nil
		case s.acceptedBeforeBatch(p) || len(kept) == maxContradictions:
			return false, catalog.Contradiction.New(place, "its contents differ from those accepted under this number")
		}
	}
	if added.size, err = s.checkSize(place, p, from, to); err != nil {
		return false, err
	}
	replacement := slices.Clone(kept)
	index, _ := slices.BinarySearchFunc(replacement, added.digest, func(p publication, d string) int { return cmp.Compare(p.digest, d) })
	replacement = slices.Insert(replacement, index, added)
	s.publications = slices.Replace(slices.Clone(s.publications), from, to, replacement...)
	return true, nil
}

// checkSize returns the size, in bytes of JSON, of a publication that replaces s.publications[from:to]. It returns a
// TooLarge error if the publication, or all publications together, exceed their limit.
func (s *State) checkSize(place string, p catalog.Publication, from, to int) (size int, err *apperror.Error) {
	text, encodeErr := json.Marshal(p)
	if encodeErr != nil {
		return 0, BadChange.Wrap(place, encodeErr)
	}
	size = len(text)
	if size > MaxPublicationBytes {
		return 0, TooLarge.New(place, "it has %d bytes, %d at most", size, MaxPublicationBytes)
	}
	total := size
	for i := range s.publications {
		if i < from || i >= to {
			total += s.publications[i].size
		}
	}
	if total > maxAllPublicationsBytes {
		return 0, TooLarge.New(place, "the publications of all meshes have %d bytes with it, %d at most", total, maxAllPublicationsBytes)
	}
	return size, nil
}

// acceptedBeforeBatch reports whether a publication with the same number was accepted in an earlier batch. Different
// contents that arrive later under that number are rejected, because they cannot join the earlier batch.
func (s *State) acceptedBeforeBatch(p catalog.Publication) bool {
	return s.beforeBatch != nil && slices.ContainsFunc(s.beforeBatch.Meshes, func(a catalog.AcceptedPublication) bool {
		return a.Mesh == p.Mesh && a.Digest != "" && a.Epoch == p.Epoch && a.Seq == p.Seq
	})
}
