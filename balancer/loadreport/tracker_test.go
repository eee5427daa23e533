package loadreport

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// What a node has sent since a report counts, for the other nodes too, until the next report includes all of it.
func TestExpectedLoadBetweenReports(t *testing.T) {
	var tracker Tracker
	tracker.Configure(4, 3*time.Second, 0)
	tracker.RecordReport("s", 2, time.Second, 0.8, 10) // sixteen mean connections with two groups' cost: 0.05 each
	tracker.RecordSent("s", 2, 1)
	tracker.RecordSent("s", 2, 4)
	if got := tracker.ExpectedLoad("s", 2, 2); math.Abs(got-(0.8+2*0.25+0.1)) > 1e-9 {
		t.Errorf("expected %v", got)
	}
	tracker.RecordReport("s", 2, 2*time.Second, 1.3, 20)
	if got := tracker.ExpectedLoad("s", 2, 0); got != 1.3 {
		t.Errorf("after the next report %v", got)
	}
}

// Before any report the quotas tell what a connection adds: less on a larger endpoint.
func TestQuotasBeforeReports(t *testing.T) {
	var tracker Tracker
	tracker.Configure(1, 3*time.Second, 100)
	tracker.MarkRequestedIfDue("big", 3, 0, time.Second)
	tracker.MarkRequestedIfDue("small", 1, 0, time.Second)
	big, small := tracker.ExpectedLoad("big", 3, 1), tracker.ExpectedLoad("small", 1, 1)
	if math.Abs(small-4.0/150) > 1e-9 || math.Abs(big-small/3) > 1e-9 {
		t.Errorf("a connection adds %v and %v", big, small)
	}
}

// An endpoint that is no longer asked, as it drains or does not answer, says nothing of the fleet.
func TestStaleReportsDoNotCount(t *testing.T) {
	var tracker Tracker
	tracker.Configure(1, 3*time.Second, 0)
	tracker.RecordReport("removed", 1, time.Second, 2, 9)
	tracker.RecordReport("ready", 1, 3*time.Second, 0.5, 9)
	if got := tracker.FleetLoad(3 * time.Second); math.Abs(got-1.25) > 1e-9 {
		t.Errorf("both fresh: %v", got)
	}
	if got := tracker.FleetLoad(8 * time.Second); got != 0.5 {
		t.Errorf("one stale: %v", got)
	}
	tracker.Remove("ready")
	if got := tracker.FleetLoad(8 * time.Second); got != 0 {
		t.Errorf("nothing known: %v", got)
	}
}

// Each endpoint is asked once per interval however often MarkRequestedIfDue is called, and less often while the load is low.
func TestReportDue(t *testing.T) {
	for load, want := range map[float64]int{0.2: 9, 0.8: 15} { // six or so in the first two seconds
		var tracker Tracker
		requested := 0
		for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
			if tracker.MarkRequestedIfDue("s", 1, now, ReportInterval(now, 3*time.Second, load)) {
				requested++
			}
		}
		if requested < want-1 || requested > want+1 {
			t.Errorf("at a load of %v asked %d times, want about %d", load, requested, want)
		}
	}
}

// Nodes that got the same reports in another order, or restored them from a snapshot, compute the same to the bit.
func TestSameEvidenceSameSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringN(1, 6, -1), 1, 12, rapid.ID[string]).Draw(t, "ids")
		loads := rapid.SliceOfN(rapid.Float64Range(0, 3), len(ids), len(ids)).Draw(t, "loads")
		var forward, backward, restored Tracker
		for _, tracker := range []*Tracker{&forward, &backward, &restored} {
			tracker.Configure(3, time.Second, 50)
		}
		for i := range ids {
			forward.RecordReport(ids[i], float64(i+1), time.Second, loads[i], 5)
			j := len(ids) - 1 - i
			backward.RecordReport(ids[j], float64(j+1), time.Second, loads[j], 5)
		}
		restored.Restore(forward.Snapshot())
		want := forward.FleetLoad(time.Second)
		got := []float64{backward.FleetLoad(time.Second), restored.FleetLoad(time.Second)}
		if diff := cmp.Diff([]float64{want, want}, got); diff != "" {
			t.Fatal(diff)
		}
	})
}
