// Package lineprotocol parses and formats the text protocol of clients and endpoints, whose lines end in CRLF. It does no I/O
// and uses no clock. It is the only package of the proxy that contains the protocol's verbs (OPEN, UP, BUSY, MOVE, …);
// internal/proxy uses it for its text protocol.
//
// A client's first line is OPEN with an ID, a key and a list of name=value pairs. The endpoint that receives it answers UP,
// BUSY or ERR. After UP, lines are relayed in both directions until the endpoint sends BYE, or MOVE to migrate the client to
// another endpoint.
package lineprotocol

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"
)

// MaxLineBytes is the maximum length of a line in bytes, including its CRLF.
const MaxLineBytes = 4 << 10

// Lines that originate in the proxy. Callers must not modify them.
var (
	Pong      = []byte("PONG\r\n")        // answers PING while the proxy accepts connections
	Drained   = []byte("ERR DRAINED\r\n") // answers PING while new connections should go to another proxy
	Stats     = []byte("STATS\r\n")       // asks an endpoint for its load report
	Busy      = []byte("BUSY\r\n")        // rejects a request, which the client may retry at any time
	Err       = []byte("ERR\r\n")         // reports that a request failed
	Malformed = []byte("ERR SYNTAX\r\n")  // answers a line that is not a valid first line
	Migrate   = []byte("MOVE\r\n")        // asks a client to reconnect
)

// AppendBusy appends a BUSY line with the time after which the client may retry, rounded up to whole milliseconds. If after is 0
// or less, the line has no time and the client may retry at any time.
func AppendBusy(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return append(b, Busy...)
	}
	const roundUp = time.Millisecond - 1
	b = append(b, "BUSY "...)
	b = strconv.AppendInt(b, (after + roundUp).Milliseconds(), 10)
	return append(b, "\r\n"...)
}

// CutLine splits b after its first complete line, which includes its line end. If b contains no complete line, ok is false and
// rest is b.
func CutLine(b []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return nil, b, false
	}
	return b[:i+1], b[i+1:], true
}

// CompleteBytes returns the total length in bytes of the complete lines at the start of b.
func CompleteBytes(b []byte) int { return bytes.LastIndexByte(b, '\n') + 1 }

// trimLineEnd removes a trailing CRLF, LF or CR.
func trimLineEnd(b []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(b, []byte("\n")), []byte("\r"))
}

// splitWord splits b around its first space.
func splitWord(b []byte) (first, rest []byte) {
	first, rest, _ = bytes.Cut(b, []byte(" "))
	return first, rest
}

// cutPair removes the first pair from a comma-separated list of name=value pairs, and splits it into name and value. ok is false
// if the pair has no "=".
func cutPair(list []byte) (name, value, rest []byte, ok bool) {
	pair, rest, _ := bytes.Cut(list, []byte(","))
	name, value, ok = bytes.Cut(pair, []byte("="))
	return name, value, rest, ok
}

// Open is a parsed first line of a client (OPEN): the fields that the proxy uses, and the original line, which is forwarded.
type Open struct {
	Raw              []byte        // the whole line, including its CRLF
	ID               string        // the request ID, assigned by the client
	Key              string        // the key that determines the request's placement
	Class            string        // field c
	Tenant           string        // field t
	Group            string        // field g: the client, or the group that it belongs to
	PreviousEndpoint string        // field at: the endpoint of the connection before it reconnected; empty for a new one
	Timeout          time.Duration // field d: how long the client waits for a response, limited to maxTimeout
	HasTimeout       bool          // the line has field d
	LoadHint         float64       // field h: the expected load of the connection; 0 if unknown
	Retry            bool          // field r: the client has sent the request before
	Returning        bool          // field again: the client's connection was broken or migrated
	Resumed          bool          // field mid: packets of a connection that is open at an endpoint now reach this proxy

	// Start and end offsets of the value of field d in Raw.
	timeoutStart int
	timeoutEnd   int
}

// ErrSyntax means that a line is not a valid first line.
var ErrSyntax = errors.New("not a valid first line: want OPEN, an ID, a key and fields that include c")

// maxTimeout bounds Open.Timeout.
const maxTimeout = time.Hour

// IsPing reports whether a line is a readiness check (PING).
func IsPing(b []byte) bool { return string(trimLineEnd(b)) == "PING" }

// ParseOpen parses a first line, which must end in CRLF and have a class (field c). Its only error is ErrSyntax. The result
// refers to b, which must not be modified while the result is in use.
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

// parseFields parses the list of name=value pairs, which begins at the given offset in the line.
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

// setField sets the field with the given name, whose value begins at the given offset in the line. Unknown names are ignored.
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
		return o.setTimeout(value, valueOffset)
	case "h":
		hint, ok := parseLoad(value)
		if !ok {
			return ErrSyntax
		}
		o.LoadHint = hint
	}
	return nil
}

// parseLoad parses a load, which must be finite and not negative.
func parseLoad(text []byte) (load float64, ok bool) {
	load, err := strconv.ParseFloat(string(text), 64)
	return load, err == nil && load >= 0 && !math.IsInf(load, 0)
}

// setTimeout sets the client's timeout from a number of milliseconds. A line may have only one timeout.
func (o *Open) setTimeout(value []byte, valueOffset int) error {
	milliseconds, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || milliseconds < 0 || o.HasTimeout {
		return ErrSyntax
	}
	o.HasTimeout = true
	o.Timeout = time.Duration(min(milliseconds, maxTimeout.Milliseconds())) * time.Millisecond
	o.timeoutStart = valueOffset
	o.timeoutEnd = valueOffset + len(value)
	return nil
}

// Field returns the value of the first field with the given name, and whether the line has such a field.
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

// AppendForwarded appends the line in the form that is forwarded to an endpoint. If the line has field d, its value is replaced
// by the proxy's own timeout, in whole milliseconds and at least 1. All other bytes are unchanged.
func (o *Open) AppendForwarded(b []byte, timeout time.Duration) []byte {
	if !o.HasTimeout {
		return append(b, o.Raw...)
	}
	b = append(b, o.Raw[:o.timeoutStart]...)
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	return append(b, o.Raw[o.timeoutEnd:]...)
}

// Answer is the type of a line from an endpoint.
type Answer int

// Types of lines.
const (
	Other       Answer = iota // any other line, which is relayed
	Established               // UP: the connection is established
	Finished                  // BYE: the connection has completed
	Migrated                  // MOVE: the endpoint migrates the client to another endpoint
	Error                     // ERR: the request failed, and may have been executed
	Full                      // BUSY: the endpoint has no capacity and has not executed the request
	Load                      // LOAD: a load report
)

// ParseAnswer parses a line from an endpoint. For Load it also returns the reported load, or a negative number if that is
// invalid. For other answers the load is 0.
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

// invalidLoad is the result of ParseAnswer for a LOAD line without a valid load.
const invalidLoad = -1

// loadSettingName returns the name that the settings use for a field of a load report.
func loadSettingName(field string) string {
	if field == "inflight" {
		return "outstanding"
	}
	return field
}

// ParseLoadReport parses an endpoint's answer to STATS: PONG or ERR, followed by an optional load report. It returns the values by
// the names that the settings use. A report with an invalid value is rejected completely, because a partial report must not be
// taken for a complete one.
func ParseLoadReport(b []byte) (values map[string]float64, ok bool) {
	verb, list := splitWord(trimLineEnd(b))
	if string(verb) != "PONG" && string(verb) != "ERR" {
		return nil, false
	}
	values = map[string]float64{}
	for len(list) > 0 {
		name, value, rest, _ := cutPair(list)
		number, valid := parseLoad(value)
		if !valid || len(name) == 0 {
			return nil, false
		}
		values[loadSettingName(string(name))] = number
		list = rest
	}
	return values, true
}
