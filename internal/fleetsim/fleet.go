package fleetsim

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/memestimate"
)

// Defaults of the fields of Config.
const (
	defaultReplicaCount  = 3
	defaultKeys          = 12
	defaultTick          = 100 * time.Millisecond
	defaultSnapshotEvery = 64 // entries
	defaultZone          = "thies"
)

// Config describes a fleet.
type Config struct {
	Seed          uint64            // of all random numbers; determines the whole run
	ReplicaCount  int               // number of control-plane replicas; 0: 3
	ProxyCount    int               // number of proxies at the start
	Terms         fleetconfig.Terms // zero fields take their value from DefaultTerms
	ClockDrift    bool              // clocks run fast or slow by up to Terms.ClockDriftPPM and start at random values
	DefaultLink   Link              // zero value: HealthyLink
	LoadInterval  time.Duration     // average time between connections at a proxy; 0: no load
	KeyCount      int               // number of connection keys in the load; 0: 12
	Zones         []string          // assigned to the proxies in turn; empty: "thies"
	TickInterval  time.Duration     // interval between a replica's ticks; 0: 100 ms
	SnapshotEvery uint64            // number of log entries between snapshots of a replica; 0: 64
	Hooks         Hooks             // introduce planted faults
	Trace         io.Writer         // receives the trace; nil: the trace is not written
}

// DefaultTerms holds the terms of a fleet whose Config sets none.
var DefaultTerms = fleetconfig.Terms{
	AgreementTimeout: 2 * time.Second,
	MemberTimeout:    10 * time.Second,
	OnLeaseExpiry:    fleetconfig.RejectOnExpiry,
	ClockDriftPPM:    1000,
}

func (c *Config) fillDefaults() {
	c.ReplicaCount = cmp.Or(c.ReplicaCount, defaultReplicaCount)
	c.KeyCount = cmp.Or(c.KeyCount, defaultKeys)
	c.TickInterval = cmp.Or(c.TickInterval, defaultTick)
	c.SnapshotEvery = cmp.Or(c.SnapshotEvery, defaultSnapshotEvery)
	c.DefaultLink = cmp.Or(c.DefaultLink, HealthyLink)
	c.Terms.AgreementTimeout = cmp.Or(c.Terms.AgreementTimeout, DefaultTerms.AgreementTimeout)
	c.Terms.MemberTimeout = cmp.Or(c.Terms.MemberTimeout, DefaultTerms.MemberTimeout)
	c.Terms.OnLeaseExpiry = cmp.Or(c.Terms.OnLeaseExpiry, DefaultTerms.OnLeaseExpiry)
	c.Terms.ClockDriftPPM = cmp.Or(c.Terms.ClockDriftPPM, DefaultTerms.ClockDriftPPM)
	if len(c.Zones) == 0 {
		c.Zones = []string{defaultZone}
	}
}

// Fleet is a simulated fleet.
type Fleet struct {
	Config
	Replicas  []*Replica
	Proxies   []*Proxy // all proxies since the start, including those that have ended
	Meshes    []*Mesh  // publish services to the replicas
	Operator  *Process // sends requests to the replicas
	Network   *Network
	Violation *Violation // first violation, which ends the run; nil: all invariants held
	Merger    catalog.Merger
	Estimator memestimate.Estimator
	Requests  []*Request // all requests of the operator

	engine       *Engine
	invariants   *invariants
	compileCache map[compileKey]compileResult // cache of compileCached
}

// New returns a fleet at true time 0 and starts all its processes.
func New(c Config) *Fleet {
	c.fillDefaults()
	f := &Fleet{
		Config:       c,
		Merger:       catalog.Rules{},
		Estimator:    memestimate.New(),
		engine:       NewEngine(c.Seed, c.Trace),
		compileCache: map[compileKey]compileResult{},
	}
	f.invariants = newInvariants(f)
	f.Network = newNetwork(f.engine, c.DefaultLink)
	f.Operator = f.newProcess("operator")
	f.Operator.start()
	for i := range c.ReplicaCount {
		process := f.newProcess(fmt.Sprint("r", i+1))
		f.Replicas = append(f.Replicas, &Replica{Process: *process, fleet: f, id: uint64(i + 1)})
	}
	for _, replica := range f.Replicas {
		replica.boot()
	}
	for range c.ProxyCount {
		f.AddProxy()
	}
	return f
}

// newProcess returns a process that is down. With ClockDrift its clock has a random offset and drift.
func (f *Fleet) newProcess(name string) *Process {
	p := &Process{Name: name, engine: f.engine}
	if f.ClockDrift {
		const maxOffset = 1000 * time.Hour
		offset := f.engine.RandomDuration(0, maxOffset)
		ppm := f.engine.Rand.Int64N(2*f.Terms.ClockDriftPPM+1) - f.Terms.ClockDriftPPM
		p.Clock = Clock{Offset: offset, DriftPPM: ppm}
	}
	return p
}

// AddProxy starts another proxy and returns it.
func (f *Fleet) AddProxy() *Proxy {
	i := len(f.Proxies)
	process := f.newProcess(fmt.Sprint("p", i+1))
	proxy := &Proxy{Process: *process, fleet: f, Zone: f.Zones[i%len(f.Zones)], RejectedByState: map[fleetconfig.LeaseState]uint64{}}
	f.Proxies = append(f.Proxies, proxy)
	proxy.boot()
	return proxy
}

// A fleet has a few hundred events per simulated second. More than maxEventsPerSecond on average is a violation;
// startupSeconds are added to the elapsed time as an allowance for the start.
const (
	maxEventsPerSecond = 10_000
	startupSeconds     = 10
)

// Run runs the fleet for the duration d. It stops early at a violation; too many events also count as one.
func (f *Fleet) Run(d time.Duration) {
	f.engine.Run(f.engine.now+d, func() bool {
		if f.engine.EventCount > maxEventsPerSecond*(startupSeconds+uint64(f.engine.now/time.Second)) {
			f.violate("I6: too many events: %d", f.engine.EventCount)
		}
		return f.Violation != nil
	})
}

// RunUntil runs the fleet until the condition holds. It returns the elapsed true time, and false if the condition did not hold
// within d or the run had a violation.
func (f *Fleet) RunUntil(d time.Duration, condition func() bool) (time.Duration, bool) {
	const checkInterval = 10 * time.Millisecond
	from := f.engine.now
	for !condition() {
		if f.engine.now-from >= d || f.Violation != nil {
			return f.engine.now - from, false
		}
		f.Run(min(checkInterval, d-(f.engine.now-from)))
	}
	return f.engine.now - from, true
}

// Overlaps returns how long both versions of each contradicting pair were acted on, shortest first.
func (f *Fleet) Overlaps() []time.Duration { return f.invariants.longestOverlaps() }

// PlacedConnections returns the number of connections that all proxies have placed by a version.
func (f *Fleet) PlacedConnections() uint64 { return f.invariants.placementCount }

// Leader returns the replica that leads in the highest term, or nil if none leads.
func (f *Fleet) Leader() *Replica {
	var leader *Replica
	for _, r := range f.Replicas {
		if r.Leading() && (leader == nil || r.node.Term() > leader.node.Term()) {
			leader = r
		}
	}
	return leader
}

// Active returns the latest version that is active at any replica that is up. Its number is 0 if there is none.
func (f *Fleet) Active() fleetconfig.Version {
	var latest fleetconfig.Version
	for _, r := range f.Replicas {
		active, ok := r.state.Active()
		if r.up && ok && active.Number > latest.Number {
			latest = active
		}
	}
	return latest
}

// Settled reports whether a leader exists, no proposal is pending, and every proxy that is up and not draining has a lease on the
// active version.
func (f *Fleet) Settled() bool {
	leader := f.Leader()
	active := f.Active().Number
	if leader == nil {
		return false
	}
	if _, proposed := leader.state.Proposed(); proposed {
		return false
	}
	for _, p := range f.Proxies {
		if !p.up || p.draining {
			continue
		}
		if p.paused || p.Status().State != fleetconfig.Leased || p.ActiveVersion() != active {
			return false
		}
	}
	return active > 0
}

// Describe returns the state of all replicas and proxies as text.
func (f *Fleet) Describe() string {
	var parts []string
	for _, r := range f.Replicas {
		active, _ := r.state.Active()
		proposed, _ := r.state.Proposed()
		parts = append(parts, fmt.Sprintf("%s (up %v, leading %v) has active version %d and proposed version %d",
			r.Name, r.up, r.Leading(), active.Number, proposed.Number))
	}
	for _, p := range f.Proxies {
		status := p.Status()
		parts = append(parts, fmt.Sprintf("%s (up %v, draining %v) is %s on version %d with prepared version %d",
			p.Name, p.up, p.draining, status.State, status.ActiveVersion, status.PreparedVersion))
	}
	return strings.Join(parts, "; ")
}
