package consensus

import "example.org/micafront/internal/apperror"

// Kinds of errors. All kind names, and the texts of NotLeading, Uncertain, Busy, TooLarge, BadMessage and UnknownNode, are
// sent to clients.
var (
	// NotLeading means that this replica does not lead, so nothing was done.
	NotLeading = apperror.NewKind("quorum/not-leading",
		"send it to the replica that the answer names; where it names none, see with /v1/status why no majority of replicas is up")
	// Uncertain means that leadership was lost while a proposal was in flight: it may still be committed.
	Uncertain = apperror.NewKind("quorum/uncertain",
		"it may or may not have been taken: send it again under the same id, which gets the first one's answer")
	// TooLarge means that an encoded command exceeds MaxCommandBytes.
	TooLarge = apperror.NewKind("quorum/too-large", "make the version smaller: fewer routes, or a smaller catalog")
	// Busy means that too many commands or renewals are waiting for the quorum, so nothing was done.
	Busy = apperror.NewKind("quorum/busy",
		"nothing was accepted: send it again in a moment; where it lasts, see which replica is slow to save")
	// BadMessage means that no replica of this fleet sends such a message.
	BadMessage = apperror.NewKind("quorum/bad-message",
		"see what listens at that replica's address: it is no replica of this fleet, or one of another release")
	// BadConfig means that a Config is invalid.
	BadConfig = apperror.NewKind("quorum/bad-config", "correct the replica's configuration as the cause says")
	// PeersChanged means that the stored data belongs to a different set of replicas than Config.Peers.
	PeersChanged = apperror.NewKind("quorum/other-peers",
		"give the replica the peers that it started with, or move its data directory away if it is to start afresh with all others")
	// BadStore means that the stored data is damaged or incomplete.
	BadStore = apperror.NewKind("quorum/bad-store",
		"keep the data directory for a report and start the replica on an empty one with --rejoin, while all others are up")
	// LostData means that this replica acknowledged entries that it no longer has.
	LostData = apperror.NewKind("quorum/lost-data",
		"start it with the data directory that it had; where that is gone, on an empty one with --rejoin, while all others are up")
	// Broken means that this replica stopped because of an internal error, after which its state may be inconsistent.
	Broken = apperror.NewKind("quorum/broken",
		"start this replica again: it stopped rather than go on from a state it cannot trust; if it comes back, keep its log for a report")
	// UnknownNode means that a renewal got no lease although a quorum confirmed the leader: the node's incarnation has not
	// joined yet, or a later one has.
	UnknownNode = apperror.NewKind("quorum/unknown-node",
		"nothing where the node renews and gets a lease; else see whether two processes run under one node's name: the later "+
			"one counts")
)
