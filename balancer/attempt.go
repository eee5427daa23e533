package balancer

import (
	"strconv"
	"time"
)

// Request handling: attempts, retries and the final answer.

func (b *Balancer) handleRequest(event Request) {
	if b.requests[event.ID] != nil {
		return
	}
	req := b.newRequest(event)
	// The timer fires early, so that the answer is sent before the client gives up.
	remaining := req.Deadline - b.settings.Rules.AnswerSlack/2 - b.now
	if remaining <= 0 {
		b.rejectOrFail(req, NoTimeLeft)
		return
	}
	b.nextTimerID++
	req.timerToken = "d" + strconv.FormatUint(b.nextTimerID, 36)
	b.deadlineTimers[req.timerToken] = req
	b.setTimer(req.timerToken, remaining)
	req.admissionDenied = !b.admit(req)
	b.sendNextAttempt(req)
}

func (b *Balancer) adoptConnection(event Adopted) {
	endpoint := b.endpoints[event.Endpoint]
	if endpoint == nil || b.requests[event.ID] != nil {
		return
	}
	req := b.newRequest(event.Request)
	req.attempts = 1
	req.established = true
	req.answered = true
	b.addActive(req, endpoint)
	b.rememberEndpoint(req)
	b.startDrain(endpoint)
}

// sendNextAttempt sends the next attempt, or the final answer if no attempts or no time are left.
func (b *Balancer) sendNextAttempt(req *request) {
	remaining := req.Deadline - b.now
	switch {
	case req.attempts >= b.maxAttempts(req):
		b.rejectOrFail(req, NoAttemptsLeft)
	case remaining <= b.settings.Rules.AnswerSlack:
		b.rejectOrFail(req, NoTimeLeft)
	default:
		b.sendToSelectedEndpoint(req, remaining)
	}
}

// sendToSelectedEndpoint sends an attempt to the selected endpoint, or the final answer if no endpoint can be selected.
func (b *Balancer) sendToSelectedEndpoint(req *request, remaining time.Duration) {
	endpoint := b.selectEndpoint(req)
	switch {
	case endpoint != nil:
		b.startAttempt(req, endpoint, remaining)
	case req.admissionDenied:
		b.rejectOrFail(req, NotAdmitted)
	default:
		b.rejectOrFail(req, NoUsableEndpoint)
	}
}

// maxAttempts returns the maximum number of attempts for a request: the configured limit, or the request's own if
// lower.
func (b *Balancer) maxAttempts(req *request) int {
	if req.MaxAttempts > 0 {
		return min(req.MaxAttempts, b.settings.Limits.Attempts)
	}
	return b.settings.Limits.Attempts
}

// startAttempt sends an attempt. If another attempt may follow, the timeout is the longer of half the remaining time
// and ConnectTimeout.
func (b *Balancer) startAttempt(req *request, endpoint *endpointState, remaining time.Duration) {
	timeout := remaining - b.settings.Rules.AnswerSlack/2
	if req.attempts+1 < b.maxAttempts(req) {
		timeout = max(remaining/2, min(timeout, b.settings.Limits.ConnectTimeout))
	}
	req.attempts++
	req.sentAt = b.now
	b.lastAttemptAt = b.now
	if b.settings.LoadReports {
		b.loadReports.RecordSent(endpoint.id, endpoint.size, b.placementLoad(req, endpoint))
	}
	b.addActive(req, endpoint)
	req.attempted = append(req.attempted, endpoint)
	endpoint.slowStartTokens--
	endpoint.trialInFlight = endpoint.failures > 0
	zone := b.zoneOutlier(endpoint)
	zone.trialInFlight = zone.failures >= zoneEjectionThreshold
	b.emit(Send{ID: req.ID, Endpoint: endpoint.id, Timeout: timeout})
}

func (b *Balancer) handleEstablished(event Established) {
	req := b.activeAttempt(event.ID, event.Attempt)
	if req == nil {
		return
	}
	req.established = true
	b.rememberEndpoint(req)
	b.markAnswered(req)
	b.recordSuccess(req.endpoint)
	b.startDrain(req.endpoint) // the endpoint may have begun to drain during the attempt
}

func (b *Balancer) handleAttemptEnd(event AttemptEnded) {
	req := b.activeAttempt(event.ID, event.Attempt)
	if req == nil {
		return
	}
	endpoint := req.endpoint
	if req.established && (req.migrating || event.Status != Canceled) {
		b.forgetEndpoint(req) // a cancellation alone may mean that the client's packets now arrive at another node
	}
	b.removeActive(req)
	if !event.Status.NeverExecuted() && req.executedOn == nil {
		req.executedOn = endpoint
		req.executedAt = req.sentAt
	}
	b.recordAttemptStatus(req, endpoint, event.Status)
	// A trial is over whatever its status, so the next one may be sent.
	endpoint.trialInFlight = false
	b.zoneOutlier(endpoint).trialInFlight = false
	if event.Final || req.established || req.answered {
		b.markAnswered(req)
		return
	}
	b.sendNextAttempt(req)
}

// recordAttemptStatus updates the outlier and overload state of an endpoint from the status of an ended attempt.
func (b *Balancer) recordAttemptStatus(req *request, endpoint *endpointState, status Status) {
	switch status {
	case OK:
		b.recordSuccess(endpoint)
	case ConnectFailed:
		b.recordFailure(endpoint, status)
	case Timeout:
		if !req.answered {
			b.recordFailure(endpoint, status)
		}
	case Reset:
		if req.established {
			b.recordReset(endpoint)
		} else {
			b.recordFailure(endpoint, status)
		}
	case RejectedByEndpoint:
		b.halveAdmittedFraction(endpoint)
	}
}

// rejectOrFail sends the final answer: a rejection if the client can safely retry the request, otherwise a failure.
func (b *Balancer) rejectOrFail(req *request, reason AnswerReason) {
	if req.answered {
		return
	}
	if b.mayReject(req) {
		rejection := Reject{ID: req.ID, Reason: reason}
		if b.settings.Limits.RetryAfter {
			jitter := 0.5 + b.random.Float64()/2
			rejection.RetryAfter = time.Duration(float64(b.settings.Limits.MaxRetryAfter) * jitter)
		}
		b.emit(rejection)
	} else {
		b.emit(Fail{ID: req.ID, Reason: reason})
	}
	b.cancelAttempt(req)
	b.markAnswered(req)
}

// mayReject reports whether the client can safely repeat a request at any endpoint.
func (b *Balancer) mayReject(req *request) bool {
	neverExecuted := req.executedOn == nil && req.endpoint == nil
	discardedEverywhere := req.class.Idempotency == IdempotentByKey && req.class.DedupScope == ScopeAll
	return req.class.Idempotency == Idempotent || neverExecuted || discardedEverywhere
}

// mayRetryOn reports whether another attempt may be sent to an endpoint. Once an attempt may have been executed, an
// IdempotentByKey request is retried only within its deduplication window and scope, and a NotIdempotent request is not
// retried.
func (b *Balancer) mayRetryOn(req *request, endpoint *endpointState) bool {
	if req.executedOn == nil || req.class.Idempotency == Idempotent {
		return true
	}
	if req.class.Idempotency == NotIdempotent || b.now-req.executedAt > req.class.DedupWindow {
		return false
	}
	switch req.class.DedupScope {
	case ScopeZone:
		return endpoint.zone == req.executedOn.zone
	case ScopeCell:
		return endpoint.cell == req.executedOn.cell && endpoint.zone == req.executedOn.zone
	}
	return true
}

// cancelAttempt cancels an attempt whose result is no longer needed. Established connections are not canceled.
func (b *Balancer) cancelAttempt(req *request) {
	if req.endpoint != nil && !req.established && b.settings.Limits.Cancel {
		b.emit(Cancel{ID: req.ID, Attempt: req.attempts - 1})
	}
}
