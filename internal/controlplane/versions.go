package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

const (
	defaultCommitTimeout = 8 * time.Second  // within which a command must be committed
	defaultActiveWait    = time.Minute      // for a version to become active, if the caller gives no timeout
	maxActiveWait        = 10 * time.Minute // longest timeout that a caller may give
)

// States of a version, as sent in a ProposeResponse.
const (
	stateProposed  = "proposed"
	stateActive    = "active"
	stateWithdrawn = "withdrawn"
)

// ProposeResponse is the response to a proposal or a withdrawal.
type ProposeResponse struct {
	Number uint64 `json:"number"`       // of the version
	ID     string `json:"id,omitempty"` // of the proposal
	State  string `json:"state"`        // proposed, active or withdrawn
}

// handlePropose commits a proposal. It assigns an id to a proposal without one, so that it can retry when the leader changes.
func (r *Replica) handlePropose(w http.ResponseWriter, req *http.Request, body []byte) error {
	var proposal fleetconfig.Propose
	if err := decode("proposal", body, &proposal); err != nil {
		return err
	}
	activeWait, err := parseActiveWait(req.URL.Query())
	if err != nil {
		return err
	}
	if proposal.ID == "" {
		proposal.ID = rand.Text()
		if body, err = json.Marshal(proposal); err != nil {
			return BadRequest.Wrap("proposal", err)
		}
	}
	timeout := activeWait + r.commitTimeout
	deadline := time.Now().Add(timeout + responseWriteTimeout)
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // supported by net/http's server
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	defer cancel()
	return r.serveByLeader(ctx, w, req, leaderCall{
		method:     req.Method,
		path:       req.URL.RequestURI(),
		body:       body,
		maxElapsed: timeout,
		retryable:  retryableIfIdempotent,
		local: func(ctx context.Context) (response, error) {
			proposed, err := r.propose(ctx, proposal, activeWait)
			return newResponse(http.StatusOK, proposed), err
		},
	})
}

// propose commits a proposal on this replica, which must be the leader. If activeWait is not 0, it waits up to that long until
// the version is active.
func (r *Replica) propose(ctx context.Context, proposal fleetconfig.Propose, activeWait time.Duration) (ProposeResponse, error) {
	proposal, err := r.addCatalog(ctx, proposal)
	if err != nil {
		return ProposeResponse{}, err
	}
	if err := validateProposal(proposal); err != nil {
		return ProposeResponse{}, err
	}
	commitCtx, cancel := context.WithTimeout(ctx, r.commitTimeout)
	defer cancel()
	answer, err := r.commit(commitCtx, fleetconfig.Command{Propose: &proposal})
	if err != nil {
		return ProposeResponse{}, err
	}
	proposed := ProposeResponse{Number: answer.Number, ID: proposal.ID, State: stateActive}
	if activeWait > 0 {
		return proposed, r.awaitActive(ctx, answer.Number, activeWait)
	}
	outcome, err := query(ctx, r, func(loop *eventLoop) versionOutcome {
		outcome, _ := loop.outcomeOf(answer.Number) // zero while it is proposed
		return outcome
	})
	switch {
	case outcome.withdrawal.Number != 0:
		proposed.State = stateWithdrawn
	case !outcome.active:
		proposed.State = stateProposed
	}
	return proposed, err
}

// commit proposes a command and returns the state machine's answer, or the error with which the state machine rejects it.
func (r *Replica) commit(ctx context.Context, command fleetconfig.Command) (fleetconfig.Answer, error) {
	results := make(chan proposalResult, 1)
	err := r.runOnLoop(ctx, func(loop *eventLoop) {
		id, err := loop.node.Propose(command)
		if err != nil {
			results <- proposalResult{err: err}
			return
		}
		loop.pendingProposals[id] = pendingProposal{time.Now(), results}
	})
	if err != nil {
		return fleetconfig.Answer{}, r.timeoutAsUncertain(err)
	}
	return r.awaitProposal(ctx, results)
}

// awaitProposal waits until a proposed command is applied or fails.
func (r *Replica) awaitProposal(ctx context.Context, results <-chan proposalResult) (fleetconfig.Answer, error) {
	result, err := await(ctx, r, results)
	err = r.timeoutAsUncertain(err)
	if err == nil {
		err = result.err
	}
	if err == nil {
		err = result.answer.Err
	}
	return result.answer, err
}

// timeoutAsUncertain converts a command's TimedOut to consensus.Uncertain, because the event loop may have proposed the command
// or may still do so.
func (r *Replica) timeoutAsUncertain(err error) error {
	if TimedOut.Matches(err) {
		return consensus.Uncertain.Wrap(r.place(), err)
	}
	return err
}

// parseActiveWait returns how long the caller wants to wait until its version is active; 0: the caller does not wait.
func parseActiveWait(query url.Values) (time.Duration, error) {
	switch query.Get("wait") {
	case "":
		return 0, nil
	case stateActive:
	default:
		return 0, BadRequest.New("wait", "cannot wait for %.20q, only for active", query.Get("wait"))
	}
	text := query.Get("timeout")
	if text == "" {
		return defaultActiveWait, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxActiveWait {
		return 0, BadRequest.New("timeout", "%.20q is not a duration up to %v, such as 30s", text, maxActiveWait)
	}
	return timeout, nil
}

// awaitActive waits until a version is active. It fails with Withdrawn, whose cause has the reasons, or with TimedOut, whose
// cause names the nodes that block the version.
func (r *Replica) awaitActive(ctx context.Context, number uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcomes := make(chan versionOutcome, 1)
	err := r.runOnLoop(ctx, func(loop *eventLoop) {
		if outcome, ok := loop.outcomeOf(number); ok {
			outcomes <- outcome
			return
		}
		loop.versionWaiters[number] = append(loop.versionWaiters[number], outcomes)
	})
	if err != nil {
		return err
	}
	place := fmt.Sprintf("version %d", number)
	outcome, err := await(ctx, r, outcomes)
	switch {
	case TimedOut.Matches(err):
		blocking := r.abandonVersionWait(number, outcomes)
		return TimedOut.New(place, "it is proposed, but not active after %v; it is blocked by %q", timeout, blocking)
	case err != nil:
		return err
	case !outcome.active:
		return Withdrawn.New(place, "%s", withdrawalCause(outcome.withdrawal))
	}
	return nil
}

// abandonVersionWait removes a waiter for a version, and returns the nodes that block the current proposal.
func (r *Replica) abandonVersionWait(number uint64, waiter chan<- versionOutcome) []string {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	blocking, _ := query(ctx, r, func(loop *eventLoop) []string { // on an error, no nodes are named
		waiters := slices.DeleteFunc(loop.versionWaiters[number], func(other chan<- versionOutcome) bool { return other == waiter })
		loop.versionWaiters[number] = waiters
		if len(waiters) == 0 {
			delete(loop.versionWaiters, number)
		}
		return blockingNodes(loop.leases.Status(loop.now()))
	})
	return blocking
}

// withdrawalCause returns the reason of a withdrawal and the rejections by nodes that led to it.
func withdrawalCause(withdrawal fleetconfig.HistoryEntry) string {
	cause := withdrawal.Reason
	for _, node := range slices.Sorted(maps.Keys(withdrawal.Rejections)) {
		rejection := withdrawal.Rejections[node]
		cause += fmt.Sprintf("; %s: %s: %s", node, rejection.Kind, rejection.Cause)
	}
	return cause
}

// handleWithdraw commits an operator's withdrawal of the proposed version. It does not retry after an error that leaves open
// whether the withdrawal took effect, because repeating a successful withdrawal fails with NotProposed.
func (r *Replica) handleWithdraw(w http.ResponseWriter, req *http.Request, body []byte) error {
	var withdrawal fleetconfig.Withdraw
	if err := decode("withdrawal", body, &withdrawal); err != nil {
		return err
	}
	withdrawal.Rejections = nil // only nodes may reject a version
	ctx, cancel := context.WithTimeout(req.Context(), r.commitTimeout)
	defer cancel()
	return r.serveByLeader(ctx, w, req, leaderCall{
		method:     req.Method,
		path:       req.URL.Path,
		body:       body,
		maxElapsed: r.commitTimeout,
		retryable:  []*apperror.Kind{consensus.NotLeading, consensus.Busy},
		local: func(ctx context.Context) (response, error) {
			answer, err := r.commit(ctx, fleetconfig.Command{Withdraw: &withdrawal})
			return newResponse(http.StatusOK, ProposeResponse{Number: answer.Number, State: stateWithdrawn}), err
		},
	})
}

// handleVersion sends a version that this replica has applied.
func (r *Replica) handleVersion(w http.ResponseWriter, req *http.Request, _ []byte) error {
	number, err := strconv.ParseUint(req.PathValue("number"), 10, 64)
	if err != nil {
		return BadRequest.New("version", "%.40q is not a number", req.PathValue("number"))
	}
	place := fmt.Sprintf("version %d", number)
	ctx, cancel := context.WithTimeout(req.Context(), readTimeout)
	defer cancel()
	version, err := query(ctx, r, func(loop *eventLoop) *fleetconfig.Version {
		if version, ok := loop.state.Version(number); ok {
			return &version
		}
		return nil
	})
	if err != nil {
		return err
	}
	if version == nil {
		return fleetconfig.UnknownVersion.New(place, "replica %d has not applied such a version", r.config.ID)
	}
	if digest := req.URL.Query().Get("digest"); digest != "" && digest != version.Digest {
		return DigestMismatch.New(place, "its digest is %s, not %.64q as requested", version.Digest, digest)
	}
	transferTime := time.Duration(version.Body.Size()) * time.Second / minDownloadRate
	deadline := time.Now().Add(responseWriteTimeout + transferTime)
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // supported by net/http's server
	writeJSON(w, http.StatusOK, version)
	return nil
}

// HistoryResponse lists the steps of all versions, oldest first.
type HistoryResponse struct {
	History []fleetconfig.HistoryEntry `json:"history"`
}

// handleHistory sends the history of the versions, as this replica has applied it.
func (r *Replica) handleHistory(w http.ResponseWriter, req *http.Request, _ []byte) error {
	return r.serveLocally(w, req, func(loop *eventLoop) (any, error) {
		return HistoryResponse{History: loop.state.History()}, nil
	})
}
