package catalog

import (
	"errors"
	"slices"
	"strings"

	"example.org/micafront/internal/routing"
)

// ServicePrefix marks a name in a route or policy as the name of a service instead of a pool.
const ServicePrefix = "service:"

// Bind implements Merger. It equals BindFor with an empty mesh, so all providers are used.
func (r Rules) Bind(set routing.Set, s *State, zone string) (routing.Set, error) {
	return r.BindFor(set, s, zone, "")
}

// BindFor returns a copy of a set in which the services that its routes and policies refer to are replaced by pools.
//
// Each provider of a service becomes one pool of the set, named NAME.MESH. The pool selects the endpoints of the provider's
// zones, unless the published pool selects zones itself. A split share that names a service goes to the first provider in the
// order of ProvidersFor. Shares of the same pool are merged and their weights added.
//
// The other providers become fallbacks of the route. They precede the fallback of the route's policy, because they provide
// the same service. The route is assigned a new policy, named by the former policy and the services; routes with the same
// policy and services share it. Any share of a split may serve any of the route's connections, so if a split names several
// services, the providers of all of them are fallbacks. In a policy's fallback, a service is replaced in place by its
// providers, in order.
//
// The error joins an UnknownService or PoolNameConflict error for each name that cannot be bound.
func (Rules) BindFor(set routing.Set, s *State, zone, mesh string) (routing.Set, error) {
	if len(ServiceNames(&set)) == 0 {
		return set, nil
	}
	b := newBinder(s, zone, mesh, set.Pools)
	bound := set
	bound.Pools = slices.Clone(set.Pools)
	bound.Policies = nil
	bound.Routes = slices.Clone(set.Routes)
	for _, policy := range set.Policies {
		policy.Fallback = b.bindFallback("policy "+policy.Name, policy.Fallback)
		bound.Policies = append(bound.Policies, policy)
	}
	for i := range bound.Policies {
		b.policies[bound.Policies[i].Name] = &bound.Policies[i]
	}
	for i := range bound.Routes {
		b.bindRoute(&bound.Routes[i])
	}
	if len(b.errs) > 0 {
		return routing.Set{}, errors.Join(b.errs...)
	}
	bound.Pools = append(bound.Pools, b.newPools...)
	bound.Policies = append(bound.Policies, b.newPolicies...)
	return bound, nil
}

// ServiceNames returns the sorted names, without ServicePrefix, of the services that a set's routes and policies use.
func ServiceNames(set *routing.Set) []string {
	var names []string
	seen := map[string]bool{}
	add := func(pool string) {
		if name, ok := strings.CutPrefix(pool, ServicePrefix); ok && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	for i := range set.Policies {
		for _, pool := range set.Policies[i].Fallback {
			add(pool)
		}
	}
	for i := range set.Routes {
		for _, share := range set.Routes[i].To {
			add(share.Pool)
		}
	}
	slices.Sort(names)
	return names
}

// boundService is a service and the pools of its providers.
type boundService struct {
	name  string
	pools []string // in order of preference
}

// binder collects the pools and policies that a bound set needs in addition to its own.
type binder struct {
	state        *State
	zone         string
	mesh         string
	services     map[string]*boundService // by name with ServicePrefix; only services that were bound
	pools        map[string]*routing.Pool // by name: pools of the set and new pools
	newPools     []routing.Pool
	isNewPool    map[string]bool            // by name
	policies     map[string]*routing.Policy // by name: policies of the set and new policies
	newPolicies  []routing.Policy
	hasPolicyFor map[policyKey]bool // keys of newPolicies
	errs         []error
}

// policyKey identifies a new policy by the policy and the services that it is made from.
type policyKey struct {
	base     string // the route's original policy; "" if it has none
	services string // names joined by newlines, since no name contains one
}

// newBinder returns a binder for a set with these pools. BindFor adds the policies of the set after binding their fallbacks.
func newBinder(s *State, zone, mesh string, pools []routing.Pool) *binder {
	b := &binder{
		state:        s,
		zone:         zone,
		mesh:         mesh,
		services:     map[string]*boundService{},
		pools:        map[string]*routing.Pool{},
		isNewPool:    map[string]bool{},
		policies:     map[string]*routing.Policy{},
		hasPolicyFor: map[policyKey]bool{},
	}
	for i := range pools {
		b.pools[pools[i].Name] = &pools[i]
	}
	return b
}

// isService reports whether a pool name refers to a service.
func isService(pool string) bool { return strings.HasPrefix(pool, ServicePrefix) }

// bindService creates the pools of a service. If it cannot, it records an error and returns nil. place is the route or policy
// that uses the service, for the error; each failing place is reported.
func (b *binder) bindService(place, prefixedName string) *boundService {
	if service, ok := b.services[prefixedName]; ok {
		return service
	}
	name := strings.TrimPrefix(prefixedName, ServicePrefix)
	if b.pools[prefixedName] != nil {
		b.errs = append(b.errs, PoolNameConflict.New(place, "the site has a pool named %q, but this name refers to a service", prefixedName))
		return nil
	}
	e, providers := b.state.ProvidersFor(b.zone, b.mesh, name)
	if e == nil {
		b.errs = append(b.errs, UnknownService.New(place, "service %q: %s", name, b.state.Explain(name)))
		return nil
	}
	if len(providers) == 0 {
		b.errs = append(b.errs, UnknownService.New(place, "service %q: mesh %q imports none of its providers", name, b.mesh))
		return nil
	}
	service := &boundService{name: e.Name}
	for _, provider := range providers {
		pool := provider.Pool
		if len(pool.Select.Zones) == 0 {
			pool.Select.Zones = provider.Zones
		}
		switch other := b.pools[pool.Name]; {
		case other == nil:
			b.newPools = append(b.newPools, pool)
			b.pools[pool.Name] = &pool
			b.isNewPool[pool.Name] = true
		case !b.isNewPool[pool.Name] || !other.Equal(&pool):
			b.errs = append(b.errs, PoolNameConflict.New(place, "service %q needs pool %q, but a different pool has this name", name, pool.Name))
			return nil
		}
		service.pools = append(service.pools, pool.Name)
	}
	b.services[prefixedName] = service
	return service
}

// bindFallback returns a policy's fallback with each service replaced by its pools, without duplicate pools.
func (b *binder) bindFallback(place string, pools []string) []string {
	if !slices.ContainsFunc(pools, isService) {
		return pools
	}
	var bound []string
	for _, pool := range pools {
		if !isService(pool) {
			bound = appendUnique(bound, pool)
		} else if service := b.bindService(place, pool); service != nil {
			bound = appendUnique(bound, service.pools...)
		}
	}
	return bound
}

// appendUnique appends the strings that a list does not contain yet.
func appendUnique(list []string, more ...string) []string {
	for _, s := range more {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// bindRoute binds the shares of a route and assigns the policy that its services need.
func (b *binder) bindRoute(route *routing.Route) {
	if !slices.ContainsFunc(route.To, func(share routing.SplitShare) bool { return isService(share.Pool) }) {
		return
	}
	place := "route " + route.Name
	var shares []routing.SplitShare
	var fallbacks, services []string
	for _, share := range route.To {
		if isService(share.Pool) {
			service := b.bindService(place, share.Pool)
			if service == nil {
				continue
			}
			share.Pool = service.pools[0]
			fallbacks = appendUnique(fallbacks, service.pools[1:]...)
			services = appendUnique(services, service.name)
		}
		if i := slices.IndexFunc(shares, func(other routing.SplitShare) bool { return other.Pool == share.Pool }); i >= 0 {
			shares[i].PPM += share.PPM
		} else {
			shares = append(shares, share)
		}
	}
	route.To = shares
	b.bindPolicy(place, route, fallbacks, services)
}

// bindPolicy assigns a route a policy with these fallbacks before the fallbacks of its original policy. Routes with the same
// policy and services share one new policy.
func (b *binder) bindPolicy(place string, route *routing.Route, fallbacks, services []string) {
	base := b.policies[route.Policy]
	if len(fallbacks) == 0 || route.Policy != "" && base == nil { // routing.New reports a policy that does not exist
		return
	}
	policy := routing.Policy{}
	if base != nil {
		policy = *base
	}
	policy.Fallback = appendUnique(fallbacks, policy.Fallback...)
	policy.Name = policyName(route.Policy, services)
	source := policyKey{base: route.Policy, services: strings.Join(services, "\n")}
	if !b.hasPolicyFor[source] {
		if b.policies[policy.Name] != nil {
			b.errs = append(b.errs, PoolNameConflict.New(place, "its services need policy %q, but a different policy has this name", policy.Name))
			return
		}
		b.hasPolicyFor[source] = true
		b.newPolicies = append(b.newPolicies, policy)
		b.policies[policy.Name] = &policy
	}
	route.Policy = policy.Name
}

// policyName returns the name of the policy that is made for services from a base policy. base is "" if there is none.
func policyName(base string, services []string) string {
	name := ServicePrefix + strings.Join(services, "+")
	if base == "" {
		return name
	}
	return base + "+" + name
}
