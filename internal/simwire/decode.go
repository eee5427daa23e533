// Package simwire decodes the simulator's wire format to the events and settings of package balancer, and encodes actions to it.
// Command simadapter uses it for the simulator's lines; package config decodes settings of the same format with it. All names and
// units of the wire format are mapped in this package only.
package simwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"example.org/micafront/balancer"
)

// Start starts an instance without any state.
type Start struct {
	Node     int
	Seed     uint64
	Settings balancer.Settings
}

// Input is a decoded event for one instance. At most one of Start, Kill and Event is set. If none is set, the event must be
// ignored.
type Input struct {
	Node  int
	Start *Start
	Kill  bool // the instance must stop immediately
	Event balancer.Event
}

// Batch is a decoded line of input: the events of one point in time.
type Batch struct {
	Now    balancer.Instant
	Frame  int64 // number of the line, which the reply repeats
	Inputs []Input
}

// maxMicroseconds is just below the maximum of time.Duration, in microseconds.
const maxMicroseconds = 9e15

// Seconds converts seconds on the wire to a duration, rounded to a microsecond. Values beyond ±maxMicroseconds are clamped to it,
// and NaN becomes maxMicroseconds.
func Seconds(seconds float64) time.Duration {
	microseconds := math.Round(seconds * 1e6)
	if !(math.Abs(microseconds) < maxMicroseconds) { // or NaN
		if microseconds < 0 {
			return -maxMicroseconds * time.Microsecond
		}
		return maxMicroseconds * time.Microsecond
	}
	return time.Duration(microseconds) * time.Microsecond
}

// Decode decodes one line of input. Its errors name the invalid event and the invalid or missing member.
func Decode(line []byte) (*Batch, error) {
	var raw struct {
		AtTime *float64          `json:"AtTime"` // in seconds
		Frame  *int64            `json:"frame"`
		Events []json.RawMessage `json:"news"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return nil, fmt.Errorf("batch is not valid JSON of the expected form: %w", err)
	}
	switch {
	case raw.AtTime == nil:
		return nil, errors.New("batch: member AtTime is missing")
	case raw.Frame == nil:
		return nil, errors.New("batch: member frame is missing")
	}
	batch := &Batch{Now: Seconds(*raw.AtTime), Frame: *raw.Frame, Inputs: make([]Input, 0, len(raw.Events))}
	for i, event := range raw.Events {
		input, err := decodeEvent(event)
		if err != nil {
			return nil, fmt.Errorf("frame %d, event %d: %w", batch.Frame, i, err)
		}
		batch.Inputs = append(batch.Inputs, input)
	}
	return batch, nil
}

var errNotSingleKey = errors.New("an event must be an object with a single key")

// splitEvent splits an event into its single key, which is its name, and its body. It splits the common compact form without
// decoding the JSON object.
func splitEvent(event []byte) (name string, body []byte, err error) {
	event = bytes.TrimSpace(event)
	if name, body, ok := splitCompactEvent(event); ok {
		return name, body, nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(event, &members); err != nil || len(members) != 1 {
		return "", nil, errNotSingleKey
	}
	for name, body := range members {
		return name, body, nil
	}
	return "", nil, errNotSingleKey
}

// splitCompactEvent splits {"name":body} without spaces and escapes around the name.
func splitCompactEvent(event []byte) (name string, body []byte, ok bool) {
	const opening, separator = `{"`, `":`
	if len(event) <= len(opening)+len(separator) || !bytes.HasPrefix(event, []byte(opening)) || event[len(event)-1] != '}' {
		return "", nil, false
	}
	rest := event[len(opening):]
	nameEnd := bytes.IndexByte(rest, '"')
	bodyStart := nameEnd + len(separator)
	if nameEnd <= 0 || len(rest) <= bodyStart || rest[nameEnd+1] != ':' {
		return "", nil, false
	}
	body = rest[bodyStart : len(rest)-1]
	if !json.Valid(body) {
		return "", nil, false
	}
	return string(rest[:nameEnd]), body, true
}
