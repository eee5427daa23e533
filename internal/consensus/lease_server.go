package consensus

import (
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
)

// maxPendingRenewals bounds the renewals that wait for an answer.
const maxPendingRenewals = 8192

// LeaseServer answers proxies' renewals while its Node leads. It has a quorum confirm all renewals of a batch with one
// round, answers them, and proposes the commands that the LeaseService finds due. It is pure as the Node is:
//
//	err := server.Renew(now, id, renewal)                   // as renewals arrive
//	replies, outcome, err := server.Run(now, storage, send) // after each batch of events
//
// No lease is granted while a command that activates a version or removes a member is in flight. It was decided by the
// time since the members' leases, and a lease granted in between would let a node rely on what the decision does not
// reckon with. The LeaseService would reject such a node, so it waits for the outcome instead. Commands that add members
// and others are never in flight together: an activation is decided when all added members are known. What the
// LeaseService finds due is proposed in its term or dropped.
type LeaseServer struct {
	node   *Node
	leases fleetconfig.LeaseService

	term         uint64 // in which leases was last told that it leads; 0: it does not lead
	queued       []pendingRenewal
	confirmation ProposalID // in progress; zero: none
	confirming   []pendingRenewal
	confirmed    []pendingRenewal // wait until no command in flight pauses leases
	inFlight     map[ProposalID]inFlightCommand
	additions    []fleetconfig.Command          // AddMember commands to be proposed
	adding       map[fleetconfig.AddMember]bool // those to be proposed and those in flight; the value is always true
	checkDue     bool                           // the LeaseService may find commands due
	replies      []Reply
}

// inFlightCommand is a proposed command without an outcome yet.
type inFlightCommand struct {
	command      fleetconfig.Command
	pausesLeases bool
}

// pendingRenewal is a renewal without a reply.
type pendingRenewal struct {
	id      uint64 // that the caller gave it
	renewal fleetconfig.Renewal
}

// Reply answers the renewal with that ID.
type Reply struct {
	ID    uint64
	Lease fleetconfig.Lease
	Err   *apperror.Error // UnknownNode or NotLeading; nil: Lease is granted
}

// NewLeaseServer returns a server beside a node. It tells the LeaseService of each term that the node leads.
func NewLeaseServer(node *Node, leases fleetconfig.LeaseService) *LeaseServer {
	return &LeaseServer{
		node:     node,
		leases:   leases,
		inFlight: map[ProposalID]inFlightCommand{},
		adding:   map[fleetconfig.AddMember]bool{},
	}
}

// Renew takes a renewal. A later Step or Run returns a Reply with the ID. It fails with NotLeading or Busy.
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
		} else if !s.adding[*command.AddMember] {
			s.adding[*command.AddMember] = true
			s.additions = append(s.additions, command)
		}
	}
	s.queued = append(s.queued, pendingRenewal{id, r})
	return nil
}

// PendingRenewals is the number of renewals without a reply.
func (s *LeaseServer) PendingRenewals() int {
	return len(s.queued) + len(s.confirming) + len(s.confirmed)
}

// Tick makes the next Step look for commands that time has made due.
func (s *LeaseServer) Tick() { s.checkDue = true }

// followLeadership starts and stops the LeaseService with the node's leadership. Where leadership is lost, all pending
// renewals fail.
func (s *LeaseServer) followLeadership(now time.Duration) {
	settled := s.node.LeaderReady()
	if settled && s.term == s.node.Term() {
		return
	}
	if s.term != 0 {
		s.stepDown()
	}
	if settled {
		s.term = s.node.Term()
		s.leases.BecomeLeader(now, s.term)
		s.checkDue = true
	}
}

// stepDown ends the service of a term: all pending renewals fail, and what was due is dropped.
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
	s.additions = nil
	s.checkDue = false
	clear(s.inFlight)
	clear(s.adding)
}

// HandleOutcome handles the outcome of the node's work.
func (s *LeaseServer) HandleOutcome(now time.Duration, outcome Outcome) {
	for _, applied := range outcome.Applied {
		if applied.Answer.Err == nil { // a rejected command would be due again at once: it waits for the next tick
			s.checkDue = true
		}
		s.commandDone(applied.ProposalID)
	}
	for _, failure := range outcome.Failed {
		s.commandDone(failure.ProposalID)
		if failure.ProposalID == s.confirmation { // leadership is lost, which followLeadership finds
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

// commandDone forgets a command that was applied or has failed.
func (s *LeaseServer) commandDone(id ProposalID) {
	done, ok := s.inFlight[id]
	if !ok {
		return
	}
	delete(s.inFlight, id)
	if done.command.AddMember != nil {
		delete(s.adding, *done.command.AddMember)
	}
}

// Step proposes what is due, answers confirmed renewals, and starts a confirmation of the queued ones. It returns the
// replies that are ready. The node may have work afterwards.
func (s *LeaseServer) Step(now time.Duration) []Reply {
	s.followLeadership(now)
	if s.term != 0 {
		s.propose(now)
		s.answer(now)
		s.startConfirmation()
	}
	replies := s.replies
	s.replies = nil
	return replies
}

// Run does all pending work of the node and what follows from it. An error must end this replica's process.
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

// propose proposes member additions, or else the due commands, once all earlier commands have an outcome.
func (s *LeaseServer) propose(now time.Duration) {
	if len(s.inFlight) > 0 {
		return
	}
	due := s.additions
	s.additions = nil
	if len(due) == 0 && s.checkDue {
		s.checkDue = false
		due = s.leases.DueCommands(now)
	}
	for _, command := range due {
		id, err := s.node.Propose(command)
		if err != nil { // it is found due again
			if command.AddMember != nil {
				delete(s.adding, *command.AddMember)
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

// answer replies to the confirmed renewals, unless a command in flight pauses leases.
func (s *LeaseServer) answer(now time.Duration) {
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

// startConfirmation has a quorum confirm the queued renewals, once no confirmation and no member addition is in progress.
func (s *LeaseServer) startConfirmation() {
	if !s.confirmation.IsZero() || len(s.queued) == 0 || len(s.adding) > 0 {
		return
	}
	id, err := s.node.Confirm()
	if err != nil {
		return // leadership is lost, which followLeadership finds
	}
	s.confirmation = id
	s.confirming = s.queued
	s.queued = nil
}
