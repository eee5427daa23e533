package proxy

import (
	"errors"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/metrics"
)

// This file has a client's connection up to its parsed request, and the events of its socket.

const (
	// firstRequestTimeout is how long after connecting a client may take to send its request, however many bytes trickle in
	// meanwhile; a bad client is to be closed within 3 s. A readiness check is answered at once and needs no longer.
	firstRequestTimeout = 2500 * time.Millisecond
	// maxReadinessChecks is how many readiness checks one connection may send.
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

// onFirstRequestTimeout closes a client that has not sent its request in time. A request that has come but has not been read
// yet still counts; else the client gets an answer, since a request that crosses the close is lost.
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
		s.closeDownstream(nil) // a message would be taken for the answer to a readiness check
	}
}

// untrackIdle is for a client that has sent its request, or is being closed.
func (s *session) untrackIdle() {
	s.proxy.loop.Cancel(s.handshake.timer)
	s.handshake.timer = nil
	s.proxy.idle.remove(s)
}

// evict closes a client without a request to make room.
func (s *session) evict() {
	p := s.proxy
	conn := s.downstream
	p.counters.ResourceExhausted++
	s.untrackIdle()
	s.downstream = nil
	conn.Write(p.protocol.RejectMessage(p.overloadDelay()))
	p.idle.linger(conn)
}

// closeDownstream sends the client its last message, if there is one, and closes its connection once that has been
// received.
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

// parseHandshake reads the client's readiness checks and its request from what has come.
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

// answerReadinessCheck returns false if the client was closed, as it has sent too many.
func (s *session) answerReadinessCheck() bool {
	p := s.proxy
	p.counters.ReadinessChecks++
	if s.handshake.readinessChecks == maxReadinessChecks {
		p.counters.UnexpectedData++
		s.rejectMalformed()
		return false
	}
	s.handshake.readinessChecks++
	ready := !p.drainer.notReady && !p.starting()
	s.downstream.Write(p.protocol.ReadinessAnswer(ready))
	return true
}

// rejectMalformed closes a client whose bytes make no request.
func (s *session) rejectMalformed() {
	s.buffered = nil
	s.closeDownstream(s.proxy.protocol.MalformedMessage())
}

// rejectUnexpectedData fails a request whose client went on sending before its answer.
func (s *session) rejectUnexpectedData() {
	s.proxy.counters.UnexpectedData++
	s.countOutcome(failed)
	s.recordReason(metrics.RequestFailed, reasonUnexpectedData)
	s.respond(s.proxy.protocol.MalformedMessage())
	s.cancelRequest()
	s.cancelDial()
}

// onClientDisconnected ends a request whose client has disconnected before its answer: nothing more may be sent for it.
func (s *session) onClientDisconnected() {
	s.buffered = nil
	s.recordDisconnect()
	s.cancelDial()
}

// cancelDial ends an attempt whose first message has not been written. That executes nothing, so it is done also where
// the settings do not allow to cancel attempts.
func (s *session) cancelDial() {
	if s.attempt != nil && s.attempt.stage < stageSent {
		s.cancelAttempt()
	}
}

// receiveRequest takes in a parsed request. What no endpoint could serve is rejected here: each endpoint in turn would
// reject it and count as failing.
func (s *session) receiveRequest(request *ClientRequest) {
	p := s.proxy
	s.untrackIdle()
	openElsewhere := request.Resumed || request.PreviousEndpoint != "" // such a connection keeps its client ID
	_, known := p.findClass(request)
	duplicate := p.sessions.byClientID[request.ID] != nil || p.restart.predecessorHasClient(request.ID)
	switch {
	case !known && p.starting(): // the fleet's configuration, which is not known yet, may have the class
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

// startRequest registers a request and has it admitted, or reattached where its connection was established before this
// process started.
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

// Opened is part of evloop.Handler.
func (h downstreamHandler) Opened() {}

// Data is part of evloop.Handler.
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
		// A client waits for the answer to its request. One that sends more, such as several requests at once, gets
		// one definite answer for all of it.
		s.rejectUnexpectedData()
		return
	}
	// Early data of a connection that was open elsewhere is kept until it is established here, within bounds.
	s.buffered = append(s.buffered, b...)
	if len(s.buffered) >= s.proxy.protocol.MaxMessageBytes() {
		s.downstream.Pause()
	}
}

// Ended is part of evloop.Handler.
func (h downstreamHandler) Ended() {
	s := h.session
	switch s.downstreamState() {
	case stateAwaitingRequest:
		if len(s.buffered) == 0 {
			s.closeDownstream(nil)
			return
		}
		s.proxy.counters.MalformedMessages++ // a message was cut short
		s.rejectMalformed()
	case stateRelaying:
		s.onDownstreamEnded()
	case stateAwaitingAnswer:
		// Ending the sending side cancels the request, as it does for endpoints. A client that still reads receives
		// an answer.
		s.onClientDisconnected()
	}
}

// HangupPending is part of evloop.HangupObserver. The client has ended its sending behind data that is not read before
// the connection is established: nothing more may be sent for it.
func (h downstreamHandler) HangupPending() {
	if s := h.session; s.downstreamState() == stateAwaitingAnswer {
		s.onClientDisconnected()
	}
}

// Drained is part of evloop.Handler.
func (h downstreamHandler) Drained() {
	if a := h.attempt; a != nil && a.conn != nil {
		a.conn.Resume()
	}
}

// Closed is part of evloop.Handler.
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
