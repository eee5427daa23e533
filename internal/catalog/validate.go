package catalog

import (
	"cmp"
	"encoding/json"
	"path"
	"slices"
	"time"
)

// publisher is a mesh while states are merged: its terms, and what counts of its publication.
type publisher struct {
	terms     Mesh
	known     bool // the terms name the mesh, without contradiction
	accepted  AcceptedPublication
	services  []*Service // by name
	aliases   []Alias    // by name
	published bool       // services and aliases are of a new publication; false: of the previous state
	lost      bool
	lostUS    int64 // agreed microseconds
	expired   bool  // it has been lost for longer than TombstoneDuration
}

// name returns the mesh's name.
func (p *publisher) name() string { return p.terms.Name }

// isActive reports whether its publication is validated: those of lost meshes are kept as they were.
func (p *publisher) isActive() bool { return p.known && !p.lost }

// findService returns where a mesh's services of a name begin in p.services, which is sorted.
func (p *publisher) findService(name string) int {
	i, _ := slices.BinarySearchFunc(p.services, name, func(s *Service, name string) int { return cmp.Compare(s.Name, name) })
	return i
}

// service returns the mesh's service of a name; nil where it has none.
func (p *publisher) service(name string) *Service {
	if i := p.findService(name); i < len(p.services) && p.services[i].Name == name {
		return p.services[i]
	}
	return nil
}

// claim is one mesh's statement what a name means.
type claim struct {
	publisher *publisher
	name      string
	service   *Service // nil: an alias
	to        string   // of an alias: the name that it is for
	owner     string   // of an alias: the owner of the mesh's own service that it is for, "" where there is none
	rejected  bool     // an alias that leads to no service
}

// validation is the inputs after validation, and the findings about them. Everything is sorted by name, so that the order
// of the inputs does not matter.
type validation struct {
	findings
	previous   *State
	nowUS      int64 // agreed microseconds
	publishers []*publisher
	byName     map[string]*publisher
	claims     []*claim // by name, then mesh
	overrides  map[string]*Override
	ownerTerms map[string][]string // by owner: the meshes whose terms list it
}

// validateInputs validates all inputs. The steps depend on each other in this order.
func validateInputs(previous *State, inputs Inputs, at time.Duration) *validation {
	v := &validation{
		previous:   previous,
		nowUS:      max(at, previous.At).Microseconds(),
		byName:     map[string]*publisher{},
		overrides:  map[string]*Override{},
		ownerTerms: map[string][]string{},
	}
	v.acceptTerms(inputs.Meshes)
	v.acceptLosses(inputs.Lost)
	v.acceptPublications(inputs.Publications)
	v.carryOver()
	for _, p := range v.publishers {
		v.validateServices(p)
	}
	for _, p := range v.publishers {
		v.validateReexports(p)
	}
	for _, p := range v.publishers {
		v.limitNames(p)
		v.addClaims(p)
	}
	slices.SortFunc(v.claims, func(a, b *claim) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.publisher.name(), b.publisher.name()))
	})
	v.acceptOverrides(inputs.Overrides)
	return v
}

// addClaims makes the claims of a mesh.
func (v *validation) addClaims(p *publisher) {
	claims := make([]claim, 0, len(p.services)+len(p.aliases)) // in one allocation, since there are many
	for _, s := range p.services {
		claims = append(claims, claim{publisher: p, name: s.Name, service: s, owner: s.Owner})
	}
	for _, a := range p.aliases {
		c := claim{publisher: p, name: a.Name, to: a.To}
		if short, mesh := splitName(a.To); mesh == "" || mesh == p.name() {
			if s := p.service(short); s != nil {
				c.owner = s.Owner
			}
		}
		claims = append(claims, c)
	}
	for i := range claims {
		v.claims = append(v.claims, &claims[i])
	}
}

// acceptOverrides accepts the operators' overrides. Of contradicting ones none counts.
func (v *validation) acceptOverrides(overrides []Override) {
	overrides = uniqueByKey(overrides, func(o *Override) string {
		withoutAuthor := *o
		withoutAuthor.SetBy = ""
		return asJSON(&withoutAuthor)
	})
	count := map[string]int{}
	for _, o := range overrides {
		count[o.Name]++
	}
	for i := range overrides {
		o := &overrides[i]
		switch {
		case !ValidName(o.Name):
			v.add(BadName, o.Mesh, o.Name, "the terms' rulings name %.140q, which is malformed as a short name", o.Name)
		case count[o.Name] > 1:
			v.add(Contradiction, "", o.Name, "the terms have %d different rulings on %s; none of them counts", count[o.Name], o.Name)
		default:
			v.overrides[o.Name] = o
		}
	}
}

// uniqueByKey returns the elements of a list sorted by a key that covers their contents, equal ones once.
func uniqueByKey[T any](list []T, key func(*T) string) (unique []T) {
	positions := make(map[string]int, len(list)) // of the first element with a key
	keys := make([]string, 0, len(list))
	for i := range list {
		k := key(&list[i])
		if _, ok := positions[k]; !ok {
			positions[k] = i
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		unique = append(unique, list[positions[k]])
	}
	return unique
}

// asJSON encodes a mesh's terms, an override or an import as a key for uniqueByKey.
func asJSON[T any](v *T) string {
	text, _ := json.Marshal(v) // cannot fail: strings and integers only
	return string(text)
}

// sortedUnique returns a sorted copy of a list without duplicates.
func sortedUnique(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(list)))
}

// matchesAny reports whether a name matches one of the patterns, or there are none. A malformed pattern matches nothing.
func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, name); ok && err == nil {
			return true
		}
	}
	return len(patterns) == 0
}
