package memestimate

import (
	"cmp"
	"iter"
	"slices"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/internal/routing"
	"github.com/cespare/xxhash/v2"
)

// exactText is the pattern length of an exact text, as in internal/routing.
const exactText = 1 << 20

// Hashes of the dimensions that every table has. The hashes of further fields have the highest bit set.
const (
	keyDimension = iota + 1
	groupDimension
	classDimension
	listenerDimension
	zoneDimension

	fieldDimensionBit = 1 << 63
)

// lengthBucket holds the alternatives of a condition whose patterns have the same length.
type lengthBucket struct {
	length int32 // bytes of a prefix, or exactText
	count  uint64
	bytes  uint64 // memory of their texts in records
}

// dimension is a condition of the current route.
type dimension struct {
	hash        uint64
	firstBucket int // its length buckets are tally.buckets[firstBucket:endBucket]
	endBucket   int
	count       uint64 // number of all its alternatives
	bytes       uint64 // memory of their texts in records
}

// addRoute adds a route to the tally. The hash of a split is the sum of the hashes of its parts, so that it does not depend on
// their order.
func (t *tally) addRoute(r *routing.Route) {
	conditionBytes := t.addConditions(&r.Match)
	setBytes := t.stringBytes(len(r.Name)) + t.stringBytes(len(r.Policy)) + t.arrayBytes(shareSlice, uint64(cap(r.To))) +
		conditionBytes
	splitHash := uint64(0)
	for i := range r.To {
		setBytes += t.stringBytes(len(r.To[i].Pool))
		splitHash += hashing.Combine(xxhash.Sum64String(r.To[i].Pool), uint64(r.To[i].PPM))
	}
	t.setBytes += setBytes

	targetBytes := t.targetBytes(len(r.To))
	if r.Policy != "" {
		if id := t.policyIDs.lookup(xxhash.Sum64String(r.Policy)); id >= 0 {
			targetBytes += t.policyCosts[id].fallbackBytes
			splitHash += t.policyCosts[id].hash
		}
	}
	if _, isNew := t.splitIDs.id(splitHash); isNew {
		t.splitTextTotal = addSaturating(t.splitTextTotal, t.splitTextBytes(r))
	}
	t.targetTotal += targetBytes

	rules, recordBytes := t.addRules(len(r.Match.Zone) > 0)
	t.routeCosts = append(t.routeCosts, routeCost{ownBytes: setBytes + targetBytes, rules: rules, recordBytes: recordBytes})
}

// addRules adds the rules of the current route to the tally, and returns their number and the bytes of their records. hasZone
// reports whether the route has a condition in the zone dimension, which is the last one.
func (t *tally) addRules(hasZone bool) (rules, recordBytes uint64) {
	rules = 1
	combinations := uint64(1)
	for i := range t.dimensions {
		d := &t.dimensions[i]
		rules = mulSaturating(rules, d.count)
		combinations = mulSaturating(combinations, uint64(d.endBucket-d.firstBucket))
	}
	recordBytes = mulSaturating(rules, recordHeaderBytes)
	for i := range t.dimensions {
		d := &t.dimensions[i]
		recordBytes = addSaturating(recordBytes, mulSaturating(rules/d.count, d.bytes))
	}
	t.rules = addSaturating(t.rules, rules)
	t.recordTotal = addSaturating(t.recordTotal, recordBytes)
	if rules > maxRouteRules {
		t.excessRules = addSaturating(t.excessRules, rules)
	} else {
		t.combinations = addSaturating(t.combinations, combinations)
		if !t.tooManyShapes() {
			t.countShapes()
		}
	}
	if rules > 1 {
		t.updateLargestExpansion(rules, hasZone)
	}
	return rules, recordBytes
}

// updateLargestExpansion updates the largest lists of rules that expanding a route creates, given the number of rules of the
// current route. hasZone is as in addRules.
func (t *tally) updateLargestExpansion(rules uint64, hasZone bool) {
	lastCount := uint64(1)
	if hasZone {
		lastCount = t.dimensions[len(t.dimensions)-1].count
	}
	t.largestExpansion = max(t.largestExpansion, rules)
	t.largestPartial = max(t.largestPartial, rules/lastCount)
}

// targetBytes returns the memory of a route's target without the fallbacks of its policy, in bytes.
func (t *tally) targetBytes(shares int) uint64 {
	cached := shares < len(t.targetCache)
	if cached && t.targetCache[shares] > 0 {
		return t.targetCache[shares]
	}
	bytes := t.clonedBytes(shareSlice, uint64(shares)) + t.appendedBytes(intSlice, uint64(shares)) +
		t.appendedBytes(uint32Slice, uint64(shares))
	if cached {
		t.targetCache[shares] = bytes
	}
	return bytes
}

// splitTextBytes returns the memory of the text that identifies a split while internal/routing builds its index, in bytes. The
// text is the shares and the policy formatted by fmt.Sprint, such as "[{pool 900000} {other 100000}] -1".
func (t *tally) splitTextBytes(r *routing.Route) uint64 {
	length := len("[] -1")
	for i := range r.To {
		length += len("{ } ") + len(r.To[i].Pool) + digitCount(r.To[i].PPM)
	}
	return t.stringBytes(length)
}

// digitCount returns the number of decimal digits of a non-negative number.
func digitCount(n int) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}

// addConditions sets the dimensions of the current route, with the zone as the last one, and returns the memory of the lists of
// the match in bytes.
func (t *tally) addConditions(m *routing.Match) (bytes uint64) {
	t.buckets = t.buckets[:0]
	t.dimensions = t.dimensions[:0]
	bytes = t.addCondition(keyDimension, m.Key.Exact, m.Key.Prefix) +
		t.addCondition(groupDimension, m.Group.Exact, m.Group.Prefix) +
		t.addCondition(classDimension, m.Class, nil) +
		t.addCondition(listenerDimension, m.Listener, nil)
	if m.Fields != nil {
		bytes += t.mapBytes(conditionSlotBytes, uint64(len(m.Fields)))
		for name, s := range m.Fields {
			hash := xxhash.Sum64String(name) | fieldDimensionBit
			t.fieldNames.id(hash)
			bytes += t.stringBytes(len(name)) + t.addCondition(hash, s.Exact, s.Prefix)
		}
	}
	return bytes + t.addCondition(zoneDimension, m.Zone, nil)
}

// addCondition adds the dimension of a condition and returns the memory of its lists in bytes. It returns early
// for an empty condition, which most conditions are, to save the call of addDimension.
func (t *tally) addCondition(hash uint64, exact, prefix []string) (bytes uint64) {
	if cap(exact)+cap(prefix) == 0 {
		return 0
	}
	return t.addDimension(hash, exact, prefix)
}

// addDimension adds the dimension of a condition and returns the memory of its lists in bytes. A condition that matches every
// text adds no dimension.
func (t *tally) addDimension(hash uint64, exact, prefix []string) (bytes uint64) {
	if len(exact)+len(prefix) == 0 {
		return t.stringListBytes(exact) + t.stringListBytes(prefix)
	}
	d := dimension{hash: hash, firstBucket: len(t.buckets)}
	if len(exact) == 1 && len(prefix) == 0 { // the most frequent case
		textBytes := uint64(len(exact[0])) + exactLengthBytes
		t.buckets = append(t.buckets, lengthBucket{length: exactText, count: 1, bytes: textBytes})
		d.endBucket = d.firstBucket + 1
		d.count = 1
		d.bytes = textBytes
		t.dimensions = append(t.dimensions, d)
		return t.arrayBytes(stringSlice, uint64(cap(exact))) + t.stringBytes(len(exact[0])) + t.stringListBytes(prefix)
	}
	bytes = t.stringListBytes(exact) + t.stringListBytes(prefix)
	if slices.Contains(prefix, "") {
		return bytes
	}
	t.addBuckets(exact, prefix)
	for _, bucket := range t.buckets[d.firstBucket:] {
		d.count += bucket.count
		d.bytes += bucket.bytes
	}
	d.endBucket = len(t.buckets)
	t.dimensions = append(t.dimensions, d)
	return bytes
}

// addBuckets adds the length buckets of a condition. Duplicate texts count once.
func (t *tally) addBuckets(exact, prefix []string) {
	const maxPairwise = 4 // largest number of texts that are compared pairwise instead of hashed
	if len(prefix) == 0 && len(exact) <= maxPairwise {
		bucket := lengthBucket{length: exactText}
		for i, text := range exact {
			if !slices.Contains(exact[:i], text) {
				bucket.count++
				bucket.bytes += uint64(len(text)) + exactLengthBytes
			}
		}
		t.buckets = append(t.buckets, bucket)
		return
	}
	if len(exact) > 0 {
		bucket := lengthBucket{length: exactText}
		for i := range t.distinct(exact) {
			bucket.count++
			bucket.bytes += uint64(len(exact[i])) + exactLengthBytes
		}
		t.buckets = append(t.buckets, bucket)
	}
	firstPrefix := len(t.buckets)
	for i := range t.distinct(prefix) {
		bucket := lengthBucket{length: int32(min(len(prefix[i]), exactText-1))}
		j, found := slices.BinarySearchFunc(t.buckets[firstPrefix:], bucket, func(a, b lengthBucket) int { return cmp.Compare(a.length, b.length) })
		j += firstPrefix
		if !found {
			t.buckets = slices.Insert(t.buckets, j, bucket)
		}
		t.buckets[j].count++
		t.buckets[j].bytes += uint64(len(prefix[i]))
	}
}

// distinct yields the position of the first occurrence of each text in a list.
func (t *tally) distinct(list []string) iter.Seq[int] {
	return func(yield func(int) bool) {
		t.seen.reset(len(list))
		for i, s := range list {
			if _, isNew := t.seen.id(xxhash.Sum64String(s)); isNew && !yield(i) {
				return
			}
		}
	}
}
