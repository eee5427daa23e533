package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// reportReserved adds a finding that a qualified name is still reserved for its former owner.
func (m *mergePass) reportReserved(d *nameDecision, formerOwner string) {
	m.add(NameReserved, d.qualifier, d.name, "%s's service has no name yet: %s is reserved for %s until its tombstone and "+
		"quarantine end", cmp.Or(d.claimants[0].owner, "the alias"), d.name, cmp.Or(formerOwner, "a former alias"))
}

// reportCollisions adds a finding for each name that several claimants claim or that its only claimant does not own. The golden
// responses of internal/controlplane pin the text.
func (m *mergePass) reportCollisions(next *State) {
	for i := range m.decisions {
		d := &m.decisions[i]
		if len(d.claimants) == 0 || len(d.claimants) == 1 && d.winner != nil {
			continue
		}
		owner := "nobody's yet"
		mesh := ""
		conflicts := d.conflictsWith(d.winner)
		if e := next.lookup(d.name); e != nil {
			owner = fmt.Sprintf("%s's (%s, %s)", cmp.Or(e.Owner, "an alias"), e.Status, e.Cause)
			conflicts = e.Conflicts
			if len(e.Providers) > 0 {
				mesh = e.Providers[0].Mesh
			} else if len(e.PublishedBy) > 0 {
				mesh = e.PublishedBy[0]
			}
		}
		var others []string
		for _, c := range conflicts {
			others = append(others, fmt.Sprintf("%s's of %s is known as %s", cmp.Or(c.Owner, "an alias"), c.Mesh,
				cmp.Or(c.QualifiedName, "nothing yet")))
		}
		m.add(Collision, mesh, d.name, "%s is %s; %s", d.name, owner, strings.Join(others, ", "))
	}
}

// reportUnusedOverrides adds a finding for each override that no claimant matches.
func (m *mergePass) reportUnusedOverrides() {
	for _, name := range slices.Sorted(maps.Keys(m.overrides)) {
		o := m.overrides[name]
		if d := m.decision(name); d == nil || !d.hasEntry || d.entry.Cause != CauseOverride {
			m.add(UnusedOverride, o.Mesh, name, "the terms' rulings give %s to %s, who does not publish it", name,
				strings.TrimSpace(o.Owner+" "+o.Mesh))
		}
	}
}
