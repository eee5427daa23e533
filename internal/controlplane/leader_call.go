package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/consensus"
	"github.com/cenkalti/backoff/v5"
)

// forwardedByHeader is the header with the id of the replica that forwarded a request. Such a request is not forwarded again.
const forwardedByHeader = "Micafront-Keeper"

// maxForwardedResponseBytes bounds the leader's response to a forwarded request.
const maxForwardedResponseBytes = 64 << 20

// retryableIfIdempotent lists the errors after which an idempotent request is retried. After Uncertain, LeaderUnreachable
// and Stopping it may have taken effect already.
var retryableIfIdempotent = []*apperror.Kind{
	consensus.NotLeading, consensus.Busy, consensus.Uncertain, LeaderUnreachable, Stopping,
}

// leaderCall is a request that only the leader can serve.
type leaderCall struct {
	method     string
	path       string
	body       []byte           // as it is forwarded
	maxElapsed time.Duration    // how long to retry, at most until the context ends
	retryable  []*apperror.Kind // errors after which the request may be repeated
	// local serves the request on this replica, which must be the leader.
	local func(ctx context.Context) (response, error)
}

// serveByLeader calls the leader and sends its response.
func (r *Replica) serveByLeader(ctx context.Context, w http.ResponseWriter, req *http.Request, call leaderCall) error {
	answer, err := r.callLeader(ctx, req, call)
	if err != nil {
		return err
	}
	answer.write(w)
	return nil
}

// callLeader serves a call locally if this replica is the leader, and forwards it to the leader otherwise. It retries after
// the call's retryable errors until maxElapsed, unless another replica forwarded the request to this one. It returns any
// other response to a forwarded call, whatever its status.
func (r *Replica) callLeader(ctx context.Context, req *http.Request, call leaderCall) (response, error) {
	forwarded := req.Header.Get(forwardedByHeader) != ""
	var lastErr error
	attempt := func() (response, error) {
		answer, err := r.callLeaderOnce(ctx, forwarded, call, lastErr)
		lastErr = err
		if err != nil && (forwarded || !isAnyKind(err, call.retryable)) {
			return answer, backoff.Permanent(err)
		}
		return answer, err
	}
	answer, err := backoff.Retry(ctx, attempt,
		backoff.WithBackOff(newBackoff(initialBackoff, maxBackoff)), backoff.WithMaxElapsedTime(call.maxElapsed))
	if err != nil && lastErr != nil {
		err = lastErr // without the wrapping of the retries
	}
	return answer, err
}

func isAnyKind(err error, kinds []*apperror.Kind) bool {
	return slices.ContainsFunc(kinds, func(kind *apperror.Kind) bool { return kind.Matches(err) })
}

// callLeaderOnce makes one attempt. previousErr is the error of the previous attempt; nil on the first.
func (r *Replica) callLeaderOnce(ctx context.Context, forwarded bool, call leaderCall, previousErr error) (response, error) {
	type leadership struct {
		leader  uint64
		changed <-chan struct{}
	}
	current, err := query(ctx, r, func(loop *eventLoop) leadership {
		return leadership{loop.node.Leader(), loop.leaderChanged}
	})
	switch {
	case TimedOut.Matches(err) && previousErr != nil:
		return response{}, previousErr // it says more than the timeout of this attempt
	case err != nil:
		return response{}, err
	case current.leader == r.config.ID:
		return call.local(ctx)
	case current.leader == 0 || forwarded:
		return response{}, r.notLeadingError(current.leader)
	}
	return r.forwardToLeader(ctx, call, current.leader, current.changed)
}

// notLeadingError returns an error that names the leader; 0: no leader is known.
func (r *Replica) notLeadingError(leader uint64) error {
	if leader == 0 {
		return consensus.NotLeading.New(r.place(), "no leader is known")
	}
	return consensus.NotLeading.New(r.place(), "replica %d is the leader", leader)
}

// forwardToLeader sends a call to the leader. It gives up when the leader changes, because a crashed leader might never
// respond.
func (r *Replica) forwardToLeader(
	ctx context.Context, call leaderCall, leader uint64, changed <-chan struct{},
) (response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // ends when forwardToLeader returns, which cancels ctx
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	r.metrics.countForwarded()
	unreachable := func(err error) error {
		return LeaderUnreachable.Wrap(fmt.Sprintf("keeper %d, which leads", leader), err)
	}
	resp, err := r.transport.forward(ctx, leader, call.method, call.path, call.body)
	if err != nil {
		return response{}, unreachable(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxForwardedResponseBytes))
	if err != nil {
		return response{}, unreachable(err)
	}
	if err := call.retryableError(resp.StatusCode, body); err != nil {
		return response{}, err
	}
	return response{status: resp.StatusCode, body: body}, nil
}

// retryableError returns the error in the leader's response if the call may be retried after it, and nil otherwise.
func (c leaderCall) retryableError(status int, body []byte) error {
	var received ErrorResponse
	if status != http.StatusServiceUnavailable || json.Unmarshal(body, &received) != nil {
		return nil
	}
	for _, kind := range c.retryable {
		if kind.Name == received.Kind {
			return kind.New(received.Place, "%s", received.Cause)
		}
	}
	return nil
}

// newBackoff returns an exponential backoff. Its delays grow from initial to maximum, with a jitter of half a delay either
// way.
func newBackoff(initial, maximum time.Duration) *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initial
	delays.MaxInterval = maximum
	return delays
}
