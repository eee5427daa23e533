package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/metrics"
)

// From admit on, every request must receive a final answer, which the balancer of its pool decides.

// maxClientWait caps the wait time that the settings give a client, because sums with larger values would overflow.
const maxClientWait = 24 * time.Hour

// admit checks a request against the limits, routes it and passes it to its pool's balancer.
func (s *session) admit() {
	p := s.proxy
	request := s.request
	class, _ := p.findClass(request) // receiveRequest has checked that the class is known
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
	if p.drainer.TooLateToAttempt(p.loop.Now()) { // the answer would not arrive before this process exits
		s.reject(0, reasonStopping)
		return
	}
	if !request.HasTimeout {
		request.Timeout = min(class.Timeout, maxClientWait)
	}
	if !s.assignRoute() {
		return
	}
	// The deadline counts from the request's arrival, even if the request waited to be read.
	receivedAt := s.downstream.ReceivedAt()
	s.deadline = p.drainer.BoundDeadline(s.policyState.Deadline(receivedAt, receivedAt+request.Timeout))
	if request.Resumed {
		p.counters.Resumed++
	}
	p.events.handle(s.pool, s.balancerRequest())
}

// atRequestLimit reports whether descriptors or open requests are at their limit, so that requests are rejected before
// they reach the balancer.
func (p *Proxy) atRequestLimit() bool {
	maxOpen := p.settings.Limits.MaxOpen
	return !p.limits.allows(requestReserve) || maxOpen > 0 && len(p.sessions.byID) > maxOpen
}

// findClass returns a request's class and whether it is known. A class that the settings no longer contain is still
// known for connections that were opened under it, even if they return to another process.
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

// balancerRequest returns the request in the balancer's representation.
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
		MaxAttempts: s.policyState.AttemptsLeft(s.proxy.settings.Limits.Attempts),
	}
}

// reject tells the client that it may retry after retryAfter, which promises that a retry is harmless. If a retry could
// do harm, the request fails instead. All rejections of registered requests go through reject.
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

// fail tells the client that its request failed, without a promise that a retry is harmless.
func (s *session) fail(reason metrics.Reason) {
	if !s.answered {
		s.proxy.counters.Failed++
		s.recordReason(metrics.RequestFailed, reason)
		s.countOutcome(failed)
		s.respond(s.proxy.protocol.FailureMessage())
	}
}

// respond sends a request's final answer.
func (s *session) respond(message []byte) {
	s.answered = true
	s.setUsage(usageNone)
	s.buffered = nil
	s.closeDownstream(message)
	s.forgetIfDone()
}

// recordDisconnect ends a request whose client disconnected before its answer. A client that has only shut down its
// sending side still reads the answer. If no attempt has been made, the answer promises that a retry is harmless;
// otherwise it promises nothing.
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

// cancelRequest cancels the attempts for a request that was answered without a decision of the balancer.
func (s *session) cancelRequest() {
	if s.deadline == 0 { // the balancer does not know a connection that is being reattached
		s.cancelAttempt()
		return
	}
	s.proxy.events.handle(s.pool, balancer.ClientDisconnected{ID: s.id})
}
