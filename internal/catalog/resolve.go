package catalog

import (
	"cmp"
	"slices"
)

// maxAliasChain is how many aliases may lead from a name to its service.
const maxAliasChain = 16

// Resolve returns the entry of the service that a name means, through aliases; ok is false where it means none, as in
// quarantine. The entry must not be changed. Resolve does not allocate.
func (s *State) Resolve(name string) (e *Entry, ok bool) {
	e = s.lookup(name)
	for range maxAliasChain + 1 {
		if e == nil || e.Status == StatusQuarantine {
			return nil, false
		}
		if e.AliasOf == "" {
			return e, true
		}
		e = s.lookup(e.AliasOf)
	}
	return nil, false
}

// ResolveFor is Resolve for the proxies of a mesh, which must see at least one provider; "": any mesh. It does not allocate.
func (s *State) ResolveFor(mesh, name string) (e *Entry, ok bool) {
	e, ok = s.Resolve(name)
	if !ok {
		return nil, false
	}
	for i := range e.Providers {
		if s.IsVisible(mesh, e, &e.Providers[i]) {
			return e, true
		}
	}
	return nil, false
}

// IsVisible reports whether a mesh is a provider of an entry or imports it; mesh "": any mesh. Patterns are matched with the
// short name. A mesh that the state does not know sees nothing.
func (s *State) IsVisible(mesh string, e *Entry, p *Provider) bool {
	if mesh == "" || mesh == p.Mesh {
		return true
	}
	i, ok := slices.BinarySearchFunc(s.Meshes, mesh, func(a AcceptedPublication, mesh string) int { return cmp.Compare(a.Mesh, mesh) })
	if !ok {
		return false
	}
	short, _ := splitName(e.Name)
	for _, imported := range s.Meshes[i].Import {
		if imported.From == p.Mesh && matchesAny(imported.Names, short) {
			return true
		}
	}
	return len(s.Meshes[i].Import) == 0
}

// ProvidersFor returns the entry of the service that a name means, and its providers that a mesh sees ("": all), in the order in
// which proxies of a zone prefer them; nil where the name means no service. They must not be changed.
func (s *State) ProvidersFor(zone, mesh, name string) (*Entry, []*Provider) {
	e, ok := s.Resolve(name)
	if !ok {
		return nil, nil
	}
	var providers []*Provider
	for i := range e.Providers {
		if p := &e.Providers[i]; s.IsVisible(mesh, e, p) {
			providers = append(providers, p)
		}
	}
	slices.SortFunc(providers, func(a, b *Provider) int { return compareProviders(zone, a, b) })
	return e, providers
}

// compareProviders orders providers as proxies of a zone prefer them: those that are not lost, not withdrawn, in the zone,
// and no re-exports come first, then those with more spare capacity, then by mesh.
func compareProviders(zone string, a, b *Provider) int {
	return cmp.Or(
		compareBool(a.Lost, b.Lost),
		compareBool(a.DrainBy > 0, b.DrainBy > 0),
		compareBool(!slices.Contains(a.Zones, zone), !slices.Contains(b.Zones, zone)),
		compareBool(a.Origin != "", b.Origin != ""),
		cmp.Compare(b.SpareCapacity, a.SpareCapacity),
		cmp.Compare(a.Mesh, b.Mesh))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
