package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// snapshotBytes is how many bytes of applied commands cause a snapshot, whatever their number.
const snapshotBytes = 32 << 20

// applyReady adds what was saved to the log and applies what is committed.
func (n *Node) applyReady(ready *raft.Ready) error {
	if hasSnapshot(ready.Snapshot) {
		if err := n.restoreSnapshot(ready.Snapshot); err != nil {
			return n.fail(err)
		}
	}
	if ready.HardState != nil {
		if err := n.log.SetHardState(ready.HardState); err != nil {
			return n.fail(err)
		}
	}
	if err := n.log.Append(ready.Entries); err != nil {
		return n.fail(err)
	}
	for _, entry := range ready.CommittedEntries {
		if err := n.applyEntry(entry); err != nil {
			return err
		}
	}
	for _, read := range ready.ReadStates {
		if seq, own := n.parseReadContext(read.RequestCtx); own {
			if _, pending := n.pendingReads[seq]; pending {
				n.pendingReads[seq] = read.Index
			}
		}
	}
	return n.compactLog()
}

// restoreSnapshot replaces the replicated state by a received snapshot.
func (n *Node) restoreSnapshot(snapshot *pb.Snapshot) error {
	if err := n.log.ApplySnapshot(snapshot); err != nil {
		return err
	}
	if err := n.state.Restore(snapshot.GetData()); err != nil {
		return err
	}
	n.resetApplied(snapshot.GetMetadata())
	n.appliedBytes = 0
	n.outcome.Restored = true
	return nil
}

func (n *Node) applyEntry(entry *pb.Entry) error {
	n.appliedIndex = entry.GetIndex()
	n.appliedTerm = entry.GetTerm()
	if len(entry.GetData()) == 0 {
		return nil // a new leader's first entry
	}
	n.appliedBytes += len(entry.GetData())
	var record logRecord
	if err := recordDecoding.Unmarshal(entry.GetData(), &record); err != nil {
		return n.fail(err)
	}
	applied := Applied{
		Index:      entry.GetIndex(),
		ProposalID: record.ProposalID,
		Command:    record.Command,
		Answer:     n.state.Apply(entry.GetIndex(), record.Command),
	}
	if id := record.ProposalID; id == n.proposalID(id.Seq) {
		applied.Local = n.pendingProposals[id.Seq]
		delete(n.pendingProposals, id.Seq)
	}
	n.outcome.Applied = append(n.outcome.Applied, applied)
	return nil
}

// compactLog takes a snapshot, and drops the log before it, once enough was applied since the last one.
func (n *Node) compactLog() error {
	if n.appliedIndex-n.snapshotIndex < n.cfg.SnapshotEvery && n.appliedBytes < snapshotBytes {
		return nil
	}
	data, err := n.state.Snapshot()
	if err != nil {
		return n.fail(err)
	}
	snapshot, err := n.log.CreateSnapshot(n.appliedIndex, &pb.ConfState{Voters: n.cfg.Peers}, data)
	if err != nil {
		return n.fail(err)
	}
	n.unsavedSnapshot = proto.CloneOf(snapshot)
	keep := n.cfg.KeepEntries
	if n.appliedBytes >= snapshotBytes {
		keep = 0 // a lagging peer gets the snapshot, rather than that many bytes being kept in memory here
	}
	n.snapshotIndex = n.appliedIndex
	n.appliedBytes = 0
	first, err := n.log.FirstIndex()
	if err != nil {
		return n.fail(err)
	}
	if n.appliedIndex > keep && n.appliedIndex-keep >= first {
		if err := n.log.Compact(n.appliedIndex - keep); err != nil {
			return n.fail(err)
		}
	}
	return nil
}
