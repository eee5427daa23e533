package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// mergeChanges merges changes that differ in the texts of one dimension only, until no two of them do, and sorts the result.
func (d *differ) mergeChanges(changes []Change) []Change {
	for before := -1; before != len(changes); {
		before = len(changes)
		for dimension := range d.closedValues {
			changes = d.mergeDimension(dimension, changes)
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(signature(&a, ""), signature(&b, "")), cmp.Compare(a.From, b.From))
	})
	return changes
}

// spanIndex returns the position of a dimension's span in a change's cell; -1: there is none.
func (c *Change) spanIndex(dimension string) int {
	return slices.IndexFunc(c.Cell, func(s Span) bool { return s.Dimension == dimension })
}

// mergeDimension merges the changes that differ in the texts of this dimension only.
func (d *differ) mergeDimension(dimension int, changes []Change) []Change {
	name := d.dimensionName(dimension)
	groups := map[string][]Change{} // of changes that are equal in everything else
	var order []string
	var merged []Change
	for _, c := range changes {
		if c.spanIndex(name) < 0 {
			merged = append(merged, c)
			continue
		}
		key := signature(&c, name)
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], c)
	}
	for _, key := range order {
		merged = append(merged, mergeGroup(name, d.closedValues[dimension], groups[key])...)
	}
	return merged
}

// mergeGroup merges changes that differ in one dimension only: their texts become one span, which is left out where the
// group covers all texts. Changes whose spans are prefixes stay as they are. closedValues are the dimension's possible texts;
// none: any.
func mergeGroup(dimension string, closedValues []string, group []Change) []Change {
	var texts []string
	var first *Change   // with texts
	var others []Change // with prefixes
	for i := range group {
		c := &group[i]
		span := c.Cell[c.spanIndex(dimension)]
		if len(span.Texts) == 0 {
			others = append(others, *c)
			continue
		}
		if first == nil {
			first = c
		}
		texts = append(texts, span.Texts...)
	}
	if first == nil {
		return others
	}
	slices.Sort(texts)
	texts = slices.Compact(texts)
	coversAll := len(others) == 0 && len(closedValues) > 0 && len(texts) == len(closedValues)
	if len(others) == 1 {
		rest := others[0].Cell[others[0].spanIndex(dimension)]
		coversAll = rest.Prefix == "" && len(rest.ExceptPrefixes) == 0 && slices.Equal(rest.ExceptTexts, texts)
	}
	merged := *first
	merged.Cell = slices.Clone(first.Cell)
	i := merged.spanIndex(dimension)
	if coversAll {
		merged.Cell = slices.Delete(merged.Cell, i, i+1)
		return []Change{merged}
	}
	merged.Cell[i].Texts = texts
	return append(others, merged)
}

// signature identifies a change by its contents, without the texts of one dimension; "": with all.
func signature(c *Change, without string) string {
	var b strings.Builder
	for _, s := range c.Cell {
		if s.Dimension == without {
			s = Span{Dimension: without}
		}
		fmt.Fprintf(&b, "%q", s)
	}
	fmt.Fprintf(&b, "%d %d %+v %+v", c.From, c.PPM, c.Old, c.New)
	return b.String()
}
