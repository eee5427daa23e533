// Package proxy relays clients' long-lived connections to upstream endpoints. Command micafront runs one Proxy.
//
// One event loop owns all state, the load balancers of package balancer included: there are no locks, nothing blocks,
// and the clock is read once a turn. Functions run on the loop unless they say otherwise.
//
// A request passes these stages, each in a file: accept.go reads it, admission.go checks the limits, route.go picks a
// pool, dispatch.go hands events to the pool's balancer and executes its actions, attempt.go sends the request to an
// endpoint, relay.go passes messages once the connection is established, and accounting.go records the outcomes.
//
// Beside the requests, pool_*.go keep the pools by the routing table, endpoint_list.go and endpoint.go the endpoints;
// lifecycle.go decides when a stop does what and shutdown.go does it; hotrestart_*.go are the handover between two
// processes; config_subscriber.go, version_*.go and placement.go are a proxy's part in a fleet.
//
// Each request is answered at most once. A client is told to retry only where a repeat cannot execute the request twice
// (retry.go), and an attempt whose first message has not been written in full counts as never executed.
package proxy

import (
	"fmt"
	"io"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/admin"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/metrics"
)

// Proxy is one running proxy. Its parts are types of their own; one that needs more of the proxy than the loop, the log and
// the counters says what by an interface (drainHost, restartHost and so on) that Proxy implements.
type Proxy struct {
	loop     *evloop.Loop
	log      *logging.Logger
	protocol Protocol
	counters metrics.Counters
	turns    turnObserver
	reasons  metrics.Reasons

	settings       balancer.Settings
	droppedClasses map[string]balancer.Class // no longer in the settings, but of connections that are still open
	loadIsLatency  bool                      // endpoints' load messages hold milliseconds a message
	memoryLimitMB  int                       // 0: no limit

	listeners   listenerSet
	adminServer *admin.Server // nil: the configuration names no address for it
	limits      descriptorLimit
	idle        idleConns

	pools           poolSet
	events          eventQueue // of the pools' balancers
	discoveryClient *discovery.Client
	fleet           *configSubscriber   // nil: the configuration file alone applies
	listSource      *endpointListSource // nil: the endpoint list is service discovery's alone

	sessions   sessionTable
	endpoints  endpointTable
	startTimes startTimes
	latency    latencyTracker

	loadQueries loadQueryQueue

	restart hotRestart
	drainer drainer
}

// New makes a proxy that listens but does not run yet. Where a process of the same name serves at the same address, its
// listeners and state are taken over.
func New(c *config.Config, log *logging.Logger) (*Proxy, error) {
	loop, err := evloop.New()
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	p := newProxy(c, loop, log)
	if err := p.pools.init(c.Routes, c.Seed); err != nil {
		return nil, err
	}
	handover := p.restart.requestHandover(c)
	if err := handover.continueClock(loop); err != nil {
		return nil, err
	}
	p.discoveryClient = p.newDiscoveryClient(c)
	p.startListSource(c)
	p.setGCMemoryLimit()
	if err := p.listeners.open(loop, p, c, handover.listeners); err != nil {
		return nil, err
	}
	if c.AdminAddr != "" {
		if p.adminServer, err = admin.Listen(loop, c.AdminAddr, p); err != nil {
			return nil, err
		}
	}
	p.registerOutcomes()
	p.startBalancers(c, handover.state)
	p.sweep()
	p.joinFleet(c) // before the predecessor hears that this process serves
	p.restart.linkPredecessor(handover)
	p.pauseUntilReady()
	p.restart.offerHandover()
	return p, nil
}

// newProxy makes the state that needs neither sockets nor peers.
func newProxy(c *config.Config, loop *evloop.Loop, log *logging.Logger) *Proxy {
	p := &Proxy{
		loop:           loop,
		log:            log,
		protocol:       LineProtocol{},
		settings:       c.Settings,
		droppedClasses: map[string]balancer.Class{},
		loadIsLatency:  c.LoadIsLatency,
		memoryLimitMB:  c.MemoryMB,
		sessions:       newSessionTable(),
		endpoints:      endpointTable{},
		latency:        newLatencyTracker(),
		startTimes:     newStartTimes(loop.WallClock),
	}
	p.turns = turnObserver{log: log, endpoints: p.endpoints}
	loop.Observe(&p.turns)
	p.restart = hotRestart{host: p, loop: loop, log: log}
	p.drainer = drainer{host: p, loop: loop}
	p.limits = descriptorLimit{max: c.MaxDescriptors, loop: loop, peers: &p.restart}
	p.idle = idleConns{limits: &p.limits, counters: &p.counters}
	p.loadQueries = loadQueryQueue{loop: loop, begin: p.queryLoad}
	p.events = eventQueue{loop: loop, executor: p}
	p.pools = poolSet{
		settings: p,
		events:   &p.events,
		loop:     loop,
		log:      log,
		counters: &p.counters,
		sessions: &p.sessions,
	}
	return p
}

func (p *Proxy) newDiscoveryClient(c *config.Config) *discovery.Client {
	return &discovery.Client{
		Loop:          p.loop,
		Addr:          c.Discovery,
		Generation:    c.KnownEndpoints.Generation,
		SeenEndpoints: len(c.KnownEndpoints.Instances) > 0,
		OnList:        p.onList,
		OnFailure:     p.onListFailure,
		OnNotice:      func(err error) { p.warnDiscovery("discovery: watch replaced by its standby", err) },
		Seed:          c.Seed,
		PollInterval:  c.Settings.Rules.DiscoveryInterval,
	}
}

// Addr is the address of the main listener.
func (p *Proxy) Addr() string { return p.listeners.main.Addr() }

// ExtraListenerAddrs are the addresses of the extra listeners by name.
func (p *Proxy) ExtraListenerAddrs() map[string]string { return p.listeners.extraAddrs() }

// AdminAddr is the address of the admin server, or "" if there is none.
func (p *Proxy) AdminAddr() string {
	if p.adminServer == nil {
		return ""
	}
	return p.adminServer.Addr()
}

// Run serves until the proxy has stopped.
func (p *Proxy) Run() error { return p.loop.Run() }

// WriteCounters writes the counters to w. It may be called from any goroutine while the proxy runs.
func (p *Proxy) WriteCounters(w io.Writer) error { return p.loop.Post(func() { p.writeCounters(w) }) }

func (p *Proxy) writeCounters(w io.Writer) {
	p.counters.OpenConnections = metrics.Counter(len(p.sessions.established))
	p.counters.WriteLine(w)
	p.turns.loopMetrics.WritePairs(w)
	p.reasons.WritePairs(w)
	fmt.Fprintln(w)
}
