package proxy

import (
	"time"

	"example.org/micafront/balancer"
)

// Protocol contains all that the proxy knows about the bytes on the connections of clients and endpoints. The stages
// and decisions of a request are the same for every protocol.
type Protocol interface {
	// ParseHandshake parses the first message of b, which a client has sent. n is the number of bytes parsed, or 0 if
	// the message is incomplete. A nil request with n > 0 means that the message is a readiness check; more of these or
	// the request may follow. The error is errMessageTooLong or says what is malformed.
	ParseHandshake(b []byte) (n int, request *ClientRequest, err error)
	// ReadinessAnswer returns the answer to a readiness check.
	ReadinessAnswer(ready bool) []byte

	// CompleteBytes returns how many bytes at the start of b are complete messages.
	CompleteBytes(b []byte) int
	// NextMessage splits the first message off b, which must start with a complete message.
	NextMessage(b []byte) (message, rest []byte)
	// ParseMessage parses a message of an endpoint. load is the value of a MessageLoad, or negative if the value is
	// invalid.
	ParseMessage(message []byte) (kind MessageKind, load float64)
	// MaxMessageBytes returns the maximum length of a message in bytes.
	MaxMessageBytes() int

	// LoadQuery returns a message that queries an endpoint's load.
	LoadQuery() []byte
	// ParseLoadReport parses the answer to a load query. load contains the values that it reports, if any. ok is false
	// if message is not such an answer.
	ParseLoadReport(message []byte) (load balancer.LoadReport, ok bool)

	// RejectMessage returns a final answer that allows the client to retry after retryAfter.
	RejectMessage(retryAfter time.Duration) []byte
	// FailureMessage returns a final answer that does not promise that a retry is harmless.
	FailureMessage() []byte
	// MalformedMessage returns the answer to bytes that are not a valid request.
	MalformedMessage() []byte
	// MigrateMessage returns a message that asks the client of an established connection to reconnect.
	MigrateMessage() []byte
}

// ClientRequest is a client's request: the fields on which decisions depend, and its message.
type ClientRequest struct {
	ID               string
	Class            string
	Key              string
	Group            string
	Tenant           string
	PreviousEndpoint string        // where the connection was established before; "" for a new connection
	Timeout          time.Duration // how long the client waits for an answer; valid if HasTimeout is set
	HasTimeout       bool
	LoadHint         float64
	ClientRetry      bool // the client has sent the request before
	Returning        bool // the client was disconnected or asked to migrate, and has reconnected
	Resumed          bool // the connection is open at an endpoint, and its packets now arrive at this proxy

	// Fields gives access to further fields of the message.
	Fields RequestFields
	// Forward returns the message to send to an endpoint. timeout is how long the proxy waits for an answer.
	Forward func(timeout time.Duration) []byte
}

// RequestFields looks up fields of a request's message by name.
type RequestFields interface {
	Field(name string) (value string, ok bool)
}

// MessageKind is the meaning of an endpoint's message. The processes of a hot restart exchange it as a number.
type MessageKind int

// The kinds of message.
const (
	MessageOther       MessageKind = iota // a message of the application
	MessageEstablished                    // the endpoint has accepted the connection
	MessageBye                            // the endpoint has finished serving the connection
	MessageMigrate                        // the client is asked to reconnect
	MessageError                          // the request failed
	MessageFull                           // the endpoint is at its limit
	MessageLoad                           // a report of the endpoint's load
)
