package catalog

import (
	"cmp"
	"slices"
)

// maxAliasChain is the most aliases allowed between a name and its service.
const maxAliasChain = 16

// Resolve returns the entry of the service that a name resolves to, following aliases. ok is false if there is none, for
// example while the name is in quarantine. The caller must not modify the entry. Resolve does not allocate.
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

// ResolveFor is Resolve for the proxies of a mesh. ok is also false if no provider of the service is visible to the mesh. If mesh
// is "", all providers are visible. ResolveFor does not allocate.
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

// IsVisible reports whether the proxies of a mesh may use a provider of an entry: the mesh is the provider itself or imports the
// service from it. If mesh is "", every provider is visible. Import patterns are matched against the short name. A
// mesh that the state does not contain may use only its own providers.
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

// ProvidersFor returns the entry of the service that a name resolves to, and the providers visible to a mesh (all if mesh is ""),
// in the order in which proxies of a zone prefer them. Both are nil if the name resolves to no service. The caller must not
// modify them.
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

// compareProviders orders providers by the preference of proxies of a zone. The criteria, in order: not lost, not withdrawn, in
// the zone, not a re-export, more spare capacity, mesh name.
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
