// Package memestimate estimates how much memory a compiled route table will use. It reads only the route set and compiles
// nothing.
//
// Control-plane replicas and proxies use it to check whether a proposed version fits into their memory before they compile it.
// The package does no I/O. It models Go's allocator (allocator.go) and the data structures of internal/routing; the tests
// compare both models with the memory that is actually used. docs/design/memory.md compares this approach with sampling.
//
// The estimate counts the objects that rules.go and index.go of internal/routing create. A route has conditions in dimensions
// (key, group, each further field, class, listener, zone) and expands to one rule for each combination of their alternatives.
// Each rule has a record that holds its texts. Rules whose patterns have the same lengths share a hash table, called their
// shape. A length bucket holds the alternatives of one condition that have the same length. Routes with equal splits and
// policies share a target.
//
// Counter.Table visits each route once and adds it to a tally (counter.go, routes.go, shapes.go). The estimate is computed from
// the tally (total.go).
package memestimate

import "example.org/micafront/internal/routing"

// Estimator estimates the memory of route tables; Counter implements it. All sizes are bytes of live heap after a garbage
// collection, including the rounding to size classes.
type Estimator interface {
	// Table estimates the compiled table of a set, including the Set itself. It takes at most a twentieth of the compile time.
	Table(set *routing.Set) Estimate
	// SwitchPeak returns the peak while a node replaces its table by another one: both tables, the received body, and the
	// temporary memory of decoding and compiling. bodyBytes is the length of the received body.
	SwitchPeak(current, next Estimate, bodyBytes int) uint64
	// HotRestartPeak returns the peak of both processes of one node together during a hot restart.
	HotRestartPeak(e Estimate, bodyBytes int) uint64
}

// Estimate is the estimated memory of a table.
type Estimate struct {
	LiveBytes     uint64      // bytes of the compiled table
	CompileBytes  uint64      // additional bytes during compilation
	Rules         uint64      // number of rules that the routes expand to
	LargestRoutes []RouteSize // at most ten, in descending order of size
}

// RouteSize is the part of a table that one route accounts for.
type RouteSize struct {
	Route string `json:"route"`
	Bytes uint64 `json:"bytes"`
	Rules uint64 `json:"rules"`
}

// ReserveDivisor is the divisor of the peak that gives the headroom a memory limit must leave above the peak: a quarter of it.
// With a limit of 1.25 times the peak, a table switch takes a quarter longer and stays within the limit
// (docs/results/memory-limits.md).
const ReserveDivisor = 4

// RequiredBytes returns the lowest sufficient memory limit, in bytes. otherBytes is the memory that the process uses for
// everything but its tables, and peak is the peak of a table switch or a hot restart.
func RequiredBytes(otherBytes, peak uint64) uint64 {
	return sumSaturating(otherBytes, peak, peak/ReserveDivisor)
}

// DecodePeak returns the peak, in bytes, while a received body is decoded and its services are bound. It comprises the current
// table, the body both as received and split into its parts, the new set, and the catalog with its strings
// (catalog.State.MemoryBytes).
func DecodePeak(current, next Estimate, bodyBytes int, catalogBytes uint64) uint64 {
	return sumSaturating(current.LiveBytes, next.LiveBytes, 2*uint64(max(bodyBytes, 0)), catalogBytes)
}
