package balancer

import "time"

// Action is anything that a Balancer asks its owner to do.
type Action interface{ action() }

// Send starts the next attempt of a request. Timeout 0 means until the request's deadline.
type Send struct {
	ID       string
	Endpoint string
	Timeout  time.Duration
}

// Reject is a final answer that says that a retry is safe.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0: no advice
	Reason     AnswerReason
}

// Fail is a final answer: the request may have been executed.
type Fail struct {
	ID     string
	Reason AnswerReason
}

// AnswerReason is why a Balancer gives a request its final answer itself. Its text is for operators.
type AnswerReason string

// Reasons of a Reject or Fail.
const (
	NoTimeLeft       AnswerReason = "no_time"     // it came with too little time, or too late, for an attempt
	DeadlinePassed   AnswerReason = "deadline"    // no attempt has succeeded by its deadline
	NoAttemptsLeft   AnswerReason = "no_attempts" // it has had as many attempts as it may
	NotAdmitted      AnswerReason = "not_admitted"
	NoUsableEndpoint AnswerReason = "no_endpoint" // none is ready, fit for a repeat and within its slow start
)

// Cancel gives up an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// SetTimer asks for a Timer event after Delay.
type SetTimer struct {
	Token string
	Delay time.Duration
}

// Migrate closes an established connection gracefully; the client reconnects.
type Migrate struct{ ID string }

// HealthCheck asks an endpoint for its health and load.
type HealthCheck struct{ Endpoint string }

// CloseIdleConnections closes this node's idle connections to an endpoint.
type CloseIdleConnections struct{ Endpoint string }

// Watch subscribes to the changes of service discovery, or cancels the subscription.
type Watch struct{ On bool }

// FetchEndpoints asks service discovery for the full list once.
type FetchEndpoints struct{}

// SendToPeer sends bytes to one node of the tier, or to all (-1).
type SendToPeer struct {
	To   int
	Data string
}

// Log adds a line to the log.
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
