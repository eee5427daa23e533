package proxy

import (
	"time"

	"example.org/micafront/balancer"
)

// Protocol is all that the proxy knows of the bytes on clients' and endpoints' connections. Another protocol would go
// through the same stages and decisions.
type Protocol interface {
	// ParseHandshake reads the start of what a client has sent. n is how many bytes are used up, 0 where more must come.
	// A nil request with n > 0 was a readiness check, which another handshake message may follow. The error is errMessageTooLong
	// or says what is malformed.
	ParseHandshake(b []byte) (n int, request *ClientRequest, err error)
	// ReadinessAnswer is the answer to a readiness check.
	ReadinessAnswer(ready bool) []byte

	// CompleteBytes is how many bytes of b are complete messages.
	CompleteBytes(b []byte) int
	// NextMessage takes the first message off b, which must begin with a complete one.
	NextMessage(b []byte) (message, rest []byte)
	// ParseMessage reads a message of an endpoint. load is the value of a MessageLoad, below 0 if it makes no sense.
	ParseMessage(message []byte) (kind MessageKind, load float64)
	// MaxMessageBytes bounds a message.
	MaxMessageBytes() int

	// LoadQuery is a query of an endpoint's load.
	LoadQuery() []byte
	// ParseLoadReport reads the answer to a load query: the values that it reports, if any. ok is false where it is no
	// answer to one.
	ParseLoadReport(message []byte) (load balancer.LoadReport, ok bool)

	// RejectMessage is a final answer to a client: it may retry after some time.
	RejectMessage(retryAfter time.Duration) []byte
	// FailureMessage is a final answer to a client that promises nothing.
	FailureMessage() []byte
	// MalformedMessage is the answer to bytes that make no request.
	MalformedMessage() []byte
	// MigrateMessage asks the client of an established connection to connect anew.
	MigrateMessage() []byte
}

// ClientRequest is a client's request: the fields that decisions need, and its message.
type ClientRequest struct {
	ID               string
	Class            string
	Key              string
	Group            string
	Tenant           string
	PreviousEndpoint string        // where the connection was established before; "": it is new
	Wait             time.Duration // how long the client waits for an answer, where HasWait is set
	HasWait          bool
	LoadHint         float64
	ClientRetry      bool // the client has sent the request before
	Returning        bool // the client was cut off or asked to migrate, and is back
	Resumed          bool // packets of a connection that is open at an endpoint now arrive here

	// Fields are further fields of the message.
	Fields RequestFields
	// Forward returns the message for an endpoint, which says how long the proxy waits for an answer.
	Forward func(wait time.Duration) []byte
}

// RequestFields are fields of a request's message by name.
type RequestFields interface {
	Field(name string) (value string, ok bool)
}

// MessageKind is the meaning of an endpoint's message. Processes exchange it as a number at a hot restart.
type MessageKind int

// The kinds of message.
const (
	MessageOther       MessageKind = iota // the application's
	MessageEstablished                    // the connection is accepted
	MessageBye                            // the connection has been served to its end
	MessageMigrate                        // the client is to connect anew
	MessageError                          // the request failed
	MessageFull                           // the endpoint is at its limit
	MessageLoad                           // the endpoint's load
)
