package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Event is an event in the life of a request. Its text is part of metric names.
type Event string

// Events that are counted by reason.
const (
	RequestRejected Event = "rejected" // the client may retry later
	RequestFailed   Event = "failed"   // the answer gives no time after which to retry
	RequestRetried  Event = "retried"  // an attempt ended and another one follows
	RequestEnded    Event = "ended"    // the client disconnected before the final answer
)

// Reason is the cause of an Event. Its text is part of metric names: lower case, without spaces.
type Reason string

// Reasons counts events by reason. The zero value is ready for use. Reasons must be constants of the program: names sent by peers
// could use any amount of memory.
type Reasons struct {
	counts map[Event]map[Reason]Counter
}

// Record counts one event with a reason.
func (r *Reasons) Record(event Event, reason Reason) {
	if r.counts == nil {
		r.counts = map[Event]map[Reason]Counter{}
	}
	if r.counts[event] == nil {
		r.counts[event] = map[Reason]Counter{}
	}
	r.counts[event][reason]++
}

// Count returns the number of events with a reason.
func (r *Reasons) Count(event Event, reason Reason) Counter { return r.counts[event][reason] }

// visit calls f for each recorded event and reason, sorted by event and then by reason.
func (r *Reasons) visit(f func(event Event, reason Reason, count Counter)) {
	for _, event := range slices.Sorted(maps.Keys(r.counts)) {
		for _, reason := range slices.Sorted(maps.Keys(r.counts[event])) {
			f(event, reason, r.counts[event][reason])
		}
	}
}

// AppendMetrics appends a name=value line for each recorded event and reason.
func (r *Reasons) AppendMetrics(out []byte) []byte {
	r.visit(func(event Event, reason Reason, count Counter) {
		out = appendMetric(out, fmt.Sprintf("svc.requests.%s.%s", event, reason), count)
	})
	return out
}

// WritePairs writes the counters as name=value pairs, each followed by a space.
func (r *Reasons) WritePairs(w io.Writer) {
	r.visit(func(event Event, reason Reason, count Counter) { fmt.Fprintf(w, "%s_%s=%d ", event, reason, count) })
}
