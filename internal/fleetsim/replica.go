package fleetsim

import (
	"encoding/json"
	"time"

	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

// Replica is the process of a control-plane replica, together with its disk, which persists across restarts.
type Replica struct {
	Process

	fleet     *Fleet
	id        uint64 // starts at 1
	disk      consensus.MemoryStore
	staleDisk consensus.MemoryStore // earlier state of disk, for Hooks.LoseLastWrites
	starts    uint64                // number of times that the process was started

	node           *consensus.Node
	state          fleetconfig.ReplicatedState
	leases         fleetconfig.LeaseService
	leaseServer    *consensus.LeaseServer
	proposer       *consensus.CatalogProposer
	lastTracedTerm uint64 // latest term that traceLeadership added to the trace

	lastRenewalID   uint64
	renewals        map[uint64]pendingRenewal
	answerHandlers  map[consensus.ProposalID]func(fleetconfig.Answer)
	snapshotTargets []uint64 // peers to which this turn sent a snapshot
}

// pendingRenewal is an unanswered renewal.
type pendingRenewal struct {
	fleetconfig.Renewal
	reply           func(fleetconfig.Lease) // sends the lease to the proxy
	forwarded       bool                    // by another replica
	receivedAt      time.Duration           // true time at which the leader received it
	activeAtReceipt uint64                  // highest version number that was active at any replica at receivedAt
}

// checkedState is a replicated state that checks the invariants after each command.
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

// boot starts the process with the state of its disk. All other state of an earlier process is lost.
func (r *Replica) boot() {
	r.start()
	r.starts++
	state := fleetconfig.NewStateMachine()
	r.state = state
	r.lastTracedTerm = 0
	r.leases = r.fleet.Hooks.wrapLeases(fleetconfig.NewLeaseManager(state), state)
	r.renewals = map[uint64]pendingRenewal{}
	r.answerHandlers = map[consensus.ProposalID]func(fleetconfig.Answer){}
	if r.fleet.Hooks.LoseLastWrites {
		r.disk = r.staleDisk
	}
	var err error
	r.node, err = consensus.New(r.config(), checkedState{state, r}, must(r.disk.Load()))
	if err != nil {
		r.fleet.violate("%s fails to start from its disk: %v", r.Name, err)
		r.crash()
		return
	}
	r.leaseServer = consensus.NewLeaseServer(r.node, r.leases)
	r.proposer = r.newCatalogProposer(state)
	r.processPending()
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

// tick schedules the next tick, which in turn schedules its successor.
func (r *Replica) tick() {
	const flushChance = 0.1 // probability per tick that staleDisk catches up with disk
	r.Timer(r.Now()+r.fleet.TickInterval, func() {
		if r.fleet.Hooks.LoseLastWrites && r.engine.Chance(flushChance) {
			r.staleDisk = r.disk
		}
		r.reportError(r.node.Tick())
		r.leaseServer.Tick()
		r.proposer.Tick()
		r.processPending()
		r.tick()
	})
}

// reportError reports an error of the node as a violation. It ignores BadMessage, because a delayed message of an earlier process
// may cause it.
func (r *Replica) reportError(err error) {
	if err != nil && !consensus.BadMessage.Matches(err) {
		r.fleet.violate("%s: %v", r.Name, err)
	}
}

// Leading reports whether the replica is up and considers itself the leader.
func (r *Replica) Leading() bool { return r.up && r.node.Leading() }

// State returns the replicated state of the replica.
func (r *Replica) State() fleetconfig.ReplicatedState { return r.state }

// Status returns the status of all members from the view of the replica.
func (r *Replica) Status() []fleetconfig.NodeStatus { return r.leases.Status(r.Now()) }

// processPending does all pending work: it applies committed commands, and sends answers and messages.
func (r *Replica) processPending() {
	for pending := true; pending && r.fleet.Violation == nil; {
		replies, outcome, err := r.leaseServer.Run(r.Now(), &r.disk, r.send)
		r.reportError(err)
		for _, to := range r.snapshotTargets {
			r.reportError(r.node.ReportSnapshot(to, true))
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

// traceLeadership adds an entry to the trace for each term in which the replica leads.
func (r *Replica) traceLeadership() {
	if term := r.node.Term(); r.node.LeaderReady() && r.lastTracedTerm != term {
		r.lastTracedTerm = term
		r.engine.Trace(r.Name, "leads", term, "")
	}
}

// send sends a message of the node to a peer.
func (r *Replica) send(m consensus.Message) {
	to := r.fleet.Replicas[m.To-1]
	if m.Snapshot {
		r.snapshotTargets = append(r.snapshotTargets, m.To)
	}
	r.fleet.Network.Send(r.Name, &to.Process, func() {
		r.reportError(to.node.Step(m.Bytes))
		to.processPending()
	})
}

// handleOutcome answers the proposals of this replica that have been applied, and drops the handlers of failed proposals.
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

// describeCommand returns a command and the error of its answer as text for the trace.
func describeCommand(c fleetconfig.Command, answer fleetconfig.Answer) string {
	const maxBytes = 120
	text := string(must(json.Marshal(c)))
	if answer.Err != nil {
		text = answer.Err.Error() + " on " + text
	}
	return text[:min(len(text), maxBytes)]
}

// forwardTarget returns the leader, and false if there is none or the replica itself leads.
func (r *Replica) forwardTarget() (*Replica, bool) {
	leader := r.node.Leader()
	if leader == 0 || leader == r.id {
		return nil, false
	}
	return r.fleet.Replicas[leader-1], true
}

// handleRenewal handles a renewal if the replica leads, and otherwise forwards it to the leader. A renewal is forwarded at most
// once.
func (r *Replica) handleRenewal(renewal pendingRenewal) {
	renewal.receivedAt = r.engine.now
	renewal.activeAtReceipt = r.fleet.invariants.highestActive
	r.lastRenewalID++
	if err := r.leaseServer.Renew(r.Now(), r.lastRenewalID, renewal.Renewal); err == nil {
		r.renewals[r.lastRenewalID] = renewal
		if r.fleet.Hooks.GrantUnconfirmed {
			r.grantUnconfirmed(renewal)
		}
	} else if leader, ok := r.forwardTarget(); ok && !renewal.forwarded { // without a leader the proxy retries
		r.forwardRenewal(leader, renewal)
	}
	r.processPending()
}

// grantUnconfirmed answers the latest renewal before a quorum has confirmed that the replica still leads.
func (r *Replica) grantUnconfirmed(renewal pendingRenewal) {
	if lease, ok := r.leases.GrantLease(r.Now(), renewal.Renewal); ok {
		delete(r.renewals, r.lastRenewalID)
		r.answerRenewal(renewal, lease)
	}
}

// forwardRenewal forwards a renewal to the leader, whose answer returns through this replica.
func (r *Replica) forwardRenewal(leader *Replica, renewal pendingRenewal) {
	reply := func(lease fleetconfig.Lease) {
		r.fleet.Network.Send(leader.Name, &r.Process, func() { renewal.reply(lease) })
	}
	r.fleet.Network.Send(r.Name, &leader.Process, func() {
		leader.handleRenewal(pendingRenewal{Renewal: renewal.Renewal, forwarded: true, reply: reply})
	})
}

// answerRenewal checks a lease and sends it to the proxy.
func (r *Replica) answerRenewal(renewal pendingRenewal, lease fleetconfig.Lease) {
	r.fleet.invariants.checkLease(r, renewal, lease)
	renewal.reply(lease)
}

// handleCommand proposes an operator's command if the replica leads, and otherwise forwards it to the leader, at most once. A
// command that cannot be proposed is not answered, and the operator retries it.
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
		r.processPending()
	}
}

// must returns value, and panics if err is not nil. Use it only where an error would be a defect of this package.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
