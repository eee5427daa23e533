package federation

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
)

// snapshot is a State's text. The catalog is not in it, since it follows from Before and the inputs.
type snapshot struct {
	At     time.Duration         `json:"at"`
	Terms  Terms                 `json:"terms"`
	Pubs   []catalog.Publication `json:"publications,omitempty"`
	Lost   []catalog.Loss        `json:"lost,omitempty"`
	Before json.RawMessage       `json:"before,omitempty"`
}

// Snapshot writes the state; two that took the same changes write the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	n := snapshot{At: s.at, Terms: s.terms, Pubs: s.Inputs().Publications, Lost: s.lost}
	if s.before != nil {
		text, err := json.Marshal(s.before)
		if err != nil {
			return nil, BrokenSnapshot.Wrap("writing it", err)
		}
		n.Before = text
	}
	text, err := json.Marshal(n)
	if err != nil {
		return nil, BrokenSnapshot.Wrap("writing it", err)
	}
	return text, nil
}

// Restore takes a snapshot's state in place of its own. It fails with BrokenSnapshot and leaves the state alone.
func (s *State) Restore(text []byte) error {
	const place = "federation"
	var r snapshot
	if err := json.Unmarshal(text, &r); err != nil {
		return BrokenSnapshot.Wrap(place, err)
	}
	n := &State{Rules: s.Rules, at: r.At, terms: r.Terms, lost: r.Lost}
	for _, p := range r.Pubs {
		text, err := json.Marshal(p)
		if err != nil {
			return BrokenSnapshot.Wrap(place, err)
		}
		n.pubs = append(n.pubs, published{p, p.Digest(), len(text)})
	}
	if !slices.IsSortedFunc(n.pubs, func(a, b published) int {
		return cmp.Or(cmp.Compare(a.Mesh, b.Mesh), cmp.Compare(a.digest, b.digest))
	}) || !slices.IsSortedFunc(n.lost, func(a, b catalog.Loss) int { return cmp.Compare(a.Mesh, b.Mesh) }) {
		return BrokenSnapshot.New(place, "publications or losses are out of order")
	}
	if len(r.Before) > 0 {
		n.before = &catalog.State{}
		if err := json.Unmarshal(r.Before, n.before); err != nil {
			return BrokenSnapshot.Wrap(place, err)
		}
	}
	n.unify()
	*s = *n
	return nil
}
