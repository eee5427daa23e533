package consensus

import (
	"encoding/binary"
	"math"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// voteBarrierBytes is the size of the vote barrier, which precedes raft's hard state in Stored.State.
const voteBarrierBytes = 8

// load restores the log and the replicated state from the stored data, or starts a new log.
func (n *Node) load(stored Stored) error {
	snapshot, state, err := n.decodeStored(stored)
	if err != nil {
		return err
	}
	if n.voteBarrier == noVotes {
		n.knownTerms = map[uint64]bool{}
	}
	meta := snapshot.GetMetadata()
	if voters := meta.GetConfState().GetVoters(); !slices.Equal(voters, n.cfg.Peers) {
		return PeersChanged.New(n.storePlace(), "it belongs to the group %d, but the configuration names the group %d", voters, n.cfg.Peers)
	}
	entries, err := n.decodeEntries(stored.Entries, meta)
	if err != nil {
		return err
	}
	if err := n.checkState(state, meta, entries); err != nil {
		return err
	}
	for _, err := range []error{n.log.ApplySnapshot(snapshot), n.log.SetHardState(state), n.log.Append(entries)} {
		if err != nil {
			return BadStore.Wrap(n.storePlace(), err)
		}
	}
	if len(snapshot.GetData()) > 0 {
		if err := n.state.Restore(snapshot.GetData()); err != nil {
			return BadStore.Wrap(n.storePlace(), err)
		}
	}
	n.resetApplied(meta)
	return nil
}

// checkState returns a BadStore error if the hard state contradicts the log: its commit index must lie in the log, and its
// term must not be lower than that of the last entry.
func (n *Node) checkState(state *pb.HardState, snapshot *pb.SnapshotMetadata, entries []*pb.Entry) error {
	last, term := snapshot.GetIndex(), snapshot.GetTerm()
	if len(entries) > 0 {
		newest := entries[len(entries)-1]
		last, term = newest.GetIndex(), newest.GetTerm()
	}
	commit := state.GetCommit()
	if commit < snapshot.GetIndex() || commit > last || state.GetTerm() < term {
		return n.badStore("term %d with commit index %d does not fit a log from entry %d to entry %d of term %d",
			state.GetTerm(), commit, snapshot.GetIndex(), last, term)
	}
	return nil
}

// badStore returns a BadStore error about the stored data.
func (n *Node) badStore(format string, args ...any) error {
	return BadStore.New(n.storePlace(), format, args...)
}

// resetApplied sets the applied position to that of a snapshot.
func (n *Node) resetApplied(meta *pb.SnapshotMetadata) {
	n.snapshotIndex = meta.GetIndex()
	n.appliedIndex = meta.GetIndex()
	n.appliedTerm = meta.GetTerm()
}

// decodeStored decodes the snapshot, the hard state and the vote barrier. Without stored data it starts a new log, whose
// snapshot and hard state the first Work saves.
func (n *Node) decodeStored(stored Stored) (*pb.Snapshot, *pb.HardState, error) {
	if stored.Snapshot == nil {
		if len(stored.Entries) > 0 || stored.State != nil {
			return nil, nil, n.badStore("a log is stored without the snapshot that it starts from")
		}
		snapshot, state := n.newLog()
		return snapshot, state, nil
	}
	snapshot, state := &pb.Snapshot{}, &pb.HardState{}
	if err := proto.Unmarshal(stored.Snapshot, snapshot); err != nil {
		return nil, nil, BadStore.Wrap(n.storePlace(), err)
	}
	if len(stored.State) < voteBarrierBytes {
		return nil, nil, n.badStore("the hard state has %d bytes, fewer than %d", len(stored.State), voteBarrierBytes)
	}
	if err := proto.Unmarshal(stored.State[voteBarrierBytes:], state); err != nil {
		return nil, nil, BadStore.Wrap(n.storePlace(), err)
	}
	n.voteBarrier = binary.BigEndian.Uint64(stored.State)
	return snapshot, state, nil
}

// newLog starts a log with an empty snapshot that contains only the peers.
func (n *Node) newLog() (*pb.Snapshot, *pb.HardState) {
	const firstIndex, firstTerm = 1, 1
	n.unsavedSnapshot = &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		Index:     proto.Uint64(firstIndex),
		Term:      proto.Uint64(firstTerm),
		ConfState: &pb.ConfState{Voters: n.cfg.Peers},
	}}
	n.unsavedState = &pb.HardState{Term: proto.Uint64(firstTerm), Vote: proto.Uint64(0), Commit: proto.Uint64(firstIndex)}
	if n.cfg.Rejoin {
		n.voteBarrier = noVotes
	}
	return n.unsavedSnapshot, n.unsavedState
}

// decodeEntries decodes the entries after the snapshot. It returns a BadStore error if they are not consecutive.
func (n *Node) decodeEntries(stored []Entry, snapshot *pb.SnapshotMetadata) ([]*pb.Entry, error) {
	entries := make([]*pb.Entry, 0, len(stored))
	last, term := snapshot.GetIndex(), snapshot.GetTerm()
	for _, encoded := range stored {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(encoded.Bytes, entry); err != nil {
			return nil, BadStore.Wrap(n.storePlace(), err)
		}
		switch {
		case entry.GetIndex() != encoded.Index:
			return nil, n.badStore("entry %d is stored as entry %d", entry.GetIndex(), encoded.Index)
		case entry.GetIndex() <= snapshot.GetIndex():
			continue
		case entry.GetIndex() != last+1 || entry.GetTerm() < term:
			return nil, n.badStore("entry %d of term %d follows entry %d of term %d", entry.GetIndex(), entry.GetTerm(), last, term)
		}
		last, term = entry.GetIndex(), entry.GetTerm()
		entries = append(entries, entry)
	}
	return entries, nil
}

// save returns the changes to save for the work in progress, or nil if there are none. A change of only the commit index
// waits for the next save, because raft can recover it after a restart.
func (n *Node) save() (*Save, error) {
	received := n.ready != nil && hasSnapshot(n.ready.Snapshot)
	mustSync := n.ready != nil && n.ready.MustSync
	if n.unsavedSnapshot == nil && !n.voteBarrierUnsaved && !received && !mustSync {
		return nil, nil
	}
	save := &Save{}
	var err error
	switch {
	case received: // a received snapshot replaces the whole log
		save.DropThrough = math.MaxUint64
		save.Snapshot, err = proto.Marshal(n.ready.Snapshot)
	case n.unsavedSnapshot != nil:
		save.DropThrough = n.unsavedSnapshot.GetMetadata().GetIndex()
		save.Snapshot, err = proto.Marshal(n.unsavedSnapshot)
	}
	if err != nil {
		return nil, err
	}
	if n.ready != nil {
		if save.Entries, err = encodeEntries(n.ready.Entries); err != nil {
			return nil, err
		}
	}
	save.State, err = n.encodeState()
	return save, err
}

// encodeEntries encodes raft entries for a Save.
func encodeEntries(entries []*pb.Entry) ([]Entry, error) {
	var encoded []Entry
	for _, entry := range entries {
		text, err := proto.Marshal(entry)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, Entry{entry.GetIndex(), text})
	}
	return encoded, nil
}

// encodeState encodes the vote barrier and raft's hard state. It returns nil if neither has changed.
func (n *Node) encodeState() ([]byte, error) {
	if n.unsavedState == nil && n.voteBarrierUnsaved {
		n.unsavedState = n.raft.BasicStatus().HardState
	}
	if n.unsavedState == nil {
		return nil, nil
	}
	encoded, err := proto.Marshal(n.unsavedState)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, n.voteBarrier), encoded...), nil
}

// hasSnapshot reports whether snapshot is a real snapshot; raft represents none by nil or an empty value.
func hasSnapshot(snapshot *pb.Snapshot) bool {
	return snapshot != nil && snapshot.GetMetadata().GetIndex() > 0
}
