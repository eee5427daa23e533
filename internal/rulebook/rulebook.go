package rulebook

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"example.org/micafront/internal/agreement"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/config"
)

var _ Reading = Read

// maxZones bounds the zones of homes that Places gives.
const maxZones = 64

// Read is described at Reading.
func Read(b agreement.Body, at Place) (Rules, error) {
	r, err := Decode(b)
	if err != nil {
		return Rules{}, err
	}
	return r.Bind(at)
}

// Decode reads a body and leaves services as the routes name them.
func Decode(b agreement.Body) (r Rules, err error) {
	if r.Settings, r.LoadIsDelay, err = config.DecodeSettings(b.Settings); err != nil {
		return Rules{}, part("settings", err)
	}
	if r.Set, err = config.DecodeRoutes(b.Routing); err != nil {
		return Rules{}, part("routing", err)
	}
	if text := bytes.TrimSpace(b.Catalog); len(text) > 0 && string(text) != "null" {
		r.Catalog = &catalog.State{}
		if err := json.Unmarshal(text, r.Catalog); err != nil {
			return Rules{}, part("catalog", catalog.BadState.Typed("", err))
		}
	}
	return r, nil
}

// Bind gives rules that were decoded as a place has them.
func (r Rules) Bind(at Place) (Rules, error) {
	names := catalog.Named(&r.Set)
	if len(names) == 0 {
		return r, nil
	} else if r.Catalog == nil {
		return Rules{}, part("catalog", catalog.UnknownService.New("", "the version has none, and its routes name service %.140q", names[0]))
	}
	var err error
	if r.Set, err = (catalog.Rules{}).BindFor(r.Set, r.Catalog, at.Zone, at.Mesh); err != nil {
		return Rules{}, part("routing", err)
	}
	for _, name := range names {
		e, homes := r.Catalog.HomesFor(at.Zone, at.Mesh, name)
		s := Service{Name: name, Why: r.Catalog.Why(name), Rival: len(e.Rivals) > 0}
		for _, h := range homes {
			s.Pools = append(s.Pools, h.Pool.Name)
		}
		r.Services = append(r.Services, s)
	}
	return r, nil
}

// Places are those whose proxies may read the rules differently: no mesh and each one that the catalog knows, and the zones of
// homes, 64 at most, since a zone only changes which home goes first.
func (r Rules) Places() []Place {
	out := []Place{{}}
	if r.Catalog == nil {
		return out
	}
	for i := range r.Catalog.Meshes {
		out = append(out, Place{Mesh: r.Catalog.Meshes[i].Mesh})
	}
	zones := map[string]bool{"": true}
	for i := range r.Catalog.Entries {
		for _, h := range r.Catalog.Entries[i].Homes {
			for _, zone := range h.Zones {
				if !zones[zone] && len(zones) <= maxZones {
					zones[zone] = true
					out = append(out, Place{Zone: zone})
				}
			}
		}
	}
	return out
}

// String names a place in errors.
func (p Place) String() string {
	var words []string
	for _, w := range [][2]string{{"zone", p.Zone}, {"mesh", p.Mesh}} {
		if w[1] != "" {
			words = append(words, fmt.Sprintf("%s %.140s", w[0], w[1]))
		}
	}
	return strings.Join(words, ", ")
}

// part names the part of a body that an error is of, unless it does so itself.
func part(name string, err error) error {
	if strings.HasPrefix(err.Error(), name+": ") {
		return err
	}
	return fmt.Errorf("%s: %w", name, err)
}
