package discovery

import (
	"bytes"
	"errors"
	"math"
	"time"
	"unicode/utf8"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/routing"
	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// List is one object of the discovery protocol: the whole endpoint list if Reset is set, or else the changes to it.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Entry is one endpoint of a List.
type Entry struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType,omitempty"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// Lifecycles of an endpoint.
const (
	InService   = "in_service"  // accepts requests
	terminating = "terminating" // is draining
	Terminated  = "terminated"  // was removed; appears only in changes
)

// lifecyclePhases maps the lifecycles of the discovery protocol to the balancer's phases; other lifecycles are invalid.
var lifecyclePhases = map[string]balancer.Phase{
	InService:   balancer.Ready,
	terminating: balancer.Draining,
	Terminated:  balancer.Removed,
}

// ParseList decodes and validates one object. Its errors match ErrInvalidList.
func ParseList(text []byte) (List, error) {
	var l List
	if err := l.decode(text); err != nil {
		return l, invalidList.New(listPlace, "%s", oneLine(err))
	}
	return l, l.validate()
}

var errNULByte = errors.New("the object contains a NUL byte")

// decode decodes an object without validating it.
func (l *List) decode(text []byte) error {
	if bytes.IndexByte(text, 0) >= 0 { // the JSON library treats NUL as the end of the input
		return errNULByte
	}
	return json.Unmarshal(text, l)
}

// validate checks what decoding does not: lifecycles are known, text is UTF-8, times are in range, and a whole list contains each
// endpoint once. Its errors match ErrInvalidList.
func (l *List) validate() error {
	if l.Generation < 0 {
		return invalidList.New(listPlace, "generation %d is below 0", l.Generation)
	}
	if l.Instances == nil && l.Reset { // would be read as an empty list and drain all endpoints
		return invalidList.New(listPlace, "a whole list lacks the member instances")
	}
	indexByID := make(map[string]int, len(l.Instances))
	for i, e := range l.Instances {
		first, repeated := indexByID[e.ID]
		switch _, known := lifecyclePhases[e.Lifecycle]; {
		case !utf8.ValidString(e.ID + e.HostPort + e.Zone + e.MachineType):
			return invalidList.New(listPlace, "entry %d, %q, is not UTF-8", i+1, e.ID)
		case !known || e.ID == "":
			return invalidList.New(listPlace, "entry %d, %q, has lifecycle %q", i+1, e.ID, e.Lifecycle)
		case e.StartedAtMs < 0 || e.StartedAtMs > math.MaxInt64/int64(time.Millisecond):
			return invalidList.New(listPlace, "entry %d, %q, started at %d", i+1, e.ID, e.StartedAtMs)
		case repeated && l.Reset: // changes may contain an endpoint several times
			return invalidList.New(listPlace, "entries %d and %d are both %q", first+1, i+1, e.ID)
		}
		indexByID[e.ID] = i
	}
	return nil
}

// Entries converts the entries for routing. Times are relative to the Unix epoch, like those of the event loop.
func (l *List) Entries() (entries []routing.EndpointEntry) {
	entries = make([]routing.EndpointEntry, 0, len(l.Instances))
	for i := range l.Instances {
		e := &l.Instances[i]
		endpoint := balancer.Endpoint{
			ID:        e.ID,
			Phase:     lifecyclePhases[e.Lifecycle],
			StartedAt: time.Duration(e.StartedAtMs) * time.Millisecond,
			Size:      e.Weight,
			Zone:      e.Zone,
			Cell:      e.Cell,
		}
		entries = append(entries, routing.EndpointEntry{MachineType: e.MachineType, Endpoint: endpoint})
	}
	return entries
}

// EndpointUpdate converts the list to an event for the balancer.
func (l *List) EndpointUpdate(kind balancer.ListKind) balancer.EndpointUpdate {
	update := balancer.EndpointUpdate{Kind: kind, Version: l.Generation}
	for _, e := range l.Entries() {
		update.Entries = append(update.Entries, e.Endpoint)
	}
	return update
}
