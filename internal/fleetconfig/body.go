package fleetconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
)

// MaxBodyBytes is the maximum combined size of a body's settings, routing and catalog, in bytes.
const MaxBodyBytes = 64 << 20

// digestFormat starts the hashed bytes, so that a digest of a later encoding cannot collide with one of this encoding.
const digestFormat = "micafront body 1"

// Body is the content of a version. Two bodies with the same digest lead to the same decisions.
type Body struct {
	Settings  json.RawMessage `json:"settings"`          // as in the proxy's configuration
	Routing   json.RawMessage `json:"routing,omitempty"` // a routing.Set
	Catalog   json.RawMessage `json:"catalog,omitempty"` // a catalog.State
	ListFloor uint64          `json:"list_floor"`        // the first endpoint list version that the history covers
	Fleet     Terms           `json:"fleet"`
}

// Digest returns the SHA-256 of the body in hexadecimal. It covers the canonical form of each part (compact, with the escapes
// that encoding/json writes), so both ends of a transport compute the same digest. A part that is not valid JSON is
// hashed unchanged.
func (b Body) Digest() string {
	hash := sha256.New() // its Write never fails
	writeNumber := func(number uint64) {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, number))
	}
	writeBytes := func(text []byte) {
		writeNumber(uint64(len(text)))
		_, _ = hash.Write(text)
	}
	_, _ = io.WriteString(hash, digestFormat)
	for _, part := range []json.RawMessage{b.Settings, b.Routing, b.Catalog} {
		if canonical, err := canonicalJSON(part); err == nil {
			part = canonical
		}
		writeBytes(part)
	}
	writeNumber(b.ListFloor)
	writeNumber(uint64(b.Fleet.AgreementTimeout.Microseconds()))
	writeNumber(uint64(b.Fleet.MemberTimeout.Microseconds()))
	writeBytes([]byte(b.Fleet.OnLeaseExpiry))
	writeNumber(uint64(b.Fleet.ClockDriftPPM))
	return hex.EncodeToString(hash.Sum(nil))
}

// Validated checks the body and returns its canonical form: compact JSON, null parts removed, and defaults filled into
// the terms. It returns BadBody, BadTerms or TooLarge if the body is invalid; place names the body's source in the error.
func (b Body) Validated(place string) (Body, error) {
	size := 0
	for _, part := range []struct {
		name string
		raw  *json.RawMessage
	}{{"settings", &b.Settings}, {"routing", &b.Routing}, {"catalog", &b.Catalog}} {
		if size += len(*part.raw); size > MaxBodyBytes {
			return b, TooLarge.New(place, "the body has over %d bytes", MaxBodyBytes)
		}
		canonical, err := canonicalJSON(*part.raw)
		if err != nil {
			return b, BadBody.Wrap(place+": "+part.name, err)
		}
		size += len(canonical) - len(*part.raw)
		*part.raw = canonical
	}
	if size > MaxBodyBytes {
		return b, TooLarge.New(place, "the body has over %d bytes with its escapes", MaxBodyBytes)
	}
	if len(b.Settings) == 0 || b.Settings[0] != '{' {
		return b, BadBody.New(place+": settings", "it is no JSON object")
	}
	var err error
	b.Fleet, err = b.Fleet.WithDefaults(place + ": fleet")
	return b, err
}

// canonicalJSON compacts a JSON text and escapes it as encoding/json does. It returns nil for an empty text and for null.
func canonicalJSON(raw json.RawMessage) (json.RawMessage, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var compact, escaped bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		return nil, err
	}
	if compact.String() == "null" {
		return nil, nil
	}
	json.HTMLEscape(&escaped, compact.Bytes())
	return escaped.Bytes(), nil
}

// Size returns the number of bytes in the body's JSON parts.
func (b Body) Size() int { return len(b.Settings) + len(b.Routing) + len(b.Catalog) }
