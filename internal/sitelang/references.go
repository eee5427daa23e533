package sitelang

import (
	"fmt"
	"math/big"
	"slices"

	"example.org/micafront/internal/routing"
)

// integerValue returns the value of an integer; 0 if n is nil or not a valid integer.
func integerValue(n *node) int {
	if n == nil || n.form != formNumber {
		return 0
	}
	value, ok := new(big.Rat).SetString(n.text)
	if !ok || !value.IsInt() || !value.Num().IsInt64() {
		return 0
	}
	return int(value.Num().Int64())
}

// quantityValue returns a quantity in its base unit; nil if n is nil or not a valid quantity.
func quantityValue(n *node, q *quantity) *big.Rat {
	if n == nil || n.form != formString {
		return nil
	}
	value, _ := q.parse(n.text) // the schema check has reported the problem
	return value
}

// stringElements returns the elements of a list that are strings; nil if n is not a list.
func stringElements(n *node) []*node {
	if n == nil || n.form != formList {
		return nil
	}
	var out []*node
	for _, element := range n.elements {
		if element.form == formString {
			out = append(out, element)
		}
	}
	return out
}

// membersOf returns the members of a struct; nil if n is not a struct.
func membersOf(n *node) []member {
	if n == nil || n.form != formStruct {
		return nil
	}
	return n.members
}

// referenceChecker checks the references and limits between the parts of a site. It skips parts that are invalid.
type referenceChecker struct {
	*checker
	site *node

	// Names that the site declares.
	pools     []string
	policies  []string
	routes    []string
	classes   []string
	zones     []string
	listeners []string // including the main listener

	usedPools    map[string]bool // pools that a route or the fallback of a used policy names
	usedPolicies map[string]bool
}

// checkReferences checks the references and limits between the parts of a site.
func (c *checker) checkReferences(site *node) {
	r := &referenceChecker{
		checker:      c,
		site:         site,
		pools:        site.member("pool").memberNames(),
		policies:     site.member("policy").memberNames(),
		routes:       site.member("route").memberNames(),
		classes:      site.member("class").memberNames(),
		zones:        site.member("zone").memberNames(),
		listeners:    append(site.member("listener").memberNames(), routing.MainListener),
		usedPools:    map[string]bool{},
		usedPolicies: map[string]bool{},
	}
	r.checkNames()
	for _, policy := range membersOf(site.member("policy")) {
		r.checkPolicy(policy)
	}
	for _, route := range membersOf(site.member("route")) {
		r.checkRoute(route)
	}
	r.checkDefaultRoute()
	r.checkPolicyUse()
	for _, pool := range membersOf(site.member("pool")) { // after the routes and policies, which use pools
		r.checkPool(pool)
	}
	if len(r.pools) > 0 && len(r.routes) == 0 {
		c.report(site.member("pool").pos, Error, "there are pools and no route", "add a route to them")
	}
	if len(r.routes) > 0 && len(r.pools) == 0 {
		c.report(site.member("route").pos, Error, "there are routes and no pool", "add a pool for them")
	}
}

// checkReference returns whether a name is among the known ones, and reports an error if it is not. noun is the kind of
// entry that the name refers to, such as "pool".
func (r *referenceChecker) checkReference(n *node, noun string, known []string, path string) bool {
	if slices.Contains(known, n.text) {
		return true
	}
	r.reportError(n, unknownNameResolution(n.text, noun, known), "%s: there is no %s %q", path, noun, n.text)
	return false
}

// unknownNameResolution returns the resolution for a name that is not among the known ones. noun is the kind of entry that
// the name refers to.
func unknownNameResolution(name, noun string, known []string) string {
	if len(known) == 0 {
		return fmt.Sprintf("no %s is declared", noun)
	}
	return suggestName(name, known)
}

// checkNames checks that names are valid in metrics and log lines, and that no name is reserved.
func (r *referenceChecker) checkNames() {
	if n := r.site.member("listener").member(routing.MainListener); n != nil {
		r.reportError(n, "give it another name", "listener.main is what proxy.listen names already")
	}
	for _, collection := range []string{"listener", "policy", "pool", "route"} {
		for _, m := range membersOf(r.site.member(collection)) {
			if !routing.IsValidName(m.name) {
				message := fmt.Sprintf("%s %q has a blank or a control character in its name", collection, m.name)
				r.report(m.pos, Error, message, "figures and log lines name it")
			}
		}
	}
}

// checkPolicy checks the pools that a policy falls back to, and its numbers.
func (r *referenceChecker) checkPolicy(policy member) {
	path := joinPath("policy", policy.name)
	seen := map[string]bool{}
	for i, n := range stringElements(policy.node.member("fallback")) {
		elementPath := fmt.Sprintf("%s.fallback[%d]", path, i)
		r.checkReference(n, "pool", r.pools, elementPath)
		if seen[n.text] {
			r.reportError(n, "take it out", "%s: pool %q is in the list twice", elementPath, n.text)
		}
		seen[n.text] = true
	}
	r.checkPolicyBounds(policy, path)
}

// checkRoute checks a route's policy, pools, limits and conditions, and marks the policy and the pools as used.
func (r *referenceChecker) checkRoute(route member) {
	if route.node.form != formStruct {
		return
	}
	path := joinPath("route", route.name)
	if n := route.node.member("policy"); n != nil && n.form == formString {
		if r.checkReference(n, "policy", r.policies, path+".policy") {
			r.usedPolicies[n.text] = true
		}
	}
	r.checkSplit(route, path)
	r.checkConnectionLimits(route, path)
	r.checkRouteLimit(route, path)
	match := route.node.member("match")
	r.checkMatchNames(match, path, "class", r.classes)
	r.checkMatchNames(match, path, "listener", r.listeners)
	if len(r.zones) > 0 {
		r.checkMatchNames(match, path, "zone", r.zones)
	}
	r.checkMatchFields(match, path)
}

// checkMatchNames checks the names in one condition of a route.
func (r *referenceChecker) checkMatchNames(match *node, path, fieldName string, known []string) {
	for i, n := range stringElements(match.member(fieldName)) {
		r.checkReference(n, fieldName, known, fmt.Sprintf("%s.match.%s[%d]", path, fieldName, i))
	}
}

// matchConditions maps those fields of a first line that have a dedicated match condition to the condition's name.
var matchConditions = map[string]string{"c": "class", "g": "group"}

// perAttemptFields are the fields of a first line that differ between the attempts of one client, so that no route may
// depend on them.
var perAttemptFields = []string{"d", "h", "r", "at", "mid", "again"}

// checkMatchFields checks the names of the first line's fields that a route matches.
func (r *referenceChecker) checkMatchFields(match *node, path string) {
	for _, m := range membersOf(match.member("fields")) {
		condition := matchConditions[m.name]
		switch {
		case condition != "":
			message := fmt.Sprintf("%s.match.fields: field %q is the %s", path, m.name, condition)
			r.report(m.pos, Error, message, "match it as "+condition)
		case slices.Contains(perAttemptFields, m.name):
			message := fmt.Sprintf("%s.match.fields: field %q cannot be matched", path, m.name)
			r.report(m.pos, Error, message, "it differs from one try of a client to the next")
		}
	}
}

// checkDefaultRoute checks that the default route exists. It warns if none is set and no route matches every connection.
func (r *referenceChecker) checkDefaultRoute() {
	n := r.site.member("default_route")
	if n != nil && n.form == formString {
		r.checkReference(n, "route", r.routes, "default_route")
	} else if n == nil && len(r.routes) > 0 && !hasCatchAllRoute(r.site) {
		r.report(r.site.member("route").pos, Warning, "there is no default_route", "connections that no route matches will fail")
	}
}

// hasCatchAllRoute reports whether a route has no condition.
func hasCatchAllRoute(site *node) bool {
	return slices.ContainsFunc(membersOf(site.member("route")), func(route member) bool {
		return len(membersOf(route.node.member("match"))) == 0
	})
}

// checkPolicyUse warns about policies that no route uses, and marks the fallbacks of the other policies as used pools.
func (r *referenceChecker) checkPolicyUse() {
	for _, policy := range membersOf(r.site.member("policy")) {
		if !r.usedPolicies[policy.name] {
			r.report(policy.pos, Warning, fmt.Sprintf("policy %q is used by no route", policy.name), "")
			continue
		}
		for _, n := range stringElements(policy.node.member("fallback")) {
			r.usedPools[n.text] = true
		}
	}
}

// checkPool warns about an unused pool, and checks the pool's limits and the conditions by which it selects endpoints.
func (r *referenceChecker) checkPool(pool member) {
	path := joinPath("pool", pool.name)
	if !r.usedPools[pool.name] && len(r.routes) > 0 {
		r.report(pool.pos, Warning, fmt.Sprintf("pool %q is used by no route", pool.name), "its next hops get nothing")
	}
	r.checkConnectionLimits(pool, path)
	selection := pool.node.member("select")
	if len(r.zones) > 0 {
		for i, zone := range stringElements(selection.member("zones")) {
			r.checkReference(zone, "zone", r.zones, fmt.Sprintf("%s.select.zones[%d]", path, i))
		}
	}
	from := selection.member("size_from")
	to := selection.member("size_to")
	if from == nil || to == nil || r.invalid[from] || r.invalid[to] {
		return
	}
	if mustRational(from.text).Cmp(mustRational(to.text)) > 0 {
		r.reportError(to, "", "%s.select takes sizes from %s to %s, which none has", path, from.text, to.text)
	}
}
