package catalog

import (
	"errors"
	"slices"
	"strings"

	"example.org/micafront/internal/routing"
)

// ServicePrefix marks a service where routes and policies name pools.
const ServicePrefix = "service:"

// Bind implements Merger: it is BindFor without a mesh.
func (r Rules) Bind(set routing.Set, s *State, zone string) (routing.Set, error) {
	return r.BindFor(set, s, zone, "")
}

// BindFor replaces the services that a set names by pools.
//
// Each provider of a service becomes a pool, NAME.MESH, once in the set. It selects the endpoints of the provider's zones,
// unless its mesh's selection names zones itself. A share of a split that names a service goes to the first provider in the
// order of ProvidersFor. Shares of the same pool become one with the sum of their weights.
//
// The other providers are fallbacks of the route: they precede the fallback of the route's policy, since they are the same
// service. Such a route gets a policy of its own, which is named by the former policy and the services, and which routes
// that need the same one share. A split says that each of its shares may serve any of the route's connections, so with
// several services in a split all their providers are fallbacks. A policy whose fallback names a service falls back to its
// providers in order, at that place.
//
// The error joins those of all names that cannot be bound.
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

// ServiceNames returns the sorted names of the services that a set's routes and policies name.
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

// boundService is a service whose providers have become pools.
type boundService struct {
	name  string
	pools []string // by preference
}

// binder collects what a set needs beside its own pools and policies.
type binder struct {
	state        *State
	zone         string
	mesh         string
	services     map[string]*boundService // by the name in the set, ServicePrefix included; those that failed are not in it
	pools        map[string]*routing.Pool // the set's and new ones, by name
	newPools     []routing.Pool
	isNewPool    map[string]bool            // by name
	policies     map[string]*routing.Policy // the set's and new ones, by name
	newPolicies  []routing.Policy
	hasPolicyFor map[policySource]bool // those of newPolicies
	errs         []error
}

// policySource is what a new policy is made from.
type policySource struct {
	base     string // the route's own policy; "": none
	services string // names, separated by newlines, which no name contains
}

// newBinder makes a binder for a set with these pools. Its policies are added once they are bound.
func newBinder(s *State, zone, mesh string, pools []routing.Pool) *binder {
	b := &binder{
		state:        s,
		zone:         zone,
		mesh:         mesh,
		services:     map[string]*boundService{},
		pools:        map[string]*routing.Pool{},
		isNewPool:    map[string]bool{},
		policies:     map[string]*routing.Policy{},
		hasPolicyFor: map[policySource]bool{},
	}
	for i := range pools {
		b.pools[pools[i].Name] = &pools[i]
	}
	return b
}
func isService(pool string) bool { return strings.HasPrefix(pool, ServicePrefix) }

// bindService makes the pools of a service, which place names; nil where it cannot, which adds an error for each place.
func (b *binder) bindService(place, prefixedName string) *boundService {
	if service, ok := b.services[prefixedName]; ok {
		return service
	}
	name := strings.TrimPrefix(prefixedName, ServicePrefix)
	if b.pools[prefixedName] != nil {
		b.errs = append(b.errs, PoolNameConflict.New(place, "the site has a pool named %q, which names a service", prefixedName))
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
			b.errs = append(b.errs, PoolNameConflict.New(place, "service %q needs pool %q, whose name another pool has", name, pool.Name))
			return nil
		}
		service.pools = append(service.pools, pool.Name)
	}
	b.services[prefixedName] = service
	return service
}

// bindFallback returns a policy's fallback with services replaced by their pools, each pool once.
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

// appendUnique appends the strings that a list does not have yet.
func appendUnique(list []string, more ...string) []string {
	for _, s := range more {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// bindRoute binds the shares of a route and gives it the policy that its services need.
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

// bindPolicy gives a route a policy with these fallbacks before those of its own policy. Routes that need the same policy share
// one.
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
	source := policySource{base: route.Policy, services: strings.Join(services, "\n")}
	if !b.hasPolicyFor[source] {
		if b.policies[policy.Name] != nil {
			b.errs = append(b.errs, PoolNameConflict.New(place, "its services need policy %q, whose name another policy has", policy.Name))
			return
		}
		b.hasPolicyFor[source] = true
		b.newPolicies = append(b.newPolicies, policy)
		b.policies[policy.Name] = &policy
	}
	route.Policy = policy.Name
}

// policyName returns the name of a policy that is made for services from a base policy; base "": from none.
func policyName(base string, services []string) string {
	name := ServicePrefix + strings.Join(services, "+")
	if base == "" {
		return name
	}
	return base + "+" + name
}
