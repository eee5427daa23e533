// Package registry follows the transport map: discovery's list of next hops, over HTTP/1.1.
package registry

import (
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"example.org/micafront"
	"example.org/micafront/internal/routing"
	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// List is one object of discovery's: the whole transport map, or what changed in it.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Entry is one next hop.
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

// Terminated is the lifecycle of a next hop that is gone; it is named in changes only.
const Terminated = "terminated"

// ErrBroken means that discovery sent what is no list, or one that makes no sense.
var ErrBroken = errors.New("transport map")

var phases = map[string]micafront.Phase{
	"in_service": micafront.Ready, "terminating": micafront.Draining, Terminated: micafront.Gone}

// ParseList reads one object and refuses one that makes no sense.
func ParseList(text []byte) (List, error) {
	var l List
	if !utf8.Valid(text) {
		return l, fmt.Errorf("%w: not UTF-8", ErrBroken)
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if l.Generation < 0 {
		return l, fmt.Errorf("%w: generation %d", ErrBroken, l.Generation)
	}
	if l.Instances == nil && l.Reset { // a whole list of nothing would send everybody away
		return l, fmt.Errorf("%w: no instances", ErrBroken)
	}
	at := make(map[string]int, len(l.Instances))
	for i, e := range l.Instances {
		first, named := at[e.ID]
		switch _, known := phases[e.Lifecycle]; {
		case !known || e.ID == "":
			return l, fmt.Errorf("%w: entry %d, %q, has lifecycle %q", ErrBroken, i+1, e.ID, e.Lifecycle)
		case e.StartedAtMs < 0 || e.StartedAtMs > math.MaxInt64/int64(time.Millisecond):
			return l, fmt.Errorf("%w: entry %d, %q, started at %d", ErrBroken, i+1, e.ID, e.StartedAtMs)
		case named && l.Reset: // changes may name one as often as it has changed
			return l, fmt.Errorf("%w: entries %d and %d are both %q", ErrBroken, first+1, i+1, e.ID)
		}
		at[e.ID] = i
	}
	return l, nil
}

// Entries are the list's, as routing takes them. Their times are on the loop's scale, which is Unix time.
func (l *List) Entries() (out []routing.Entry) {
	for _, e := range l.Instances {
		out = append(out, routing.Entry{MachineType: e.MachineType, Member: micafront.Member{Server: e.ID,
			Phase: phases[e.Lifecycle], StartedAt: time.Duration(e.StartedAtMs) * time.Millisecond, Size: e.Weight,
			Zone: e.Zone, Cell: e.Cell}})
	}
	return out
}

// Members is the list as the module's event.
func (l *List) Members(kind micafront.ListKind) micafront.Members {
	m := micafront.Members{Kind: kind, Version: l.Generation}
	for _, e := range l.Entries() {
		m.Entries = append(m.Entries, e.Member)
	}
	return m
}
