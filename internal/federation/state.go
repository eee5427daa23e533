package federation

import (
	"encoding/json"
	"slices"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
)

// ReplicatedState is the interface of State to the replicated state machine. The same changes give the same state to the
// byte.
type ReplicatedState interface {
	// Apply applies a committed change. Its errors have a kind and a resolution: an unknown mesh, stale terms, a
	// publication that is outdated or too large. What the catalog's rules reject of a publication is no error but one of
	// Findings.
	Apply(c Change) error
	// AgreedTime is the time of the latest change. It never goes back.
	AgreedTime() time.Duration
	// Catalog is the merged catalog; nil where the federation has no meshes.
	Catalog() *catalog.State
	// Findings are what the catalog's rules have found wrong with the current inputs.
	Findings() []catalog.Finding
	// Terms are the active terms, with their own number as Base.
	Terms() Terms
	// Inputs are everything that the catalog follows from.
	Inputs() catalog.Inputs
	// NextDue is the agreed time at which the catalog next changes by the passage of time alone, such as when a tombstone
	// ends; 0: it does not.
	NextDue() time.Duration
	// EncodedCatalog is the catalog as it is encoded into a version, and its digest; nil where there is none. It depends on the
	// catalog's meaning alone, not on when that was last confirmed.
	EncodedCatalog() (text json.RawMessage, digest string)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot. On an error the state is left as it was.
	Restore(snapshot []byte) error
}

// State is the replicated state of a federation. NewState makes one; the zero value is not usable.
//
// Changes with the same agreed time form one batch: the catalog is merged from the state before the batch and all inputs
// known at its end. The order of changes within a batch therefore does not matter, which would otherwise decide who owns a
// name that two meshes publish at once.
type State struct {
	// Merger merges the publications. Tests replace it.
	Merger catalog.Merger

	agreedTime   time.Duration
	terms        Terms
	publications []publication     // by mesh, then digest
	lost         []catalog.Loss    // by mesh
	beforeBatch  *catalog.State    // the catalog before the batch at agreedTime; nil: there was none
	catalog      *catalog.State    // nil: the federation has no meshes
	findings     []catalog.Finding // of the latest merge
	text         json.RawMessage   // of catalog; nil until Text is called
	digest       string            // of text
}

var _ ReplicatedState = (*State)(nil)

// NewState makes the State of a federation without meshes.
func NewState() *State { return &State{Merger: catalog.Rules{}} }

// Apply applies a committed change. One that is rejected changes nothing, agreed time included.
func (s *State) Apply(c Change) error {
	if variants := c.variants(); variants != 1 {
		return BadChange.New("change", "it has %d members beside its time, not one", variants)
	}
	next := *s // changes replace slices and never write into them
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

// applyVariant applies the one part of a change that is set, and reports whether the catalog's inputs may have changed.
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

// merge makes the catalog of the current batch. Its text is kept where its meaning is the same.
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
		next = s.beforeBatch // they are equal, so one copy is enough
	}
	if s.catalog != next && !s.catalog.SameMeaning(next) {
		s.text = nil // encoded by Text
		s.digest = ""
	}
	s.catalog = next
	s.findings = findings
}

// AgreedTime returns the time of the latest change.
func (s *State) AgreedTime() time.Duration { return s.agreedTime }

// Catalog returns the merged catalog; nil where the federation has no meshes. It must not be changed.
func (s *State) Catalog() *catalog.State { return s.catalog }

// Findings returns the findings of the latest merge. They must not be changed.
func (s *State) Findings() []catalog.Finding { return s.findings }

// Terms returns the active terms, with their own number as Base. They must not be changed.
func (s *State) Terms() Terms { return s.terms }

// Inputs returns everything that the catalog follows from. They must not be changed.
func (s *State) Inputs() catalog.Inputs {
	inputs := catalog.Inputs{Meshes: s.terms.Meshes, Overrides: s.terms.Overrides, Lost: s.lost}
	for i := range s.publications {
		inputs.Publications = append(inputs.Publications, s.publications[i].Publication)
	}
	return inputs
}

// NextDue returns the agreed time at which the catalog next changes by the passage of time alone; 0: it does not.
func (s *State) NextDue() time.Duration {
	if s.catalog == nil {
		return 0
	}
	var due time.Duration
	consider := func(at time.Duration) { // keeps the earliest time that is still to come
		if at > s.agreedTime && (due == 0 || at < due) {
			due = at
		}
	}
	for i := range s.catalog.Entries {
		entry := &s.catalog.Entries[i]
		consider(time.Duration(entry.Until) * time.Microsecond)
		for j := range entry.Providers {
			consider(entry.Providers[j].DrainBy)
		}
	}
	for i := range s.catalog.Meshes {
		if mesh := &s.catalog.Meshes[i]; mesh.Lost {
			consider(time.Duration(mesh.Since)*time.Microsecond + catalog.Tombstone)
		}
	}
	return due
}

// hasMesh reports whether the terms name a mesh.
func (s *State) hasMesh(mesh string) bool {
	return slices.ContainsFunc(s.terms.Meshes, func(m catalog.Mesh) bool { return m.Name == mesh })
}
