package federation

import (
	"encoding/json"
	"slices"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
)

// ReplicatedState is the interface of State for the replicated state machine. The same changes result in byte-identical
// snapshots.
type ReplicatedState interface {
	// Apply applies a committed change. It returns an error with a kind and a resolution for a malformed change, an
	// unknown mesh, stale terms, terms or a publication that are too large, and a publication that is outdated or
	// contradicts an accepted one. Parts of a publication that the catalog's rules reject are reported in Findings
	// instead.
	Apply(c Change) error
	// AgreedTime returns the agreed time of the latest change. It never decreases.
	AgreedTime() time.Duration
	// Catalog returns the merged catalog, or nil if the federation has no meshes.
	Catalog() *catalog.State
	// Findings returns the problems that the catalog's rules found in the current inputs.
	Findings() []catalog.Finding
	// Terms returns the active terms, with their own number as Base.
	Terms() Terms
	// Inputs returns the inputs from which the catalog is merged.
	Inputs() catalog.Inputs
	// NextDue returns the next agreed time at which the catalog changes without a change of its inputs, such as the end of
	// a tombstone, or 0 if there is none.
	NextDue() time.Duration
	// EncodedCatalog returns the catalog as it is encoded into a version, and its digest. It returns nil and "" if there is
	// no catalog. The encoding depends only on the catalog's meaning, not on the time at which the meaning was last
	// confirmed.
	EncodedCatalog() (text json.RawMessage, digest string)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot. On an error it leaves the state unchanged.
	Restore(snapshot []byte) error
}

// State is the replicated state of a federation. Use NewState to create one; the zero value is not usable.
//
// Changes with the same agreed time form a batch: the catalog is merged from the catalog before the batch and all inputs
// at the end of the batch. The order of changes within a batch therefore does not matter. Otherwise it would decide which
// mesh owns a name that two meshes publish at the same time.
type State struct {
	// Merger merges the inputs into a catalog. Tests replace it.
	Merger catalog.Merger

	agreedTime   time.Duration
	terms        Terms
	publications []publication     // sorted by mesh, then digest
	lost         []catalog.Loss    // sorted by mesh
	beforeBatch  *catalog.State    // the catalog before the current batch, whose time is agreedTime; nil: there was none
	catalog      *catalog.State    // nil: the federation has no meshes
	findings     []catalog.Finding // of the latest merge
	text         json.RawMessage   // catalog, encoded; nil until EncodedCatalog is called
	digest       string            // SHA-256 of text, in hexadecimal
}

var _ ReplicatedState = (*State)(nil)

// NewState returns the State of a federation without meshes.
func NewState() *State { return &State{Merger: catalog.Rules{}} }

// Apply applies a committed change. A rejected change leaves the state unchanged, including its agreed time.
func (s *State) Apply(c Change) error {
	if variants := c.variants(); variants != 1 {
		return BadChange.New("change", "it has %d members beside its time, not one", variants)
	}
	next := *s // a shallow copy suffices: changes replace slices and never modify them
	next.agreedTime = max(s.agreedTime, c.At)
	beginsBatch := next.agreedTime > s.agreedTime
	if beginsBatch {
		next.beforeBatch = s.catalog
	}
	changed, err := next.applyVariant(&c)
	if err != nil {
		return err
	}
	if changed || beginsBatch {
		next.merge()
	}
	*s = next
	return nil
}

// applyVariant applies the field of a change that is set, and reports whether the catalog's inputs may have changed.
func (s *State) applyVariant(c *Change) (changed bool, err *apperror.Error) {
	switch {
	case c.Publish != nil:
		return s.publish(*c.Publish)
	case c.Terms != nil:
		return true, s.setTerms(*c.Terms)
	case c.MarkLost != "":
		return s.markLost(c.MarkLost)
	case c.MarkReturned != "":
		return s.markReturned(c.MarkReturned)
	}
	return true, nil // a Tick
}

// merge merges the catalog of the current batch. It keeps the encoded text if the catalog's meaning is unchanged.
func (s *State) merge() {
	if len(s.terms.Meshes) == 0 && s.beforeBatch == nil {
		s.catalog = nil
		s.findings = nil
		s.text = nil
		s.digest = ""
		return
	}
	next, findings := s.Merger.Merge(s.beforeBatch, s.Inputs(), s.agreedTime)
	if s.beforeBatch != nil && next.Number == s.beforeBatch.Number {
		next = s.beforeBatch // the two are equal, so one copy is enough
	}
	if s.catalog != next && !s.catalog.SameMeaning(next) {
		s.text = nil // EncodedCatalog encodes it again
		s.digest = ""
	}
	s.catalog = next
	s.findings = findings
}

// AgreedTime returns the agreed time of the latest change.
func (s *State) AgreedTime() time.Duration { return s.agreedTime }

// Catalog returns the merged catalog, or nil if the federation has no meshes. The caller must not modify it.
func (s *State) Catalog() *catalog.State { return s.catalog }

// Findings returns the findings of the latest merge. The caller must not modify them.
func (s *State) Findings() []catalog.Finding { return s.findings }

// Terms returns the active terms, with their own number as Base. The caller must not modify them.
func (s *State) Terms() Terms { return s.terms }

// Inputs returns the inputs from which the catalog is merged. The caller must not modify them.
func (s *State) Inputs() catalog.Inputs {
	inputs := catalog.Inputs{Meshes: s.terms.Meshes, Overrides: s.terms.Overrides, Lost: s.lost}
	for i := range s.publications {
		inputs.Publications = append(inputs.Publications, s.publications[i].Publication)
	}
	return inputs
}

// NextDue returns the next agreed time at which the catalog changes without a change of its inputs, or 0 if there is none.
func (s *State) NextDue() time.Duration {
	if s.catalog == nil {
		return 0
	}
	var due time.Duration
	consider := func(at time.Duration) { // keeps the earliest time after agreedTime
		if at > s.agreedTime && (due == 0 || at < due) {
			due = at
		}
	}
	for i := range s.catalog.Entries {
		entry := &s.catalog.Entries[i]
		consider(time.Duration(entry.UntilUS) * time.Microsecond)
		for j := range entry.Providers {
			consider(entry.Providers[j].DrainBy)
		}
	}
	for i := range s.catalog.Meshes {
		if mesh := &s.catalog.Meshes[i]; mesh.Lost {
			consider(time.Duration(mesh.LostSinceUS)*time.Microsecond + catalog.TombstoneDuration)
		}
	}
	return due
}

// hasMesh reports whether the terms list a mesh.
func (s *State) hasMesh(mesh string) bool {
	return slices.ContainsFunc(s.terms.Meshes, func(m catalog.Mesh) bool { return m.Name == mesh })
}
