package fakes

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// endpointDrainGrace is the default of ProtocolChecker.DrainGrace: the 3 s of the settings, plus 50 ms until a list arrives.
const endpointDrainGrace = 3*time.Second + 50*time.Millisecond

// ProtocolChecker checks the events that the peers report against the rules of the protocol: each request has one final
// answer, no request has two attempts at a time, and no attempt goes to an endpoint that has been draining for longer than
// DrainGrace. It is safe for concurrent use.
type ProtocolChecker struct {
	// DrainGrace is how long an attempt may still reach an endpoint after discovery has listed the endpoint as draining. It
	// must be set before the first report.
	DrainGrace time.Duration

	mu            sync.Mutex
	inFlight      map[string]string    // request id → id of the endpoint with its attempt
	finalAnswers  map[string]int       // request id → number of final answers
	drainingSince map[string]time.Time // endpoint id → when discovery listed it as draining
	violations    []string
	counts        Counts
}

// Counts contains counts of the events that the peers reported.
type Counts struct {
	Attempts     int // request lines that reached an endpoint
	Established  int `json:"Up"`   // connections that an endpoint accepted with UP
	EndpointBusy int `json:"Full"` // attempts that an endpoint rejected with BUSY
	Answers      int // final answers to clients of any kind
	Served       int // UP answers
	Rejected     int `json:"Refused"` // BUSY answers
	Failed       int // other final answers
	MoveRequests int `json:"Moved"` // MOVE lines, which ask a client to reconnect
}

// NewProtocolChecker returns a checker without reports.
func NewProtocolChecker() *ProtocolChecker {
	return &ProtocolChecker{
		DrainGrace:    endpointDrainGrace,
		inFlight:      map[string]string{},
		finalAnswers:  map[string]int{},
		drainingSince: map[string]time.Time{},
	}
}

// addViolation adds the description of a violation. The caller holds c.mu.
func (c *ProtocolChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns the descriptions of the violations so far.
func (c *ProtocolChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Counts returns the counts so far.
func (c *ProtocolChecker) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// AttemptStarted records that the first line of a request reached an endpoint.
func (c *ProtocolChecker) AttemptStarted(request, endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	if other, ok := c.inFlight[request]; ok {
		c.addViolation("request %s reached %s while its attempt at %s is in flight", request, endpoint, other)
	}
	c.inFlight[request] = endpoint
	if since, ok := c.drainingSince[endpoint]; ok && at.Sub(since) > c.DrainGrace {
		c.addViolation("request %s reached %s, which has been draining for %v", request, endpoint, at.Sub(since))
	}
}

// AttemptEnded records the end of a request's attempt at an endpoint. It may be called more than once.
func (c *ProtocolChecker) AttemptEnded(request, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[request] == endpoint {
		delete(c.inFlight, request)
	}
}

// SetDraining records when discovery listed an endpoint as draining. A zero time means that it is not draining.
func (c *ProtocolChecker) SetDraining(endpoint string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, endpoint)
	if !since.IsZero() {
		c.drainingSince[endpoint] = since
	}
}

// FinalAnswer records a final answer that a client received. word is the answer's first word.
func (c *ProtocolChecker) FinalAnswer(request, word string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Answers++
	c.finalAnswers[request]++
	if n := c.finalAnswers[request]; n > 1 {
		c.addViolation("request %s has %d final answers, the latest %q", request, n, word)
	}
	switch word {
	case "UP":
		c.counts.Served++
	case "BUSY":
		c.counts.Rejected++
	default:
		c.counts.Failed++
	}
}

// NoAnswer records that the connection of a request ended without a final answer.
func (c *ProtocolChecker) NoAnswer(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("request %s has no final answer", request)
}

// UpdateCounts calls change to update the counts. change must not call methods of the checker.
func (c *ProtocolChecker) UpdateCounts(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}
