package consensus

import (
	"fmt"
	"math/rand/v2"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Limits passed to the raft library.
const (
	maxUncommittedBytes = 2 * MaxCommandBytes // total size of commands waiting for a quorum
	maxMessageBytes     = 1 << 20             // size of the entries in a message; a single larger entry is still sent
	maxInFlightMessages = 64                  // unanswered messages to one peer
)

// Node is one replica of the raft group. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	state  fleetconfig.ReplicatedState
	raft   *raft.RawNode
	log    *raft.MemoryStorage
	random *rand.Rand
	fatal  *apperror.Error // the error that stopped the node; nil: it runs

	// Leadership and elections.
	lastRole         raftRole // as of the latest updateRole
	ticksSinceLeader int      // ticks since the leader's last message or the last campaign
	electionTicks    int      // value of ticksSinceLeader that starts an election; drawn by resetElectionTimer

	// Proposals and reads of this process.
	lastSeq          uint64
	pendingProposals map[uint64]bool   // by Seq; the value is always true
	pendingReads     map[uint64]uint64 // by Seq: the index that must be applied before the read is confirmed; 0: unknown yet

	// The replicated state.
	appliedIndex  uint64
	appliedTerm   uint64
	snapshotIndex uint64 // index of the latest snapshot
	appliedBytes  int    // size of the commands applied after it

	// Rejoining; see rejoin.go.
	voteBarrier  uint64          // the replica votes only in later terms; noVotes: in no term until it has caught up
	knownTerms   map[uint64]bool // IDs of the peers that have answered a term query; nil: no query is in progress
	highestTerm  uint64          // highest term in their answers
	termMessages []Message       // term queries and answers to be sent

	// Changes not saved yet.
	voteBarrierUnsaved bool
	unsavedState       *pb.HardState
	unsavedSnapshot    *pb.Snapshot // created by this node; a received snapshot is in ready

	// Work in progress.
	ready          *raft.Ready
	outcome        Outcome
	workInProgress bool // Work was called and Done was not
	saveInProgress bool // that Work contains a Save
}

// New starts a node from the stored data; a zero Stored starts a new log. state must be empty. Errors are BadConfig,
// BadStore and PeersChanged.
func New(cfg Config, state fleetconfig.ReplicatedState, stored Stored) (*Node, error) {
	if err := cfg.fillDefaults(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:              cfg,
		state:            state,
		log:              raft.NewMemoryStorage(),
		random:           rand.New(rand.NewPCG(cfg.Seed, cfg.ID<<32^cfg.Incarnation)),
		pendingProposals: map[uint64]bool{},
		pendingReads:     map[uint64]uint64{},
	}
	if err := n.load(stored); err != nil {
		return nil, err
	}
	if err := n.guard(n.startRaft); err != nil {
		return nil, BadStore.Wrap(n.storePlace(), err)
	}
	n.lastRole = n.role()
	n.resetElectionTimer()
	n.queryTerms()
	return n, nil
}

// startRaft creates the raft library's node on the loaded log.
func (n *Node) startRaft() error {
	var err error
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID:                        n.cfg.ID,
		ElectionTick:              n.cfg.ElectionTicks,
		HeartbeatTick:             n.cfg.HeartbeatTicks,
		Storage:                   n.log,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInFlightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		Logger:                    raftLogger{n.cfg.Log},
	})
	return err
}

// place describes this replica in errors that are sent to clients, which expect the older name "keeper".
func (n *Node) place() string { return fmt.Sprintf("keeper %d", n.cfg.ID) }

// storePlace describes the stored data in errors. They occur only at the start and are not sent to clients.
func (n *Node) storePlace() string { return fmt.Sprintf("stored data of replica %d", n.cfg.ID) }

// guard runs step unless the node has stopped. The raft library panics on inconsistent state; guard turns such a panic into
// a Broken error that stops the node.
func (n *Node) guard(step func() error) (err error) {
	if n.fatal != nil {
		return n.fatal
	}
	defer func() {
		if p := recover(); p != nil {
			n.fatal = Broken.New(n.place(), "%v", p)
			err = n.fatal
		}
	}()
	return step()
}

// fail stops the node with a Broken error.
func (n *Node) fail(err error) error {
	n.fatal = Broken.Wrap(n.place(), err)
	return n.fatal
}

// Tick advances the node's clock by one tick. A leader may send heartbeats; another replica may start an election.
func (n *Node) Tick() error {
	return n.guard(func() error {
		defer n.updateRole()
		if n.lastRole.leading {
			n.raft.Tick()
			return nil
		}
		n.ticksSinceLeader++
		n.queryTerms()
		if n.ticksSinceLeader == n.cfg.ElectionTicks && n.Leader() != 0 {
			if err := n.raft.ForgetLeader(); err != nil {
				return err
			}
		}
		if n.ticksSinceLeader >= n.electionTicks {
			return n.campaign()
		}
		return nil
	})
}
