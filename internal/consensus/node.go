package consensus

import (
	"fmt"
	"math/rand/v2"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fleetconfig"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Limits of the raft library.
const (
	maxUncommittedBytes = 2 * MaxCommandBytes // of commands that wait for a quorum
	maxMessageBytes     = 1 << 20             // of entries in one message, where there is more than one
	maxInFlightMessages = 64                  // to one peer that has not answered
)

// Node is one replica's part in the group. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	state  fleetconfig.ReplicatedState
	raft   *raft.RawNode
	log    *raft.MemoryStorage
	random *rand.Rand
	fatal  *apperror.Error // the node has stopped for this

	// Leadership and elections.
	lastRole         raftRole // as of the latest updateRole
	ticksSinceLeader int      // ticks since the last message of the leader, or since the last campaign
	electionTicks    int      // how many of them start an election; drawn anew each time

	// Proposals and reads of this process.
	lastSeq          uint64
	pendingProposals map[uint64]bool   // by Seq; the value is always true
	pendingReads     map[uint64]uint64 // by Seq: the index that must be applied first; 0: not confirmed yet

	// The replicated state.
	appliedIndex  uint64
	appliedTerm   uint64
	snapshotIndex uint64 // of the latest snapshot
	appliedBytes  int    // of commands applied after it

	// Rejoining; see rejoin.go.
	voteBarrier  uint64          // the replica votes in later terms only; noVotes: in none, until it has caught up
	knownTerms   map[uint64]bool // by ID: the peers that have answered a term query; nil: no answer is missing
	highestTerm  uint64          // among their answers
	termMessages []Message       // term queries and answers to be sent

	// Changes that are not saved yet.
	voteBarrierUnsaved bool
	unsavedState       *pb.HardState
	unsavedSnapshot    *pb.Snapshot // made here, not received

	// Work in progress.
	ready          *raft.Ready
	outcome        Outcome
	workInProgress bool // Work was called and Done was not
	saveInProgress bool // and the Work has a Save
}

// New starts a node from the stored data; a zero Stored starts a new log. state must be empty. It fails with BadConfig,
// BadStore or PeersChanged.
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

// place names this replica in errors that are sent to clients, which know a replica by this older name.
func (n *Node) place() string { return fmt.Sprintf("keeper %d", n.cfg.ID) }

// storePlace names the stored data in errors, which come at the start alone and are not sent.
func (n *Node) storePlace() string { return fmt.Sprintf("stored data of replica %d", n.cfg.ID) }

// guard runs a step of the node. A panic of the library, which it has for states that cannot be, becomes an error that
// stops the node.
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

// fail stops the node.
func (n *Node) fail(err error) error {
	n.fatal = Broken.Wrap(n.place(), err)
	return n.fatal
}

// Tick advances the node's clock by one tick.
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
