package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Rules and their precedence.
//
// A route expands to one rule for each combination of the alternatives of its conditions. A rule has one pattern in each
// dimension. Of the matching rules, the rule of the route with the highest precedence applies. At equal precedence, the most
// specific rule applies: the dimensions are compared in the order key, group, further fields by name, class, listener, zone. In
// each dimension, an exact text precedes a prefix, a longer prefix precedes a shorter one, and any prefix precedes no
// condition. Rules with the same precedence and the same patterns are duplicates. New rejects duplicates from different routes.

// Dimensions of a rule. Class, listener and zone follow the last field.
const (
	keyDimension = iota
	groupDimension
	firstFieldDimension // one dimension for each of Table.FieldNames
)

// Dimensions after the last field, as offsets from the end of the fields.
const (
	classOffset = iota
	listenerOffset
	zoneOffset
	trailingDimensions // number of these dimensions
)

// trailingNames are the names of the dimensions after the last field.
var trailingNames = [trailingDimensions]string{classOffset: "class", listenerOffset: "listener", zoneOffset: "zone"}

// Special lengths of a pattern. The length of a prefix pattern is the length of the prefix in bytes.
const (
	anyText   = -1
	exactText = 1 << 20 // longer than any prefix
)

// rule is one combination of a route's conditions.
type rule struct {
	route   int32
	lengths []int32 // of the patterns, by dimension; see pattern
	texts   []string
}

// pattern is one alternative of a condition.
type pattern struct {
	length int32 // length of a prefix, or anyText or exactText
	text   string
}

// patterns returns the alternatives of a condition, sorted and without duplicates. A condition that matches every text has a
// single alternative with the length anyText.
func patterns(s StringMatcher) []pattern {
	if s.MatchesAll() {
		return []pattern{{length: anyText}}
	}
	var alternatives []pattern
	for _, text := range s.Exact {
		alternatives = append(alternatives, pattern{length: exactText, text: text})
	}
	for _, prefix := range s.Prefix {
		alternatives = append(alternatives, pattern{length: int32(len(prefix)), text: prefix})
	}
	slices.SortFunc(alternatives, func(a, b pattern) int {
		return cmp.Or(cmp.Compare(a.text, b.text), cmp.Compare(a.length, b.length))
	})
	return slices.Compact(alternatives)
}

// conditions returns the alternatives of the conditions of a match, by dimension.
func (t *Table) conditions(m *Match) [][]pattern {
	byDimension := [][]pattern{patterns(m.Key), patterns(m.Group)}
	for _, name := range t.FieldNames {
		byDimension = append(byDimension, patterns(m.Fields[name]))
	}
	return append(byDimension, patterns(StringMatcher{Exact: m.Class}), patterns(StringMatcher{Exact: m.Listener}),
		patterns(StringMatcher{Exact: m.Zone}))
}

// expandRoute returns the rules of a route, one for each combination of the alternatives of its conditions. It does not set
// rule.route.
func (t *Table) expandRoute(r *Route) []rule {
	rules := []rule{{}}
	for _, alternatives := range t.conditions(&r.Match) {
		var extended []rule
		for _, partial := range rules {
			for _, p := range alternatives {
				extended = append(extended, rule{
					lengths: append(slices.Clone(partial.lengths), p.length),
					texts:   append(slices.Clone(partial.texts), p.text),
				})
			}
		}
		rules = extended
	}
	return rules
}

// compareRules orders rules by descending precedence of their routes, and then from the most to the least specific, so that the
// rule that applies comes first.
func (t *Table) compareRules(a, b rule) int {
	return cmp.Or(
		cmp.Compare(t.Set.Routes[b.route].Precedence, t.Set.Routes[a.route].Precedence),
		slices.Compare(b.lengths, a.lengths),
		slices.Compare(a.texts, b.texts),
		cmp.Compare(t.Set.Routes[a.route].Name, t.Set.Routes[b.route].Name))
}

// AmbiguityError reports two routes that claim the same connections at the same precedence.
type AmbiguityError struct {
	RouteA      string // names of the routes
	RouteB      string
	Connections string // description of the connections
}

func (a AmbiguityError) Error() string {
	return fmt.Sprintf("routes %q and %q both claim %s, at the same precedence", a.RouteA, a.RouteB, a.Connections)
}

// Unwrap returns the error's kind.
func (a AmbiguityError) Unwrap() error { return ambiguousRoutes.New("", "") }

// routePair identifies two routes, so that they are reported once even if several of their rules are equal.
type routePair struct {
	first  int32
	second int32
}

// checkAmbiguities returns an error for each pair of routes with equal rules. Equal rules are adjacent because the rules are
// sorted.
func (t *Table) checkAmbiguities() error {
	var errs []error
	reported := map[routePair]bool{}
	for i := 1; i < len(t.rules); i++ {
		a, b := &t.rules[i-1], &t.rules[i]
		routeA, routeB := &t.Set.Routes[a.route], &t.Set.Routes[b.route]
		sameConditions := slices.Equal(a.lengths, b.lengths) && slices.Equal(a.texts, b.texts)
		if a.route == b.route || !sameConditions || routeA.Precedence != routeB.Precedence {
			continue
		}
		pair := routePair{first: a.route, second: b.route}
		if !reported[pair] {
			reported[pair] = true
			errs = append(errs, AmbiguityError{RouteA: routeA.Name, RouteB: routeB.Name, Connections: t.describeRule(b)})
		}
	}
	return errors.Join(errs...)
}

// dimensionName returns the name of a dimension for operators.
func (t *Table) dimensionName(dimension int) string {
	trailing := dimension - firstFieldDimension - len(t.FieldNames)
	switch {
	case dimension == keyDimension:
		return "key"
	case dimension == groupDimension:
		return "group"
	case trailing < 0:
		return "field " + t.FieldNames[dimension-firstFieldDimension]
	default:
		return trailingNames[trailing]
	}
}

// describeRule describes the connections that a rule matches.
func (t *Table) describeRule(r *rule) string {
	var conditions []string
	for dimension, length := range r.lengths {
		name := t.dimensionName(dimension)
		text := r.texts[dimension]
		switch {
		case length == exactText && text == "":
			conditions = append(conditions, "no "+name)
		case length == exactText:
			conditions = append(conditions, fmt.Sprintf("%s %q", name, text))
		case length >= 0:
			conditions = append(conditions, fmt.Sprintf("%s %q…", name, text))
		}
	}
	if len(conditions) == 0 {
		return "every connection"
	}
	return strings.Join(conditions, ", ")
}

// matches reports whether a rule matches a connection.
func (t *Table) matches(r *rule, connection *ConnectionAttributes) bool {
	for dimension, length := range r.lengths {
		text := t.connectionText(connection, dimension)
		switch {
		case length == anyText:
		case length == exactText && text != r.texts[dimension]:
			return false
		case length != exactText && !strings.HasPrefix(text, r.texts[dimension]):
			return false
		}
	}
	return true
}

// connectionText returns the text of a connection in a dimension, or "" for a missing field.
func (t *Table) connectionText(connection *ConnectionAttributes, dimension int) string {
	switch dimension {
	case keyDimension:
		return connection.Key
	case groupDimension:
		return connection.Group
	}
	field := dimension - firstFieldDimension
	if field < len(t.FieldNames) {
		if field < len(connection.Fields) {
			return connection.Fields[field]
		}
		return ""
	}
	switch field - len(t.FieldNames) {
	case classOffset:
		return connection.Class
	case listenerOffset:
		return connection.Listener
	default:
		return connection.Zone
	}
}

// rulesOverlap reports whether a connection can match both rules.
func rulesOverlap(a, b *rule) bool {
	for dimension := range a.lengths {
		textA, textB := a.texts[dimension], b.texts[dimension]
		exactA, exactB := a.lengths[dimension] == exactText, b.lengths[dimension] == exactText
		overlap := false
		switch {
		case a.lengths[dimension] == anyText || b.lengths[dimension] == anyText:
			overlap = true
		case exactA && exactB:
			overlap = textA == textB
		case exactA:
			overlap = strings.HasPrefix(textA, textB)
		case exactB:
			overlap = strings.HasPrefix(textB, textA)
		default:
			overlap = strings.HasPrefix(textA, textB) || strings.HasPrefix(textB, textA)
		}
		if !overlap {
			return false
		}
	}
	return true
}
