package metrics

import (
	"fmt"
	"io"
	"time"
)

// LongTurnThreshold is the processor time from which a turn of the event loop counts as long. Every turn should stay below it.
const LongTurnThreshold = 5 * time.Millisecond

// Loop contains the metrics of the event loop. The zero value is ready for use.
type Loop struct {
	Turns            Counter
	LongTurns        Counter       // turns of LongTurnThreshold or longer
	LongestTurn      time.Duration // processor time of the longest turn since the process started
	LongestTurnCause string        // event that the longest turn handled
	HoldUps          Counter       // periods without event handling, after which the loop had to catch up
	HoldUpTime       time.Duration // total duration of the hold-ups
}

// RecordTurn counts a turn and reports whether it took LongTurnThreshold or longer.
func (l *Loop) RecordTurn(cause string, length time.Duration) (long bool) {
	l.Turns++
	if length > l.LongestTurn {
		l.LongestTurn = length
		l.LongestTurnCause = cause
	}
	if length < LongTurnThreshold {
		return false
	}
	l.LongTurns++
	return true
}

// RecordHoldUp counts a hold-up.
func (l *Loop) RecordHoldUp(length time.Duration) {
	l.HoldUps++
	l.HoldUpTime += length
}

// AppendMetrics appends one name=value line per metric.
func (l *Loop) AppendMetrics(out []byte) []byte {
	out = appendMetric(out, "svc.loop.turns", l.Turns)
	out = appendMetric(out, "svc.loop.long_turns", l.LongTurns)
	out = appendMetric(out, "svc.loop.longest_turn_us", l.LongestTurn.Microseconds())
	out = appendMetric(out, "svc.loop.longest_turn_for", l.LongestTurnCause)
	out = appendMetric(out, "svc.loop.hold_ups", l.HoldUps)
	return appendMetric(out, "svc.loop.held_up_ms", l.HoldUpTime.Milliseconds())
}

// WritePairs writes the metrics except the longest turn's cause as name=value pairs, each followed by a space.
func (l *Loop) WritePairs(w io.Writer) {
	fmt.Fprintf(w, "turns=%d long_turns=%d longest_turn_us=%d hold_ups=%d held_up_ms=%d ", l.Turns, l.LongTurns,
		l.LongestTurn.Microseconds(), l.HoldUps, l.HoldUpTime.Milliseconds())
}
