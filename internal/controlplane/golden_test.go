package controlplane

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

// The tests in this file pin every format that this package uses on the wire and on disk. The files in testdata/golden were
// written before identifiers of the program were renamed. They must not be regenerated, because they show that no format has
// changed.

// Values that several responses below contain, with every field set.
var (
	goldenVersionSummary = VersionSummary{Number: 4, Digest: "d4", RollbackOf: 2, ProposedBy: "staff", Reason: "too slow", Force: true, Excluded: []string{"n1"}}

	goldenRejection = fleetconfig.Rejection{Kind: "memory/too-heavy", Cause: "too heavy", EstimatedBytes: 20, LimitBytes: 10,
		LargestRoutes: []string{"all"}}

	goldenRenewal = fleetconfig.Renewal{Node: "n0", Incarnation: 7, Seq: 8, ActiveVersion: 3, PreparedVersion: 4, FirstUnanswered: 6, RejectedVersion: 5,
		Rejection: &goldenRejection, Headroom: fleetconfig.MemoryHeadroom{Limit: 1000, InUse: 10}, Draining: true}

	goldenFinding = catalog.Finding{Kind: "catalog/collision", Name: "mail", Mesh: "thies", Text: "two claim it",
		Resolution: "rule on it"}

	goldenConflict = catalog.Conflict{Mesh: "dakar", Owner: "courier", QualifiedName: "mail.dakar"}

	goldenPool = routing.Pool{Name: "mail", Select: routing.EndpointSelector{Zones: []string{"a"}, MachineTypes: []string{"large"},
		Cells: []int{1}, IDPrefixes: []string{"i"}, SizeFrom: 0.5, SizeTo: 2}, Precedence: 1, FormerNames: []string{"post"}, MaxOpen: 9,
		MaxWaiting: 3}
)

// goldenResponses are the bodies of all responses whose types this package declares. zero is the encoding of a value without
// any field set, which shows the members that are always present.
var goldenResponses = []struct {
	file  string
	zero  string
	value any
}{
	{"proposed.json", `{"number":0,"state":""}`,
		&ProposeResponse{Number: 4, ID: "one", State: "active"}},
	{"status.json", `{"keeper":0,"leader":0,"term":0,"applied":0,"keepers":null,"members":null}`,
		&Status{Replica: 1, Leader: 2, Term: 3, Applied: 40, Rejoining: true,
			Replicas: []Peer{{ID: 2, Address: "127.0.0.1:7002", MatchIndex: 39, Unreachable: true}},
			Active:   &goldenVersionSummary, Proposed: &goldenVersionSummary,
			Members: []fleetconfig.Member{{Node: "n0", Incarnation: 7, JoinIndex: 12}},
			Nodes: []fleetconfig.NodeStatus{{Renewal: goldenRenewal, SinceRenewal: 5 * time.Millisecond, Unresponsive: true, Unreachable: true,
				BlocksProposal: true}}, BlockedBy: []string{"n0"},
			EndpointList: &EndpointListStatus{Number: 5, Discovery: "127.0.0.1:7100", State: "failing", SinceContactMS: 6, LastError: "it ended", Watches: 2}}},
	{"history.json", `null`,
		&map[string][]fleetconfig.HistoryEntry{"history": {{Index: 12, Number: 4, Step: "withdrawn", Reason: "a mistake",
			Rejections: map[string]fleetconfig.Rejection{"n0": goldenRejection}}}}},
	{"published.json", `{"mesh":"","epoch":0,"seq":0,"catalog":""}`,
		&PublishResponse{Mesh: "thies", Epoch: 2, Seq: 3, Catalog: "d5", Findings: []catalog.Finding{goldenFinding}}},
	{"catalog.json", `{"number":0,"digest":"","in_force":false,"names":null,"meshes":null,"findings":null}`,
		&Catalog{Number: 6, Digest: "d6", Active: true, BlockedReason: "for version 7",
			Names: []CatalogName{{Name: "mail", Owner: "post", AliasOf: "letters", Providers: []string{"thies"}, AllProvidersLost: true, Status: "held",
				Cause: "ruling", Conflicts: []catalog.Conflict{goldenConflict}}},
			Meshes:   []CatalogMesh{{Mesh: "thies", Epoch: 2, Seq: 3, Lost: true, LostSince: time.Second, LostFor: time.Minute}},
			Findings: []catalog.Finding{goldenFinding}}},
	{"meaning.json", `{"why":""}`,
		&NameResolution{Explanation: "staff ruled so", Entry: &catalog.Entry{Name: "mail", Owner: "post", Contract: "c1",
			Providers: []catalog.Provider{{Mesh: "thies", Zones: []string{"a"}, Class: "feed", LatencyObjective: 30 * time.Millisecond, SpareCapacity: 0.5,
				Pool: goldenPool, Origin: "caroni", Via: []string{"dakar"}, Lost: true, DrainBy: time.Hour}},
			SinceState: 3, Status: "held", UntilUS: 9, AliasOf: "letters", PublishedBy: []string{"thies"}, Ended: true, Cause: "ruling",
			Conflicts: []catalog.Conflict{goldenConflict}}}},
	{"peer.json", `{"id":0,"address":""}`, &Peer{ID: 2, Address: "127.0.0.1:7002", MatchIndex: 39, Unreachable: true}},
	{"head.json", `{"number":0,"digest":""}`, &goldenVersionSummary},
	{"lists.json", `{"number":0,"state":""}`,
		&EndpointListStatus{Number: 5, Discovery: "127.0.0.1:7100", State: "failing", SinceContactMS: 6, LastError: "it ended", Watches: 2}},
	{"name.json", `{"name":"","standing":"","cause":""}`, &CatalogName{Name: "mail", Owner: "post", AliasOf: "letters",
		Providers: []string{"thies"}, AllProvidersLost: true, Status: "held", Cause: "ruling", Conflicts: []catalog.Conflict{goldenConflict}}},
	{"mesh.json", `{"mesh":""}`, &CatalogMesh{Mesh: "thies", Epoch: 2, Seq: 3, Lost: true, LostSince: time.Second, LostFor: time.Minute}},
	{"fault.json", `{"kind":"","remedy":""}`,
		&ErrorResponse{Kind: "keeper/bad-request", Place: "renewal", Cause: "no node", Resolution: "correct it", Leader: 2}},
}

func TestGoldenResponses(t *testing.T) {
	for _, c := range goldenResponses {
		t.Run(c.file, func(t *testing.T) {
			testkit.CheckAllSet(t, c.file, reflect.ValueOf(c.value))
			want := testkit.GoldenFile(t, c.file)
			w := httptest.NewRecorder()
			writeJSON(w, http.StatusOK, c.value)
			testkit.Equal(t, "encoded", string(want), w.Body.String())
			testkit.Equal(t, "header", http.Header{"Content-Type": {"application/json"},
				"Content-Length": {fmt.Sprint(len(want))}}, w.Header())

			unset := httptest.NewRecorder()
			writeJSON(unset, http.StatusOK, reflect.New(reflect.TypeOf(c.value).Elem()).Interface())
			testkit.Equal(t, "encoded without a field set", c.zero+"\n", unset.Body.String())

			decoded := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := json.Unmarshal(want, decoded); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(c.value, decoded) {
				t.Errorf("decoded %+v, not %+v", decoded, c.value)
			}
			again := httptest.NewRecorder()
			writeJSON(again, http.StatusOK, decoded)
			testkit.Equal(t, "decoded and encoded again", string(want), again.Body.String())
		})
	}
}

// goldenRequests are the bodies of all requests that have one, with every field set.
var goldenRequests = []struct {
	file  string
	value any
}{
	{"renew.json", &goldenRenewal},
	{"propose.json", &fleetconfig.Propose{ID: "one", Base: 3, RollbackOf: 2, ProposedBy: "staff", Reason: "too slow", Force: true,
		Body: &fleetconfig.Body{Settings: json.RawMessage(`{"Zone":"a"}`), Routing: json.RawMessage(`{"default":"all"}`),
			Catalog: json.RawMessage(`{"number":1}`), ListFloor: 4, Fleet: fleetconfig.Terms{AgreementTimeout: 2 * time.Second,
				MemberTimeout: 10 * time.Second, OnLeaseExpiry: fleetconfig.ServeOnExpiry, ClockDriftPPM: 500}}}},
	{"withdraw.json", &fleetconfig.Withdraw{Number: 4, Reason: "a mistake",
		Rejections: map[string]fleetconfig.Rejection{"n0": goldenRejection}}},
	{"publish.json", &catalog.Publication{Mesh: "thies", Epoch: 2, Seq: 3, Services: []catalog.Service{{Name: "mail",
		Owner: "post", Contract: "c1", Zones: []string{"a"}, Class: "feed", LatencyObjective: 30 * time.Millisecond, SpareCapacity: 0.5,
		Pool: goldenPool, Origin: "caroni", Via: []string{"dakar"}, DrainBy: time.Hour}},
		Aliases: []catalog.Alias{{Name: "letters", To: "mail"}}}},
	{"terms.json", &federation.Terms{Base: 1, Meshes: []catalog.Mesh{{Name: "thies", Precedence: 1, MaxServices: 10,
		Export: []string{"*"}, Import: []catalog.Import{{From: "dakar", Names: []string{"*"}}}, Owners: []string{"post"}}},
		Overrides: []catalog.Override{{Name: "mail", Owner: "post", Mesh: "thies", SetBy: "staff"}}, ChangedBy: "staff"}},
}

func TestGoldenRequests(t *testing.T) {
	for _, c := range goldenRequests {
		t.Run(c.file, func(t *testing.T) {
			testkit.CheckAllSet(t, c.file, reflect.ValueOf(c.value))
			want := testkit.GoldenFile(t, filepath.Join("requests", c.file))
			encoded, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			testkit.Equal(t, "encoded", string(want), string(encoded)+"\n")
			decoded := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := decode("request", want, decoded); err != nil {
				t.Fatal(err)
			}
			testkit.Equal(t, "decoded", c.value, decoded)
		})
	}
}

// TestGoldenErrors pins the kinds of errors as they are sent, the status code of each, and the Retry-After header of a 503.
func TestGoldenErrors(t *testing.T) {
	cases := []struct {
		kind *apperror.Kind
		name string
		code int
	}{
		{Overloaded, "keeper/overloaded", 503},
		{TimedOut, "keeper/timed-out", 504},
		{Stopping, "keeper/stopping", 503},
		{BadRequest, "keeper/bad-request", 400},
		{InvalidProposal, "keeper/broken-rules", 422},
		{Withdrawn, "keeper/withdrawn", 409},
		{DigestMismatch, "keeper/other-digest", 409},
		{LeaderUnreachable, "keeper/leader-unreachable", 503},
		{EndpointListUnavailable, "keeper/no-list", 503},
		{DiscoveryFailed, "keeper/discovery-failed", 422},
		{ListenFailed, "keeper/listen-failed", 422},
		{DataLocked, "keeper/data-locked", 422},
		{DataCorrupted, "keeper/data-broken", 422},
		{DataFailed, "keeper/data-failed", 422},
		{BadConfig, "keeper/bad-config", 422},
		{consensus.NotLeading, "quorum/not-leading", 503},
		{consensus.Uncertain, "quorum/uncertain", 503},
		{consensus.Busy, "quorum/busy", 503},
		{consensus.Broken, "quorum/broken", 503},
		{consensus.UnknownNode, "quorum/unknown-node", 409},
		{consensus.TooLarge, "quorum/too-large", 413},
		{consensus.BadMessage, "quorum/bad-message", 422},
		{fleetconfig.TooLarge, "agreement/too-large", 413},
		{fleetconfig.StaleBase, "agreement/stale-base", 409},
		{fleetconfig.AlreadyProposed, "agreement/already-proposed", 409},
		{fleetconfig.NotProposed, "agreement/not-proposed", 409},
		{fleetconfig.UnknownVersion, "agreement/unknown-version", 404},
		{fleetconfig.BadTerms, "agreement/bad-terms", 422},
		{fleetconfig.BadBody, "agreement/bad-body", 422},
		{federation.StaleTerms, "federation/stale-terms", 409},
		{federation.TooLarge, "federation/too-large", 413},
		{catalog.OutdatedPublication, "catalog/old-publication", 409},
		{catalog.Contradiction, "catalog/contradiction", 409},
		{catalog.UnknownMesh, "catalog/unknown-mesh", 404},
		{catalog.UnknownService, "catalog/unknown-service", 404},
	}
	pinned := map[*apperror.Kind]bool{}
	for _, c := range cases {
		pinned[c.kind] = true
		w := httptest.NewRecorder()
		writeError(w, c.kind.WrapUntyped("here", errors.New("broken")), 2)
		got := ErrorResponse{}
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		testkit.Equal(t, c.name, ErrorResponse{Kind: c.name, Place: "here", Cause: "broken", Resolution: c.kind.Resolution, Leader: 2},
			got)
		testkit.Equal(t, c.name+": status code", c.code, w.Code)
		testkit.Equal(t, c.name+": Retry-After", map[bool]string{true: "1"}[c.code == 503], w.Header().Get("Retry-After"))
	}
	for kind := range statusCodes {
		if !pinned[kind] {
			t.Errorf("%s has a status code that no case pins", kind.Name)
		}
	}
	w := httptest.NewRecorder()
	writeError(w, errors.New("untyped"), 0)
	testkit.Equal(t, "an error without a kind: status code", 500, w.Code)
	if !strings.HasPrefix(w.Body.String(), `{"kind":"keeper/unknown","cause":"untyped","remedy":"`) {
		t.Errorf("an error without a kind: %s", w.Body)
	}
}

// TestGoldenConfig pins the configuration file: it accepts every key, and no other key.
func TestGoldenConfig(t *testing.T) {
	want := Config{ID: 1, Listen: "127.0.0.1:7001", Data: "/var/lib/keeper",
		Peers: map[string]string{"1": "127.0.0.1:7001", "2": "127.0.0.1:7002"}, TickMS: 20, ElectionTicks: 12, HeartbeatTicks: 2,
		SnapshotEvery: 512, Discovery: "127.0.0.1:7100", MeshTimeoutMS: 3000, Rejoin: true}
	testkit.CheckAllSet(t, "configuration", reflect.ValueOf(want))
	text := testkit.GoldenFile(t, "config.json")
	encoded, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "encoded", string(text), string(encoded)+"\n")
	want.Rejoin = false // only a flag sets it
	got, err := ReadConfig(filepath.Join("testdata", "golden", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "decoded", want, got)
	testkit.Equal(t, "checked", nil, got.Check())
	for _, key := range []string{"Rejoin", "rejoin", "keepers"} {
		path := filepath.Join(t.TempDir(), "config.json")
		other := strings.Replace(string(text), `{"id":1`, fmt.Sprintf(`{%q:true,"id":1`, key), 1)
		if err := os.WriteFile(path, []byte(other), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadConfig(path); !BadConfig.Matches(err) {
			t.Errorf("key %q: %v", key, err)
		}
	}
}

// TestGoldenEnvironment pins the environment variable that passes a listener.
func TestGoldenEnvironment(t *testing.T) {
	testkit.Equal(t, "variable", "MICAFRONT_KEEPER_FD", ListenerFDEnv)
}

// TestGoldenFrame pins the frame between replicas, the request that carries it, and a forwarded request.
func TestGoldenFrame(t *testing.T) {
	want := frame{From: 1, To: 2, Messages: [][]byte{[]byte("first"), {1, 2, 3, 255}}}
	testkit.CheckAllSet(t, "frame", reflect.ValueOf(want))
	text := testkit.GoldenFile(t, "frame.cbor")
	testkit.Equal(t, "golden file", "a301010202038245666972737444010203ff", hex.EncodeToString(text))
	var got frame
	if err := cbor.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "decoded", want, got)
	again, err := cbor.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "decoded and encoded again", text, again)

	type request struct {
		line, contentType, forwardedBy string
		body                           []byte
	}
	requests := make(chan request, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests <- request{r.Method + " " + r.RequestURI, r.Header.Get("Content-Type"), r.Header.Get("Micafront-Keeper"), body}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	sender := newTransport(1, map[uint64]string{1: "127.0.0.1:1", 2: server.Listener.Addr().String()}, newMetrics(),
		func(uint64, bool, bool) {})
	defer sender.close()
	var next batch
	for _, m := range want.Messages {
		next.add(consensus.Message{To: 2, Bytes: m})
	}
	if err := sender.sendBatch(sender.peers[2], next); err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "request between replicas", fmt.Sprint(request{"POST /v1/peer", "application/cbor", "", text}),
		fmt.Sprint(<-requests))
	resp, err := sender.forward(t.Context(), 2, "POST", "/v1/renew", []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	testkit.Equal(t, "forwarded request", fmt.Sprint(request{"POST /v1/renew", "application/json", "1", []byte("{}")}),
		fmt.Sprint(<-requests))
}

// TestGoldenMetrics pins the names and labels of the metrics.
func TestGoldenMetrics(t *testing.T) {
	m := newMetrics()
	m.addMessagesLost(2, 1)
	m.countMessageRejected(3)
	m.countForwarded()
	m.observeRenewal(true, time.Millisecond)
	m.observeRenewal(false, time.Millisecond)
	w := httptest.NewRecorder()
	m.handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var got strings.Builder
	for line := range strings.Lines(w.Body.String()) {
		if name, isSample := strings.CutPrefix(line, "# TYPE "); isSample {
			got.WriteString(name)
		} else if strings.Contains(line, "{") {
			series, _, _ := strings.Cut(line, " ")
			got.WriteString(series + "\n")
		}
	}
	testkit.Equal(t, "metrics", string(testkit.GoldenFile(t, "metrics.txt")), got.String())
}

// copyData returns a copy of the golden data directory, so that no test changes the original.
func copyData(t testing.TB) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(to, os.DirFS(filepath.Join("testdata", "golden", "data"))); err != nil {
		t.Fatal(err)
	}
	return to
}

// dumpStore returns the values of a bbolt file by bucket/key. Keys of the log bucket are in hexadecimal.
func dumpStore(t testing.TB, path string) map[string][]byte {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	out := map[string][]byte{}
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				name := string(key)
				if string(bucket) == "log" {
					name = hex.EncodeToString(key)
				}
				out[string(bucket)+"/"+name] = slices.Clone(value)
				return nil
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestGoldenStore pins the buckets, keys and checksums of the file, and checks that storing its contents again gives the same
// bytes.
func TestGoldenStore(t *testing.T) {
	dir := copyData(t)
	golden := dumpStore(t, filepath.Join(dir, "keeper.db"))
	testkit.Equal(t, "keys", strings.Fields(string(testkit.GoldenFile(t, "data-keys.txt"))), slices.Sorted(maps.Keys(golden)))
	castagnoli := crc32.MakeTable(crc32.Castagnoli)
	for key, value := range golden {
		if len(value) < 4 || binary.BigEndian.Uint32(value) != crc32.Checksum(value[4:], castagnoli) {
			t.Errorf("%s does not begin with its checksum: %x", key, value)
		}
	}
	testkit.Equal(t, "format", "90f599e331", hex.EncodeToString(golden["meta/form"]))
	from, err := openStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = from.close() }() // only read
	testkit.Equal(t, "incarnation", binary.BigEndian.Uint64(golden["meta/incarnation"][4:])+1, from.incarnation)
	loaded, err := from.Load()
	if err != nil {
		t.Fatal(err)
	}
	again := t.TempDir()
	to, err := openStore(again)
	if err != nil {
		t.Fatal(err)
	}
	if err := to.Save(consensus.Save{Snapshot: loaded.Snapshot, State: loaded.State, Entries: loaded.Entries}); err != nil {
		t.Fatal(err)
	}
	if err := to.close(); err != nil {
		t.Fatal(err)
	}
	stored := dumpStore(t, filepath.Join(again, "keeper.db"))
	delete(stored, "meta/incarnation") // each opening of a store increments it
	delete(golden, "meta/incarnation")
	testkit.Equal(t, "stored again", golden, stored)
}

// variableMembers matches the members of a response whose values differ from run to run.
var variableMembers = regexp.MustCompile(`"(term|applied|address|holds|discovery|heard)":("[^"]*"|\d+)`)

// sinceContactMS matches a member that also differs from run to run, and is absent if it is 0.
var sinceContactMS = regexp.MustCompile(`,"heard_ms":\d+`)

// errorTexts matches the texts of an error for people. Programs read its kind, its place and the names of its members.
var errorTexts = regexp.MustCompile(`"(cause|remedy)":"(?:[^"\\]|\\.)+"`)

// maskResponse returns a response in the format of its golden file: the status code on a line, then the body.
func maskResponse(code int, body string) string {
	body = sinceContactMS.ReplaceAllString(body, "")
	body = variableMembers.ReplaceAllString(body, `"$1":"MASKED"`)
	if code != http.StatusOK {
		body = errorTexts.ReplaceAllString(body, `"$1":"MASKED"`)
	}
	return fmt.Sprintf("%d\n%s", code, body)
}

// goldenPublication is the publication of mesh thies in the golden data directory.
const goldenPublication = `{"mesh":"thies","epoch":1,"seq":1,"services":[{"name":"mail","owner":"post","contract":"c1","zones":["a"],
	"class":"feed","aim":30000000,"spare":0.5,"pool":{"name":"mail","select":{"zones":["a"]},"precedence":1,"was":["post"],
	"max_open":10,"max_waiting":5}}],"aliases":[{"name":"letters","to":"mail"}]}`

// goldenDiscovery starts a discovery server that sends the list in the golden data directory, and returns its address.
func goldenDiscovery(t *testing.T) string {
	list := testkit.GoldenFile(t, "discovery.json")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI != "/registry/instances?watch=1&from=0" {
			t.Errorf("discovery got an unexpected request: %s", r.RequestURI)
		}
		for text := list; ; text = []byte("\n") {
			if _, err := w.Write(text); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// goldenCalls are sent in this order to a replica that starts on the golden data directory. The expected response to each is in
// the file calls/NAME.txt: the status code on a line, then the body.
var goldenCalls = []struct{ name, call, body string }{
	{"version-1", "GET /v1/version/1", ""},
	{"version-2", "GET /v1/version/2", ""},
	{"version-2-digest", "GET /v1/version/2?digest=03e24ae06d3b08efc539593f1c28e39003e796cd15351485f6a53979597ed071", ""},
	{"version-2-other-digest", "GET /v1/version/2?digest=00", ""},
	{"version-3", "GET /v1/version/3", ""},
	{"version-4", "GET /v1/version/4", ""},
	{"version-5", "GET /v1/version/5", ""},
	{"version-6", "GET /v1/version/6", ""},
	{"version-7", "GET /v1/version/7", ""},
	{"status", "GET /v1/status", ""},
	{"status-local", "GET /v1/status?local=1", ""},
	{"history", "GET /v1/history", ""},
	{"list", "GET /registry/instances", ""},
	{"terms", "GET /v1/terms", ""},
	{"catalog", "GET /v1/catalog", ""},
	{"name-mail", "GET /v1/catalog/mail", ""},
	{"name-mail.dakar", "GET /v1/catalog/mail.dakar", ""},
	{"name-letters", "GET /v1/catalog/letters", ""},
	{"name-feed", "GET /v1/catalog/feed", ""},
	{"name-unknown", "GET /v1/catalog/unknown", ""},
	{"renew", "POST /v1/renew", `{"node":"n0","incarnation":7,"seq":90,"in_force":3,"prepared":0,"unanswered":90,"refused":0,
		"room":{"limit":1000000,"held":1000}}`},
	{"status-renewed", "GET /v1/status", ""},
	{"renew-unknown", "POST /v1/renew", `{"node":"n0","incarnation":6,"seq":1}`},
	{"publish-again", "POST /v1/publish", goldenPublication},
	{"publish-contradiction", "POST /v1/publish", `{"mesh":"thies","epoch":1,"seq":1,"services":[]}`},
	{"publish-unknown", "POST /v1/publish", `{"mesh":"nobody","epoch":1,"seq":1,"services":[]}`},
	{"terms-stale", "POST /v1/terms", `{"base":0,"meshes":[]}`},
	{"propose-again-active", "POST /v1/propose", `{"id":"two"}`},
	{"propose-again-withdrawn", "POST /v1/propose", `{"id":"four"}`},
	{"propose-again-proposed", "POST /v1/propose", `{"id":"six"}`},
	{"propose-wait", "POST /v1/propose?wait=active&timeout=10s", `{"id":"three"}`},
	{"propose-rollback", "POST /v1/propose", `{"id":"seven","base":3,"rollback_of":2,"by":"staff","why":"back","force":true}`},
	{"unknown-call", "GET /v1/unknown", ""},
	{"bad-body", "POST /v1/renew", `{`},
	{"bad-message", "POST /v1/peer", `noise`},
	{"withdraw-other", "POST /v1/withdraw", `{"number":5,"why":"once more"}`},
	{"withdraw", "POST /v1/withdraw", `{"number":6,"why":"no longer needed"}`},
}

// TestGoldenDataDirectory starts a replica on the golden data directory and compares its responses with the golden files.
func TestGoldenDataDirectory(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cluster := &cluster{t: t, replicas: make([]*Replica, 1), ended: make([]chan error, 1), commitTimeout: time.Minute}
	cluster.configs = []Config{{ID: 1, Listen: "127.0.0.1:0", Data: copyData(t), Peers: map[string]string{"1": l.Addr().String()},
		TickMS:        20,
		MeshTimeoutMS: 3_600_000, Discovery: goldenDiscovery(t)}}
	cluster.start(0, l)
	defer cluster.kill(0)
	cluster.until("the replica to lead and to have a list from discovery", func() bool {
		var status Status
		cluster.get(cluster.replicas[0], "/v1/status?local=1", &status)
		return status.Leader == 1 && status.EndpointList.State == "well" && len(status.Nodes) == 2
	})
	for _, c := range goldenCalls {
		method, path, _ := strings.Cut(c.call, " ")
		var code int
		var body string
		cluster.until(c.name, func() bool { // a slow machine may have no leader for a while
			code, body = testkit.HTTPCall(t, method, "http://"+cluster.replicas[0].Addr()+path, c.body)
			return code != http.StatusServiceUnavailable
		})
		testkit.Equal(t, c.name, string(testkit.GoldenFile(t, filepath.Join("calls", c.name+".txt"))), maskResponse(code, body))
	}
	// A watch begins with the full list on one line.
	_, list, _ := strings.Cut(string(testkit.GoldenFile(t, "calls/list.txt")), "\n")
	req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+cluster.replicas[0].Addr()+"/registry/instances?watch=1&from=0", nil)
	cluster.must(err)
	resp, err := http.DefaultClient.Do(req)
	cluster.must(err)
	defer resp.Body.Close()
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	cluster.must(err)
	testkit.Equal(t, "watch", list, line)
}
