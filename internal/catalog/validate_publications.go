package catalog

import (
	"cmp"
	"slices"
)

// candidate is a publication that may be accepted, with its digest.
type candidate struct {
	*Publication
	digest string
}

// hasNumber reports whether a publication has this number.
func (c candidate) hasNumber(epoch, seq uint64) bool { return c.Epoch == epoch && c.Seq == seq }

// acceptPublications accepts the latest publication of each mesh: the one with the highest number among those whose contents
// are unambiguous. It is rejected if it is older than the accepted one, or has the same number but different contents. The
// publications of lost meshes are ignored until the mesh returns.
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
		if p := v.publisherByMesh[mesh]; p == nil || !p.hasTerms && !p.lost {
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

// acceptLatest accepts the candidate of a mesh with the highest number that has unambiguous contents.
func (v *validation) acceptLatest(p *publisher, candidates []candidate) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(b.Seq, a.Seq), cmp.Compare(a.digest, b.digest))
	})
	accepted := &p.accepted
	for len(candidates) > 0 {
		c := candidates[0]
		contents := 1 // number of different contents with this publication number
		for contents < len(candidates) && candidates[contents].hasNumber(c.Epoch, c.Seq) {
			contents++
		}
		candidates = candidates[contents:]
		order := cmp.Or(cmp.Compare(c.Epoch, accepted.Epoch), cmp.Compare(c.Seq, accepted.Seq))
		switch {
		case contents > 1:
			v.add(Contradiction, c.Mesh, "", "publication %d.%d has %d different contents; none of them is accepted",
				c.Epoch, c.Seq, contents)
			continue // with lower numbers
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
			p.hasNewPublication = true
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

// carryOver sets the services and aliases of meshes without a new publication from the previous state.
func (v *validation) carryOver() {
	for i := range v.previous.Entries {
		if e := &v.previous.Entries[i]; !e.Ended {
			v.carryOverEntry(e)
		}
	}
	for _, p := range v.publishers {
		if p.hasNewPublication {
			continue
		}
		// The entry of a short name precedes that of the qualified name, and both contain the same record.
		slices.SortStableFunc(p.services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
		p.services = slices.CompactFunc(p.services, func(a, b *Service) bool { return a.Name == b.Name })
		slices.SortStableFunc(p.aliases, func(a, b Alias) int { return cmp.Compare(a.Name, b.Name) })
		p.aliases = slices.CompactFunc(p.aliases, func(a, b Alias) bool { return a.Name == b.Name })
	}
}

// carryOverEntry adds a previous entry to the services or aliases of the meshes that published it.
func (v *validation) carryOverEntry(e *Entry) {
	short, qualifier := splitName(e.Name)
	// carriedOver returns the publisher of a mesh, or nil if the mesh does not carry over the entry. The entry applies if its
	// name is short, or qualified with that mesh.
	carriedOver := func(mesh string) *publisher {
		if p := v.publisherByMesh[mesh]; p != nil && !p.hasNewPublication && !p.tombstoneExpired && (qualifier == "" || qualifier == mesh) {
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
