package simwire

import (
	"maps"
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
)

// The tests in this file pin the names of the simulator's wire format that the other tests of this package do not use: all
// members of the settings, all members of each event, and all enumeration values. The fixtures must never be rewritten.

// goldenSettings returns the decoded form of the settings fixture, in which every field is set.
func goldenSettings() balancer.Settings {
	const second = time.Second
	return balancer.Settings{
		Nodes: 11, NodeIndex: 12, Zone: "east",
		Classes: []balancer.Class{{
			Name: "light", LatencyObjective: 13 * second, Timeout: 14 * second, MessageObjective: 15 * second, PriorityWeight: 16.5,
			Idempotency: balancer.IdempotentByKey, DedupScope: balancer.ScopeZone, DedupWindow: 17 * second,
		}, {
			Name: "heavy", LatencyObjective: 18 * second, Timeout: 19 * second, MessageObjective: 20 * second, PriorityWeight: 21.5,
			Idempotency: balancer.NotIdempotent, DedupScope: balancer.ScopeCell, DedupWindow: 22 * second,
		}},
		Tenants: []balancer.Tenant{{Name: "tenant", PerSecond: 23.5, Share: 0.24, Connections: 25}},
		Limits: balancer.Limits{
			Attempts: 26, ConnectTimeout: 27 * second, MaxRetryAfter: 28 * second, MaxOpen: 29, RetryAfter: true,
			HealthChecks: true, Cancel: true, HedgedRequests: true,
		},
		Rules: balancer.Rules{
			AnswerSlack: 30 * second, DiscoveryInterval: 31 * second, WarmUp: 32 * second, InitialCapacity: 0.33, DrainGrace: 34 * second,
			OverloadWindow: 35 * second, OverloadFactor: 36.5,
		},
		Subscribe: true, PassThrough: true, LoadReports: true, OverQuotaWeight: 0.37,
	}
}

// TestGoldenSettings decodes settings with every member set, alone and in a Configure event.
func TestGoldenSettings(t *testing.T) {
	got, err := DecodeSettings(testkit.GoldenFile(t, "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenSettings(), got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
	for _, path := range testkit.UnsetPaths(got) {
		t.Errorf("settings: field %s is not set", path)
	}
	input := decodeOne(t, `{"Configure":{"Node":3,"Entropy":18446744073709551615,"Env":`+string(testkit.GoldenFile(t, "settings.json"))+`}}`)
	if diff := cmp.Diff(&Start{Node: 3, Seed: 18446744073709551615, Settings: goldenSettings()}, input.Start); diff != "" {
		t.Errorf("start (-want +got):\n%s", diff)
	}
}

// TestGoldenBatch decodes a line that contains every event with every member set.
func TestGoldenBatch(t *testing.T) {
	batch, err := Decode(testkit.GoldenFile(t, "batch.json"))
	if err != nil {
		t.Fatal(err)
	}
	request := balancer.Request{
		ID: "r1", Class: "light", Tenant: "tenant", Group: "group", Key: "key", Deadline: 41 * time.Second, LoadHint: 4.25,
		Resumed: true, ClientRetry: true, Returning: true,
	}
	load := balancer.LoadReport{"x0": 0.5, "outstanding": 43}
	events := []balancer.Event{
		balancer.EndpointUpdate{Kind: balancer.FullList, Version: 44, Entries: []balancer.Endpoint{{
			ID: "s001", Phase: balancer.Draining, StartedAt: 45 * time.Second, Size: 4.5, Zone: "east", Cell: 46,
		}}},
		request,
		balancer.Adopted{Request: request, Endpoint: "s001"},
		balancer.Established{ID: "r1", Endpoint: "s001", Attempt: 47, Latency: 48 * time.Second},
		balancer.AttemptEnded{
			ID: "r1", Endpoint: "s001", Attempt: 49, Status: balancer.Reset, Latency: 50 * time.Second, Final: true, Load: load,
		},
		balancer.ClientDisconnected{ID: "r1"},
		balancer.LoadChanged{ID: "r1", Endpoint: "s001", Attempt: 51, Load: 52},
		balancer.LatencyChanged{ID: "r1", Endpoint: "s001", Attempt: 53, Latency: 54 * time.Millisecond},
		balancer.HealthCheckResult{Endpoint: "s001", Status: balancer.Timeout, Latency: 55 * time.Second, Load: load},
		balancer.PeerMessage{From: 56, Data: "data"},
		balancer.Timer{Token: "token"},
	}
	want := &Batch{Now: 57 * time.Second, Frame: 58}
	for _, event := range events {
		want.Inputs = append(want.Inputs, Input{Node: 59, Event: event})
	}
	want.Inputs = append(want.Inputs, Input{Node: 59, Kill: true})
	if diff := cmp.Diff(want, batch); diff != "" {
		t.Errorf("batch (-want +got):\n%s", diff)
	}
	for _, event := range events {
		for _, path := range testkit.UnsetPaths(event) {
			if path == "MaxAttempts" || path == "Request.MaxAttempts" { // the wire format has no such member
				continue
			}
			t.Errorf("%T: field %s is not set", event, path)
		}
	}
}

// TestGoldenEnumerations pins the names and numbers of all enumeration values. Other encodings use the numbers.
func TestGoldenEnumerations(t *testing.T) {
	checkNumbers := func(t *testing.T, want map[string]int, got map[string]int) {
		t.Helper()
		if !maps.Equal(want, got) {
			t.Errorf("want %v\n got %v", want, got)
		}
	}
	checkNumbers(t, map[string]int{
		"delivered": 0, "app_error": 1, "shed": 2, "expired": 3, "dial_failed": 4, "dropped": 5, "revoked": 6, "unused": 7,
	}, asNumbers(statuses))
	checkNumbers(t, map[string]int{"INCREMENTAL": 0, "FULL": 1, "SAVED": 2, "FAILED": 3}, asNumbers(listKinds))
	checkNumbers(t, map[string]int{"healthy": 0, "cordoned": 1, "deregistered": 2}, asNumbers(phases))
	checkNumbers(t, map[string]int{"safe": 0, "keyed": 1, "unsafe": 2}, asNumbers(idempotencies))
	checkNumbers(t, map[string]int{"all": 0, "zone": 1, "cell": 2}, asNumbers(dedupScopes))
}

func asNumbers[T ~int](values map[string]T) map[string]int {
	out := map[string]int{}
	for name, value := range values {
		out[name] = int(value)
	}
	return out
}
