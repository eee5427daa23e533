package catalog

import (
	"slices"
	"time"
)

// decide decides who owns a name and makes its entry.
//
// An override comes first; then the current owner keeps the name, for as long as its times last after its service ended;
// then the first claimant gets it. A name that is reserved for an override's owner, and one that only lost meshes claim, gets
// no entry.
func (m *mergePass) decide(d *nameDecision) {
	d.winner = nil
	d.hasEntry = false
	wasOwned := d.previous != nil && !d.previous.isFree(m.nowUS)
	var current *claimant // continues the previous entry; nil: none does
	if wasOwned {
		current = continuationOf(d.previous, d.claimants)
	}
	override := m.overrides[d.name]
	if override != nil {
		if chosen := override.choose(d.claimants, current); chosen != nil {
			m.setOwner(d, chosen, current, CauseOverride)
			return
		}
	}
	if current != nil {
		m.setOwner(d, current, current, causeOf(d.claimants, current))
		return
	}
	if wasOwned {
		if ended, lasts := m.endedEntry(d); lasts {
			d.setEntry(ended, nil)
			return
		}
	}
	if override != nil {
		return // reserved for the override's owner
	}
	// A lost mesh gets no free short name. A conflict still makes its service known by the qualified one.
	if len(d.claimants) == 0 || !d.claimants[0].live && d.qualifier == "" {
		return
	}
	first := d.claimants[0]
	m.setOwner(d, first, nil, causeOf(d.claimants, first))
}

// setOwner makes the entry of a name that a claimant keeps or gets. current is the one that continues the previous entry; nil:
// none does.
func (m *mergePass) setOwner(d *nameDecision, owner, current *claimant, cause string) {
	since := m.number
	if owner == current {
		since = d.previous.SinceState
	}
	if d.qualifier != "" {
		cause = CauseQualifiedName
	}
	d.setEntry(owner.entry(d, since, cause), owner)
}

// setEntry sets the entry of a name and the claimant that has won it; nil: a former owner keeps it.
func (d *nameDecision) setEntry(e Entry, winner *claimant) {
	d.winner = winner
	d.entry = e
	d.hasEntry = true
	if d.qualifier == "" {
		d.entry.Conflicts = d.conflictsWith(winner)
	}
}

// entry returns the entry of a name that the claimant owns, without conflicts.
func (k *claimant) entry(d *nameDecision, since uint64, cause string) Entry {
	e := Entry{
		Name:       d.name,
		Owner:      k.owner,
		Contract:   k.contract,
		Providers:  k.providers,
		SinceState: since,
		AliasOf:    k.target,
		Cause:      cause,
	}
	e.Status, e.UntilUS = k.status(d.qualifier)
	if k.isAlias {
		for _, c := range k.claims {
			e.PublishedBy = append(e.PublishedBy, c.publisher.name())
		}
	}
	return e
}

// choose returns the claimant that an override gives a name to; nil where there is none. The current owner comes before the
// others, of which the first live one is chosen.
func (o *Override) choose(claimants []*claimant, current *claimant) (chosen *claimant) {
	for _, k := range claimants {
		if o.matches(k) && (k == current || k.live && chosen == nil) {
			chosen = k
		}
	}
	return chosen
}

// matches reports whether an override is for a claimant. One without an owner is for its mesh's alias.
func (o *Override) matches(k *claimant) bool {
	if o.Mesh != "" && !k.includes(o.Mesh) {
		return false
	}
	if o.Owner != "" {
		return o.Owner == k.owner
	}
	return o.Mesh != "" && k.isAlias
}

// causeOf returns the Cause constant that says why an owner has a name, compared with the first other live claimant.
func causeOf(claimants []*claimant, owner *claimant) string {
	other := slices.IndexFunc(claimants, func(k *claimant) bool { return k != owner && k.live })
	switch {
	case other < 0:
		return CauseSoleClaimant
	case claimants[0] != owner:
		return CauseCurrentOwner
	case claimants[other].precedence != owner.precedence:
		return CausePrecedence
	case claimants[other].firstMesh != owner.firstMesh:
		return CauseMeshName
	}
	return CauseOwnerName
}

// continuationOf returns the claimant that continues a previous entry; nil where there is none. It is the same service, whichever
// mesh publishes it; else what a mesh of the entry now publishes for the same owner, which is an update of the service (a
// changed contract, or an alias in its place). Live claimants precede lost ones.
func continuationOf(previous *Entry, claimants []*claimant) *claimant {
	wasPublished := func(c *claim) bool {
		mesh := c.publisher.name()
		return slices.Contains(previous.PublishedBy, mesh) || previous.isProvidedBy(mesh)
	}
	for _, live := range []bool{true, false} {
		for _, k := range claimants {
			if k.live == live && previous.AliasOf == "" && !k.isAlias && k.owner == previous.Owner && k.contract == previous.Contract {
				return k
			}
		}
		for _, k := range claimants {
			sameOwner := k.owner != "" && k.owner == previous.Owner || k.isAlias && previous.AliasOf != ""
			if k.live == live && sameOwner && slices.ContainsFunc(k.claims, wasPublished) {
				return k
			}
		}
	}
	return nil
}

// endedEntry returns what becomes of a previous entry that nobody continues: a tombstone, then quarantine. After that it does
// not last. Its times count from when it was withdrawn, its mesh was lost, or its drain ended, whichever came last.
func (m *mergePass) endedEntry(d *nameDecision) (e Entry, lasts bool) {
	e = *d.previous
	e.Conflicts = nil
	e.Providers = nil
	endUS := int64(-1)
	for _, p := range d.previous.Providers {
		if d.qualifier != "" && d.qualifier != p.Mesh {
			continue
		}
		var providerEndUS int64
		providerEndUS, p.Lost = m.endOf(p.Mesh, p.DrainBy)
		endUS = max(endUS, providerEndUS)
		e.Ended = e.Ended || !p.Lost
		e.Providers = append(e.Providers, p)
	}
	for _, mesh := range d.previous.PublishedBy {
		aliasEndUS, lost := m.endOf(mesh, 0)
		endUS = max(endUS, aliasEndUS)
		e.Ended = e.Ended || !lost
	}
	switch d.previous.Status {
	case StatusTombstone:
		endUS = d.previous.UntilUS - tombstoneUS
	case StatusQuarantine:
		endUS = d.previous.UntilUS - tombstoneUS - quarantineUS
	}
	switch {
	case m.nowUS < endUS+tombstoneUS:
		e.Status = StatusTombstone
		e.UntilUS = endUS + tombstoneUS
	case m.nowUS < endUS+tombstoneUS+quarantineUS:
		e.Status = StatusQuarantine
		e.UntilUS = endUS + tombstoneUS + quarantineUS
	default:
		return e, false
	}
	return e, true
}

// endOf returns when a mesh ended a service or alias that it no longer publishes, in microseconds of agreed time, and whether
// the mesh is lost. drainBy 0: it was not draining.
func (m *mergePass) endOf(mesh string, drainBy time.Duration) (endUS int64, lost bool) {
	p := m.byName[mesh]
	drainUS := drainBy.Microseconds()
	switch {
	case p == nil: // a state that Merge did not make
		return m.nowUS, false
	case p.lost:
		return p.lostUS, true
	case drainBy > 0 && drainUS <= m.nowUS:
		return drainUS, false
	}
	return m.nowUS, false
}
