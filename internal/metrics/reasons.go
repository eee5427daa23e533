package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Event is what happened to a request.
type Event string

// Events that have reasons.
const (
	RequestRejected Event = "rejected" // its client may retry
	RequestFailed   Event = "failed"   // without a promise
	RequestRetried  Event = "retried"  // another attempt follows one that has ended
	RequestEnded    Event = "ended"    // without an answer that counts: its client has left
)

// Reason says why. Its text is printed: lower case, no blanks.
type Reason string

// Reasons counts events by their reasons. The zero value is ready for use; its names come from the program alone, never from
// peers.
type Reasons struct {
	counts map[Event]map[Reason]Counter
}

// Record counts an event.
func (r *Reasons) Record(event Event, reason Reason) {
	if r.counts == nil {
		r.counts = map[Event]map[Reason]Counter{}
	}
	if r.counts[event] == nil {
		r.counts[event] = map[Reason]Counter{}
	}
	r.counts[event][reason]++
}

// Count returns how often an event had a reason.
func (r *Reasons) Count(event Event, reason Reason) Counter { return r.counts[event][reason] }

// visit calls f for each event and reason that has come, in the order of names.
func (r *Reasons) visit(f func(event Event, reason Reason, count Counter)) {
	for _, event := range slices.Sorted(maps.Keys(r.counts)) {
		for _, reason := range slices.Sorted(maps.Keys(r.counts[event])) {
			f(event, reason, r.counts[event][reason])
		}
	}
}

// AppendMetrics appends the telemetry text: a name=value line for each event and reason that has come.
func (r *Reasons) AppendMetrics(out []byte) []byte {
	r.visit(func(event Event, reason Reason, count Counter) {
		out = appendMetric(out, fmt.Sprintf("svc.requests.%s.%s", event, reason), count)
	})
	return out
}

// WritePairs writes the counters as name=value pairs, each with a blank behind it.
func (r *Reasons) WritePairs(w io.Writer) {
	r.visit(func(event Event, reason Reason, count Counter) { fmt.Fprintf(w, "%s_%s=%d ", event, reason, count) })
}
