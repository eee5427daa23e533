package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/metrics"
)

// Messages of an established connection are relayed unchanged in both directions.

const (
	// maxPendingOutput is the number of bytes waiting for a slow peer above which the proxy stops reading from the
	// other side.
	maxPendingOutput = 16 << 10
	// halfOpenTimeout is how long an endpoint may keep sending to a client that has shut down its sending side.
	halfOpenTimeout = 5 * time.Second
	// maxPlausibleLatency is the longest message latency that the proxy accepts from an endpoint's report.
	maxPlausibleLatency = time.Minute
	// loadScale is the value in a load message that means a load of 1.
	loadScale = 1e6
)

func counter(n int) metrics.Counter { return metrics.Counter(n) }

// establish starts relaying between the client and the attempt's endpoint.
func (s *session) establish(a *attempt) {
	p := s.proxy
	a.stage = stageEstablished
	a.conn.SetHandler(relayHandler{a})
	p.loop.Cancel(a.timer)
	p.counters.Established++
	p.counters.Completed++
	s.countOutcome(completed)
	p.sessions.addEstablished(s)
	s.answered = true
	s.registerEstablished(a)
	p.pools.drainIfUnowned(a.endpoint)
	s.request = nil
	// An established connection must not keep an inactive table in memory.
	s.routedBy = boundTable{}
	wasMigrated := s.downstreamState() != stateRelaying // while the balancer handled the event
	if s.buffered != nil && !wasMigrated {
		early := s.buffered
		s.buffered = nil
		s.sendUpstream(early)
		s.downstream.Resume()
	}
}

// registerEstablished passes an established connection to the balancer of the pool that owns its endpoint, and counts it
// towards the limits of the pool and the route.
func (s *session) registerEstablished(a *attempt) {
	p := s.proxy
	if previous := s.request.PreviousEndpoint; previous != "" {
		s.assignReattached(previous)
		s.setUsage(usageOpen)
		p.events.handle(s.pool, balancer.Adopted{Request: s.balancerRequest(), Endpoint: previous})
		return
	}
	s.setUsage(usageOpen)
	latency := p.loop.Now() - a.startedAt
	p.events.handle(s.pool, balancer.Established{ID: s.id, Endpoint: a.endpoint.id, Attempt: a.number, Latency: latency})
	p.pools.reassign(s) // the endpoint may have changed pools during the attempt
}

// relayHandler handles the events of an established connection to an endpoint.
type relayHandler struct{ *attempt }

// Data implements evloop.Handler.
func (h relayHandler) Data(b []byte) { h.relayDownstream(b) }

// Drained implements evloop.Handler.
func (h relayHandler) Drained() {
	if h.session.downstream != nil {
		h.session.downstream.Resume()
	}
}

// EOF implements evloop.Handler.
func (h relayHandler) EOF() { h.session.onUpstreamEnded() }

// Closed implements evloop.Handler.
func (h relayHandler) Closed(error) { h.session.onUpstreamBroken() }

// sendUpstream relays data of the client to the endpoint.
func (s *session) sendUpstream(b []byte) {
	p := s.proxy
	conn := s.attempt.conn
	p.counters.BytesUpstream += counter(len(b))
	if s.relay.unansweredSince == 0 && p.protocol.CompleteBytes(b) > 0 {
		s.relay.unansweredSince = p.loop.Now()
	}
	conn.Write(b)
	if conn.Pending() > maxPendingOutput {
		s.downstream.Pause()
	}
}

// relayDownstream relays complete messages of the endpoint to the client. The start of an incomplete message is
// buffered, so that a migration never cuts a message in two.
func (a *attempt) relayDownstream(b []byte) {
	s := a.session
	p := s.proxy
	if len(a.partial) > 0 {
		a.partial = append(a.partial, b...)
		b = a.partial
		a.partial = nil
	}
	n := p.protocol.CompleteBytes(b)
	a.partial = append(a.partial[:0:0], b[n:]...)
	// Messages are relayed before they are examined. Otherwise the migration that a load report causes would lose the
	// messages before the report.
	if s.downstream != nil && n > 0 {
		p.counters.BytesDownstream += counter(n)
		s.downstream.Write(b[:n])
		if s.downstream.Pending() > maxPendingOutput {
			a.conn.Pause()
		}
	}
	a.observeMessages(b[:n])
	if len(a.partial) > p.protocol.MaxMessageBytes() && a.stage != stageEnded {
		p.counters.OversizedMessages++
		s.migrate(balancer.Reset)
	}
}

// observeMessages examines relayed messages for the endpoint's load and latency.
func (a *attempt) observeMessages(messages []byte) {
	protocol := a.session.proxy.protocol
	for len(messages) > 0 && a.stage != stageEnded {
		var message []byte
		message, messages = protocol.NextMessage(messages)
		kind, load := protocol.ParseMessage(message)
		a.lastMessage = kind
		switch kind {
		case MessageLoad:
			a.reportLoad(load)
		case MessageOther:
			a.session.observeLatency()
		}
	}
}

// reportLoad passes the value of an endpoint's load message to the balancer. If the settings declare loads to be
// latencies, the value is the number of milliseconds that a message takes. A slow endpoint was seen to send such a
// message once a second, on one connection of each proxy, and once more when it was fast again. Treated as a load, the
// value would distort the balancer's estimate of a connection's cost.
//
// A single faulty endpoint must not cause the migration of all its clients. The proxy therefore does not report a
// latency that no message can have because its client would have disconnected long before. The client still receives
// the message.
func (a *attempt) reportLoad(value float64) {
	s := a.session
	p := s.proxy
	if value < 0 || p.loadIsLatency && value > float64(maxPlausibleLatency/time.Millisecond) {
		p.counters.ImplausibleLoads++
		return
	}
	if p.loadIsLatency {
		p.counters.LatencyReports++
		a.endpoint.latency.selfReportedAt = p.loop.Now()
		latency := time.Duration(value * float64(time.Millisecond))
		p.events.handle(s.pool, balancer.LatencyChanged{ID: s.id, Endpoint: a.endpoint.id, Attempt: a.number, Latency: latency})
		return
	}
	p.counters.LoadReports++
	p.events.handle(s.pool, balancer.LoadChanged{ID: s.id, Endpoint: a.endpoint.id, Attempt: a.number, Load: value / loadScale})
}

// onDownstreamEnded shuts down the sending side towards the endpoint, because the client has shut down its own. Data
// that the endpoint still sends is relayed.
func (s *session) onDownstreamEnded() {
	s.relay.downstreamEnded = true
	s.attempt.conn.CloseWrite()
	s.attempt.timer = s.proxy.loop.After(halfOpenTimeout, func() { s.close(balancer.Canceled, nil) })
}

func (s *session) onDownstreamBroken() {
	s.attempt.conn.Abort()
	s.close(balancer.Canceled, nil)
}

func (s *session) onUpstreamEnded() {
	s.proxy.counters.ClosedByEndpoint++
	s.close(s.closeStatus(), s.attempt.partial)
}

func (s *session) onUpstreamBroken() {
	s.proxy.counters.ClosedByEndpoint++
	status := s.closeStatus()
	if s.downstream != nil && s.downstream.Pending() == 0 && status == balancer.Reset {
		s.downstream.Abort() // the client sees a reset, too
		s.downstream = nil
	}
	s.close(status, nil)
}

// closeStatus returns the status of a connection that the endpoint has closed.
func (s *session) closeStatus() balancer.Status {
	switch {
	case s.attempt.lastMessage == MessageBye:
		return balancer.OK
	case s.attempt.lastMessage == MessageMigrate || s.relay.downstreamEnded:
		return balancer.Canceled
	}
	return balancer.Reset
}

// migrate asks the client to reconnect, and closes the connection.
func (s *session) migrate(status balancer.Status) {
	s.close(status, s.proxy.protocol.MigrateMessage())
}

// close sends last to the client and closes both sides of an established connection.
func (s *session) close(status balancer.Status, last []byte) {
	a := s.attempt
	s.proxy.sessions.removeEstablished(s)
	s.setUsage(usageNone)
	s.closeDownstream(last)
	// Data of the client may still be waiting for an endpoint that reads slowly.
	conn := a.conn
	a.conn = nil
	conn.Linger(lingerBounds, nil)
	a.end(status)
}
