package catalog

import (
	"cmp"
	"slices"
	"strings"
)

// limitNames reduces a mesh's records to one per name, drops invalid aliases, and applies the limit of the mesh's terms to its
// services and, separately, to its aliases.
func (v *validation) limitNames(p *publisher) {
	if !p.isActive() {
		return
	}
	limit := p.terms.MaxServices
	if limit <= 0 {
		limit = DefaultMaxServices
	}
	p.services = v.uniqueServices(p, p.services)
	p.services = applyLimit(v, p, "services", p.services, limit, v.hadService, func(s *Service) string { return s.Name })
	slices.SortFunc(p.aliases, func(a, b Alias) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.To, b.To)) })
	p.aliases = slices.DeleteFunc(slices.Compact(p.aliases), func(a Alias) bool { return !v.isValidAlias(p, a) })
	p.aliases = v.uniqueAliases(p, p.aliases)
	p.aliases = applyLimit(v, p, "aliases", p.aliases, limit, v.hadAlias, func(a Alias) string { return a.Name })
}

// uniqueServices reduces a sorted list in place to one service per name: the service of the owner in the previous state, or
// else the first by encoded contents.
func (v *validation) uniqueServices(p *publisher, services []*Service) []*Service {
	unique := services[:0]
	for i := 0; i < len(services); {
		count := 1
		for i+count < len(services) && services[i+count].Name == services[i].Name {
			count++
		}
		if count > 1 {
			same := services[i : i+count]
			name := same[0].Name
			if !equalContents(same[0], same[count-1]) {
				v.add(Contradiction, p.name(), name, "mesh %s publishes service %s twice with different contents; one of them is accepted",
					p.name(), name)
			}
			owner := v.previousOwner(p, name)
			if j := slices.IndexFunc(same, func(s *Service) bool { return s.Owner == owner }); j > 0 {
				same[0] = same[j]
			}
		}
		unique = append(unique, services[i])
		i += count
	}
	return unique
}

// isValidAlias reports whether a mesh's alias is kept, and adds a finding if it is not. An alias that the terms do not allow the
// mesh to export is dropped without a finding.
func (v *validation) isValidAlias(p *publisher, a Alias) bool {
	mesh := p.name()
	short, qualifier := splitName(a.To)
	switch {
	case !IsValidName(a.Name) || !IsValidName(short) || strings.Contains(a.To, ".") && !IsValidName(qualifier):
		v.add(BadName, mesh, a.Name, "alias %.140q for %.140q: one of the two is not a valid name", a.Name, a.To)
	case a.Name == a.To:
		v.add(AliasLoop, mesh, a.Name, "alias %s is an alias of itself", a.Name)
	case p.service(a.Name) != nil:
		v.add(Contradiction, mesh, a.Name, "mesh %s publishes %s as a service and as an alias; the service is accepted", mesh, a.Name)
	default:
		return matchesAny(p.terms.Export, a.Name)
	}
	return false
}

// uniqueAliases reduces a sorted list in place to the first alias of each name.
func (v *validation) uniqueAliases(p *publisher, aliases []Alias) []Alias {
	unique := aliases[:0]
	for _, a := range aliases {
		if n := len(unique); n == 0 || unique[n-1].Name != a.Name {
			unique = append(unique, a)
			continue
		}
		v.add(Contradiction, p.name(), a.Name, "mesh %s publishes alias %s for different names; one of them is accepted", p.name(),
			a.Name)
	}
	return unique
}

// previousOwner returns the owner of a mesh's service of a name in the previous state, even if the service has ended, or "" if
// there was none.
func (v *validation) previousOwner(p *publisher, name string) string {
	if e := v.previous.lookup(qualify(name, p.name())); e != nil {
		return e.Owner
	}
	if e := v.previous.lookup(name); e != nil && e.isProvidedBy(p.name()) {
		return e.Owner
	}
	return ""
}

// hadService reports whether the previous state contains a mesh's service with the same name and owner.
func (v *validation) hadService(p *publisher, s *Service) bool {
	return v.hadEntry(p, s.Name, func(e *Entry) bool { return e.Owner == s.Owner && e.isProvidedBy(p.name()) })
}

// hadAlias reports whether the previous state contains a mesh's alias with the same name.
func (v *validation) hadAlias(p *publisher, a Alias) bool {
	return v.hadEntry(p, a.Name, func(e *Entry) bool { return slices.Contains(e.PublishedBy, p.name()) })
}

// hadEntry reports whether the previous state contains an entry of a mesh's name, short or qualified, that matches and has not
// ended.
func (v *validation) hadEntry(p *publisher, name string, matches func(*Entry) bool) bool {
	for _, e := range []*Entry{v.previous.lookup(name), v.previous.lookup(qualify(name, p.name()))} {
		if e != nil && !e.Ended && matches(e) {
			return true
		}
	}
	return false
}

// applyLimit truncates a mesh's list, which is sorted by name, to a limit, and adds a finding if it drops records. It first keeps
// records that the previous state contains (had), then the first by name. what is the plural of T in the finding.
func applyLimit[T any](v *validation, p *publisher, what string, list []T, limit int, had func(*publisher, T) bool,
	name func(T) string) []T {
	if len(list) <= limit {
		return list
	}
	kept := make([]T, 0, limit)
	rest := make([]T, 0, len(list))
	for i := range list {
		if len(kept) < limit && had(p, list[i]) {
			kept = append(kept, list[i])
		} else {
			rest = append(rest, list[i])
		}
	}
	remaining := limit - len(kept)
	v.add(OverLimit, p.name(), name(rest[remaining]), "mesh %s publishes %d %s more than its limit of %d; %s is the first by name "+
		"that is rejected", p.name(), len(rest)-remaining, what, limit, name(rest[remaining]))
	kept = append(kept, rest[:remaining]...)
	slices.SortFunc(kept, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return kept
}
