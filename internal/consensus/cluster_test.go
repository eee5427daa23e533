package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
)

// recordingState is a replicated state that records the name of each applied command.
type recordingState struct {
	fleetconfig.ReplicatedState
	IDs     []string
	rejects func(fleetconfig.Command) bool
}

func (s *recordingState) Apply(_ uint64, c fleetconfig.Command) fleetconfig.Answer {
	s.IDs = append(s.IDs, commandName(c))
	if s.rejects != nil && s.rejects(c) {
		return fleetconfig.Answer{Err: Busy.New("recording state", "the test rejects the command")}
	}
	return fleetconfig.Answer{Number: uint64(len(s.IDs))}
}

func (s *recordingState) Snapshot() ([]byte, error) { return json.Marshal(s.IDs) }

func (s *recordingState) Restore(snapshot []byte) error {
	s.IDs = nil
	return json.Unmarshal(snapshot, &s.IDs)
}

func proposeCommand(id string) fleetconfig.Command {
	return fleetconfig.Command{Propose: &fleetconfig.Propose{ID: id}}
}

func addMemberCommand(node string) fleetconfig.Command {
	return fleetconfig.Command{AddMember: &fleetconfig.AddMember{Node: node}}
}

func activateCommand(number uint64) fleetconfig.Command {
	return fleetconfig.Command{Activate: &fleetconfig.Activate{Number: number}}
}

func commandName(c fleetconfig.Command) string {
	switch {
	case c.Propose != nil:
		return c.Propose.ID
	case c.AddMember != nil:
		return "add " + c.AddMember.Node
	default:
		return fmt.Sprint("activate ", c.Activate.Number)
	}
}

// cluster simulates replicas and the links between them. Every replica ticks once per step.
type cluster struct {
	t            testing.TB
	random       *rand.Rand
	seed         uint64
	ids          []uint64
	replicas     map[uint64]*replica
	step         int
	inTransit    []messageInTransit
	disconnected map[link]bool
	lossPercent  int // percentage of messages that are lost; the same percentage is duplicated
	maxDelay     int // maximum delay of a message, in steps
	configure    func(*Config)

	applied      []string        // the longest command sequence that any replica has applied
	acknowledged map[string]bool // commands for which the proposer received the answer
	traceHash    uint64          // hash of the sizes and destinations of all sent messages
}

// link is a one-way connection between two replicas.
type link struct{ from, to uint64 }

// messageInTransit is a message that was sent but not delivered yet.
type messageInTransit struct {
	arrival int // step in which it is delivered
	from    uint64
	message Message
}

// replica is a node with the data that survives its process.
type replica struct {
	node             *Node        // nil: it is down
	leases           *LeaseServer // nil: the cluster checks the outcomes of the node's proposals itself
	state            *recordingState
	store            *faultyStore
	incarnation      uint64
	pendingReads     map[ProposalID][]string // confirmations in progress, with the commands acknowledged before
	pendingProposals map[ProposalID]string
	restores         int
	replies          []Reply
}

// faultyStore is a MemoryStore that fails a chosen save with errCrash, which crashes the replica.
type faultyStore struct {
	MemoryStore
	savesUntilCrash int  // number of the save that fails, counted from now; 0: none
	storeFailedSave bool // the failing save is stored before the crash
}

var errCrash = errors.New("the machine crashed")

func (f *faultyStore) Save(s Save) error {
	if f.savesUntilCrash--; f.savesUntilCrash != 0 {
		return f.MemoryStore.Save(s)
	}
	if f.storeFailedSave {
		if err := f.MemoryStore.Save(s); err != nil {
			return err
		}
	}
	return errCrash
}

func newCluster(t testing.TB, seed uint64, size int, configure func(*Config)) *cluster {
	c := &cluster{
		t:            t,
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 1)),
		replicas:     map[uint64]*replica{},
		disconnected: map[link]bool{},
		maxDelay:     1,
		acknowledged: map[string]bool{},
		configure:    configure,
	}
	for id := uint64(1); id <= uint64(size); id++ {
		c.ids = append(c.ids, id)
		c.replicas[id] = &replica{store: &faultyStore{}}
	}
	for _, id := range c.ids {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id uint64) {
	c.t.Helper()
	r := c.replicas[id]
	r.incarnation++
	r.state = &recordingState{}
	r.pendingReads = map[ProposalID][]string{}
	r.pendingProposals = map[ProposalID]string{}
	r.store.savesUntilCrash = 0
	cfg := Config{ID: id, Peers: c.ids, Seed: c.seed, Incarnation: r.incarnation}
	if c.configure != nil {
		c.configure(&cfg)
	}
	stored, err := r.store.Load()
	c.require(err)
	r.node, err = New(cfg, r.state, stored)
	c.require(err)
}

func (c *cluster) crash(id uint64) {
	c.replicas[id].node = nil
	c.replicas[id].leases = nil
}

// send puts a message of a replica in transit. It may lose or duplicate the message.
func (c *cluster) send(from uint64, m Message) {
	c.traceHash = c.traceHash*31 + uint64(len(m.Bytes))*7 + m.To
	connection := link{from, m.To}
	if m.Snapshot {
		c.require(c.replicas[from].node.ReportSnapshot(m.To, !c.disconnected[connection]))
	}
	copies := 1
	if c.random.IntN(100) < c.lossPercent {
		copies++
	}
	for range copies {
		if !c.disconnected[connection] && c.random.IntN(100) >= c.lossPercent {
			c.inTransit = append(c.inTransit, messageInTransit{c.step + 1 + c.random.IntN(c.maxDelay), from, m})
		}
	}
}

// processWork makes a replica do its pending work, and checks the outcome against those of the other replicas.
func (c *cluster) processWork(id uint64) {
	c.t.Helper()
	r := c.replicas[id]
	if r.node == nil {
		return
	}
	send := func(m Message) { c.send(id, m) }
	var outcome Outcome
	var err error
	if r.leases != nil {
		var replies []Reply
		replies, outcome, err = r.leases.Run(0, r.store, send)
		r.replies = append(r.replies, replies...)
	} else {
		outcome, err = r.node.ProcessWork(r.store, send)
	}
	if errors.Is(err, errCrash) {
		c.crash(id)
		return
	}
	c.require(err)
	if outcome.Restored {
		r.restores++
	}
	if r.leases != nil {
		return // the LeaseServer handles the outcomes of its own proposals
	}
	c.checkSameOrder(id)
	c.checkApplied(r, outcome.Applied)
	c.checkFailed(r, outcome.Failed)
	c.checkConfirmed(id, outcome.Confirmed)
}

// checkSameOrder checks that the commands that a replica has applied are a prefix of the longest applied sequence, or
// extend it.
func (c *cluster) checkSameOrder(id uint64) {
	c.t.Helper()
	for i, command := range c.replicas[id].state.IDs {
		if i == len(c.applied) {
			c.applied = append(c.applied, command)
		}
		if c.applied[i] != command {
			c.t.Fatalf("replica %d applied %q at position %d, another replica applied %q", id, command, i, c.applied[i])
		}
	}
}

func (c *cluster) checkApplied(r *replica, applied []Applied) {
	c.t.Helper()
	for _, a := range applied {
		if !a.Local {
			continue
		}
		if r.pendingProposals[a.ProposalID] != commandName(a.Command) {
			c.t.Fatalf("proposal %v of %q was reported applied as %q", a.ProposalID, r.pendingProposals[a.ProposalID], commandName(a.Command))
		}
		c.acknowledged[commandName(a.Command)] = true
		delete(r.pendingProposals, a.ProposalID)
	}
}

func (c *cluster) checkFailed(r *replica, failed []Failure) {
	c.t.Helper()
	for _, failure := range failed {
		_, isRead := r.pendingReads[failure.ProposalID]
		_, isProposal := r.pendingProposals[failure.ProposalID]
		kind := map[bool]*apperror.Kind{true: NotLeading, false: Uncertain}[isRead]
		if isRead == isProposal || !kind.Matches(failure.Err) {
			c.t.Fatalf("proposal %v failed with %v", failure.ProposalID, failure.Err)
		}
		delete(r.pendingProposals, failure.ProposalID)
		delete(r.pendingReads, failure.ProposalID)
	}
}

func (c *cluster) checkConfirmed(id uint64, confirmed []ProposalID) {
	c.t.Helper()
	r := c.replicas[id]
	for _, confirmation := range confirmed {
		for _, command := range r.pendingReads[confirmation] {
			if !slices.Contains(r.state.IDs, command) {
				c.t.Fatalf("replica %d confirmed a read but has not applied %q, which was acknowledged before the request", id, command)
			}
		}
		delete(r.pendingReads, confirmation)
	}
}

func (c *cluster) require(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// tick advances all replicas by one tick and delivers the messages that arrive in this step.
func (c *cluster) tick() {
	c.t.Helper()
	c.step++
	due, later := []messageInTransit(nil), []messageInTransit(nil)
	for _, m := range c.inTransit {
		if m.arrival <= c.step {
			due = append(due, m)
		} else {
			later = append(later, m)
		}
	}
	c.inTransit = later
	c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		if r := c.replicas[m.message.To]; r.node != nil {
			c.require(r.node.Step(m.message.Bytes))
			c.processWork(m.message.To)
		}
	}
	for _, id := range c.ids {
		if r := c.replicas[id]; r.node != nil {
			c.require(r.node.Tick())
			c.processWork(id)
		}
	}
}

// leader ticks until a replica leads and has applied all committed entries. If there are several, it returns the one with
// the latest term.
func (c *cluster) leader() uint64 {
	c.t.Helper()
	var leader uint64
	c.until("a leader", func() bool {
		leader = 0
		for _, id := range c.ids {
			node := c.replicas[id].node
			if node != nil && node.LeaderReady() && (leader == 0 || node.Term() > c.replicas[leader].node.Term()) {
				leader = id
			}
		}
		return leader != 0
	})
	return leader
}

// until ticks until a condition holds, and fails the test after maxTicks ticks.
func (c *cluster) until(what string, condition func() bool) {
	c.t.Helper()
	const maxTicks = 2000
	for range maxTicks {
		if condition() {
			return
		}
		c.tick()
	}
	c.t.Fatalf("seed %d: not reached in %d ticks: %s", c.seed, maxTicks, what)
}

// propose makes a replica propose a command. On an error nothing was submitted.
func (c *cluster) propose(id uint64, command string) (ProposalID, error) {
	r := c.replicas[id]
	proposalID, err := r.node.Propose(proposeCommand(command))
	if err == nil {
		r.pendingProposals[proposalID] = command
	}
	c.processWork(id)
	return proposalID, err
}

// commit makes the leader propose a command and waits until it is acknowledged.
func (c *cluster) commit(command string) {
	c.t.Helper()
	_, err := c.propose(c.leader(), command)
	c.require(err)
	c.until(command, func() bool { return c.acknowledged[command] })
}

// partition disconnects the replicas of one side from all others.
func (c *cluster) partition(side ...uint64) {
	for _, a := range c.ids {
		for _, b := range c.ids {
			if a != b && slices.Contains(side, a) != slices.Contains(side, b) {
				c.disconnected[link{a, b}] = true
			}
		}
	}
}

// loseData deletes a replica's stored data and starts it again with Config.Rejoin set to rejoin.
func (c *cluster) loseData(id uint64, rejoin bool) {
	c.crash(id)
	c.replicas[id].store.MemoryStore = MemoryStore{}
	configure := c.configure
	c.configure = func(cfg *Config) {
		cfg.Rejoin = rejoin
		if configure != nil {
			configure(cfg)
		}
	}
	c.start(id)
	c.configure = configure
}

// runRandomFaults runs a cluster with random faults and proposals, then stops the faults and checks that all replicas agree.
func runRandomFaults(t testing.TB, seed uint64, size, steps int) *cluster {
	c := newCluster(t, seed, size, func(cfg *Config) {
		cfg.SnapshotEvery = 8
		cfg.KeepEntries = 3
	})
	c.lossPercent = 10
	c.maxDelay = 4
	for i := range steps {
		c.injectFault(i)
		c.tick()
	}
	c.stopFaults()
	c.awaitAgreement()
	c.checkAcknowledged()
	return c
}

// injectFault applies a random fault, proposal, confirmation or nothing to a random replica.
func (c *cluster) injectFault(step int) {
	id := c.randomID()
	r := c.replicas[id]
	switch event := c.random.IntN(40); {
	case r.node == nil:
		if event < 8 {
			c.start(id)
		}
	case event == 0:
		c.crash(id)
	case event == 1:
		r.store.savesUntilCrash = 1 + c.random.IntN(3)
		r.store.storeFailedSave = c.random.IntN(2) == 0
	case event == 2:
		clear(c.disconnected)
		c.partition(id, c.randomID())
	case event == 3:
		c.disconnected[link{id, c.randomID()}] = true
	case event < 8:
		clear(c.disconnected)
	case event == 8:
		r.node.TransferLeadership()
	case event < 24:
		_, _ = c.propose(id, fmt.Sprintf("%d/%d", id, step)) // fails if the replica does not lead
	case event < 36:
		if confirmation, err := r.node.Confirm(); err == nil {
			r.pendingReads[confirmation] = slices.Sorted(maps.Keys(c.acknowledged))
		}
		c.processWork(id)
	}
}

func (c *cluster) randomID() uint64 { return c.ids[c.random.IntN(len(c.ids))] }

func (c *cluster) stopFaults() {
	clear(c.disconnected)
	c.lossPercent = 0
	for _, id := range c.ids {
		if c.replicas[id].node == nil {
			c.start(id)
		}
		c.replicas[id].store.savesUntilCrash = 0
	}
}

// awaitAgreement waits until a further proposal is acknowledged and all replicas have applied the same commands.
func (c *cluster) awaitAgreement() {
	c.t.Helper()
	attempts, acknowledged := 0, len(c.acknowledged)
	c.until("a last proposal", func() bool { // proposals may be lost in a change of leaders
		if c.step%40 == 0 {
			attempts++
			_, _ = c.propose(c.leader(), fmt.Sprint("last ", attempts))
		}
		return len(c.acknowledged) > acknowledged
	})
	c.until("agreement of all", func() bool {
		for _, id := range c.ids {
			if len(c.replicas[id].state.IDs) != len(c.applied) {
				return false
			}
		}
		return true
	})
}

// checkAcknowledged checks that each acknowledged command was applied, and that no command was applied twice.
func (c *cluster) checkAcknowledged() {
	c.t.Helper()
	applied := map[string]bool{}
	for _, command := range c.applied {
		if applied[command] {
			c.t.Fatalf("seed %d: %q was applied twice", c.seed, command)
		}
		applied[command] = true
	}
	for command := range c.acknowledged {
		if !applied[command] {
			c.t.Fatalf("seed %d: %q was acknowledged but not applied", c.seed, command)
		}
	}
}
