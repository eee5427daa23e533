package fleetconfig

import "time"

// Version is a complete configuration: numbered, identified by the digest of its body, and immutable once proposed.
type Version struct {
	Number     uint64 `json:"number"` // starts at 1 and is never reused; a withdrawn version leaves a gap
	Digest     string `json:"digest"` // of Body, by Body.Digest
	RollbackOf uint64 `json:"rollback_of,omitempty"`
	ProposedBy string `json:"by,omitempty"`  // who proposed it, as entered by the operator
	Reason     string `json:"why,omitempty"` // why it was proposed, as entered by the operator
	Body       Body   `json:"body"`
	// Force lets the version become active despite nodes that rejected it. Excluded names those nodes, sorted.
	Force    bool     `json:"force,omitempty"`
	Excluded []string `json:"stranded,omitempty"`
	// MaxMemberTimeout is the longest MemberTimeout that an unexpired lease may carry while this version is active: its
	// own, or that of an earlier version whose leases had not all expired when this one became active.
	MaxMemberTimeout time.Duration `json:"longest_ns,omitempty"`
}
