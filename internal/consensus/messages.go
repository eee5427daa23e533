package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Message is an encoded message to another replica. Messages may be lost, duplicated or reordered.
type Message struct {
	To       uint64
	Bytes    []byte
	Snapshot bool // the sender must report the delivery with Node.ReportSnapshot
}

// acceptedTypes lists the types of raft messages that replicas send to one another.
var acceptedTypes = []pb.MessageType{
	pb.MessageType_MsgApp,
	pb.MessageType_MsgAppResp,
	pb.MessageType_MsgVote,
	pb.MessageType_MsgVoteResp,
	pb.MessageType_MsgSnap,
	pb.MessageType_MsgHeartbeat,
	pb.MessageType_MsgHeartbeatResp,
	pb.MessageType_MsgTimeoutNow,
	pb.MessageType_MsgPreVote,
	pb.MessageType_MsgPreVoteResp,
}

// Step handles a message from another replica. A BadMessage error leaves the node unchanged.
func (n *Node) Step(message []byte) error {
	return n.guard(func() error {
		defer n.updateRole()
		if len(message) > 0 && message[0] == termQueryPrefix {
			return n.handleTermQuery(message[1:])
		}
		return n.stepRaft(message)
	})
}

// stepRaft decodes and validates a raft message, and passes it to the raft library.
func (n *Node) stepRaft(encoded []byte) error {
	message := &pb.Message{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return BadMessage.Wrap("message", err)
	}
	if err := n.checkMessage(message); err != nil {
		return err
	}
	if n.mustIgnore(message) {
		return nil
	}
	if err := n.detectDataLoss(message); err != nil {
		return err
	}
	if err := n.raft.Step(message); err != nil {
		return BadMessage.Wrap(messagePlace(message), err)
	}
	switch message.GetType() {
	case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap: // only a leader sends these
		if n.Leader() == message.GetFrom() && n.Term() == message.GetTerm() {
			n.resetElectionTimer()
		}
	}
	return nil
}

// messagePlace describes a raft message in errors.
func messagePlace(m *pb.Message) string { return fmt.Sprintf("message from replica %d", m.GetFrom()) }

// checkMessage returns a BadMessage error for a message that no replica of this group sends.
func (n *Node) checkMessage(m *pb.Message) error {
	place := messagePlace(m)
	snapshot := m.GetSnapshot().GetMetadata()
	voters := snapshot.GetConfState().GetVoters()
	switch {
	case !slices.Contains(n.cfg.Peers, m.GetFrom()) || m.GetFrom() == n.cfg.ID:
		return BadMessage.New(place, "it came to replica %d, whose group is %d", n.cfg.ID, n.cfg.Peers)
	case m.GetTo() != n.cfg.ID:
		return BadMessage.New(place, "it is for replica %d and came to replica %d", m.GetTo(), n.cfg.ID)
	case !slices.Contains(acceptedTypes, m.GetType()) || m.GetTerm() == 0 || len(m.GetResponses()) > 0:
		return BadMessage.New(place, "replicas send no %s in term %d", m.GetType(), m.GetTerm())
	case m.GetType() == pb.MessageType_MsgSnap && (snapshot.GetIndex() == 0 || !slices.Equal(voters, n.cfg.Peers)):
		return BadMessage.New(place, "its snapshot is of the group %d, not of %d", voters, n.cfg.Peers)
	}
	for i, entry := range m.GetEntries() {
		previous := m.GetIndex() + uint64(i)
		validTerm := entry.GetTerm() != 0 && entry.GetTerm() <= m.GetTerm()
		if entry.GetType() != pb.EntryType_EntryNormal || entry.GetIndex() != previous+1 || !validTerm {
			return BadMessage.New(place, "entry %d of term %d does not follow %d", entry.GetIndex(), entry.GetTerm(), previous)
		}
	}
	return nil
}

// ReportSnapshot notifies the node whether a snapshot message reached its peer. Until then the node sends no entries to
// that peer.
func (n *Node) ReportSnapshot(to uint64, ok bool) error {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	return n.guard(func() error {
		n.raft.ReportSnapshot(to, status)
		return nil
	})
}

// ReportUnreachable notifies the node that messages to a peer are lost. The node then stops sending entries ahead of the
// peer's answers.
func (n *Node) ReportUnreachable(to uint64) error {
	return n.guard(func() error {
		n.raft.ReportUnreachable(to)
		return nil
	})
}
