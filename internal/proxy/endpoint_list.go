package proxy

import (
	"errors"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// controlPlaneWatchTimeout is when a watch at a control-plane replica counts as lost. Replicas send an empty line
	// every 2 s.
	controlPlaneWatchTimeout = 3500 * time.Millisecond
	// failoverDeadline is how long after a watch has become unresponsive its successor, even at service discovery, must
	// have been asked.
	failoverDeadline = 6 * time.Second
	// A negative value does not convert, so that the build fails where the deadline cannot be kept.
	_ = uint64(failoverDeadline - controlPlaneWatchTimeout - endpointlist.FailoverTimeout)
)

// controlPlaneTimes are those of calls to control-plane replicas, which leave time to ask another replica before service
// discovery. No second watch is started beside an unresponsive one: another replica is asked, and this one in its turn.
var controlPlaneTimes = discovery.Times{
	CallTimeout:     time.Second,
	WatchProbeAfter: 2 * controlPlaneWatchTimeout,
	Jitter:          time.Second,
	WatchTimeout:    controlPlaneWatchTimeout,
}

// onList applies a new endpoint list, or changes of it.
func (p *Proxy) onList(list discovery.List, kind balancer.ListKind) {
	p.loop.NameTurn(turnEndpointList)
	p.log.Info("endpoint list", zap.Int64("generation", list.Generation), zap.Bool("whole", kind != balancer.DeltaList),
		zap.Int("entries", len(list.Instances)))
	p.updateEndpoints(&list, kind)
	p.pools.applyList(&list, kind)
}

// updateEndpoints brings the table of endpoints up to a list, and the list's start times to the loop's clock.
func (p *Proxy) updateEndpoints(list *discovery.List, kind balancer.ListKind) {
	if kind == balancer.DeltaList {
		p.counters.DeltaLists++
	} else {
		p.counters.FullLists++
	}
	sequence := listSequence(p.counters.DeltaLists + p.counters.FullLists)
	announced := p.startTimes.convert(list, p.endpoints, p.loop.Now())
	p.endpoints.apply(list, announced, kind, p.loop.Now(), sequence)
}

// onListFailure reports a failed call for the list to the discovery pool's balancer, the only one that retries it.
func (p *Proxy) onListFailure(err error) {
	p.counters.ListFailures++
	if errors.Is(err, discovery.ErrInvalidList) {
		p.counters.MalformedLists++
	}
	p.warnDiscovery("discovery: call failed", err)
	p.events.handle(p.pools.discoveryPool, balancer.EndpointUpdate{Kind: balancer.ListFailed})
}

// warnDiscovery logs a message with the parts of a discovery.CallError as fields.
func (p *Proxy) warnDiscovery(message string, err error) {
	var call *discovery.CallError
	if !errors.As(err, &call) {
		p.log.Warn(message, zap.Error(err))
		return
	}
	fields := []zap.Field{
		zap.Error(call.Err),
		zap.String("address", call.Addr),
		zap.String("path", call.Path),
		zap.Int("object", call.Object),
		zap.Int("pending_bytes", call.PendingBytes),
	}
	if call.Replaced != nil {
		fields = append(fields, zap.NamedError("replaced", call.Replaced))
	}
	p.log.Warn(message, fields...)
}

// listHost is what an endpointListSource needs of the proxy.
type listHost interface {
	// onList applies a list.
	onList(list discovery.List, kind balancer.ListKind)
	// onListFailure handles a failed call to service discovery.
	onListFailure(err error)
	// warnControlPlane logs a failed call to the control plane, not too often.
	warnControlPlane(message string, fields ...zap.Field)
}

// endpointListSource is where a proxy in a fleet has its endpoint list from: a control-plane replica or service
// discovery. The selector decides which; here the discovery client is pointed there. What fails at a replica is asked for
// again from here, since the balancers' backoff is meant for service discovery. A proxy without a fleet record has none.
type endpointListSource struct {
	host           listHost
	loop           *evloop.Loop
	client         *discovery.Client
	selector       *endpointlist.SourceSelector
	replicas       []string // addresses
	discoveryAddr  string
	proxyCounters  *metrics.Counters
	counters       metrics.EndpointListSource
	leaseDuration  time.Duration // by the fleet record
	leaseGrantedAt time.Duration
	callFailed     bool // the last call at the current source
	timer          *evloop.Timer
}

// startListSource has the proxy ask the control plane for the endpoint list, where the configuration has a fleet record.
// Its list numbers do not compare with the generations of service discovery.
func (p *Proxy) startListSource(c *config.Config) {
	if c.Fleet == nil {
		return
	}
	l := &endpointListSource{
		host:          p,
		loop:          p.loop,
		client:        p.discoveryClient,
		selector:      endpointlist.NewSourceSelector(len(c.Fleet.ControlPlane), xxhash.Sum64String(c.Fleet.Node)),
		replicas:      slices.Clone(c.Fleet.ControlPlane),
		discoveryAddr: c.Discovery,
		proxyCounters: &p.counters,
		leaseDuration: c.Fleet.Terms.LeaseDuration(),
	}
	p.listSource = l
	l.client.Addr = l.replicas[l.selector.Current()]
	l.client.Generation = 0
	l.client.OnList = l.onList
	l.client.OnFailure = l.onFailure
	l.selector.Tick(l.loop.Now())
	l.update()
}

// reloadListSource applies the addresses of service discovery and of the control plane of a configuration that was read
// again.
func (p *Proxy) reloadListSource(c *config.Config) {
	l := p.listSource
	if l == nil {
		p.discoveryClient.SetAddress(c.Discovery)
		return
	}
	l.discoveryAddr = c.Discovery
	if c.Fleet != nil {
		l.replicas = slices.Clone(c.Fleet.ControlPlane)
		l.selector.SetReplicaCount(len(l.replicas))
	}
	l.update()
}

func (p *Proxy) warnControlPlane(message string, fields ...zap.Field) {
	p.fleet.warn(message, fields...)
}

// update points the discovery client at the selected source, and comes back when the selection may change by time alone.
func (l *endpointListSource) update() {
	l.loop.Cancel(l.timer)
	l.timer = nil
	if due := l.selector.Due(); due != 0 {
		l.timer = l.loop.After(due-l.loop.Now(), func() {
			l.selector.Tick(l.loop.Now())
			l.update()
		})
	}
	if l.selector.Paused() {
		return
	}
	addr := l.discoveryAddr
	times := discovery.DefaultTimes
	if replica := l.selector.Current(); replica != endpointlist.Discovery {
		addr = l.replicas[replica]
		times = controlPlaneTimes
	}
	callFailed := l.callFailed
	l.callFailed = false
	l.client.Times = times
	if addr != l.client.Addr {
		l.counters.Switches++
		l.client.SetAddress(addr)
	} else if callFailed {
		l.client.Watch(true)
	}
}

// onList applies a list. It may still come from the watch at the former address, until the new one answers; that says
// nothing of the new source.
func (l *endpointListSource) onList(list discovery.List, kind balancer.ListKind) {
	if l.client.Contacted() {
		l.callFailed = false
		l.selector.ObjectReceived(l.loop.Now())
		l.update()
	}
	l.host.onList(list, kind)
}

func (l *endpointListSource) onFailure(err error) {
	if l.selector.Current() == endpointlist.Discovery {
		l.host.onListFailure(err)
		return
	}
	l.counters.ControlPlaneFailures++
	if errors.Is(err, discovery.ErrInvalidList) {
		l.proxyCounters.MalformedLists++
	}
	cause := errors.Unwrap(err) // without the name of service discovery
	l.host.warnControlPlane("fleet: endpoint list call failed", zap.String("replica", l.client.Addr), zap.Error(cause))
	l.callFailed = true
	l.selector.CallFailed(l.loop.Now())
	l.update()
}

// onLeaseGranted takes the number of the control plane's list, which each lease carries.
func (l *endpointListSource) onLeaseGranted(listNumber uint64) {
	l.leaseGrantedAt = l.loop.Now()
	l.counters.ListNumber = listNumber
	l.selector.LeaseGranted(l.leaseGrantedAt, listNumber)
	l.update()
}

// onRenewalFailed tells the selector when the lease has expired.
func (l *endpointListSource) onRenewalFailed() {
	if now := l.loop.Now(); now-l.leaseGrantedAt >= l.leaseDuration {
		l.selector.LeaseExpired(now)
		l.update()
	}
}

// appendMetrics appends the telemetry text.
func (l *endpointListSource) appendMetrics(out []byte) []byte {
	return l.counters.AppendMetrics(out, l.selector.Current())
}
