package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/configbundle"
	"example.org/micafront/internal/controlclient"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/metrics"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

const (
	// headroomInterval is how often this node reports its memory headroom to the control plane.
	headroomInterval = 5 * time.Second
	// headroomUnitBytes is the unit to which the memory in use is rounded down, so that small changes cause no event.
	headroomUnitBytes = 1 << 20
	// warningInterval is the shortest time between logged failures of control-plane calls. The counters include every failure.
	warningInterval = 10 * time.Second
)

// subscriberHost is the part of the proxy that a configSubscriber depends on.
type subscriberHost interface {
	placementHost
	applyConfig(settings balancer.Settings, loadIsLatency bool, table *routing.Table)
	// formerTableInUse reports whether any open request was routed by a table that is no longer active.
	formerTableInUse() bool
	heapLimit(recordMB int) uint64
	// resumeListeners accepts clients again unless a successor accepts them.
	resumeListeners()
	pauseListeners(paused bool)
}

// configSubscriber subscribes a proxy to its fleet's configuration. The lease client decides which version is active. The
// subscriber sends its renewals to the control plane and executes its other actions; the loader executes those for versions
// that are not active yet. A proxy without a fleet record has no subscriber.
type configSubscriber struct {
	host          subscriberHost
	loop          *evloop.Loop
	log           *logging.Logger
	listSource    *endpointListSource
	leases        *fleetconfig.LeaseClient
	controlPlane  *controlclient.Client
	counters      *metrics.Fleet
	memoryLimitMB int    // from the fleet record; 0: not set there
	mesh          string // the service mesh whose providers are used

	events             []fleetconfig.Event // queued for the lease client
	handling           bool                // handle is running
	timer              *evloop.Timer       // the next tick
	headroomReportedAt time.Duration       // 0: report at the next tick
	warnedAt           time.Duration       // 0: never

	active    preparedVersion // number 0: the configuration file's rules are active
	loader    versionLoader
	placement placementAuthorizer
	estimates estimateCheck

	listenersPaused bool // only the predecessor accepts clients until a version is active here
}

// joinFleet starts the subscription if the configuration has a fleet record.
func (p *Proxy) joinFleet(c *config.Config) {
	if c.Fleet == nil {
		return
	}
	p.fleet = newConfigSubscriber(p, p.listSource, c.Fleet, p.loop, p.log)
	p.counters.Fleet = p.fleet.counters
	p.log.Info("fleet: joining", zap.String("node", c.Fleet.Node), zap.Int("replicas", len(c.Fleet.ControlPlane)))
	p.loop.After(0, p.fleet.tick)
}

func newConfigSubscriber(host subscriberHost, source *endpointListSource, record *config.Fleet, loop *evloop.Loop, log *logging.Logger) *configSubscriber {
	incarnation := uint64(time.Now().UnixMicro()) // wall clock, so that a later process has a higher value
	counters := &metrics.Fleet{}
	cs := &configSubscriber{
		host:          host,
		loop:          loop,
		log:           log,
		listSource:    source,
		leases:        fleetconfig.NewLeaseClient(record.Node, incarnation, record.Terms),
		controlPlane:  controlclient.New(loop, record.ControlPlane, record.Node),
		counters:      counters,
		memoryLimitMB: record.MemoryMB,
		mesh:          record.Mesh,
	}
	cs.loader = versionLoader{host: cs, loop: loop, log: log, controlPlane: cs.controlPlane, counters: counters}
	cs.placement = placementAuthorizer{host: host, loop: loop, leases: cs.leases, loader: &cs.loader, counters: counters}
	cs.placement.isConflicting = cs.placement.conflictsWithPrepared
	cs.estimates = estimateCheck{host: cs, loop: loop, log: log, counters: counters}
	return cs
}

// pauseUntilReady leaves accepting to the predecessor until a version is active in this process.
func (p *Proxy) pauseUntilReady() {
	if p.restart.predecessor != nil && p.starting() {
		p.fleet.listenersPaused = true
		p.listeners.pause(true)
	}
}

// starting reports whether this process has no usable configuration yet.
func (p *Proxy) starting() bool { return p.fleet != nil && p.fleet.placement.starting() }

func (p *Proxy) activeSettings() *balancer.Settings { return &p.settings }

func (p *Proxy) activeTable() *routing.Table { return p.pools.table }

func (p *Proxy) resumeListeners() {
	if !p.restart.successorServes() {
		p.listeners.pause(false)
	}
}

func (p *Proxy) formerTableInUse() bool {
	for _, s := range p.sessions.byID {
		if s.routedBy.table != nil && s.routedBy.table != p.pools.table {
			return true
		}
	}
	return false
}

// handle passes an event to the lease client and executes the resulting actions. Events raised by these actions are queued
// and handled before it returns.
func (cs *configSubscriber) handle(event fleetconfig.Event) {
	cs.events = append(cs.events, event)
	if cs.handling {
		return
	}
	cs.handling = true
	for len(cs.events) > 0 {
		next := cs.events[0]
		cs.events = cs.events[1:]
		for _, action := range cs.leases.Handle(cs.loop.Now(), next) {
			cs.execute(action)
		}
	}
	cs.events = nil
	cs.handling = false
	if cs.listenersPaused && !cs.placement.starting() {
		cs.listenersPaused = false
		cs.host.resumeListeners()
	}
}

// execute carries out one action of the lease client.
func (cs *configSubscriber) execute(action fleetconfig.Action) {
	switch action := action.(type) {
	case fleetconfig.SendRenewal:
		cs.renew(action)
	case fleetconfig.PrepareVersion:
		cs.loader.prepare(action)
	case fleetconfig.SwitchVersion:
		cs.switchTo(action.Number)
	case fleetconfig.DiscardVersion:
		cs.loader.discard(action.Number)
	case fleetconfig.SetTimer:
		cs.loop.Cancel(cs.timer)
		cs.timer = cs.loop.After(action.At-cs.loop.Now(), cs.tick)
	case fleetconfig.StatusChanged:
		level := zap.WarnLevel
		if action.State == fleetconfig.Leased || action.State == fleetconfig.Draining {
			level = zap.InfoLevel
		}
		cs.log.Log(level, "fleet: lease state changed", zap.String("state", string(action.State)),
			zap.String("reason", action.Description))
	}
}

// renew sends a lease renewal to the control plane.
func (cs *configSubscriber) renew(action fleetconfig.SendRenewal) {
	cs.counters.Renewals++
	onAnswer := func(lease fleetconfig.Lease, sentAt time.Duration, err error) {
		if err != nil {
			cs.counters.RenewalFailures++
			cs.warn("fleet: lease renewal failed", zap.Error(err))
			cs.listSource.onRenewalFailed()
			cs.handle(fleetconfig.RenewalFailed{Seq: action.Renewal.Seq})
			return
		}
		cs.listSource.onLeaseGranted(lease.ListNumber)
		cs.handle(fleetconfig.LeaseGranted{Lease: lease, SentAt: sentAt})
	}
	cs.controlPlane.Renew(action.Renewal, action.Attempt, action.Timeout, onAnswer)
}

// tick passes the time to the lease client, and the memory headroom every headroomInterval.
func (cs *configSubscriber) tick() {
	now := cs.loop.Now()
	if cs.headroomReportedAt == 0 || now-cs.headroomReportedAt >= headroomInterval {
		cs.headroomReportedAt = now
		cs.handle(fleetconfig.HeadroomChanged{Headroom: fleetconfig.MemoryHeadroom{
			Limit: cs.heapLimit(),
			InUse: liveHeapBytes() / headroomUnitBytes * headroomUnitBytes,
		}})
	}
	cs.handle(fleetconfig.Tick{})
}

// warn logs a failed call to the control plane, at most once per warningInterval.
func (cs *configSubscriber) warn(message string, fields ...zap.Field) {
	now := cs.loop.Now()
	if cs.warnedAt == 0 || now-cs.warnedAt >= warningInterval {
		cs.warnedAt = now
		cs.log.Warn(message, fields...)
	}
}

func (cs *configSubscriber) heapLimit() uint64 { return cs.host.heapLimit(cs.memoryLimitMB) }

// loaderInput returns the state of this process that the preparation of a version depends on.
func (cs *configSubscriber) loaderInput() loaderInput {
	return loaderInput{
		activeTable:    cs.host.activeTable(),
		activeEstimate: cs.active.estimate,
		locality:       configbundle.Locality{Zone: cs.host.activeSettings().Zone, Mesh: cs.mesh},
	}
}

// switchTo makes the prepared version active within one turn of the event loop.
func (cs *configSubscriber) switchTo(number uint64) {
	prepared := cs.loader.takePrepared(number)
	if prepared == nil {
		// The lease client rejects requests until the version is prepared.
		cs.log.Warn("fleet: active version is not prepared here", zap.Uint64("version", number))
		return
	}
	settings := withNodeIdentity(prepared.settings, cs.host.activeSettings())
	cs.active = *prepared
	cs.log.Info("fleet: version active", zap.Uint64("version", number))
	cs.host.applyConfig(settings, prepared.loadIsLatency, prepared.table)
	cs.estimates.schedule(number)
}

// soleVersionInMemory returns the active version. ok is false while another version is also in memory, because the live heap
// then says nothing about the active one.
func (cs *configSubscriber) soleVersionInMemory() (version *preparedVersion, ok bool) {
	return &cs.active, cs.loader.isEmpty()
}

func (cs *configSubscriber) formerTableInUse() bool { return cs.host.formerTableInUse() }

// startDrain notifies the control plane that this process accepts no new requests.
func (cs *configSubscriber) startDrain() { cs.handle(fleetconfig.StartDrain{}) }

// onPredecessorExit resumes the listeners even without an active version, so that clients at least get a retry time.
func (cs *configSubscriber) onPredecessorExit() {
	if cs.listenersPaused {
		cs.listenersPaused = false
		cs.host.pauseListeners(false)
	}
}

// reload applies the fleet record of a reloaded configuration.
func (cs *configSubscriber) reload(record *config.Fleet) {
	cs.controlPlane.SetReplicas(record.ControlPlane)
	cs.memoryLimitMB = record.MemoryMB
	cs.mesh = record.Mesh
	cs.headroomReportedAt = 0
}

// hasActiveVersion reports whether a version of the fleet's configuration has replaced the rules of the configuration file.
func (cs *configSubscriber) hasActiveVersion() bool { return cs.active.number != 0 }

// appendMetrics appends the telemetry text of the subscription, its list source and the active version's catalog.
func (cs *configSubscriber) appendMetrics(out []byte) []byte {
	out = cs.counters.AppendMetrics(out, cs.leases.Status(cs.loop.Now()))
	out = cs.listSource.appendMetrics(out)
	return append(out, cs.active.catalogMetrics...)
}
