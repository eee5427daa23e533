package consensus

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
	"github.com/fxamacker/cbor/v2"
)

// MaxCommandBytes is the maximum size of an encoded command: the largest body and 1 MiB for the fields around it.
const MaxCommandBytes = fleetconfig.MaxBodyBytes + 1<<20

// ProposalID identifies a proposal or a confirmation. It is unique across all replicas and their restarts.
type ProposalID struct {
	Node        uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}

// IsZero reports whether the ID is the zero value, which identifies nothing.
func (id ProposalID) IsZero() bool { return id == ProposalID{} }

// logRecord is the data of a log entry, encoded as CBOR.
type logRecord struct {
	ProposalID ProposalID          `cbor:"1,keyasint"`
	Command    fleetconfig.Command `cbor:"2,keyasint"`
}

// recordEncoding is deterministic.
var recordEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// recordDecoding rejects unknown fields, so that a replica of an earlier release stops instead of applying a command
// partially.
var recordDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// nextProposalID returns a new ID of this process.
func (n *Node) nextProposalID() ProposalID {
	n.lastSeq++
	return n.proposalID(n.lastSeq)
}

// proposalID returns the ID of this process with a given sequence number.
func (n *Node) proposalID(seq uint64) ProposalID {
	return ProposalID{Node: n.cfg.ID, Incarnation: n.cfg.Incarnation, Seq: seq}
}

// notLeading returns a NotLeading error that names the leader, if one is known.
func (n *Node) notLeading() *apperror.Error {
	if leader := n.Leader(); leader != 0 && leader != n.cfg.ID {
		return NotLeading.New(n.place(), "keeper %d leads in term %d", leader, n.Term())
	}
	return NotLeading.New(n.place(), "no keeper leads in term %d", n.Term())
}

// Propose submits a command to the log. A later Outcome contains the ID in Applied or Failed. An error (NotLeading,
// TooLarge or Busy) means that nothing was submitted.
func (n *Node) Propose(c fleetconfig.Command) (id ProposalID, err error) {
	err = n.guard(func() error {
		if !n.lastRole.leading {
			return n.notLeading()
		}
		id = n.nextProposalID()
		data, err := recordEncoding.Marshal(logRecord{id, c})
		if err != nil {
			return TooLarge.Wrap(n.place(), err)
		}
		if len(data) > MaxCommandBytes {
			return TooLarge.New(n.place(), "a command of %d bytes; %d is the most", len(data), MaxCommandBytes)
		}
		if err := n.raft.Propose(data); err != nil {
			return Busy.Wrap(n.place(), err)
		}
		n.pendingProposals[id.Seq] = true
		return nil
	})
	return id, err
}

// Confirm asks a quorum to confirm that this replica leads (raft's read index). A later Outcome contains the ID in
// Confirmed or Failed. It returns a NotLeading error if LeaderReady is false.
func (n *Node) Confirm() (id ProposalID, err error) {
	err = n.guard(func() error {
		if !n.LeaderReady() {
			return n.notLeading()
		}
		id = n.nextProposalID()
		n.pendingReads[id.Seq] = 0
		n.raft.ReadIndex(encodeReadContext(id))
		return nil
	})
	return id, err
}

// readContextBytes is the size of a read index request's context, which holds the incarnation and the sequence number.
const readContextBytes = 16

// encodeReadContext encodes the context of a read index request.
func encodeReadContext(id ProposalID) []byte {
	context := binary.BigEndian.AppendUint64(nil, id.Incarnation)
	return binary.BigEndian.AppendUint64(context, id.Seq)
}

// parseReadContext returns the sequence number in the context of a read index request. ok is false if another process made
// the request.
func (n *Node) parseReadContext(context []byte) (seq uint64, ok bool) {
	own := binary.BigEndian.AppendUint64(nil, n.cfg.Incarnation)
	if len(context) != readContextBytes || !bytes.HasPrefix(context, own) {
		return 0, false
	}
	return binary.BigEndian.Uint64(context[len(own):]), true
}

// completeReads moves confirmations from pendingReads to the outcome once their index is applied.
func (n *Node) completeReads() {
	for _, seq := range slices.Sorted(maps.Keys(n.pendingReads)) {
		if index := n.pendingReads[seq]; index != 0 && index <= n.appliedIndex {
			n.outcome.Confirmed = append(n.outcome.Confirmed, n.proposalID(seq))
			delete(n.pendingReads, seq)
		}
	}
}

// failPending removes all pending proposals or reads from a map and returns their failures, ordered by sequence number.
func failPending[V any](n *Node, kind *apperror.Kind, pending map[uint64]V) []Failure {
	var failures []Failure
	for _, seq := range slices.Sorted(maps.Keys(pending)) {
		err := kind.New(n.place(), "it ceased to lead in term %d", n.lastRole.term)
		failures = append(failures, Failure{n.proposalID(seq), err})
	}
	clear(pending)
	return failures
}
