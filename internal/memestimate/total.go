package memestimate

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"example.org/micafront/internal/routing"
)

// indexBytes is the memory of the routing index in bytes, without the records.
type indexBytes struct {
	shapes     uint64 // number of shapes
	slots      uint64
	dimensions uint64 // lists of dimensions of all shapes
	members    uint64 // lists of rules of all shapes, needed while the index is built
}

// indexBytes adds up the index shape by shape. It uses upper bounds if there are too many shapes.
func (t *tally) indexBytes() (index indexBytes) {
	// A hash table has fewer than four slots for each of its rules, and a shape's list of rules has a capacity of fewer than
	// two elements for each of them.
	const (
		maxSlotBytesPerRule   = 4 * slotBytes
		maxMemberBytesPerRule = 2 * memberBytes
	)
	if t.tooManyShapes() {
		index.shapes = t.combinations
		index.slots = mulSaturating(t.rules, maxSlotBytesPerRule)
		index.members = mulSaturating(t.rules, maxMemberBytesPerRule)
		index.dimensions = mulSaturating(t.combinations, t.appendedBytes(int32Slice, t.dimensionCount()))
		return index
	}
	index.shapes = uint64(t.shapeIDs.count)
	for _, s := range t.shapes {
		index.slots = addSaturating(index.slots, t.objectBytes(slotBytes*(2<<bits.Len64(s.rules)), false))
		index.dimensions = addSaturating(index.dimensions, t.appendedBytes(int32Slice, s.dimensions))
		index.members = addSaturating(index.members, t.appendedBytes(int32Slice, s.rules))
	}
	index.slots = addSaturating(index.slots, mulSaturating(t.excessRules, maxSlotBytesPerRule))
	index.members = addSaturating(index.members, mulSaturating(t.excessRules, maxMemberBytesPerRule))
	return index
}

// dimensionCount returns the number of dimensions of the table.
func (t *tally) dimensionCount() uint64 { return fixedDimensions + uint64(t.fieldNames.count) }

// estimate computes the Estimate from the tally. fixedBytes is the memory of the table without its routes.
func (t *tally) estimate(set *routing.Set, fixedBytes uint64) Estimate {
	index := t.indexBytes()
	records, previousRecords := t.recordBytes()
	routeCount := uint64(len(set.Routes))
	routes := sumSaturating(
		t.arrayBytes(routeSlice, uint64(cap(set.Routes))),
		t.appendedBytes(targetSlice, routeCount),
		t.appendedBytes(targetSlice, uint64(t.splitIDs.count)))
	rules := sumSaturating(t.appendedBytes(ruleSlice, t.rules), index.slots, index.dimensions,
		t.appendedBytes(shapeSlice, index.shapes))
	perRule := t.extendedBytes(int32Slice, t.dimensionCount()) + t.extendedBytes(stringSlice, t.dimensionCount())
	rulePatterns := mulSaturating(t.rules, perRule)
	fixedBytes = addSaturating(fixedBytes, t.appendedBytes(stringSlice, uint64(t.fieldNames.count)))

	e := Estimate{Rules: t.rules}
	e.LiveBytes = sumSaturating(fixedBytes, routes, t.setBytes, t.targetTotal, rules, rulePatterns, records)
	expanding := sumSaturating(fixedBytes, routes, t.setBytes, t.targetTotal, rulePatterns, t.expansionBytes())
	indexing := sumSaturating(e.LiveBytes, index.members, t.mapBytes(intSlotBytes, uint64(t.splitIDs.count)),
		t.splitTextTotal, previousRecords)
	e.CompileBytes = max(expanding, indexing) - e.LiveBytes

	e.LargestRoutes = t.largestRoutes(set, sharedBytes{routes: routes, rules: rules, records: records, perRule: perRule})
	return e
}

// sharedBytes is the memory in bytes that the routes of a table share.
type sharedBytes struct {
	routes  uint64 // lists with one element per route
	rules   uint64 // lists of rules and their index
	records uint64
	perRule uint64 // lists of one rule
}

// largestRoutes returns the largest routes of a set. The size of each includes its part of the shared memory.
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

// expansionBytes returns the peak of the lists of rules while routes are expanded, without the patterns of the rules. It
// assumes that the largest route is expanded last, and returns the larger of two values: the memory while the partial rules
// without the last dimension are still live, and the memory while the rules are appended to the list of all rules, which is
// reallocated.
func (t *tally) expansionBytes() uint64 {
	ruleBytes := ruleSlice.elementBytes + ruleSlice.elementBytes/8 // growing the slice leaves an eighth of it unused
	partialDimensions := t.dimensionCount() - 1
	partialRuleBytes := ruleBytes + t.extendedBytes(int32Slice, partialDimensions) + t.extendedBytes(stringSlice, partialDimensions)
	expanded := mulSaturating(t.largestExpansion, ruleBytes)
	beforeLast := sumSaturating(t.appendedBytes(ruleSlice, t.rules-t.largestExpansion), expanded,
		mulSaturating(t.largestPartial, partialRuleBytes))
	_, previousCapacity := t.grownCapacity(ruleSlice, t.rules)
	appending := sumSaturating(t.appendedBytes(ruleSlice, t.rules), t.arrayBytes(ruleSlice, previousCapacity), expanded)
	return max(beforeLast, appending)
}

// recordBytes returns the memory of the records, and that of their backing array before its last reallocation.
//
// A text that is longer than the array to which it is appended changes all later capacities of the array. The capacities
// therefore depend on the order of the rules, and the array uses between exactly the needed bytes and a quarter more. The
// estimate must not depend on that order, because an additional route could then lower it. The fixed spare part assumed here is
// accurate enough as long as the records are at most four fifths of the table.
func (t *tally) recordBytes() (current, previous uint64) {
	needed := addSaturating(t.recordTotal, recordHeaderBytes)
	spare := needed / 50 * 9 // 18 %
	current = t.arrayBytes(byteSlice, addSaturating(needed, spare))
	previous = t.arrayBytes(byteSlice, needed-needed/12)
	return current, previous
}

// keepLargest inserts a route into the sorted list of the largest routes if it belongs there, and returns the list.
func keepLargest(largest []RouteSize, route RouteSize) []RouteSize {
	if n := len(largest); n == maxLargestRoutes && compareSizes(route, largest[n-1]) >= 0 {
		return largest
	}
	i, _ := slices.BinarySearchFunc(largest, route, compareSizes)
	largest = slices.Insert(largest, i, route)
	return largest[:min(len(largest), maxLargestRoutes)]
}

// compareSizes orders routes by descending size, and routes of equal size by name.
func compareSizes(a, b RouteSize) int {
	return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), strings.Compare(a.Route, b.Route))
}
