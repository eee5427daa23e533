// Package hashing implements the hash functions by which package balancer places keys. The functions are pure and unseeded, so
// all nodes compute the same values. Their results must never change, because nodes of two versions run side by side.
package hashing

import "math/bits"

// Constants of 64-bit FNV-1a.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// goldenGamma is the increment of splitmix64: 2^64 divided by the golden ratio.
const goldenGamma = 0x9e3779b97f4a7c15

// String returns the FNV-1a hash of a string, finalized by Mix64.
func String(s string) uint64 {
	hash := uint64(fnvOffsetBasis)
	for i := 0; i < len(s); i++ {
		hash = (hash ^ uint64(s[i])) * fnvPrime
	}
	return Mix64(hash)
}

// Mix64 is the finalizer of splitmix64 (Steele, Lea, Flood 2014). Each bit of the result depends on all bits of hash, so the
// remainder of a division by any count is evenly distributed.
func Mix64(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// Candidate returns the hash for the i-th candidate of a key. Candidate 0 has the key's hash.
func Candidate(hash uint64, i int) uint64 {
	if i == 0 {
		return hash
	}
	return Mix64(hash + uint64(i)*goldenGamma)
}

// Uniform returns an evenly distributed number in [0,1) for a hash and a salt, such as the hash of an endpoint.
func Uniform(hash, salt uint64) float64 { return NewSalt(salt).Uniform(hash) }

// Salt is a salt that is preprocessed for calls of Uniform with many hashes.
type Salt uint64

// NewSalt preprocesses a salt.
func NewSalt(salt uint64) Salt { return Salt(Mix64(salt)) }

// Uniform returns the same number as the function Uniform with this salt.
func (s Salt) Uniform(hash uint64) float64 {
	const mantissaBits = 53 // of a float64
	return float64(Mix64(hash^uint64(s))>>(64-mantissaBits)) / (1 << mantissaBits)
}

// combineConstant keeps the product in Combine from being 0 when next is 0. Its bits have no pattern.
const combineConstant = 0xd6e8feb86659fd93

// Combine returns the hash of a sequence from the hash of its previous values and the hash of the next value. Like wyhash's
// mix, it XORs the upper and lower halves of a 128-bit product.
func Combine(hash, next uint64) uint64 {
	high, low := bits.Mul64(hash^goldenGamma, next^combineConstant)
	return high ^ low
}
