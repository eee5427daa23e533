package loadreport

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// The load that a node has sent since a report counts, also for the other nodes, until the next report. That report
// includes it.
func TestExpectedLoadBetweenReports(t *testing.T) {
	var tracker Tracker
	tracker.Configure(4, 3*time.Second, 0)
	tracker.RecordReport("s", 2, time.Second, 0.8, 10) // 16 mean connections with the cost of two groups: 0.05 each
	tracker.RecordSent("s", 2, 1)
	tracker.RecordSent("s", 2, 4)
	if got := tracker.ExpectedLoad("s", 2, 2); math.Abs(got-(0.8+2*0.25+0.1)) > 1e-9 {
		t.Errorf("expected load between reports: %v", got)
	}
	tracker.RecordReport("s", 2, 2*time.Second, 1.3, 20)
	if got := tracker.ExpectedLoad("s", 2, 0); got != 1.3 {
		t.Errorf("expected load after the next report: %v, want 1.3", got)
	}
}

// Before the first report, the load of a connection is derived from the quotas. It is lower at a larger endpoint.
func TestQuotasBeforeReports(t *testing.T) {
	var tracker Tracker
	tracker.Configure(1, 3*time.Second, 100)
	tracker.MarkRequestedIfDue("big", 3, 0, time.Second)
	tracker.MarkRequestedIfDue("small", 1, 0, time.Second)
	big, small := tracker.ExpectedLoad("big", 3, 1), tracker.ExpectedLoad("small", 1, 1)
	if math.Abs(small-4.0/150) > 1e-9 || math.Abs(big-small/3) > 1e-9 {
		t.Errorf("a connection adds %v to the big endpoint and %v to the small one", big, small)
	}
}

// The last report of an endpoint that is no longer asked, because it drains or does not answer, must not count for the
// load of the fleet.
func TestStaleReportsDoNotCount(t *testing.T) {
	var tracker Tracker
	tracker.Configure(1, 3*time.Second, 0)
	tracker.RecordReport("removed", 1, time.Second, 2, 9)
	tracker.RecordReport("ready", 1, 3*time.Second, 0.5, 9)
	if got := tracker.FleetLoad(3 * time.Second); math.Abs(got-1.25) > 1e-9 {
		t.Errorf("fleet load with two recent reports: %v", got)
	}
	if got := tracker.FleetLoad(8 * time.Second); got != 0.5 {
		t.Errorf("fleet load with one stale report: %v", got)
	}
	tracker.Remove("ready")
	if got := tracker.FleetLoad(8 * time.Second); got != 0 {
		t.Errorf("fleet load with only a stale report: %v", got)
	}
}

// A report of each endpoint is requested once per interval, however often MarkRequestedIfDue is called. The interval is
// longer while the load is low.
func TestMarkRequestedIfDue(t *testing.T) {
	for load, want := range map[float64]int{0.2: 9, 0.8: 15} { // about six of them in the first two seconds
		var tracker Tracker
		requested := 0
		for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
			if tracker.MarkRequestedIfDue("s", 1, now, ReportInterval(now, 3*time.Second, load)) {
				requested++
			}
		}
		if requested < want-1 || requested > want+1 {
			t.Errorf("load %v: %d reports requested, want about %d", load, requested, want)
		}
	}
}

// Nodes that got the same reports in a different order, or restored them from a snapshot, must compute bit-identical
// sums.
func TestSumsDoNotDependOnReportOrder(t *testing.T) {
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
