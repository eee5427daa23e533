package proxy

import (
	"errors"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/metrics"
)

// A session starts when a listener accepts a client's connection. The session reads the client's readiness checks and
// its request, and downstreamHandler handles the events of the client's socket.

const (
	// firstRequestTimeout is the time after connecting within which a client must send its complete request. Bytes that
	// trickle in do not extend it, because a faulty client must be closed within 3 s. Readiness checks are answered at
	// once and need no more time.
	firstRequestTimeout = 2500 * time.Millisecond
	// maxReadinessChecks is the number of readiness checks that one connection may send.
	maxReadinessChecks = 8
)

var errMessageTooLong = errors.New("message too long")

// acceptClient starts a session for a connection that a listener has accepted.
func (p *Proxy) acceptClient(conn *evloop.Conn, listener string) evloop.Handler {
	p.counters.AcceptedConnections++
	s := &session{
		proxy:            p,
		downstream:       conn,
		listener:         listener,
		handshake:        handshakeState{acceptedAt: p.loop.Now()},
		establishedIndex: -1,
	}
	s.handshake.timer = p.loop.After(firstRequestTimeout, s.onFirstRequestTimeout)
	p.idle.add(s)
	return downstreamHandler{s}
}

func (p *Proxy) onAcceptError(error) { p.counters.AcceptErrors++ }

// onFirstRequestTimeout closes a client that has not sent its request in time. A request that has arrived but has not
// been read yet still counts. Otherwise the client gets an answer, because a request that crosses the close is lost.
func (s *session) onFirstRequestTimeout() {
	s.downstream.CheckPeer()
	if s.handshake.idleElement == nil {
		return
	}
	s.proxy.counters.NoRequest++
	switch {
	case len(s.buffered) > 0:
		s.rejectMalformed()
	case s.handshake.readinessChecks == 0:
		s.closeDownstream(s.proxy.protocol.RejectMessage(0))
	default:
		s.closeDownstream(nil) // the client would mistake a message for the answer to a readiness check
	}
}

// untrackIdle stops the request timer and removes the session from the idle connections. It is called when the client
// has sent its request or is being closed.
func (s *session) untrackIdle() {
	s.proxy.loop.Cancel(s.handshake.timer)
	s.handshake.timer = nil
	s.proxy.idle.remove(s)
}

// evict rejects and closes a client that has not sent a request, to make room for other clients.
func (s *session) evict() {
	p := s.proxy
	conn := s.downstream
	p.counters.ResourceExhausted++
	s.untrackIdle()
	s.downstream = nil
	conn.Write(p.protocol.RejectMessage(p.overloadDelay()))
	p.idle.linger(conn)
}

// closeDownstream sends the client its last message, if any, and closes the connection once the client has received it.
func (s *session) closeDownstream(last []byte) {
	conn := s.downstream
	s.untrackIdle()
	if conn == nil {
		return
	}
	s.downstream = nil
	conn.Write(last)
	s.proxy.idle.linger(conn)
	s.proxy.idle.evictOldest()
}

// parseHandshake parses the buffered bytes: the client's readiness checks and its request.
func (s *session) parseHandshake() {
	p := s.proxy
	for len(s.buffered) > 0 {
		n, request, err := p.protocol.ParseHandshake(s.buffered)
		if err != nil {
			if errors.Is(err, errMessageTooLong) {
				p.counters.OversizedMessages++
			} else {
				p.counters.MalformedMessages++
			}
			s.rejectMalformed()
			return
		}
		if n == 0 {
			return
		}
		s.buffered = s.buffered[n:]
		if len(s.buffered) == 0 {
			s.buffered = nil
		}
		if request != nil {
			s.receiveRequest(request)
			return
		}
		if !s.answerReadinessCheck() {
			return
		}
	}
}

// answerReadinessCheck answers a readiness check. If the client has sent too many, it closes the client and returns
// false.
func (s *session) answerReadinessCheck() bool {
	p := s.proxy
	p.counters.ReadinessChecks++
	if s.handshake.readinessChecks == maxReadinessChecks {
		p.counters.UnexpectedData++
		s.rejectMalformed()
		return false
	}
	s.handshake.readinessChecks++
	ready := !p.drainer.NotReady && !p.starting()
	s.downstream.Write(p.protocol.ReadinessAnswer(ready))
	return true
}

// rejectMalformed closes a client whose bytes are not a valid request.
func (s *session) rejectMalformed() {
	s.buffered = nil
	s.closeDownstream(s.proxy.protocol.MalformedMessage())
}

// rejectUnexpectedData fails a request whose client sent more data before its answer.
func (s *session) rejectUnexpectedData() {
	s.proxy.counters.UnexpectedData++
	s.countOutcome(failed)
	s.recordReason(metrics.RequestFailed, reasonUnexpectedData)
	s.respond(s.proxy.protocol.MalformedMessage())
	s.cancelRequest()
	s.cancelDial()
}

// onClientDisconnected ends a request whose client disconnected before its answer. From then on nothing may be sent to
// an endpoint for this request.
func (s *session) onClientDisconnected() {
	s.buffered = nil
	s.recordDisconnect()
	s.cancelDial()
}

// cancelDial cancels an attempt whose first message has not been written in full. The endpoint has executed nothing, so
// this is allowed even where the settings forbid canceling attempts.
func (s *session) cancelDial() {
	if s.attempt != nil && s.attempt.stage < stageSent {
		s.cancelAttempt()
	}
}

// receiveRequest validates a parsed request. It rejects requests that no endpoint could serve, because each endpoint in
// turn would reject them and be counted as failing.
func (s *session) receiveRequest(request *ClientRequest) {
	p := s.proxy
	s.untrackIdle()
	openElsewhere := request.Resumed || request.PreviousEndpoint != "" // such a connection keeps its client ID
	_, known := p.findClass(request)
	duplicate := p.sessions.byClientID[request.ID] != nil || p.restart.predecessorHasClient(request.ID)
	switch {
	case !known && p.starting(): // the fleet's configuration, which is not known yet, may contain the class
		p.fleet.counters.RejectedNoLease++
		s.buffered = nil
		s.closeDownstream(p.protocol.RejectMessage(p.overloadDelay()))
	case !known:
		p.counters.UnknownClass++
		s.rejectMalformed()
	case duplicate && !openElsewhere:
		p.counters.DuplicateID++
		s.rejectMalformed()
	case len(s.buffered) > 0 && !openElsewhere:
		p.counters.UnexpectedData++
		s.rejectMalformed()
	default:
		s.startRequest(request)
	}
}

// startRequest registers a request and admits it. If the connection was established before this process started, it is
// reattached instead.
func (s *session) startRequest(request *ClientRequest) {
	p := s.proxy
	p.counters.RequestsReceived++
	p.drainer.lastRequestAt = p.loop.Now()
	s.id = p.sessions.nextID()
	s.clientID = request.ID
	s.request = request
	s.class = request.Class
	s.classOutcomes = p.counters.Class(request.Class)
	s.tenantOutcomes = p.tenantOutcomes(request.Tenant)
	p.sessions.add(s)
	if request.PreviousEndpoint == "" {
		s.admit()
		return
	}
	s.startReattach()
}

// downstreamHandler handles the events of a client's connection.
type downstreamHandler struct{ *session }

// Opened implements evloop.Handler.
func (h downstreamHandler) Opened() {}

// Data implements evloop.Handler.
func (h downstreamHandler) Data(b []byte) {
	s := h.session
	switch s.downstreamState() {
	case stateAwaitingRequest:
		s.buffered = append(s.buffered, b...)
		s.parseHandshake()
		return
	case stateRelaying:
		s.sendUpstream(b)
		return
	}
	if !s.request.Resumed && s.request.PreviousEndpoint == "" {
		// A client must wait for the answer to its request. A client that sends more before that, such as several
		// requests at once, gets one final answer for all of it.
		s.rejectUnexpectedData()
		return
	}
	// Early data of a connection that was open elsewhere is buffered until the connection is established here. Reading
	// pauses at MaxMessageBytes.
	s.buffered = append(s.buffered, b...)
	if len(s.buffered) >= s.proxy.protocol.MaxMessageBytes() {
		s.downstream.Pause()
	}
}

// EOF implements evloop.Handler.
func (h downstreamHandler) EOF() {
	s := h.session
	switch s.downstreamState() {
	case stateAwaitingRequest:
		if len(s.buffered) == 0 {
			s.closeDownstream(nil)
			return
		}
		s.proxy.counters.MalformedMessages++ // the message is incomplete
		s.rejectMalformed()
	case stateRelaying:
		s.onDownstreamEnded()
	case stateAwaitingAnswer:
		// A client cancels its request by shutting down its sending side; endpoints treat it the same way. A client
		// that still reads receives an answer.
		s.onClientDisconnected()
	}
}

// HangupPending implements evloop.HangupObserver. The client has shut down its sending side after early data that is
// not read until the connection is established. From then on nothing may be sent to an endpoint for this request.
func (h downstreamHandler) HangupPending() {
	if s := h.session; s.downstreamState() == stateAwaitingAnswer {
		s.onClientDisconnected()
	}
}

// Drained implements evloop.Handler.
func (h downstreamHandler) Drained() {
	if a := h.attempt; a != nil && a.conn != nil {
		a.conn.Resume()
	}
}

// Closed implements evloop.Handler.
func (h downstreamHandler) Closed(error) {
	s := h.session
	s.untrackIdle()
	s.downstream = nil
	switch s.downstreamState() {
	case stateRelaying:
		s.onDownstreamBroken()
	case stateAwaitingAnswer:
		s.onClientDisconnected()
	}
}
