package proxy

import (
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
)

// A sweep checks the established connections at intervals. It closes those whose endpoint has become unresponsive or
// whose peer does not read, and reports the endpoints' latencies to the balancers.

const (
	sweepInterval         = 250 * time.Millisecond
	latencyReportInterval = time.Second
	// selfReportWindow is how long after an endpoint's own latency report the proxy derives none for it.
	selfReportWindow = latencyReportInterval * 3 / 2
	// unresponsiveAfter is the age of the oldest unanswered message at which a connection is closed. The close follows
	// within 7 s of the endpoint becoming unresponsive, because clients send every 2 s and a sweep is due within
	// sweepInterval.
	unresponsiveAfter = 4 * time.Second
	stalledTimeout    = 10 * time.Second
	// slowDivisor is what the shortest message objective is divided by to get the latency above which an endpoint is
	// slow.
	slowDivisor = 3
)

// latencyTracker holds the data from which latencies are derived, in addition to the endpoints' own samples.
type latencyTracker struct {
	zoneFloor  map[string]time.Duration // the lowest latency seen in a zone, which is that of the network
	sampled    map[*endpoint]bool       // the endpoints that have samples
	reportedAt time.Duration
}

func newLatencyTracker() latencyTracker {
	return latencyTracker{zoneFloor: map[string]time.Duration{}, sampled: map[*endpoint]bool{}}
}

func (t *latencyTracker) observe(e *endpoint, latency time.Duration) {
	t.addSample(e, latency)
	if floor, ok := t.zoneFloor[e.zone]; !ok || latency < floor {
		t.zoneFloor[e.zone] = latency
	}
}

func (t *latencyTracker) addSample(e *endpoint, latency time.Duration) {
	e.latency.samples = append(e.latency.samples, latency)
	t.sampled[e] = true
}

// drainSampled returns the endpoints that have samples, sorted by ID, and clears the set of these endpoints.
func (t *latencyTracker) drainSampled() []*endpoint {
	sampled := slices.SortedFunc(maps.Keys(t.sampled), compareEndpoints)
	clear(t.sampled)
	return sampled
}

// medianLatency returns the median of an endpoint's samples minus its zone's floor, and clears the samples.
func (t *latencyTracker) medianLatency(e *endpoint) time.Duration {
	slices.Sort(e.latency.samples)
	median := e.latency.samples[len(e.latency.samples)/2]
	e.latency.samples = e.latency.samples[:0]
	return max(median-t.zoneFloor[e.zone], 0)
}

// observeLatency records the latency of the oldest unanswered message, whose answer has arrived. Answers arrive in the
// order of the messages.
func (s *session) observeLatency() {
	if s.relay.unansweredSince == 0 {
		return
	}
	latency := s.proxy.loop.Now() - s.relay.unansweredSince
	s.relay.unansweredSince = 0
	s.proxy.latency.observe(s.attempt.endpoint, latency)
}

// sweep checks all established connections and schedules itself again after sweepInterval.
func (p *Proxy) sweep() {
	p.loop.After(sweepInterval, p.sweep)
	p.loop.AfterCatchUp(p.checkConnections) // unread answers must not make an endpoint look unresponsive
}

func (p *Proxy) checkConnections() {
	p.loop.SetTurnCause(turnSweep)
	now := p.loop.Now()
	for _, s := range slices.Clone(p.sessions.established) {
		if s.downstreamState() == stateRelaying { // otherwise it was closed while an earlier one was checked
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
		s.migrate(balancer.Canceled) // if the endpoint is the slow peer, the client still reads the request to migrate
	}
}

// reportLatencies derives latency reports from relayed messages, for the endpoints that do not report their own latency
// and above all for unresponsive ones. It reports each endpoint whose messages take more than a third of the shortest
// objective, and once more when they no longer do. The latency is the median of the samples since the last report minus
// the lowest latency of the endpoint's zone. Unanswered messages count with their age.
func (p *Proxy) reportLatencies(now time.Duration) {
	objective := p.minMessageObjective()
	if objective == 0 {
		for _, e := range p.latency.drainSampled() {
			e.latency.samples = nil
		}
		return
	}
	slow := objective / slowDivisor
	sessions := map[*endpoint]*session{} // one session of each endpoint
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

// reportLatency reports an endpoint's latency if the endpoint is slow or was slow in the last report. The report goes
// to the balancer of the pool of s, one of the endpoint's sessions.
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

// minMessageObjective returns the shortest message objective of the classes, or 0 if none has one.
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
