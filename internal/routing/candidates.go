package routing

import "fmt"

// Candidate is a route that matches a connection, and the reason why it does or does not apply.
type Candidate struct {
	Route  string `json:"route"`
	Match  string `json:"match"` // description of the rule that matches
	Reason string `json:"why"`
}

// Candidates returns all routes that match a connection, starting with the route that applies. The default route comes last.
func (t *Table) Candidates(connection *ConnectionAttributes) []Candidate {
	var candidates []Candidate
	var first *rule
	seen := map[int32]bool{}
	for i := range t.rules {
		r := &t.rules[i]
		if seen[r.route] || !t.matches(r, connection) {
			continue
		}
		seen[r.route] = true
		c := Candidate{Route: t.Set.Routes[r.route].Name, Match: t.describeRule(r)}
		if first == nil {
			first = r
			c.Reason = "it has the connection"
		} else {
			c.Reason = t.explainOrder(first, r)
		}
		candidates = append(candidates, c)
	}
	if t.defaultRoute >= 0 && !seen[int32(t.defaultRoute)] {
		c := Candidate{Route: t.Set.Default, Match: "the default", Reason: "a route that matches comes before the default"}
		if first == nil {
			c.Reason = "no route matches, and this is the default"
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// explainOrder returns the reason why a rule comes after the first matching rule.
func (t *Table) explainOrder(first, r *rule) string {
	firstRoute, route := &t.Set.Routes[first.route], &t.Set.Routes[r.route]
	if firstRoute.Precedence != route.Precedence {
		return fmt.Sprintf("its precedence is %d, that of %q is %d", route.Precedence, firstRoute.Name, firstRoute.Precedence)
	}
	for dimension := range r.lengths {
		if first.lengths[dimension] != r.lengths[dimension] {
			return fmt.Sprintf("%q is more specific on the %s", firstRoute.Name, t.dimensionName(dimension))
		}
	}
	return fmt.Sprintf("%q comes first", firstRoute.Name)
}
