package proxy

import (
	"time"

	"example.org/micafront/balancer"
)

// retryGuard decides whether a request may be executed again after an attempt that may have been executed. The balancer
// applies the same rule when it sends an attempt or rejects a request. The guard checks it again when bytes are about
// to be written, because time has passed by then.
type retryGuard struct {
	class      *balancer.Class // the class when the request arrived; nil before admission and after the answer
	executedOn *endpoint       // the endpoint of the first attempt that may have been executed; nil if there is none
	executedAt time.Duration   // when that attempt started
}

// recordExecution records an attempt that may have been executed. Only the first one of a request counts.
func (g *retryGuard) recordExecution(a *attempt) {
	if g.executedOn == nil {
		g.executedOn = a.endpoint
		g.executedAt = a.startedAt
	}
}

// isSafe reports whether the request may be executed any number of times.
func (g *retryGuard) isSafe() bool {
	return g.class == nil || g.class.Idempotency == balancer.Idempotent
}

// dedupDeadline returns the time until which endpoints recognize a repeated request. bounded is false if the next
// attempt has no such limit.
func (g *retryGuard) dedupDeadline() (deadline time.Duration, bounded bool) {
	if g.executedOn == nil || g.isSafe() {
		return 0, false
	}
	return g.executedAt + g.class.DedupWindow, true
}

// mayExecute reports whether endpoint e may execute the next attempt now.
func (g *retryGuard) mayExecute(e *endpoint, now time.Duration) bool {
	deadline, bounded := g.dedupDeadline()
	if !bounded {
		return true
	}
	if g.class.Idempotency == balancer.NotIdempotent || now > deadline {
		return false
	}
	switch g.class.DedupScope {
	case balancer.ScopeZone:
		return e.zone == g.executedOn.zone
	case balancer.ScopeCell:
		return e.zone == g.executedOn.zone && e.entry.Cell == g.executedOn.entry.Cell
	}
	return true
}

// mayReject reports whether the request may be rejected. A rejection promises that a retry is harmless. An attempt in
// progress counts as possibly executed, unless it is still dialing.
func (s *session) mayReject() bool {
	guard := &s.retries
	if guard.isSafe() {
		return true
	}
	if guard.class.Idempotency == balancer.IdempotentByKey && guard.class.DedupScope == balancer.ScopeAll {
		return true
	}
	return guard.executedOn == nil && (s.attempt == nil || s.attempt.stage == stageDialing)
}
