package catalog

import (
	"cmp"
	"slices"
)

// claimant is a service, or the target of an alias, with all claims of meshes that publish it under a name.
type claimant struct {
	claims     []*claim // by mesh
	owner      string
	contract   string
	isAlias    bool
	target     string // of an alias: the name that it is for
	precedence int    // the highest of its meshes; lost ones count only where all are lost
	firstMesh  string // the first mesh of that precedence, by name
	live       bool   // at least one of its meshes is not lost
	providers  []Provider
}

// claimantBlock is how many claimants are allocated at once.
const claimantBlock = 1024

// compareClaimants orders claimants of a free name: by precedence of exports, then by mesh name, then by owner. A mesh claims
// a name only once, so what follows merely completes the order.
func compareClaimants(a, b *claimant) int {
	return cmp.Or(
		cmp.Compare(b.precedence, a.precedence),
		cmp.Compare(a.firstMesh, b.firstMesh),
		cmp.Compare(a.owner, b.owner),
		cmp.Compare(a.contract, b.contract),
		cmp.Compare(a.target, b.target))
}

// isSame reports whether two claims are for the same service or target.
func (k *claimant) isSame(other *claimant) bool {
	if k.isAlias != other.isAlias || k.target != other.target {
		return false
	}
	return k.isAlias || k.owner == other.owner && k.contract == other.contract
}

// includes reports whether a mesh is one of those that publish it.
func (k *claimant) includes(mesh string) bool {
	return slices.ContainsFunc(k.claims, func(c *claim) bool { return c.publisher.name() == mesh })
}

// summarize derives the fields that follow from the claims.
func (k *claimant) summarize() {
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

// status returns the status of a name that the claimant owns, and when it ends, in microseconds of agreed time; 0: not by
// time alone. That of a qualified name follows from its own mesh alone; qualifier "": a short name.
func (k *claimant) status(qualifier string) (status string, untilUS int64) {
	var drainUS, lostUS int64 // ends of drains, and of tombstones
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

// newProvider returns the provider that a claim's service becomes. Its pool is named by the service's qualified name, since names
// of pools are local to their mesh; for the same reason the pool's former names are left out.
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

// groupClaims makes the claimants of a name: claims for the same service or target are one.
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
		if j := slices.IndexFunc(d.claimants, k.isSame); j >= 0 {
			d.claimants[j].claims = append(d.claimants[j].claims, c)
			continue
		}
		k.claims = d.claims[i : i+1 : i+1]
		d.claimants = append(d.claimants, m.store(k))
	}
	for _, k := range d.claimants {
		k.summarize()
	}
	if len(d.claimants) < 2 {
		return
	}
	slices.SortFunc(d.claimants, func(a, b *claimant) int {
		return cmp.Or(compareBool(!a.live, !b.live), m.compare(a, b))
	})
}

// store allocates a claimant in a block, since there are about as many as names.
func (m *mergePass) store(k claimant) *claimant {
	if len(m.claimants) == cap(m.claimants) {
		m.claimants = make([]claimant, 0, claimantBlock)
	}
	m.claimants = append(m.claimants, k)
	return &m.claimants[len(m.claimants)-1]
}

// conflictsWith returns the claims on a short name other than the winner's.
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
