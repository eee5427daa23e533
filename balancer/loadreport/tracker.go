// Package loadreport evaluates the load reports of endpoints. It decides when to request a report, estimates the
// current load from the last report, and determines how far an endpoint's load may exceed the mean and how much load
// should leave an overloaded endpoint. Package balancer bases its placement and migration decisions on it. It performs
// no I/O and reads no clock.
//
// Loads are fractions of the capacity of an endpoint or of the fleet: 1 is full capacity. Numbers of connections are in
// mean connections, each with the mean load of all connections.
package loadreport

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// GroupCost is the load of a group on every endpoint that holds at least one of its connections, in mean connections.
// The settings say only that groups have a cost (FamilyInfo.Groups); both operators' site files give 3. Decisions
// hardly depend on the value between 2 and 5 (docs/results/second-site.md).
const GroupCost = 3

// quotaHeadroom is the capacity of the fleet divided by the connections that tenants' quotas promise. The excess covers
// the cost of groups.
const quotaHeadroom = 1.5

// LoadRecord contains what this node knows of the load of one endpoint.
type LoadRecord struct {
	Size           float64       // relative capacity
	ReportedLoad   float64       `json:"Told"`    // in the last report
	SentLoad       float64       `json:"Sent"`    // added by this node since the last report
	ConnectionLoad float64       `json:"Each"`    // of one mean connection; 0: not reported yet
	ReportedAt     time.Duration `json:"ToldAt"`  // time of the last report; 0: none
	RequestedAt    time.Duration `json:"AskedAt"` // time of the last request for a report; 0: never
}

// Tracker holds the load records of all endpoints. The zero value must be set up with Configure before use.
type Tracker struct {
	byEndpoint       map[string]*LoadRecord
	sorted           []trackedEndpoint // byEndpoint sorted by ID, so that sums don't depend on the map order
	totalSize        float64           // of all endpoints; 0: must be computed again
	nodes            float64
	maxAge           time.Duration // FleetLoad ignores older reports: the endpoint is no longer asked
	fleetConnections float64       // mean connections that fill the fleet, derived from the quotas; 0: unknown
}

// trackedEndpoint is the load record of an endpoint with its ID.
type trackedEndpoint struct {
	id     string
	record *LoadRecord
}

func compareTrackedID(t trackedEndpoint, id string) int { return cmp.Compare(t.id, id) }

// Configure sets the parameters that follow from the settings: the number of nodes, the time in which overload does
// harm, and the total number of connections that the tenants' quotas promise, 0 if unknown.
func (t *Tracker) Configure(nodes int, overloadWindow time.Duration, quotaConnections float64) {
	t.nodes = float64(nodes)
	t.maxAge = 2 * overloadWindow
	t.fleetConnections = quotaConnections * quotaHeadroom
}

// record returns the load record of an endpoint, and creates it if necessary.
func (t *Tracker) record(id string, size float64) *LoadRecord {
	record := t.byEndpoint[id]
	if record == nil {
		if t.byEndpoint == nil {
			t.byEndpoint = map[string]*LoadRecord{}
		}
		record = &LoadRecord{}
		t.byEndpoint[id] = record
		position, _ := slices.BinarySearchFunc(t.sorted, id, compareTrackedID)
		t.sorted = slices.Insert(t.sorted, position, trackedEndpoint{id, record})
	}
	if record.Size != size {
		record.Size = size
		t.totalSize = 0
	}
	return record
}

// RecordReport records a report: the load of an endpoint and its number of connections. Load that was sent after the
// report was requested is part of it or of the next one.
func (t *Tracker) RecordReport(id string, size float64, now time.Duration, load, connections float64) {
	record := t.record(id, size)
	record.ReportedLoad = load
	record.SentLoad = 0
	record.ReportedAt = now
	if connections >= 1 && load > 0 {
		// The number of groups is not reported. A single connection has one group; several are assumed to have two.
		groups := math.Min(connections, 2)
		record.ConnectionLoad = load / (connections + GroupCost*groups)
	}
}

// RecordSent adds the load of a request that this node sent to an endpoint, in mean connections with the cost of its
// group.
func (t *Tracker) RecordSent(id string, size, connections float64) {
	record := t.record(id, size)
	record.SentLoad += connections * t.connectionLoad(record)
}

// connectionLoad returns the load of one mean connection. Until an endpoint reports it, it is derived from the tenants'
// quotas.
func (t *Tracker) connectionLoad(record *LoadRecord) float64 {
	if record.ConnectionLoad > 0 || t.fleetConnections == 0 {
		return record.ConnectionLoad
	}
	if t.totalSize == 0 {
		for _, entry := range t.sorted {
			t.totalSize += entry.record.Size
		}
	}
	return t.totalSize / t.fleetConnections / record.Size
}

// ExpectedLoad returns the estimated load of an endpoint after it takes a number of additional mean connections: the
// reported load, what all nodes have probably sent since, and the additional connections. Clients are spread evenly
// over a zone's nodes but zones differ, so half of the nodes are assumed to have sent as much as this one.
func (t *Tracker) ExpectedLoad(id string, size, connections float64) float64 {
	record := t.record(id, size)
	return t.currentLoad(record) + connections*t.connectionLoad(record)
}

// currentLoad returns the estimated load of an endpoint: the reported load and what all nodes have probably sent since.
func (t *Tracker) currentLoad(record *LoadRecord) float64 {
	sendingNodes := math.Max(t.nodes/2, 1)
	return record.ReportedLoad + sendingNodes*record.SentLoad
}

// FleetLoad returns the load of the fleet as a fraction of its capacity, from the recent reports and what was sent
// since; 0 if nothing is known.
func (t *Tracker) FleetLoad(now time.Duration) float64 {
	demand, capacity := 0.0, 0.0
	for _, entry := range t.sorted {
		record := entry.record
		if record.ReportedAt == 0 || now-record.ReportedAt > t.maxAge {
			continue
		}
		capacity += record.Size
		demand += record.Size * t.currentLoad(record)
	}
	return demand / math.Max(capacity, 1e-9)
}

// MarkRequestedIfDue reports whether a report of an endpoint should be requested now, and if so records the time of the
// request. It returns true at most once per interval.
func (t *Tracker) MarkRequestedIfDue(id string, size float64, now, interval time.Duration) bool {
	record := t.record(id, size)
	if record.RequestedAt != 0 && now-record.RequestedAt < interval {
		return false
	}
	record.RequestedAt = now
	return true
}

// Remove deletes the load record of an endpoint.
func (t *Tracker) Remove(id string) {
	if position, found := slices.BinarySearchFunc(t.sorted, id, compareTrackedID); found {
		t.sorted = slices.Delete(t.sorted, position, position+1)
		t.totalSize = 0
		delete(t.byEndpoint, id)
	}
}

// Snapshot returns a copy of all load records, by endpoint ID, for Restore.
func (t *Tracker) Snapshot() map[string]LoadRecord {
	all := map[string]LoadRecord{}
	for id, record := range t.byEndpoint {
		all[id] = *record
	}
	return all
}

// Restore replaces all load records with those of a snapshot.
func (t *Tracker) Restore(all map[string]LoadRecord) {
	t.byEndpoint = nil
	t.sorted = nil
	t.totalSize = 0
	for _, id := range slices.Sorted(maps.Keys(all)) { // sorted IDs are always appended
		*t.record(id, all[id].Size) = all[id]
	}
}
