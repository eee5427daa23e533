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

// MaxCommandBytes is the most bytes that an encoded command may have: a largest body and its envelope.
const MaxCommandBytes = fleetconfig.MaxBodyBytes + 1<<20

// ProposalID identifies a proposal or a confirmation among those of all replicas and their earlier processes.
type ProposalID struct {
	Node        uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}

// IsZero reports whether the ID identifies nothing.
func (id ProposalID) IsZero() bool { return id == ProposalID{} }

// logRecord is the content of a log entry, encoded as CBOR.
type logRecord struct {
	ProposalID ProposalID          `cbor:"1,keyasint"`
	Command    fleetconfig.Command `cbor:"2,keyasint"`
}

var recordEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// recordDecoding fails on unknown fields: a replica of an earlier release must stop rather than apply half of a command.
var recordDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func (n *Node) nextProposalID() ProposalID {
	n.lastSeq++
	return n.proposalID(n.lastSeq)
}

func (n *Node) proposalID(seq uint64) ProposalID {
	return ProposalID{Node: n.cfg.ID, Incarnation: n.cfg.Incarnation, Seq: seq}
}

func (n *Node) notLeading() *apperror.Error {
	if leader := n.Leader(); leader != 0 && leader != n.cfg.ID {
		return NotLeading.New(n.place(), "keeper %d leads in term %d", leader, n.Term())
	}
	return NotLeading.New(n.place(), "no keeper leads in term %d", n.Term())
}

// Propose submits a command to the log. The ID comes back in Outcome.Applied or Outcome.Failed. An error (NotLeading,
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

// Confirm asks a quorum to confirm that this replica leads (raft's read index). The ID comes back in Outcome.Confirmed or
// Outcome.Failed. It fails with NotLeading.
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

// readContextBytes is the size of a read index request's context: incarnation and sequence number.
const readContextBytes = 16

func encodeReadContext(id ProposalID) []byte {
	context := binary.BigEndian.AppendUint64(nil, id.Incarnation)
	return binary.BigEndian.AppendUint64(context, id.Seq)
}

// parseReadContext returns the sequence number in a read index request's context; false: it is another process's.
func (n *Node) parseReadContext(context []byte) (seq uint64, ok bool) {
	own := binary.BigEndian.AppendUint64(nil, n.cfg.Incarnation)
	if len(context) != readContextBytes || !bytes.HasPrefix(context, own) {
		return 0, false
	}
	return binary.BigEndian.Uint64(context[len(own):]), true
}

// releaseReads moves the confirmations whose index is applied to the outcome.
func (n *Node) releaseReads() {
	for _, seq := range slices.Sorted(maps.Keys(n.pendingReads)) {
		if index := n.pendingReads[seq]; index != 0 && index <= n.appliedIndex {
			n.outcome.Confirmed = append(n.outcome.Confirmed, n.proposalID(seq))
			delete(n.pendingReads, seq)
		}
	}
}

// abandon empties a map of pending proposals or reads and returns their failures in order.
func abandon[V any](n *Node, kind *apperror.Kind, pending map[uint64]V) []Failure {
	var failures []Failure
	for _, seq := range slices.Sorted(maps.Keys(pending)) {
		err := kind.New(n.place(), "it ceased to lead in term %d", n.lastRole.term)
		failures = append(failures, Failure{n.proposalID(seq), err})
	}
	clear(pending)
	return failures
}
