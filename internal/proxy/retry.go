package proxy

import (
	"time"

	"example.org/micafront/balancer"
)

// retryGuard decides what may follow an attempt that may have been executed. The balancer goes by the same rule when it
// sends an attempt or rejects a request; here it is checked again when bytes go out, since time has passed by then.
type retryGuard struct {
	class      *balancer.Class // as it was when the request came; nil: not admitted yet, or already answered
	executedOn *endpoint       // of the first attempt that may have been executed; nil: there is none
	executedAt time.Duration   // when that one started
}

// recordExecution notes an attempt that may have been executed.
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

// dedupDeadline is until when endpoints recognize a repeat, if that bounds the next attempt.
func (g *retryGuard) dedupDeadline() (deadline time.Duration, bounded bool) {
	if g.executedOn == nil || g.isSafe() {
		return 0, false
	}
	return g.executedAt + g.class.DedupWindow, true
}

// mayExecute reports whether the next attempt may be executed by an endpoint now.
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

// mayReject reports whether a rejection, which promises that a retry is harmless, would be true. An attempt that is under
// way counts as one that may be executed, unless it still dials.
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
