package balancer

import (
	"slices"
	"testing"
)

// New settings change the classes, the attempts and the objectives; the table's history, what is known of endpoints and
// pending requests stay.
func TestReconfigure(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(6), 1)
	req := testRequest(1, sec)
	req.Deadline = 10 * sec
	first := sentTo(b.Handle(sec, req))
	b.Handle(2*sec, EndpointUpdate{Kind: DeltaList, Entries: []Endpoint{{ID: "s999", StartedAt: 2 * sec, Size: 1, Zone: "z0"}}})
	b.Handle(4*sec, Timer{}) // an epoch later
	owners, tokens := b.fleetTable.allOwners(), b.endpoints["s999"].slowStartTokens
	settings := testSettings()
	settings.Classes = []Class{settings.Classes[1], {Name: "new", LatencyObjective: sec, Timeout: 3 * sec, MessageObjective: 50 * ms, PriorityWeight: 1, Idempotency: NotIdempotent}}
	settings.Limits.Attempts = 2
	settings.Rules.OverloadWindow = sec
	if _, err := b.Reconfigure(4*sec, settings); err != nil {
		t.Fatal(err)
	}
	b.Handle(4*sec+ms, Timer{})
	if !slices.Equal(owners, b.fleetTable.allOwners()) || !slices.Contains(owners, b.endpoints["s999"]) || b.endpoints["s999"].slowStartTokens != tokens {
		t.Errorf("table of %v, tokens %v: changed", b.fleetTable.slotCountHistory, b.endpoints["s999"].slowStartTokens)
	}
	// The old request keeps its class, safe, and is retried; the limit on attempts is the new one.
	actions := b.Handle(4*sec+ms, AttemptEnded{ID: req.ID, Endpoint: first, Status: Timeout})
	if len(actionsOf[Send](actions)) != 1 {
		t.Errorf("actions %v", actions)
	}
	n := testRequest(2, 5*sec)
	n.Class = "new"
	at := sentTo(b.Handle(5*sec, n))
	if actions := b.Handle(5*sec+ms, AttemptEnded{ID: n.ID, Endpoint: at, Status: Timeout}); len(actionsOf[Fail](actions)) != 1 {
		t.Errorf("an unsafe request that may have been executed: %v", actions)
	}
	n = testRequest(3, 5*sec)
	n.Class = "heavy"
	at = sentTo(b.Handle(5*sec+2*ms, n))
	for i := range 2 {
		actions = b.Handle(5*sec+2*ms, AttemptEnded{ID: n.ID, Endpoint: at, Attempt: i, Status: RejectedByEndpoint})
		at = sentTo(actions)
	}
	if len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("after the last attempt: %v", actions)
	}
	if b.minMessageObjective != 50*ms {
		t.Errorf("shortest objective %v", b.minMessageObjective)
	}
	bad := settings
	bad.Classes = nil
	if _, err := b.Reconfigure(6*sec, bad); err == nil || len(b.settings.Classes) != 2 {
		t.Errorf("no classes: %v", err)
	}
}
