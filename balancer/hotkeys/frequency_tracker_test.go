package hotkeys

import (
	"testing"

	"example.org/micafront/balancer/hashing"
)

// Counts must stay whole numbers after any number of halvings, so that their sums don't depend on the iteration order of a map.
func TestTrackerStaysExact(t *testing.T) {
	tracker := New()
	for i := range 40 * MaxTotal {
		tracker.Observe(hashing.Mix64(uint64(i)) % 37)
		if tracker.Total >= MaxTotal {
			t.Fatalf("total %v, want less than MaxTotal", tracker.Total)
		}
	}
	total, squares := 0.0, 0.0
	for group, count := range tracker.Counts {
		if count != float64(int(count)) {
			t.Fatalf("count of group %d is %v, want a whole number", group, count)
		}
		total += count
		squares += count * count
	}
	if total != tracker.Total || squares != tracker.SumOfSquares {
		t.Errorf("counts have total %v and sum of squares %v, tracked are %v and %v", total, squares, tracker.Total, tracker.SumOfSquares)
	}
}
