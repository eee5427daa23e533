package proxy

import "example.org/micafront/internal/metrics"

// The methods below implement admin.Proxy.

// Ready reports whether this process accepts clients and has a usable configuration.
func (p *Proxy) Ready() bool { return p.drainer.Accepting() && !p.starting() }

// Telemetry returns all metrics, one name=value line per metric.
func (p *Proxy) Telemetry() []byte {
	p.loop.SetTurnCause(turnTelemetry)
	out := p.counters.AppendMetrics(nil, metrics.Gauges{
		Pending:              len(p.sessions.byID),
		Endpoints:            len(p.endpoints),
		EndpointsUnavailable: p.pools.unavailableEndpoints(),
	})
	out = p.pools.appendMetrics(out, p.endpoints)
	if p.fleet != nil {
		out = p.fleet.appendMetrics(out)
	}
	out = p.turns.loopMetrics.AppendMetrics(out)
	return p.reasons.AppendMetrics(out)
}

// Evacuate migrates clients to other proxies. Clients that connect anyway are served. Repeated calls have no effect.
func (p *Proxy) Evacuate() {
	if p.drainer.Evacuate(p.loop.Now()) {
		p.drainer.start()
	}
}

// Rejoin ends an evacuation. It does not cancel a stop that has begun.
func (p *Proxy) Rejoin() {
	if p.drainer.Rejoin() {
		p.drainer.cancel()
	}
}

// LogLevel returns the lowest severity that is logged.
func (p *Proxy) LogLevel() string { return p.log.Level() }

// SetLogLevel sets the lowest severity that is logged: debug, info, warn or error. Other names are an error.
func (p *Proxy) SetLogLevel(name string) error { return p.log.SetLevel(name) }
