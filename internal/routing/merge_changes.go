package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// mergeChanges merges changes that differ only in the texts of one dimension until no such pair is left, and sorts the result.
func (d *differ) mergeChanges(changes []Change) []Change {
	for before := -1; before != len(changes); {
		before = len(changes)
		for dimension := range d.enumValues {
			changes = d.mergeDimension(dimension, changes)
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(signature(&a, ""), signature(&b, "")), cmp.Compare(a.From, b.From))
	})
	return changes
}

// spanIndex returns the position of the span of a dimension in the cell, or -1 if there is none.
func (c *Change) spanIndex(dimension string) int {
	return slices.IndexFunc(c.Cell, func(s Span) bool { return s.Dimension == dimension })
}

// mergeDimension merges the changes that differ only in the texts of a dimension.
func (d *differ) mergeDimension(dimension int, changes []Change) []Change {
	name := d.dimensionName(dimension)
	groups := map[string][]Change{} // by signature without this dimension
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
		merged = append(merged, mergeGroup(name, d.enumValues[dimension], groups[key])...)
	}
	return merged
}

// mergeGroup merges changes that differ only in one dimension. It joins their texts into one span, and omits that span if the
// group covers all texts. It keeps changes whose spans are prefixes. enumValues are the possible texts of the dimension; empty
// means any text.
func mergeGroup(dimension string, closedValues []string, group []Change) []Change {
	var texts []string
	var first *Change   // first change with texts
	var others []Change // changes with prefixes
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

// signature returns a text that identifies the contents of a change, without the texts of one dimension. With "", it includes
// all dimensions.
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
