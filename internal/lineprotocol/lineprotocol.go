// Package lineprotocol parses and writes the text protocol that clients and endpoints speak: lines that end in CRLF. It is
// pure: no I/O and no clock. internal/proxy uses it for its text protocol; of the proxy's packages it alone knows the
// protocol's words (OPEN, UP, BUSY, MOVE, …).
//
// A client's first line is OPEN with an ID, a key and a list of name=value pairs. The endpoint that gets it answers UP, BUSY or
// ERR. After UP, lines pass both ways until an endpoint ends with BYE, or MOVE sends the client to another one.
package lineprotocol

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"
)

// MaxLineBytes is the longest line in bytes, its CRLF included.
const MaxLineBytes = 4 << 10

// Lines that the proxy sends by itself. Callers must not modify them.
var (
	Pong      = []byte("PONG\r\n")        // answers PING while the proxy accepts connections
	Drained   = []byte("ERR DRAINED\r\n") // answers PING while new connections should go to another proxy
	Stats     = []byte("STATS\r\n")       // asks an endpoint for its load report
	Busy      = []byte("BUSY\r\n")        // rejects a request, which may be repeated at any time
	Err       = []byte("ERR\r\n")         // fails a request
	Malformed = []byte("ERR SYNTAX\r\n")  // answers a line that is no valid first line
	Migrate   = []byte("MOVE\r\n")        // asks a client to connect anew
)

// AppendBusy appends a rejection with the time after which the client may retry, in whole milliseconds rounded up; 0 or less:
// at any time.
func AppendBusy(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return append(b, Busy...)
	}
	const roundUp = time.Millisecond - 1
	b = append(b, "BUSY "...)
	b = strconv.AppendInt(b, (after + roundUp).Milliseconds(), 10)
	return append(b, "\r\n"...)
}

// CutLine splits b after its first whole line, which keeps its line end. ok is false, and rest all of b, where there is none.
func CutLine(b []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return nil, b, false
	}
	return b[:i+1], b[i+1:], true
}

// CompleteBytes is the length of the whole lines at the start of b, in bytes.
func CompleteBytes(b []byte) int { return bytes.LastIndexByte(b, '\n') + 1 }

// trimLineEnd removes a CRLF, or either half of it.
func trimLineEnd(b []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(b, []byte("\n")), []byte("\r"))
}

// splitWord splits b at its first blank, which is in neither part.
func splitWord(b []byte) (first, rest []byte) {
	first, rest, _ = bytes.Cut(b, []byte(" "))
	return first, rest
}

// cutPair splits a list of name=value pairs at its first comma, and the pair before it into name and value. ok is false where
// that has no "=".
func cutPair(list []byte) (name, value, rest []byte, ok bool) {
	pair, rest, _ := bytes.Cut(list, []byte(","))
	name, value, ok = bytes.Cut(pair, []byte("="))
	return name, value, rest, ok
}

// Open is a client's first line (OPEN): the fields that decisions need, and the line as it came, which is forwarded.
type Open struct {
	Raw              []byte        // the whole line, CRLF included
	ID               string        // the request's, given by the client
	Key              string        // what the request is placed by
	Class            string        // field c
	Tenant           string        // field t
	Group            string        // field g: the client, or the group that it belongs to
	PreviousEndpoint string        // field at: the endpoint at which the connection was open before; "": it is new
	Timeout          time.Duration // field d: how long the client waits for its answer, maxWait at most
	HasTimeout       bool          // the line has field d
	LoadHint         float64       // field h: the expected load of the connection; 0: not known
	Retry            bool          // field r: the client has sent the request before
	Returning        bool          // field again: the client's connection was broken or migrated
	Resumed          bool          // field mid: packets of a connection that is open at an endpoint now arrive here

	// Where the value of field d begins and ends in Raw.
	waitStart int
	waitEnd   int
}

// ErrSyntax means that a line is not a valid first line.
var ErrSyntax = errors.New("not a first line")

// maxWait bounds Open.Timeout.
const maxWait = time.Hour

// IsPing reports whether a line is a readiness check.
func IsPing(b []byte) bool { return string(trimLineEnd(b)) == "PING" }

// ParseOpen parses a first line, which ends in CRLF and has a class. The only error is ErrSyntax. Raw refers to b, which must
// not be modified while the result is in use.
func ParseOpen(b []byte) (Open, error) {
	o := Open{Raw: b}
	if !bytes.HasSuffix(b, []byte("\r\n")) {
		return o, ErrSyntax
	}
	text := trimLineEnd(b)
	verb, rest := splitWord(text)
	id, rest := splitWord(rest)
	key, fields := splitWord(rest)
	if string(verb) != "OPEN" || len(id) == 0 || len(key) == 0 || bytes.IndexByte(fields, ' ') >= 0 {
		return o, ErrSyntax
	}
	if bytes.ContainsFunc(text, isControl) {
		return o, ErrSyntax
	}
	o.ID = string(id)
	o.Key = string(key)
	if err := o.parseFields(fields, len(text)-len(fields)); err != nil {
		return o, err
	}
	if o.Class == "" {
		return o, ErrSyntax
	}
	return o, nil
}

// isControl reports whether a byte of a line is an ASCII control character.
func isControl(c rune) bool { return c < ' ' || c == 0x7f }

// parseFields parses the list of name=value pairs, which begins at this offset of the line.
func (o *Open) parseFields(list []byte, offset int) error {
	for len(list) > 0 {
		name, value, rest, ok := cutPair(list)
		if !ok {
			return ErrSyntax
		}
		valueOffset := offset + len(name) + len("=")
		if err := o.setField(name, value, valueOffset); err != nil {
			return err
		}
		offset = valueOffset + len(value) + len(",")
		list = rest
	}
	return nil
}

// setField sets a field of the line, whose value begins at this offset. Names that decisions do not need are passed over.
func (o *Open) setField(name, value []byte, valueOffset int) error {
	switch string(name) {
	case "c":
		o.Class = string(value)
	case "t":
		o.Tenant = string(value)
	case "g":
		o.Group = string(value)
	case "at":
		o.PreviousEndpoint = string(value)
	case "r":
		o.Retry = string(value) == "1"
	case "again":
		o.Returning = string(value) == "1"
	case "mid":
		o.Resumed = string(value) == "1"
	case "d":
		return o.setWait(value, valueOffset)
	case "h":
		hint, ok := parseLoad(value)
		if !ok {
			return ErrSyntax
		}
		o.LoadHint = hint
	}
	return nil
}

// parseLoad parses a figure of a load: finite and not negative.
func parseLoad(text []byte) (load float64, ok bool) {
	load, err := strconv.ParseFloat(string(text), 64)
	return load, err == nil && load >= 0 && !math.IsInf(load, 0)
}

// setWait sets the client's wait, which a line may have once.
func (o *Open) setWait(value []byte, valueOffset int) error {
	milliseconds, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || milliseconds < 0 || o.HasTimeout {
		return ErrSyntax
	}
	o.HasTimeout = true
	o.Timeout = time.Duration(min(milliseconds, maxWait.Milliseconds())) * time.Millisecond
	o.waitStart = valueOffset
	o.waitEnd = valueOffset + len(value)
	return nil
}

// Field returns the value of any field of the line, and whether the line has it. Of fields with one name it is the first.
func (o *Open) Field(name string) (string, bool) {
	_, rest := splitWord(trimLineEnd(o.Raw))
	_, rest = splitWord(rest)
	_, list := splitWord(rest)
	for len(list) > 0 {
		fieldName, value, rest, ok := cutPair(list)
		if ok && string(fieldName) == name {
			return string(value), true
		}
		list = rest
	}
	return "", false
}

// AppendForwarded appends the line as it is forwarded to an endpoint: field d, if the line has it, states how long the proxy will
// wait, in whole milliseconds and 1 at least; every other byte is as it came.
func (o *Open) AppendForwarded(b []byte, wait time.Duration) []byte {
	if !o.HasTimeout {
		return append(b, o.Raw...)
	}
	b = append(b, o.Raw[:o.waitStart]...)
	b = strconv.AppendInt(b, max(wait.Milliseconds(), 1), 10)
	return append(b, o.Raw[o.waitEnd:]...)
}

// Answer is the meaning of a line from an endpoint.
type Answer int

// The meanings of a line.
const (
	Other       Answer = iota // any other line, which is relayed
	Established               // UP: the connection is established
	Finished                  // BYE: the connection has been served to its end
	Migrated                  // MOVE: the endpoint sends the client to another one
	Error                     // ERR: the request failed, and may have been executed
	Full                      // BUSY: no capacity; the request was not executed
	Load                      // LOAD: a load report
)

// ParseAnswer parses a line from an endpoint. For Load it returns the reported figure, below 0 if that is not valid; for any
// other answer the load is 0.
func ParseAnswer(b []byte) (answer Answer, load float64) {
	verb, rest := splitWord(trimLineEnd(b))
	switch string(verb) {
	case "UP":
		return Established, 0
	case "BYE":
		return Finished, 0
	case "MOVE":
		return Migrated, 0
	case "ERR":
		return Error, 0
	case "BUSY":
		return Full, 0
	case "LOAD":
		if load, ok := parseLoad(rest); ok {
			return Load, load
		}
		return Load, invalidLoad
	}
	return Other, 0
}

// invalidLoad is the load of a LOAD line without a valid figure.
const invalidLoad = -1

// settingsName is the name that the settings use for a field of a load report.
func settingsName(field string) string {
	if field == "inflight" {
		return "outstanding"
	}
	return field
}

// ParseLoadReport parses an endpoint's answer to STATS: PONG or ERR, followed by its load report if it has one. The values are by
// field name. A report with an invalid figure is rejected whole: part of a report must not pass for all of it.
func ParseLoadReport(b []byte) (values map[string]float64, ok bool) {
	verb, list := splitWord(trimLineEnd(b))
	if string(verb) != "PONG" && string(verb) != "ERR" {
		return nil, false
	}
	values = map[string]float64{}
	for len(list) > 0 {
		name, value, rest, _ := cutPair(list)
		figure, valid := parseLoad(value)
		if !valid || len(name) == 0 {
			return nil, false
		}
		values[settingsName(string(name))] = figure
		list = rest
	}
	return values, true
}
