package consensus

import (
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
)

// maxPendingRenewals is the maximum number of renewals without a reply.
const maxPendingRenewals = 8192

// LeaseServer answers proxies' lease renewals while its Node leads. It confirms its leadership with the quorum once per
// batch of renewals, answers the batch, and proposes the commands that the LeaseService returns. Like the Node, it performs
// no I/O and reads no clock:
//
//	err := server.Renew(now, id, renewal)                   // as renewals arrive
//	replies, outcome, err := server.Run(now, storage, send) // after each batch of events
//
// The server grants no lease while a command that activates a version or removes a member is in flight. Such a command is
// decided by the time that has passed since the members' leases, and a lease granted before it is applied would
// invalidate that decision. The LeaseService would reject the renewing node, so its renewal waits for the command's
// outcome instead. Commands that add members are never in flight together with other commands, so an activation is
// decided only when all added members are known. A due command is proposed in the term in which it became due, or dropped.
type LeaseServer struct {
	node   *Node
	leases fleetconfig.LeaseService

	term             uint64           // term in which this replica leads, as last reported to leases; 0: it does not lead
	queued           []pendingRenewal // waiting for the next confirmation
	confirmation     ProposalID       // the confirmation in progress; zero: none
	confirming       []pendingRenewal // waiting for the confirmation in progress
	confirmed        []pendingRenewal // answered once no command in flight pauses leases
	inFlight         map[ProposalID]inFlightCommand
	queuedAdditions  []fleetconfig.Command          // AddMember commands not proposed yet
	pendingAdditions map[fleetconfig.AddMember]bool // additions that are queued or in flight; the value is always true
	checkDue         bool                           // the next Step asks the LeaseService for due commands
	replies          []Reply
}

// inFlightCommand is a proposed command without an outcome yet.
type inFlightCommand struct {
	command      fleetconfig.Command
	pausesLeases bool
}

// pendingRenewal is a renewal without a reply.
type pendingRenewal struct {
	id      uint64 // the caller's ID, returned in Reply.ID
	renewal fleetconfig.Renewal
}

// Reply is the answer to the renewal with the same ID.
type Reply struct {
	ID    uint64
	Lease fleetconfig.Lease
	Err   *apperror.Error // UnknownNode or NotLeading; nil: Lease is granted
}

// NewLeaseServer returns a LeaseServer for a node. It notifies leases of each term in which the node leads.
func NewLeaseServer(node *Node, leases fleetconfig.LeaseService) *LeaseServer {
	return &LeaseServer{
		node:             node,
		leases:           leases,
		inFlight:         map[ProposalID]inFlightCommand{},
		pendingAdditions: map[fleetconfig.AddMember]bool{},
	}
}

// Renew queues a renewal. A later Step or Run returns a Reply with its ID. Errors are NotLeading and Busy.
func (s *LeaseServer) Renew(now time.Duration, id uint64, r fleetconfig.Renewal) error {
	s.followLeadership(now)
	switch {
	case s.term == 0:
		return s.node.notLeading()
	case s.PendingRenewals() >= maxPendingRenewals:
		return Busy.New(s.node.place(), "%d renewals wait", maxPendingRenewals)
	}
	for _, command := range s.leases.HandleRenewal(now, r) {
		if command.AddMember == nil {
			s.checkDue = true // DueCommands returns it again
		} else if !s.pendingAdditions[*command.AddMember] {
			s.pendingAdditions[*command.AddMember] = true
			s.queuedAdditions = append(s.queuedAdditions, command)
		}
	}
	s.queued = append(s.queued, pendingRenewal{id, r})
	return nil
}

// PendingRenewals returns the number of renewals without a reply.
func (s *LeaseServer) PendingRenewals() int {
	return len(s.queued) + len(s.confirming) + len(s.confirmed)
}

// Tick makes the next Step check for commands that have become due.
func (s *LeaseServer) Tick() { s.checkDue = true }

// followLeadership starts the LeaseService once the node is ready to lead in a new term, and stops it when the node's
// leadership in that term ends. All pending renewals then fail.
func (s *LeaseServer) followLeadership(now time.Duration) {
	ready := s.node.LeaderReady()
	if ready && s.term == s.node.Term() {
		return
	}
	if s.term != 0 {
		s.stepDown()
	}
	if ready {
		s.term = s.node.Term()
		s.leases.BecomeLeader(now, s.term)
		s.checkDue = true
	}
}

// stepDown stops the LeaseService, fails all pending renewals and drops the queued commands.
func (s *LeaseServer) stepDown() {
	s.term = 0
	s.leases.StepDown()
	for _, renewals := range [][]pendingRenewal{s.confirmed, s.confirming, s.queued} {
		for _, renewal := range renewals {
			s.replies = append(s.replies, Reply{ID: renewal.id, Err: s.node.notLeading()})
		}
	}
	s.confirmed = nil
	s.confirming = nil
	s.queued = nil
	s.confirmation = ProposalID{}
	s.queuedAdditions = nil
	s.checkDue = false
	clear(s.inFlight)
	clear(s.pendingAdditions)
}

// HandleOutcome updates the server with an outcome of the node.
func (s *LeaseServer) HandleOutcome(now time.Duration, outcome Outcome) {
	for _, applied := range outcome.Applied {
		if applied.Answer.Err == nil { // a rejected command waits for the next Tick, or it would be retried at once
			s.checkDue = true
		}
		s.commandDone(applied.ProposalID)
	}
	for _, failure := range outcome.Failed {
		s.commandDone(failure.ProposalID)
		if failure.ProposalID == s.confirmation { // leadership is lost; followLeadership handles it
			s.confirmation = ProposalID{}
		}
	}
	for _, id := range outcome.Confirmed {
		if id == s.confirmation && !id.IsZero() {
			s.confirmation = ProposalID{}
			s.confirmed = append(s.confirmed, s.confirming...)
			s.confirming = nil
		}
	}
	s.followLeadership(now)
}

// commandDone removes a command that was applied or has failed from those in flight.
func (s *LeaseServer) commandDone(id ProposalID) {
	done, ok := s.inFlight[id]
	if !ok {
		return
	}
	delete(s.inFlight, id)
	if done.command.AddMember != nil {
		delete(s.pendingAdditions, *done.command.AddMember)
	}
}

// Step proposes the due commands, answers confirmed renewals, and starts a confirmation for the queued ones. It returns
// the replies that are ready. The node may have work afterwards.
func (s *LeaseServer) Step(now time.Duration) []Reply {
	s.followLeadership(now)
	if s.term != 0 {
		s.proposeDue(now)
		s.replyToConfirmed(now)
		s.startConfirmation()
	}
	replies := s.replies
	s.replies = nil
	return replies
}

// Run alternates between the node's pending work and Step until neither has work left. After an error the caller must end
// this replica's process.
func (s *LeaseServer) Run(now time.Duration, storage Saver, send func(Message)) ([]Reply, Outcome, error) {
	var replies []Reply
	var all Outcome
	for {
		outcome, err := s.node.ProcessWork(storage, send)
		all.add(outcome)
		if err != nil {
			return replies, all, err
		}
		s.HandleOutcome(now, outcome)
		replies = append(replies, s.Step(now)...)
		if !s.node.HasWork() {
			return replies, all, nil
		}
	}
}

// proposeDue proposes the queued member additions, or the due commands if there are none. It does nothing while earlier
// commands are in flight.
func (s *LeaseServer) proposeDue(now time.Duration) {
	if len(s.inFlight) > 0 {
		return
	}
	due := s.queuedAdditions
	s.queuedAdditions = nil
	if len(due) == 0 && s.checkDue {
		s.checkDue = false
		due = s.leases.DueCommands(now)
	}
	for _, command := range due {
		id, err := s.node.Propose(command)
		if err != nil { // the command becomes due again
			if command.AddMember != nil {
				delete(s.pendingAdditions, *command.AddMember)
			}
			s.checkDue = true
			continue
		}
		s.inFlight[id] = inFlightCommand{
			command:      command,
			pausesLeases: command.Activate != nil || command.RemoveMember != nil,
		}
	}
}

// replyToConfirmed answers the confirmed renewals, unless a command in flight pauses leases.
func (s *LeaseServer) replyToConfirmed(now time.Duration) {
	for _, command := range s.inFlight {
		if command.pausesLeases {
			return
		}
	}
	for _, pending := range s.confirmed {
		reply := Reply{ID: pending.id}
		lease, ok := s.leases.GrantLease(now, pending.renewal)
		if ok {
			reply.Lease = lease
		} else {
			reply.Err = UnknownNode.New("node "+pending.renewal.Node,
				"incarnation %d has yet to join, or a later one has", pending.renewal.Incarnation)
		}
		s.replies = append(s.replies, reply)
	}
	s.confirmed = nil
}

// startConfirmation starts a leadership confirmation for the queued renewals, unless a confirmation or a member addition
// is in progress.
func (s *LeaseServer) startConfirmation() {
	if !s.confirmation.IsZero() || len(s.queued) == 0 || len(s.pendingAdditions) > 0 {
		return
	}
	id, err := s.node.Confirm()
	if err != nil {
		return // leadership is lost; followLeadership handles it
	}
	s.confirmation = id
	s.confirming = s.queued
	s.queued = nil
}
