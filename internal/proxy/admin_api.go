package proxy

import "example.org/micafront/internal/metrics"

// This file implements admin.Proxy.

// Ready reports whether this process accepts clients and has a configuration to act on.
func (p *Proxy) Ready() bool { return p.drainer.accepting() && !p.starting() }

// Telemetry returns all metrics, a name=value line each.
func (p *Proxy) Telemetry() []byte {
	p.loop.NameTurn(turnTelemetry)
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

// Evacuate migrates clients away; those that come all the same are served. It may be called again.
func (p *Proxy) Evacuate() {
	if p.drainer.evacuate(p.loop.Now()) {
		p.drainer.start()
	}
}

// Rejoin ends an evacuation. A stop that has begun goes on.
func (p *Proxy) Rejoin() {
	if p.drainer.rejoin() {
		p.drainer.cancel()
	}
}

// LogLevel returns the least severe level that is logged.
func (p *Proxy) LogLevel() string { return p.log.Level() }

// SetLogLevel sets the least severe level that is logged: debug, info, warn or error.
func (p *Proxy) SetLogLevel(name string) error { return p.log.SetLevel(name) }
