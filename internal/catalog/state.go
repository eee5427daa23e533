package catalog

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"example.org/micafront/internal/routing"
)

// Times of names, in agreed time.
const (
	// TombstoneDuration is how long a name keeps its meaning after the service has ended or all of its meshes are lost.
	TombstoneDuration = 10 * time.Minute
	// QuarantineDuration is how long after that the name is given to nobody else.
	QuarantineDuration = 10 * time.Minute

	tombstoneUS  = int64(TombstoneDuration / time.Microsecond)
	quarantineUS = int64(QuarantineDuration / time.Microsecond)
)

// State is the merged catalog. It is immutable once it is made.
type State struct {
	Number  uint64                `json:"number"`           // incremented with every change
	At      time.Duration         `json:"at"`               // agreed time of the last change
	Entries []Entry               `json:"entries"`          // by name
	Meshes  []AcceptedPublication `json:"meshes,omitempty"` // by name

	index map[string]int32 // position in Entries by name; made by Index
}

// Entry is what a name means: a service with its providers, or an alias.
type Entry struct {
	Name        string     `json:"name"`
	Owner       string     `json:"owner"`
	Contract    string     `json:"contract"`
	Providers   []Provider `json:"homes,omitempty"`    // by mesh; none for an alias
	SinceState  uint64     `json:"since"`              // number of the State in which the current owner got the name
	Status      string     `json:"standing"`           // a Status constant
	UntilUS     int64      `json:"until_us,omitempty"` // when the status ends, in microseconds of agreed time; 0: not by time alone
	AliasOf     string     `json:"alias_of,omitempty"` // the name that this is an alias of; "": a service
	PublishedBy []string   `json:"by,omitempty"`       // the meshes that publish an alias, in order
	Ended       bool       `json:"ended,omitempty"`    // a publisher has withdrawn it; false: its publishers are lost at most
	Cause       string     `json:"cause"`              // why this owner has the name: a Cause constant
	Conflicts   []Conflict `json:"rivals,omitempty"`   // other claims on the name
}

// Status of a name.
const (
	StatusHeld       = "held"
	StatusDraining   = "draining"   // withdrawn at all meshes that are not lost; they serve until their drains end
	StatusTombstone  = "tombstone"  // its meshes are lost or it has ended; it keeps its meaning
	StatusQuarantine = "quarantine" // it means nothing, and nobody else gets it
)

// Cause of a name's owner.
const (
	CauseOverride      = "ruling"
	CauseCurrentOwner  = "earlier holder" // others would precede it if the name were free
	CausePrecedence    = "export precedence"
	CauseMeshName      = "mesh name"
	CauseOwnerName     = "owner"
	CauseSoleClaimant  = "sole"
	CauseQualifiedName = "qualified"
)

// Provider is a mesh that provides a service.
type Provider struct {
	Mesh             string        `json:"mesh"`
	Zones            []string      `json:"zones,omitempty"`
	Class            string        `json:"class,omitempty"`
	LatencyObjective time.Duration `json:"aim,omitempty"`
	SpareCapacity    float64       `json:"spare,omitempty"` // fraction of its capacity that is free, 0 to 1
	Pool             routing.Pool  `json:"pool"`            // named by the service's qualified name
	Origin           string        `json:"origin,omitempty"`
	Via              []string      `json:"via,omitempty"`
	Lost             bool          `json:"lost,omitempty"`     // the mesh is lost, or has left the federation
	DrainBy          time.Duration `json:"drain_by,omitempty"` // agreed time
}

// Conflict is another claim on a short name.
type Conflict struct {
	Mesh          string `json:"mesh"`
	Owner         string `json:"owner"`
	QualifiedName string `json:"as"` // "": it has none as long as a former owner keeps it
}

// AcceptedPublication is what a State remembers of a mesh: the publication that was accepted, so that an older one never
// replaces it, and what the mesh imports, so that its proxies resolve by it.
type AcceptedPublication struct {
	Mesh        string   `json:"mesh"`
	Epoch       uint64   `json:"epoch,omitempty"`
	Seq         uint64   `json:"seq,omitempty"`
	Digest      string   `json:"digest,omitempty"` // Publication.Digest; "": none was accepted yet
	Import      []Import `json:"import,omitempty"`
	Lost        bool     `json:"lost,omitempty"`     // it is lost, or has left the federation
	LostSinceUS int64    `json:"since_us,omitempty"` // when it was lost, in microseconds of agreed time
}

// Index makes lookups by name fast. Merge and decoding call it; a State that was made otherwise is searched binarily until
// then. It must not run while others use the state.
func (s *State) Index() {
	s.index = make(map[string]int32, len(s.Entries))
	for i := range s.Entries {
		s.index[s.Entries[i].Name] = int32(i)
	}
}

// lookup returns the entry of a name, whatever its status; nil where there is none.
func (s *State) lookup(name string) *Entry {
	if s.index != nil {
		if i, ok := s.index[name]; ok {
			return &s.Entries[i]
		}
		return nil
	}
	i, ok := slices.BinarySearchFunc(s.Entries, name, func(e Entry, name string) int { return cmp.Compare(e.Name, name) })
	if !ok {
		return nil
	}
	return &s.Entries[i]
}

// UnmarshalJSON decodes a state and indexes it. It fails with BadState where entries or meshes are not sorted, which those
// of Merge always are.
func (s *State) UnmarshalJSON(text []byte) error {
	const place = "catalog state"
	type plain State // without this method
	var decoded plain
	if err := json.Unmarshal(text, &decoded); err != nil {
		return BadState.Wrap(place, err)
	}
	for i := range decoded.Entries {
		if e := &decoded.Entries[i]; e.Name == "" || i > 0 && decoded.Entries[i-1].Name >= e.Name {
			return BadState.New(place, "entry %d, %.140q, is out of order", i, e.Name)
		}
	}
	for i := range decoded.Meshes {
		if m := &decoded.Meshes[i]; m.Mesh == "" || i > 0 && decoded.Meshes[i-1].Mesh >= m.Mesh {
			return BadState.New(place, "mesh %d, %.140q, is out of order", i, m.Mesh)
		}
	}
	*s = State(decoded)
	s.Index()
	return nil
}

// isFree reports whether an entry's tombstone and quarantine are over, so that others may get its name.
func (e *Entry) isFree(nowUS int64) bool {
	return e.Status == StatusQuarantine && nowUS >= e.UntilUS || e.Status == StatusTombstone && nowUS >= e.UntilUS+quarantineUS
}

// isProvidedBy reports whether a mesh is among the providers.
func (e *Entry) isProvidedBy(mesh string) bool {
	return slices.ContainsFunc(e.Providers, func(p Provider) bool { return p.Mesh == mesh })
}
