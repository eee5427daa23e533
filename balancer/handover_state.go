package balancer

import (
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer/hashing"
)

// State that a process hands over to its successor at a hot restart.

// State is what a successor process on the same node needs to make the same decisions. Its times are on the fleet's clock,
// which all processes share. It holds no requests, because each request stays with its process until it ends.
type State struct {
	StartedAt          Instant
	LastEpoch          int64
	LastChangeEpoch    int64   `json:"LastChange"`
	ListDirty          bool    `json:"Dirty"`
	HistoryReset       bool    `json:"Snapped"`
	BaselineLocalShare float64 `json:"UsualPart"`
	Table              TableState
	ZoneTables         map[string]TableState    `json:"Zoned"`
	PreviousTablesAt   Instant                  `json:"FormerAt"` // when the previous versions of the tables were retained
	Endpoints          []EndpointRecord         `json:"Servers"`
	ZoneOutliers       map[string]OutlierRecord `json:"Zones"`
	AdmissionRate      float64                  `json:"Gate"`   // 0: see CompactAdmissionRate
	MeanLoads          map[string]float64       `json:"Usual"`  // by class name
	GroupCounts        map[uint64]float64       `json:"Groups"` // by group hash
	ClientEndpoints    map[uint64]string        `json:"Seen"`   // endpoint IDs of connections, by client hash

	// CompactAdmissionRate replaces AdmissionRate, which is 0 then, in a state in which a table has members instead of owners.
	// Older releases would read such a table as empty. They reject a state whose AdmissionRate is 0 and start without it.
	CompactAdmissionRate float64 `json:",omitempty"`
}

// TableState is the encoded form of a slotTable. It holds the owners of all slots. If there are too many slots, it holds the
// members instead, from which a reader computes the owners.
type TableState struct {
	Counts   []int       // history of the number of slots, latest last
	Owners   []int       `json:"Owner"`      // owner of each slot, as an index into the list of endpoints
	SlotSize float64     `json:"Unit"`       // endpoint size per slot
	Previous *TableState `json:"Before"`     // previous version of the table; nil if none is retained
	Members  []int       `json:",omitempty"` // as indices into the list of endpoints
}

// OutlierRecord is the outlier state of an endpoint or a zone.
type OutlierRecord struct {
	Failures int     `json:"Fails"` // number of failures since the last success
	RetryAt  Instant // end of the ejection
}

// EndpointRecord is the part of an endpoint's state that a process hands over.
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

// State returns the state for a successor process. Its endpoints are in no particular order.
func (b *Balancer) State() State {
	state := b.CaptureState()
	state.ComputeOwners()
	return state
}

// CaptureState returns the same as State, but all tables have members instead of owners. ComputeOwners replaces them; it takes
// long and may run outside the event loop.
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
		state.Endpoints = append(state.Endpoints, endpoint.handoverRecord())
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

// referencedEndpoints returns the endpoints of the list and of all tables, some of them several times. Until the next epoch,
// tables may refer to endpoints that are no longer listed.
func (b *Balancer) referencedEndpoints() []*endpointState {
	endpoints := slices.Collect(maps.Values(b.endpoints))
	for _, table := range append(slices.Collect(maps.Values(b.zoneTables)), &b.fleetTable) {
		for ; table != nil; table = table.previous {
			endpoints = append(endpoints, table.members...)
		}
	}
	return endpoints
}

func (e *endpointState) handoverRecord() EndpointRecord {
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

// ComputeOwners replaces the members of each table with the owners of its slots, except in tables with more than
// maxEncodedOwners slots. It accesses only the state, so it may run concurrently with the Balancer.
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

// computeOwners replaces the members of a table and of its previous versions with owners. It reports whether any of them is
// too large and keeps its members. weightedEndpoints holds the state's endpoints, by index.
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
