package catalog

import (
	"cmp"
	"maps"
	"slices"
)

// entries returns the entries of all names, sorted by name. A qualified name has an entry only if a conflict, an alias or the
// previous state requires it.
func (m *mergePass) entries() []Entry {
	entries := make([]Entry, 0, len(m.decisions))
	for i := range m.decisions {
		if d := &m.decisions[i]; d.hasEntry {
			entries = append(entries, d.entry)
		}
	}
	qualified := m.qualifiedNames()
	for _, name := range slices.Sorted(maps.Keys(qualified)) {
		if e, ok := m.qualifiedEntry(name, qualified[name]); ok {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	m.correctConflicts(&State{Entries: entries})
	return entries
}

// qualifiedNames returns the qualified names that need an entry, with their entries in the previous state or nil.
func (m *mergePass) qualifiedNames() map[string]*Entry {
	names := map[string]*Entry{}
	for i := range m.previous.Entries {
		e := &m.previous.Entries[i]
		if _, qualifier := splitName(e.Name); qualifier != "" {
			names[e.Name] = e
		}
	}
	add := func(name string) {
		if _, ok := names[name]; !ok {
			names[name] = nil
		}
	}
	for i := range m.decisions {
		d := &m.decisions[i]
		for _, k := range d.claimants {
			for _, c := range k.claims {
				if len(d.claimants) > 1 || d.winner == nil {
					add(qualify(d.name, c.publisher.name()))
				}
				if c.service != nil {
					continue
				}
				target := m.aliasTarget(c)
				if _, qualifier := splitName(target); qualifier != "" {
					add(target)
				}
			}
		}
	}
	return names
}

// correctConflicts clears the qualified name of a conflict if a former owner still holds that name, and drops the conflicts of
// lost meshes that have no qualified name.
func (m *mergePass) correctConflicts(s *State) {
	hasQualifiedName := func(c Conflict) bool {
		e := s.lookup(c.QualifiedName)
		return e != nil && !e.Ended && e.Owner == c.Owner
	}
	for i := range s.Entries {
		e := &s.Entries[i]
		e.Conflicts = slices.DeleteFunc(e.Conflicts, func(c Conflict) bool {
			return !hasQualifiedName(c) && m.publisherByMesh[c.Mesh].lost
		})
		for j := range e.Conflicts {
			if c := &e.Conflicts[j]; !hasQualifiedName(*c) {
				c.QualifiedName = ""
			}
		}
	}
}

// qualifiedEntry creates the entry of a qualified name. It resolves to the service or alias that its mesh publishes under the
// short name, and it passes through tombstone and quarantine like any other name.
func (m *mergePass) qualifiedEntry(name string, previous *Entry) (e Entry, ok bool) {
	short, mesh := splitName(name)
	d := nameDecision{name: name, qualifier: mesh, previous: previous}
	if shortDecision := m.decision(short); shortDecision != nil {
		for _, k := range shortDecision.claimants {
			if k.isPublishedBy(mesh) {
				d.claimants = []*claimant{k}
			}
		}
		// If a former owner still holds the short name and the mesh was its provider, the former owner's pool uses this qualified
		// name.
		former := &shortDecision.entry
		formerLasts := shortDecision.hasEntry && shortDecision.winner == nil
		if previous == nil && formerLasts && len(d.claimants) > 0 && former.Owner != d.claimants[0].owner && former.isProvidedBy(mesh) {
			m.reportReserved(&d, former.Owner)
			return Entry{}, false
		}
	}
	m.decideOwner(&d)
	if d.winner == nil && len(d.claimants) > 0 {
		m.reportReserved(&d, previous.Owner)
	}
	if d.hasEntry && d.winner != nil && d.winner.isAlias {
		own := slices.IndexFunc(d.winner.claims, func(c *claim) bool { return c.publisher.name() == mesh })
		d.entry.AliasOf = m.aliasTarget(d.winner.claims[own])
	}
	return d.entry, d.hasEntry
}
