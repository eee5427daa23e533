package routing

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Pool is a set of endpoints. Each pool has a separate balancer.
type Pool struct {
	Name        string           `json:"name"`
	Select      EndpointSelector `json:"select"`
	Precedence  int              `json:"precedence,omitempty"` // an endpoint goes to the selecting pool with the highest precedence
	FormerNames []string         `json:"was,omitempty"`
	MaxOpen     int              `json:"max_open,omitempty"`    // established and waiting connections; 0: no limit
	MaxWaiting  int              `json:"max_waiting,omitempty"` // waiting connections; 0: no limit
}

// EndpointSelector selects the endpoints of a pool. An endpoint must satisfy all conditions. It satisfies a condition if it
// matches one of the values. A condition without values matches every endpoint.
type EndpointSelector struct {
	Zones        []string `json:"zones,omitempty"`
	MachineTypes []string `json:"machine_types,omitempty"`
	Cells        []int    `json:"cells,omitempty"`
	IDPrefixes   []string `json:"id_prefixes,omitempty"`
	SizeFrom     float64  `json:"size_from,omitempty"` // 0: no lower bound
	SizeTo       float64  `json:"size_to,omitempty"`   // inclusive; 0: no upper bound
}

// EndpointAttributes are the attributes of an endpoint that an EndpointSelector uses.
type EndpointAttributes struct {
	ID          string
	Zone        string
	MachineType string
	Cell        int
	Size        float64
}

// Matches reports whether the endpoint satisfies all conditions.
func (s *EndpointSelector) Matches(e EndpointAttributes) bool {
	return (len(s.Zones) == 0 || slices.Contains(s.Zones, e.Zone)) &&
		(len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, e.MachineType)) &&
		(len(s.Cells) == 0 || slices.Contains(s.Cells, e.Cell)) &&
		(len(s.IDPrefixes) == 0 || hasAnyPrefix(e.ID, s.IDPrefixes)) &&
		(s.SizeFrom == 0 || e.Size >= s.SizeFrom) &&
		(s.SizeTo == 0 || e.Size <= s.SizeTo)
}

// HasValidSizes reports whether SizeFrom and SizeTo form a valid range: both finite, not negative, and in order.
func (s *EndpointSelector) HasValidSizes() bool {
	return s.SizeFrom >= 0 && s.SizeTo >= 0 && !math.IsInf(s.SizeFrom, 0) && !math.IsInf(s.SizeTo, 0) &&
		(s.SizeTo == 0 || s.SizeTo >= s.SizeFrom)
}

// Equal reports whether both selectors have the same conditions with their values in the same order.
func (s *EndpointSelector) Equal(other *EndpointSelector) bool {
	return s.SizeFrom == other.SizeFrom && s.SizeTo == other.SizeTo && slices.Equal(s.Zones, other.Zones) &&
		slices.Equal(s.MachineTypes, other.MachineTypes) && slices.Equal(s.Cells, other.Cells) &&
		slices.Equal(s.IDPrefixes, other.IDPrefixes)
}

// Equal reports whether both pools are equal in every field.
func (p *Pool) Equal(other *Pool) bool {
	return p.Name == other.Name && p.Precedence == other.Precedence && p.MaxOpen == other.MaxOpen &&
		p.MaxWaiting == other.MaxWaiting && slices.Equal(p.FormerNames, other.FormerNames) && p.Select.Equal(&other.Select)
}

func hasAnyPrefix(text string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(text, prefix) })
}

// Overlap returns the attributes of an endpoint that both selectors would select. ok is false if there is no such endpoint.
func (s *EndpointSelector) Overlap(other *EndpointSelector) (e EndpointAttributes, ok bool) {
	if e.Zone, ok = commonValue(s.Zones, other.Zones); !ok {
		return e, false
	}
	if e.MachineType, ok = commonValue(s.MachineTypes, other.MachineTypes); !ok {
		return e, false
	}
	if e.Cell, ok = commonValue(s.Cells, other.Cells); !ok {
		return e, false
	}
	if e.ID, ok = commonPrefix(s.IDPrefixes, other.IDPrefixes); !ok {
		return e, false
	}
	e.Size = max(s.SizeFrom, other.SizeFrom)
	upperBounds := []float64{s.SizeTo, other.SizeTo}
	for _, bound := range upperBounds {
		if bound != 0 && e.Size > bound {
			return e, false
		}
	}
	if e.Size == 0 { // without a lower bound, choose any size within the upper bounds
		e.Size = 1
		for _, bound := range upperBounds {
			if bound != 0 {
				e.Size = min(e.Size, bound)
			}
		}
	}
	return e, true
}

// commonValue returns a value that satisfies both conditions. An empty condition matches all values.
func commonValue[T comparable](a, b []T) (value T, ok bool) {
	switch {
	case len(a) == 0 && len(b) == 0:
		return value, true
	case len(a) == 0:
		return b[0], true
	case len(b) == 0:
		return a[0], true
	}
	i := slices.IndexFunc(a, func(x T) bool { return slices.Contains(b, x) })
	if i < 0 {
		return value, false
	}
	return a[i], true
}

// commonPrefix returns a text that begins with a prefix of each list. An empty list matches all texts.
func commonPrefix(a, b []string) (text string, ok bool) {
	if len(a) == 0 || len(b) == 0 {
		return commonValue(a, b)
	}
	for _, x := range a {
		for _, y := range b {
			if strings.HasPrefix(x, y) {
				return x, true
			}
			if strings.HasPrefix(y, x) {
				return y, true
			}
		}
	}
	return "", false
}

// comparePools orders pools by descending precedence, then by name. An endpoint that several pools select goes to the first
// one.
func comparePools(a, b *Pool) int {
	return cmp.Or(cmp.Compare(b.Precedence, a.Precedence), cmp.Compare(a.Name, b.Name))
}
