// Package balancer makes the load-balancing decisions of a proxy node: which endpoint serves each client connection, whether
// to retry a failed attempt, when to reject a request, and which established connections to migrate.
//
// A Balancer is a deterministic state machine without I/O, clock or goroutines. Its owner, the proxy's event loop or the
// simulator's adapter, passes in each Event with its time and performs the Actions that Handle returns. The same
// settings, seed and events produce the same actions.
//
// The nodes of a tier do not communicate. Nodes with the same endpoint list place a key on the same endpoint, because
// placement depends on the list alone (slot_assignment.go).
package balancer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"example.org/micafront/balancer/admission"
	"example.org/micafront/balancer/hotkeys"
	"example.org/micafront/balancer/loadreport"
)

// Instant is a point in time, as the duration since the origin of the clock that all nodes of the fleet share.
type Instant = time.Duration

// Balancer holds the load-balancing state of one node. It is not safe for concurrent use.
type Balancer struct {
	settings            Settings
	classes             map[string]*Class          // by name; includes dropped classes that connections may still use
	tenantQuotas        map[string]admission.Quota // by tenant name
	minMessageObjective time.Duration              // the shortest MessageObjective of all classes; 0: no class has one

	random       *rand.Rand
	randomSource *rand.PCG // the source of random; snapshots include its state

	now     Instant  // time of the latest event
	actions []Action // emitted while the current event is handled

	requests       map[string]*request // by ID, until the client has its answer and the last attempt has ended
	deadlineTimers map[string]*request // by timer token
	nextTimerID    uint64

	endpoints    map[string]*endpointState // by ID
	ready        readyList                 // the ready ones among endpoints
	updateCount  uint64                    // number of endpoint updates applied
	zoneOutliers map[string]*outlierState  // by zone

	// Active requests: attempts in flight and established connections of this node.
	activeByTenant map[string]int
	activeCount    int
	activeLoad     float64            // in units of the mean load of a connection
	meanLoads      map[string]float64 // mean reported load of a connection by class name; "" is the mean over all classes

	// The hash tables; see slot_table.go and placement.go.
	fleetTable       slotTable
	zoneTables       map[string]*slotTable // by zone; a table holds only that zone's endpoints. Empty if there is only one zone
	localTable       *slotTable            // the table of this node's zone, or an empty table
	previousTablesAt Instant               // when the previous versions of the tables were retained
	listDirty        bool                  // the endpoint list changed since the last epoch
	historyReset     bool                  // the tables' history was reset and they have not changed since
	lastEpoch        int64
	lastChangeEpoch  int64                        // the last epoch with a changed list
	clientEndpoints  [2]map[uint64]*endpointState // by client hash; two generations, the newer one first
	groupFrequency   hotkeys.FrequencyTracker

	// A capacity is the sum of Size times warm-up fraction over the endpoints in use, as of the current epoch.
	fleetCapacity      float64
	localCapacity      float64 // in this node's zone
	localKeyFraction   float64 // fraction of the keys that are looked up in the local table first; may exceed 1
	baselineLocalShare float64 // localCapacity/fleetCapacity*zoneCount when the endpoint list last became stable; 0: unknown
	zoneCount          int     // number of zones with ready endpoints, at least 1

	started           bool // the first endpoint list has been applied
	startedAt         Instant
	watchFailures     int // consecutive failures of the watch
	watchRetryPending bool

	admissionRate      float64 // fraction of new connections admitted
	stress             float64 // impaired connections times seconds, accumulated since admissionUpdatedAt
	admissionUpdatedAt Instant
	lastAttemptAt      Instant
	loadReports        loadreport.Tracker
}

// New returns a Balancer without endpoints or requests. Its first event should be an EndpointUpdate of kind CachedList. The
// error names the first setting that is invalid.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.cloneAndValidate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	source := rand.NewPCG(seed, 0)
	b := &Balancer{
		random:          rand.New(source),
		randomSource:    source,
		classes:         map[string]*Class{},
		requests:        map[string]*request{},
		deadlineTimers:  map[string]*request{},
		endpoints:       map[string]*endpointState{},
		zoneOutliers:    map[string]*outlierState{},
		activeByTenant:  map[string]int{},
		meanLoads:       map[string]float64{},
		zoneTables:      map[string]*slotTable{},
		localTable:      &slotTable{},
		clientEndpoints: [2]map[uint64]*endpointState{{}, {}},
		groupFrequency:  hotkeys.New(),
		admissionRate:   1,
	}
	b.applySettings(settings)
	return b, nil
}

// applySettings stores validated settings and the state derived from them alone.
func (b *Balancer) applySettings(settings Settings) {
	b.settings = settings
	b.tenantQuotas = map[string]admission.Quota{}
	quotaConnections := 0.0
	for i := range settings.Tenants {
		tenant := &settings.Tenants[i]
		quotaConnections += tenant.Connections
		b.tenantQuotas[tenant.Name] = admission.Quota{Share: tenant.Share, Connections: tenant.Connections}
	}
	b.loadReports.Configure(settings.Nodes, settings.Rules.OverloadWindow, quotaConnections)
	// Classes that are no longer listed are kept for the connections that were established with them.
	b.minMessageObjective = 0
	for i := range settings.Classes {
		class := &b.settings.Classes[i]
		b.classes[class.Name] = class
		objective := class.MessageObjective
		if objective > 0 && (b.minMessageObjective == 0 || objective < b.minMessageObjective) {
			b.minMessageObjective = objective
		}
	}
}

// beginEvent advances the clock, which never runs backwards, and starts an empty list of actions.
func (b *Balancer) beginEvent(now Instant) {
	b.now = max(now, b.now)
	b.actions = nil
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// jitter returns a random factor in [0.5,1.5) for a delay, so that nodes do not act in lockstep.
func (b *Balancer) jitter() float64 { return 0.5 + b.random.Float64() }

// setTimer requests a Timer event after a delay of at least 1 µs.
func (b *Balancer) setTimer(token string, delay time.Duration) {
	b.emit(SetTimer{Token: token, Delay: max(delay, time.Microsecond)})
}
