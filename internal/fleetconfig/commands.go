package fleetconfig

import (
	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/federation"
)

// Command is a change of the replicated state. Exactly one field is set.
type Command struct {
	EndpointChange *endpointlist.Change `json:"list,omitempty"` // advances the replicated endpoint list

	Propose      *Propose      `json:"propose,omitempty"`
	Activate     *Activate     `json:"activate,omitempty"`
	Withdraw     *Withdraw     `json:"withdraw,omitempty"`
	AddMember    *AddMember    `json:"join,omitempty"`
	RemoveMember *RemoveMember `json:"part,omitempty"`

	MeshChange *federation.Change `json:"mesh,omitempty"`
}

// Propose proposes a version. It is rejected while another version is proposed, or if Base is set and is not the active
// version. The first version of a fleet becomes active at once.
type Propose struct {
	ID         string `json:"id"`                    // makes the command idempotent: a repeated command gets the first answer
	Base       uint64 `json:"base,omitempty"`        // the version that the change is based on; 0: any
	RollbackOf uint64 `json:"rollback_of,omitempty"` // reuses the body of this earlier version; Body must be nil
	ProposedBy string `json:"by,omitempty"`
	Reason     string `json:"why,omitempty"`
	Body       *Body  `json:"body,omitempty"`
	// Force lets the version become active despite nodes that rejected it. They stay excluded until they can load it.
	Force bool `json:"force,omitempty"`
}

// Activate makes the proposed version active. Excluded names the nodes that rejected it, if it was forced.
type Activate struct {
	Number   uint64   `json:"number"`
	Excluded []string `json:"stranded,omitempty"`
	// SettledVersion is the number of the version that was active until now if all leases of versions before that one
	// have expired; otherwise 0.
	SettledVersion uint64 `json:"settled,omitempty"`
}

// Withdraw removes the proposed version, on an operator's request or because nodes rejected it.
type Withdraw struct {
	Number     uint64               `json:"number"`
	Reason     string               `json:"why"`
	Rejections map[string]Rejection `json:"refusals,omitempty"` // by node
}

// AddMember registers a node's process before its first lease, so that no version becomes active without it. An earlier
// process of the node stays a member until it has been unresponsive for MemberTimeout or reports that it drains, since it
// may still place connections. An incarnation below a registered one is rejected.
type AddMember struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// RemoveMember removes a process that drains, was superseded, or was unresponsive for many member timeouts. JoinIndex
// identifies the membership to end, so that a repeated command does not end a later membership; 0: any.
type RemoveMember struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	JoinIndex   uint64 `json:"joined,omitempty"`
}

// Answer is the result of a command. Err is an *apperror.Error, or nil if the command was applied.
type Answer struct {
	Number uint64 `json:"number,omitempty"` // of the version, or the endpoint list, that the command concerns
	Err    error  `json:"-"`
}
