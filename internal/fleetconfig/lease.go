package fleetconfig

// MemoryHeadroom is a node's memory limit and its current use, in bytes. Each renewal reports it.
type MemoryHeadroom struct {
	Limit uint64 `json:"limit"` // 0: unlimited
	InUse uint64 `json:"held"`
}

// Renewal is a proxy's request for a lease.
type Renewal struct {
	Node            string `json:"node"`
	Incarnation     uint64 `json:"incarnation"` // of the process; each later process of a node has a higher one
	Seq             uint64 `json:"seq"`         // number of this request; distinguishes its answer from late ones
	ActiveVersion   uint64 `json:"in_force"`    // the version that the proxy acts on; 0: none yet
	PreparedVersion uint64 `json:"prepared"`    // the next version that it can switch to; 0: none
	// FirstUnanswered is the Seq of the first renewal sent after the one that brought the last accepted lease. It equals
	// Seq if the previous renewal was answered. The leader derives from it which of its leases arrived. 0: unknown.
	FirstUnanswered uint64 `json:"unanswered,omitempty"`
	// Rejection says why the proxy cannot prepare RejectedVersion. It is nil if no version was rejected.
	RejectedVersion uint64         `json:"refused,omitempty"`
	Rejection       *Rejection     `json:"refusal,omitempty"`
	Headroom        MemoryHeadroom `json:"room"`
	Draining        bool           `json:"leaving,omitempty"` // the process accepts no new connections, and no version waits for it
}

// Rejection is why a node cannot load a version.
type Rejection struct {
	Kind           string   `json:"kind"` // the name of the error's apperror.Kind
	Cause          string   `json:"cause"`
	EstimatedBytes uint64   `json:"estimate,omitempty"` // peak memory during the switch
	LimitBytes     uint64   `json:"limit,omitempty"`
	LargestRoutes  []string `json:"heaviest,omitempty"` // the routes that need the most memory
}

// Lease answers a Renewal. Its durations (Terms.LeaseDuration, Terms.KnowledgeDuration) count from when the renewal was
// sent, on the proxy's clock.
type Lease struct {
	Node            string `json:"node"`
	Incarnation     uint64 `json:"incarnation"`
	Seq             uint64 `json:"seq"`    // of the Renewal
	Term            uint64 `json:"term"`   // of the leader that granted it
	ActiveVersion   uint64 `json:"active"` // the version that the lease is for
	ActiveDigest    string `json:"digest"`
	ProposedVersion uint64 `json:"proposed,omitempty"` // the version to prepare; 0: none
	ProposedDigest  string `json:"proposed_digest,omitempty"`
	// Forced means that the proposed version becomes active despite nodes that reject it.
	Forced bool `json:"forced,omitempty"`
	// Excluded means that the active version was forced although this node could not prepare it.
	Excluded bool `json:"stranded,omitempty"`
	// ListNumber is the number of the replicated endpoint list; 0: the control plane follows no service discovery.
	ListNumber uint64 `json:"list,omitempty"`
	Terms      Terms  `json:"terms"` // of the active version
}
