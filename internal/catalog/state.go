package catalog

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"example.org/micafront/internal/routing"
)

// Durations in agreed time for which a name outlives its service.
const (
	// TombstoneDuration is the time for which a name still resolves after its service has ended or all its meshes are lost.
	TombstoneDuration = 10 * time.Minute
	// QuarantineDuration is the time after the tombstone for which the name does not resolve and no other owner can obtain it.
	QuarantineDuration = 10 * time.Minute

	tombstoneUS  = int64(TombstoneDuration / time.Microsecond)
	quarantineUS = int64(QuarantineDuration / time.Microsecond)
)

// State is the merged catalog. It is immutable once created, except for Index.
type State struct {
	Number  uint64                `json:"number"`           // incremented with every change
	At      time.Duration         `json:"at"`               // agreed time of the last change
	Entries []Entry               `json:"entries"`          // sorted by name
	Meshes  []AcceptedPublication `json:"meshes,omitempty"` // sorted by name

	index map[string]int32 // position in Entries by name; built by Index
}

// Entry is the result of resolving a name: a service with its providers, or an alias.
type Entry struct {
	Name        string     `json:"name"`
	Owner       string     `json:"owner"`
	Contract    string     `json:"contract"`
	Providers   []Provider `json:"homes,omitempty"`    // sorted by mesh; empty for an alias
	SinceState  uint64     `json:"since"`              // number of the State in which the current owner obtained the name
	Status      string     `json:"standing"`           // a Status constant
	UntilUS     int64      `json:"until_us,omitempty"` // end of the status, in microseconds of agreed time; 0 if time alone does not end it
	AliasOf     string     `json:"alias_of,omitempty"` // the name that this is an alias of; "" for a service
	PublishedBy []string   `json:"by,omitempty"`       // the meshes that publish an alias, sorted
	Ended       bool       `json:"ended,omitempty"`    // a publisher has withdrawn it; false if all its publishers publish it or are lost
	Cause       string     `json:"cause"`              // the reason why this owner has the name: a Cause constant
	Conflicts   []Conflict `json:"rivals,omitempty"`   // other claims on the name
}

// Values of Entry.Status.
const (
	StatusHeld       = "held"
	StatusDraining   = "draining"   // withdrawn by all meshes that are not lost; they serve until their drains end
	StatusTombstone  = "tombstone"  // its meshes are lost or it has ended; it still resolves
	StatusQuarantine = "quarantine" // it does not resolve, and no other owner can obtain it
)

// Values of Entry.Cause.
const (
	CauseOverride      = "ruling"
	CauseCurrentOwner  = "earlier holder" // other claimants would take precedence if the name were free
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

// Conflict is a claim on a short name by a claimant other than its owner.
type Conflict struct {
	Mesh          string `json:"mesh"`
	Owner         string `json:"owner"`
	QualifiedName string `json:"as"` // "" while a former owner still holds that name
}

// AcceptedPublication is the record of a mesh in a State: the number of the accepted publication, so that an older one never
// replaces it, and the imports of the mesh, which apply when its proxies resolve names.
type AcceptedPublication struct {
	Mesh        string   `json:"mesh"`
	Epoch       uint64   `json:"epoch,omitempty"`
	Seq         uint64   `json:"seq,omitempty"`
	Digest      string   `json:"digest,omitempty"` // Publication.Digest; "" if none was accepted yet
	Import      []Import `json:"import,omitempty"`
	Lost        bool     `json:"lost,omitempty"`     // the mesh is lost, or has left the federation
	LostSinceUS int64    `json:"since_us,omitempty"` // time of the loss, in microseconds of agreed time
}

// Index builds the index for lookups by name. Merge and UnmarshalJSON call it. A State without an index is searched with binary
// search. Index must not run concurrently with other uses of the state.
func (s *State) Index() {
	s.index = make(map[string]int32, len(s.Entries))
	for i := range s.Entries {
		s.index[s.Entries[i].Name] = int32(i)
	}
}

// lookup returns the entry of a name in any status, or nil if there is none.
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

// UnmarshalJSON decodes a state and indexes it. It returns a BadState error if the text is malformed, or if entries or meshes
// are not sorted by name without duplicates, as Merge always writes them.
func (s *State) UnmarshalJSON(text []byte) error {
	const place = "catalog state"
	type plain State // without UnmarshalJSON, to avoid recursion
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

// isFree reports whether an entry's tombstone and quarantine are over, so that other owners can obtain its name.
func (e *Entry) isFree(nowUS int64) bool {
	return e.Status == StatusQuarantine && nowUS >= e.UntilUS || e.Status == StatusTombstone && nowUS >= e.UntilUS+quarantineUS
}

// isProvidedBy reports whether a mesh is among the providers.
func (e *Entry) isProvidedBy(mesh string) bool {
	return slices.ContainsFunc(e.Providers, func(p Provider) bool { return p.Mesh == mesh })
}
