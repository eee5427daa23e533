package balancer

import (
	"slices"
	"testing"
)

// New settings replace the classes, limits and objectives. The history of the slot table, the state of endpoints and
// pending requests are kept.
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
	// The pending request keeps its class, which is idempotent, and is retried. The new limit on attempts applies.
	actions := b.Handle(4*sec+ms, AttemptEnded{ID: req.ID, Endpoint: first, Status: Timeout})
	if len(actionsOf[Send](actions)) != 1 {
		t.Errorf("pending request after a timeout: %v, want one attempt", actions)
	}
	nonIdempotent := testRequest(2, 5*sec)
	nonIdempotent.Class = "new"
	endpoint := sentTo(b.Handle(5*sec, nonIdempotent))
	if actions := b.Handle(5*sec+ms, AttemptEnded{ID: nonIdempotent.ID, Endpoint: endpoint, Status: Timeout}); len(actionsOf[Fail](actions)) != 1 {
		t.Errorf("request that is not idempotent and may have been executed: %v, want a failure", actions)
	}
	req = testRequest(3, 5*sec)
	req.Class = "heavy"
	endpoint = sentTo(b.Handle(5*sec+2*ms, req))
	for i := range 2 {
		actions = b.Handle(5*sec+2*ms, AttemptEnded{ID: req.ID, Endpoint: endpoint, Attempt: i, Status: RejectedByEndpoint})
		endpoint = sentTo(actions)
	}
	if len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("request without attempts left: %v, want a rejection", actions)
	}
	if b.minMessageObjective != 50*ms {
		t.Errorf("shortest message objective %v, want 50ms", b.minMessageObjective)
	}
	invalid := settings
	invalid.Classes = nil
	if _, err := b.Reconfigure(6*sec, invalid); err == nil || len(b.settings.Classes) != 2 {
		t.Errorf("settings without classes: error %v", err)
	}
}
