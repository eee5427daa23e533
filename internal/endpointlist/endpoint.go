package endpointlist

import (
	stdjson "encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"example.org/micafront/internal/apperror"
	jsoniter "github.com/json-iterator/go"
)

// jsonLib is the decoder that proxies use (internal/discovery), so that no replica lists an endpoint that a proxy decodes
// in another way.
var jsonLib = jsoniter.ConfigCompatibleWithStandardLibrary

// endpoint is one endpoint as discovery describes it.
type endpoint struct {
	ID        string
	Lifecycle string
	Text      stdjson.RawMessage // the whole object, with members that this release does not know
}

// decodeEndpoint decodes an endpoint's text. What a proxy would reject is an error, since it would reject the whole list for it.
// The error has no kind; decodeEndpoints adds it.
func decodeEndpoint(text []byte) (endpoint, error) {
	// normalized is the form that a text keeps through snapshots and commands, however often it is encoded.
	normalized, err := stdjson.Marshal(stdjson.RawMessage(text))
	if err != nil {
		return endpoint{}, err
	}
	var decoded struct {
		ID          string  `json:"instanceId"`
		HostPort    string  `json:"hostPort"`
		Zone        string  `json:"zone"`
		MachineType string  `json:"machineType"`
		Cell        int     `json:"cell"`
		Lifecycle   string  `json:"lifecycle"`
		Weight      float64 `json:"weight"`
		StartedAtMs int64   `json:"startedAtMs"`
	}
	if normalized[0] != '{' {
		return endpoint{}, fmt.Errorf("it is not a JSON object but %.20q", normalized)
	}
	if err := jsonLib.Unmarshal(normalized, &decoded); err != nil {
		return endpoint{}, err
	}
	switch {
	case decoded.ID == "":
		return endpoint{}, errors.New("it has no instanceId")
	case !utf8.Valid(normalized) || !utf8.ValidString(decoded.ID+decoded.HostPort+decoded.Zone+decoded.MachineType):
		return endpoint{}, fmt.Errorf("%.40q is not UTF-8", decoded.ID)
	case decoded.Lifecycle != Ready && decoded.Lifecycle != Draining && decoded.Lifecycle != Terminated:
		return endpoint{}, fmt.Errorf("%.40q has lifecycle %.40q, which is unknown", decoded.ID, decoded.Lifecycle)
	case decoded.StartedAtMs < 0 || decoded.StartedAtMs > math.MaxInt64/int64(time.Millisecond):
		return endpoint{}, fmt.Errorf("%.40q has startedAtMs %d, which is out of range", decoded.ID, decoded.StartedAtMs)
	}
	return endpoint{ID: decoded.ID, Lifecycle: decoded.Lifecycle, Text: normalized}, nil
}

// duplicateIDs says what decodeEndpoints does where an id occurs twice.
type duplicateIDs int

const (
	rejectDuplicates duplicateIDs = iota
	keepLastDuplicate
)

// Limits of decodeEndpoints: more than a list may have, since one endpoint may have changed several times in a row.
const (
	maxDecoded      = 2 * maxEndpoints
	maxDecodedBytes = 4 * maxBytes
)

// decodedTexts are endpoints that have been decoded, by their texts. A list comes again and again with few changes, and its entries
// pass several steps as texts: each is decoded once.
type decodedTexts map[string]endpoint

// decode returns the endpoint of a text.
func (d decodedTexts) decode(text []byte) (endpoint, error) {
	if known, ok := d[string(text)]; ok {
		return known, nil
	}
	return decodeEndpoint(text)
}

// newDecodedTexts has the texts of endpoints.
func newDecodedTexts(endpoints []endpoint) decodedTexts {
	texts := make(decodedTexts, len(endpoints))
	for _, e := range endpoints {
		texts[string(e.Text)] = e
	}
	return texts
}

// decodeEndpoints decodes endpoints, but those that known has, and sorts them by id. Its errors are of the given kind and begin with
// place.
func decodeEndpoints(kind *apperror.Kind, place string, texts []stdjson.RawMessage, duplicates duplicateIDs, known decodedTexts) ([]endpoint, error) {
	if len(texts) > maxDecoded {
		return nil, kind.New(place, "%d entries, %d at most", len(texts), maxDecoded)
	}
	endpoints := make([]endpoint, 0, len(texts))
	total := 0
	for i, text := range texts {
		if total += len(text); total > maxDecodedBytes {
			return nil, kind.New(place, "the first %d entries have over %d bytes", i+1, maxDecodedBytes)
		}
		decoded, err := known.decode(text)
		if err != nil {
			return nil, kind.Wrap(fmt.Sprintf("%s: entry %d", place, i+1), err)
		}
		endpoints = append(endpoints, decoded)
	}
	slices.SortStableFunc(endpoints, byID)
	unique := endpoints[:0]
	for _, e := range endpoints {
		last := len(unique) - 1
		switch {
		case last < 0 || unique[last].ID != e.ID:
			unique = append(unique, e)
		case duplicates == rejectDuplicates:
			return nil, kind.New(place, "two entries are %.40q", e.ID)
		default: // sorting kept the order of duplicates
			unique[last] = e
		}
	}
	return unique, nil
}

// asTerminated returns the endpoint with the lifecycle Terminated, by which a change removes it from the list.
func (e endpoint) asTerminated() endpoint {
	members := map[string]stdjson.RawMessage{}
	_ = stdjson.Unmarshal(e.Text, &members) // cannot fail: it was decoded before
	maps.DeleteFunc(members, func(name string, _ stdjson.RawMessage) bool { return strings.EqualFold(name, "lifecycle") })
	members["lifecycle"] = stdjson.RawMessage(`"` + Terminated + `"`)
	text, err := stdjson.Marshal(members)
	if err != nil { // cannot happen, for the same reason
		return e
	}
	return endpoint{ID: e.ID, Lifecycle: Terminated, Text: text}
}

// Merge combines successive updates from discovery into one: the latest text of each id, sorted by id. Its errors are BadList.
func Merge(updates ...[]stdjson.RawMessage) ([]stdjson.RawMessage, error) {
	endpoints, err := decodeEndpoints(BadList, "discovery's updates", slices.Concat(updates...), keepLastDuplicate, nil)
	return textsOf(endpoints), err
}

// textsOf returns the texts of endpoints, in their order. It is never nil, so that it is encoded as an array.
func textsOf(endpoints []endpoint) []stdjson.RawMessage {
	texts := make([]stdjson.RawMessage, 0, len(endpoints))
	for _, e := range endpoints {
		texts = append(texts, e.Text)
	}
	return texts
}

// findByID returns the position of an endpoint in a sorted list, or where it would be inserted.
func findByID(endpoints []endpoint, id string) (index int, found bool) {
	return slices.BinarySearchFunc(endpoints, id, func(e endpoint, id string) int { return strings.Compare(e.ID, id) })
}

// byID orders endpoints by id.
func byID(a, b endpoint) int { return strings.Compare(a.ID, b.ID) }
