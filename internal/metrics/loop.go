package metrics

import (
	"fmt"
	"io"
	"time"
)

// LongTurn is the processor time that a turn of the event loop should stay under.
const LongTurn = 5 * time.Millisecond

// Loop has the figures of the event loop. The zero value is ready for use.
type Loop struct {
	Turns       Counter
	LongTurns   Counter       // that took LongTurn or longer
	LongestTurn time.Duration // since the process started
	LongestFor  string        // what that turn was for
	HoldUps     Counter       // after which the loop had to catch up
	HeldUp      time.Duration // in all
}

// RecordTurn counts a turn and reports whether it was long.
func (l *Loop) RecordTurn(cause string, length time.Duration) (long bool) {
	l.Turns++
	if length > l.LongestTurn {
		l.LongestTurn = length
		l.LongestFor = cause
	}
	if length < LongTurn {
		return false
	}
	l.LongTurns++
	return true
}

// RecordHoldUp counts a hold-up.
func (l *Loop) RecordHoldUp(length time.Duration) {
	l.HoldUps++
	l.HeldUp += length
}

// AppendMetrics appends the telemetry text: a name=value line each.
func (l *Loop) AppendMetrics(out []byte) []byte {
	out = appendMetric(out, "svc.loop.turns", l.Turns)
	out = appendMetric(out, "svc.loop.long_turns", l.LongTurns)
	out = appendMetric(out, "svc.loop.longest_turn_us", l.LongestTurn.Microseconds())
	out = appendMetric(out, "svc.loop.longest_turn_for", l.LongestFor)
	out = appendMetric(out, "svc.loop.hold_ups", l.HoldUps)
	return appendMetric(out, "svc.loop.held_up_ms", l.HeldUp.Milliseconds())
}

// WritePairs writes the figures as name=value pairs, each with a blank behind it.
func (l *Loop) WritePairs(w io.Writer) {
	fmt.Fprintf(w, "turns=%d long_turns=%d longest_turn_us=%d hold_ups=%d held_up_ms=%d ", l.Turns, l.LongTurns,
		l.LongestTurn.Microseconds(), l.HoldUps, l.HeldUp.Milliseconds())
}
