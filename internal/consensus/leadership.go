package consensus

import "go.etcd.io/raft/v3"

// raftRole is a replica's role in a term.
type raftRole struct {
	leading bool
	term    uint64
	vote    uint64
}

// role returns the current role according to raft.
func (n *Node) role() raftRole {
	status := n.raft.BasicStatus()
	return raftRole{
		leading: status.RaftState == raft.StateLeader,
		term:    status.GetTerm(),
		vote:    status.GetVote(),
	}
}

// updateRole records a change of the role. When leadership is lost, all pending proposals and reads fail.
func (n *Node) updateRole() {
	role := n.role()
	if role == n.lastRole {
		return
	}
	n.resetElectionTimer()
	if n.lastRole.leading && (!role.leading || role.term != n.lastRole.term) {
		n.outcome.Failed = append(n.outcome.Failed, failPending(n, Uncertain, n.pendingProposals)...)
		n.outcome.Failed = append(n.outcome.Failed, failPending(n, NotLeading, n.pendingReads)...)
	}
	n.lastRole = role
}

// resetElectionTimer restarts the election timer with a new random timeout.
func (n *Node) resetElectionTimer() {
	n.ticksSinceLeader = 0
	n.electionTicks = n.cfg.ElectionTicks + n.random.IntN(n.cfg.ElectionTicks)
}

// Campaign starts an election now.
func (n *Node) Campaign() error {
	return n.guard(func() error {
		defer n.updateRole()
		return n.campaign()
	})
}

// campaign starts an election, unless the replica must not vote.
func (n *Node) campaign() error {
	n.resetElectionTimer()
	if n.voteBarrier == noVotes {
		return nil
	}
	return n.raft.Campaign()
}

// TransferLeadership starts a transfer of leadership to the most up-to-date peer, for use before this replica stops. It
// returns false if the replica does not lead or no peer is reachable. Once the transfer succeeds, Leading returns false.
func (n *Node) TransferLeadership() bool {
	transferred := false
	err := n.guard(func() error {
		if !n.lastRole.leading {
			return nil
		}
		defer n.updateRole()
		if target := n.mostUpToDatePeer(); target != 0 {
			transferred = true
			n.raft.TransferLeader(target)
		}
		return nil
	})
	return transferred && err == nil
}

// mostUpToDatePeer returns the recently active peer with the longest log, or 0 if there is none.
func (n *Node) mostUpToDatePeer() uint64 {
	best, longest := uint64(0), uint64(0)
	status := n.raft.Status()
	for _, id := range n.cfg.Peers {
		progress, known := status.Progress[id]
		if known && id != n.cfg.ID && progress.RecentActive && progress.Match > longest {
			best, longest = id, progress.Match
		}
	}
	return best
}

// Leader returns the ID of the leader that this replica knows, or 0 if it knows none.
func (n *Node) Leader() uint64 { return n.raft.BasicStatus().Lead }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.lastRole.term }

// Leading reports whether this replica considers itself the leader. Another replica may already lead in a later term; use
// Confirm to be sure.
func (n *Node) Leading() bool { return n.lastRole.leading }

// LeaderReady reports whether this replica leads and has applied every entry that earlier leaders committed. That is the
// case once it has applied an entry of its own term.
func (n *Node) LeaderReady() bool { return n.lastRole.leading && n.appliedTerm == n.lastRole.term }

// AppliedIndex returns the index of the last applied entry.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// MatchIndexes returns the index of the last entry that each replica is known to have stored, by replica ID. It returns
// nil if this replica does not lead.
func (n *Node) MatchIndexes() map[uint64]uint64 {
	if !n.lastRole.leading {
		return nil
	}
	matches := map[uint64]uint64{}
	for id, progress := range n.raft.Status().Progress {
		matches[id] = progress.Match
	}
	return matches
}
