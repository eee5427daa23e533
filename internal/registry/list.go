// Package registry follows the transport map: discovery's list of next hops, over HTTP/1.1.
package registry

import (
	"errors"
	"fmt"
	"math"
	"time"

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
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if l.Instances == nil && l.Reset { // a whole list of nothing would send everybody away
		return l, fmt.Errorf("%w: no instances", ErrBroken)
	}
	for _, e := range l.Instances {
		if _, ok := phases[e.Lifecycle]; !ok || e.ID == "" {
			return l, fmt.Errorf("%w: entry %q has lifecycle %q", ErrBroken, e.ID, e.Lifecycle)
		}
		if e.StartedAtMs < 0 || e.StartedAtMs > math.MaxInt64/int64(time.Millisecond) {
			return l, fmt.Errorf("%w: entry %q started at %d", ErrBroken, e.ID, e.StartedAtMs)
		}
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
