package proxy

import (
	"bytes"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/configbundle"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
)

// The golden tests pin the encodings that two processes exchange during a hot restart, and the telemetry. A
// program version with older Go names wrote the fixtures in testdata/golden. They must never be rewritten, because
// during an upgrade one of the two processes runs an older version.

// goldenHandover returns a handover with every field set.
func goldenHandover(t *testing.T) handoverState {
	t.Helper()
	list, err := json.Marshal(discovery.List{Generation: 101, Reset: true, Instances: []discovery.Entry{{
		ID: "s001", HostPort: "127.0.0.1:102", Zone: "east", MachineType: "large", Cell: 103, Lifecycle: "terminating",
		Weight: 1.104, StartedAtMs: 105,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return handoverState{
		Discovery:    "127.0.0.1:106",
		EndpointList: list,
		Balancer:     goldenState(1000),
		Pools:        map[string]balancer.State{"blue": goldenState(2000), "green": goldenState(3000)},
		Reserved:     map[string]time.Duration{"s002": 107, "s003": 108},
		Listeners:    []string{"internal", "partner"},
		DroppedClasses: map[string]balancer.Class{"old": {
			Name: "old", LatencyObjective: 109, Timeout: 110, MessageObjective: 111, PriorityWeight: 1.112, Idempotency: balancer.IdempotentByKey,
			DedupScope: balancer.ScopeZone, DedupWindow: 113,
		}},
		ClientIDs: []string{"client-1", "client-2"},
	}
}

// goldenState returns a balancer state with every field set. Its numbers count up from base.
func goldenState(base int) balancer.State {
	at := func(offset int) balancer.Instant { return balancer.Instant(base + offset) }
	figure := func(offset int) float64 { return float64(base+offset) + 0.5 }
	table := func(offset int) balancer.TableState {
		return balancer.TableState{
			Counts: []int{base + offset, base + offset + 1}, Owners: []int{1, 0}, SlotSize: figure(offset + 2),
			Previous: &balancer.TableState{Counts: []int{base + offset + 3}, Owners: []int{0}, SlotSize: figure(offset + 4)},
		}
	}
	return balancer.State{
		StartedAt: at(1), LastEpoch: int64(base + 2), LastChangeEpoch: int64(base + 3), ListDirty: true, HistoryReset: true,
		BaselineLocalShare: figure(4), Table: table(10), ZoneTables: map[string]balancer.TableState{"east": table(20)}, PreviousTablesAt: at(5),
		Endpoints: []balancer.EndpointRecord{{
			ID: "s001", Zone: "east", Cell: base + 30, Phase: balancer.Draining, Size: figure(31),
			Outlier: balancer.OutlierRecord{Failures: base + 32, RetryAt: at(33)}, StartedAt: at(34), LastResetAt: at(35),
			CrashSuspected: true, MessageLatency: at(36), MessageLatencyAt: at(37), AdmittedFraction: figure(38), SlowStartTokens: figure(39), AdmittedFractionAt: at(40),
			SlowStartTokensAt: at(41),
		}},
		ZoneOutliers:    map[string]balancer.OutlierRecord{"east": {Failures: base + 42, RetryAt: at(43)}},
		AdmissionRate:   figure(44),
		MeanLoads:       map[string]float64{"light": figure(45)},
		GroupCounts:     map[uint64]float64{uint64(base + 46): figure(47)},
		ClientEndpoints: map[uint64]string{uint64(base + 48): "s001"},
	}
}

// goldenHeartbeat returns a heartbeat with every field set.
func goldenHeartbeat() heartbeat {
	return heartbeat{
		OpenDescriptors: 201, Serving: true, Established: map[uint64]string{202: "s001", 18446744073709551615: "s002"},
		Transfer: &transferredConn{
			ClientID: "client-1", Route: "route", Pool: "blue",
			Connection: balancer.Adopted{
				Request: balancer.Request{
					ID: "r1", Class: "light", Tenant: "tenant", Group: "group", Key: "key", Deadline: 203, LoadHint: 2.04,
					Resumed: true, ClientRetry: true, Returning: true, MaxAttempts: 205,
				},
				Endpoint: "s001",
			},
			EndpointAddr:      "127.0.0.1:206",
			PartialMessage:    []byte("LOA"),
			PendingDownstream: []byte("to client\r\n\x00\xff"),
			PendingUpstream:   []byte("to hop"),
			UnansweredSince:   207,
			LastMessage:       MessageMigrate,
		},
	}
}

// TestGoldenHandover compares the encodings with the fixtures in both directions. The zero values pin which members are
// written when they are empty.
func TestGoldenHandover(t *testing.T) {
	t.Run("handover", func(t *testing.T) { testGoldenEncoding(t, "handover.json", goldenHandover(t)) })
	t.Run("heartbeat", func(t *testing.T) { testGoldenEncoding(t, "heartbeat.json", goldenHeartbeat()) })
	t.Run("heartbeat zero", func(t *testing.T) { testGoldenEncoding(t, "heartbeat_zero.json", heartbeat{}) })
	t.Run("connection zero", func(t *testing.T) { testGoldenEncoding(t, "connection_zero.json", transferredConn{}) })
	t.Run("handover zero", func(t *testing.T) {
		testGoldenEncoding(t, "handover_zero.json", handoverState{EndpointList: []byte("{}")})
	})
}

// TestGoldenValuesSetEveryField fails when a field is added to an encoded type and the fixtures do not cover it. Fields
// that only the states of large tables contain are pinned by a fixture in package balancer.
func TestGoldenValuesSetEveryField(t *testing.T) {
	compactOnly := regexp.MustCompile(`(Table|ZoneTables)(\.Previous)?\.Members$|\.CompactAdmissionRate$|^Clock$`)
	for _, value := range []any{goldenHandover(t), goldenHeartbeat()} {
		for _, path := range testkit.UnsetPaths(value) {
			if !compactOnly.MatchString(path) {
				t.Errorf("%T: field %s is not set", value, path)
			}
		}
	}
}

// TestGoldenMessageKinds pins the numbers that encode the last message of an endpoint in a transferred connection.
func TestGoldenMessageKinds(t *testing.T) {
	want := []MessageKind{0, 1, 2, 3, 4, 5, 6}
	got := []MessageKind{MessageOther, MessageEstablished, MessageBye, MessageMigrate, MessageError, MessageFull, MessageLoad}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// testGoldenEncoding checks that the fixture decodes to the value and that the value encodes to the fixture's bytes.
func testGoldenEncoding[T any](t *testing.T, fixture string, value T) {
	t.Helper()
	text := testkit.GoldenFile(t, fixture)
	var decoded T
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(value, decoded); diff != "" {
		t.Errorf("%s decodes to another value (-want +got):\n%s", fixture, diff)
	}
	for _, v := range []T{value, decoded} {
		got, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		compareGolden(t, fixture, got)
	}
}

func compareGolden(t *testing.T, fixture string, got []byte) {
	t.Helper()
	if want := testkit.GoldenFile(t, fixture); !bytes.Equal(want, got) {
		t.Errorf("%s:\nwant %s\n got %s", fixture, want, got)
	}
}

// goldenConfig returns a configuration with two pools, two routes, a tenant and a fleet record. Nothing listens at the
// addresses that it contains.
func goldenConfig(t *testing.T) *config.Config {
	t.Helper()
	settings, loadIsLatency, err := config.DecodeSettings([]byte(strings.Replace(plainSettings, `"Limits"`,
		`"Customers":[{"Name":"tenant","QuotaPerS":1,"Share":0.5}],"Limits"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	routes, err := routing.New(routing.Set{
		Pools: []routing.Pool{
			{Name: "blue", Select: routing.EndpointSelector{Zones: []string{"east"}}},
			{Name: "green", Select: routing.EndpointSelector{Zones: []string{"west"}}},
		},
		Routes: []routing.Route{
			{Name: "first", Match: routing.Match{Class: []string{"feed"}}, To: []routing.SplitShare{{Pool: "blue", PPM: routing.TotalPPM}}},
			{Name: "second", To: []routing.SplitShare{{Pool: "green", PPM: routing.TotalPPM}}, Precedence: -1},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	terms, err := fleetconfig.Terms{}.WithDefaults("fleet")
	if err != nil {
		t.Fatal(err)
	}
	return &config.Config{
		Name: "proxy", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: 1, MaxDescriptors: 64, Settings: settings,
		LoadIsLatency: loadIsLatency, Routes: routes,
		InitialEndpoints: discovery.List{Generation: 1, Reset: true, Instances: []discovery.Entry{
			{ID: "s001", HostPort: "127.0.0.1:2", Zone: "east", Lifecycle: "in_service", Weight: 1},
			{ID: "s002", HostPort: "127.0.0.1:3", Zone: "west", Lifecycle: "terminating", Weight: 1},
		}},
		Fleet: &config.Fleet{ControlPlane: []string{"127.0.0.1:1"}, Node: "proxy", Terms: terms},
	}
}

// TestGoldenTelemetry pins the whole response to GET /api/telemetry, for a proxy with pools, routes and a fleet record
// and for a proxy without them.
func TestGoldenTelemetry(t *testing.T) {
	whole := goldenConfig(t)
	plain := *whole
	plain.Fleet = nil
	single, err := routing.New(routing.SinglePoolSet())
	if err != nil {
		t.Fatal(err)
	}
	plain.Routes = single
	for _, c := range []struct {
		fixture string
		config  *config.Config
	}{{"telemetry.txt", whole}, {"telemetry_plain.txt", &plain}} {
		log := logging.New(io.Discard, logging.JSON, 0)
		p, err := New(c.config, log)
		if err != nil {
			t.Fatal(err)
		}
		p.counters.Attempts, p.counters.Reloads, p.counters.ReloadErrors = 301, 302, 303
		p.counters.NoRoute, p.counters.Fallbacks, p.counters.PoolTransfers = 304, 305, 306
		p.pools.active[0].usage = routing.Usage{Open: 307, Waiting: 308}
		if c.config == whole {
			p.pools.ensureRouteUsage("first").Usage = routing.Usage{Open: 309, Waiting: 310}
			p.pools.retired = append(p.pools.retired, &endpointPool{name: "retired", usage: routing.Usage{Open: 311}})
		}
		before, loopMetrics, found := bytes.Cut(p.Telemetry(), []byte("svc.loop."))
		compareGolden(t, c.fixture, before)
		if want := "turns=0\nsvc.loop.long_turns=0\nsvc.loop.longest_turn_us=0\nsvc.loop.longest_turn_for=\n" +
			"svc.loop.hold_ups=0\nsvc.loop.held_up_ms=0\n"; !found || string(loopMetrics) != want {
			t.Errorf("%s: the loop's metrics are %q, want %q", c.fixture, loopMetrics, want)
		}
		if err := log.Close(); err != nil {
			t.Error(err)
		}
	}
}

// TestGoldenCatalogMetrics pins the telemetry of the services that the routes name.
func TestGoldenCatalogMetrics(t *testing.T) {
	compareGolden(t, "figures_catalog.txt", catalogMetrics(&configbundle.Bundle{
		Catalog: &catalog.State{Number: 401, Entries: []catalog.Entry{{Conflicts: []catalog.Conflict{{}}}, {}}},
		Services: []configbundle.Service{
			{Name: "feed", Pools: []string{"blue", "green"}, Explanation: "two\nlines"}, {Name: "a=b", Pools: []string{"blue"}},
		},
	}))
}
