// Package hashing turns keys into the same numbers on every node. Package balancer places keys by it. Its functions are
// pure and have no seed. Their results must never change: nodes of two versions run side by side.
package hashing

import "math/bits"

// The constants of 64-bit FNV-1a.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// goldenGamma is the increment of splitmix64, 2^64 over the golden ratio.
const goldenGamma = 0x9e3779b97f4a7c15

// String hashes a string by FNV-1a, finished by Mix64.
func String(s string) uint64 {
	hash := uint64(fnvOffsetBasis)
	for i := 0; i < len(s); i++ {
		hash = (hash ^ uint64(s[i])) * fnvPrime
	}
	return Mix64(hash)
}

// Mix64 is the finalizer of splitmix64 (Steele, Lea, Flood 2014): all bits of the result depend on all bits of hash, so
// that the remainder by any count is even.
func Mix64(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// Candidate returns the hash for the i-th candidate of a key; that of candidate 0 is the key's own.
func Candidate(hash uint64, i int) uint64 {
	if i == 0 {
		return hash
	}
	return Mix64(hash + uint64(i)*goldenGamma)
}

// Uniform returns an evenly distributed number in [0,1) for a hash and a salt, such as the hash of an endpoint.
func Uniform(hash, salt uint64) float64 { return NewSalt(salt).Uniform(hash) }

// Salt is a salt of Uniform, prepared for many hashes.
type Salt uint64

// NewSalt prepares a salt.
func NewSalt(salt uint64) Salt { return Salt(Mix64(salt)) }

// Uniform is the function Uniform with this salt.
func (s Salt) Uniform(hash uint64) float64 {
	const mantissaBits = 53 // of a float64
	return float64(Mix64(hash^uint64(s))>>(64-mantissaBits)) / (1 << mantissaBits)
}

// combineConstant has no pattern in its bits, so that a hash of 0 does not make the product of Combine 0.
const combineConstant = 0xd6e8feb86659fd93

// Combine combines the hash of the values so far with that of the next one, by the upper and lower half of a product (after
// wyhash's mix).
func Combine(hash, next uint64) uint64 {
	high, low := bits.Mul64(hash^goldenGamma, next^combineConstant)
	return high ^ low
}
