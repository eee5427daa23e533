package proxy

import (
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/metrics"
	"example.org/micafront/internal/routing"
)

// switchRetryAfter is the Retry-After of a request that is rejected because another configuration version became active
// after it was routed.
const switchRetryAfter = 100 * time.Millisecond

// placementHost is the part of the proxy that a placementAuthorizer uses.
type placementHost interface {
	settingsSource
	activeTable() *routing.Table
}

// placementAuthorizer decides whether connections may be placed now. It depends on this node's lease and on how the
// versions of the fleet's configuration decide on the connection.
type placementAuthorizer struct {
	host     placementHost
	loop     *evloop.Loop
	leases   *fleetconfig.LeaseClient
	loader   *versionLoader // holds the prepared version
	counters *metrics.Fleet

	// These fields are reused for every request, to avoid allocations.
	candidate     *session    // the session that isConflicting checks; nil if none
	isConflicting func() bool // the method value of conflictsWithPrepared
	fieldBuffers  [2][]string // for the field values under the two tables that decisionsDiffer compares
}

// authorizePlacement reports whether a request's connection may be placed now, and if not, when the client may retry.
// It is called when the request arrives, before each attempt and, with writing set, when an attempt's first message is
// about to be written, because time has passed by then.
func (s *session) authorizePlacement(writing bool) (retryAfter time.Duration, ok bool) {
	fleet := s.proxy.fleet
	if fleet == nil {
		return 0, true
	}
	return fleet.placement.authorize(s, writing)
}

// authorize implements authorizePlacement for a proxy in a fleet.
func (a *placementAuthorizer) authorize(s *session, writing bool) (retryAfter time.Duration, ok bool) {
	request := s.request
	if request == nil || request.Resumed || request.PreviousEndpoint != "" {
		return 0, true // the connection has already been established at an endpoint
	}
	maxRetryAfter := a.host.activeSettings().Limits.MaxRetryAfter
	if table := a.host.activeTable(); s.routedBy.table != nil && s.routedBy.table != table && a.decisionsDiffer(s, s.routedBy.table, table) {
		a.counters.RejectedSwitched++
		return min(switchRetryAfter, maxRetryAfter), false
	}
	a.candidate = s
	authorization := a.leases.Authorize(a.loop.Now(), a.isConflicting)
	a.candidate = nil
	if authorization.Allowed {
		unleased := authorization.State == fleetconfig.Disconnected || authorization.State == fleetconfig.Starting
		if writing && unleased {
			// Counted once per attempt, right before its write. The lease client's own counter includes every call of
			// Authorize.
			a.counters.ServedDisconnected++
		}
		return 0, true
	}
	if authorization.State == fleetconfig.Expired {
		a.counters.RejectedConflicting++
	} else {
		a.counters.RejectedNoLease++
	}
	retryAfter = authorization.RetryAfter
	if retryAfter <= 0 {
		retryAfter = overloadRetryAfter
	}
	return min(retryAfter, maxRetryAfter), false
}

// starting reports whether no version is known yet and the rules of the configuration file may not be used instead.
func (a *placementAuthorizer) starting() bool {
	now := a.loop.Now()
	return a.leases.Status(now).State == fleetconfig.Starting && !a.leases.Authorize(now, a.isConflicting).Allowed
}

// conflictsWithPrepared reports whether the active and the prepared version decide differently on the candidate's
// connection. It returns true if no version is prepared here, because a difference cannot be ruled out.
func (a *placementAuthorizer) conflictsWithPrepared() bool {
	prepared := a.loader.prepared
	if prepared == nil || a.candidate == nil {
		return true
	}
	className := a.candidate.request.Class
	known := slices.ContainsFunc(prepared.settings.Classes, func(class balancer.Class) bool { return class.Name == className })
	return !known || a.decisionsDiffer(a.candidate, a.host.activeTable(), prepared.table)
}

// decisionsDiffer reports whether two tables decide differently on a request.
func (a *placementAuthorizer) decisionsDiffer(s *session, former, latter *routing.Table) bool {
	formerAttributes := s.connectionAttributesFor(former, a.fieldBuffers[0])
	latterAttributes := s.connectionAttributesFor(latter, a.fieldBuffers[1])
	a.fieldBuffers = [2][]string{formerAttributes.Fields, latterAttributes.Fields}
	return routing.Conflicting(former, latter, &formerAttributes, &latterAttributes)
}
