// Package balancer decides where a proxy node sends the connections of its clients: which endpoint takes each of them,
// whether a failed attempt may be repeated, when to reject, which established connections to migrate.
//
// A Balancer is a deterministic state machine without I/O, clock or goroutines. Its owner, the proxy's event loop or the
// simulator's adapter, passes in each Event with its time and carries out the Actions that Handle returns. The same
// settings, seed and events give the same actions.
//
// The nodes of a tier don't talk to one another: nodes with the same endpoint list place a key alike because placement
// follows from the list alone (slot_assignment.go).
package balancer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"example.org/micafront/balancer/admission"
	"example.org/micafront/balancer/hotkeys"
	"example.org/micafront/balancer/loadreport"
)

// Instant is a point on the fleet's shared clock, counted from that clock's own origin.
type Instant = time.Duration

// Balancer is one node's decision state. It must not be used from two goroutines at once.
type Balancer struct {
	settings            Settings
	classes             map[string]*Class          // in force, and dropped ones that connections may still be under
	tenantQuotas        map[string]admission.Quota // by tenant name
	minMessageObjective time.Duration              // the shortest of all classes; 0: none has one

	random       *rand.Rand
	randomSource *rand.PCG // the source of random, kept for snapshots

	now     Instant  // time of the current event
	actions []Action // emitted by the current event

	requests       map[string]*request // by ID, until the client is answered and the last attempt has ended
	deadlineTimers map[string]*request // by timer token
	nextTimerID    uint64

	endpoints    map[string]*endpointState // by ID
	ready        readyList                 // of those
	updateCount  uint64                    // endpoint lists that were applied
	zoneOutliers map[string]*outlierState  // by zone

	// What is active: attempts in flight and established connections of this node.
	activeByTenant map[string]int
	activeCount    int
	activeLoad     float64            // in mean connections
	meanLoads      map[string]float64 // load of a connection by class name, "" over all, as far as reported

	// The hash tables, see slot_table.go and placement.go.
	fleetTable       slotTable
	zoneTables       map[string]*slotTable // by zone, of its endpoints alone; empty where there is one zone only
	localTable       *slotTable            // the one of this node's zone, or an empty one
	previousTablesAt Instant               // when the tables' previous forms were retained
	listDirty        bool                  // the endpoint list changed since the last epoch
	historyReset     bool                  // the tables hold no history since their last change
	lastEpoch        int64
	lastChangeEpoch  int64 // the last one with a changed list
	clientEndpoints  [2]map[uint64]*endpointState
	groupFrequency   hotkeys.FrequencyTracker

	// Capacities are sums of Size times warm-up fraction over the endpoints in use, as of this epoch.
	fleetCapacity      float64
	localCapacity      float64 // in this node's zone
	localKeyFraction   float64 // part of the keys that try the local table first; may exceed 1
	baselineLocalShare float64 // localCapacity/fleetCapacity times zoneCount when the list last settled; 0: not known
	zoneCount          int     // zones with ready endpoints, at least 1

	started           bool // the first endpoint list has been applied
	startedAt         Instant
	watchFailures     int // in a row
	watchRetryPending bool

	admissionRate      float64 // fraction of new connections admitted
	stress             float64 // connections in trouble times seconds, since admissionUpdatedAt
	admissionUpdatedAt Instant
	lastAttemptAt      Instant
	loadReports        loadreport.Tracker
}

// New makes a Balancer without any state. Its first event should be an EndpointUpdate of kind CachedList. The error
// says which of the settings can't be used.
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

// applySettings adopts settings that have been validated, and what follows from them alone.
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
	// Classes that are no longer listed stay, for connections that were established under them.
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

// beginEvent moves the clock, which never runs backwards, and starts a new list of actions.
func (b *Balancer) beginEvent(now Instant) {
	b.now = max(now, b.now)
	b.actions = nil
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// jitter returns a random factor in [0.5,1.5) for a pause, so that nodes don't act in step.
func (b *Balancer) jitter() float64 { return 0.5 + b.random.Float64() }

func (b *Balancer) setTimer(token string, delay time.Duration) {
	b.emit(SetTimer{Token: token, Delay: max(delay, time.Microsecond)})
}
