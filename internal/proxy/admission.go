package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/metrics"
)

// This file admits requests and gives final answers. From admit on a request is owed one, which its pool's balancer
// decides.

// maxClientWait bounds the time that the settings give a client: sums with longer ones would overflow.
const maxClientWait = 24 * time.Hour

// admit checks a request against the limits, routes it and hands it to its pool's balancer.
func (s *session) admit() {
	p := s.proxy
	request := s.request
	class, _ := p.findClass(request) // receiveRequest has found it
	s.retries.class = &class
	if p.atRequestLimit() {
		p.counters.ResourceExhausted++
		s.reject(p.overloadDelay(), reasonLimit)
		return
	}
	if after, ok := s.authorizePlacement(false); !ok {
		s.reject(after, reasonPlacement)
		return
	}
	if p.drainer.tooLateToAttempt(p.loop.Now()) { // the answer could not come before this process exits
		s.reject(0, reasonStopping)
		return
	}
	if !request.HasWait {
		request.Wait = min(class.Timeout, maxClientWait)
	}
	if !s.assignRoute() {
		return
	}
	// Its time runs from when it came, however long it has waited to be read.
	receivedAt := s.downstream.ReceivedAt()
	s.deadline = p.drainer.boundDeadline(s.policyState.Deadline(receivedAt, receivedAt+request.Wait))
	if request.Resumed {
		p.counters.Resumed++
	}
	p.events.handle(s.pool, s.balancerRequest())
}

// atRequestLimit reports whether requests are rejected before the balancer sees them.
func (p *Proxy) atRequestLimit() bool {
	maxOpen := p.settings.Limits.MaxOpen
	return !p.limits.allows(requestReserve) || maxOpen > 0 && len(p.sessions.byID) > maxOpen
}

// findClass returns a request's class. One that the settings have dropped is still known for connections that were open
// under it, at whatever process they come back.
func (p *Proxy) findClass(request *ClientRequest) (class balancer.Class, known bool) {
	for _, class := range p.settings.Classes {
		if class.Name == request.Class {
			return class, true
		}
	}
	if request.Resumed || request.Returning || request.PreviousEndpoint != "" {
		class, known = p.droppedClasses[request.Class]
	}
	return class, known
}

// balancerRequest is the request as the balancer sees it.
func (s *session) balancerRequest() balancer.Request {
	request := s.request
	return balancer.Request{
		ID:          s.id,
		Class:       request.Class,
		Tenant:      request.Tenant,
		Group:       request.Group,
		Key:         request.Key,
		Deadline:    s.deadline,
		LoadHint:    request.LoadHint,
		Resumed:     request.Resumed,
		ClientRetry: request.ClientRetry,
		Returning:   request.Returning,
		MaxAttempts: s.policyState.Attempts(s.proxy.settings.Limits.Attempts),
	}
}

// reject answers that the client may retry after some time, which promises that a retry is harmless; where it may not
// be, the request fails. All rejections of requests that have been registered pass here.
func (s *session) reject(retryAfter time.Duration, reason metrics.Reason) {
	if !s.mayReject() {
		s.fail(reason)
		return
	}
	if !s.answered {
		s.proxy.counters.Rejected++
		s.recordReason(metrics.RequestRejected, reason)
		s.countOutcome(rejected)
		s.respond(s.proxy.protocol.RejectMessage(retryAfter))
	}
}

// fail answers without any promise.
func (s *session) fail(reason metrics.Reason) {
	if !s.answered {
		s.proxy.counters.Failed++
		s.recordReason(metrics.RequestFailed, reason)
		s.countOutcome(failed)
		s.respond(s.proxy.protocol.FailureMessage())
	}
}

// respond gives a request its final answer.
func (s *session) respond(message []byte) {
	s.answered = true
	s.setUsage(usageNone)
	s.buffered = nil
	s.closeDownstream(message)
	s.forgetIfDone()
}

// recordDisconnect ends a request whose client disconnected before its answer. A client that has only ended its sending
// still reads the answer: a retry is harmless where no attempt has been made, else there is no promise.
func (s *session) recordDisconnect() {
	if s.answered {
		return
	}
	s.proxy.counters.ClientDisconnected++
	s.recordReason(metrics.RequestEnded, reasonClientGone)
	if s.attemptCount == 0 {
		s.respond(s.proxy.protocol.RejectMessage(0))
	} else {
		s.respond(s.proxy.protocol.FailureMessage())
	}
	s.cancelRequest()
}

// cancelRequest cancels what is under way for a request that was answered without the balancer's decision.
func (s *session) cancelRequest() {
	if s.deadline == 0 { // the balancer does not know a connection that reattaches
		s.cancelAttempt()
		return
	}
	s.proxy.events.handle(s.pool, balancer.ClientDisconnected{ID: s.id})
}
