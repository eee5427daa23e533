package consensus

import "go.etcd.io/raft/v3"

// raftRole is a replica's part in a term.
type raftRole struct {
	leading bool
	term    uint64
	vote    uint64
}

func (n *Node) role() raftRole {
	status := n.raft.BasicStatus()
	return raftRole{
		leading: status.RaftState == raft.StateLeader,
		term:    status.GetTerm(),
		vote:    status.GetVote(),
	}
}

// updateRole notes a change of the role. Where leadership is lost, all pending proposals and reads fail.
func (n *Node) updateRole() {
	role := n.role()
	if role == n.lastRole {
		return
	}
	n.resetElectionTimer()
	if n.lastRole.leading && (!role.leading || role.term != n.lastRole.term) {
		n.outcome.Failed = append(n.outcome.Failed, abandon(n, Uncertain, n.pendingProposals)...)
		n.outcome.Failed = append(n.outcome.Failed, abandon(n, NotLeading, n.pendingReads)...)
	}
	n.lastRole = role
}

// resetElectionTimer starts the wait for the leader anew and draws the next election timeout.
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

func (n *Node) campaign() error {
	n.resetElectionTimer()
	if n.voteBarrier == noVotes {
		return nil
	}
	return n.raft.Campaign()
}

// TransferLeadership transfers leadership to the most up-to-date peer, before this replica stops. It returns false where
// the replica does not lead or no peer is reachable. Leading turns false once another replica leads, if the transfer works.
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

// mostUpToDatePeer is the recently active peer with the longest log; 0: there is none.
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

// Leader is the replica that this one takes for the leader; 0: none is known.
func (n *Node) Leader() uint64 { return n.raft.BasicStatus().Lead }

// Term is the present term.
func (n *Node) Term() uint64 { return n.lastRole.term }

// Leading reports whether this replica takes itself for the leader. Only Confirm makes sure.
func (n *Node) Leading() bool { return n.lastRole.leading }

// LeaderReady reports whether this replica leads and has applied all that earlier leaders committed, which it has once an
// entry of its own term is applied.
func (n *Node) LeaderReady() bool { return n.lastRole.leading && n.appliedTerm == n.lastRole.term }

// AppliedIndex is the index of the last applied entry.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// MatchIndexes returns, on the leader, up to which index each replica is known to have the log, by ID; nil elsewhere.
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
