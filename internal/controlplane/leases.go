package controlplane

import (
	"context"
	"net/http"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/fleetconfig"
)

// renewTimeout bounds a renewal, which includes the search for a leader.
const renewTimeout = 1500 * time.Millisecond

// handleRenew answers a proxy's renewal with a lease.
func (r *Replica) handleRenew(w http.ResponseWriter, req *http.Request, body []byte) error {
	start := time.Now()
	var renewal fleetconfig.Renewal
	if err := decode("renewal", body, &renewal); err != nil {
		return err
	}
	if renewal.Node == "" || len(renewal.Node) > fleetconfig.MaxNodeNameBytes {
		return BadRequest.New("renewal: node", "its name has %d bytes, not 1 to %d", len(renewal.Node), fleetconfig.MaxNodeNameBytes)
	}
	ctx, cancel := context.WithTimeout(req.Context(), renewTimeout)
	defer cancel()
	answer, err := r.callLeader(ctx, req, leaderCall{
		method:     req.Method,
		path:       req.URL.Path,
		body:       body,
		maxElapsed: renewTimeout,
		retryable:  []*apperror.Kind{consensus.NotLeading, consensus.UnknownNode, LeaderUnreachable},
		local: func(ctx context.Context) (response, error) {
			lease, err := r.renewLease(ctx, renewal)
			return newResponse(http.StatusOK, lease), err
		},
	})
	r.metrics.observeRenewal(err == nil && answer.status == http.StatusOK, time.Since(start))
	if err != nil {
		return err
	}
	answer.write(w)
	return nil
}

// renewLease renews a node's lease on this replica, which must be the leader.
func (r *Replica) renewLease(ctx context.Context, renewal fleetconfig.Renewal) (fleetconfig.Lease, error) {
	replies := make(chan consensus.Reply, 1)
	err := r.runOnLoop(ctx, func(loop *eventLoop) {
		loop.lastRenewalID++
		id := loop.lastRenewalID
		if err := loop.leaseServer.Renew(loop.now(), id, renewal); err != nil {
			replies <- consensus.Reply{ID: id, Err: consensus.Broken.WrapUntyped("keeper", err)}
			return
		}
		loop.pendingRenewals[id] = replies
	})
	if err != nil {
		return fleetconfig.Lease{}, err
	}
	reply, err := await(ctx, r, replies)
	if err == nil && reply.Err != nil {
		err = reply.Err
	}
	if *r.discovery.addr.Load() == "" { // a list that was committed earlier is no longer served
		reply.Lease.ListNumber = 0
	}
	return reply.Lease, err
}
