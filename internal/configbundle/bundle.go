// Package configbundle decodes the body of a configuration version: settings, routes and catalog.
//
// Control-plane replicas validate a proposal with it and proxies prepare a version with it, so that what the one accepts
// the other can read. It is pure, and does not compile the routes (internal/routing does).
package configbundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
)

// Names of the sections of a body, as errors give them.
const (
	settingsSection = "settings"
	routingSection  = "routing"
	catalogSection  = "catalog"
)

// Locality is where the configuration is to be used: services are resolved for the proxies of a zone and a mesh.
type Locality struct {
	Zone string
	Mesh string // "": providers of all meshes are used
}

// Bundle is a decoded body: what a proxy acts on once the routes are compiled.
type Bundle struct {
	Settings      balancer.Settings
	LoadIsLatency bool           // the load that an endpoint reports is a latency (config.Config.LoadIsLatency)
	Routing       routing.Set    // the routes, with services bound to pools; not compiled
	Catalog       *catalog.State // nil: the version has none
	Services      []Service      // those that the routes and policies name, sorted by name
}

// Service is a service that the routes name, as it was bound for the Locality.
type Service struct {
	Name        string
	Pools       []string // by preference
	Explanation string   // why these, as catalog.State.Explain says it
	Conflict    bool     // other services claimed the name
}

// Decode decodes a body and binds its services for a place. An error names the section of the body (settings, routing,
// catalog) and has the kind of the package that decodes that section.
func Decode(body fleetconfig.Body, place Locality) (Bundle, error) {
	bundle, err := decode(body)
	if err != nil {
		return Bundle{}, err
	}
	return bundle.bind(place)
}

// decode decodes a body and leaves services as the routes name them.
func decode(body fleetconfig.Body) (bundle Bundle, err error) {
	if bundle.Settings, bundle.LoadIsLatency, err = config.DecodeSettings(body.Settings); err != nil {
		return Bundle{}, withSection(settingsSection, err)
	}
	if bundle.Routing, err = config.DecodeRoutes(body.Routing); err != nil {
		return Bundle{}, withSection(routingSection, err)
	}
	if text := bytes.TrimSpace(body.Catalog); len(text) > 0 && string(text) != "null" {
		bundle.Catalog = &catalog.State{}
		if err := json.Unmarshal(text, bundle.Catalog); err != nil {
			return Bundle{}, withSection(catalogSection, catalog.BadState.WrapUntyped("", err))
		}
	}
	return bundle, nil
}

// bind returns the bundle with its services bound to the pools that a place uses. It fails where a service that the routes
// name cannot be resolved there.
func (b Bundle) bind(place Locality) (Bundle, error) {
	names := catalog.ServiceNames(&b.Routing)
	if len(names) == 0 {
		return b, nil
	}
	if b.Catalog == nil {
		return Bundle{}, withSection(catalogSection,
			catalog.UnknownService.New("", "the version has none, and its routes name service %.140q", names[0]))
	}
	bound, err := catalog.Rules{}.BindFor(b.Routing, b.Catalog, place.Zone, place.Mesh)
	if err != nil {
		return Bundle{}, withSection(routingSection, err)
	}
	b.Routing = bound
	for _, name := range names {
		b.Services = append(b.Services, b.resolve(name, place))
	}
	return b, nil
}

// resolve returns a service as it was bound for a place. BindFor has found an entry for it in the catalog.
func (b *Bundle) resolve(name string, place Locality) Service {
	entry, providers := b.Catalog.ProvidersFor(place.Zone, place.Mesh, name)
	service := Service{Name: name, Explanation: b.Catalog.Explain(name), Conflict: len(entry.Conflicts) > 0}
	for _, provider := range providers {
		service.Pools = append(service.Pools, provider.Pool.Name)
	}
	return service
}

// withSection prefixes an error with the section of the body that it concerns, unless it begins with it already.
func withSection(section string, err error) error {
	if strings.HasPrefix(err.Error(), section+": ") {
		return err
	}
	return fmt.Errorf("%s: %w", section, err)
}
