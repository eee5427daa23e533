// Package configbundle decodes the body of a configuration version: settings, routes and catalog.
//
// Control-plane replicas validate proposals with this package and proxies prepare versions with it, so that proxies can decode
// each version that the replicas accept. The package is pure. internal/routing compiles the routes.
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

// Names of the sections of a body in errors.
const (
	settingsSection = "settings"
	routingSection  = "routing"
	catalogSection  = "catalog"
)

// Locality is the zone and the mesh of the proxies for which services are resolved.
type Locality struct {
	Zone string
	Mesh string // "": providers of all meshes
}

// Bundle is a decoded body with its services bound to pools.
type Bundle struct {
	Settings      balancer.Settings
	LoadIsLatency bool           // see config.Config.LoadIsLatency
	Routing       routing.Set    // routes with services bound to pools; not compiled
	Catalog       *catalog.State // nil: the body contains none
	Services      []Service      // services that the routes and policies name, sorted by name
}

// Service is a service that the routes name, with the pools to which it is bound in a Locality.
type Service struct {
	Name        string
	Pools       []string // names, in order of preference
	Explanation string   // reason for the binding, from catalog.State.Explain
	Conflict    bool     // other services claimed the name
}

// Decode decodes a body and binds its services for a locality. An error names the section of the body (settings, routing,
// catalog) and has the kind of the package that decodes that section.
func Decode(body fleetconfig.Body, locality Locality) (Bundle, error) {
	bundle, err := decode(body)
	if err != nil {
		return Bundle{}, err
	}
	return bundle.bind(locality)
}

// decode decodes a body without binding its services.
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

// bind returns the bundle with its services bound to the pools that a locality uses. It fails if a service that the routes
// name cannot be resolved in that locality.
func (b Bundle) bind(locality Locality) (Bundle, error) {
	names := catalog.ServiceNames(&b.Routing)
	if len(names) == 0 {
		return b, nil
	}
	if b.Catalog == nil {
		return Bundle{}, withSection(catalogSection,
			catalog.UnknownService.New("", "the version has none, and its routes name service %.140q", names[0]))
	}
	bound, err := catalog.Rules{}.BindFor(b.Routing, b.Catalog, locality.Zone, locality.Mesh)
	if err != nil {
		return Bundle{}, withSection(routingSection, err)
	}
	b.Routing = bound
	for _, name := range names {
		b.Services = append(b.Services, b.resolve(name, locality))
	}
	return b, nil
}

// resolve returns a service with the pools to which BindFor bound it. The catalog must contain an entry for it.
func (b *Bundle) resolve(name string, locality Locality) Service {
	entry, providers := b.Catalog.ProvidersFor(locality.Zone, locality.Mesh, name)
	service := Service{Name: name, Explanation: b.Catalog.Explain(name), Conflict: len(entry.Conflicts) > 0}
	for _, provider := range providers {
		service.Pools = append(service.Pools, provider.Pool.Name)
	}
	return service
}

// withSection prefixes an error with the section of the body, unless the error already starts with it.
func withSection(section string, err error) error {
	if strings.HasPrefix(err.Error(), section+": ") {
		return err
	}
	return fmt.Errorf("%s: %w", section, err)
}
