package balancer

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"

	"example.org/micafront/balancer/hashing"
)

// Restoration of a Balancer from a snapshot.

// Restore returns a Balancer with the state of a snapshot. It returns an error if the snapshot has an unsupported version or
// invalid settings, or if its references are inconsistent.
func Restore(snapshot Snapshot) (*Balancer, error) {
	if snapshot.Version != SnapshotVersion && snapshot.Version != CompactSnapshotVersion {
		return nil, fmt.Errorf("balancer: the snapshot has version %d, but supported versions are %d and %d", snapshot.Version, SnapshotVersion,
			CompactSnapshotVersion)
	}
	b, err := New(snapshot.Settings, 0)
	if err != nil {
		return nil, err
	}
	b.randomSource = &rand.PCG{}
	if err := b.randomSource.UnmarshalBinary(snapshot.RandomState); err != nil {
		return nil, fmt.Errorf("balancer: restoring the random generator of the snapshot: %w", err)
	}
	b.random = rand.New(b.randomSource)
	decoder := snapshotDecoder{balancer: b, snapshot: &snapshot}
	if err := decoder.decode(); err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	b.restoreScalars(&snapshot)
	return b, nil
}

// restoreScalars restores the fields that hold no references.
func (b *Balancer) restoreScalars(snapshot *Snapshot) {
	b.now = snapshot.Now
	b.nextTimerID = snapshot.NextTimerID
	b.activeCount = snapshot.ActiveCount
	b.activeLoad = snapshot.ActiveLoad
	b.fleetCapacity = snapshot.FleetCapacity
	b.localCapacity = snapshot.LocalCapacity
	b.localKeyFraction = snapshot.LocalKeyFraction
	b.baselineLocalShare = snapshot.BaselineLocalShare
	b.zoneCount = snapshot.ZoneCount
	b.started = snapshot.Started
	b.startedAt = snapshot.StartedAt
	b.listDirty = snapshot.ListDirty
	b.historyReset = snapshot.HistoryReset
	b.lastEpoch = snapshot.LastEpoch
	b.lastChangeEpoch = snapshot.LastChangeEpoch
	b.previousTablesAt = snapshot.PreviousTablesAt
	b.watchFailures = snapshot.WatchFailures
	b.watchRetryPending = snapshot.WatchRetryPending
	b.admissionRate = snapshot.AdmissionRate
	b.stress = snapshot.Stress
	b.admissionUpdatedAt = snapshot.AdmissionUpdatedAt
	b.lastAttemptAt = snapshot.LastAttemptAt
	b.groupFrequency.Total = snapshot.GroupTotal
	b.groupFrequency.SumOfSquares = snapshot.GroupSumOfSquares
	maps.Copy(b.groupFrequency.Counts, snapshot.GroupCounts)
	maps.Copy(b.meanLoads, snapshot.MeanLoads)
	maps.Copy(b.activeByTenant, snapshot.ActiveByTenant)
	for zone, outlier := range snapshot.ZoneOutliers {
		restored := outlier.restore()
		b.zoneOutliers[zone] = &restored
	}
	b.loadReports.Restore(snapshot.LoadReports)
}

func (o OutlierSnapshot) restore() outlierState {
	return outlierState{failures: o.Failures, ejectedUntil: o.RetryAt, trialInFlight: o.TrialInFlight}
}

// snapshotDecoder resolves the references in a snapshot.
type snapshotDecoder struct {
	balancer  *Balancer
	snapshot  *Snapshot
	classes   []*Class         // by index
	endpoints []*endpointState // by index
	requests  []*request       // by index
}

func (d *snapshotDecoder) decode() error {
	for i := range d.snapshot.Endpoints {
		d.endpoints = append(d.endpoints, restoreEndpoint(&d.snapshot.Endpoints[i]))
	}
	for _, step := range []func() error{
		d.restoreClasses, d.restoreRequests, d.restoreActive, d.restoreEndpointsByID, d.restoreTables, d.restoreClientEndpoints,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// endpoint returns the endpoint at an index, or nil for noIndex.
func (d *snapshotDecoder) endpoint(index int) (*endpointState, error) {
	if index == noIndex {
		return nil, nil
	}
	if index < 0 || index >= len(d.endpoints) {
		return nil, fmt.Errorf("the snapshot refers to endpoint %d of %d", index, len(d.endpoints))
	}
	return d.endpoints[index], nil
}

func (d *snapshotDecoder) restoreClasses() error {
	b, snapshot := d.balancer, d.snapshot
	d.classes = make([]*Class, len(snapshot.Classes))
	for i := range snapshot.Classes {
		d.classes[i] = &snapshot.Classes[i]
	}
	clear(b.classes)
	for name, index := range snapshot.ClassIndex {
		if index < 0 || index >= len(d.classes) {
			return errors.New("the snapshot names a class that it does not contain")
		}
		b.classes[name] = d.classes[index]
	}
	// An unchanged current class is the same object as in the settings.
	for i := range b.settings.Classes {
		class := &b.settings.Classes[i]
		if index, known := snapshot.ClassIndex[class.Name]; known && snapshot.Classes[index] == *class {
			d.classes[index] = class
			b.classes[class.Name] = class
		}
	}
	return nil
}

func (d *snapshotDecoder) restoreRequests() error {
	b := d.balancer
	for i := range d.snapshot.Requests {
		req, err := d.restoreRequest(&d.snapshot.Requests[i])
		if err != nil {
			return err
		}
		if b.requests[req.ID] != nil {
			return fmt.Errorf("the snapshot contains request %q twice", req.ID)
		}
		b.requests[req.ID] = req
		d.requests = append(d.requests, req)
		if d.snapshot.Requests[i].TimerPending {
			b.deadlineTimers[req.timerToken] = req
		}
	}
	return nil
}

func (d *snapshotDecoder) restoreRequest(encoded *RequestSnapshot) (*request, error) {
	if encoded.Class < 0 || encoded.Class >= len(d.classes) {
		return nil, fmt.Errorf("request %q of the snapshot refers to a class that the snapshot does not contain", encoded.Request.ID)
	}
	endpoint, err := d.endpoint(encoded.Endpoint)
	if err != nil {
		return nil, err
	}
	executedOn, err := d.endpoint(encoded.ExecutedOn)
	if err != nil {
		return nil, err
	}
	req := &request{
		Request:         encoded.Request,
		class:           d.classes[encoded.Class],
		keyHash:         encoded.KeyHash,
		clientHash:      encoded.ClientHash,
		timerToken:      encoded.TimerToken,
		attempts:        encoded.Attempts,
		endpoint:        endpoint,
		activeIndex:     encoded.ActiveIndex,
		sentAt:          encoded.SentAt,
		load:            encoded.Load,
		established:     encoded.Established,
		migrating:       encoded.Migrating,
		answered:        encoded.Answered,
		admissionDenied: encoded.AdmissionDenied,
		executedAt:      encoded.ExecutedAt,
		executedOn:      executedOn,
	}
	for _, index := range encoded.Attempted {
		attempted, err := d.endpoint(index)
		if err != nil {
			return nil, err
		}
		req.attempted = append(req.attempted, attempted)
	}
	return req, nil
}

// restoreActive restores the list of active requests of each endpoint, in order.
func (d *snapshotDecoder) restoreActive() error {
	for i, endpoint := range d.endpoints {
		for activeIndex, index := range d.snapshot.Endpoints[i].Active {
			if index < 0 || index >= len(d.requests) || d.requests[index].endpoint != endpoint ||
				d.requests[index].activeIndex != activeIndex {
				return fmt.Errorf("endpoint %q of the snapshot lists an active request that does not match it", endpoint.id)
			}
			endpoint.active = append(endpoint.active, d.requests[index])
		}
	}
	return nil
}

func (d *snapshotDecoder) restoreEndpointsByID() error {
	for id, index := range d.snapshot.EndpointIndex {
		endpoint, err := d.endpoint(index)
		if err != nil || endpoint == nil {
			return errors.Join(err, fmt.Errorf("the snapshot lists endpoint %q, which it does not contain", id))
		}
		d.balancer.endpoints[id] = endpoint
	}
	d.balancer.ready.reset(d.balancer.endpoints)
	return nil
}

// tableEndpoint implements endpointLookup.
func (d *snapshotDecoder) tableEndpoint(index int) (*endpointState, error) {
	endpoint, err := d.endpoint(index)
	if err != nil || endpoint == nil {
		return nil, errors.Join(err, errors.New("a slot of the snapshot's table has no owner"))
	}
	return endpoint, nil
}

func (d *snapshotDecoder) restoreTables() error {
	b, snapshot := d.balancer, d.snapshot
	fleetTable, err := snapshot.Table.decode(d.tableEndpoint)
	if err != nil {
		return err
	}
	b.fleetTable = *fleetTable
	for zone, encoded := range snapshot.ZoneTables {
		if b.zoneTables[zone], err = encoded.decode(d.tableEndpoint); err != nil {
			return err
		}
	}
	if snapshot.LocalTable != nil {
		b.localTable, err = snapshot.LocalTable.decode(d.tableEndpoint)
		return err
	}
	b.localTable = b.zoneTables[snapshot.LocalZone]
	if b.localTable == nil {
		return fmt.Errorf("the snapshot contains no table of zone %q", snapshot.LocalZone)
	}
	return nil
}

func (d *snapshotDecoder) restoreClientEndpoints() error {
	for i, generation := range d.snapshot.ClientEndpoints {
		for client, index := range generation {
			endpoint, err := d.endpoint(index)
			if err != nil {
				return err
			}
			d.balancer.clientEndpoints[i][client] = endpoint
		}
	}
	return nil
}

func restoreEndpoint(encoded *EndpointSnapshot) *endpointState {
	return &endpointState{
		id:                 encoded.ID,
		hash:               hashing.String(encoded.ID),
		phase:              encoded.Phase,
		size:               encoded.Size,
		zone:               encoded.Zone,
		cell:               encoded.Cell,
		startedAt:          encoded.StartedAt,
		outlierState:       encoded.Outlier.restore(),
		activeLoad:         encoded.ActiveLoad,
		drainStepsLeft:     encoded.DrainStepsLeft,
		drainForcedAt:      encoded.DrainForcedAt,
		crashSuspected:     encoded.CrashSuspected,
		lastResetAt:        encoded.LastResetAt,
		messageLatency:     encoded.MessageLatency,
		messageLatencyAt:   encoded.MessageLatencyAt,
		admittedFraction:   encoded.AdmittedFraction,
		admittedFractionAt: encoded.AdmittedFractionAt,
		slowStartTokens:    encoded.SlowStartTokens,
		slowStartTokensAt:  encoded.SlowStartTokensAt,
	}
}
