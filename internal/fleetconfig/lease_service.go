package fleetconfig

import "time"

// LeaseService is the leading replica's side of the lease protocol. Its state is lost with the leadership. Times are
// readings of the replica's monotonic clock. LeaseManager implements LeaseService.
type LeaseService interface {
	// BecomeLeader starts the service in a term. The caller calls it once the replica leads and has applied an entry of
	// its own term, and with it all entries committed before. Renewals received earlier do not count. Until then no lease
	// is granted and no command is due.
	BecomeLeader(now time.Duration, term uint64)
	// StepDown stops the service: from then on no lease is granted and no command is due.
	StepDown()
	// HandleRenewal records a renewal. The commands that it returns, such as AddMember, must be committed before a lease
	// may be granted.
	HandleRenewal(now time.Duration, r Renewal) (due []Command)
	// GrantLease answers a renewal that HandleRenewal has recorded. The caller calls it once a quorum has confirmed, after
	// the renewal arrived, that the replica leads, and the replica has applied all entries committed until then. It
	// returns false if the process is not a member yet, a later process of the node is a member, or a decision skips the
	// process; the renewal then gets no answer.
	GrantLease(now time.Duration, r Renewal) (lease Lease, ok bool)
	// DueCommands returns the commands that are due: to activate or withdraw the proposed version, and to remove members.
	// It may be called at any time and repeats the commands until they are applied. They are valid only in this leader's
	// term: the caller must propose them in that term at once or drop them, and never forward them to a later leader. From
	// then on the nodes that a command skips get no lease until the command is applied.
	DueCommands(now time.Duration) []Command
	// Status returns the state of each member, and which ones block the proposed version.
	Status(now time.Duration) []NodeStatus
}

// NodeStatus is a member's state as known to the leader.
type NodeStatus struct {
	Renewal
	SinceRenewal   time.Duration `json:"heard"`    // time since the last renewal
	Unresponsive   bool          `json:"silent"`   // no renewal for the member timeout, which restarts when a replica becomes leader
	Unreachable    bool          `json:"deaf"`     // it renews, but reports that no lease has arrived for AgreementTimeout
	BlocksProposal bool          `json:"holds_up"` // the proposed version waits for it
}
