package routing

import "time"

// Usage is how many connections a route or a pool has at a moment.
type Usage struct {
	Open    int // established
	Waiting int // not established yet
}

// Full reports whether no further connection fits into these limits; 0: no limit.
func (u Usage) Full(maxOpen, maxWaiting int) bool {
	openFull := maxOpen > 0 && u.Open+u.Waiting >= maxOpen
	waitingFull := maxWaiting > 0 && u.Waiting >= maxWaiting
	return openFull || waitingFull
}

// RequestProgress is the progress of one request through the pools that its policy names. Attempts and deadline are those of
// the request as a whole, whatever number of pools it is sent to.
type RequestProgress struct {
	Decision               // Pool is the current one
	Policy          Policy // the zero one where the decision has none
	fallbacks       []int  // pools that have not been tried yet
	earlierAttempts int    // in pools before the current one
	poolAttempts    int    // in the current pool
	mayHaveRun      bool   // an attempt may have been executed
}

// Verdict says what becomes of a request that begins or that its pool has rejected.
type Verdict int

// Verdicts.
const (
	Proceed   Verdict = iota // send it to the current pool
	RouteFull                // reject it: its route is at its limits
	PoolFull                 // reject it: each of its pools is at its limits
	Exhausted                // reject it: no pool, attempt or time is left
)

// BeginRequest starts a request of a route with that usage. Where its pool is at its limits it falls back to the policy's next
// one that is not. poolUsage returns the usage of a pool.
func (t *Table) BeginRequest(d Decision, route Usage, poolUsage func(pool int) Usage) (RequestProgress, Verdict) {
	p := RequestProgress{Decision: d, Policy: t.Policy(d), fallbacks: t.Fallbacks(d)}
	r := &t.Set.Routes[d.Route]
	if route.Full(r.MaxOpen, r.MaxWaiting) {
		return p, RouteFull
	}
	if t.poolFull(d.Pool, poolUsage) && !p.advance(t, poolUsage) {
		return p, PoolFull
	}
	return p, Proceed
}

// poolFull reports whether a pool is at its limits.
func (t *Table) poolFull(pool int, poolUsage func(pool int) Usage) bool {
	limits := &t.Set.Pools[pool]
	return poolUsage(pool).Full(limits.MaxOpen, limits.MaxWaiting)
}

// advance goes on to the first fallback that is not at its limits, and reports whether there is one.
func (p *RequestProgress) advance(t *Table, poolUsage func(pool int) Usage) bool {
	for len(p.fallbacks) > 0 {
		p.Pool = p.fallbacks[0]
		p.fallbacks = p.fallbacks[1:]
		if !t.poolFull(p.Pool, poolUsage) {
			return true
		}
	}
	return false
}

// AttemptSent notes that an attempt was sent.
func (p *RequestProgress) AttemptSent() { p.poolAttempts++ }

// AttemptEnded notes that an attempt ended, and whether it certainly was not executed.
func (p *RequestProgress) AttemptEnded(neverRan bool) { p.mayHaveRun = p.mayHaveRun || !neverRan }

// MayHaveRun reports whether an attempt may have been executed.
func (p *RequestProgress) MayHaveRun() bool { return p.mayHaveRun }

// AttemptsLeft returns how many further attempts the request may make, where limit is that of the settings for all of them.
func (p *RequestProgress) AttemptsLeft(limit int) int {
	if p.Policy.Attempts > 0 {
		limit = min(limit, p.Policy.Attempts)
	}
	return max(limit-p.earlierAttempts-p.poolAttempts, 0)
}

// AttemptInPool returns the number within the current pool of an attempt, given its number within the request.
func (p *RequestProgress) AttemptInPool(attempt int) int { return attempt - p.earlierAttempts }

// Rejection is what NextPool needs to know of a request that its pool has rejected.
type Rejection struct {
	Remaining    time.Duration // until the request's deadline
	MinRemaining time.Duration // with no more than this remaining, no further pool is tried
	AttemptLimit int           // the settings' limit, as for Attempts
	RetryIsSafe  bool          // a further attempt is harmless although an earlier one may have been executed
	InFlight     bool          // an attempt is in flight
}

// NextPool decides whether a request that its pool has rejected goes on to another one. Where a repeat is not safe it does
// only if no attempt may have been executed, since another pool does not recognize a retry.
func (p *RequestProgress) NextPool(t *Table, r Rejection, poolUsage func(pool int) Usage) Verdict {
	mayRepeat := r.RetryIsSafe || !p.mayHaveRun
	noAttemptLeft := p.AttemptsLeft(r.AttemptLimit) == 0
	if r.InFlight || r.Remaining <= r.MinRemaining || noAttemptLeft || !mayRepeat || !p.advance(t, poolUsage) {
		return Exhausted
	}
	p.earlierAttempts += p.poolAttempts
	p.poolAttempts = 0
	return Proceed
}

// Deadline returns the time by which the request must have its response: the client's deadline, or the policy's where that is
// earlier.
func (p *RequestProgress) Deadline(now, clientDeadline time.Duration) time.Duration {
	if limit := p.Policy.Deadline.Duration(); limit > 0 {
		return min(clientDeadline, now+limit)
	}
	return clientDeadline
}

// BoundRetryAfter returns a rejection's Retry-After within the bounds of the policy.
func (p *RequestProgress) BoundRetryAfter(retryAfter time.Duration) time.Duration {
	retryAfter = max(retryAfter, p.Policy.RetryAfterMin.Duration())
	if limit := p.Policy.RetryAfterMax.Duration(); limit > 0 {
		retryAfter = min(retryAfter, limit)
	}
	return retryAfter
}
