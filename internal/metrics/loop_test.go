package metrics

import (
	"bytes"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
)

// TestLoopAndReasonsText pins the metric names of Loop and Reasons, which operators scrape.
func TestLoopAndReasonsText(t *testing.T) {
	var loop Loop
	for _, length := range []time.Duration{time.Millisecond, LongTurnThreshold, 1700 * time.Millisecond, LongTurnThreshold - 1} {
		loop.RecordTurn("endpoint list", length)
	}
	loop.RecordHoldUp(1700 * time.Millisecond)
	testkit.Equal(t, "loop metrics", "svc.loop.turns=4\nsvc.loop.long_turns=2\nsvc.loop.longest_turn_us=1700000\n"+
		"svc.loop.longest_turn_for=endpoint list\nsvc.loop.hold_ups=1\nsvc.loop.held_up_ms=1700\n", string(loop.AppendMetrics(nil)))

	var reasons Reasons
	testkit.Equal(t, "reason metrics before any event", "", string(reasons.AppendMetrics(nil)))
	reasons.Record(RequestRetried, "timeout")
	reasons.Record(RequestRejected, "no_time")
	reasons.Record(RequestRejected, "no_time")
	reasons.Record(RequestRejected, "limit")
	testkit.Equal(t, "reason metrics", "svc.requests.rejected.limit=1\nsvc.requests.rejected.no_time=2\nsvc.requests.retried.timeout=1\n",
		string(reasons.AppendMetrics(nil)))
	var line bytes.Buffer
	loop.WritePairs(&line)
	reasons.WritePairs(&line)
	testkit.Equal(t, "name=value pairs", "turns=4 long_turns=2 longest_turn_us=1700000 hold_ups=1 held_up_ms=1700 "+
		"rejected_limit=1 rejected_no_time=2 retried_timeout=1 ", line.String())
}
