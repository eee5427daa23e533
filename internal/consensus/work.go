package consensus

import (
	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Work is the caller's next work for a node: store Save durably, then send Messages, then call Done.
type Work struct {
	Save     *Save // nil: nothing to save
	Messages []Message
}

// Outcome is the result of completed work.
type Outcome struct {
	Applied   []Applied    // in log order, the same on all replicas
	Confirmed []ProposalID // this replica led after Confirm was called, and has applied all entries committed by then
	Failed    []Failure
	Restored  bool // a snapshot replaced the replicated state; Applied omits the commands that it covers
}

// Applied is a committed command that was applied.
type Applied struct {
	Index      uint64
	ProposalID ProposalID
	Local      bool // this process proposed the command and has not reported it as failed
	Command    fleetconfig.Command
	Answer     fleetconfig.Answer
}

// Failure is a proposal that ended with Uncertain, or a confirmation that ended with NotLeading.
type Failure struct {
	ProposalID ProposalID
	Err        *apperror.Error
}

// add appends a later outcome to o.
func (o *Outcome) add(later Outcome) {
	o.Applied = append(o.Applied, later.Applied...)
	o.Confirmed = append(o.Confirmed, later.Confirmed...)
	o.Failed = append(o.Failed, later.Failed...)
	o.Restored = o.Restored || later.Restored
}

// HasWork reports whether Work would return a non-nil Work.
func (n *Node) HasWork() bool {
	return n.fatal == nil && (n.workInProgress || n.hasOwnWork() || n.raft.HasReady())
}

// hasOwnWork reports whether the node has work besides that of the raft library.
func (n *Node) hasOwnWork() bool {
	return n.unsavedSnapshot != nil || n.voteBarrierUnsaved || len(n.outcome.Failed) > 0 || len(n.termMessages) > 0
}

// Work returns the next work, or nil if there is none until the next event. It returns the same work until Done is called.
func (n *Node) Work() (*Work, error) {
	var work *Work
	err := n.guard(func() error {
		if !n.workInProgress && n.raft.HasReady() {
			ready := n.raft.Ready()
			n.ready = &ready
			if ready.HardState != nil {
				n.unsavedState = ready.HardState
			}
		}
		if n.ready == nil && !n.hasOwnWork() {
			return nil
		}
		n.workInProgress = true
		save, err := n.save()
		if err != nil {
			return err
		}
		n.saveInProgress = save != nil
		messages, err := n.encodeMessages()
		if err != nil {
			return err
		}
		work = &Work{Save: save, Messages: messages}
		return nil
	})
	return work, err
}

// encodeMessages returns the messages to send: the queued term queries and answers, and those of the raft library.
func (n *Node) encodeMessages() ([]Message, error) {
	messages := n.termMessages
	if n.ready == nil {
		return messages, nil
	}
	for _, message := range n.ready.Messages {
		encoded, err := proto.Marshal(message)
		if err != nil {
			return nil, err
		}
		messages = append(messages, Message{
			To:       message.GetTo(),
			Bytes:    encoded,
			Snapshot: message.GetType() == pb.MessageType_MsgSnap,
		})
	}
	return messages, nil
}

// Done notifies the node that the work is done: its data is saved, and its messages are sent or lost. It applies the
// committed entries and returns the outcome.
func (n *Node) Done() (Outcome, error) {
	if !n.workInProgress {
		return Outcome{}, nil
	}
	var outcome Outcome
	err := n.guard(func() error {
		if n.saveInProgress {
			n.unsavedSnapshot = nil
			n.unsavedState = nil
			n.voteBarrierUnsaved = false
		}
		ready := n.ready
		n.ready = nil
		n.workInProgress = false
		n.termMessages = nil
		if ready != nil {
			if err := n.applyReady(ready); err != nil {
				return err
			}
			n.raft.Advance(*ready)
			n.updateRole()
			n.finishRejoin()
		}
		n.completeReads()
		outcome = n.outcome
		n.outcome = Outcome{}
		return nil
	})
	return outcome, err
}

// ProcessWork does all pending work with storage and send, and returns the combined outcome. If storage.Save fails, it
// returns the error without sending the messages, and the caller must end the process.
func (n *Node) ProcessWork(storage Saver, send func(Message)) (Outcome, error) {
	var all Outcome
	for {
		work, err := n.Work()
		if work == nil || err != nil {
			return all, err
		}
		if work.Save != nil {
			if err := storage.Save(*work.Save); err != nil {
				return all, err
			}
		}
		for _, message := range work.Messages {
			send(message)
		}
		outcome, err := n.Done()
		all.add(outcome)
		if err != nil {
			return all, err
		}
	}
}
