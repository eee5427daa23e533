package proxy

import (
	"bytes"
	"time"

	"example.org/micafront"
	"example.org/micafront/internal/line"
)

// Text is the line protocol.
type Text struct{}

// Greet implements Protocol, as do the methods below.
func (Text) Greet(b []byte) (int, *Opening, error) {
	l, _, ok := line.Cut(b)
	if !ok || len(l) > line.Max {
		if len(b) > line.Max || ok {
			return 0, nil, errOverlong
		}
		return 0, nil, nil
	}
	if line.IsPing(l) {
		return len(l), nil, nil
	}
	o, err := line.ParseOpen(bytes.Clone(l))
	if err != nil {
		return 0, nil, err
	}
	return len(l), &Opening{ID: o.ID, Class: o.Class, Key: o.Key, Group: o.Group, Tenant: o.Tenant, Standing: o.At, Wait: o.Wait,
		HasWait: o.HasWait, Hint: o.Hint, Repeat: o.Repeat, Again: o.Again, MidFlow: o.MidFlow,
		Fields:  &o,
		Forward: func(wait time.Duration) []byte { return o.AppendFirst(nil, wait) }}, nil
}

func (Text) Ready(yes bool) []byte {
	if yes {
		return line.Pong
	}
	return line.Drained
}

func (Text) Whole(b []byte) int { return line.Last(b) }

func (Text) Cut(b []byte) (message, rest []byte) {
	message, rest, _ = line.Cut(b)
	return message, rest
}

var signs = map[line.Answer]Sign{line.Up: SignUp, line.Bye: SignBye, line.Moved: SignMove,
	line.Error: SignError, line.Full: SignFull, line.Load: SignLoad}

func (Text) Read(m []byte) (Sign, float64) {
	a, x := line.ParseAnswer(m)
	return signs[a], x
}

func (Text) Ask() []byte { return line.Stats }

func (Text) Report(m []byte) (micafront.Load, bool) {
	load, ok := line.ParseReport(m)
	return load, ok
}

func (Text) Defer(after time.Duration) []byte { return line.AppendBusy(nil, after) }
func (Text) Fail() []byte                     { return line.Err }
func (Text) Malformed() []byte                { return line.Malformed }
func (Text) Move() []byte                     { return line.Move }
func (Text) MaxMessage() int                  { return line.Max }
