package balancer

import (
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer/hashing"
)

// This file is the state that a process hands over to its successor at a hot restart.

// State is what a successor on the same node needs in order to decide alike. Its times are those of the fleet's clock,
// which all processes share. It holds no requests: those stay with their own process to the end.
type State struct {
	StartedAt          Instant
	LastEpoch          int64
	LastChangeEpoch    int64   `json:"LastChange"`
	ListDirty          bool    `json:"Dirty"`
	HistoryReset       bool    `json:"Snapped"`
	BaselineLocalShare float64 `json:"UsualPart"`
	Table              TableState
	ZoneTables         map[string]TableState    `json:"Zoned"`
	PreviousTablesAt   Instant                  `json:"FormerAt"` // when the tables' previous forms were retained
	Endpoints          []EndpointRecord         `json:"Servers"`
	ZoneOutliers       map[string]OutlierRecord `json:"Zones"`
	AdmissionRate      float64                  `json:"Gate"`   // 0: see CompactAdmissionRate
	MeanLoads          map[string]float64       `json:"Usual"`  // by class
	GroupCounts        map[uint64]float64       `json:"Groups"` // by group hash
	ClientEndpoints    map[uint64]string        `json:"Seen"`   // endpoints of connections, by client hash

	// CompactAdmissionRate is the admission rate of a state in which a table has members in place of owners. Releases that
	// know no such tables would take them to be empty: they reject a state whose AdmissionRate is 0, and start without it.
	CompactAdmissionRate float64 `json:",omitempty"`
}

// TableState is a hash table. It has the owners of all slots or, where these are too many, the members from which the owners
// follow.
type TableState struct {
	Counts   []int       // history of the number of slots
	Owners   []int       `json:"Owner"`  // of the slots, as indices into the list of endpoints
	SlotSize float64     `json:"Unit"`   // endpoint size that earns one slot
	Previous *TableState `json:"Before"` // its earlier form; nil if none is retained
	Members  []int       `json:",omitempty"`
}

// OutlierRecord is the outlier state of an endpoint or a zone.
type OutlierRecord struct {
	Failures int `json:"Fails"` // since the last success
	RetryAt  Instant
}

// EndpointRecord is what is known of an endpoint.
type EndpointRecord struct {
	ID                 string
	Zone               string
	Cell               int
	Phase              Phase
	Size               float64
	Outlier            OutlierRecord `json:"Suspicion"`
	StartedAt          Instant       `json:"Started"`
	LastResetAt        Instant       `json:"BrokeAt"`
	CrashSuspected     bool          `json:"Crashed"`
	MessageLatency     time.Duration `json:"Delay"`
	MessageLatencyAt   Instant       `json:"DelayAt"`
	AdmittedFraction   float64       `json:"Load"`
	SlowStartTokens    float64       `json:"Tokens"`
	AdmittedFractionAt Instant       `json:"LoadAt"`
	SlowStartTokensAt  Instant       `json:"TokensAt"`
}

// State returns what a successor needs. Its list of endpoints is in no particular order.
func (b *Balancer) State() State {
	state := b.CaptureState()
	state.ComputeOwners()
	return state
}

// CaptureState is State without the owners of slots, which ComputeOwners adds: finding them takes long.
func (b *Balancer) CaptureState() State {
	state := State{
		StartedAt:          b.startedAt,
		LastEpoch:          b.lastEpoch,
		LastChangeEpoch:    b.lastChangeEpoch,
		ListDirty:          b.listDirty,
		HistoryReset:       b.historyReset,
		BaselineLocalShare: b.baselineLocalShare,
		ZoneTables:         map[string]TableState{},
		PreviousTablesAt:   b.previousTablesAt,
		ZoneOutliers:       map[string]OutlierRecord{},
		AdmissionRate:      b.admissionRate,
		MeanLoads:          maps.Clone(b.meanLoads),
		GroupCounts:        maps.Clone(b.groupFrequency.Counts),
		ClientEndpoints:    map[uint64]string{},
	}
	indices := make(map[*endpointState]int, len(b.endpoints))
	state.Endpoints = make([]EndpointRecord, 0, len(b.endpoints))
	for _, endpoint := range b.referencedEndpoints() {
		if _, known := indices[endpoint]; known {
			continue
		}
		indices[endpoint] = len(state.Endpoints)
		state.Endpoints = append(state.Endpoints, endpoint.handoverState())
	}
	endpointIndex := func(endpoint *endpointState) int { return indices[endpoint] }
	state.Table = encodeMembers(&b.fleetTable, endpointIndex)
	for zone, table := range b.zoneTables {
		state.ZoneTables[zone] = encodeMembers(table, endpointIndex)
	}
	for zone, outlier := range b.zoneOutliers {
		state.ZoneOutliers[zone] = OutlierRecord{Failures: outlier.failures, RetryAt: outlier.ejectedUntil}
	}
	for _, generation := range []map[uint64]*endpointState{b.clientEndpoints[1], b.clientEndpoints[0]} {
		for client, endpoint := range generation {
			state.ClientEndpoints[client] = endpoint.id
		}
	}
	maps.Copy(state.ClientEndpoints, b.EstablishedConnections())
	return state
}

// referencedEndpoints lists all endpoints, some repeatedly: slots may belong to ones that are no longer listed, until the
// next epoch.
func (b *Balancer) referencedEndpoints() []*endpointState {
	endpoints := slices.Collect(maps.Values(b.endpoints))
	for _, table := range append(slices.Collect(maps.Values(b.zoneTables)), &b.fleetTable) {
		for ; table != nil; table = table.previous {
			endpoints = append(endpoints, table.members...)
		}
	}
	return endpoints
}

func (e *endpointState) handoverState() EndpointRecord {
	return EndpointRecord{
		ID:                 e.id,
		Zone:               e.zone,
		Cell:               e.cell,
		Phase:              e.phase,
		Size:               e.size,
		Outlier:            OutlierRecord{Failures: e.failures, RetryAt: e.ejectedUntil},
		StartedAt:          e.startedAt,
		LastResetAt:        e.lastResetAt,
		CrashSuspected:     e.crashSuspected,
		MessageLatency:     e.messageLatency,
		MessageLatencyAt:   e.messageLatencyAt,
		AdmittedFraction:   e.admittedFraction,
		AdmittedFractionAt: e.admittedFractionAt,
		SlowStartTokens:    e.slowStartTokens,
		SlowStartTokensAt:  e.slowStartTokensAt,
	}
}

// ComputeOwners replaces the members of tables by the owners of their slots, but in tables that are too large for that. It uses nothing
// but the state, so it may run beside the Balancer.
func (s *State) ComputeOwners() {
	weightedEndpoints := make([]weightedMember, len(s.Endpoints))
	for i := range s.Endpoints {
		weightedEndpoints[i] = weightedMember{salt: hashing.NewSalt(hashing.String(s.Endpoints[i].ID)), size: s.Endpoints[i].Size}
	}
	compact := s.Table.computeOwners(weightedEndpoints)
	for zone, table := range s.ZoneTables {
		compact = table.computeOwners(weightedEndpoints) || compact
		s.ZoneTables[zone] = table
	}
	if compact {
		s.AdmissionRate, s.CompactAdmissionRate = 0, s.AdmissionRate
	}
}

// computeOwners replaces the members of a table and of its earlier forms, and reports whether any has kept them. weightedEndpoints
// holds the state's endpoints, by index.
func (t *TableState) computeOwners(weightedEndpoints []weightedMember) (compact bool) {
	if t.Previous != nil {
		compact = t.Previous.computeOwners(weightedEndpoints)
	}
	if len(t.Members) == 0 {
		return compact
	}
	slots := t.Counts[len(t.Counts)-1]
	if slots > maxEncodedOwners {
		return true
	}
	weightedMembers := make([]weightedMember, len(t.Members))
	for i, member := range t.Members {
		weightedMembers[i] = weightedEndpoints[member]
	}
	t.Owners = make([]int, slots)
	for slot := range t.Owners {
		t.Owners[slot] = t.Members[rendezvousOwner(slot, weightedMembers)]
	}
	t.Members = nil
	return compact
}
