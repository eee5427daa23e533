package fakes

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// endpointDrainGrace is the default of ProtocolChecker.DrainGrace: 3 s by the settings, and 50 ms for the delay of a list.
const endpointDrainGrace = 3*time.Second + 50*time.Millisecond

// ProtocolChecker compares what all peers see with the rules of the protocol: each request has one final answer, no request
// has two attempts at a time, and no attempt goes to an endpoint that has drained for longer than the grace. It is safe for
// concurrent use.
type ProtocolChecker struct {
	// DrainGrace is how long after discovery has listed an endpoint as draining an attempt may still reach it. It is set
	// before the first report.
	DrainGrace time.Duration

	mu            sync.Mutex
	inFlight      map[string]string    // request id → id of the endpoint that has its attempt
	finalAnswers  map[string]int       // request id → number of final answers
	drainingSince map[string]time.Time // endpoint id → when discovery listed it as draining
	violations    []string
	counts        Counts
}

// Counts counts what the peers reported.
type Counts struct {
	Attempts     int // first lines that reached an endpoint
	Established  int `json:"Up"`   // connections that an endpoint accepted with UP
	EndpointBusy int `json:"Full"` // attempts that an endpoint rejected with BUSY
	Answers      int // final answers to clients, of whichever kind
	Served       int // of them, UP
	Rejected     int `json:"Refused"` // of them, BUSY
	Failed       int // of them, all others
	MoveRequests int `json:"Moved"` // clients asked by MOVE to reconnect
}

// NewProtocolChecker returns one that has seen nothing.
func NewProtocolChecker() *ProtocolChecker {
	return &ProtocolChecker{
		DrainGrace:    endpointDrainGrace,
		inFlight:      map[string]string{},
		finalAnswers:  map[string]int{},
		drainingSince: map[string]time.Time{},
	}
}

// addViolation adds a description; c.mu is held.
func (c *ProtocolChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns a description of each violation so far.
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

// AttemptStarted reports that the first line of a request reached an endpoint.
func (c *ProtocolChecker) AttemptStarted(request, endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	if other, ok := c.inFlight[request]; ok {
		c.addViolation("request %s reached %s while %s has an attempt of it", request, endpoint, other)
	}
	c.inFlight[request] = endpoint
	if since, ok := c.drainingSince[endpoint]; ok && at.Sub(since) > c.DrainGrace {
		c.addViolation("request %s reached %s, which has drained for %v", request, endpoint, at.Sub(since))
	}
}

// AttemptEnded reports that an endpoint's attempt is over. It may be called more than once.
func (c *ProtocolChecker) AttemptEnded(request, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[request] == endpoint {
		delete(c.inFlight, request)
	}
}

// SetDraining reports when discovery listed an endpoint as draining; a zero time, that it is not draining.
func (c *ProtocolChecker) SetDraining(endpoint string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, endpoint)
	if !since.IsZero() {
		c.drainingSince[endpoint] = since
	}
}

// FinalAnswer reports the final answer that a client received, by its first word.
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

// NoAnswer reports a request whose connection ended without a final answer.
func (c *ProtocolChecker) NoAnswer(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("request %s has no final answer", request)
}

// UpdateCounts has change update the counts. It must not call other methods of the checker.
func (c *ProtocolChecker) UpdateCounts(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}
