package balancer

import (
	"maps"
	"slices"
)

// Encoding of a Balancer as a snapshot.

// noIndex represents a nil reference in a Snapshot.
const noIndex = -1

// Snapshot returns the complete state of the Balancer. The result shares no memory with the Balancer.
func (b *Balancer) Snapshot() Snapshot {
	randomState, _ := b.randomSource.MarshalBinary() // PCG.MarshalBinary never fails
	snapshot := Snapshot{
		Version:            SnapshotVersion,
		Settings:           b.settings,
		RandomState:        randomState,
		Now:                b.now,
		ClassIndex:         map[string]int{},
		MeanLoads:          map[string]float64{},
		EndpointIndex:      map[string]int{},
		ZoneOutliers:       map[string]OutlierSnapshot{},
		ActiveByTenant:     map[string]int{},
		NextTimerID:        b.nextTimerID,
		ZoneTables:         map[string]TableState{},
		PreviousTablesAt:   b.previousTablesAt,
		ActiveCount:        b.activeCount,
		ActiveLoad:         b.activeLoad,
		FleetCapacity:      b.fleetCapacity,
		LocalCapacity:      b.localCapacity,
		LocalKeyFraction:   b.localKeyFraction,
		BaselineLocalShare: b.baselineLocalShare,
		ZoneCount:          b.zoneCount,
		GroupCounts:        map[uint64]float64{},
		GroupTotal:         b.groupFrequency.Total,
		GroupSumOfSquares:  b.groupFrequency.SumOfSquares,
		Started:            b.started,
		ListDirty:          b.listDirty,
		HistoryReset:       b.historyReset,
		StartedAt:          b.startedAt,
		LastEpoch:          b.lastEpoch,
		LastChangeEpoch:    b.lastChangeEpoch,
		WatchFailures:      b.watchFailures,
		WatchRetryPending:  b.watchRetryPending,
		AdmissionRate:      b.admissionRate,
		Stress:             b.stress,
		AdmissionUpdatedAt: b.admissionUpdatedAt,
		LastAttemptAt:      b.lastAttemptAt,
		LoadReports:        b.loadReports.Snapshot(),
	}
	if b.hasCompactTable() {
		snapshot.Version = CompactSnapshotVersion
	}
	snapshot.Settings.Classes = slices.Clone(b.settings.Classes)
	snapshot.Settings.Tenants = slices.Clone(b.settings.Tenants)
	maps.Copy(snapshot.MeanLoads, b.meanLoads)
	maps.Copy(snapshot.ActiveByTenant, b.activeByTenant)
	maps.Copy(snapshot.GroupCounts, b.groupFrequency.Counts)
	for zone, outlier := range b.zoneOutliers {
		snapshot.ZoneOutliers[zone] = outlier.snapshot()
	}
	encoder := snapshotEncoder{
		balancer:        b,
		snapshot:        &snapshot,
		endpointIndices: map[*endpointState]int{},
		requestIndices:  map[*request]int{},
		classIndices:    map[*Class]int{},
	}
	encoder.encode()
	return snapshot
}

func (o *outlierState) snapshot() OutlierSnapshot {
	return OutlierSnapshot{Failures: o.failures, RetryAt: o.ejectedUntil, TrialInFlight: o.trialInFlight}
}

// snapshotEncoder assigns indices to endpoints, requests and classes. It numbers endpoints and classes in the order in which
// it first encodes a reference to them, and requests in the order of their IDs.
type snapshotEncoder struct {
	balancer        *Balancer
	snapshot        *Snapshot
	endpoints       []*endpointState // by index
	endpointIndices map[*endpointState]int
	requests        []*request // by index
	requestIndices  map[*request]int
	classIndices    map[*Class]int
}

func (e *snapshotEncoder) encode() {
	b, snapshot := e.balancer, e.snapshot
	for _, name := range slices.Sorted(maps.Keys(b.classes)) {
		snapshot.ClassIndex[name] = e.classIndex(b.classes[name])
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		req := b.requests[id]
		e.requestIndices[req] = len(e.requests)
		e.requests = append(e.requests, req)
	}
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		snapshot.EndpointIndex[id] = e.endpointIndex(b.endpoints[id])
	}
	e.encodeTables()
	for i, generation := range b.clientEndpoints {
		snapshot.ClientEndpoints[i] = map[uint64]int{}
		for client, endpoint := range generation {
			snapshot.ClientEndpoints[i][client] = e.endpointIndex(endpoint)
		}
	}
	for _, req := range e.requests {
		snapshot.Requests = append(snapshot.Requests, e.encodeRequest(req))
	}
	e.encodeEndpoints()
}

func (e *snapshotEncoder) classIndex(class *Class) int {
	index, known := e.classIndices[class]
	if !known {
		index = len(e.snapshot.Classes)
		e.classIndices[class] = index
		e.snapshot.Classes = append(e.snapshot.Classes, *class)
	}
	return index
}

func (e *snapshotEncoder) endpointIndex(endpoint *endpointState) int {
	if endpoint == nil {
		return noIndex
	}
	index, known := e.endpointIndices[endpoint]
	if !known {
		index = len(e.endpoints)
		e.endpointIndices[endpoint] = index
		e.endpoints = append(e.endpoints, endpoint)
	}
	return index
}

func (e *snapshotEncoder) encodeTables() {
	b, snapshot := e.balancer, e.snapshot
	snapshot.Table = encodeTable(&b.fleetTable, e.endpointIndex)
	for _, zone := range slices.Sorted(maps.Keys(b.zoneTables)) {
		snapshot.ZoneTables[zone] = encodeTable(b.zoneTables[zone], e.endpointIndex)
		if b.zoneTables[zone] == b.localTable {
			snapshot.LocalZone = zone
		}
	}
	if snapshot.LocalZone == "" || b.zoneTables[snapshot.LocalZone] != b.localTable {
		localTable := encodeTable(b.localTable, e.endpointIndex)
		snapshot.LocalTable = &localTable
	}
}

func (e *snapshotEncoder) encodeRequest(req *request) RequestSnapshot {
	encoded := RequestSnapshot{
		Request:         req.Request,
		Class:           e.classIndex(req.class),
		KeyHash:         req.keyHash,
		ClientHash:      req.clientHash,
		TimerToken:      req.timerToken,
		TimerPending:    req.timerToken != "" && e.balancer.deadlineTimers[req.timerToken] == req,
		Attempts:        req.attempts,
		ActiveIndex:     req.activeIndex,
		Endpoint:        e.endpointIndex(req.endpoint),
		ExecutedOn:      e.endpointIndex(req.executedOn),
		Established:     req.established,
		Migrating:       req.migrating,
		Answered:        req.answered,
		AdmissionDenied: req.admissionDenied,
		ExecutedAt:      req.executedAt,
		SentAt:          req.sentAt,
		Load:            req.load,
	}
	for _, endpoint := range req.attempted {
		encoded.Attempted = append(encoded.Attempted, e.endpointIndex(endpoint))
	}
	return encoded
}

// encodeEndpoints must run last, because encoding tables, clients and requests adds endpoints.
func (e *snapshotEncoder) encodeEndpoints() {
	for _, endpoint := range e.endpoints {
		encoded := EndpointSnapshot{
			ID:                 endpoint.id,
			Zone:               endpoint.zone,
			Cell:               endpoint.cell,
			Phase:              endpoint.phase,
			Size:               endpoint.size,
			Outlier:            endpoint.snapshot(),
			StartedAt:          endpoint.startedAt,
			LastResetAt:        endpoint.lastResetAt,
			CrashSuspected:     endpoint.crashSuspected,
			ActiveLoad:         endpoint.activeLoad,
			DrainStepsLeft:     endpoint.drainStepsLeft,
			DrainForcedAt:      endpoint.drainForcedAt,
			MessageLatency:     endpoint.messageLatency,
			MessageLatencyAt:   endpoint.messageLatencyAt,
			AdmittedFraction:   endpoint.admittedFraction,
			AdmittedFractionAt: endpoint.admittedFractionAt,
			SlowStartTokens:    endpoint.slowStartTokens,
			SlowStartTokensAt:  endpoint.slowStartTokensAt,
		}
		for _, req := range endpoint.active {
			encoded.Active = append(encoded.Active, e.requestIndices[req])
		}
		e.snapshot.Endpoints = append(e.snapshot.Endpoints, encoded)
	}
}
