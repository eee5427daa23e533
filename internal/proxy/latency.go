package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
)

// This file watches established connections: it closes those whose endpoint has become unresponsive or whose peer does
// not read, and reports endpoints' latencies to the balancers.

const (
	sweepInterval         = 250 * time.Millisecond
	latencyReportInterval = time.Second
	// selfReportWindow is how long after an endpoint's own report of its latency none is derived for it.
	selfReportWindow = latencyReportInterval * 3 / 2
	// A connection on which nothing comes back is closed within 7 s of its endpoint becoming unresponsive: clients send
	// every 2 s, the oldest unanswered message may be as old as this, and a sweep is due within sweepInterval.
	unresponsiveAfter = 4 * time.Second
	stalledTimeout    = 10 * time.Second
	// slowDivisor is the part of the shortest message objective, as a divisor, from which on an endpoint is slow.
	slowDivisor = 3
)

// latencyTracker is what latencies are derived from, beside the endpoints' own samples.
type latencyTracker struct {
	zoneFloor   map[string]time.Duration // the lowest latency seen in a zone, which is that of the network
	withSamples map[*endpoint]bool       // that have samples
	reportedAt  time.Duration
}

func newLatencyTracker() latencyTracker {
	return latencyTracker{zoneFloor: map[string]time.Duration{}, withSamples: map[*endpoint]bool{}}
}

func (t *latencyTracker) observe(e *endpoint, latency time.Duration) {
	t.addSample(e, latency)
	if floor, ok := t.zoneFloor[e.zone]; !ok || latency < floor {
		t.zoneFloor[e.zone] = latency
	}
}

func (t *latencyTracker) addSample(e *endpoint, latency time.Duration) {
	e.latency.samples = append(e.latency.samples, latency)
	t.withSamples[e] = true
}

// drainSampled returns the endpoints that have samples, by ID, and forgets which these are.
func (t *latencyTracker) drainSampled() []*endpoint {
	sampled := slices.SortedFunc(maps.Keys(t.withSamples), func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	clear(t.withSamples)
	return sampled
}

// medianLatency returns the median of an endpoint's samples less its zone's floor, and drops the samples.
func (t *latencyTracker) medianLatency(e *endpoint) time.Duration {
	slices.Sort(e.latency.samples)
	median := e.latency.samples[len(e.latency.samples)/2]
	e.latency.samples = e.latency.samples[:0]
	return max(median-t.zoneFloor[e.zone], 0)
}

// observeLatency takes the latency of a message that has been answered. Answers come in the order of the messages.
func (s *session) observeLatency() {
	if s.relay.unansweredSince == 0 {
		return
	}
	latency := s.proxy.loop.Now() - s.relay.unansweredSince
	s.relay.unansweredSince = 0
	s.proxy.latency.observe(s.attempt.endpoint, latency)
}

// sweep checks all established connections, every sweepInterval.
func (p *Proxy) sweep() {
	p.loop.After(sweepInterval, p.sweep)
	p.loop.OnceCaughtUp(p.checkConnections) // answers that wait to be read are no sign of an unresponsive endpoint
}

func (p *Proxy) checkConnections() {
	p.loop.NameTurn(turnSweep)
	now := p.loop.Now()
	for _, s := range slices.Clone(p.sessions.established) {
		if s.downstreamState() == stateRelaying { // else it was closed with one before it
			s.checkEstablished(now)
		}
	}
	if now-p.latency.reportedAt >= latencyReportInterval {
		p.latency.reportedAt = now
		p.reportLatencies(now)
	}
}

// checkEstablished migrates a connection whose endpoint is unresponsive or whose peer does not read.
func (s *session) checkEstablished(now time.Duration) {
	p := s.proxy
	outputWaits := s.downstream.Pending() > 0 || s.attempt.conn.Pending() > 0
	switch {
	case s.relay.unansweredSince != 0 && now-s.relay.unansweredSince >= unresponsiveAfter:
		p.counters.MigrationsUnresponsive++
		s.migrate(balancer.Reset)
	case !outputWaits:
		s.relay.stalledSince = 0
	case s.relay.stalledSince == 0:
		s.relay.stalledSince = now
	case now-s.relay.stalledSince >= stalledTimeout:
		p.counters.SlowPeers++
		s.migrate(balancer.Canceled) // where the endpoint is the slow peer, the client still reads
	}
}

// reportLatencies derives a latency report, as endpoints send them by themselves, from the relayed messages of those
// that do not, unresponsive ones above all. Each endpoint is reported whose messages take over a third of the shortest
// objective, and once more when they no longer do. The latency is the median of the samples since the last report, less
// the lowest latency of the endpoint's zone; unanswered messages count with their age.
func (p *Proxy) reportLatencies(now time.Duration) {
	objective := p.minMessageObjective()
	if objective == 0 {
		for _, e := range p.latency.drainSampled() {
			e.latency.samples = nil
		}
		return
	}
	slow := objective / slowDivisor
	sessions := map[*endpoint]*session{} // one of each endpoint's
	for _, s := range p.sessions.established {
		e := s.attempt.endpoint
		sessions[e] = s
		age := now - s.relay.unansweredSince
		if s.relay.unansweredSince != 0 && age > slow+p.latency.zoneFloor[e.zone] {
			p.latency.addSample(e, age)
		}
	}
	for _, e := range p.latency.drainSampled() {
		if s := sessions[e]; s != nil && p.endpoints[e.id] == e {
			p.reportLatency(now, e, s, slow)
		} else {
			e.latency.samples = e.latency.samples[:0]
		}
	}
}

// reportLatency reports an endpoint's latency to the balancer of the pool where s, one of its sessions, is: if it is slow,
// or was by the last report.
func (p *Proxy) reportLatency(now time.Duration, e *endpoint, s *session, slow time.Duration) {
	latency := p.latency.medianLatency(e)
	isSlow := latency > slow
	selfReported := now-e.latency.selfReportedAt <= selfReportWindow
	if (isSlow || e.latency.reportedSlow) && !selfReported {
		p.counters.LatencyReports++
		p.events.handle(s.pool, balancer.LatencyChanged{ID: s.id, Endpoint: e.id, Attempt: s.attempt.number, Latency: latency})
	}
	e.latency.reportedSlow = isSlow
}

// minMessageObjective is the shortest of the classes' message objectives; 0: none has one.
func (p *Proxy) minMessageObjective() time.Duration {
	var shortest time.Duration
	for _, class := range p.settings.Classes {
		objective := class.MessageObjective
		if objective > 0 && (shortest == 0 || objective < shortest) {
			shortest = objective
		}
	}
	return shortest
}
