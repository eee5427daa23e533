package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxCells is the largest number of cells that one comparison visits.
const maxCells = 4_000_000

// Sides of a comparison, used as array indexes.
const (
	oldSide = iota
	newSide
	sideCount
)

// differ compares two tables cell by cell. A cell consists of one span in each dimension.
type differ struct {
	tables     [sideCount]*Table
	fields     []string               // of both tables, sorted
	enumValues [][]string             // possible values by dimension, from MatchSpace; empty: any text
	rules      [sideCount][]*diffRule // rules of each table, by precedence
	ruleIDs    map[string]int32       // by rule contents, see ruleID
	changes    []Change               // found so far
	cellCount  int
	visit      func(first *diffRule) // called for each cell instead of comparing, with the rule of the old table or nil
}

// diffRule is a rule expressed in the common dimensions of both tables.
type diffRule struct {
	id            int32 // equal for rules with equal conditions and outcomes
	lastCondition int   // the last dimension with a condition; -1: none
	lengths       []int32
	texts         []string
	rule          *rule
}

// newDiffer returns a differ. fields are the sorted field names of both tables without duplicates.
func newDiffer(oldTable, newTable *Table, fields []string, space MatchSpace) *differ {
	d := &differ{tables: [sideCount]*Table{oldSide: oldTable, newSide: newTable}, ruleIDs: map[string]int32{}, fields: fields}
	d.enumValues = make([][]string, firstFieldDimension+len(fields)+trailingDimensions)
	trailing := d.enumValues[firstFieldDimension+len(fields):]
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

// newRule converts a rule of a table to the common dimensions of both tables.
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

// ruleID returns an ID for the conditions and outcomes of a rule. Rules with equal conditions and outcomes share the ID.
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

// walkAllCells compares or visits all cells. It returns ErrTooManyCells if there are more than maxCells.
func (d *differ) walkAllCells() error {
	return d.walkCells(0, d.rules, make([]*Span, len(d.enumValues)))
}

// walkCells divides a cell along a dimension and all later ones, and compares or visits the resulting cells. rules are the
// rules that can still match, by precedence. The spans of cell from dimension on are nil before and after the call.
func (d *differ) walkCells(dimension int, rules [sideCount][]*diffRule, cell []*Span) error {
	d.cellCount++
	if d.cellCount > maxCells {
		return ErrTooManyCells
	}
	if d.visit == nil && d.sameDecisions(rules) {
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

// isDecided reports whether the first of the rules applies regardless of the texts in a dimension and all later ones. It also
// returns true if there are no rules.
func isDecided(rules []*diffRule, dimension int) bool {
	return len(rules) == 0 || rules[0].lastCondition < dimension
}

// firstRule returns the rule that applies in a cell for which the rules are decided, or nil if none applies.
func firstRule(rules []*diffRule) *diffRule {
	if len(rules) == 0 {
		return nil
	}
	return rules[0]
}

// sameDecisions reports whether both tables have equal rules in a cell. If the rules may all fail to match, the defaults must
// be equal too.
func (d *differ) sameDecisions(rules [sideCount][]*diffRule) bool {
	oldRules, newRules := rules[oldSide], rules[newSide]
	if !slices.EqualFunc(oldRules, newRules, func(a, b *diffRule) bool { return a.id == b.id }) {
		return false
	}
	count := len(oldRules)
	alwaysMatches := count > 0 && oldRules[count-1].lastCondition < 0
	return alwaysMatches || d.sameDefault()
}

// sameDefault reports whether both tables make the same decision for connections that no rule matches.
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

// rulesByText is an index of rules by their text in one dimension. The integers are positions in rules.
type rulesByText struct {
	rules         []*diffRule
	unconditional []int
	exact         map[string][]int
	prefix        map[string][]int
	prefixLengths []int32
}

// newRulesByText indexes rules by their texts in a dimension. It also adds the texts to exactTexts or prefixTexts.
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

// matching returns the rules that match the texts of a span, by precedence.
func (b *rulesByText) matching(s *Span) []*diffRule {
	positions := slices.Clone(b.unconditional)
	text := s.Prefix
	if len(s.Texts) > 0 {
		// A span with several texts holds only texts that no rule names, so every rule matches all of them or none.
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

// divideDimension divides a dimension into spans such that all texts of a span satisfy the same conditions of the rules. It
// also returns an index of the rules of each side by their texts in that dimension.
func (d *differ) divideDimension(dimension int, rules [sideCount][]*diffRule) (spans []Span, byText [sideCount]*rulesByText) {
	exact := map[string]bool{}
	prefixes := map[string]bool{"": true}
	if dimension == groupDimension {
		exact[""] = true // for connections without a group, the key determines the position in a split
	}
	for side := range rules {
		byText[side] = newRulesByText(rules[side], dimension, exact, prefixes)
	}
	name := d.dimensionName(dimension)
	if values := d.enumValues[dimension]; len(values) > 0 {
		return enumSpans(name, values, exact), byText
	}
	return textSpans(name, slices.Sorted(maps.Keys(exact)), slices.Sorted(maps.Keys(prefixes))), byText
}

// enumSpans divides a dimension with enumerable values into one span for each text that rules name, and one for the rest.
func enumSpans(name string, values []string, exact map[string]bool) (spans []Span) {
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

// textSpans divides a dimension of arbitrary texts. Each text that rules name becomes a span. Each prefix becomes a span of the
// texts that begin with it and are in no other span. Both lists must be sorted.
func textSpans(name string, exact, prefixes []string) (spans []Span) {
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

// singlePosition is the length of the range of positions in compareSplits if all connections in a cell have the same position.
const singlePosition = 1

// compareCell adds the changes in a cell for which the rules of both tables are decided.
func (d *differ) compareCell(rules [sideCount][]*diffRule, cell []*Span) {
	var routes [sideCount]int // -1: none
	for side, t := range d.tables {
		routes[side] = t.defaultRoute
		if first := firstRule(rules[side]); first != nil {
			routes[side] = int(first.rule.route)
		}
	}
	// All connections in the cell have the same split position if the cell has a single group, or no group and a single key.
	group, hasGroup := singleText(cell[groupDimension])
	key, hasKey := singleText(cell[keyDimension])
	switch {
	case hasGroup && group != "":
		d.compareSplits(routes, cell, SplitPosition(&ConnectionAttributes{Group: group}), singlePosition)
	case hasGroup && hasKey:
		d.compareSplits(routes, cell, SplitPosition(&ConnectionAttributes{Key: key}), singlePosition)
	case cell[groupDimension] == nil && hasKey && d.hasSplit(routes):
		// The cell is not divided by group. The key determines the position of connections without a group, the group that of
		// the others.
		name := d.dimensionName(groupDimension)
		cell[groupDimension] = &Span{Dimension: name, Texts: []string{""}}
		d.compareSplits(routes, cell, SplitPosition(&ConnectionAttributes{Key: key}), singlePosition)
		cell[groupDimension] = &Span{Dimension: name, ExceptTexts: []string{""}}
		d.compareSplits(routes, cell, 0, TotalPPM)
		cell[groupDimension] = nil
	default:
		d.compareSplits(routes, cell, 0, TotalPPM)
	}
}

// singleText returns the only text of a span. ok is false if the span has no texts or several. A nil span holds any text.
func singleText(s *Span) (text string, ok bool) {
	if s == nil || len(s.Texts) != 1 {
		return "", false
	}
	return s.Texts[0], true
}

// hasSplit reports whether the route of either table has several shares.
func (d *differ) hasSplit(routes [sideCount]int) bool {
	for side, t := range d.tables {
		if routes[side] >= 0 && len(t.targets[routes[side]].shares) > 1 {
			return true
		}
	}
	return false
}

// compareSplits compares the splits of two routes over a range of positions, and adds a change for each part of the range in
// which the outcomes differ. If count is singlePosition, the change covers all connections in the cell.
func (d *differ) compareSplits(routes [sideCount]int, cell []*Span, from, count int) {
	for position := from; position < from+count; {
		end := from + count // end of the positions with the same outcomes
		var outcomes [sideCount]Outcome
		for side, t := range d.tables {
			if routes[side] < 0 {
				continue
			}
			to := &t.targets[routes[side]]
			share := to.shareAt(position)
			outcomes[side] = t.outcome(routes[side], share)
			end = min(end, max(int(to.ends[share]), position+1))
		}
		if aspects := differences(outcomes[oldSide], outcomes[newSide]); len(aspects) > 0 {
			c := Change{PPM: end - position, From: position, Old: outcomes[oldSide], New: outcomes[newSide], Aspects: aspects}
			if count == singlePosition {
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
		position = end
	}
}
