package routing

import "slices"

// UnreachedRoutes returns the routes that no connection in a match space reaches. It maps the name of each such route to the
// names of the routes that precede it and claim some of its connections. The default route counts as reached. The error is
// ErrTooManyCells if there are too many cells to visit.
func (t *Table) UnreachedRoutes(space MatchSpace) (map[string][]string, error) {
	reached := map[int32]bool{}
	d := newDiffer(t, &Table{defaultRoute: -1}, t.FieldNames, space)
	d.visit = func(first *diffRule) {
		if first != nil {
			reached[first.rule.route] = true
		} else if t.defaultRoute >= 0 {
			reached[int32(t.defaultRoute)] = true
		}
	}
	if err := d.walkAllCells(); err != nil {
		return nil, err
	}
	unreached := map[string][]string{}
	for i := range t.Set.Routes {
		if !reached[int32(i)] && i != t.defaultRoute {
			unreached[t.Set.Routes[i].Name] = t.shadowingRoutes(int32(i))
		}
	}
	return unreached, nil
}

// shadowingRoutes returns the sorted names of the routes that precede a route and claim some of its connections.
func (t *Table) shadowingRoutes(route int32) []string {
	var names []string
	for i := range t.rules {
		if t.rules[i].route != route {
			continue
		}
		for j := range t.rules[:i] {
			name := t.Set.Routes[t.rules[j].route].Name
			if t.rules[j].route != route && rulesOverlap(&t.rules[i], &t.rules[j]) && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}
