package federation

import (
	"encoding/json"
	"slices"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
)

// Limits on terms, which bound a replica's memory.
const (
	maxMeshes     = 64
	maxOverrides  = 4096
	maxTermsBytes = 1 << 20 // size of the terms as JSON
)

// setTerms replaces the terms. It deletes the publications and losses of meshes that the new terms no longer list; the
// names of such a mesh go through tombstone and quarantine. Errors are StaleTerms and TooLarge.
func (s *State) setTerms(terms Terms) *apperror.Error {
	const place = "terms"
	if terms.Base != s.terms.Base {
		return StaleTerms.New(place, "they are based on number %d, and the active ones have number %d", terms.Base, s.terms.Base)
	}
	text, err := json.Marshal(terms)
	switch {
	case err != nil:
		return BadChange.Wrap(place, err)
	case len(terms.Meshes) > maxMeshes:
		return TooLarge.New(place, "they name %d meshes, %d at most", len(terms.Meshes), maxMeshes)
	case len(terms.Overrides) > maxOverrides:
		return TooLarge.New(place, "they have %d rulings, %d at most", len(terms.Overrides), maxOverrides)
	case len(text) > maxTermsBytes:
		return TooLarge.New(place, "they have %d bytes, %d at most", len(text), maxTermsBytes)
	}
	terms.Base++
	s.terms = terms
	s.publications = slices.DeleteFunc(slices.Clone(s.publications), func(p publication) bool { return !s.hasMesh(p.Mesh) })
	s.lost = slices.DeleteFunc(slices.Clone(s.lost), func(l catalog.Loss) bool { return !s.hasMesh(l.Mesh) })
	return nil
}
