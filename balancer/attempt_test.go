package balancer

import (
	"testing"
	"time"
)

// The deadline of a request applies, not the timeout of its class. At the deadline the client gets its only answer, and
// the attempt in flight is canceled.
func TestRequestDeadlineIsAnsweredOnce(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	req := testRequest(1, 2*sec)
	req.Deadline = 2*sec + 300*ms
	actions := b.Handle(2*sec, req)
	timers := actionsOf[SetTimer](actions)
	if len(timers) != 1 || timers[0].Delay > 300*ms {
		t.Fatalf("timers %v", timers)
	}
	if send := actionsOf[Send](actions)[0]; send.Timeout <= 0 || send.Timeout > 300*ms {
		t.Errorf("attempt timeout is %v, but the deadline is in 300ms", send.Timeout)
	}
	actions = b.Handle(2*sec+timers[0].Delay, Timer{Token: timers[0].Token})
	if len(actionsOf[Reject](actions)) != 1 || len(actionsOf[Cancel](actions)) != 1 {
		t.Fatalf("at the deadline: %v", actions)
	}
	actions = b.Handle(3*sec, AttemptEnded{ID: req.ID, Endpoint: endpointID(0), Status: Canceled, Final: true})
	if len(actions) != 0 || len(b.requests) != 0 {
		t.Errorf("after the final answer: %v", actions)
	}
}

func TestDisconnectAfterAttemptEndIsIgnored(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	req := testRequest(1, 2*sec)
	endpoint := sentTo(b.Handle(2*sec, req))
	b.Handle(3*sec, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: OK, Final: true})
	if actions := b.Handle(3*sec, ClientDisconnected{ID: req.ID}); len(actions) != 0 {
		t.Errorf("disconnect after the final attempt: actions %v", actions)
	}
	if actions := b.Handle(3*sec, ClientDisconnected{ID: "never seen"}); len(actions) != 0 {
		t.Errorf("disconnect of an unknown request: actions %v", actions)
	}
}

func TestAdoptedConnectionIsCounted(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	actions := b.Handle(2*sec, Adopted{Request: Request{ID: "o", Class: "light", Key: "k"}, Endpoint: endpointID(1)})
	if len(actions) != 0 {
		t.Fatalf("an adopted connection needs no action, got %v", actions)
	}
	if b.activeCount != 1 {
		t.Errorf("%d active connections, want 1", b.activeCount)
	}
	actions = b.Handle(3*sec, AttemptEnded{ID: "o", Endpoint: endpointID(1), Status: Reset, Final: true})
	if len(actions) != 0 || b.activeCount != 0 || len(b.requests) != 0 {
		t.Errorf("after the reset: actions %v, %d active", actions, b.activeCount)
	}
}

func TestIdempotencyDecidesRetryAndRejection(t *testing.T) {
	type answer struct{ resend, reject bool }
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		dedup       DedupScope
		status      Status
		after       time.Duration
		want        answer
	}{
		{"idempotent, after timeout", Idempotent, ScopeAll, Timeout, 100 * ms, answer{true, false}},
		{"not idempotent, after rejection", NotIdempotent, ScopeAll, RejectedByEndpoint, 100 * ms, answer{true, false}},
		{"not idempotent, after timeout", NotIdempotent, ScopeAll, Timeout, 100 * ms, answer{false, false}},
		{"not idempotent, after application error", NotIdempotent, ScopeAll, AppError, 100 * ms, answer{false, false}},
		{"by key, all, in window", IdempotentByKey, ScopeAll, Timeout, 100 * ms, answer{true, false}},
		{"by key, all, past window", IdempotentByKey, ScopeAll, Timeout, 700 * ms, answer{false, true}},
		{"by key, zone, past window", IdempotentByKey, ScopeZone, Timeout, 700 * ms, answer{false, false}},
		{"by key, zone, in window", IdempotentByKey, ScopeZone, Timeout, 100 * ms, answer{true, false}},
		{"by key, cell, in window", IdempotentByKey, ScopeCell, Reset, 100 * ms, answer{true, false}},
		{"by key, zone, never executed", IdempotentByKey, ScopeZone, ConnectFailed, 700 * ms, answer{true, false}},
	} {
		settings := testSettings()
		settings.Classes[0].Idempotency, settings.Classes[0].DedupScope, settings.Classes[0].DedupWindow = c.idempotency, c.dedup, 500*ms
		b := startBalancer(t, settings, testEndpoints(12), 1)
		req := testRequest(1, 2*sec)
		first := b.endpoints[sentTo(b.Handle(2*sec, req))]
		actions := b.Handle(2*sec+c.after, AttemptEnded{ID: req.ID, Endpoint: first.id, Status: c.status})
		if got := len(actionsOf[Send](actions)) == 1; got != c.want.resend {
			t.Errorf("%s: resent %v", c.name, got)
		}
		if got := len(actionsOf[Reject](actions)) == 1; got != c.want.reject {
			t.Errorf("%s: rejected %v", c.name, got)
		}
		if n := len(actionsOf[Fail](actions)) + len(actionsOf[Reject](actions)) + len(actionsOf[Send](actions)); n != 1 {
			t.Errorf("%s: %d answers or sends", c.name, n)
		}
		if next := sentTo(actions); next != "" && c.idempotency == IdempotentByKey && !c.status.NeverExecuted() {
			endpoint := b.endpoints[next]
			if c.dedup != ScopeAll && endpoint.zone != first.zone || c.dedup == ScopeCell && endpoint.cell != first.cell {
				t.Errorf("%s: resent outside the dedup scope", c.name)
			}
		}
	}
}

// A request that is idempotent by key within a zone must fail at its deadline, not be rejected, while its only attempt
// may be executed: a retry in another zone could execute it twice.
func TestIdempotentByKeyInZoneFailsAtDeadline(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency, settings.Classes[0].DedupScope, settings.Classes[0].DedupWindow = IdempotentByKey, ScopeZone, sec
	b := startBalancer(t, settings, testEndpoints(4), 1)
	actions := b.Handle(2*sec, testRequest(1, 2*sec))
	timer := actionsOf[SetTimer](actions)[0]
	if actions = b.Handle(2*sec+timer.Delay, Timer{Token: timer.Token}); len(actionsOf[Fail](actions)) != 1 || len(actionsOf[Reject](actions)) != 0 {
		t.Errorf("at the deadline: actions %v", actions)
	}
}
