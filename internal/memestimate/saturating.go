package memestimate

import (
	"math"
	"math/bits"
)

// The functions below saturate: a result that exceeds 64 bits becomes math.MaxUint64.

func addSaturating(a, b uint64) uint64 {
	sum, carry := bits.Add64(a, b, 0)
	if carry != 0 {
		return math.MaxUint64
	}
	return sum
}

func sumSaturating(terms ...uint64) (sum uint64) {
	for _, term := range terms {
		sum = addSaturating(sum, term)
	}
	return sum
}

func mulSaturating(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a, b)
	if hi != 0 {
		return math.MaxUint64
	}
	return lo
}

// proportion returns total*part/whole without overflow. It returns 0 if whole is 0. part must not exceed whole.
func proportion(total, part, whole uint64) uint64 {
	if whole == 0 {
		return 0
	}
	hi, lo := bits.Mul64(total, part)
	quotient, _ := bits.Div64(hi, lo, whole)
	return quotient
}
