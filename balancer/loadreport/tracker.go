// Package loadreport evaluates the load reports of endpoints: when to ask for one, what the load is by the time that a
// connection arrives, how far an endpoint may be loaded above the mean, and how much should leave an overloaded one.
// Package balancer decides by it. It has no I/O and no clock.
//
// Loads are fractions of what an endpoint, or the fleet, can serve: 1 is all of it. Connections count in mean ones.
package loadreport

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// GroupCost is what an endpoint pays for a group as soon as it has any of its connections, in mean connections. The
// settings tell only that groups cost something (FamilyInfo.Groups); both operators' site files say 3. Between 2 and
// 5 decisions do not differ by what can be measured (docs/results/second-site.md).
const GroupCost = 3

// quotaHeadroom is the capacity of the fleet over the connections that tenants' quotas promise: the rest pays for groups.
const quotaHeadroom = 1.5

// LoadRecord is what is known of one endpoint's load.
type LoadRecord struct {
	Size           float64       // relative capacity
	ReportedLoad   float64       `json:"Told"`    // by the last report
	SentLoad       float64       `json:"Sent"`    // what this node has added since
	ConnectionLoad float64       `json:"Each"`    // what one mean connection adds; 0: not reported yet
	ReportedAt     time.Duration `json:"ToldAt"`  // when the last report came; 0: none did
	RequestedAt    time.Duration `json:"AskedAt"` // when a report was last asked for; 0: never
}

// Tracker holds the evidence on all endpoints. The zero value knows nothing; Configure comes first.
type Tracker struct {
	byEndpoint       map[string]*LoadRecord
	sorted           []tracked // of byEndpoint, by ID, so that sums don't depend on the order of a map
	totalSize        float64   // of all endpoints; 0: it has changed and is to be summed again
	nodes            float64
	maxAge           time.Duration // older evidence says nothing of the fleet: the endpoint is no longer asked
	fleetConnections float64       // mean connections that fill the fleet by the tenants' quotas; 0: unknown
}

// tracked is an endpoint's evidence with its ID.
type tracked struct {
	id     string
	record *LoadRecord
}

func compareTracked(t tracked, id string) int { return cmp.Compare(t.id, id) }

// Configure takes what follows from the settings: the number of nodes, the time in which overload does harm, and how many
// connections the tenants' quotas promise in all, 0 where they do not say.
func (t *Tracker) Configure(nodes int, overloadWindow time.Duration, quotaConnections float64) {
	t.nodes = float64(nodes)
	t.maxAge = 2 * overloadWindow
	t.fleetConnections = quotaConnections * quotaHeadroom
}

// record returns an endpoint's record, new if there is none.
func (t *Tracker) record(id string, size float64) *LoadRecord {
	evidence := t.byEndpoint[id]
	if evidence == nil {
		if t.byEndpoint == nil {
			t.byEndpoint = map[string]*LoadRecord{}
		}
		evidence = &LoadRecord{}
		t.byEndpoint[id] = evidence
		position, _ := slices.BinarySearchFunc(t.sorted, id, compareTracked)
		t.sorted = slices.Insert(t.sorted, position, tracked{id, evidence})
	}
	if evidence.Size != size {
		evidence.Size = size
		t.totalSize = 0
	}
	return evidence
}

// RecordReport takes a report: the load, and how many connections the endpoint has. What was sent since it was asked for
// is in it or will be in the next one.
func (t *Tracker) RecordReport(id string, size float64, now time.Duration, load, connections float64) {
	evidence := t.record(id, size)
	evidence.ReportedLoad = load
	evidence.SentLoad = 0
	evidence.ReportedAt = now
	if connections >= 1 && load > 0 {
		// Connections come in groups, each of which costs: one, or two where there are several connections.
		groups := math.Min(connections, 2)
		evidence.ConnectionLoad = load / (connections + GroupCost*groups)
	}
}

// RecordSent counts what this node sends an endpoint, in mean connections with the cost of the group.
func (t *Tracker) RecordSent(id string, size, connections float64) {
	evidence := t.record(id, size)
	evidence.SentLoad += connections * t.connectionLoad(evidence)
}

// connectionLoad is what one mean connection adds. Where no report has told, it follows from the tenants' quotas.
func (t *Tracker) connectionLoad(evidence *LoadRecord) float64 {
	if evidence.ConnectionLoad > 0 || t.fleetConnections == 0 {
		return evidence.ConnectionLoad
	}
	if t.totalSize == 0 {
		for _, entry := range t.sorted {
			t.totalSize += entry.record.Size
		}
	}
	return t.totalSize / t.fleetConnections / evidence.Size
}

// ExpectedLoad is an endpoint's load by now, with so many more mean connections: what it reported, and what all nodes
// are likely to have sent since. Clients are spread evenly over a zone's nodes, and zones differ, so half of the nodes are
// taken to have sent as much as this one.
func (t *Tracker) ExpectedLoad(id string, size, connections float64) float64 {
	evidence := t.record(id, size)
	return t.presentLoad(evidence) + connections*t.connectionLoad(evidence)
}

// presentLoad is the load by now.
func (t *Tracker) presentLoad(evidence *LoadRecord) float64 {
	likeNodes := math.Max(t.nodes/2, 1)
	return evidence.ReportedLoad + likeNodes*evidence.SentLoad
}

// FleetLoad is what is asked of the fleet over what it can serve, by the reports that are fresh and what was sent since;
// 0 where nothing is known.
func (t *Tracker) FleetLoad(now time.Duration) float64 {
	asked, capacity := 0.0, 0.0
	for _, entry := range t.sorted {
		evidence := entry.record
		if evidence.ReportedAt == 0 || now-evidence.ReportedAt > t.maxAge {
			continue
		}
		capacity += evidence.Size
		asked += evidence.Size * t.presentLoad(evidence)
	}
	return asked / math.Max(capacity, 1e-9)
}

// MarkRequestedIfDue tells whether to ask an endpoint for a report now, so that it is asked once per interval, and notes it if so.
func (t *Tracker) MarkRequestedIfDue(id string, size float64, now, interval time.Duration) bool {
	evidence := t.record(id, size)
	if evidence.RequestedAt != 0 && now-evidence.RequestedAt < interval {
		return false
	}
	evidence.RequestedAt = now
	return true
}

// Remove drops the evidence on an endpoint.
func (t *Tracker) Remove(id string) {
	if position, found := slices.BinarySearchFunc(t.sorted, id, compareTracked); found {
		t.sorted = slices.Delete(t.sorted, position, position+1)
		t.totalSize = 0
		delete(t.byEndpoint, id)
	}
}

// Snapshot returns a copy of all evidence, by endpoint ID; Restore takes it back.
func (t *Tracker) Snapshot() map[string]LoadRecord {
	all := map[string]LoadRecord{}
	for id, evidence := range t.byEndpoint {
		all[id] = *evidence
	}
	return all
}

// Restore replaces all load records with those of a Snapshot.
func (t *Tracker) Restore(all map[string]LoadRecord) {
	t.byEndpoint = nil
	t.sorted = nil
	t.totalSize = 0
	for _, id := range slices.Sorted(maps.Keys(all)) { // in this order each is added at the end
		*t.record(id, all[id].Size) = all[id]
	}
}
