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
	// controlPlaneWatchTimeout is how long a watch at a control-plane replica may be silent before it counts as lost.
	// Replicas send an empty line every 2 s.
	controlPlaneWatchTimeout = 3500 * time.Millisecond
	// failoverDeadline bounds the time from the moment a watch becomes unresponsive until the next source, including service
	// discovery, has been requested.
	failoverDeadline = 6 * time.Second
	// A negative constant does not convert to uint64, so the build fails if the timeouts exceed the deadline.
	_ = uint64(failoverDeadline - controlPlaneWatchTimeout - endpointlist.FailoverTimeout)
)

// controlPlaneTimes are the timeouts of calls to control-plane replicas. They leave time to try another replica before
// service discovery. StandbyAfter exceeds WatchTimeout, so no standby watch is started at an unresponsive replica: the
// replicas are requested in turn instead.
var controlPlaneTimes = discovery.Times{
	CallTimeout:  time.Second,
	StandbyAfter: 2 * controlPlaneWatchTimeout,
	Jitter:       time.Second,
	WatchTimeout: controlPlaneWatchTimeout,
}

// onList applies a whole endpoint list or a delta.
func (p *Proxy) onList(list discovery.List, kind balancer.ListKind) {
	p.loop.SetTurnCause(turnEndpointList)
	p.log.Info("endpoint list", zap.Int64("generation", list.Generation), zap.Bool("whole", kind != balancer.DeltaList),
		zap.Int("entries", len(list.Instances)))
	p.updateEndpoints(&list, kind)
	p.pools.applyList(&list, kind)
}

// updateEndpoints applies a list to the endpoint table, and converts the list's start times to the loop's clock.
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

// listHost is the part of the proxy that an endpointListSource depends on.
type listHost interface {
	// onList applies a list.
	onList(list discovery.List, kind balancer.ListKind)
	// onListFailure handles a failed call to service discovery.
	onListFailure(err error)
	// warnControlPlane logs a failed call to the control plane, at most once per warningInterval.
	warnControlPlane(message string, fields ...zap.Field)
}

// endpointListSource selects where a proxy in a fleet gets its endpoint list from: a control-plane replica or service
// discovery. The selector decides, and the endpointListSource points the discovery client there. It also retries calls that
// fail at a replica, because the balancers' backoff is meant for service discovery. A proxy without a fleet record has none.
type endpointListSource struct {
	host           listHost
	loop           *evloop.Loop
	client         *discovery.Client
	selector       *endpointlist.SourceSelector
	replicas       []string // addresses
	discoveryAddr  string
	proxyCounters  *metrics.Counters
	counters       metrics.EndpointListSource
	leaseDuration  time.Duration // from the fleet record
	leaseGrantedAt time.Duration
	callFailed     bool // whether the last call to the current source failed
	timer          *evloop.Timer
}

// startListSource makes the proxy request the endpoint list from the control plane if the configuration has a fleet record.
// The generation restarts at 0 because list numbers of the control plane and generations of service discovery are not
// comparable.
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

// reloadListSource applies the addresses of service discovery and the control plane from a reloaded configuration.
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

// update points the discovery client at the selected source, and sets a timer for the next time-driven change of the
// selection.
func (l *endpointListSource) update() {
	l.loop.Cancel(l.timer)
	l.timer = nil
	if nextTick := l.selector.NextTick(); nextTick != 0 {
		l.timer = l.loop.After(nextTick-l.loop.Now(), func() {
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

// onList applies a list. Until the new source answers, the list may still come from the watch at the former address and
// does not count as an answer of the new source.
func (l *endpointListSource) onList(list discovery.List, kind balancer.ListKind) {
	if l.client.HasSynced() {
		l.callFailed = false
		l.selector.UpdateReceived(l.loop.Now())
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
	cause := errors.Unwrap(err) // drops the prefix that names service discovery
	l.host.warnControlPlane("fleet: endpoint list call failed", zap.String("replica", l.client.Addr), zap.Error(cause))
	l.callFailed = true
	l.selector.CallFailed(l.loop.Now())
	l.update()
}

// onLeaseGranted records the number of the control plane's list, which each lease carries.
func (l *endpointListSource) onLeaseGranted(listNumber uint64) {
	l.leaseGrantedAt = l.loop.Now()
	l.counters.ListNumber = listNumber
	l.selector.LeaseGranted(l.leaseGrantedAt, listNumber)
	l.update()
}

// onRenewalFailed notifies the selector if the lease has expired.
func (l *endpointListSource) onRenewalFailed() {
	if now := l.loop.Now(); now-l.leaseGrantedAt >= l.leaseDuration {
		l.selector.LeaseExpired(now)
		l.update()
	}
}

// appendMetrics appends the telemetry text of the list source.
func (l *endpointListSource) appendMetrics(out []byte) []byte {
	return l.counters.AppendMetrics(out, l.selector.Current())
}
