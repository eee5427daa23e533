package memestimate

import "example.org/micafront/balancer/hashing"

// shapeCount is the number of rules in one shape of the routing index, and the number of dimensions in which they have
// conditions.
type shapeCount struct {
	rules      uint64
	dimensions uint64
}

// tooManyShapes reports whether the set has too many shapes to count each one. The result does not depend on the order of the
// routes, and adding routes never changes it from true to false.
func (t *tally) tooManyShapes() bool {
	return t.combinations > maxCombinations || t.shapeIDs.count > maxShapes
}

// countShapes counts the rules of the current route by shape. It handles conditions with a single length bucket first, so that
// only the others add to the depth of the recursion; the limit on rules per route in internal/routing keeps those few.
func (t *tally) countShapes() {
	hash := uint64(0)
	rules := uint64(1)
	t.multiBucket = t.multiBucket[:0]
	for _, d := range t.dimensions {
		if d.endBucket-d.firstBucket == 1 {
			hash += bucketHash(d.hash, t.buckets[d.firstBucket])
			rules *= d.count
		} else {
			t.multiBucket = append(t.multiBucket, d)
		}
	}
	t.countCombinations(t.multiBucket, hash, rules)
}

// countCombinations counts the rules for each combination of length buckets in the remaining dimensions. hash and rules are the
// partial shape hash and the number of rules of the dimensions handled so far.
func (t *tally) countCombinations(remaining []dimension, hash, rules uint64) {
	if len(remaining) == 0 {
		id, isNew := t.shapeIDs.id(hash)
		if isNew {
			t.shapes = append(t.shapes, shapeCount{dimensions: uint64(len(t.dimensions))})
		}
		t.shapes[id].rules += rules
		return
	}
	d := &remaining[0]
	for _, bucket := range t.buckets[d.firstBucket:d.endBucket] {
		t.countCombinations(remaining[1:], hash+bucketHash(d.hash, bucket), rules*bucket.count)
	}
}

// bucketHash returns the part of a shape hash that a length bucket contributes. A shape hash is the sum of these parts, so that
// it does not depend on the order of the dimensions.
func bucketHash(dimensionHash uint64, bucket lengthBucket) uint64 {
	return hashing.Combine(dimensionHash, uint64(bucket.length)+1)
}
