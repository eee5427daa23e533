package fleetsim

import (
	"encoding/json"
	"time"

	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

// Replica is a control-plane replica's process, and its disk, which outlasts the process.
type Replica struct {
	Process

	fleet     *Fleet
	id        uint64 // from 1 on
	disk      consensus.MemoryStore
	staleDisk consensus.MemoryStore // an earlier state of disk, for Hooks.LoseLastWrites
	starts    uint64                // of the process

	node        *consensus.Node
	state       fleetconfig.ReplicatedState
	leases      fleetconfig.LeaseService
	leaseServer *consensus.LeaseServer
	proposer    *consensus.CatalogProposer
	lastLedTerm uint64 // the latest term that the trace shows it leading in

	lastRenewalID   uint64
	renewals        map[uint64]pendingRenewal
	answerHandlers  map[consensus.ProposalID]func(fleetconfig.Answer)
	snapshotTargets []uint64 // peers that a snapshot was sent to in this turn
}

// pendingRenewal is a renewal on its way to the leader, and how its lease goes back.
type pendingRenewal struct {
	fleetconfig.Renewal
	reply           func(fleetconfig.Lease)
	forwarded       bool
	receivedAt      time.Duration // true time, at the leader
	activeAtReceipt uint64        // the highest version that was active at any replica then
}

// checkedState is a replicated state whose commands are checked as they apply.
type checkedState struct {
	fleetconfig.ReplicatedState
	replica *Replica
}

// Apply implements fleetconfig.ReplicatedState.
func (s checkedState) Apply(index uint64, c fleetconfig.Command) fleetconfig.Answer {
	answer := s.ReplicatedState.Apply(index, c)
	s.replica.fleet.invariants.checkApplied(s.replica, index)
	return answer
}

// boot starts the process from its disk. All else of the process before is lost.
func (r *Replica) boot() {
	r.start()
	r.starts++
	state := fleetconfig.NewStateMachine()
	r.state = state
	r.lastLedTerm = 0
	r.leases = r.fleet.Hooks.wrapLeases(fleetconfig.NewLeaseManager(state), state)
	r.renewals = map[uint64]pendingRenewal{}
	r.answerHandlers = map[consensus.ProposalID]func(fleetconfig.Answer){}
	if r.fleet.Hooks.LoseLastWrites {
		r.disk = r.staleDisk
	}
	var err error
	r.node, err = consensus.New(r.config(), checkedState{state, r}, must(r.disk.Load()))
	if err != nil {
		r.fleet.violate("%s does not start again: %v", r.Name, err)
		r.crash()
		return
	}
	r.leaseServer = consensus.NewLeaseServer(r.node, r.leases)
	r.proposer = r.newCatalogProposer(state)
	r.settle()
	r.tick()
}

func (r *Replica) config() consensus.Config {
	var peers []uint64
	for i := range r.fleet.Replicas {
		peers = append(peers, uint64(i+1))
	}
	return consensus.Config{
		ID:            r.id,
		Peers:         peers,
		Seed:          r.fleet.Seed,
		Incarnation:   r.starts,
		SnapshotEvery: r.fleet.SnapshotEvery,
		KeepEntries:   r.fleet.SnapshotEvery / 4,
	}
}

// tick schedules the next tick, which schedules the one after it.
func (r *Replica) tick() {
	const flushChance = 0.1 // of a disk that loses writes, at each tick
	r.Timer(r.Now()+r.fleet.TickInterval, func() {
		if r.fleet.Hooks.LoseLastWrites && r.engine.Chance(flushChance) {
			r.staleDisk = r.disk
		}
		r.failOn(r.node.Tick())
		r.leaseServer.Tick()
		r.proposer.Tick()
		r.settle()
		r.tick()
	})
}

// failOn reports an error of the node as a violation, but for BadMessage: a late message of an earlier process may be one.
func (r *Replica) failOn(err error) {
	if err != nil && !consensus.BadMessage.Matches(err) {
		r.fleet.violate("%s: %v", r.Name, err)
	}
}

// Leading reports whether the replica is up and takes itself for the leader.
func (r *Replica) Leading() bool { return r.up && r.node.Leading() }

// State is the replica's replicated state.
func (r *Replica) State() fleetconfig.ReplicatedState { return r.state }

// Status is the state of the members as the replica knows it.
func (r *Replica) Status() []fleetconfig.NodeStatus { return r.leases.Status(r.Now()) }

// settle does all pending work of the turn: what has been committed is applied, and answers and messages are sent.
func (r *Replica) settle() {
	for pending := true; pending && r.fleet.Violation == nil; {
		replies, outcome, err := r.leaseServer.Run(r.Now(), &r.disk, r.send)
		r.failOn(err)
		for _, to := range r.snapshotTargets {
			r.failOn(r.node.ReportSnapshot(to, true))
		}
		pending = len(r.snapshotTargets) > 0
		r.snapshotTargets = r.snapshotTargets[:0]
		r.handleOutcome(outcome)
		pending = r.stepCatalog(outcome) || pending
		r.traceLeadership()
		for _, reply := range replies {
			if renewal, ok := r.renewals[reply.ID]; ok && reply.Err == nil {
				r.answerRenewal(renewal, reply.Lease)
			}
			delete(r.renewals, reply.ID)
		}
	}
}

// traceLeadership adds each term that the replica leads in to the trace.
func (r *Replica) traceLeadership() {
	if term := r.node.Term(); r.node.LeaderReady() && r.lastLedTerm != term {
		r.lastLedTerm = term
		r.engine.Trace(r.Name, "leads", term, "")
	}
}

// send is how the node sends a message to a peer.
func (r *Replica) send(m consensus.Message) {
	to := r.fleet.Replicas[m.To-1]
	if m.Snapshot {
		r.snapshotTargets = append(r.snapshotTargets, m.To)
	}
	r.fleet.Network.Send(r.Name, &to.Process, func() {
		r.failOn(to.node.Step(m.Bytes))
		to.settle()
	})
}

// handleOutcome answers the proposals of this replica that have been applied, and forgets those that have failed.
func (r *Replica) handleOutcome(outcome consensus.Outcome) {
	for _, applied := range outcome.Applied {
		if handle := r.answerHandlers[applied.ProposalID]; applied.Local && handle != nil {
			handle(applied.Answer)
		}
		delete(r.answerHandlers, applied.ProposalID)
		if c := applied.Command; c.AddMember == nil && c.RemoveMember == nil {
			r.engine.Trace(r.Name, "applies", applied.Index, describeCommand(c, applied.Answer))
		}
	}
	for _, failure := range outcome.Failed {
		delete(r.answerHandlers, failure.ProposalID)
	}
}

// describeCommand is a command and its error for the trace.
func describeCommand(c fleetconfig.Command, answer fleetconfig.Answer) string {
	const maxBytes = 120
	text := string(must(json.Marshal(c)))
	if answer.Err != nil {
		text = answer.Err.Error() + " on " + text
	}
	return text[:min(len(text), maxBytes)]
}

// forwardTarget is the leader, where it is another replica.
func (r *Replica) forwardTarget() (*Replica, bool) {
	leader := r.node.Leader()
	if leader == 0 || leader == r.id {
		return nil, false
	}
	return r.fleet.Replicas[leader-1], true
}

// handleRenewal handles a renewal on the leader, and forwards it once elsewhere.
func (r *Replica) handleRenewal(renewal pendingRenewal) {
	renewal.receivedAt = r.engine.now
	renewal.activeAtReceipt = r.fleet.invariants.highestActive
	r.lastRenewalID++
	if err := r.leaseServer.Renew(r.Now(), r.lastRenewalID, renewal.Renewal); err == nil {
		r.renewals[r.lastRenewalID] = renewal
		if r.fleet.Hooks.GrantUnconfirmed {
			r.grantUnconfirmed(renewal)
		}
	} else if leader, ok := r.forwardTarget(); ok && !renewal.forwarded { // without a leader the proxy renews again
		r.forwardRenewal(leader, renewal)
	}
	r.settle()
}

// grantUnconfirmed answers the latest renewal without the confirmation of a quorum.
func (r *Replica) grantUnconfirmed(renewal pendingRenewal) {
	if lease, ok := r.leases.GrantLease(r.Now(), renewal.Renewal); ok {
		delete(r.renewals, r.lastRenewalID)
		r.answerRenewal(renewal, lease)
	}
}

// forwardRenewal sends a renewal on to the leader. The lease comes back the same way.
func (r *Replica) forwardRenewal(leader *Replica, renewal pendingRenewal) {
	reply := func(lease fleetconfig.Lease) {
		r.fleet.Network.Send(leader.Name, &r.Process, func() { renewal.reply(lease) })
	}
	r.fleet.Network.Send(r.Name, &leader.Process, func() {
		leader.handleRenewal(pendingRenewal{Renewal: renewal.Renewal, forwarded: true, reply: reply})
	})
}

// answerRenewal checks a lease and sends it back.
func (r *Replica) answerRenewal(renewal pendingRenewal, lease fleetconfig.Lease) {
	r.fleet.invariants.checkLease(r, renewal, lease)
	renewal.reply(lease)
}

// handleCommand proposes an operator's command on the leader, and forwards it once elsewhere. A command that cannot be
// proposed gets no answer: the operator sends it again.
func (r *Replica) handleCommand(c fleetconfig.Command, forwarded bool, reply func(fleetconfig.Answer)) {
	if leader, ok := r.forwardTarget(); ok && !r.node.Leading() && !forwarded {
		r.fleet.Network.Send(r.Name, &leader.Process, func() {
			leader.handleCommand(c, true, func(answer fleetconfig.Answer) {
				r.fleet.Network.Send(leader.Name, &r.Process, func() { reply(answer) })
			})
		})
		return
	}
	var id consensus.ProposalID
	var err error
	if c.MeshChange != nil {
		id, err = r.proposer.SubmitChange(r.Now(), *c.MeshChange)
	} else {
		id, err = r.node.Propose(r.withCatalog(c))
	}
	if err == nil {
		r.answerHandlers[id] = reply
		r.settle()
	}
}

// must returns a value whose error would be a defect of this package, and panics with the error.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
