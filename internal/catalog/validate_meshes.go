package catalog

import (
	"cmp"
	"path"
	"slices"
	"unicode/utf8"
)

// acceptTerms creates the publishers: the meshes that the terms or the previous state contain.
func (v *validation) acceptTerms(meshes []Mesh) {
	for i := range v.previous.Meshes {
		accepted := &v.previous.Meshes[i]
		v.publisher(accepted.Mesh).accepted = *accepted
	}
	meshes = uniqueByKey(meshes, func(m *Mesh) string {
		normalized := *m
		normalized.Export = sortedUnique(m.Export)
		normalized.Owners = sortedUnique(m.Owners)
		normalized.Import = normalizeImports(m.Import)
		return asJSON(&normalized)
	})
	count := map[string]int{}
	for _, m := range meshes {
		count[m.Name]++
	}
	for _, m := range meshes {
		switch {
		case !IsValidName(m.Name):
			v.add(BadName, m.Name, "", "the terms contain a mesh %.140q, which is not a valid name", m.Name)
		case count[m.Name] > 1:
			v.add(Contradiction, m.Name, "", "there are %d different terms for mesh %s; all of them are ignored, and the mesh's "+
				"earlier publication stays in effect", count[m.Name], m.Name)
			v.publisher(m.Name)
		default:
			v.acceptMesh(m)
		}
	}
	for _, p := range v.publishers {
		if count[p.name()] > 0 {
			p.accepted.Lost = false
			p.accepted.LostSinceUS = 0
			continue
		}
		if !p.accepted.Lost { // the mesh has left the federation since the previous state
			p.accepted.Lost = true
			p.accepted.LostSinceUS = v.nowUS
		}
		p.lost = true
		p.lostUS = p.accepted.LostSinceUS
	}
}

// acceptMesh accepts the terms of one mesh.
func (v *validation) acceptMesh(m Mesh) {
	p := v.publisher(m.Name)
	p.terms = m
	p.hasTerms = true
	p.accepted.Import = normalizeImports(m.Import)
	v.checkPatterns(m.Name, "export", m.Export)
	for _, imported := range p.accepted.Import {
		v.checkPatterns(m.Name, "import from "+imported.From, imported.Names)
	}
	for _, owner := range m.Owners {
		if !slices.Contains(v.meshesByOwner[owner], m.Name) {
			v.meshesByOwner[owner] = append(v.meshesByOwner[owner], m.Name)
		}
	}
}

// publisher returns the publisher of a mesh, and adds it if there is none.
func (v *validation) publisher(mesh string) *publisher {
	if p := v.publisherByMesh[mesh]; p != nil {
		return p
	}
	p := &publisher{terms: Mesh{Name: mesh}, accepted: AcceptedPublication{Mesh: mesh}}
	v.publisherByMesh[mesh] = p
	i, _ := slices.BinarySearchFunc(v.publishers, mesh, func(p *publisher, mesh string) int { return cmp.Compare(p.name(), mesh) })
	v.publishers = slices.Insert(v.publishers, i, p)
	return p
}

// normalizeImports returns a mesh's imports sorted, without duplicates and as valid UTF-8.
func normalizeImports(imports []Import) []Import {
	if len(imports) == 0 {
		return nil
	}
	normalized := make([]Import, len(imports))
	for i, imported := range imports {
		normalized[i] = Import{From: validText(imported.From), Names: sortedUnique(imported.Names)}
		for j, name := range normalized[i].Names {
			normalized[i].Names[j] = validText(name)
		}
	}
	return uniqueByKey(normalized, asJSON[Import])
}

// checkPatterns adds a finding for each malformed pattern in a mesh's terms. use names the setting in the findings.
func (v *validation) checkPatterns(mesh, use string, patterns []string) {
	for _, pattern := range patterns {
		if _, err := path.Match(pattern, ""); err != nil || !utf8.ValidString(pattern) {
			v.add(BadPattern, mesh, "", "its terms' %s has the malformed pattern %.140q", use, pattern)
		}
	}
}

// acceptLosses marks the lost meshes. It ignores losses later than the agreed time, and uses the latest loss of each mesh.
func (v *validation) acceptLosses(lost []Loss) {
	since := map[string]int64{}
	for _, l := range lost {
		at := max(l.Since.Microseconds(), 0)
		if v.publisherByMesh[l.Mesh] != nil && at <= v.nowUS {
			since[l.Mesh] = max(since[l.Mesh], at)
		}
	}
	for _, p := range v.publishers {
		if at, ok := since[p.name()]; ok && !p.lost {
			p.lost = true
			p.lostUS = at
			p.accepted.Lost = true
			p.accepted.LostSinceUS = at
		}
		p.tombstoneExpired = p.lost && v.nowUS >= p.lostUS+tombstoneUS
		if p.lost && !p.tombstoneExpired {
			v.add(MeshLost, p.name(), "", "mesh %s has been lost since %s of agreed time; its names still resolve until %s", p.name(),
				formatTime(p.lostUS), formatTime(p.lostUS+tombstoneUS))
		}
	}
}
