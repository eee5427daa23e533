// Package memestimate estimates how much memory a route table will use, from the set alone: nothing is compiled.
//
// Control-plane replicas and proxies check with it whether a proposed version fits into their memory before they compile it.
// The package is pure. It models Go's allocator (allocator.go) and the structures of internal/routing; tests compare both with
// what they really use. docs/design/memory.md compares the approach with samples.
//
// What is counted, in the terms of routing's rules.go and index.go: a route's conditions are on dimensions (key, group, each
// further field, class, listener, zone), and it expands to one rule for each combination of their alternatives. Each rule has a
// record of its texts. Rules whose patterns have the same lengths share a hash table, their shape. A form is the part of a
// condition that belongs to one shape: its alternatives of one length. Routes of equal splits and policies share a target.
//
// Counter.Table goes over the routes once and adds each to a tally (counter.go, routes.go, shapes.go), from which the estimate
// is made (total.go).
package memestimate

import "example.org/micafront/internal/routing"

// Estimator estimates the memory of route tables; Counter implements it. All sizes are bytes of live heap as a garbage
// collection leaves it, with the rounding of size classes.
type Estimator interface {
	// Table estimates the compiled table of a set, the Set included. It takes at most a twentieth of the time of compiling.
	Table(set *routing.Set) Estimate
	// SwitchPeak is the peak while a node that uses a table changes to another: both tables, the body's text, and what decoding
	// and compiling use for a while. textBytes is the length of the body as it was received.
	SwitchPeak(current, next Estimate, textBytes int) uint64
	// HotRestartPeak is the peak of two processes of one node together while the old one hands over to the new one.
	HotRestartPeak(e Estimate, textBytes int) uint64
}

// Estimate is how much memory a table uses.
type Estimate struct {
	LiveBytes     uint64      // bytes of the compiled table
	CompileBytes  uint64      // bytes that compiling uses in addition, for a while
	Rules         uint64      // number of rules that the routes expand to
	LargestRoutes []RouteSize // at most ten, the largest first
}

// RouteSize is a route's part of a table.
type RouteSize struct {
	Route string `json:"route"`
	Bytes uint64 `json:"bytes"`
	Rules uint64 `json:"rules"`
}

// ReserveDivisor says which part of the peak a memory limit must leave free in addition: a quarter. With a limit of 1.25 times
// the peak a switch takes a quarter longer and stays within the limit (docs/results/memory-limits.md).
const ReserveDivisor = 4

// RequiredBytes is the lowest memory limit, in bytes, for what a process uses beside its tables and the peak of a switch or an
// upgrade.
func RequiredBytes(beside, peak uint64) uint64 {
	return sumSaturating(beside, peak, peak/ReserveDivisor)
}

// DecodePeak is the peak while a body is decoded and its services are bound, in bytes: the current table, the text as it was
// received and split into its parts, the new set, and the catalog with its strings (catalog.State.MemoryBytes).
func DecodePeak(current, next Estimate, textBytes int, catalogBytes uint64) uint64 {
	return sumSaturating(current.LiveBytes, next.LiveBytes, 2*uint64(max(textBytes, 0)), catalogBytes)
}
