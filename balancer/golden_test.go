package balancer

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micafront/balancer/loadreport"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"
)

// The tests in this file pin the encoded form of State and Snapshot. The fixtures in testdata/golden were written before the
// Go identifiers were renamed and must never be rewritten, because a process of an older version hands over text in this
// form at an upgrade.

// goldenCodec is the codec with which a process hands over a State.
var goldenCodec = jsoniter.ConfigCompatibleWithStandardLibrary

// goldenState returns a State with every field set.
func goldenState() State {
	return State{
		StartedAt: 1001, LastEpoch: 1002, LastChangeEpoch: 1003, ListDirty: true, HistoryReset: true, BaselineLocalShare: 0.1004,
		Table:            goldenTable(1100),
		ZoneTables:       map[string]TableState{"east": goldenTable(1200), "west": goldenTable(1300)},
		PreviousTablesAt: 1005,
		Endpoints: []EndpointRecord{{
			ID: "s001", Zone: "east", Cell: 1401, Phase: Draining, Size: 1.402,
			Outlier: OutlierRecord{Failures: 1403, RetryAt: 1404}, StartedAt: 1405, LastResetAt: 1406, CrashSuspected: true,
			MessageLatency: 1407, MessageLatencyAt: 1408, AdmittedFraction: 0.1409, SlowStartTokens: 1.41, AdmittedFractionAt: 1411, SlowStartTokensAt: 1412,
		}, {
			ID: "s002", Zone: "west", Cell: 1501, Phase: Removed, Size: 1.502,
			Outlier: OutlierRecord{Failures: 1503, RetryAt: 1504}, StartedAt: 1505, LastResetAt: 1506, CrashSuspected: true,
			MessageLatency: 1507, MessageLatencyAt: 1508, AdmittedFraction: 0.1509, SlowStartTokens: 1.51, AdmittedFractionAt: 1511, SlowStartTokensAt: 1512,
		}},
		ZoneOutliers:    map[string]OutlierRecord{"east": {Failures: 1601, RetryAt: 1602}},
		AdmissionRate:   0.1006,
		MeanLoads:       map[string]float64{"": 1.701, "light": 1.702},
		GroupCounts:     map[uint64]float64{1801: 1802, 18446744073709551615: 1803},
		ClientEndpoints: map[uint64]string{1901: "s001", 18446744073709551614: "s002"},
	}
}

// goldenTable returns a table with every field set. Its numbers count up from base.
func goldenTable(base int) TableState {
	return TableState{
		Counts: []int{base + 1, base + 2}, Owners: []int{1, 0, 1}, SlotSize: float64(base) + 0.25,
		Previous: &TableState{Counts: []int{base + 3}, Owners: []int{0, 1}, SlotSize: float64(base) + 0.5},
	}
}

// goldenCompactState returns a State whose tables have members instead of owners.
func goldenCompactState() State {
	state := goldenState()
	state.AdmissionRate, state.CompactAdmissionRate = 0, 0.3006
	state.Table = goldenCompactTable(3100)
	state.ZoneTables = map[string]TableState{"east": goldenCompactTable(3200)}
	return state
}

// goldenCompactTable returns a table that has members instead of owners. Its numbers count up from base.
func goldenCompactTable(base int) TableState {
	return TableState{
		Counts: []int{base + 1}, Owners: []int{}, SlotSize: float64(base) + 0.25, Members: []int{0, 1},
		Previous: &TableState{Counts: []int{base + 2}, Owners: []int{}, SlotSize: float64(base) + 0.5, Members: []int{1}},
	}
}

// goldenSnapshot returns a Snapshot with every field set.
func goldenSnapshot() Snapshot {
	localTable := goldenTable(2300)
	return Snapshot{
		Version:            2001,
		Settings:           goldenSettings(),
		RandomState:        []byte("random state"),
		Now:                2002,
		Classes:            goldenSettings().Classes,
		ClassIndex:         map[string]int{"light": 2003, "heavy": 2004},
		MeanLoads:          map[string]float64{"": 2.005, "light": 2.006},
		Endpoints:          []EndpointSnapshot{goldenEndpointSnapshot()},
		EndpointIndex:      map[string]int{"s001": 2007},
		ZoneOutliers:       map[string]OutlierSnapshot{"east": {Failures: 2008, RetryAt: 2009, TrialInFlight: true}},
		ActiveByTenant:     map[string]int{"tenant": 2010},
		Requests:           []RequestSnapshot{goldenRequestSnapshot()},
		NextTimerID:        2011,
		Table:              goldenTable(2100),
		ZoneTables:         map[string]TableState{"east": goldenTable(2200)},
		PreviousTablesAt:   2012,
		LocalTable:         &localTable,
		LocalZone:          "east",
		ClientEndpoints:    [2]map[uint64]int{{2013: 2014}, {2015: 2016}},
		ActiveCount:        2017,
		ActiveLoad:         2.018,
		FleetCapacity:      2.019,
		LocalCapacity:      2.02,
		LocalKeyFraction:   2.021,
		BaselineLocalShare: 2.022,
		ZoneCount:          2023,
		GroupCounts:        map[uint64]float64{2024: 2.025}, GroupTotal: 2.026, GroupSumOfSquares: 2.027,
		Started: true, ListDirty: true, HistoryReset: true, StartedAt: 2028, LastEpoch: 2029, LastChangeEpoch: 2030,
		WatchFailures: 2031, WatchRetryPending: true, AdmissionRate: 0.2032, Stress: 0.2033, AdmissionUpdatedAt: 2034, LastAttemptAt: 2035,
		LoadReports: map[string]loadreport.LoadRecord{
			"s001": {Size: 2.036, ReportedLoad: 2.037, SentLoad: 2.038, ConnectionLoad: 2.039, ReportedAt: 2040, RequestedAt: 2041},
		},
	}
}

func goldenSettings() Settings {
	return Settings{
		Nodes: 2401, NodeIndex: 2402, Zone: "east",
		Classes: []Class{{
			Name: "light", LatencyObjective: 2403, Timeout: 2404, MessageObjective: 2405, PriorityWeight: 2.406, Idempotency: IdempotentByKey, DedupScope: ScopeZone,
			DedupWindow: 2407,
		}, {
			Name: "heavy", LatencyObjective: 2408, Timeout: 2409, MessageObjective: 2410, PriorityWeight: 2.411, Idempotency: NotIdempotent, DedupScope: ScopeCell,
			DedupWindow: 2412,
		}},
		Tenants: []Tenant{{Name: "tenant", PerSecond: 2.413, Share: 0.2414, Connections: 2415}},
		Limits: Limits{
			Attempts: 2416, ConnectTimeout: 2417, MaxRetryAfter: 2418, MaxOpen: 2419, RetryAfter: true, HealthChecks: true,
			Cancel: true, HedgedRequests: true,
		},
		Rules: Rules{
			AnswerSlack: 2420, DiscoveryInterval: 2421, WarmUp: 2422, InitialCapacity: 0.2423, DrainGrace: 2424, OverloadWindow: 2425,
			OverloadFactor: 2.426,
		},
		Subscribe: true, PassThrough: true, LoadReports: true, OverQuotaWeight: 0.2427,
	}
}

func goldenEndpointSnapshot() EndpointSnapshot {
	return EndpointSnapshot{
		ID: "s001", Zone: "east", Cell: 2501, Phase: Draining, Size: 2.502,
		Outlier: OutlierSnapshot{Failures: 2503, RetryAt: 2504, TrialInFlight: true}, StartedAt: 2505, LastResetAt: 2506,
		CrashSuspected: true, Active: []int{2507, 2508}, ActiveLoad: 2.509, DrainStepsLeft: 2510, DrainForcedAt: 2511, MessageLatency: 2512,
		MessageLatencyAt: 2513, AdmittedFraction: 0.2514, SlowStartTokens: 2.515, AdmittedFractionAt: 2516, SlowStartTokensAt: 2517,
	}
}

func goldenRequestSnapshot() RequestSnapshot {
	return RequestSnapshot{
		Request: Request{
			ID: "r1", Class: "light", Tenant: "tenant", Group: "group", Key: "key", Deadline: 2601, LoadHint: 2.602,
			Resumed: true, ClientRetry: true, Returning: true, MaxAttempts: 2603,
		},
		Class: 2604, KeyHash: 2605, ClientHash: 2606, TimerToken: "timer", TimerPending: true, Attempts: 2607, ActiveIndex: 2608, Endpoint: 2609,
		ExecutedOn: 2610, Established: true, Migrating: true, Answered: true, AdmissionDenied: true, Attempted: []int{2611, 2612}, ExecutedAt: 2613,
		SentAt: 2614, Load: 2.615,
	}
}

// TestGoldenEncodings compares encoding and decoding with the fixtures. The zero values pin which members are written when
// they are empty.
func TestGoldenEncodings(t *testing.T) {
	t.Run("state", func(t *testing.T) { testGoldenEncoding(t, "state.json", goldenState()) })
	t.Run("compact state", func(t *testing.T) { testGoldenEncoding(t, "state_compact.json", goldenCompactState()) })
	t.Run("state zero", func(t *testing.T) { testGoldenEncoding(t, "state_zero.json", State{}) })
	t.Run("snapshot", func(t *testing.T) { testGoldenEncoding(t, "snapshot.json", goldenSnapshot()) })
	t.Run("snapshot zero", func(t *testing.T) { testGoldenEncoding(t, "snapshot_zero.json", Snapshot{}) })
}

// TestGoldenValuesSetEveryField fails if a field is added to an encoded type and no fixture covers it. The compact state
// covers the fields that only states with large tables set.
func TestGoldenValuesSetEveryField(t *testing.T) {
	unsetInCompact := testkit.UnsetPaths(goldenCompactState())
	for _, value := range []any{goldenState(), goldenSnapshot()} {
		for _, path := range testkit.UnsetPaths(value) {
			isCompact := path == "CompactAdmissionRate" || strings.HasSuffix(path, "Table.Members") ||
				strings.HasSuffix(path, "Tables.Members") || strings.HasSuffix(path, ".Previous.Members")
			if !isCompact || slices.Contains(unsetInCompact, path) {
				t.Errorf("%T: field %s is not set", value, path)
			}
		}
	}
}

// TestGoldenLiveState resumes from a state that a running Balancer of an older version handed over, and checks that it hands
// over the same bytes. The state has one endpoint, because the order of several is undefined.
func TestGoldenLiveState(t *testing.T) {
	text := testkit.GoldenFile(t, "state_live.json")
	var state State
	if err := goldenCodec.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	balancer, err := New(goldenLiveSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := balancer.Resume(goldenLiveEnd, state); err != nil {
		t.Fatal(err)
	}
	compareEncoding(t, text, balancer.State())
	compareEncoding(t, text, goldenLiveBalancer(t, 1).State())
}

// TestGoldenLiveSnapshot restores a snapshot of a running Balancer of an older version, and checks that the restored Balancer
// produces the same snapshot.
func TestGoldenLiveSnapshot(t *testing.T) {
	text := testkit.GoldenFile(t, "snapshot_live.json")
	var snapshot Snapshot
	if err := goldenCodec.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	balancer, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	compareEncoding(t, text, balancer.Snapshot())
	compareEncoding(t, text, goldenLiveBalancer(t, 6).Snapshot())
}

const goldenLiveEnd = 9 * time.Second

func goldenLiveSettings() Settings {
	settings := testSettings()
	settings.Zone, settings.PassThrough = "z0", true
	return settings
}

// goldenLiveBalancer returns a Balancer with the given number of endpoints after a fixed sequence of events: established
// connections, reports of their load, a report of latency, failures, and a pending request.
func goldenLiveBalancer(t *testing.T, endpoints int) *Balancer {
	t.Helper()
	balancer := startBalancer(t, goldenLiveSettings(), testEndpoints(endpoints), 7)
	now := 2 * sec
	for i := range 40 {
		now += 100 * ms
		request := testRequest(i, now)
		request.Group = fmt.Sprintf("g%d", i%3)
		for _, send := range actionsOf[Send](balancer.Handle(now, request)) {
			switch {
			case i == 39: // this request stays pending
			case i%13 == 12:
				balancer.Handle(now+ms, AttemptEnded{ID: send.ID, Endpoint: send.Endpoint, Status: Timeout, Final: true})
			default:
				balancer.Handle(now+ms, Established{ID: send.ID, Endpoint: send.Endpoint, Latency: ms})
				balancer.Handle(now+ms, LoadChanged{ID: send.ID, Endpoint: send.Endpoint, Load: 0.001 * float64(i+1)})
			}
			if i == 30 {
				balancer.Handle(now+2*ms, LatencyChanged{ID: send.ID, Endpoint: send.Endpoint, Latency: 90 * ms})
			}
		}
	}
	balancer.Handle(goldenLiveEnd, Timer{Token: "unknown"})
	return balancer
}

// testGoldenEncoding checks that the fixture decodes to the value and that the value encodes to the fixture's bytes.
func testGoldenEncoding[T any](t *testing.T, fixture string, value T) {
	t.Helper()
	text := testkit.GoldenFile(t, fixture)
	compareEncoding(t, text, value)
	var decoded T
	if err := goldenCodec.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(value, decoded); diff != "" {
		t.Errorf("%s decodes to a different value (-want +got):\n%s", fixture, diff)
	}
	compareEncoding(t, text, decoded)
}

func compareEncoding(t *testing.T, want []byte, value any) {
	t.Helper()
	got, err := goldenCodec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, got) {
		t.Errorf("%T is encoded in another form:\nwant %s\n got %s", value, want, got)
	}
}
