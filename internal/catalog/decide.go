package catalog

import (
	"slices"
	"time"
)

// decideOwner decides which claimant owns a name and creates the entry of the name.
//
// An override has priority. Otherwise the current owner keeps the name, including during the tombstone and quarantine that
// follow the end of its service. Otherwise the first claimant is the new owner. A name that is reserved for the owner of an
// override, or a short name that only lost meshes claim, has no entry.
func (m *mergePass) decideOwner(d *nameDecision) {
	d.winner = nil
	d.hasEntry = false
	wasOwned := d.previous != nil && !d.previous.isFree(m.nowUS)
	var current *claimant // continues the previous entry; nil if there is none
	if wasOwned {
		current = findContinuation(d.previous, d.claimants)
	}
	override := m.overrides[d.name]
	if override != nil {
		if chosen := override.chooseClaimant(d.claimants, current); chosen != nil {
			m.setOwner(d, chosen, current, CauseOverride)
			return
		}
	}
	if current != nil {
		m.setOwner(d, current, current, causeOf(d.claimants, current))
		return
	}
	if wasOwned {
		if ended, lasts := m.expiringEntry(d); lasts {
			d.setEntry(ended, nil)
			return
		}
	}
	if override != nil {
		return // reserved for the override's owner
	}
	// A lost mesh does not obtain a free short name. Its service stays reachable by its qualified name if there is a conflict.
	if len(d.claimants) == 0 || !d.claimants[0].live && d.qualifier == "" {
		return
	}
	first := d.claimants[0]
	m.setOwner(d, first, nil, causeOf(d.claimants, first))
}

// setOwner creates the entry of a name that a claimant keeps or obtains. current is the claimant that continues the previous
// entry, or nil if there is none.
func (m *mergePass) setOwner(d *nameDecision, owner, current *claimant, cause string) {
	since := m.stateNumber
	if owner == current {
		since = d.previous.SinceState
	}
	if d.qualifier != "" {
		cause = CauseQualifiedName
	}
	d.setEntry(owner.entry(d, since, cause), owner)
}

// setEntry sets the entry of a name and the claimant that owns it. winner is nil if a former owner still holds the name.
func (d *nameDecision) setEntry(e Entry, winner *claimant) {
	d.winner = winner
	d.entry = e
	d.hasEntry = true
	if d.qualifier == "" {
		d.entry.Conflicts = d.conflictsWith(winner)
	}
}

// entry returns the entry of a name that the claimant owns. Its conflicts are not set.
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

// chooseClaimant returns the claimant that an override assigns the name to, or nil if no claimant matches. It prefers the
// current owner to the first live claimant.
func (o *Override) chooseClaimant(claimants []*claimant, current *claimant) (chosen *claimant) {
	for _, k := range claimants {
		if o.matches(k) && (k == current || k.live && chosen == nil) {
			chosen = k
		}
	}
	return chosen
}

// matches reports whether an override applies to a claimant. An override without an owner applies to its mesh's alias.
func (o *Override) matches(k *claimant) bool {
	if o.Mesh != "" && !k.isPublishedBy(o.Mesh) {
		return false
	}
	if o.Owner != "" {
		return o.Owner == k.owner
	}
	return o.Mesh != "" && k.isAlias
}

// causeOf returns the Cause constant for an owner: the first rule that sets it apart from the first other live claimant.
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

// findContinuation returns the claimant that continues a previous entry, or nil if there is none. It prefers the same service,
// published by any mesh. Otherwise it returns an update of the service: a claimant of the same owner, with a changed contract
// or an alias instead of the service, that a mesh of the entry publishes. Live claimants precede lost ones.
func findContinuation(previous *Entry, claimants []*claimant) *claimant {
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

// expiringEntry returns the entry that replaces a previous entry which no claimant continues: a tombstone, then a quarantine.
// lasts is false once the quarantine is over. The tombstone begins when the service was withdrawn, its mesh was lost, or its
// drain ended, whichever came last.
func (m *mergePass) expiringEntry(d *nameDecision) (e Entry, lasts bool) {
	e = *d.previous
	e.Conflicts = nil
	e.Providers = nil
	endUS := int64(-1)
	for _, p := range d.previous.Providers {
		if d.qualifier != "" && d.qualifier != p.Mesh {
			continue
		}
		var providerEndUS int64
		providerEndUS, p.Lost = m.endTime(p.Mesh, p.DrainBy)
		endUS = max(endUS, providerEndUS)
		e.Ended = e.Ended || !p.Lost
		e.Providers = append(e.Providers, p)
	}
	for _, mesh := range d.previous.PublishedBy {
		aliasEndUS, lost := m.endTime(mesh, 0)
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

// endTime returns the time at which a service or alias that a mesh no longer publishes ended, in microseconds of agreed time,
// and whether the mesh is lost. drainBy is the end of its drain, or 0 if it was not draining.
func (m *mergePass) endTime(mesh string, drainBy time.Duration) (endUS int64, lost bool) {
	p := m.publisherByMesh[mesh]
	drainUS := drainBy.Microseconds()
	switch {
	case p == nil: // the previous state was not made by Merge
		return m.nowUS, false
	case p.lost:
		return p.lostUS, true
	case drainBy > 0 && drainUS <= m.nowUS:
		return drainUS, false
	}
	return m.nowUS, false
}
