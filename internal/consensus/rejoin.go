package consensus

import (
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Rejoining lets a replica that lost its stored data take part again without losing committed entries.
//
// Such a replica may have voted in a term, and acknowledged entries, that it no longer knows of. An entry that was
// committed with its acknowledgment may now be stored on one replica fewer than a majority. Its vote could elect a leader
// without that entry, so the next leader must be elected after the loss and by a majority that does not include it.
//
// The replica therefore ignores raft messages until all other replicas have answered a term query from this process. It
// then enters a term higher than all of theirs, in which no replica has campaigned yet. It does not vote until a leader of
// that term or a later one has sent it everything committed before that leader's first entry. Delayed messages to its
// earlier processes then belong to earlier terms and have no effect.

const (
	noVotes         = math.MaxUint64 // a vote barrier that no term exceeds
	termQueryPrefix = 0xff           // first byte of an encoded termQuery; no raft message starts with it

	// maxPeerTerm is the highest term accepted from a peer, because the following term must be lower than noVotes.
	maxPeerTerm = noVotes - 2
)

// termQuery is a request for a replica's term, or the answer to one.
type termQuery struct {
	From        uint64 `cbor:"1,keyasint"`
	To          uint64 `cbor:"2,keyasint"`
	Request     bool   `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // of the requesting process
	Term        uint64 `cbor:"5,keyasint"` // of the answering replica
}

// Rejoining reports whether this replica lost its data and has not caught up yet.
func (n *Node) Rejoining() bool { return n.voteBarrier == noVotes }

// queueTermQuery sets the sender of a query or an answer to this replica and queues it for the next Work.
func (n *Node) queueTermQuery(query termQuery) error {
	query.From = n.cfg.ID
	encoded, err := cbor.Marshal(query)
	if err != nil {
		return err
	}
	n.termMessages = append(n.termMessages, Message{To: query.To, Bytes: append([]byte{termQueryPrefix}, encoded...)})
	return nil
}

// queryTerms sends a term query to each peer that has not answered, once per ElectionTicks.
func (n *Node) queryTerms() {
	if n.knownTerms == nil || n.ticksSinceLeader%n.cfg.ElectionTicks != 0 {
		return
	}
	for _, id := range n.cfg.Peers {
		if id != n.cfg.ID && !n.knownTerms[id] {
			_ = n.queueTermQuery(termQuery{To: id, Request: true, Incarnation: n.cfg.Incarnation}) // always encodes
		}
	}
}

// handleTermQuery answers a request, unless this replica is waiting for answers itself, or records an answer. After the
// last answer it enters the next term.
func (n *Node) handleTermQuery(message []byte) error {
	var query termQuery
	if err := cbor.Unmarshal(message, &query); err != nil {
		return BadMessage.Wrap("term query", err)
	}
	if !slices.Contains(n.cfg.Peers, query.From) || query.From == n.cfg.ID || query.To != n.cfg.ID {
		return BadMessage.New("term query", "it is from replica %d to replica %d, and came to replica %d",
			query.From, query.To, n.cfg.ID)
	}
	switch {
	case query.Request && n.knownTerms != nil:
		return nil // this replica lost its own term, so its answer could be too low
	case query.Request:
		return n.queueTermQuery(termQuery{To: query.From, Incarnation: query.Incarnation, Term: n.Term()})
	case n.knownTerms == nil || query.Incarnation != n.cfg.Incarnation || query.Term > maxPeerTerm:
		return nil // a late answer, one to an earlier process, or one with an invalid term
	}
	n.knownTerms[query.From] = true
	n.highestTerm = max(n.highestTerm, query.Term)
	if len(n.knownTerms) < len(n.cfg.Peers)-1 {
		return nil
	}
	n.knownTerms = nil
	return n.enterTerm(max(n.highestTerm, n.Term())+1, query.From)
}

// enterTerm makes raft enter a later term by passing it a message of that term. A rejected append response from a peer has
// no other effect on a follower.
func (n *Node) enterTerm(term, peer uint64) error {
	return n.raft.Step(&pb.Message{
		Type:   pb.MessageType_MsgAppResp.Enum(),
		From:   &peer,
		To:     &n.cfg.ID,
		Term:   &term,
		Reject: proto.Bool(true),
	})
}

// mustIgnore reports whether a message must be ignored because this replica is rejoining.
func (n *Node) mustIgnore(m *pb.Message) bool {
	switch m.GetType() {
	case pb.MessageType_MsgVote, pb.MessageType_MsgPreVote:
		return n.knownTerms != nil || m.GetTerm() <= n.voteBarrier
	case pb.MessageType_MsgTimeoutNow:
		return n.voteBarrier == noVotes
	}
	return n.knownTerms != nil
}

// finishRejoin ends the rejoining once the replica has caught up with the leader: it may vote in terms after the current
// one.
func (n *Node) finishRejoin() {
	caughtUp := n.knownTerms == nil && n.Leader() != 0 && n.appliedTerm == n.Term()
	if n.voteBarrier == noVotes && caughtUp {
		n.voteBarrier = n.Term()
		n.voteBarrierUnsaved = true
	}
}

// detectDataLoss stops a replica that lost its data and was not started with Rejoin. A heartbeat reveals the loss when its
// commit index, which never exceeds what this replica acknowledged, is beyond the end of the log. Raft would panic.
func (n *Node) detectDataLoss(m *pb.Message) error {
	if m.GetType() != pb.MessageType_MsgHeartbeat || m.GetTerm() < n.Term() {
		return nil
	}
	last, err := n.log.LastIndex()
	if err != nil {
		return err
	}
	if m.GetCommit() > last {
		n.fatal = LostData.New(n.place(), "keeper %d has its acknowledgment of entry %d, and its log ends at entry %d",
			m.GetFrom(), m.GetCommit(), last)
		return n.fatal
	}
	return nil
}
