package memestimate

import (
	"runtime"
	"strconv"
	"testing"

	"example.org/micafront/internal/memestimate/sets"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

// heapSink makes the values assigned to it escape to the heap.
var heapSink any

// appendCapacities returns the successive capacities of a slice while elements are appended to it. The slice is a struct field,
// as the slices of a table are.
func appendCapacities[T any](n int) (out []uint64) {
	at := new(struct{ s []T })
	heapSink = at
	for len(at.s) < n {
		var v T
		if at.s = append(at.s, v); len(out) == 0 || out[len(out)-1] != uint64(cap(at.s)) {
			out = append(out, uint64(cap(at.s)))
		}
	}
	return out
}

// modelCapacities returns the successive capacities of a slice according to the model.
func modelCapacities(c *sizeClasses, slice sliceType, n uint64) (capacities []uint64) {
	for length := uint64(1); length <= n; {
		capacity, _ := c.grownCapacity(slice, length)
		capacities = append(capacities, capacity)
		length = capacity + 1
	}
	return capacities
}

func TestGrownCapacityMatchesRuntime(t *testing.T) {
	c, n := runtimeSizeClasses(), 200_000
	testkit.Equal(t, "capacities of []string", appendCapacities[string](n), modelCapacities(c, stringSlice, uint64(n)))
	testkit.Equal(t, "capacities of []int32", appendCapacities[int32](n), modelCapacities(c, int32Slice, uint64(n)))
	testkit.Equal(t, "capacities of []routing.Route", appendCapacities[routing.Route](n), modelCapacities(c, routeSlice, uint64(n)))
	testkit.Equal(t, "capacities of []byte", appendCapacities[byte](n), modelCapacities(c, byteSlice, uint64(n)))
	for n := range 5000 {
		testkit.Equal(t, "capacity of a cloned []byte", cap(append([]byte(nil), make([]byte, n)...)), int(c.capacityFor(byteSlice, uint64(n))))
		testkit.Equal(t, "capacity of a cloned []string", cap(append([]string(nil), make([]string, n)...)), int(c.capacityFor(stringSlice, uint64(n))))
	}
}

func TestMapBytesMatchRuntime(t *testing.T) {
	var keys []string
	for i := range 50_000 {
		keys = append(keys, strconv.Itoa(i))
	}
	for _, n := range []int{0, 1, 8, 9, 14, 15, 28, 100, 500, 896, 2000, 50_000} {
		// On a busy machine the heap drifts by some kilobytes between two measurements, whatever the test allocates. Many
		// copies make that drift small compared with the bounds.
		copies := max(20_000/max(n, 1), 1)
		made := make([]map[string]int, copies)
		before := sets.LiveHeap()
		for i := range made {
			made[i] = map[string]int{}
			for k, key := range keys[:n] {
				made[i][key] = k
			}
		}
		used := float64(sets.LiveHeap()-before) / float64(copies)
		runtime.KeepAlive(made)
		// The random hash seed of a map with many tables may cause one table split more or fewer.
		if estimated := float64(runtimeSizeClasses().mapBytes(intSlotBytes, uint64(n))); estimated < used*0.94-16 || estimated > used*1.06+16 {
			t.Errorf("map of %d entries: estimated %.0f bytes, measured %.0f", n, estimated, used)
		}
	}
}

func TestSliceTypesOfTableAreFound(t *testing.T) {
	for name, slice := range map[string]sliceType{"rules": ruleSlice, "shapes": shapeSlice, "targets": targetSlice} {
		if slice.elementBytes == 0 {
			t.Errorf("routing.Table has no field %q; update slices.go", name)
		}
	}
}

func TestArithmeticSaturates(t *testing.T) {
	const maxUint64 = ^uint64(0)
	testkit.Equal(t, "sums and products", []uint64{maxUint64, maxUint64, maxUint64, maxUint64, 7, maxUint64 / 2},
		[]uint64{addSaturating(maxUint64, 1), mulSaturating(1<<33, 1<<33), sumSaturating(maxUint64, maxUint64, 1),
			runtimeSizeClasses().arrayBytes(stringSlice, maxUint64), proportion(7, maxUint64, maxUint64), proportion(maxUint64, 1, 2)})
}
