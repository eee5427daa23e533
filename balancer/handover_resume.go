package balancer

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/balancer/hotkeys"
)

// Resumption from the state that another process handed over.

// Resume starts a new Balancer from the state of another process on the same node, instead of from a first EndpointUpdate. It
// returns the actions to perform. It returns an error and changes nothing if the Balancer has started already or if the state is
// invalid.
func (b *Balancer) Resume(now Instant, state State) ([]Action, error) {
	if b.started {
		return nil, errors.New("the balancer has already started")
	}
	if state.AdmissionRate == 0 {
		state.AdmissionRate = state.CompactAdmissionRate
	}
	decoder := stateDecoder{state: &state, latest: now + 2*b.settings.Rules.WarmUp}
	if err := decoder.decode(); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	b.beginEvent(now)
	b.started = true
	b.startedAt = state.StartedAt
	b.lastEpoch = state.LastEpoch
	b.lastChangeEpoch = state.LastChangeEpoch
	b.listDirty = state.ListDirty
	b.historyReset = state.HistoryReset
	b.baselineLocalShare = state.BaselineLocalShare
	b.previousTablesAt = state.PreviousTablesAt
	b.fleetTable = *decoder.fleetTable
	b.zoneTables = decoder.zoneTables
	b.endpoints = decoder.endpointsByID
	b.ready.reset(b.endpoints)
	if table := b.zoneTables[b.settings.Zone]; table != nil {
		b.localTable = table
	}
	for zone, outlier := range state.ZoneOutliers {
		b.zoneOutliers[zone] = &outlierState{failures: max(outlier.Failures, 0), ejectedUntil: min(outlier.RetryAt, decoder.latest)}
	}
	b.admissionRate = min(state.AdmissionRate, 1)
	b.admissionUpdatedAt = b.now
	maps.Copy(b.meanLoads, state.MeanLoads)
	b.restoreGroupCounts(state.GroupCounts)
	b.recomputeCapacity(b.readyEndpoints())
	b.RestoreEstablishedConnections(state.ClientEndpoints)
	b.scheduleLoadReports()
	if b.settings.Subscribe {
		// No random delay: only this node subscribes, and its list is as old as the handover.
		b.emit(Watch{On: true})
	}
	return b.actions, nil
}

// restoreGroupCounts ignores counts that a frequency tracker cannot hold.
func (b *Balancer) restoreGroupCounts(counts map[uint64]float64) {
	for group, count := range counts {
		count = math.Floor(count)
		if count > 0 && count < 2*hotkeys.MaxTotal {
			b.groupFrequency.Counts[group] = count
			b.groupFrequency.Total += count
			b.groupFrequency.SumOfSquares += count * count
		}
	}
}

// RestoreEstablishedConnections records the endpoint IDs of the connections that another process holds, by client hash. Unknown
// endpoints are ignored.
func (b *Balancer) RestoreEstablishedConnections(connections map[uint64]string) {
	if !b.settings.PassThrough {
		return
	}
	for client, id := range connections {
		if endpoint := b.endpoints[id]; endpoint != nil {
			b.clientEndpoints[0][client] = endpoint
		}
	}
}

// stateDecoder validates a State and resolves its references.
type stateDecoder struct {
	state  *State
	latest Instant // upper bound of all times in the state

	endpoints     []*endpointState // by index
	endpointsByID map[string]*endpointState
	fleetTable    *slotTable
	zoneTables    map[string]*slotTable
}

func (d *stateDecoder) decode() error {
	if err := d.decodeEndpoints(); err != nil {
		return err
	}
	fleetTable, err := d.state.Table.decode(d.endpointAt)
	if err != nil {
		return err
	}
	d.fleetTable = fleetTable
	d.zoneTables = map[string]*slotTable{}
	for zone, encoded := range d.state.ZoneTables {
		if d.zoneTables[zone], err = encoded.decode(d.endpointAt); err != nil {
			return err
		}
	}
	if !withinRange(d.state.BaselineLocalShare, d.state.AdmissionRate) || d.state.AdmissionRate <= 0 {
		return fmt.Errorf("local share %v or admission rate %v is out of range", d.state.BaselineLocalShare, d.state.AdmissionRate)
	}
	if !d.validTimes(d.state.StartedAt, d.state.PreviousTablesAt) {
		return fmt.Errorf("start time %v or time of the previous tables %v is negative or after %v", d.state.StartedAt,
			d.state.PreviousTablesAt, d.latest)
	}
	for class, load := range d.state.MeanLoads {
		if !withinRange(load) || load < 0 {
			return fmt.Errorf("the mean load %v of class %q is out of range", load, class)
		}
	}
	return nil
}

// decodeEndpoints validates and decodes the state's endpoints. If several have the same ID, endpointsByID holds a listed
// one in preference to a removed one.
func (d *stateDecoder) decodeEndpoints() error {
	d.endpoints = make([]*endpointState, len(d.state.Endpoints))
	d.endpointsByID = map[string]*endpointState{}
	for i := range d.state.Endpoints {
		encoded := &d.state.Endpoints[i]
		if !d.validEndpoint(encoded) {
			return fmt.Errorf("endpoint %q has no ID, or a value or time that is out of range", encoded.ID)
		}
		d.endpoints[i] = resumeEndpoint(encoded)
		if other := d.endpointsByID[encoded.ID]; other == nil || other.phase == Removed {
			d.endpointsByID[encoded.ID] = d.endpoints[i]
		}
	}
	return nil
}

func (d *stateDecoder) validEndpoint(encoded *EndpointRecord) bool {
	return encoded.ID != "" && encoded.Phase >= Ready && encoded.Phase <= Removed && encoded.Size > 0 &&
		withinRange(encoded.Size, encoded.AdmittedFraction, encoded.SlowStartTokens) && encoded.Outlier.Failures >= 0 &&
		d.validTimes(encoded.StartedAt, encoded.LastResetAt, encoded.MessageLatency, encoded.MessageLatencyAt,
			encoded.AdmittedFractionAt, encoded.SlowStartTokensAt, encoded.Outlier.RetryAt)
}

// endpointAt implements endpointLookup.
func (d *stateDecoder) endpointAt(index int) (*endpointState, error) {
	if index < 0 || index >= len(d.endpoints) {
		return nil, errors.New("a table refers to an endpoint that the state does not contain")
	}
	return d.endpoints[index], nil
}

// validTimes reports whether all times are between 0 and d.latest.
func (d *stateDecoder) validTimes(times ...Instant) bool {
	return !slices.ContainsFunc(times, func(t Instant) bool { return t < 0 || t > d.latest })
}

// withinRange reports whether all values are numbers, and small enough that their sums stay finite.
func withinRange(values ...float64) bool {
	const maxMagnitude = 1e12
	return !slices.ContainsFunc(values, func(value float64) bool { return !(value >= -maxMagnitude && value <= maxMagnitude) })
}

func resumeEndpoint(encoded *EndpointRecord) *endpointState {
	return &endpointState{
		id:                 encoded.ID,
		hash:               hashing.String(encoded.ID),
		phase:              encoded.Phase,
		size:               encoded.Size,
		zone:               encoded.Zone,
		cell:               encoded.Cell,
		startedAt:          encoded.StartedAt,
		outlierState:       outlierState{failures: encoded.Outlier.Failures, ejectedUntil: encoded.Outlier.RetryAt},
		crashSuspected:     encoded.CrashSuspected,
		lastResetAt:        encoded.LastResetAt,
		messageLatency:     encoded.MessageLatency,
		messageLatencyAt:   encoded.MessageLatencyAt,
		admittedFraction:   math.Max(encoded.AdmittedFraction, minAdmittedFraction),
		admittedFractionAt: encoded.AdmittedFractionAt,
		slowStartTokens:    encoded.SlowStartTokens,
		slowStartTokensAt:  encoded.SlowStartTokensAt,
	}
}
