package consensus

import (
	"encoding/json"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/samples"
	"example.org/micafront/internal/testing/testkit"
	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The fixtures in testdata/golden pin the encodings of an earlier release and are never rewritten. A test that fails here
// reports a change of an encoding on which other replicas and stored data depend.

// goldenCommands returns the variants of a command with all fields set. A real mesh change sets only one field besides At.
func goldenCommands() map[string]fleetconfig.Command {
	body := fleetconfig.Body{
		Settings:  json.RawMessage(`{"GiveUp":"3s"}`),
		Routing:   json.RawMessage(`{"pools":[]}`),
		Catalog:   json.RawMessage(`{"number":2,"at":7,"entries":[]}`),
		ListFloor: 17,
		Fleet: fleetconfig.Terms{AgreementTimeout: 1500 * time.Millisecond, MemberTimeout: 9 * time.Second, OnLeaseExpiry: fleetconfig.ServeOnExpiry,
			ClockDriftPPM: 250},
	}
	rejection := fleetconfig.Rejection{Kind: "footprint/too-large", Cause: "the routes need too much", EstimatedBytes: 3 << 20,
		LimitBytes: 2 << 20, LargestRoutes: []string{"mail", "post"}}
	publication := samples.Publication()
	terms := samples.FederationTerms()
	return map[string]fleetconfig.Command{
		"propose": {Propose: &fleetconfig.Propose{ID: "change-1", Base: 6, RollbackOf: 3, ProposedBy: "staff", Reason: "a trial",
			Body: &body, Force: true}},
		"activate": {Activate: &fleetconfig.Activate{Number: 7, Excluded: []string{"proxy-1", "proxy-2"}, SettledVersion: 6}},
		"withdraw": {Withdraw: &fleetconfig.Withdraw{Number: 7, Reason: "nodes refuse it",
			Rejections: map[string]fleetconfig.Rejection{"proxy-1": rejection}}},
		"join": {AddMember: &fleetconfig.AddMember{Node: "proxy-1", Incarnation: 4}},
		"part": {RemoveMember: &fleetconfig.RemoveMember{Node: "proxy-1", Incarnation: 4, JoinIndex: 20}},
		"list": {EndpointChange: &endpointlist.Change{Base: 5, Entries: []json.RawMessage{
			json.RawMessage(`{"instanceId":"i-1","lifecycle":"in_service"}`)}}},
		"mesh": {MeshChange: &federation.Change{At: 42 * time.Second, Publish: &publication, Terms: &terms, MarkLost: "dakar",
			MarkReturned: "thies", Tick: true}},
	}
}

// emptyCommands returns the variants of a command with no field set.
func emptyCommands() map[string]fleetconfig.Command {
	return map[string]fleetconfig.Command{
		"propose":  {Propose: &fleetconfig.Propose{}},
		"activate": {Activate: &fleetconfig.Activate{}},
		"withdraw": {Withdraw: &fleetconfig.Withdraw{}},
		"join":     {AddMember: &fleetconfig.AddMember{}},
		"part":     {RemoveMember: &fleetconfig.RemoveMember{}},
		"list":     {EndpointChange: &endpointlist.Change{}},
		"mesh":     {MeshChange: &federation.Change{}},
	}
}

var goldenProposalID = ProposalID{Node: 2, Incarnation: 5, Seq: 77}

// TestGoldenRecord pins the CBOR encoding of a logRecord for each variant of a command.
func TestGoldenRecord(t *testing.T) {
	var all []any
	for _, command := range goldenCommands() {
		all = append(all, logRecord{goldenProposalID, command})
	}
	if unset := testkit.UnsetFields(all); len(unset) > 0 {
		t.Errorf("fields that the fixtures do not cover: %v", unset)
	}
	for prefix, commands := range map[string]map[string]fleetconfig.Command{"record_": goldenCommands(),
		"record_empty_": emptyCommands()} {
		for name, command := range commands {
			t.Run(prefix+name, func(t *testing.T) {
				golden := testkit.GoldenFile(t, prefix+name+".cbor")
				encoded, err := recordEncoding.Marshal(logRecord{goldenProposalID, command})
				if err != nil {
					t.Fatal(err)
				}
				testkit.EqualBytes(t, "encoded", golden, encoded)
				var decoded logRecord
				if err := recordDecoding.Unmarshal(golden, &decoded); err != nil {
					t.Fatal(err)
				}
				again, err := recordEncoding.Marshal(decoded)
				if err != nil {
					t.Fatal(err)
				}
				testkit.EqualBytes(t, "decoded and encoded again", golden, again)
			})
		}
	}
}

// goldenNode returns a replica of a group of three, started from stored data or an empty log.
func goldenNode(t *testing.T, cfg Config, stored Stored) (*Node, *fleetconfig.StateMachine) {
	t.Helper()
	cfg.Peers, cfg.Seed = []uint64{1, 2, 3}, 1
	state := fleetconfig.NewStateMachine()
	node, err := New(cfg, state, stored)
	if err != nil {
		t.Fatal(err)
	}
	return node, state
}

// pendingWork returns a node's next Work, and fails the test if there is none.
func pendingWork(t *testing.T, node *Node) *Work {
	t.Helper()
	work, err := node.Work()
	if err != nil {
		t.Fatal(err)
	}
	if work == nil {
		t.Fatal("the node has no work")
	}
	return work
}

// TestGoldenTermQuery pins the encodings of a term query and its answer, including the prefix that distinguishes them from
// raft messages.
func TestGoldenTermQuery(t *testing.T) {
	full := termQuery{From: 1, To: 2, Request: true, Incarnation: 300, Term: 70000}
	if unset := testkit.UnsetFields(full); len(unset) > 0 {
		t.Errorf("fields that the fixture does not cover: %v", unset)
	}
	golden := testkit.GoldenFile(t, "inquiry.cbor")
	node, _ := goldenNode(t, Config{ID: 1, Incarnation: 300}, Stored{})
	var decoded termQuery
	if golden[0] != 0xff {
		t.Fatalf("the fixture begins with %#x", golden[0])
	} else if err := cbor.Unmarshal(golden[1:], &decoded); err != nil {
		t.Fatal(err)
	} else if decoded != full {
		t.Errorf("decoded %+v, want %+v", decoded, full)
	}
	for _, q := range []termQuery{full, decoded} {
		if err := node.queueTermQuery(q); err != nil {
			t.Fatal(err)
		}
	}
	for _, message := range node.termMessages {
		testkit.EqualBytes(t, "encoded", golden, message.Bytes)
	}

	question, answer := testkit.GoldenFile(t, "inquiry_question.cbor"), testkit.GoldenFile(t, "inquiry_answer.cbor")
	rejoining, _ := goldenNode(t, Config{ID: 1, Incarnation: 300, Rejoin: true}, Stored{})
	requests := pendingWork(t, rejoining).Messages
	if len(requests) != 2 || requests[0].To != 2 || requests[1].To != 3 {
		t.Fatalf("the rejoining node sends %+v", requests)
	}
	testkit.EqualBytes(t, "question", question, requests[0].Bytes)
	other, _ := goldenNode(t, Config{ID: 2, Incarnation: 1}, Stored{})
	if err := other.Step(question); err != nil {
		t.Fatal(err)
	}
	answers := pendingWork(t, other).Messages
	if len(answers) != 1 || answers[0].To != 1 {
		t.Fatalf("the other node sends %+v", answers)
	}
	testkit.EqualBytes(t, "answer", answer, answers[0].Bytes)
	if err := rejoining.Step(answer); err != nil {
		t.Fatal(err)
	} else if !rejoining.knownTerms[2] || rejoining.highestTerm != 1 {
		t.Errorf("known terms %v, highest term %d", rejoining.knownTerms, rejoining.highestTerm)
	}
}

// goldenRun is the result of a scripted run: the leader's stored data, and its messages that contain encodings of this
// package, by fixture name.
type goldenRun struct {
	stored   Stored
	messages map[string][]byte
}

// runGolden runs two replicas, and starts a third one after the log was truncated, so that it receives a snapshot. After
// each step it processes work and delivers messages until none are left.
func runGolden(t *testing.T) goldenRun {
	t.Helper()
	run := goldenRun{messages: map[string][]byte{}}
	nodes, stores := map[uint64]*Node{}, map[uint64]*MemoryStore{}
	start := func(id uint64) {
		nodes[id], _ = goldenNode(t, Config{ID: id, Incarnation: 4 + id, SnapshotEvery: 4, KeepEntries: 1}, Stored{})
		stores[id] = &MemoryStore{}
	}
	deliverAll := func() {
		for busy := true; busy; {
			busy = false
			for _, id := range slices.Sorted(maps.Keys(nodes)) {
				var sent []Message
				if _, err := nodes[id].ProcessWork(stores[id], func(m Message) { sent = append(sent, m) }); err != nil {
					t.Fatal(err)
				}
				for _, m := range sent {
					busy = true
					if id == 1 {
						run.recordMessage(t, m)
					}
					if to := nodes[m.To]; to == nil {
						continue
					} else if err := to.Step(m.Bytes); err != nil {
						t.Fatal(err)
					}
					if m.Snapshot {
						if err := nodes[id].ReportSnapshot(m.To, true); err != nil {
							t.Fatal(err)
						}
					}
				}
			}
		}
	}
	requireSuccess := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
		deliverAll()
	}
	start(1)
	start(2)
	deliverAll()
	requireSuccess(nodes[1].Campaign())
	body := fleetconfig.Body{Settings: json.RawMessage(`{"GiveUp":"3s"}`), ListFloor: 1}
	for _, command := range []fleetconfig.Command{
		{AddMember: &fleetconfig.AddMember{Node: "proxy-1", Incarnation: 4}},
		{Propose: &fleetconfig.Propose{ID: "change-1", ProposedBy: "staff", Body: &body}},
		{AddMember: &fleetconfig.AddMember{Node: "proxy-2", Incarnation: 9}},
		{RemoveMember: &fleetconfig.RemoveMember{Node: "proxy-1", Incarnation: 4}},
		{Propose: &fleetconfig.Propose{ID: "change-2", Base: 1, RollbackOf: 1}},
		{Withdraw: &fleetconfig.Withdraw{Number: 2, Reason: "a trial"}},
	} {
		_, err := nodes[1].Propose(command)
		requireSuccess(err)
	}
	start(3)
	deliverAll()
	for range 3 {
		requireSuccess(nodes[1].Tick())
	}
	stored, err := stores[1].Load()
	if err != nil {
		t.Fatal(err)
	}
	run.stored = stored
	return run
}

// recordMessage records the first append message that contains a command, and the first snapshot message.
func (run *goldenRun) recordMessage(t *testing.T, message Message) {
	t.Helper()
	m := &pb.Message{}
	if err := proto.Unmarshal(message.Bytes, m); err != nil {
		t.Fatal(err)
	}
	name := ""
	switch {
	case m.GetType() == pb.MessageType_MsgApp && len(m.GetEntries()) > 0 && len(m.GetEntries()[0].GetData()) > 0:
		name = "message_append.pb"
	case m.GetType() == pb.MessageType_MsgSnap:
		name = "message_snapshot.pb"
	}
	if run.messages[name] == nil && name != "" {
		run.messages[name] = message.Bytes
	}
}

var goldenMessages = []string{"message_append.pb", "message_snapshot.pb"}

// TestGoldenMessages pins the raft messages that contain commands or a snapshot.
func TestGoldenMessages(t *testing.T) {
	run := runGolden(t)
	for _, name := range goldenMessages {
		golden := testkit.GoldenFile(t, name)
		testkit.EqualBytes(t, name, golden, run.messages[name])
		m := &pb.Message{}
		if err := proto.Unmarshal(golden, m); err != nil {
			t.Fatal(err)
		}
		again, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		testkit.EqualBytes(t, name+" decoded and encoded again", golden, again)
		switch m.GetType() {
		case pb.MessageType_MsgApp:
			var decoded logRecord
			if err := recordDecoding.Unmarshal(m.GetEntries()[0].GetData(), &decoded); err != nil {
				t.Error(err)
			} else if want := (ProposalID{Node: 1, Incarnation: 5, Seq: 1}); decoded.ProposalID != want || decoded.Command.AddMember == nil {
				t.Errorf("the entry holds %+v", decoded)
			}
		case pb.MessageType_MsgSnap:
			late, state := goldenNode(t, Config{ID: 3, Incarnation: 7}, Stored{})
			if err := late.Step(golden); err != nil {
				t.Fatal(err)
			} else if _, err := late.ProcessWork(&MemoryStore{}, func(Message) {}); err != nil {
				t.Fatal(err)
			}
			data, err := state.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			testkit.EqualBytes(t, "state of the snapshot message", m.GetSnapshot().GetData(), data)
		}
	}
}

// goldenStored returns the fixtures of a replica's stored data: snapshot, entries and hard state.
func goldenStored(t *testing.T) Stored {
	t.Helper()
	return Stored{
		Snapshot: testkit.GoldenFile(t, "stored_snapshot.pb"),
		Entries: []Entry{
			{Index: 6, Bytes: testkit.GoldenFile(t, "stored_entry_6.pb")},
			{Index: 7, Bytes: testkit.GoldenFile(t, "stored_entry_7.pb")},
			{Index: 8, Bytes: testkit.GoldenFile(t, "stored_entry_8.pb")},
		},
		State: testkit.GoldenFile(t, "stored_state.bin"),
	}
}

// TestGoldenStored pins the data that a replica saves, and checks that a replica can start from it.
func TestGoldenStored(t *testing.T) {
	golden := goldenStored(t)
	if got := runGolden(t).stored; !reflect.DeepEqual(got, golden) {
		t.Errorf("the run stored\n%+v, want\n%+v", got, golden)
	}

	node, state := goldenNode(t, Config{ID: 1, Incarnation: 6}, golden)
	snapshot := &pb.Snapshot{}
	if err := proto.Unmarshal(golden.Snapshot, snapshot); err != nil {
		t.Fatal(err)
	}
	again, err := proto.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	testkit.EqualBytes(t, "snapshot", golden.Snapshot, again)
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	testkit.EqualBytes(t, "state of the snapshot", snapshot.GetData(), data)
	entries, err := node.log.Entries(6, 9, math.MaxUint64)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != len(golden.Entries) {
		t.Fatalf("%d entries are in the log, want %d", len(entries), len(golden.Entries))
	}
	for i, entry := range entries {
		again, err := proto.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		testkit.EqualBytes(t, "entry", golden.Entries[i].Bytes, again)
	}
	if _, err := node.ProcessWork(&MemoryStore{}, func(Message) {}); err != nil {
		t.Fatal(err)
	}
	// A commit index is not saved on its own, so entry 8 is applied only after a leader is known.
	if active, ok := state.Active(); !ok || active.Number != 1 || node.AppliedIndex() != 7 || node.Term() != 2 {
		t.Errorf("version %d is active after entry %d in term %d", active.Number, node.AppliedIndex(), node.Term())
	}
}

// TestGoldenState pins the stored hard state with its prefix, the vote barrier: the last term in which the replica must not
// vote.
func TestGoldenState(t *testing.T) {
	for _, tc := range []struct {
		name        string
		voteBarrier uint64
		rejoining   bool
	}{
		{"stored_state.bin", 0, false},
		{"stored_state_muted.bin", 2, false},
		{"stored_state_rejoining.bin", math.MaxUint64, true},
	} {
		golden := testkit.GoldenFile(t, tc.name)
		stored := goldenStored(t)
		stored.State = golden
		node, _ := goldenNode(t, Config{ID: 1, Incarnation: 6}, stored)
		if node.voteBarrier != tc.voteBarrier || node.Rejoining() != tc.rejoining {
			t.Errorf("%s: vote barrier %d, rejoining %t", tc.name, node.voteBarrier, node.Rejoining())
		}
		testkit.EqualBytes(t, tc.name+" decoded and encoded again", golden, savedHardState(t, node))

		built, _ := goldenNode(t, Config{ID: 1, Incarnation: 6}, goldenStored(t))
		built.voteBarrier = tc.voteBarrier
		testkit.EqualBytes(t, tc.name, golden, savedHardState(t, built))
	}
}

// savedHardState returns the hard state that a node saves after a change of its vote barrier.
func savedHardState(t *testing.T, node *Node) []byte {
	t.Helper()
	node.voteBarrierUnsaved = true
	work := pendingWork(t, node)
	if work.Save == nil {
		t.Fatal("the node saves nothing")
	}
	return work.Save.State
}

// TestGoldenNewLog pins the first save of a replica that starts without stored data, both new and rejoining.
func TestGoldenNewLog(t *testing.T) {
	for _, tc := range []struct {
		name   string
		rejoin bool
	}{{"new", false}, {"new_rejoining", true}} {
		node, _ := goldenNode(t, Config{ID: 1, Incarnation: 1, Rejoin: tc.rejoin}, Stored{})
		save := pendingWork(t, node).Save
		snapshot, state := testkit.GoldenFile(t, tc.name+"_snapshot.pb"), testkit.GoldenFile(t, tc.name+"_state.bin")
		testkit.EqualBytes(t, tc.name+" snapshot", snapshot, save.Snapshot)
		testkit.EqualBytes(t, tc.name+" state", state, save.State)
		if save.DropThrough != 1 || len(save.Entries) != 0 {
			t.Errorf("%s deletes entries through %d and saves %d", tc.name, save.DropThrough, len(save.Entries))
		}
		node, _ = goldenNode(t, Config{ID: 1, Incarnation: 2}, Stored{Snapshot: snapshot, State: state})
		if node.Rejoining() != tc.rejoin || node.Term() != 1 {
			t.Errorf("%s: restarted in term %d, rejoining %t", tc.name, node.Term(), node.Rejoining())
		}
	}
}

// TestGoldenCatalogProposal pins the ID, author and reason of a catalog's version. They are stored in the log, and leaders
// recognize earlier versions of the same catalog by them.
func TestGoldenCatalogProposal(t *testing.T) {
	state, store := fleetconfig.NewStateMachine(), &MemoryStore{}
	node, err := New(Config{ID: 1, Peers: []uint64{1}, Incarnation: 1}, state, Stored{})
	if err != nil {
		t.Fatal(err)
	}
	proposer := NewCatalogProposer(node, state, federation.NewPublisherTracker(state.Federation()))
	processWork := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		out, err := node.ProcessWork(store, func(Message) {})
		if err != nil {
			t.Fatal(err)
		}
		proposer.HandleOutcome(time.Second, out)
	}
	processWork(node.Campaign())
	_, err = node.Propose(fleetconfig.Command{Propose: &fleetconfig.Propose{ID: "change-1",
		Body: &fleetconfig.Body{Settings: json.RawMessage(`{}`)}}})
	processWork(err)
	terms := samples.FederationTerms()
	terms.Base = 0
	_, err = proposer.SubmitChange(time.Second, federation.Change{Terms: &terms})
	processWork(err)
	_, err = proposer.Publish(time.Second, samples.Publication())
	processWork(err)
	proposal := proposer.Step(time.Minute)
	if proposal == nil {
		t.Fatal("no version is proposed")
	}
	if proposal.ID != "catalog 104ad14827681aa0 on 1 after 1" || proposal.ProposedBy != "catalog" ||
		!strings.HasPrefix(proposal.Reason, "catalog 104ad14827681aa0: ") {
		t.Errorf("proposed as %q by %q: %q", proposal.ID, proposal.ProposedBy, proposal.Reason)
	}
}

// TestGoldenErrorKinds pins the names of error kinds, which are sent to clients.
func TestGoldenErrorKinds(t *testing.T) {
	want := map[string]*apperror.Kind{
		"quorum/not-leading":  NotLeading,
		"quorum/uncertain":    Uncertain,
		"quorum/too-large":    TooLarge,
		"quorum/busy":         Busy,
		"quorum/bad-message":  BadMessage,
		"quorum/bad-config":   BadConfig,
		"quorum/other-peers":  PeersChanged,
		"quorum/bad-store":    BadStore,
		"quorum/lost-data":    LostData,
		"quorum/broken":       Broken,
		"quorum/unknown-node": UnknownNode,
	}
	for name, kind := range want {
		if kind.Name != name {
			t.Errorf("kind %q is named %q", name, kind.Name)
		}
	}
	var all []string
	for _, kind := range apperror.Kinds() {
		if strings.HasPrefix(kind.Name, "quorum/") {
			all = append(all, kind.Name)
		}
	}
	if sorted := slices.Sorted(maps.Keys(want)); !slices.Equal(all, sorted) {
		t.Errorf("kinds are %v, want %v", all, sorted)
	}
}
