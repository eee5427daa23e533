package catalog

import (
	"cmp"
	"slices"
)

// candidate is a publication that may be accepted.
type candidate struct {
	*Publication
	digest string
}

// hasNumber reports whether a publication has this number.
func (c candidate) hasNumber(epoch, seq uint64) bool { return c.Epoch == epoch && c.Seq == seq }

// acceptPublications accepts the latest publication of each mesh: of those whose contents are unambiguous the one with the
// highest number. One that is older than the accepted one or contradicts it is rejected; those of lost meshes wait until
// the mesh returns.
func (v *validation) acceptPublications(publications []Publication) {
	byMesh := map[string][]candidate{}
	for i := range publications {
		p := &publications[i]
		digest := p.Digest()
		if !slices.ContainsFunc(byMesh[p.Mesh], func(c candidate) bool { return c.hasNumber(p.Epoch, p.Seq) && c.digest == digest }) {
			byMesh[p.Mesh] = append(byMesh[p.Mesh], candidate{Publication: p, digest: digest})
		}
	}
	var unknown []string
	for mesh := range byMesh {
		if p := v.byName[mesh]; p == nil || !p.known && !p.lost {
			unknown = append(unknown, mesh)
		}
	}
	slices.Sort(unknown)
	for _, mesh := range unknown {
		v.add(UnknownMesh, mesh, "", "its publication is rejected: the federation's terms do not name it")
	}
	for _, p := range v.publishers {
		if p.isActive() {
			v.acceptLatest(p, byMesh[p.name()])
		}
	}
}

// acceptLatest accepts the first of a mesh's candidates, from the highest number down, that is unambiguous.
func (v *validation) acceptLatest(p *publisher, candidates []candidate) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(b.Seq, a.Seq), cmp.Compare(a.digest, b.digest))
	})
	accepted := &p.accepted
	for len(candidates) > 0 {
		c := candidates[0]
		contents := 1 // different ones under this number
		for contents < len(candidates) && candidates[contents].hasNumber(c.Epoch, c.Seq) {
			contents++
		}
		candidates = candidates[contents:]
		order := cmp.Or(cmp.Compare(c.Epoch, accepted.Epoch), cmp.Compare(c.Seq, accepted.Seq))
		switch {
		case contents > 1:
			v.add(Contradiction, c.Mesh, "", "publication %d.%d comes with %d different contents; none of them is accepted",
				c.Epoch, c.Seq, contents)
			continue // with those of lower numbers
		case accepted.Digest != "" && order < 0:
			v.add(OutdatedPublication, c.Mesh, "", "publication %d.%d is rejected: it is older than %d.%d, which was accepted before",
				c.Epoch, c.Seq, accepted.Epoch, accepted.Seq)
		case accepted.Digest != "" && order == 0 && accepted.Digest != c.digest:
			v.add(Contradiction, c.Mesh, "", "publication %d.%d is rejected: its contents differ from those accepted under this number",
				c.Epoch, c.Seq)
		default:
			accepted.Epoch = c.Epoch
			accepted.Seq = c.Seq
			accepted.Digest = c.digest
			p.services = pointersTo(c.Services)
			p.aliases = slices.Clone(c.Aliases)
			p.published = true
		}
		return
	}
}

func pointersTo(services []Service) []*Service {
	pointers := make([]*Service, len(services))
	for i := range services {
		pointers[i] = &services[i]
	}
	return pointers
}

// carryOver gives meshes without a new publication what they publish according to the previous state.
func (v *validation) carryOver() {
	for i := range v.previous.Entries {
		if e := &v.previous.Entries[i]; !e.Ended {
			v.carryOverEntry(e)
		}
	}
	for _, p := range v.publishers {
		if p.published {
			continue
		}
		// The entry of a short name precedes the qualified one, and says the same.
		slices.SortStableFunc(p.services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
		p.services = slices.CompactFunc(p.services, func(a, b *Service) bool { return a.Name == b.Name })
		slices.SortStableFunc(p.aliases, func(a, b Alias) int { return cmp.Compare(a.Name, b.Name) })
		p.aliases = slices.CompactFunc(p.aliases, func(a, b Alias) bool { return a.Name == b.Name })
	}
}

// carryOverEntry gives the meshes of a previous entry their services or aliases of its name.
func (v *validation) carryOverEntry(e *Entry) {
	short, qualifier := splitName(e.Name)
	// carriedOver is the publisher of a mesh where the entry applies to it: by the short name, or by the name that is
	// qualified with the mesh itself.
	carriedOver := func(mesh string) *publisher {
		if p := v.byName[mesh]; p != nil && !p.published && !p.expired && (qualifier == "" || qualifier == mesh) {
			return p
		}
		return nil
	}
	for _, mesh := range e.PublishedBy {
		if p := carriedOver(mesh); p != nil {
			p.aliases = append(p.aliases, Alias{Name: short, To: e.AliasOf})
		}
	}
	for i := range e.Providers {
		provider := &e.Providers[i]
		if p := carriedOver(provider.Mesh); p != nil {
			p.services = append(p.services, &Service{
				Name:             short,
				Owner:            e.Owner,
				Contract:         e.Contract,
				Zones:            provider.Zones,
				Class:            provider.Class,
				LatencyObjective: provider.LatencyObjective,
				SpareCapacity:    provider.SpareCapacity,
				Pool:             provider.Pool,
				Origin:           provider.Origin,
				Via:              provider.Via,
				DrainBy:          provider.DrainBy,
			})
		}
	}
}
