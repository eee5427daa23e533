package configbundle

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

// goldenSettings returns the expected settings of the fixture. Every field is set.
func goldenSettings() balancer.Settings {
	return balancer.Settings{Nodes: 7, NodeIndex: 2, Zone: "thies",
		Classes: []balancer.Class{{Name: "album-feed", LatencyObjective: 300 * time.Millisecond, Timeout: 1200 * time.Millisecond,
			MessageObjective: 250 * time.Millisecond, PriorityWeight: 2.5, Idempotency: balancer.IdempotentByKey, DedupScope: balancer.ScopeCell, DedupWindow: 5 * time.Second}},
		Tenants: []balancer.Tenant{{Name: "team-post", PerSecond: 12.5, Share: 0.4, Connections: 30}},
		Limits: balancer.Limits{Attempts: 3, ConnectTimeout: 200 * time.Millisecond, MaxRetryAfter: time.Second, MaxOpen: 9,
			RetryAfter: true, HealthChecks: true, Cancel: true, HedgedRequests: true},
		Rules: balancer.Rules{AnswerSlack: 20 * time.Millisecond, DiscoveryInterval: 10 * time.Second, WarmUp: 24 * time.Second, InitialCapacity: 0.15,
			DrainGrace: 250 * time.Millisecond, OverloadWindow: 2 * time.Second, OverloadFactor: 3},
		Subscribe: true, PassThrough: true, LoadReports: true, OverQuotaWeight: 0.125}
}

func goldenPool(name string) routing.Pool {
	return routing.Pool{Name: name, Precedence: 3, FormerNames: []string{"post"}, MaxOpen: 400, MaxWaiting: 50,
		Select: routing.EndpointSelector{Zones: []string{"thies"}, MachineTypes: []string{"m2"}, Cells: []int{7},
			IDPrefixes: []string{"s-"}, SizeFrom: 0.5, SizeTo: 2}}
}

// goldenSet returns the expected routes of the fixture before services are bound. Every field is set.
func goldenSet() routing.Set {
	condition := func(letter string) routing.StringMatcher {
		return routing.StringMatcher{Exact: []string{letter + "1"}, Prefix: []string{letter + "-"}}
	}
	return routing.Set{Pools: []routing.Pool{goldenPool("thies")},
		Policies: []routing.Policy{{Name: "patient", Attempts: 5, Deadline: 800_000, RetryAfterMin: 200_000, RetryAfterMax: 900_000,
			Fallback: []string{"thies"}}},
		Routes: []routing.Route{{Name: "feeds", Precedence: 4, To: []routing.SplitShare{{Pool: "service:mail", PPM: 1_000_000}},
			Policy: "patient", MaxOpen: 300, MaxWaiting: 40, Match: routing.Match{Class: []string{"album-feed"},
				Listener: []string{"inner"}, Zone: []string{"thies"}, Key: condition("k"), Group: condition("g"),
				Fields: map[string]routing.StringMatcher{"app": condition("a")}}}},
		Default: "feeds", Zones: []routing.Zone{{Name: "thies", Title: "Thiès"}},
		Listeners: map[string]string{"inner": "127.0.0.1:8082"}, DrainTimeout: 30_000_000}
}

// goldenCatalog returns the expected catalog of the fixture: a service with every field set, and an alias of it.
func goldenCatalog() *catalog.State {
	return &catalog.State{Number: 12, At: 90 * time.Second,
		Entries: []catalog.Entry{{Name: "mail", Owner: "team-post", Contract: "c-1", SinceState: 11, Status: "draining",
			UntilUS: 690_000_000, PublishedBy: []string{"thies"}, Ended: true, Cause: "ruling",
			Providers: []catalog.Provider{{Mesh: "thies", Zones: []string{"thies"}, Class: "album-feed", LatencyObjective: 300 * time.Millisecond,
				SpareCapacity: 0.25, Pool: goldenPool("mail.thies"), Origin: "dakar", Via: []string{"dakar"}, Lost: true, DrainBy: time.Hour}},
			Conflicts: []catalog.Conflict{{Mesh: "lagos", Owner: "team-other", QualifiedName: "mail.lagos"}}},
			{Name: "post", Owner: "team-post", Contract: "c-1", SinceState: 12, Status: "held", AliasOf: "mail", PublishedBy: []string{"thies"},
				Cause: "sole"}},
		Meshes: []catalog.AcceptedPublication{{Mesh: "thies", Epoch: 4, Seq: 18, Digest: "00112233445566778899aabbccddeeff",
			Import: []catalog.Import{{From: "thies", Names: []string{"mail"}}}, Lost: true, LostSinceUS: 60_000_000}}}
}

func goldenBody(t *testing.T) fleetconfig.Body {
	t.Helper()
	var body fleetconfig.Body
	if err := json.Unmarshal(testkit.GoldenFile(t, "body.json"), &body); err != nil {
		t.Fatal(err)
	}
	return body
}

// TestGoldenBodyDecoded checks that every key of settings, routing and catalog is decoded to its field. The comparison excludes the
// catalog's only unexported field, its index.
func TestGoldenBodyDecoded(t *testing.T) {
	bundle, err := decode(goldenBody(t))
	if err != nil {
		t.Fatal(err)
	}
	testkit.CheckAllSet(t, "settings", reflect.ValueOf(goldenSettings()))
	testkit.CheckAllSet(t, "routing", reflect.ValueOf(goldenSet()))
	testkit.Equal(t, "settings", goldenSettings(), bundle.Settings)
	testkit.Equal(t, "LoadIsLatency", true, bundle.LoadIsLatency)
	testkit.Equal(t, "routing", goldenSet(), bundle.Routing)
	want := goldenCatalog()
	testkit.Equal(t, "catalog", []any{want.Number, want.At, want.Entries, want.Meshes},
		[]any{bundle.Catalog.Number, bundle.Catalog.At, bundle.Catalog.Entries, bundle.Catalog.Meshes})
}

// TestGoldenBodyEncoded checks that the routes and the catalog are encoded to the bytes of the fixture.
func TestGoldenBodyEncoded(t *testing.T) {
	body := goldenBody(t)
	for name, part := range map[string]struct {
		text  json.RawMessage
		value any
	}{
		"routing": {body.Routing, goldenSet()},
		"catalog": {body.Catalog, goldenCatalog()},
	} {
		text, err := json.Marshal(part.value)
		if err != nil {
			t.Fatal(err)
		}
		testkit.Equal(t, name, string(part.text), string(text))
	}
}

// TestGoldenBodyBound checks that services are bound to the pools of their providers, and that the pools of the body stay.
func TestGoldenBodyBound(t *testing.T) {
	bundle, err := Decode(goldenBody(t), Locality{Zone: "thies", Mesh: "thies"})
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "services", []Service{{Name: "mail", Pools: []string{"mail.thies"}, Conflict: true,
		Explanation: bundle.Catalog.Explain("mail")}}, bundle.Services)
	testkit.Equal(t, "to", []routing.SplitShare{{Pool: "mail.thies", PPM: 1_000_000}}, bundle.Routing.Routes[0].To)
	testkit.Equal(t, "pools", []routing.Pool{goldenPool("thies"), goldenPool("mail.thies")}, bundle.Routing.Pools)
}

// TestGoldenSettingsEnumerations checks the decoding of enumerated settings and of keys that take precedence over others.
func TestGoldenSettingsEnumerations(t *testing.T) {
	for name, test := range map[string]struct {
		change        func(settings map[string]any)
		want          func(want *balancer.Settings)
		loadIsLatency bool
	}{
		"load reported": {loadIsLatency: false,
			change: func(settings map[string]any) { settings["FamilyInfo"].(map[string]any)["TellsLoad"] = true },
			want:   func(*balancer.Settings) {}},
		"no statistics": {loadIsLatency: true,
			change: func(settings map[string]any) { settings["Stats"].(map[string]any)["How"] = "none" },
			want:   func(want *balancer.Settings) { want.LoadReports = false }},
		"safe, by zone": {loadIsLatency: true,
			change: func(settings map[string]any) {
				class := settings["Categories"].([]any)[0].(map[string]any)
				class["Effect"], class["DedupScope"] = "safe", "zone"
			},
			want: func(want *balancer.Settings) {
				want.Classes[0].Idempotency, want.Classes[0].DedupScope = balancer.Idempotent, balancer.ScopeZone
			}},
		"unsafe, by all": {loadIsLatency: true,
			change: func(settings map[string]any) {
				class := settings["Categories"].([]any)[0].(map[string]any)
				class["Effect"], class["DedupScope"] = "unsafe", "all"
			},
			want: func(want *balancer.Settings) {
				want.Classes[0].Idempotency, want.Classes[0].DedupScope = balancer.NotIdempotent, balancer.ScopeAll
			}},
	} {
		t.Run(name, func(t *testing.T) {
			body := goldenBody(t)
			var settings map[string]any
			if err := json.Unmarshal(body.Settings, &settings); err != nil {
				t.Fatal(err)
			}
			test.change(settings)
			text, err := json.Marshal(settings)
			if err != nil {
				t.Fatal(err)
			}
			body.Settings = text
			bundle, err := decode(body)
			if err != nil {
				t.Fatal(err)
			}
			want := goldenSettings()
			test.want(&want)
			testkit.Equal(t, "settings", want, bundle.Settings)
			testkit.Equal(t, "LoadIsLatency", test.loadIsLatency, bundle.LoadIsLatency)
		})
	}
}
