package sitelang

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"example.org/micafront/internal/routing"
)

// compileRoutes compiles the routes of a site that has passed the other checks, and reports the problems that only the
// compiled form reveals: ambiguous routes, unreached routes, and endpoints that belong to two pools or to none. It returns
// nil if the routes do not compile.
func (c *checker) compileRoutes(site *node, set *routing.Set, endpoints []routing.EndpointAttributes) *routing.Table {
	c.checkPoolOverlaps(site, set)
	table, err := routing.New(*set)
	if err != nil {
		c.reportRoutingErrors(site, err)
		return nil
	}
	c.checkUnreachedRoutes(site, set, table)
	if len(endpoints) > 0 && len(set.Pools) > 0 && site.member("pool") != nil {
		c.checkPoolMembership(site, set, endpoints)
	}
	return table
}

// declaration returns an entry of a collection, from the collection's field or from the JSON form in the field "extra". If
// both contain the entry, the later one takes effect, and declaration returns that one. If neither does, because "extra"
// spells the key in a different case than the schema, the result has the position of "extra". The entry's node is never
// nil.
func declaration(site *node, collection, name string) member {
	schemaField := siteRecord().byName[collection]
	for _, part := range slices.Backward(site.members) {
		switch part.name {
		case collection:
			if entry, ok := part.node.find(name); ok {
				return entry
			}
		case fieldExtra:
			if entry := extraEntry(part.node, schemaField, name); entry != nil {
				return member{name: name, pos: entry.pos, node: entry}
			}
		}
	}
	extra, _ := site.find(fieldExtra) // a site without the field yields no position
	return member{name: name, pos: extra.pos, node: &node{pos: extra.pos}}
}

// extraEntry returns the entry of a collection that the field "extra" holds in the JSON form; nil if there is none.
func extraEntry(extra *node, collection *field, name string) *node {
	list := extra
	for _, key := range collection.jsonPath {
		list = list.member(key)
	}
	if list == nil {
		return nil
	}
	for _, entry := range list.elements {
		if label := entry.member(collection.nameKey); label != nil && label.text == name {
			return entry
		}
	}
	return nil
}

// checkPoolOverlaps reports pools of equal precedence that may select the same endpoint.
func (c *checker) checkPoolOverlaps(site *node, set *routing.Set) {
	for i := range set.Pools {
		for j := range set.Pools[:i] {
			first := &set.Pools[j]
			second := &set.Pools[i]
			endpoint, overlap := first.Select.Overlap(&second.Select)
			if !overlap || first.Precedence != second.Precedence {
				continue
			}
			message := fmt.Sprintf("pools %q and %q may both hold %s", first.Name, second.Name, describeOverlap(endpoint, first, second))
			c.report(declaration(site, "pool", second.Name).pos, Error, message, "narrow one of them, or give one the higher precedence")
		}
	}
}

// reportRoutingErrors reports the errors that prevent the routes from compiling. It reports two ambiguous routes at the
// position of the second one.
func (c *checker) reportRoutingErrors(site *node, err error) {
	for _, e := range flattenErrors(err) {
		var ambiguity routing.AmbiguityError
		if !errors.As(e, &ambiguity) {
			c.report(site.pos, Error, e.Error(), "")
			continue
		}
		second := declaration(site, "route", ambiguity.RouteB)
		c.report(second.pos, Error, ambiguity.Error(), "give one of them the higher precedence, or narrow it")
	}
}

// checkUnreachedRoutes warns about routes that never take effect because preferred routes match all of their connections.
func (c *checker) checkUnreachedRoutes(site *node, set *routing.Set, table *routing.Table) {
	unreached, err := table.UnreachedRoutes(MatchSpaceOf(set, site.member("class").memberNames()))
	if err != nil {
		c.report(site.pos, Warning, "there are too many routes to search for unreached ones: "+err.Error(), "")
	}
	for name, preferred := range unreached {
		noun := "route"
		verb := "takes"
		if len(preferred) > 1 {
			noun = "routes"
			verb = "take"
		}
		message := fmt.Sprintf("route %q never matches: %s %s %s all that it would", name, noun, quotedList(preferred), verb)
		c.report(declaration(site, "route", name).pos, Warning, message, "")
	}
}

// checkPoolMembership warns about pools without an endpoint and endpoints without a pool.
func (c *checker) checkPoolMembership(site *node, set *routing.Set, endpoints []routing.EndpointAttributes) {
	for i := range set.Pools {
		pool := &set.Pools[i]
		if !slices.ContainsFunc(endpoints, pool.Select.Matches) {
			c.reportWarning(declaration(site, "pool", pool.Name).node, "", "pool %q takes none of the %d next hops of the list", pool.Name, len(endpoints))
		}
	}
	for _, endpoint := range endpoints {
		if !slices.ContainsFunc(set.Pools, func(pool routing.Pool) bool { return pool.Select.Matches(endpoint) }) {
			c.report(site.member("pool").pos, Warning, fmt.Sprintf("next hop %q of the list is in no pool", endpoint.ID), "")
		}
	}
}

// flattenErrors returns the errors that errors.Join has joined, at any depth.
func flattenErrors(err error) []error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, flattenErrors(e)...)
	}
	return out
}

// describeOverlap describes an endpoint that two pools select, by the attributes to which either pool sets a condition.
func describeOverlap(endpoint routing.EndpointAttributes, first, second *routing.Pool) string {
	a := &first.Select
	b := &second.Select
	var conditions []string
	if len(a.Zones)+len(b.Zones) > 0 {
		conditions = append(conditions, "in zone "+endpoint.Zone)
	}
	if len(a.MachineTypes)+len(b.MachineTypes) > 0 {
		conditions = append(conditions, "of machine type "+endpoint.MachineType)
	}
	if len(a.Cells)+len(b.Cells) > 0 {
		conditions = append(conditions, "of cell "+strconv.Itoa(endpoint.Cell))
	}
	if len(a.IDPrefixes)+len(b.IDPrefixes) > 0 {
		conditions = append(conditions, fmt.Sprintf("whose id begins with %q", endpoint.ID))
	}
	if a.SizeFrom+a.SizeTo+b.SizeFrom+b.SizeTo > 0 {
		conditions = append(conditions, "of size "+strconv.FormatFloat(endpoint.Size, 'g', -1, 64))
	}
	if len(conditions) == 0 {
		return "any next hop"
	}
	return "a next hop " + strings.Join(conditions, " and ")
}

// MatchSpaceOf returns the classes, listeners and zones that a connection can have under a set of routes.
func MatchSpaceOf(set *routing.Set, classes []string) routing.MatchSpace {
	space := routing.MatchSpace{Classes: classes, Listeners: []string{routing.MainListener}}
	for name := range set.Listeners {
		space.Listeners = append(space.Listeners, name)
	}
	slices.Sort(space.Listeners)
	for _, zone := range set.Zones {
		space.Zones = append(space.Zones, zone.Name)
	}
	return space
}
