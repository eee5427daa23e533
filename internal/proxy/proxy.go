// Package proxy relays clients' long-lived connections to upstream endpoints. Command micafront runs one Proxy.
//
// One event loop owns all state, including the load balancers of package balancer. There are no locks, nothing blocks, and
// the clock is read once per turn. Functions run on the loop unless their comments say otherwise.
//
// A request passes through these stages, each in its own file: accept.go reads it, admission.go checks the limits,
// route.go picks a pool, dispatch.go hands events to the pool's balancer and executes its actions, attempt.go sends the
// request to an endpoint, relay.go passes messages once the connection is established, and accounting.go records the
// outcomes.
//
// The other files maintain the state that requests depend on: pool_*.go the pools of the routing table, endpoint_list.go and
// endpoint.go the endpoints. shutdown.go executes the steps of a stop, which package lifecycle schedules. hotrestart_*.go hand
// over from one process to the next. config_subscriber.go, version_*.go and placement.go implement membership in a fleet.
//
// Each request is answered at most once. The answer asks the client to retry only if a repeat cannot execute the request twice
// (retry.go). An attempt whose first message has not been written in full counts as never executed.
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

// Proxy is one running proxy. It consists of components with separate types. A component that depends on more of the proxy than
// the loop, the log and the counters declares an interface for it (drainHost, restartHost and so on), which Proxy implements.
type Proxy struct {
	loop     *evloop.Loop
	log      *logging.Logger
	protocol Protocol
	counters metrics.Counters
	turns    turnObserver
	reasons  metrics.Reasons

	settings       balancer.Settings
	droppedClasses map[string]balancer.Class // removed from the settings, but used by open connections
	loadIsLatency  bool                      // endpoints' load messages report milliseconds per message
	memoryLimitMB  int                       // 0: no limit

	listeners   listenerSet
	adminServer *admin.Server // nil: the configuration has no admin address
	limits      descriptorLimit
	idle        idleConns

	pools           poolSet
	events          eventQueue // of the pools' balancers
	discoveryClient *discovery.Client
	fleet           *configSubscriber   // nil: not in a fleet; only the configuration file applies
	listSource      *endpointListSource // nil: only service discovery supplies the endpoint list

	sessions   sessionTable
	endpoints  endpointTable
	startTimes startTimes
	latency    latencyTracker

	loadQueries loadQueryQueue

	restart hotRestart
	drainer drainer
}

// New returns a proxy that listens but does not run yet. If a process with the same name serves at the same address, New takes
// over its listeners and state. It fails if the event loop, a balancer or a socket cannot be set up.
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
	p.joinFleet(c) // before the predecessor is notified that this process serves
	p.restart.linkPredecessor(handover)
	p.pauseUntilReady()
	p.restart.offerHandover()
	return p, nil
}

// newProxy creates the part of the proxy that needs neither sockets nor peers.
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
	loop.SetObserver(&p.turns)
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
		Generation:    c.InitialEndpoints.Generation,
		SeenEndpoints: len(c.InitialEndpoints.Instances) > 0,
		OnList:        p.onList,
		OnFailure:     p.onListFailure,
		OnNotice:      func(err error) { p.warnDiscovery("discovery: watch replaced by its standby", err) },
		Seed:          c.Seed,
		PollInterval:  c.Settings.Rules.DiscoveryInterval,
	}
}

// Addr returns the address of the main listener.
func (p *Proxy) Addr() string { return p.listeners.main.Addr() }

// ExtraListenerAddrs returns the addresses of the extra listeners by name.
func (p *Proxy) ExtraListenerAddrs() map[string]string { return p.listeners.extraAddrs() }

// AdminAddr returns the address of the admin server, or "" if there is none.
func (p *Proxy) AdminAddr() string {
	if p.adminServer == nil {
		return ""
	}
	return p.adminServer.Addr()
}

// Run serves until the proxy has stopped. It returns the error of the event loop, if any.
func (p *Proxy) Run() error { return p.loop.Run() }

// WriteCounters writes the counters to w in a later turn of the event loop. It may be called from any goroutine while the proxy
// runs; its error is that of evloop.Loop.Post.
func (p *Proxy) WriteCounters(w io.Writer) error { return p.loop.Post(func() { p.writeCounters(w) }) }

func (p *Proxy) writeCounters(w io.Writer) {
	p.counters.OpenConnections = metrics.Counter(len(p.sessions.established))
	p.counters.WriteLine(w)
	p.turns.loopMetrics.WritePairs(w)
	p.reasons.WritePairs(w)
	fmt.Fprintln(w)
}
