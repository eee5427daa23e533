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

// jsonLib is the JSON library that proxies use (internal/discovery), so that replicas and proxies decode an endpoint alike.
var jsonLib = jsoniter.ConfigCompatibleWithStandardLibrary

// endpoint is one endpoint as discovery describes it.
type endpoint struct {
	ID        string
	Lifecycle string
	Text      stdjson.RawMessage // the whole JSON object, including members that this release does not know
}

// decodeEndpoint decodes an endpoint's JSON object. It returns an error for an object that a proxy would reject, because the
// proxy would reject the whole list with it. The error has no kind; decodeEndpoints adds one.
func decodeEndpoint(text []byte) (endpoint, error) {
	// Marshal compacts and escapes the text. Encoding it again, in snapshots and commands, no longer changes it.
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
		return endpoint{}, fmt.Errorf("%.20q is not a JSON object", normalized)
	}
	if err := jsonLib.Unmarshal(normalized, &decoded); err != nil {
		return endpoint{}, err
	}
	switch {
	case decoded.ID == "":
		return endpoint{}, errors.New("instanceId is missing or empty")
	case !utf8.Valid(normalized) || !utf8.ValidString(decoded.ID+decoded.HostPort+decoded.Zone+decoded.MachineType):
		return endpoint{}, fmt.Errorf("%.40q is not UTF-8", decoded.ID)
	case decoded.Lifecycle != Ready && decoded.Lifecycle != Draining && decoded.Lifecycle != Terminated:
		return endpoint{}, fmt.Errorf("%.40q has the unknown lifecycle %.40q", decoded.ID, decoded.Lifecycle)
	case decoded.StartedAtMs < 0 || decoded.StartedAtMs > math.MaxInt64/int64(time.Millisecond):
		return endpoint{}, fmt.Errorf("%.40q has startedAtMs %d, which is out of range", decoded.ID, decoded.StartedAtMs)
	}
	return endpoint{ID: decoded.ID, Lifecycle: decoded.Lifecycle, Text: normalized}, nil
}

// duplicatePolicy selects what decodeEndpoints does with an id that occurs more than once.
type duplicatePolicy int

const (
	rejectDuplicates duplicatePolicy = iota
	keepLastDuplicate
)

// Limits of decodeEndpoints. They exceed those of a list because an endpoint may occur several times in successive updates.
const (
	maxDecoded      = 2 * maxEndpoints
	maxDecodedBytes = 4 * maxBytes
)

// decodeCache maps texts to the endpoints that were decoded from them. Successive lists differ in few entries, and several
// steps decode the same entry, so the cache saves most decoding.
type decodeCache map[string]endpoint

// decode returns the endpoint that text encodes, from the cache if it is there. It does not add to the cache.
func (c decodeCache) decode(text []byte) (endpoint, error) {
	if cached, ok := c[string(text)]; ok {
		return cached, nil
	}
	return decodeEndpoint(text)
}

// newDecodeCache returns a cache that contains the given endpoints.
func newDecodeCache(endpoints []endpoint) decodeCache {
	cache := make(decodeCache, len(endpoints))
	for _, e := range endpoints {
		cache[string(e.Text)] = e
	}
	return cache
}

// decodeEndpoints decodes endpoints, using the cache, and sorts them by id. Its errors have the given kind, and a place that
// begins with the given one.
func decodeEndpoints(kind *apperror.Kind, place string, texts []stdjson.RawMessage, duplicates duplicatePolicy, cache decodeCache) ([]endpoint, error) {
	if len(texts) > maxDecoded {
		return nil, kind.New(place, "%d entries, %d at most", len(texts), maxDecoded)
	}
	endpoints := make([]endpoint, 0, len(texts))
	total := 0
	for i, text := range texts {
		if total += len(text); total > maxDecodedBytes {
			return nil, kind.New(place, "the first %d entries exceed the limit of %d bytes", i+1, maxDecodedBytes)
		}
		decoded, err := cache.decode(text)
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
			return nil, kind.New(place, "%.40q occurs twice", e.ID)
		default: // the stable sort kept the order of duplicates
			unique[last] = e
		}
	}
	return unique, nil
}

// asTerminated returns the endpoint with the lifecycle Terminated, which removes it from the list when it is part of a change.
func (e endpoint) asTerminated() endpoint {
	members := map[string]stdjson.RawMessage{}
	_ = stdjson.Unmarshal(e.Text, &members) // cannot fail: decodeEndpoint decoded the text
	maps.DeleteFunc(members, func(name string, _ stdjson.RawMessage) bool { return strings.EqualFold(name, "lifecycle") })
	members["lifecycle"] = stdjson.RawMessage(`"` + Terminated + `"`)
	text, err := stdjson.Marshal(members)
	if err != nil { // cannot happen: the members come from valid JSON
		return e
	}
	return endpoint{ID: e.ID, Lifecycle: Terminated, Text: text}
}

// Merge combines the entries of successive updates from discovery. It returns the latest entry of each id, sorted by id. Its
// errors are BadList.
func Merge(updates ...[]stdjson.RawMessage) ([]stdjson.RawMessage, error) {
	endpoints, err := decodeEndpoints(BadList, "discovery's updates", slices.Concat(updates...), keepLastDuplicate, nil)
	return entryTexts(endpoints), err
}

// entryTexts returns the texts of endpoints, in order. The result is never nil, so it is encoded as a JSON array, not as null.
func entryTexts(endpoints []endpoint) []stdjson.RawMessage {
	texts := make([]stdjson.RawMessage, 0, len(endpoints))
	for _, e := range endpoints {
		texts = append(texts, e.Text)
	}
	return texts
}

// findByID returns the index of an endpoint in a list sorted by id, or the index at which to insert it.
func findByID(endpoints []endpoint, id string) (index int, found bool) {
	return slices.BinarySearchFunc(endpoints, id, func(e endpoint, id string) int { return strings.Compare(e.ID, id) })
}

// byID orders endpoints by id.
func byID(a, b endpoint) int { return strings.Compare(a.ID, b.ID) }
