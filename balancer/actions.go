package balancer

import "time"

// Action is an operation that a Balancer asks its owner to perform.
type Action interface{ action() }

// Send starts the next attempt of a request. With Timeout 0, only the request's deadline limits the attempt.
type Send struct {
	ID       string
	Endpoint string
	Timeout  time.Duration
}

// Reject answers a request finally and tells the client that a retry is safe.
type Reject struct {
	ID         string
	RetryAfter time.Duration // how long the client should wait before it retries; 0: no advice
	Reason     AnswerReason
}

// Fail answers a request finally as failed. The request may have been executed, so the client must not assume that a retry
// is safe.
type Fail struct {
	ID     string
	Reason AnswerReason
}

// AnswerReason is the reason for which a Balancer rejects or fails a request. Operators see its value.
type AnswerReason string

// Reasons of a Reject or Fail.
const (
	NoTimeLeft       AnswerReason = "no_time"     // too little time for an attempt remains, or none
	DeadlinePassed   AnswerReason = "deadline"    // no attempt succeeded by the deadline
	NoAttemptsLeft   AnswerReason = "no_attempts" // the request has used its maximum number of attempts
	NotAdmitted      AnswerReason = "not_admitted"
	NoUsableEndpoint AnswerReason = "no_endpoint" // no endpoint is ready, permitted for a retry, and within its slow-start limit
)

// Cancel cancels an attempt in flight.
type Cancel struct {
	ID      string
	Attempt int
}

// SetTimer requests a Timer event after Delay.
type SetTimer struct {
	Token string
	Delay time.Duration
}

// Migrate closes an established connection gracefully; the client reconnects.
type Migrate struct{ ID string }

// HealthCheck queries an endpoint for its health and load.
type HealthCheck struct{ Endpoint string }

// CloseIdleConnections closes this node's idle connections to an endpoint.
type CloseIdleConnections struct{ Endpoint string }

// Watch subscribes to endpoint changes from service discovery if On is set; otherwise it cancels the subscription.
type Watch struct{ On bool }

// FetchEndpoints requests the full endpoint list from service discovery once.
type FetchEndpoints struct{}

// SendToPeer sends Data to one node of the tier, or to all nodes if To is -1.
type SendToPeer struct {
	To   int
	Data string
}

// Log writes a line to the log.
type Log struct{ Text string }

func (Send) action()                 {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (SetTimer) action()             {}
func (Migrate) action()              {}
func (HealthCheck) action()          {}
func (CloseIdleConnections) action() {}
func (Watch) action()                {}
func (FetchEndpoints) action()       {}
func (SendToPeer) action()           {}
func (Log) action()                  {}
