package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxCells bounds the work of one comparison.
const maxCells = 4_000_000

// Sides of a comparison, by which its arrays are indexed.
const (
	oldSide = iota
	newSide
	sideCount
)

// differ compares two tables cell by cell. A cell is a span in each dimension.
type differ struct {
	tables       [sideCount]*Table
	fields       []string               // of both tables, sorted
	closedValues [][]string             // by dimension, from MatchSpace; none: any text
	rules        [sideCount][]*diffRule // of the tables, by precedence
	ruleIDs      map[string]int32       // by the contents of a rule
	changes      []Change               // found so far
	cellCount    int
	visit        func(first *diffRule) // in place of a comparison: gets the old table's rule of each cell, nil: none
}

// diffRule is a rule in the common dimensions of both tables.
type diffRule struct {
	id            int32 // the same for rules with the same conditions and outcomes
	lastCondition int   // the last dimension with a condition; -1: none
	lengths       []int32
	texts         []string
	rule          *rule
}

// newDiffer makes a differ. fields are the sorted field names of both tables, each once.
func newDiffer(oldTable, newTable *Table, fields []string, space MatchSpace) *differ {
	d := &differ{tables: [sideCount]*Table{oldSide: oldTable, newSide: newTable}, ruleIDs: map[string]int32{}, fields: fields}
	d.closedValues = make([][]string, firstFieldDimension+len(fields)+trailingDimensions)
	trailing := d.closedValues[firstFieldDimension+len(fields):]
	trailing[classOffset] = space.Classes
	trailing[listenerOffset] = space.Listeners
	trailing[zoneOffset] = space.Zones
	for side, t := range d.tables {
		for i := range t.rules {
			d.rules[side] = append(d.rules[side], d.newRule(t, &t.rules[i]))
		}
	}
	return d
}

// newRule returns a rule of a table in the common dimensions of both tables.
func (d *differ) newRule(t *Table, r *rule) *diffRule {
	common := &diffRule{rule: r, lastCondition: -1}
	add := func(length int32, text string) {
		common.lengths = append(common.lengths, length)
		common.texts = append(common.texts, text)
	}
	addDimension := func(dimension int) { add(r.lengths[dimension], r.texts[dimension]) }
	addDimension(keyDimension)
	addDimension(groupDimension)
	for _, name := range d.fields {
		if i := slices.Index(t.FieldNames, name); i >= 0 {
			addDimension(firstFieldDimension + i)
		} else {
			add(anyText, "")
		}
	}
	for i := range trailingDimensions {
		addDimension(firstFieldDimension + len(t.FieldNames) + i)
	}
	for dimension, length := range common.lengths {
		if length != anyText {
			common.lastCondition = dimension
		}
	}
	common.id = d.ruleID(t, common)
	return common
}

// ruleID returns the number of a rule's conditions and outcomes, which rules with the same ones share.
func (d *differ) ruleID(t *Table, r *diffRule) int32 {
	contents := fmt.Sprintf("%v %q ", r.lengths, r.texts)
	for i, share := range t.targets[r.rule.route].shares {
		contents += fmt.Sprintf("%d %+v ", share.PPM, t.outcome(int(r.rule.route), i))
	}
	id, ok := d.ruleIDs[contents]
	if !ok {
		id = int32(len(d.ruleIDs))
		d.ruleIDs[contents] = id
	}
	return id
}

// walkAllCells compares or visits all cells. It fails with ErrTooManyCells.
func (d *differ) walkAllCells() error {
	return d.walkCells(0, d.rules, make([]*Span, len(d.closedValues)))
}

// walkCells divides a cell along a dimension and those after it, and compares or visits what results. rules are those that can
// still match, in their order. The spans of cell from dimension on are nil, before and after the call.
func (d *differ) walkCells(dimension int, rules [sideCount][]*diffRule, cell []*Span) error {
	d.cellCount++
	if d.cellCount > maxCells {
		return ErrTooManyCells
	}
	if d.visit == nil && d.decideAlike(rules) {
		return nil
	}
	if isDecided(rules[oldSide], dimension) && isDecided(rules[newSide], dimension) {
		if d.visit != nil {
			d.visit(firstRule(rules[oldSide]))
		} else {
			d.compareCell(rules, cell)
		}
		return nil
	}
	spans, byText := d.divideDimension(dimension, rules)
	for i := range spans {
		var matching [sideCount][]*diffRule
		for side := range rules {
			matching[side] = byText[side].matching(&spans[i])
		}
		cell[dimension] = &spans[i]
		if err := d.walkCells(dimension+1, matching, cell); err != nil {
			return err
		}
		cell[dimension] = nil
	}
	return nil
}

// isDecided reports whether the first of the rules applies whatever the texts from a dimension on are.
func isDecided(rules []*diffRule, dimension int) bool {
	return len(rules) == 0 || rules[0].lastCondition < dimension
}

// firstRule returns the rule that applies where rules are decided; nil: none does.
func firstRule(rules []*diffRule) *diffRule {
	if len(rules) == 0 {
		return nil
	}
	return rules[0]
}

// decideAlike reports whether both tables have the same rules, and, where all of them can fail to match, the same default.
func (d *differ) decideAlike(rules [sideCount][]*diffRule) bool {
	oldRules, newRules := rules[oldSide], rules[newSide]
	if !slices.EqualFunc(oldRules, newRules, func(a, b *diffRule) bool { return a.id == b.id }) {
		return false
	}
	count := len(oldRules)
	alwaysMatches := count > 0 && oldRules[count-1].lastCondition < 0
	return alwaysMatches || d.sameDefault()
}

// sameDefault reports whether both tables decide alike where no rule matches.
func (d *differ) sameDefault() bool {
	a, b := d.tables[oldSide], d.tables[newSide]
	if a.defaultRoute < 0 || b.defaultRoute < 0 {
		return a.defaultRoute == b.defaultRoute
	}
	shares := a.targets[a.defaultRoute].shares
	if !slices.Equal(shares, b.targets[b.defaultRoute].shares) {
		return false
	}
	for i := range shares {
		if a.outcome(a.defaultRoute, i) != b.outcome(b.defaultRoute, i) {
			return false
		}
	}
	return true
}

// rulesByText finds rules by their text in one dimension. Numbers are positions in rules.
type rulesByText struct {
	rules         []*diffRule
	unconditional []int
	exact         map[string][]int
	prefix        map[string][]int
	prefixLengths []int32
}

// newRulesByText indexes rules by their texts in a dimension, which it also adds to two sets.
func newRulesByText(rules []*diffRule, dimension int, exactTexts, prefixTexts map[string]bool) *rulesByText {
	b := &rulesByText{rules: rules, exact: map[string][]int{}, prefix: map[string][]int{}}
	for i, r := range rules {
		length, text := r.lengths[dimension], r.texts[dimension]
		switch length {
		case anyText:
			b.unconditional = append(b.unconditional, i)
		case exactText:
			b.exact[text] = append(b.exact[text], i)
			exactTexts[text] = true
		default:
			b.prefix[text] = append(b.prefix[text], i)
			prefixTexts[text] = true
			if !slices.Contains(b.prefixLengths, length) {
				b.prefixLengths = append(b.prefixLengths, length)
			}
		}
	}
	return b
}

// matching returns the rules that match the texts of a span, in their order.
func (b *rulesByText) matching(s *Span) []*diffRule {
	positions := slices.Clone(b.unconditional)
	text := s.Prefix
	if len(s.Texts) > 0 {
		// Several texts are ones that no rule names, so all rules match them alike.
		text = s.Texts[0]
		positions = append(positions, b.exact[text]...)
	}
	for _, length := range b.prefixLengths {
		if len(text) >= int(length) {
			positions = append(positions, b.prefix[text[:length]]...)
		}
	}
	slices.Sort(positions)
	matching := make([]*diffRule, len(positions))
	for i, position := range positions {
		matching[i] = b.rules[position]
	}
	return matching
}

// divideDimension divides a dimension into spans in which all texts satisfy the same conditions of the rules, which it indexes
// by their texts in that dimension.
func (d *differ) divideDimension(dimension int, rules [sideCount][]*diffRule) (spans []Span, byText [sideCount]*rulesByText) {
	exact := map[string]bool{}
	prefixes := map[string]bool{"": true}
	if dimension == groupDimension {
		exact[""] = true // without a group the key decides the place in a split
	}
	for side := range rules {
		byText[side] = newRulesByText(rules[side], dimension, exact, prefixes)
	}
	name := d.dimensionName(dimension)
	if values := d.closedValues[dimension]; len(values) > 0 {
		return closedSpans(name, values, exact), byText
	}
	return openSpans(name, slices.Sorted(maps.Keys(exact)), slices.Sorted(maps.Keys(prefixes))), byText
}

// closedSpans divides a dimension of given values into the texts that rules name and the rest.
func closedSpans(name string, values []string, exact map[string]bool) (spans []Span) {
	var rest []string
	for _, text := range values {
		if exact[text] {
			spans = append(spans, Span{Dimension: name, Texts: []string{text}})
		} else {
			rest = append(rest, text)
		}
	}
	if len(rest) > 0 {
		spans = append(spans, Span{Dimension: name, Texts: rest})
	}
	return spans
}

// openSpans divides a dimension of any texts into the texts that rules name, and for each prefix what begins with it but is
// in no other span. Both lists are sorted.
func openSpans(name string, exact, prefixes []string) (spans []Span) {
	for _, text := range exact {
		spans = append(spans, Span{Dimension: name, Texts: []string{text}})
	}
	for i, prefix := range prefixes {
		span := Span{Dimension: name, Prefix: prefix}
		first, _ := slices.BinarySearch(exact, prefix)
		for _, text := range exact[first:] {
			if !strings.HasPrefix(text, prefix) {
				break
			}
			span.ExceptTexts = append(span.ExceptTexts, text)
		}
		for _, longer := range prefixes[i+1:] {
			if !strings.HasPrefix(longer, prefix) {
				break
			}
			span.ExceptPrefixes = append(span.ExceptPrefixes, longer)
		}
		spans = append(spans, span)
	}
	return spans
}

func (d *differ) dimensionName(dimension int) string {
	t := Table{FieldNames: d.fields}
	return t.dimensionName(dimension)
}

// singlePlace is the number of places in a range where a connection's place is fixed.
const singlePlace = 1

// compareCell adds the changes in a cell for which rules are decided.
func (d *differ) compareCell(rules [sideCount][]*diffRule, cell []*Span) {
	var routes [sideCount]int // -1: none
	for side, t := range d.tables {
		routes[side] = t.defaultRoute
		if first := firstRule(rules[side]); first != nil {
			routes[side] = int(first.rule.route)
		}
	}
	// The place in a split is fixed where the cell has a single group, or no group and a single key.
	group, hasGroup := singleText(cell[groupDimension])
	key, hasKey := singleText(cell[keyDimension])
	switch {
	case hasGroup && group != "":
		d.compareSplits(routes, cell, SplitPosition(&ConnectionAttributes{Group: group}), singlePlace)
	case hasGroup && hasKey:
		d.compareSplits(routes, cell, SplitPosition(&ConnectionAttributes{Key: key}), singlePlace)
	case cell[groupDimension] == nil && hasKey && d.hasSplit(routes):
		// Not divided by group: connections without a group have the key's place, others that of their group.
		name := d.dimensionName(groupDimension)
		cell[groupDimension] = &Span{Dimension: name, Texts: []string{""}}
		d.compareSplits(routes, cell, SplitPosition(&ConnectionAttributes{Key: key}), singlePlace)
		cell[groupDimension] = &Span{Dimension: name, ExceptTexts: []string{""}}
		d.compareSplits(routes, cell, 0, TotalPPM)
		cell[groupDimension] = nil
	default:
		d.compareSplits(routes, cell, 0, TotalPPM)
	}
}

// singleText returns the only text of a span; ok is false where it has another number of them. A nil span has any text.
func singleText(s *Span) (text string, ok bool) {
	if s == nil || len(s.Texts) != 1 {
		return "", false
	}
	return s.Texts[0], true
}

// hasSplit reports whether one of the tables' routes has several shares.
func (d *differ) hasSplit(routes [sideCount]int) bool {
	for side, t := range d.tables {
		if routes[side] >= 0 && len(t.targets[routes[side]].shares) > 1 {
			return true
		}
	}
	return false
}

// compareSplits compares two routes' splits over a range of places, and adds a change for each part of the range in which the
// outcomes differ. A range of singlePlace is that of all connections in the cell.
func (d *differ) compareSplits(routes [sideCount]int, cell []*Span, from, count int) {
	for place := from; place < from+count; {
		end := from + count // of the places with the same outcomes
		var outcomes [sideCount]Outcome
		for side, t := range d.tables {
			if routes[side] < 0 {
				continue
			}
			to := &t.targets[routes[side]]
			share := to.shareAt(place)
			outcomes[side] = t.outcome(routes[side], share)
			end = min(end, max(int(to.ends[share]), place+1))
		}
		if aspects := differences(outcomes[oldSide], outcomes[newSide]); len(aspects) > 0 {
			c := Change{PPM: end - place, From: place, Old: outcomes[oldSide], New: outcomes[newSide], Aspects: aspects}
			if count == singlePlace {
				c.From = 0
				c.PPM = TotalPPM
			}
			for _, s := range cell {
				if s != nil && !s.isUnbounded() {
					c.Cell = append(c.Cell, *s)
				}
			}
			d.changes = append(d.changes, c)
		}
		place = end
	}
}
