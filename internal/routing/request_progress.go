package routing

import "time"

// Usage is the current number of connections of a route or a pool.
type Usage struct {
	Open    int // established
	Waiting int // not established yet
}

// Full reports whether either limit is reached, so that no further connection is accepted. A limit of 0 means no limit.
func (u Usage) Full(maxOpen, maxWaiting int) bool {
	openFull := maxOpen > 0 && u.Open+u.Waiting >= maxOpen
	waitingFull := maxWaiting > 0 && u.Waiting >= maxWaiting
	return openFull || waitingFull
}

// RequestProgress is the progress of one request through the pools of its policy. Attempts and deadline apply to the request as
// a whole, regardless of how many pools it is sent to.
type RequestProgress struct {
	Decision               // its Pool is the current pool
	Policy          Policy // zero value if the decision has none
	fallbacks       []int  // pools that have not been tried yet
	earlierAttempts int    // in pools before the current one
	poolAttempts    int    // in the current pool
	mayHaveRun      bool   // an attempt may have been executed
}

// Verdict is the decision on a request that begins or that a pool has rejected.
type Verdict int

// Verdicts.
const (
	Proceed   Verdict = iota // send the request to the current pool
	RouteFull                // reject the request: its route is at a limit
	PoolFull                 // reject the request: none of its pools is available
	Exhausted                // reject the request: no pool, attempt or time is left
)

// PoolAvailability reports whether the pool at a position in Set.Pools accepts another request: it is still active and not at a
// limit.
type PoolAvailability func(pool int) bool

// BeginRequest starts a request. route is the usage of its route. If the pool of the decision is not available, the request falls
// back to the first pool of the policy that is.
func (t *Table) BeginRequest(d Decision, route Usage, available PoolAvailability) (RequestProgress, Verdict) {
	p := RequestProgress{Decision: d, Policy: t.Policy(d), fallbacks: t.Fallbacks(d)}
	r := &t.Set.Routes[d.Route]
	if route.Full(r.MaxOpen, r.MaxWaiting) {
		return p, RouteFull
	}
	if !available(d.Pool) && !p.nextFallback(available) {
		return p, PoolFull
	}
	return p, Proceed
}

// nextFallback moves to the first remaining fallback pool that is available, and reports whether there is one.
func (p *RequestProgress) nextFallback(available PoolAvailability) bool {
	for len(p.fallbacks) > 0 {
		p.Pool = p.fallbacks[0]
		p.fallbacks = p.fallbacks[1:]
		if available(p.Pool) {
			return true
		}
	}
	return false
}

// AttemptSent counts an attempt that was sent to the current pool.
func (p *RequestProgress) AttemptSent() { p.poolAttempts++ }

// AttemptEnded records the end of an attempt. neverRan means that the endpoint certainly did not execute it.
func (p *RequestProgress) AttemptEnded(neverRan bool) { p.mayHaveRun = p.mayHaveRun || !neverRan }

// MayHaveRun reports whether an endpoint may have executed an attempt.
func (p *RequestProgress) MayHaveRun() bool { return p.mayHaveRun }

// AttemptsLeft returns the number of further attempts that the request may make. limit is the limit in the settings on all
// attempts of a request.
func (p *RequestProgress) AttemptsLeft(limit int) int {
	if p.Policy.Attempts > 0 {
		limit = min(limit, p.Policy.Attempts)
	}
	return max(limit-p.earlierAttempts-p.poolAttempts, 0)
}

// AttemptInPool returns the number of an attempt within the current pool, given its number within the request.
func (p *RequestProgress) AttemptInPool(attempt int) int { return attempt - p.earlierAttempts }

// Rejection describes a request that its pool has rejected, for NextPool.
type Rejection struct {
	Remaining    time.Duration // until the request's deadline
	MinRemaining time.Duration // no further pool is tried unless more time than this remains
	AttemptLimit int           // limit in the settings, as for AttemptsLeft
	RetryIsSafe  bool          // the request may be executed more than once
	InFlight     bool          // an attempt is in flight
}

// NextPool decides whether a request that its pool has rejected is sent to another pool. If a retry is not safe, this requires
// that no attempt can have been executed, because another pool does not recognize a retry.
func (p *RequestProgress) NextPool(r Rejection, available PoolAvailability) Verdict {
	mayRetry := r.RetryIsSafe || !p.mayHaveRun
	noAttemptLeft := p.AttemptsLeft(r.AttemptLimit) == 0
	if r.InFlight || r.Remaining <= r.MinRemaining || noAttemptLeft || !mayRetry || !p.nextFallback(available) {
		return Exhausted
	}
	p.earlierAttempts += p.poolAttempts
	p.poolAttempts = 0
	return Proceed
}

// Deadline returns the time by which the client must receive the response: the client's deadline, or that of the policy if it
// is earlier.
func (p *RequestProgress) Deadline(now, clientDeadline time.Duration) time.Duration {
	if limit := p.Policy.Deadline.Duration(); limit > 0 {
		return min(clientDeadline, now+limit)
	}
	return clientDeadline
}

// BoundRetryAfter returns the Retry-After of a rejection, limited to the bounds of the policy.
func (p *RequestProgress) BoundRetryAfter(retryAfter time.Duration) time.Duration {
	retryAfter = max(retryAfter, p.Policy.RetryAfterMin.Duration())
	if limit := p.Policy.RetryAfterMax.Duration(); limit > 0 {
		retryAfter = min(retryAfter, limit)
	}
	return retryAfter
}
