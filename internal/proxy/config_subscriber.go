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
	// headroomInterval is how often the control plane is sent this node's memory headroom.
	headroomInterval = 5 * time.Second
	// headroomUnitBytes is what the memory in use is rounded down to: smaller changes are not worth an event.
	headroomUnitBytes = 1 << 20
	// warningInterval is how often failures of calls to the control plane are logged; the counters have each of them.
	warningInterval = 10 * time.Second
)

// subscriberHost is what a configSubscriber needs of the proxy.
type subscriberHost interface {
	placementHost
	applyConfig(settings balancer.Settings, loadIsLatency bool, table *routing.Table)
	// formerTableInUse reports whether a request is left that was routed by a table that is no longer active.
	formerTableInUse() bool
	heapLimit(recordMB int) uint64
	// resumeListeners accepts clients again, unless a successor does.
	resumeListeners()
	pauseListeners(paused bool)
}

// configSubscriber is a proxy's subscription to its fleet's configuration. The lease client decides which version is
// active; here its renewals are sent to the control plane and its other actions are executed, by the loader where they
// concern versions that are not active yet. A proxy without a fleet record has none.
type configSubscriber struct {
	host          subscriberHost
	loop          *evloop.Loop
	log           *logging.Logger
	listSource    *endpointListSource
	leases        *fleetconfig.LeaseClient
	controlPlane  *controlclient.Client
	counters      *metrics.Fleet
	memoryLimitMB int    // of the fleet record; 0: it names none
	mesh          string // whose providers of services are used

	events             []fleetconfig.Event // for the lease client, that wait
	handling           bool                // an event is being handled
	timer              *evloop.Timer       // the next tick
	headroomReportedAt time.Duration       // 0: it is due
	warnedAt           time.Duration       // 0: never

	active    preparedVersion // number 0: the configuration file's rules are active
	loader    versionLoader
	placement placementAuthorizer
	estimates estimateCheck

	listenersPaused bool // accepting is left to the predecessor until there is a version to act on
}

// joinFleet starts the subscription, where the configuration has a fleet record.
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
	incarnation := uint64(time.Now().UnixMicro()) // by the wall clock, so that a later process has a higher one
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

// pauseUntilReady leaves accepting to the predecessor for as long as there is no version to act on here.
func (p *Proxy) pauseUntilReady() {
	if p.restart.predecessor != nil && p.starting() {
		p.fleet.listenersPaused = true
		p.listeners.pause(true)
	}
}

// starting reports whether this process has no configuration to act on yet.
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
		if s.table != nil && s.table != p.pools.table {
			return true
		}
	}
	return false
}

// handle hands an event to the lease client and executes its actions. Events that come up meanwhile are queued.
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

// execute executes an action of the lease client.
func (cs *configSubscriber) execute(action fleetconfig.Action) {
	switch action := action.(type) {
	case fleetconfig.SendRenewal:
		cs.renew(action)
	case fleetconfig.Prepare:
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

// tick has the lease client see the time, and the memory headroom where it has not seen that for a while.
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

// warn logs a failure of a call to the control plane, once in warningInterval at most.
func (cs *configSubscriber) warn(message string, fields ...zap.Field) {
	now := cs.loop.Now()
	if cs.warnedAt == 0 || now-cs.warnedAt >= warningInterval {
		cs.warnedAt = now
		cs.log.Warn(message, fields...)
	}
}

func (cs *configSubscriber) heapLimit() uint64 { return cs.host.heapLimit(cs.memoryLimitMB) }

// loaderInput is what the preparation of a version depends on here.
func (cs *configSubscriber) loaderInput() loaderInput {
	return loaderInput{
		activeTable:    cs.host.activeTable(),
		activeEstimate: cs.active.estimate,
		place:          configbundle.Place{Zone: cs.host.activeSettings().Zone, Mesh: cs.mesh},
	}
}

// switchTo makes the prepared version the active one, in one turn.
func (cs *configSubscriber) switchTo(number uint64) {
	prepared := cs.loader.takePrepared(number)
	if prepared == nil {
		// The lease client rejects requests until the version has been prepared.
		cs.log.Warn("fleet: active version is not prepared here", zap.Uint64("version", number))
		return
	}
	settings := withNodeIdentity(prepared.settings, cs.host.activeSettings())
	cs.active = *prepared
	cs.log.Info("fleet: version active", zap.Uint64("version", number))
	cs.host.applyConfig(settings, prepared.loadIsLatency, prepared.table)
	cs.estimates.schedule(number)
}

// soleVersionInMemory is the version that the live heap can be compared with: the active one, where nothing of another one
// is alive.
func (cs *configSubscriber) soleVersionInMemory() (version *preparedVersion, ok bool) {
	return &cs.active, cs.loader.isEmpty()
}

func (cs *configSubscriber) formerTableInUse() bool { return cs.host.formerTableInUse() }

// startDrain tells the control plane that this process accepts nothing new any more.
func (cs *configSubscriber) startDrain() { cs.handle(fleetconfig.StartDrain{}) }

// onPredecessorExit accepts clients again, who are at least told when to retry.
func (cs *configSubscriber) onPredecessorExit() {
	if cs.listenersPaused {
		cs.listenersPaused = false
		cs.host.pauseListeners(false)
	}
}

// reload applies the fleet record of a configuration that was read again.
func (cs *configSubscriber) reload(record *config.Fleet) {
	cs.controlPlane.SetReplicas(record.ControlPlane)
	cs.memoryLimitMB = record.MemoryMB
	cs.mesh = record.Mesh
	cs.headroomReportedAt = 0
}

// hasActiveVersion reports whether a version of the fleet's configuration has replaced the file's rules.
func (cs *configSubscriber) hasActiveVersion() bool { return cs.active.number != 0 }

// appendMetrics appends the telemetry text.
func (cs *configSubscriber) appendMetrics(out []byte) []byte {
	out = cs.counters.AppendMetrics(out, cs.leases.Status(cs.loop.Now()))
	out = cs.listSource.appendMetrics(out)
	return append(out, cs.active.catalogMetrics...)
}
