package consensus

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestReplicasAgreeUnderRandomFaults(t *testing.T) {
	testkit.Property(t, func(r *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(r, "replicas")
		cluster := runRandomFaults(t, rapid.Uint64().Draw(r, "seed"), size, 300)
		if len(cluster.acknowledged) < 10 && size > 2 {
			r.Logf("only %d proposals were acknowledged in 300 steps", len(cluster.acknowledged))
		}
	})
}

func TestRunsAreDeterministic(t *testing.T) {
	run := func(seed uint64) (sum uint64) {
		cluster := runRandomFaults(t, seed, 3, 400)
		h := fnv.New64()
		fmt.Fprint(h, cluster.applied, cluster.traceHash, cluster.step)
		return h.Sum64()
	}
	first := run(7)
	for range 3 {
		if repeated := run(7); repeated != first {
			t.Fatalf("two runs with the same seed have the hashes %x and %x", first, repeated)
		}
	}
	if run(8) == first {
		t.Fatal("two seeds resulted in the same run")
	}
}

func TestLaggingReplicaCatchesUpFromSnapshot(t *testing.T) {
	cluster := newCluster(t, 3, 3, func(c *Config) { c.SnapshotEvery, c.KeepEntries = 8, 2 })
	leader := cluster.leader()
	lagging := cluster.ids[leader%3]
	cluster.partition(lagging)
	for i := range 40 {
		cluster.commit(fmt.Sprint(i))
	}
	clear(cluster.disconnected)
	cluster.until("the lagging replica caught up", func() bool { return len(cluster.replicas[lagging].state.IDs) == 40 })
	if cluster.replicas[lagging].restores == 0 {
		t.Fatal("the replica caught up without a snapshot, although the log was compacted")
	}
	cluster.crash(lagging)
	cluster.start(lagging) // from the stored snapshot and the entries after it
	cluster.until("the replica caught up", func() bool { return len(cluster.replicas[lagging].state.IDs) == 40 })
	if n := len(cluster.replicas[lagging].store.contents.Entries); n > 16 {
		t.Fatalf("%d entries are stored, although the log is compacted every 8 entries", n)
	}
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	cluster := newCluster(t, 11, 3, nil)
	leader := cluster.leader()
	cluster.commit("before")
	cluster.partition(leader)
	if _, err := cluster.propose(leader, "uncommitted"); err != nil {
		t.Fatal(err) // the leader has not noticed the partition yet
	}
	read, err := cluster.replicas[leader].node.Confirm()
	cluster.require(err)
	cluster.replicas[leader].pendingReads[read] = []string{"before"}
	from := cluster.step
	cluster.until("the leader steps down", func() bool { return !cluster.replicas[leader].node.Leading() })
	cluster.processWork(leader)
	ticks := cluster.step - from
	proposals, reads := len(cluster.replicas[leader].pendingProposals), len(cluster.replicas[leader].pendingReads)
	if ticks > 21 || proposals != 0 || reads != 0 {
		t.Fatalf("after %d ticks %d proposals and %d confirmations are pending", ticks, proposals, reads)
	}
	if _, err := cluster.propose(leader, "rejected"); !NotLeading.Matches(err) {
		t.Fatalf("a replica without a majority accepted a proposal: %v", err)
	}
	if _, err := cluster.replicas[leader].node.Confirm(); !NotLeading.Matches(err) {
		t.Fatalf("a replica without a majority accepted a confirmation: %v", err)
	}
	cluster.commit("meanwhile")
	clear(cluster.disconnected)
	cluster.until("the replica caught up", func() bool { return len(cluster.replicas[leader].state.IDs) >= 2 })
	testkit.Equal(t, "applied commands", []string{"before", "meanwhile"}, cluster.replicas[leader].state.IDs)
}

func TestTransferLeadershipTakesNoElectionTimeout(t *testing.T) {
	cluster := newCluster(t, 5, 3, nil)
	leader := cluster.leader()
	cluster.commit("one")
	from := cluster.step
	if !cluster.replicas[leader].node.TransferLeadership() {
		t.Fatal("the leader did not start a transfer of leadership")
	}
	cluster.processWork(leader)
	cluster.until("another leader", func() bool { return cluster.leader() != leader })
	if ticks := cluster.step - from; ticks > 8 {
		t.Fatalf("the transfer took %d ticks, as long as an election", ticks)
	}
}

func TestInvalidStoredStateIsRejected(t *testing.T) {
	cluster := newCluster(t, 2, 3, func(c *Config) { c.SnapshotEvery = 6 })
	for i := range 9 {
		cluster.commit(fmt.Sprint(i))
	}
	leader := cluster.leader()
	valid, _ := cluster.replicas[leader].store.Load()
	if len(valid.Entries) < 3 {
		t.Fatalf("only %d entries are stored", len(valid.Entries))
	}
	for _, c := range []struct {
		name   string
		kind   *apperror.Kind
		modify func(*Stored, *Config)
	}{
		{"unmodified", nil, func(*Stored, *Config) {}},
		{"other peers", PeersChanged, func(_ *Stored, c *Config) { c.Peers = []uint64{1, 2, 3, 4} }},
		{"missing entry", BadStore, func(s *Stored, _ *Config) { s.Entries = slices.Delete(s.Entries, 1, 2) }},
		{"no entries", BadStore, func(s *Stored, _ *Config) { s.Entries = nil }},
		{"no snapshot", BadStore, func(s *Stored, _ *Config) { s.Snapshot = nil }},
		{"no state", BadStore, func(s *Stored, _ *Config) { s.State = nil }},
		{"invalid state", BadStore, func(s *Stored, _ *Config) { s.State = []byte{0xff} }},
		{"truncated snapshot", BadStore, func(s *Stored, _ *Config) { s.Snapshot = s.Snapshot[:len(s.Snapshot)-1] }},
		{"invalid entry", BadStore, func(s *Stored, _ *Config) { s.Entries[1].Bytes = []byte("x") }},
		{"entry under a wrong index", BadStore, func(s *Stored, _ *Config) { s.Entries[1].Index++ }},
		{"not a peer", BadConfig, func(_ *Stored, c *Config) { c.ID = 9 }},
		{"id 0", BadConfig, func(_ *Stored, c *Config) { c.ID = 0 }},
		{"duplicate peer", BadConfig, func(_ *Stored, c *Config) { c.Peers = []uint64{1, 1, 2} }},
		{"rejoin alone", BadConfig, func(_ *Stored, c *Config) { c.ID, c.Peers, c.Rejoin = 1, []uint64{1}, true }},
		{"heartbeats too rare", BadConfig, func(_ *Stored, c *Config) { c.HeartbeatTicks = 10 }},
	} {
		s, cfg := valid, Config{ID: leader, Peers: cluster.ids, Incarnation: 9}
		s.Entries = slices.Clone(valid.Entries)
		c.modify(&s, &cfg)
		state := &recordingState{}
		n, err := New(cfg, state, s)
		if c.kind == nil {
			cluster.require(err)
			if _, err := n.ProcessWork(&MemoryStore{}, func(Message) {}); err != nil || len(state.IDs) < 6 {
				t.Fatalf("valid stored data resulted in %q, error %v", state.IDs, err)
			}
		} else if !c.kind.Matches(err) || len(apperror.Resolutions(err)) == 0 {
			t.Errorf("%s: got %v, want %s", c.name, err, c.kind.Name)
		}
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	cluster := newCluster(t, 4, 3, nil)
	leader := cluster.leader()
	follower := cluster.ids[leader%3]
	node := cluster.replicas[follower].node
	heartbeat := func(change func(*pb.Message)) []byte {
		m := &pb.Message{Type: pb.MessageType_MsgHeartbeat.Enum(), From: &leader, To: &follower, Term: proto.Uint64(node.Term())}
		change(m)
		b, err := proto.Marshal(m)
		cluster.require(err)
		return b
	}
	entry := func(index, term uint64, kind pb.EntryType) []*pb.Entry {
		return []*pb.Entry{{Index: &index, Term: &term, Type: kind.Enum()}}
	}
	cluster.require(node.Step(heartbeat(func(*pb.Message) {})))
	before := node.raft.BasicStatus().String()
	for what, b := range map[string][]byte{
		"not a message":           []byte("GET / HTTP/1.1\r\n\r\n"),
		"from an unknown replica": heartbeat(func(m *pb.Message) { m.From = proto.Uint64(77) }),
		"from itself":             heartbeat(func(m *pb.Message) { m.From = &follower }),
		"for another replica":     heartbeat(func(m *pb.Message) { m.To = &leader }),
		"no term":                 heartbeat(func(m *pb.Message) { m.Term = nil }),
		"local message":           heartbeat(func(m *pb.Message) { m.Type = pb.MessageType_MsgHup.Enum() }),
		"forwarded proposal":      heartbeat(func(m *pb.Message) { m.Type = pb.MessageType_MsgProp.Enum() }),
		"storage message":         heartbeat(func(m *pb.Message) { m.Type = pb.MessageType_MsgStorageAppend.Enum() }),
		"empty snapshot":          heartbeat(func(m *pb.Message) { m.Type = pb.MessageType_MsgSnap.Enum() }),
		"membership change": heartbeat(func(m *pb.Message) {
			m.Type = pb.MessageType_MsgApp.Enum()
			m.Entries = entry(1, 1, pb.EntryType_EntryConfChangeV2)
		}),
		"gap in the entries": heartbeat(func(m *pb.Message) {
			m.Type = pb.MessageType_MsgApp.Enum()
			m.Entries = entry(7, 1, pb.EntryType_EntryNormal)
		}),
		"entry of a later term": heartbeat(func(m *pb.Message) {
			m.Type = pb.MessageType_MsgApp.Enum()
			m.Entries = entry(1, 1<<40, pb.EntryType_EntryNormal)
		}),
	} {
		if err := node.Step(b); !BadMessage.Matches(err) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if after := node.raft.BasicStatus().String(); after != before {
		t.Fatalf("rejected messages changed %s to %s", before, after)
	}
	// The raft library panics on a commit index beyond the log. The replica must stop with an error instead.
	err := node.Step(heartbeat(func(m *pb.Message) { m.Commit = proto.Uint64(1 << 40) }))
	if _, again := node.Work(); !LostData.Matches(err) || !LostData.Matches(again) || !LostData.Matches(node.Tick()) {
		t.Fatalf("a commit index beyond the log resulted in %v, then %v", err, again)
	}
}

func TestArbitraryMessagesDoNotPanic(t *testing.T) {
	testkit.Property(t, func(r *rapid.T) {
		node, err := New(Config{ID: 1, Peers: []uint64{1, 2, 3}}, &recordingState{}, Stored{})
		if err != nil {
			r.Fatal(err)
		}
		small := rapid.Uint64Range(0, 4)
		for range rapid.IntRange(1, 12).Draw(r, "messages") {
			m := &pb.Message{Type: pb.MessageType(rapid.Int32Range(0, 22).Draw(r, "type")).Enum(),
				From: proto.Uint64(small.Draw(r, "from")),
				To:   proto.Uint64(1), Term: proto.Uint64(small.Draw(r, "term")), LogTerm: proto.Uint64(small.Draw(r, "log term")),
				Index: proto.Uint64(small.Draw(r, "index")), Commit: proto.Uint64(small.Draw(r, "commit")),
				Reject: proto.Bool(rapid.Bool().Draw(r, "reject")), Context: rapid.SliceOfN(rapid.Byte(), 0, 16).Draw(r, "context")}
			for i := range rapid.IntRange(0, 2).Draw(r, "entries") {
				m.Entries = append(m.Entries, &pb.Entry{Index: proto.Uint64(m.GetIndex() + 1 + uint64(i)),
					Term: proto.Uint64(small.Draw(r, "of")),
					Data: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(r, "data")})
			}
			b, _ := proto.Marshal(m)
			if err := node.Step(b); err != nil && !BadMessage.Matches(err) && !Broken.Matches(err) && !LostData.Matches(err) {
				r.Fatalf("%v has no expected kind", err)
			}
			if _, err := node.ProcessWork(&MemoryStore{}, func(Message) {}); err != nil && !Broken.Matches(err) && !LostData.Matches(err) {
				r.Fatalf("%v has no expected kind", err)
			}
		}
	})
}

func TestTooLargeCommandIsRejected(t *testing.T) {
	cluster := newCluster(t, 1, 1, nil)
	big := proposeCommand("big")
	big.Propose.Body = &fleetconfig.Body{Settings: make([]byte, MaxCommandBytes)}
	if _, err := cluster.replicas[cluster.leader()].node.Propose(big); !TooLarge.Matches(err) {
		t.Fatal(err)
	}
	cluster.commit("small")
	testkit.Equal(t, "applied commands", []string{"small"}, cluster.applied)
}

func TestUnknownCommandStopsReplica(t *testing.T) {
	cluster := newCluster(t, 1, 1, nil)
	node := cluster.replicas[cluster.leader()].node
	later, err := recordEncoding.Marshal(map[int]any{1: ProposalID{9, 9, 9}, 2: map[string]any{"propose": map[string]any{"id": "a", "unknown": 1}}})
	cluster.require(err)
	if err := node.raft.Propose(later); err != nil {
		t.Fatal(err)
	}
	_, err = node.ProcessWork(&MemoryStore{}, func(Message) {})
	if !Broken.Matches(err) || len(cluster.replicas[1].state.IDs) != 0 {
		t.Fatalf("applied %q, error %v", cluster.replicas[1].state.IDs, err)
	}
}
