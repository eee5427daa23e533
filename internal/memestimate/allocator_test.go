package memestimate

import (
	"runtime"
	"strconv"
	"testing"

	"example.org/micafront/internal/memestimate/sets"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

var heapSink any // makes what it holds escape to the heap

// appendCapacities are the capacities that a slice goes through when elements are appended. The slice is a struct field, as
// those of a table are.
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

// modelCapacities are those of the model.
func modelCapacities(c *sizeClasses, slice sliceType, n uint64) (capacities []uint64) {
	for length := uint64(1); length <= n; {
		capacity, _ := c.grownCapacity(slice, length)
		capacities = append(capacities, capacity)
		length = capacity + 1
	}
	return capacities
}

func TestGrownCapacityIsTheRuntimes(t *testing.T) {
	c, n := runtimeSizeClasses(), 200_000
	testkit.Equal(t, "texts", appendCapacities[string](n), modelCapacities(c, stringSlice, uint64(n)))
	testkit.Equal(t, "numbers", appendCapacities[int32](n), modelCapacities(c, int32Slice, uint64(n)))
	testkit.Equal(t, "routes", appendCapacities[routing.Route](n), modelCapacities(c, routeSlice, uint64(n)))
	testkit.Equal(t, "bytes", appendCapacities[byte](n), modelCapacities(c, byteSlice, uint64(n)))
	for n := range 5000 {
		testkit.Equal(t, "a clone's room", cap(append([]byte(nil), make([]byte, n)...)), int(c.capacityFor(byteSlice, uint64(n))))
		testkit.Equal(t, "a text list's room", cap(append([]string(nil), make([]string, n)...)), int(c.capacityFor(stringSlice, uint64(n))))
	}
}

func TestMapBytesAreTheRuntimes(t *testing.T) {
	var keys []string
	for i := range 50_000 {
		keys = append(keys, strconv.Itoa(i))
	}
	for _, n := range []int{0, 1, 8, 9, 14, 15, 28, 100, 500, 896, 2000, 50_000} {
		// The heap drifts by some kilobytes between two measurements on a busy machine, whatever is allocated: many copies make
		// that small beside the bounds.
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
		// A map of many tables may have split one more or less, depending on its random seed.
		if estimated := float64(runtimeSizeClasses().mapBytes(numberSlotBytes, uint64(n))); estimated < used*0.94-16 || estimated > used*1.06+16 {
			t.Errorf("a map of %d is estimated at %.0f bytes and uses %.0f", n, estimated, used)
		}
	}
}

func TestSliceTypesOfTableAreFound(t *testing.T) {
	for name, k := range map[string]sliceType{"rules": ruleSlice, "shapes": shapeSlice, "targets": targetSlice} {
		if k.elementBytes == 0 {
			t.Errorf("routing.Table has no field %s any more", name)
		}
	}
}

func TestArithmeticSaturates(t *testing.T) {
	const most = ^uint64(0)
	testkit.Equal(t, "sums and products", []uint64{most, most, most, most, 7, most / 2},
		[]uint64{addSaturating(most, 1), mulSaturating(1<<33, 1<<33), sumSaturating(most, most, 1), runtimeSizeClasses().arrayBytes(stringSlice, most), proportion(7, most, most),
			proportion(most, 1, 2)})
}
