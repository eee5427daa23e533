package fleetconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/testing/samples"
	"example.org/micafront/internal/testing/testkit"
)

// The fixtures in testdata/golden were written by a release before its Go names were changed. Never regenerate them: a
// failure here means that the encoding has changed, on which replicas, proxies and stored data depend.

func goldenTerms() Terms {
	return Terms{AgreementTimeout: 1500 * time.Millisecond, MemberTimeout: 9 * time.Second, OnLeaseExpiry: ServeOnExpiry, ClockDriftPPM: 250}
}

func goldenBody() Body {
	return Body{
		Settings:  json.RawMessage(`{"GiveUp":"3s","text":"\u003c\u0026\u003e"}`),
		Routing:   json.RawMessage(`{"pools":[{"name":"mail","select":{"zones":["a"]}}]}`),
		Catalog:   json.RawMessage(`{"number":2,"at":7,"entries":[]}`),
		ListFloor: 17,
		Fleet:     goldenTerms(),
	}
}

func goldenRejection() Rejection {
	return Rejection{Kind: "footprint/too-large", Cause: "the routes need too much", EstimatedBytes: 3 << 20, LimitBytes: 2 << 20,
		LargestRoutes: []string{"mail", "post"}}
}

func goldenRenewal() Renewal {
	rejection := goldenRejection()
	return Renewal{Node: "proxy-1", Incarnation: 4, Seq: 99, ActiveVersion: 6, PreparedVersion: 7, FirstUnanswered: 98, RejectedVersion: 8,
		Rejection: &rejection, Headroom: MemoryHeadroom{Limit: 1 << 30, InUse: 1 << 20}, Draining: true}
}

func goldenVersion() Version {
	return Version{Number: 7, Digest: goldenBody().Digest(), RollbackOf: 3, ProposedBy: "staff", Reason: "a trial", Body: goldenBody(),
		Force: true, Excluded: []string{"proxy-2", "proxy-3"}, MaxMemberTimeout: 11 * time.Second}
}

func goldenPropose() Propose {
	body := goldenBody()
	return Propose{ID: "change-1", Base: 6, RollbackOf: 3, ProposedBy: "staff", Reason: "a trial", Body: &body, Force: true}
}

func goldenWithdraw() Withdraw {
	return Withdraw{Number: 7, Reason: "nodes refuse it", Rejections: map[string]Rejection{"proxy-1": goldenRejection(),
		"proxy-2": {Kind: "routing/bad-route", Cause: "no pool"}}}
}

func goldenListChange() endpointlist.Change {
	return endpointlist.Change{Base: 5, Entries: []json.RawMessage{
		json.RawMessage(`{"instanceId":"i-1","hostPort":"127.0.0.1:9001","lifecycle":"in_service","weight":1.5}`),
		json.RawMessage(`{"instanceId":"i-2","lifecycle":"terminated"}`)}}
}

// goldenMeshChange sets all fields; the program sets At and one other.
func goldenMeshChange() federation.Change {
	publication := samples.Publication()
	terms := samples.FederationTerms()
	return federation.Change{At: 42 * time.Second, Publish: &publication, Terms: &terms, MarkLost: "dakar", MarkReturned: "thies",
		Tick: true}
}

// jsonForm is a type that is encoded as JSON.
type jsonForm struct {
	name  string // of the fixture, without its extension
	value any    // the value that the fixture encodes
	empty string // the encoding of the zero value
}

func jsonForms() []jsonForm {
	const (
		terms   = `{"within_us":0,"know_us":0,"on_silence":"","drift_ppm":0}`
		body    = `{"settings":null,"list_floor":0,"fleet":` + terms + `}`
		renewal = `"node":"","incarnation":0,"seq":0,"in_force":0,"prepared":0,"room":{"limit":0,"held":0}`
	)
	return []jsonForm{
		{"terms", goldenTerms(), terms},
		{"body", goldenBody(), body},
		{"version", goldenVersion(), `{"number":0,"digest":"","body":` + body + `}`},
		{"room", goldenRenewal().Headroom, `{"limit":0,"held":0}`},
		{"refusal", goldenRejection(), `{"kind":"","cause":""}`},
		{"renewal", goldenRenewal(), `{` + renewal + `}`},
		{"grant", Lease{Node: "proxy-1", Incarnation: 4, Seq: 99, Term: 12, ActiveVersion: 6, ActiveDigest: "d6", ProposedVersion: 7,
			ProposedDigest: "d7", Forced: true, Excluded: true, ListNumber: 31, Terms: goldenTerms()},
			`{"node":"","incarnation":0,"seq":0,"term":0,"active":0,"digest":"","terms":` + terms + `}`},
		{"propose", goldenPropose(), `{"id":""}`},
		{"activate", Activate{Number: 7, Excluded: []string{"proxy-1"}, SettledVersion: 6}, `{"number":0}`},
		{"withdraw", goldenWithdraw(), `{"number":0,"why":""}`},
		{"join", AddMember{Node: "proxy-1", Incarnation: 4}, `{"node":"","incarnation":0}`},
		{"part", RemoveMember{Node: "proxy-1", Incarnation: 4, JoinIndex: 20}, `{"node":"","incarnation":0}`},
		{"list_change", goldenListChange(), `{"base":0,"entries":null}`},
		{"mesh_change", goldenMeshChange(), `{"at":0}`},
		{"command", goldenCommand(), `{}`},
		{"answer", Answer{Number: 7, Err: errors.New("not sent")}, `{}`},
		{"answered", proposalOutcome{ID: "change-1", Number: 7, Kind: "agreement/bad-body", Place: "proposal", Cause: "it has no body"},
			`{"id":""}`},
		{"member", Member{Node: "proxy-1", Incarnation: 4, JoinIndex: 20}, `{"node":"","incarnation":0,"joined":0}`},
		{"record", HistoryEntry{Index: 21, Number: 7, Step: stepWithdrawn, Reason: "nodes refuse it", Rejections: goldenWithdraw().Rejections},
			`{"index":0,"number":0,"step":""}`},
		{"node_status", NodeStatus{Renewal: goldenRenewal(), SinceRenewal: 350 * time.Millisecond, Unresponsive: true, Unreachable: true,
			BlocksProposal: true}, `{` + renewal + `,"heard":0,"silent":false,"deaf":false,"holds_up":false}`},
	}
}

// goldenCommand sets all fields; the program sets one.
func goldenCommand() Command {
	list, propose, withdraw, mesh := goldenListChange(), goldenPropose(), goldenWithdraw(), goldenMeshChange()
	return Command{EndpointChange: &list, Propose: &propose, Activate: &Activate{Number: 7, Excluded: []string{"proxy-1"}, SettledVersion: 6},
		Withdraw: &withdraw, AddMember: &AddMember{Node: "proxy-1", Incarnation: 4},
		RemoveMember: &RemoveMember{Node: "proxy-1", Incarnation: 4, JoinIndex: 20}, MeshChange: &mesh}
}

// TestGoldenJSON checks the JSON encoding of each type that is sent or stored, with all fields set and with none set.
func TestGoldenJSON(t *testing.T) {
	for _, form := range jsonForms() {
		t.Run(form.name, func(t *testing.T) {
			if unset := testkit.UnsetFields(form.value); len(unset) > 0 {
				t.Errorf("fields that the fixture does not cover: %v", unset)
			}
			golden := testkit.GoldenFile(t, form.name+".json")
			encoded, err := json.Marshal(form.value)
			if err != nil {
				t.Fatal(err)
			}
			testkit.EqualBytes(t, "encoded", golden, encoded)

			decoded := reflect.New(reflect.TypeOf(form.value))
			decoder := json.NewDecoder(bytes.NewReader(golden))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			again, err := json.Marshal(decoded.Interface())
			if err != nil {
				t.Fatal(err)
			}
			testkit.EqualBytes(t, "decoded and encoded again", golden, again)

			empty, err := json.Marshal(reflect.Zero(reflect.TypeOf(form.value)).Interface())
			if err != nil {
				t.Fatal(err)
			}
			testkit.EqualBytes(t, "zero value", []byte(form.empty), empty)
		})
	}
}

// TestGoldenBodyDigest checks the digests of bodies, which identify versions on all machines.
func TestGoldenBodyDigest(t *testing.T) {
	spaced := goldenBody()
	spaced.Settings = json.RawMessage("{\n \"GiveUp\": \"3s\", \"text\": \"<&>\"}")
	for _, tc := range []struct {
		name string
		body Body
		want string
	}{
		{"all fields", goldenBody(), "1db32a291d8a37ad60777f2cf64388d2bf0b76183c68c1c92be14df7c19aa2dc"},
		{"other spacing and escapes", spaced, "1db32a291d8a37ad60777f2cf64388d2bf0b76183c68c1c92be14df7c19aa2dc"},
		{"zero", Body{}, "8c3a2c9eda0792bf0971d7d7367f55e3c8c8915f72ae4a4a2dfee55e8ab851b1"},
	} {
		if got := tc.body.Digest(); got != tc.want {
			t.Errorf("%s: digest %s, want %s", tc.name, got, tc.want)
		}
	}
	var decoded Body
	if err := json.Unmarshal(testkit.GoldenFile(t, "body.json"), &decoded); err != nil {
		t.Fatal(err)
	}
	if got, want := decoded.Digest(), goldenBody().Digest(); got != want {
		t.Errorf("digest of the decoded fixture is %s, want %s", got, want)
	}
	checked, err := spaced.Validated("fixture")
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(checked)
	if err != nil {
		t.Fatal(err)
	}
	testkit.EqualBytes(t, "checked body", testkit.GoldenFile(t, "body.json"), encoded)
}

// goldenCommands returns commands that give a StateMachine versions that share a body, a proposed version, members,
// history, stored answers, an endpoint list and meshes.
func goldenCommands() []Command {
	body := func(settings string) *Body {
		b := goldenBody()
		b.Settings = json.RawMessage(settings)
		return &b
	}
	list := func(base uint64, entries ...string) *endpointlist.Change {
		c := endpointlist.Change{Base: base}
		for _, e := range entries {
			c.Entries = append(c.Entries, json.RawMessage(e))
		}
		return &c
	}
	const ready = `{"instanceId":"i-%d","hostPort":"127.0.0.1:900%d","zone":"a","machineType":"m1","cell":1,` +
		`"lifecycle":"in_service","weight":1.5,"startedAtMs":1000}`
	terms := samples.FederationTerms()
	terms.Base = 0
	terms.Meshes = append(terms.Meshes, catalog.Mesh{Name: "dakar", Precedence: 1})
	publication := samples.Publication()
	publication.Services[0].Origin, publication.Services[0].Via, publication.Services[0].DrainBy = "", nil, 0
	rival := catalog.Publication{Mesh: "dakar", Epoch: 1, Seq: 1,
		Services: []catalog.Service{{Name: "mail", Owner: "other", Contract: "c2"}}}
	return []Command{
		{AddMember: &AddMember{Node: "proxy-1", Incarnation: 4}},
		{AddMember: &AddMember{Node: "proxy-2", Incarnation: 9}},
		{AddMember: &AddMember{Node: "proxy-3", Incarnation: 2}},
		{Propose: &Propose{ID: "change-1", ProposedBy: "staff", Reason: "the first", Body: body(`{"GiveUp":"1s"}`)}},
		{Propose: &Propose{ID: "change-2", Base: 1, ProposedBy: "staff", Reason: "slower", Body: body(`{"GiveUp":"2s"}`), Force: true}},
		{Propose: &Propose{ID: "change-3", Base: 1, Body: body(`{"GiveUp":"3s"}`)}}, // rejected: another version is proposed
		{Activate: &Activate{Number: 2, Excluded: []string{"proxy-2"}, SettledVersion: 1}},
		{Propose: &Propose{ID: "change-4", Base: 2, ProposedBy: "staff", Body: body(`{"GiveUp":"4s"}`)}},
		{Withdraw: &Withdraw{Number: 3, Reason: "nodes refuse it", Rejections: goldenWithdraw().Rejections}},
		{Propose: &Propose{ID: "change-5", Base: 2, RollbackOf: 1, ProposedBy: "staff", Reason: "back"}},
		{Activate: &Activate{Number: 4}},
		{Propose: &Propose{ID: "change-6", Base: 4, ProposedBy: "staff", Reason: "next", Body: body(`{"GiveUp":"6s"}`)}},
		{RemoveMember: &RemoveMember{Node: "proxy-3", Incarnation: 2, JoinIndex: 3}},
		{EndpointChange: list(0, fmt.Sprintf(ready, 1, 1), fmt.Sprintf(ready, 2, 2))},
		{EndpointChange: list(1, `{"instanceId":"i-1","lifecycle":"terminated"}`, fmt.Sprintf(ready, 3, 3))},
		{MeshChange: &federation.Change{At: time.Second, Terms: &terms}},
		{MeshChange: &federation.Change{At: 2 * time.Second, Publish: &publication}},
		{MeshChange: &federation.Change{At: 3 * time.Second, Publish: &rival}},
		{MeshChange: &federation.Change{At: 40 * time.Second, MarkLost: "dakar"}},
		{MeshChange: &federation.Change{At: 50 * time.Second, Tick: true}},
	}
}

// TestGoldenSnapshot checks the snapshot of the state after goldenCommands, and that of an empty state.
func TestGoldenSnapshot(t *testing.T) {
	golden := testkit.GoldenFile(t, "snapshot.txt")
	head, text, _ := bytes.Cut(golden, []byte("\n"))
	if want := "micafront-book 1 c2abcf2f9098f198daf0c5f5aeb5ae1d32f8878cb213bcd5869d98bb15a789bb"; string(head) != want {
		t.Errorf("line 1 is %s, want %s", head, want)
	}
	var state snapshotJSON
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	// Versions are stored without their bodies.
	if unset := testkit.UnsetFields(state, "versionJSON.Body", "Version.Body"); len(unset) > 0 {
		t.Errorf("fields that the fixture does not cover: %v", unset)
	}

	applied := NewStateMachine()
	for i, command := range goldenCommands() {
		answer := applied.Apply(uint64(i+1), command)
		if rejected := command.Propose != nil && command.Propose.ID == "change-3"; (answer.Err != nil) != rejected {
			t.Fatalf("command %d: %v", i+1, answer.Err)
		}
	}
	// The fixture does not check the wording of an error, only how it is stored.
	rejected := &applied.outcomes[2]
	rejected.Place, rejected.Cause = "proposal", "version 2 waits to become active"
	written, err := applied.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	testkit.EqualBytes(t, "snapshot", golden, written)

	restored := NewStateMachine()
	if err := restored.Restore(golden); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	testkit.EqualBytes(t, "restored and written again", golden, again)

	empty, err := NewStateMachine().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	testkit.EqualBytes(t, "empty snapshot", []byte("micafront-book 1 71844deb1f674eff387cbc1f6cbb32917f9230fbc7657c5233157f3d1c632163\n"+
		`{"last":0,"numbers":0,"active":0,"proposed":0,"bodies":{},"versions":null,"members":null,"history":null,"answers":null}`),
		empty)
}

// TestGoldenTexts checks the encoded values of constants.
func TestGoldenTexts(t *testing.T) {
	for _, tc := range []struct{ got, want string }{
		{string(RejectOnExpiry), "hold"}, {string(ServeOnExpiry), "serve"},
		{stepProposed, "proposed"}, {stepActive, "active"}, {stepWithdrawn, "withdrawn"},
		{string(Starting), "starting"}, {string(Leased), "leased"}, {string(Expired), "lapsed"}, {string(Disconnected), "blind"},
		{string(Excluded), "stranded"}, {string(Draining), "leaving"},
	} {
		if tc.got != tc.want {
			t.Errorf("%q is written as %q", tc.want, tc.got)
		}
	}
}

// TestGoldenErrorKinds checks the names of error kinds, which are sent to clients and stored with answers.
func TestGoldenErrorKinds(t *testing.T) {
	want := map[string]*apperror.Kind{
		"agreement/stale-base":       StaleBase,
		"agreement/already-proposed": AlreadyProposed,
		"agreement/unknown-version":  UnknownVersion,
		"agreement/bad-terms":        BadTerms,
		"agreement/bad-body":         BadBody,
		"agreement/too-large":        TooLarge,
		"agreement/broken-snapshot":  BrokenSnapshot,
		"agreement/not-proposed":     NotProposed,
		"agreement/old-incarnation":  OldIncarnation,
		"agreement/bad-command":      BadCommand,
		"agreement/old-command":      OldCommand,
		"agreement/too-many-members": TooManyMembers,
		"agreement/not-member":       NotMember,
	}
	for name, kind := range want {
		if kind.Name != name {
			t.Errorf("kind %q is named %q", name, kind.Name)
		}
		if kindByName(name) != kind {
			t.Errorf("kind %q is not read from a snapshot", name)
		}
	}
	var all []string
	for _, kind := range apperror.Kinds() {
		if strings.HasPrefix(kind.Name, "agreement/") {
			all = append(all, kind.Name)
		}
	}
	if sorted := slices.Sorted(maps.Keys(want)); !slices.Equal(all, sorted) {
		t.Errorf("kinds are %v, want %v", all, sorted)
	}
}
