package federation

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
)

// snapshot is the encoded form of a State. It omits the catalog, which Restore merges again from BeforeBatch and the inputs.
type snapshot struct {
	AgreedTime   time.Duration         `json:"at"`
	Terms        Terms                 `json:"terms"`
	Publications []catalog.Publication `json:"publications,omitempty"`
	Lost         []catalog.Loss        `json:"lost,omitempty"`
	BeforeBatch  json.RawMessage       `json:"before,omitempty"`
}

// Snapshot encodes the state. States that have applied the same changes encode to the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	encoded := snapshot{AgreedTime: s.agreedTime, Terms: s.terms, Publications: s.Inputs().Publications, Lost: s.lost}
	if s.beforeBatch != nil {
		text, err := json.Marshal(s.beforeBatch)
		if err != nil {
			return nil, BrokenSnapshot.Wrap("writing it", err)
		}
		encoded.BeforeBatch = text
	}
	text, err := json.Marshal(encoded)
	if err != nil {
		return nil, BrokenSnapshot.Wrap("writing it", err)
	}
	return text, nil
}

// Restore replaces the state with that of a snapshot. On a BrokenSnapshot error it leaves the state unchanged.
func (s *State) Restore(text []byte) error {
	const place = "federation"
	var decoded snapshot
	if err := json.Unmarshal(text, &decoded); err != nil {
		return BrokenSnapshot.Wrap(place, err)
	}
	restored := &State{Merger: s.Merger, agreedTime: decoded.AgreedTime, terms: decoded.Terms, lost: decoded.Lost}
	for _, p := range decoded.Publications {
		text, err := json.Marshal(p)
		if err != nil {
			return BrokenSnapshot.Wrap(place, err)
		}
		restored.publications = append(restored.publications, publication{Publication: p, digest: p.Digest(), size: len(text)})
	}
	if !restored.inOrder() {
		return BrokenSnapshot.New(place, "publications or losses are out of order")
	}
	if len(decoded.BeforeBatch) > 0 {
		restored.beforeBatch = &catalog.State{}
		if err := json.Unmarshal(decoded.BeforeBatch, restored.beforeBatch); err != nil {
			return BrokenSnapshot.Wrap(place, err)
		}
	}
	restored.merge()
	*s = *restored
	return nil
}

// inOrder reports whether publications and losses are sorted, as the binary searches require.
func (s *State) inOrder() bool {
	return slices.IsSortedFunc(s.publications, func(a, b publication) int {
		return cmp.Or(cmp.Compare(a.Mesh, b.Mesh), cmp.Compare(a.digest, b.digest))
	}) && slices.IsSortedFunc(s.lost, func(a, b catalog.Loss) int { return cmp.Compare(a.Mesh, b.Mesh) })
}
