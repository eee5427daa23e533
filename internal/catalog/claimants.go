package catalog

import (
	"cmp"
	"slices"
)

// claimant is a service or an alias target, with the claims of all meshes that publish it under the same name.
type claimant struct {
	claims     []*claim // sorted by mesh
	owner      string
	contract   string
	isAlias    bool
	target     string // of an alias: the name that it refers to
	precedence int    // the highest of its meshes; lost meshes are considered only if all are lost
	firstMesh  string // the first mesh with that precedence, by name
	live       bool   // at least one of its meshes is not lost
	providers  []Provider
}

// claimantBlock is the number of claimants that are allocated at once.
const claimantBlock = 1024

// compareClaimants orders the claimants of a free name by precedence of exports, then by mesh name. A mesh claims a name only
// once, so the remaining fields merely make the order total.
func compareClaimants(a, b *claimant) int {
	return cmp.Or(
		cmp.Compare(b.precedence, a.precedence),
		cmp.Compare(a.firstMesh, b.firstMesh),
		cmp.Compare(a.owner, b.owner),
		cmp.Compare(a.contract, b.contract),
		cmp.Compare(a.target, b.target))
}

// hasSameTarget reports whether two claimants are the same service, or aliases with the same target.
func (k *claimant) hasSameTarget(other *claimant) bool {
	if k.isAlias != other.isAlias || k.target != other.target {
		return false
	}
	return k.isAlias || k.owner == other.owner && k.contract == other.contract
}

// isPublishedBy reports whether a mesh is one of the claimant's publishers.
func (k *claimant) isPublishedBy(mesh string) bool {
	return slices.ContainsFunc(k.claims, func(c *claim) bool { return c.publisher.name() == mesh })
}

// deriveFields sets the fields that are computed from the claims.
func (k *claimant) deriveFields() {
	k.live = slices.ContainsFunc(k.claims, func(c *claim) bool { return !c.publisher.lost })
	hasPrecedence := false
	for _, c := range k.claims {
		precedence := c.publisher.terms.Precedence
		counts := !c.publisher.lost || !k.live
		if counts && (!hasPrecedence || precedence > k.precedence) {
			hasPrecedence = true
			k.precedence = precedence
			k.firstMesh = c.publisher.name()
		}
		if c.owner != "" {
			k.owner = c.owner
		}
		if c.service != nil {
			k.providers = append(k.providers, newProvider(c))
		}
	}
}

// status returns the status of a name that the claimant owns, and the end of that status in microseconds of agreed time, or
// 0 if time alone does not end it. For a qualified name, only the claim of the mesh in qualifier is considered; qualifier is
// "" for a short name.
func (k *claimant) status(qualifier string) (status string, untilUS int64) {
	var drainUS, lostUS int64 // the latest end of a drain and of a tombstone
	draining := false
	for _, c := range k.claims {
		switch {
		case qualifier != "" && qualifier != c.publisher.name():
		case c.publisher.lost:
			lostUS = max(lostUS, c.publisher.lostUS+tombstoneUS)
		case c.service == nil || c.service.DrainBy == 0:
			return StatusHeld, 0
		default:
			draining = true
			drainUS = max(drainUS, c.service.DrainBy.Microseconds())
		}
	}
	if draining {
		return StatusDraining, drainUS
	}
	return StatusTombstone, lostUS
}

// newProvider returns the provider for a claim's service. Names of pools are local to their mesh, so the pool is renamed to
// the service's qualified name and its former names are dropped.
func newProvider(c *claim) Provider {
	s := c.service
	p := Provider{
		Mesh:             c.publisher.name(),
		Zones:            s.Zones,
		Class:            s.Class,
		LatencyObjective: s.LatencyObjective,
		SpareCapacity:    s.SpareCapacity,
		Pool:             s.Pool,
		Origin:           s.Origin,
		Via:              s.Via,
		Lost:             c.publisher.lost,
		DrainBy:          s.DrainBy,
	}
	p.Pool.Name = qualify(c.name, p.Mesh)
	p.Pool.FormerNames = nil
	return p
}

// groupClaims groups the claims on a name into claimants, one for each service or alias target.
func (m *mergePass) groupClaims(d *nameDecision) {
	d.claimants = d.claimants[:0]
	for i, c := range d.claims {
		if c.rejected {
			continue
		}
		k := claimant{owner: c.owner}
		if c.service != nil {
			k.contract = c.service.Contract
		} else {
			k.isAlias = true
			k.target = m.aliasTarget(c)
		}
		if j := slices.IndexFunc(d.claimants, k.hasSameTarget); j >= 0 {
			d.claimants[j].claims = append(d.claimants[j].claims, c)
			continue
		}
		k.claims = d.claims[i : i+1 : i+1]
		d.claimants = append(d.claimants, m.newClaimant(k))
	}
	for _, k := range d.claimants {
		k.deriveFields()
	}
	if len(d.claimants) < 2 {
		return
	}
	slices.SortFunc(d.claimants, func(a, b *claimant) int {
		return cmp.Or(compareBool(!a.live, !b.live), m.compare(a, b))
	})
}

// newClaimant stores a claimant in a block of claimantBlock, which saves allocations: there are about as many claimants as
// names.
func (m *mergePass) newClaimant(k claimant) *claimant {
	if len(m.claimantStorage) == cap(m.claimantStorage) {
		m.claimantStorage = make([]claimant, 0, claimantBlock)
	}
	m.claimantStorage = append(m.claimantStorage, k)
	return &m.claimantStorage[len(m.claimantStorage)-1]
}

// conflictsWith returns the claims on a short name that do not belong to the winner.
func (d *nameDecision) conflictsWith(winner *claimant) (conflicts []Conflict) {
	for _, k := range d.claimants {
		if k == winner {
			continue
		}
		for _, c := range k.claims {
			mesh := c.publisher.name()
			conflicts = append(conflicts, Conflict{Mesh: mesh, Owner: k.owner, QualifiedName: qualify(d.name, mesh)})
		}
	}
	return conflicts
}
