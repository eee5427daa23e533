package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// goldenPath is a configuration file that sets every key. It is never rewritten, because operators have files of this format.
var goldenPath = filepath.Join("testdata", "golden", "config.json")

// goldenConfig returns the expected decoding of the file.
func goldenConfig() *Config {
	return &Config{
		Name: "proxy", Listen: "127.0.0.1:11", Discovery: "127.0.0.1:12", AdminAddr: "127.0.0.1:13", Seed: 0xfedcba9876543210,
		MemoryMB: 14, MaxDescriptors: 15,
		InitialEndpoints: discovery.List{Generation: 16, Reset: true, Instances: []discovery.Entry{{
			ID: "s001", HostPort: "127.0.0.1:17", Zone: "east", MachineType: "large", Cell: 18, Lifecycle: "terminating",
			Weight: 1.75, StartedAtMs: 19,
		}}},
		Settings:      goldenSettings(),
		LoadIsLatency: true,
		Routes:        &routing.Table{Set: goldenRoutes()},
		Fleet: &Fleet{
			ControlPlane: []string{"127.0.0.1:20", "[::1]:21"}, Node: "node", Mesh: "mesh", MemoryMB: 22,
			Terms: fleetconfig.Terms{AgreementTimeout: 230 * time.Millisecond, MemberTimeout: 240 * time.Millisecond, OnLeaseExpiry: fleetconfig.ServeOnExpiry, ClockDriftPPM: 25},
		},
	}
}

func goldenSettings() balancer.Settings {
	const second = time.Second
	return balancer.Settings{
		Nodes: 31, NodeIndex: 32, Zone: "east",
		Classes: []balancer.Class{{
			Name: "light", LatencyObjective: 33 * second, Timeout: 34 * second, MessageObjective: 35 * second, PriorityWeight: 3.5,
			Idempotency: balancer.IdempotentByKey, DedupScope: balancer.ScopeZone, DedupWindow: 36 * second,
		}, {
			Name: "heavy", LatencyObjective: 37 * second, Timeout: 38 * second, MessageObjective: 39 * second, PriorityWeight: 4.5,
			Idempotency: balancer.NotIdempotent, DedupScope: balancer.ScopeCell, DedupWindow: 40 * second,
		}},
		Tenants: []balancer.Tenant{{Name: "tenant", PerSecond: 4.25, Share: 0.42, Connections: 43}},
		Limits: balancer.Limits{
			Attempts: 44, ConnectTimeout: 45 * second, MaxRetryAfter: 46 * second, MaxOpen: 47, RetryAfter: true,
			HealthChecks: true, Cancel: true, HedgedRequests: true,
		},
		Rules: balancer.Rules{
			AnswerSlack: 48 * second, DiscoveryInterval: 49 * second, WarmUp: 50 * second, InitialCapacity: 0.51, DrainGrace: 52 * second,
			OverloadWindow: 53 * second, OverloadFactor: 5.5,
		},
		Subscribe: true, PassThrough: true, LoadReports: true, OverQuotaWeight: 0.54,
	}
}

func goldenRoutes() routing.Set {
	return routing.Set{
		Pools: []routing.Pool{{
			Name: "blue", Precedence: 61, FormerNames: []string{"azure"}, MaxOpen: 62, MaxWaiting: 63,
			Select: routing.EndpointSelector{
				Zones: []string{"east"}, MachineTypes: []string{"large"}, Cells: []int{64}, IDPrefixes: []string{"s"},
				SizeFrom: 0.65, SizeTo: 6.5,
			},
		}},
		Policies: []routing.Policy{{
			Name: "policy", Attempts: 66, Deadline: 67, RetryAfterMin: 68, RetryAfterMax: 69, Fallback: []string{"blue"},
		}},
		Routes: []routing.Route{{
			Name: "route", Precedence: 70, To: []routing.SplitShare{{Pool: "blue", PPM: routing.TotalPPM}}, Policy: "policy", MaxOpen: 71,
			MaxWaiting: 72,
			Match: routing.Match{
				Class: []string{"light"}, Listener: []string{"partner"}, Zone: []string{"east"},
				Key:    routing.StringMatcher{Exact: []string{"key"}, Prefix: []string{"k-"}},
				Group:  routing.StringMatcher{Exact: []string{"group"}, Prefix: []string{"g-"}},
				Fields: map[string]routing.StringMatcher{"field": {Exact: []string{"value"}, Prefix: []string{"v-"}}},
			},
		}},
		Default: "route", Zones: []routing.Zone{{Name: "east", Title: "East"}},
		Listeners: map[string]string{"partner": "127.0.0.1:73"}, DrainTimeout: 74,
	}
}

// TestGoldenConfig loads the file and compares every field.
func TestGoldenConfig(t *testing.T) {
	got := loadGolden(t, nil)
	if diff := cmp.Diff(goldenConfig(), got, cmpopts.IgnoreUnexported(Config{}, routing.Table{}),
		cmpopts.IgnoreFields(routing.Table{}, "FieldNames")); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"field"}, got.Routes.FieldNames); diff != "" {
		t.Errorf("fields that the routes match (-want +got):\n%s", diff)
	}
	for _, path := range testkit.UnsetPaths(*got) {
		if path != "TempDir" { // from the environment
			t.Errorf("field %s is not set", path)
		}
	}
}

// TestGoldenEnvironment pins the names of the environment variables, which override the file.
func TestGoldenEnvironment(t *testing.T) {
	got := loadGolden(t, map[string]string{
		"EDGE_NAME": "other", "EDGE_LISTEN": "127.0.0.1:81", "EDGE_DISCOVERY": "127.0.0.1:82", "EDGE_OPERATOR": "127.0.0.1:83",
		"TMPDIR": "/temporary",
	})
	want := goldenConfig()
	want.Name, want.Listen, want.Discovery, want.AdminAddr = "other", "127.0.0.1:81", "127.0.0.1:82", "127.0.0.1:83"
	want.TempDir = "/temporary"
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Config{}, routing.Table{}),
		cmpopts.IgnoreFields(routing.Table{}, "FieldNames")); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
}

func loadGolden(t *testing.T, environment map[string]string) *Config {
	t.Helper()
	c, err := Load(func(name string) string {
		if name == "EDGE_CONFIG" {
			return goldenPath
		}
		return environment[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestGoldenLoadIsLatency pins the two keys that determine LoadIsLatency.
func TestGoldenLoadIsLatency(t *testing.T) {
	text, err := os.ReadFile(goldenPath)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Settings map[string]any `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ reportsLoad, reportsLatency, want bool }{
		{false, false, false}, {false, true, true}, {true, false, false}, {true, true, false},
	} {
		file.Settings["FamilyInfo"] = map[string]any{"TellsLoad": c.reportsLoad, "TellsDelay": c.reportsLatency}
		settings, err := json.Marshal(file.Settings)
		if err != nil {
			t.Fatal(err)
		}
		if _, got, err := DecodeSettings(settings); err != nil || got != c.want {
			t.Errorf("TellsLoad %v, TellsDelay %v: load is latency %v, error %v", c.reportsLoad, c.reportsLatency, got, err)
		}
	}
}
