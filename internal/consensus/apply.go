package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// maxBytesBetweenSnapshots is the size of applied commands that triggers a snapshot even if fewer than
// Config.SnapshotEvery entries were applied.
const maxBytesBetweenSnapshots = 32 << 20

// applyReady appends the saved entries to the in-memory log, applies the committed ones, and records confirmed reads.
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

// restoreSnapshot replaces the log and the replicated state with a received snapshot.
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

// applyEntry applies a committed entry and adds its result to the outcome. An entry that cannot be decoded stops the node.
func (n *Node) applyEntry(entry *pb.Entry) error {
	n.appliedIndex = entry.GetIndex()
	n.appliedTerm = entry.GetTerm()
	if len(entry.GetData()) == 0 {
		return nil // a new leader begins its term with an empty entry
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

// compactLog takes a snapshot and truncates the log once SnapshotEvery entries or maxBytesBetweenSnapshots bytes were
// applied since the previous snapshot.
func (n *Node) compactLog() error {
	if n.appliedIndex-n.snapshotIndex < n.cfg.SnapshotEvery && n.appliedBytes < maxBytesBetweenSnapshots {
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
	if n.appliedBytes >= maxBytesBetweenSnapshots {
		keep = 0 // entries this large are not kept in memory for lagging peers, which receive the snapshot instead
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
