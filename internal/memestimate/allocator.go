package memestimate

import (
	"math"
	"runtime/metrics"
	"sync"
	"unsafe"
)

// These constants model Go's allocator and maps, following runtime/sizeclasses.go, runtime/slice.go, runtime/malloc.go and
// internal/runtime/maps of go1.24 to go1.26. The tests compare each rule with the runtime that runs them.
const (
	// Objects, in bytes.
	tinyBlockBytes  = 16       // smaller objects without pointers are packed into blocks of this size
	minHeaderObject = 512      // larger objects with pointers carry a header, up to maxSmallObject
	headerBytes     = 8        // size of that header
	maxSmallObject  = 32 << 10 // larger objects occupy whole pages
	pageBytes       = 8 << 10

	// doublingLimit is the capacity, in elements, below which a slice doubles when it grows. Above it, the growth factor falls
	// gradually to 1.25.
	doublingLimit = 256

	// Maps.
	mapGroupSlots        = 8
	mapGroupControlBytes = 8
	maxMapTableSlots     = 1024 // slots of each table of a large map
	mapHeaderBytes       = 48
	mapTableHeaderBytes  = 32
	pointerBytes         = 8
	maxMapTables         = 1 << 40 // bounds the search for the number of tables

	// Size classes are indexed in steps of fineStep bytes up to maxFineObject, and in steps of coarseStep bytes above it.
	maxFineObject = 1024
	fineStep      = 8
	coarseStep    = 128
)

// sizeClasses maps object sizes to the sizes that the allocator rounds them up to, in bytes.
type sizeClasses struct {
	fine   [maxFineObject/fineStep + 1]uint16                    // sizes up to maxFineObject, in steps of fineStep
	coarse [(maxSmallObject-maxFineObject)/coarseStep + 1]uint16 // larger sizes, in steps of coarseStep
}

// runtimeSizeClasses returns the size classes of the running program. The runtime exposes them as the bucket bounds of a
// histogram in runtime/metrics.
var runtimeSizeClasses = sync.OnceValue(func() *sizeClasses {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs-by-size:bytes"}}
	metrics.Read(sample)
	var sizes []uint64
	if sample[0].Value.Kind() == metrics.KindFloat64Histogram {
		for _, bound := range sample[0].Value.Float64Histogram().Buckets {
			if bound > 1 && bound <= maxSmallObject+1 { // a bucket ends one byte above its size class
				sizes = append(sizes, uint64(bound)-1)
			}
		}
	}
	roundUp := func(n uint64) uint16 {
		for _, size := range sizes {
			if size >= n {
				return uint16(size)
			}
		}
		return uint16(n) // the runtime lacks this metric
	}
	c := &sizeClasses{}
	for i := range c.fine {
		c.fine[i] = roundUp(uint64(i) * fineStep)
	}
	for i := range c.coarse {
		c.coarse[i] = roundUp(maxFineObject + uint64(i)*coarseStep)
	}
	return c
})

// objectBytes returns the bytes that the allocator uses for an object of n bytes.
func (c *sizeClasses) objectBytes(n uint64, hasPointers bool) uint64 {
	if hasPointers && n > minHeaderObject && n <= maxSmallObject-headerBytes {
		n += headerBytes
	}
	switch {
	case n == 0:
		return 0
	case n <= maxFineObject:
		return uint64(c.fine[(n+fineStep-1)/fineStep])
	case n <= maxSmallObject:
		return uint64(c.coarse[(n-maxFineObject+coarseStep-1)/coarseStep])
	case n > math.MaxUint64-pageBytes:
		return math.MaxUint64
	}
	return (n + pageBytes - 1) &^ (pageBytes - 1)
}

// tinyShares holds, by string length, the bytes of a tiny block that one short string accounts for. A tiny block holds as many
// strings as fit.
var tinyShares = func() (shares [tinyBlockBytes]uint8) {
	for n := 1; n < tinyBlockBytes; n++ {
		shares[n] = uint8(tinyBlockBytes / (tinyBlockBytes / n))
	}
	return shares
}()

// stringBytes returns the bytes that a separately allocated string of length n uses. The runtime does not allocate strings of
// one byte, because it stores them as static data.
func (c *sizeClasses) stringBytes(n int) uint64 {
	switch {
	case n <= 1:
		return 0
	case n < tinyBlockBytes:
		return uint64(tinyShares[n])
	}
	return c.objectBytes(uint64(n), false)
}

// sliceType describes the element type of a slice to the allocator.
type sliceType struct {
	elementBytes uint64
	hasPointers  bool
}

// sliceOf returns the sliceType of []T.
func sliceOf[T any](hasPointers bool) sliceType {
	var element T
	return sliceType{elementBytes: uint64(unsafe.Sizeof(element)), hasPointers: hasPointers}
}

// arrayBytes returns the bytes that a backing array with a capacity of n elements uses.
func (c *sizeClasses) arrayBytes(s sliceType, n uint64) uint64 {
	size := mulSaturating(n, s.elementBytes)
	if size < tinyBlockBytes && !s.hasPointers {
		return (size + fineStep - 1) &^ (fineStep - 1)
	}
	return c.objectBytes(size, s.hasPointers)
}

// capacityFor returns the capacity of a backing array allocated for n elements: n rounded up to the size class.
func (c *sizeClasses) capacityFor(s sliceType, n uint64) uint64 {
	size := mulSaturating(n, s.elementBytes)
	if size > math.MaxUint64-pageBytes {
		return n
	}
	usable := c.objectBytes(size, s.hasPointers)
	if s.hasPointers && size > minHeaderObject && size <= maxSmallObject-headerBytes {
		usable -= headerBytes
	}
	return usable / s.elementBytes
}

// grownCapacity returns the capacity of a slice after n elements were appended one by one, and its capacity before the last
// reallocation.
func (c *sizeClasses) grownCapacity(s sliceType, n uint64) (capacity, previous uint64) {
	for capacity < n {
		previous = capacity
		switch {
		case capacity == 0:
			capacity = 1
		case capacity < doublingLimit:
			capacity *= 2
		case capacity > math.MaxUint64/2:
			return math.MaxUint64, capacity
		default: // as in runtime.nextslicecap
			capacity += (capacity + 3*doublingLimit) / 4
		}
		capacity = c.capacityFor(s, capacity)
	}
	return capacity, previous
}

// appendedBytes returns the bytes that a slice uses after n elements were appended one by one.
func (c *sizeClasses) appendedBytes(s sliceType, n uint64) uint64 {
	capacity, _ := c.grownCapacity(s, n)
	return c.arrayBytes(s, capacity)
}

// clonedBytes returns the bytes that the result of slices.Clone uses for n elements.
func (c *sizeClasses) clonedBytes(s sliceType, n uint64) uint64 {
	return c.arrayBytes(s, c.capacityFor(s, n))
}

// extendedBytes returns the bytes that a clone of n-1 elements uses after one more element was appended.
func (c *sizeClasses) extendedBytes(s sliceType, n uint64) uint64 {
	capacity := c.capacityFor(s, n-1)
	if capacity < n {
		if n == 1 {
			capacity = c.capacityFor(s, 1)
		} else {
			capacity = c.capacityFor(s, 2*capacity)
		}
	}
	return c.arrayBytes(s, capacity)
}

// mapBytes returns the bytes that a map uses after it has grown to n entries of slotBytes each for key and value. A large map
// consists of tables with at most maxMapTableSlots slots. A table splits in two when seven eighths of its slots are used, so
// the random hash seed changes the number of tables slightly.
func (c *sizeClasses) mapBytes(slotBytes, n uint64) uint64 {
	groupBytes := mulSaturating(slotBytes, mapGroupSlots) + mapGroupControlBytes
	switch {
	case n == 0:
		return mapHeaderBytes
	case n <= mapGroupSlots:
		return mapHeaderBytes + c.objectBytes(groupBytes, true)
	}
	slots := uint64(2 * mapGroupSlots)
	for slots < maxMapTableSlots && maxMapEntries(slots) < n {
		slots *= 2
	}
	tables := uint64(1)
	for tables < maxMapTables && mulSaturating(tables, maxMapEntries(maxMapTableSlots)) < n {
		tables *= 2
	}
	tableBytes := pointerBytes + mapTableHeaderBytes + c.objectBytes(slots/mapGroupSlots*groupBytes, true)
	return addSaturating(mapHeaderBytes, mulSaturating(tables, tableBytes))
}

// maxMapEntries returns how many entries a table of a map holds before it grows or splits: seven eighths of its slots.
func maxMapEntries(slots uint64) uint64 { return slots / 8 * 7 }
