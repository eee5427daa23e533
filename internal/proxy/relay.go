package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/metrics"
)

// This file relays an established connection: messages pass both ways unchanged.

const (
	// maxPendingOutput is how many bytes may wait for a slow peer before the other side is no longer read.
	maxPendingOutput = 16 << 10
	// halfOpenTimeout is how long an endpoint may still send to a client that has ended its sending.
	halfOpenTimeout = 5 * time.Second
	// maxPlausibleLatency bounds the time of a message that an endpoint is believed to report.
	maxPlausibleLatency = time.Minute
	// loadUnits is the value in a load message of a load of 1.
	loadUnits = 1e6
)

func counter(n int) metrics.Counter { return metrics.Counter(n) }

// establish begins to relay between the client and the attempt's endpoint.
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
	s.setUsage(usageOpen)
	if previous := s.request.PreviousEndpoint; previous != "" {
		p.events.handle(s.pool, balancer.Adopted{Request: s.balancerRequest(), Endpoint: previous})
	} else {
		latency := p.loop.Now() - a.startedAt
		p.events.handle(s.pool, balancer.Established{ID: s.id, Endpoint: a.endpoint.id, Attempt: a.number, Latency: latency})
	}
	s.request = nil
	s.table = nil                                       // a table that is no longer active must not live as long as its connections
	wasMigrated := s.downstreamState() != stateRelaying // at once, by the balancer
	if s.buffered != nil && !wasMigrated {
		early := s.buffered
		s.buffered = nil
		s.sendUpstream(early)
		s.downstream.Resume()
	}
}

// relayHandler handles the events of an established connection to an endpoint.
type relayHandler struct{ *attempt }

// Data is part of evloop.Handler.
func (h relayHandler) Data(b []byte) { h.relayDownstream(b) }

// Drained is part of evloop.Handler.
func (h relayHandler) Drained() {
	if h.session.downstream != nil {
		h.session.downstream.Resume()
	}
}

// Ended is part of evloop.Handler.
func (h relayHandler) Ended() { h.session.onUpstreamEnded() }

// Closed is part of evloop.Handler.
func (h relayHandler) Closed(error) { h.session.onUpstreamBroken() }

// sendUpstream passes on what the client sent.
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

// relayDownstream passes on complete messages of the endpoint. The start of one waits for its rest, so that a migration
// never cuts into a message.
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
	// Messages are passed on before they are read: those ahead of a report must not be lost to the migration that it
	// causes.
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

// observeMessages reads what relayed messages say of the endpoint.
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

// reportLoad hands an endpoint's load message to the balancer. Where the settings say that loads are latencies, the
// message holds the milliseconds that a message takes: a slow endpoint was seen to send it once a second on one
// connection of each proxy, and once more when it was over. Read as a load it would distort what the balancer knows of
// a connection's cost.
//
// One faulty endpoint must not have all its clients migrated: a value that no message can have, since its client would
// have disconnected long before, is passed on to the client but not believed.
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
	p.events.handle(s.pool, balancer.LoadChanged{ID: s.id, Endpoint: a.endpoint.id, Attempt: a.number, Load: value / loadUnits})
}

// onDownstreamEnded passes on that the client has ended its sending. What the endpoint still sends is relayed.
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

// closeStatus is the status of a connection that the endpoint has closed.
func (s *session) closeStatus() balancer.Status {
	switch {
	case s.attempt.lastMessage == MessageBye:
		return balancer.OK
	case s.attempt.lastMessage == MessageMigrate || s.relay.downstreamEnded:
		return balancer.Canceled
	}
	return balancer.Reset
}

// migrate asks the client to connect anew and closes the connection.
func (s *session) migrate(status balancer.Status) {
	s.close(status, s.proxy.protocol.MigrateMessage())
}

// close closes both sides of an established connection, the client's with a last message.
func (s *session) close(status balancer.Status, last []byte) {
	a := s.attempt
	s.proxy.sessions.removeEstablished(s)
	s.setUsage(usageNone)
	s.closeDownstream(last)
	// What the client sent last may still wait for an endpoint that reads slowly.
	conn := a.conn
	a.conn = nil
	conn.Linger(lingerBounds, nil)
	a.end(status)
}
