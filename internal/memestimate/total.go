package memestimate

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"example.org/micafront/internal/routing"
)

// indexBytes is what routing's index uses, without the records.
type indexBytes struct {
	shapes     uint64 // number of shapes
	slots      uint64
	dimensions uint64 // of the shapes' lists of dimensions
	members    uint64 // of the shapes' lists of rules, while the index is built
}

// indexBytes adds up the index shape by shape, or by upper bounds if there are too many shapes.
func (t *tally) indexBytes() (index indexBytes) {
	// A rule has less than four slots, and less than two places in its shape's list.
	const (
		maxSlotBytesPerRule   = 4 * slotBytes
		maxMemberBytesPerRule = 2 * memberBytes
	)
	if t.tooManyShapes() {
		index.shapes = t.steps
		index.slots = mulSaturating(t.rules, maxSlotBytesPerRule)
		index.members = mulSaturating(t.rules, maxMemberBytesPerRule)
		index.dimensions = mulSaturating(t.steps, t.appendedBytes(int32Slice, t.dimensionCount()))
		return index
	}
	index.shapes = uint64(t.shapeNumbers.count)
	for _, s := range t.shapes {
		index.slots = addSaturating(index.slots, t.objectBytes(slotBytes*(2<<bits.Len64(s.rules)), false))
		index.dimensions = addSaturating(index.dimensions, t.appendedBytes(int32Slice, s.dimensions))
		index.members = addSaturating(index.members, t.appendedBytes(int32Slice, s.rules))
	}
	index.slots = addSaturating(index.slots, mulSaturating(t.excessRules, maxSlotBytesPerRule))
	index.members = addSaturating(index.members, mulSaturating(t.excessRules, maxMemberBytesPerRule))
	return index
}

// dimensionCount is how many dimensions the table has.
func (t *tally) dimensionCount() uint64 { return fixedDimensions + uint64(t.fieldNames.count) }

// estimate adds up everything that was counted. fixedBytes is what the table uses beside its routes.
func (t *tally) estimate(set *routing.Set, fixedBytes uint64) Estimate {
	index := t.indexBytes()
	records, previousRecords := t.recordBytes()
	routeCount := uint64(len(set.Routes))
	routes := sumSaturating(
		t.arrayBytes(routeSlice, uint64(cap(set.Routes))),
		t.appendedBytes(targetSlice, routeCount),
		t.appendedBytes(targetSlice, uint64(t.splitNumbers.count)))
	rules := sumSaturating(t.appendedBytes(ruleSlice, t.rules), index.slots, index.dimensions,
		t.appendedBytes(shapeSlice, index.shapes))
	perRule := t.extendedBytes(int32Slice, t.dimensionCount()) + t.extendedBytes(stringSlice, t.dimensionCount())
	rulePatterns := mulSaturating(t.rules, perRule)
	fixedBytes = addSaturating(fixedBytes, t.appendedBytes(stringSlice, uint64(t.fieldNames.count)))

	e := Estimate{Rules: t.rules}
	e.LiveBytes = sumSaturating(fixedBytes, routes, t.setBytes, t.targetTotal, rules, rulePatterns, records)
	expanding := sumSaturating(fixedBytes, routes, t.setBytes, t.targetTotal, rulePatterns, t.expansionBytes())
	indexing := sumSaturating(e.LiveBytes, index.members, t.mapBytes(numberSlotBytes, uint64(t.splitNumbers.count)),
		t.splitTextTotal, previousRecords)
	e.CompileBytes = max(expanding, indexing) - e.LiveBytes

	e.LargestRoutes = t.largestRoutes(set, sharedBytes{routes: routes, rules: rules, records: records, perRule: perRule})
	return e
}

// sharedBytes is what the routes of a table use together.
type sharedBytes struct {
	routes  uint64 // lists with an element for each route
	rules   uint64 // lists and index of all rules
	records uint64
	perRule uint64 // lists of each rule
}

// largestRoutes are the largest routes of a set, each with its part of what all use together.
func (t *tally) largestRoutes(set *routing.Set, shared sharedBytes) []RouteSize {
	if len(t.routeCosts) == 0 {
		return nil
	}
	largest := make([]RouteSize, 0, maxLargestRoutes+1)
	perRoute := shared.routes / uint64(len(t.routeCosts))
	for i, cost := range t.routeCosts {
		ruleBytes := addSaturating(mulSaturating(cost.rules, shared.perRule), proportion(shared.rules, cost.rules, t.rules))
		recordBytes := proportion(shared.records, cost.recordBytes, t.recordTotal)
		largest = keepLargest(largest, RouteSize{
			Route: set.Routes[i].Name,
			Rules: cost.rules,
			Bytes: sumSaturating(cost.ownBytes, perRoute, ruleBytes, recordBytes),
		})
	}
	return largest
}

// expansionBytes is the peak of the lists of rules while routes are expanded, without the rules' own patterns. It is the
// larger one of two moments, with the largest route expanded last: when the rules before its last dimension are still there,
// and when its rules are appended to the list of all, which grows.
func (t *tally) expansionBytes() uint64 {
	ruleBytes := ruleSlice.elementBytes + ruleSlice.elementBytes/8 // an eighth is what the growth of the slice wastes
	partialDimensions := t.dimensionCount() - 1
	partialRuleBytes := ruleBytes + t.extendedBytes(int32Slice, partialDimensions) + t.extendedBytes(stringSlice, partialDimensions)
	expanded := mulSaturating(t.largestExpansion, ruleBytes)
	beforeLast := sumSaturating(t.appendedBytes(ruleSlice, t.rules-t.largestExpansion), expanded,
		mulSaturating(t.largestPartial, partialRuleBytes))
	_, previousCapacity := t.grownCapacity(ruleSlice, t.rules)
	appending := sumSaturating(t.appendedBytes(ruleSlice, t.rules), t.arrayBytes(ruleSlice, previousCapacity), expanded)
	return max(beforeLast, appending)
}

// recordBytes is what the records use, and the array before they grew for the last time.
//
// Texts that are longer than the array at that time shift all its later sizes, depending on the order of the rules, so it
// uses from just enough to a quarter more. The estimate must not depend on which, lest a further route lower it. What is
// assumed here is accurate enough as long as the records are at most four fifths of the table.
func (t *tally) recordBytes() (current, previous uint64) {
	needed := addSaturating(t.recordTotal, recordHeaderBytes)
	spare := needed / 50 * 9 // 18 %
	current = t.arrayBytes(byteSlice, addSaturating(needed, spare))
	previous = t.arrayBytes(byteSlice, needed-needed/12)
	return current, previous
}

// keepLargest returns the list of the largest routes with a further one, if that is among them.
func keepLargest(largest []RouteSize, route RouteSize) []RouteSize {
	if n := len(largest); n == maxLargestRoutes && compareSizes(route, largest[n-1]) >= 0 {
		return largest
	}
	i, _ := slices.BinarySearchFunc(largest, route, compareSizes)
	largest = slices.Insert(largest, i, route)
	return largest[:min(len(largest), maxLargestRoutes)]
}

// compareSizes orders routes by size, the largest first, and equal ones by name.
func compareSizes(a, b RouteSize) int {
	return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), strings.Compare(a.Route, b.Route))
}
