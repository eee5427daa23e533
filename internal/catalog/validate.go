package catalog

import (
	"cmp"
	"encoding/json"
	"path"
	"slices"
	"time"
)

// publisher is a mesh during a merge: its terms, and the valid services and aliases of its publication.
type publisher struct {
	terms             Mesh
	hasTerms          bool // the terms contain the mesh, without contradicting entries
	accepted          AcceptedPublication
	services          []*Service // sorted by name
	aliases           []Alias    // sorted by name
	hasNewPublication bool       // services and aliases come from a new publication; false: from the previous state
	lost              bool
	lostUS            int64 // time of the loss, in microseconds of agreed time
	tombstoneExpired  bool  // it has been lost for longer than TombstoneDuration
}

func (p *publisher) name() string { return p.terms.Name }

// isActive reports whether the publication is validated. The services and aliases of lost meshes are kept unchanged.
func (p *publisher) isActive() bool { return p.hasTerms && !p.lost }

// firstServiceIndex returns the index of the first service of a name in p.services, or the index where it would be inserted.
func (p *publisher) firstServiceIndex(name string) int {
	i, _ := slices.BinarySearchFunc(p.services, name, func(s *Service, name string) int { return cmp.Compare(s.Name, name) })
	return i
}

// service returns the mesh's service of a name, or nil if there is none.
func (p *publisher) service(name string) *Service {
	if i := p.firstServiceIndex(name); i < len(p.services) && p.services[i].Name == name {
		return p.services[i]
	}
	return nil
}

// claim is a mesh's publication of a service or an alias under a name.
type claim struct {
	publisher *publisher
	name      string
	service   *Service // nil for an alias
	to        string   // of an alias: the name that it refers to
	owner     string   // of an alias: the owner of the service of the same mesh that it refers to, or ""
	rejected  bool     // an alias that rejectAliases has rejected
}

// validation holds the validated inputs and the findings about them. Everything is sorted by name, so that the order of the
// inputs does not matter.
type validation struct {
	findings
	previous        *State
	nowUS           int64 // microseconds of agreed time
	publishers      []*publisher
	publisherByMesh map[string]*publisher
	claims          []*claim // sorted by name, then mesh
	overrides       map[string]*Override
	meshesByOwner   map[string][]string // the meshes whose terms list an owner
}

// validateInputs validates all inputs. Each step depends on the results of the previous ones.
func validateInputs(previous *State, inputs Inputs, at time.Duration) *validation {
	v := &validation{
		previous:        previous,
		nowUS:           max(at, previous.At).Microseconds(),
		publisherByMesh: map[string]*publisher{},
		overrides:       map[string]*Override{},
		meshesByOwner:   map[string][]string{},
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

// addClaims adds the claims of a mesh.
func (v *validation) addClaims(p *publisher) {
	claims := make([]claim, 0, len(p.services)+len(p.aliases)) // one allocation, because there are many claims
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

// acceptOverrides accepts the operators' overrides, except for different overrides of the same name.
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
		case !IsValidName(o.Name):
			v.add(BadName, o.Mesh, o.Name, "the terms' rulings contain %.140q, which is not a valid short name", o.Name)
		case count[o.Name] > 1:
			v.add(Contradiction, "", o.Name, "the terms have %d different rulings on %s; all of them are ignored", count[o.Name], o.Name)
		default:
			v.overrides[o.Name] = o
		}
	}
}

// uniqueByKey returns the elements of a list without duplicates, sorted by key. The key must cover the contents of an element.
func uniqueByKey[T any](list []T, key func(*T) string) (unique []T) {
	positions := make(map[string]int, len(list)) // index of the first element by key
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
	text, _ := json.Marshal(v) // cannot fail for strings and integers
	return string(text)
}

// sortedUnique returns a sorted copy of a list without duplicates.
func sortedUnique(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(list)))
}

// matchesAny reports whether a name matches any of the patterns. An empty list matches every name, a malformed pattern none.
func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, name); ok && err == nil {
			return true
		}
	}
	return len(patterns) == 0
}
