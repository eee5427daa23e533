package controlplane

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

// leaderSearchTimeout is how long a status request searches for a leader before this replica answers for itself.
const leaderSearchTimeout = 400 * time.Millisecond

// Status is the state of the control plane as one replica knows it.
type Status struct {
	Replica uint64 `json:"keeper"` // the replica that sends this Status
	Leader  uint64 `json:"leader"` // 0: none is known
	Term    uint64 `json:"term"`
	Applied uint64 `json:"applied"` // index of the last applied command
	// Rejoining is true on a replica that lost its data and does not vote yet.
	Rejoining    bool                     `json:"rejoining,omitempty"`
	Replicas     []Peer                   `json:"keepers"`
	Active       *VersionSummary          `json:"active,omitempty"`
	Proposed     *VersionSummary          `json:"proposed,omitempty"`
	Members      []fleetconfig.Member     `json:"members"`
	Nodes        []fleetconfig.NodeStatus `json:"nodes,omitempty"`    // known only to the leader
	BlockedBy    []string                 `json:"holds_up,omitempty"` // nodes that the proposed version waits for
	EndpointList *EndpointListStatus      `json:"lists,omitempty"`
}

// Peer is a replica as the responding replica sees it. A Status also lists the responding replica itself.
type Peer struct {
	ID          uint64 `json:"id"`
	Address     string `json:"address"`
	MatchIndex  uint64 `json:"holds,omitempty"` // the log index up to which it is known to match the leader's; 0: unknown
	Unreachable bool   `json:"lost,omitempty"`  // the last request to it failed
}

// VersionSummary is a version without its body.
type VersionSummary struct {
	Number     uint64   `json:"number"`
	Digest     string   `json:"digest"`
	RollbackOf uint64   `json:"rollback_of,omitempty"`
	ProposedBy string   `json:"by,omitempty"`
	Reason     string   `json:"why,omitempty"`
	Force      bool     `json:"force,omitempty"`
	Excluded   []string `json:"stranded,omitempty"` // nodes that it was activated without
}

// summarize returns the summary of a version, or nil if ok is false.
func summarize(version fleetconfig.Version, ok bool) *VersionSummary {
	if !ok {
		return nil
	}
	return &VersionSummary{
		Number:     version.Number,
		Digest:     version.Digest,
		RollbackOf: version.RollbackOf,
		ProposedBy: version.ProposedBy,
		Reason:     version.Reason,
		Force:      version.Force,
		Excluded:   version.Excluded,
	}
}

// blockingNodes returns the nodes that the proposed version waits for.
func blockingNodes(statuses []fleetconfig.NodeStatus) (nodes []string) {
	for _, status := range statuses {
		if status.BlocksProposal {
			nodes = append(nodes, status.Node)
		}
	}
	return nodes
}

// status returns the Status of this replica.
func (l *eventLoop) status() Status {
	status := Status{
		Replica:      l.replica.config.ID,
		Leader:       l.node.Leader(),
		Term:         l.node.Term(),
		Applied:      l.node.AppliedIndex(),
		Rejoining:    l.node.Rejoining(),
		Active:       summarize(l.state.Active()),
		Proposed:     summarize(l.state.Proposed()),
		Members:      l.state.Members(),
		Nodes:        l.leases.Status(l.now()),
		EndpointList: l.endpointListStatus(),
	}
	status.BlockedBy = blockingNodes(status.Nodes)
	matches := l.node.MatchIndexes()
	for _, id := range slices.Sorted(maps.Keys(l.replica.config.peers())) {
		entry := Peer{ID: id, Address: l.replica.Addr(), MatchIndex: matches[id]}
		if remote := l.replica.transport.peers[id]; remote != nil {
			entry.Address = *remote.addr.Load()
			entry.Unreachable = remote.unreachable.Load()
		}
		status.Replicas = append(status.Replicas, entry)
	}
	return status
}

// handleStatus sends the leader's Status. It sends this replica's own if the leader does not respond or the query has local=1.
func (r *Replica) handleStatus(w http.ResponseWriter, req *http.Request, _ []byte) error {
	local := func(ctx context.Context) (response, error) {
		status, err := query(ctx, r, (*eventLoop).status)
		return newResponse(http.StatusOK, status), err
	}
	if req.URL.Query().Get("local") == "" {
		ctx, cancel := context.WithTimeout(req.Context(), readTimeout)
		defer cancel()
		answer, err := r.callLeader(ctx, req, leaderCall{
			method:     req.Method,
			path:       "/v1/status?local=1",
			maxElapsed: leaderSearchTimeout,
			retryable:  []*apperror.Kind{consensus.NotLeading},
			local:      local,
		})
		if err == nil && answer.status == http.StatusOK {
			answer.write(w)
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(req.Context(), readTimeout)
	defer cancel()
	answer, err := local(ctx)
	if err != nil {
		return err
	}
	answer.write(w)
	return nil
}

// serveLocally sends the result of read, which runs on the event loop. It reads the state that this replica has applied, which
// may lag behind the committed state.
func (r *Replica) serveLocally(w http.ResponseWriter, req *http.Request, read func(*eventLoop) (any, error)) error {
	ctx, cancel := context.WithTimeout(req.Context(), readTimeout)
	defer cancel()
	type queryResult struct {
		value any
		err   error
	}
	result, err := query(ctx, r, func(loop *eventLoop) queryResult {
		value, err := read(loop)
		return queryResult{value, err}
	})
	if err == nil {
		err = result.err
	}
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, result.value)
	return nil
}
