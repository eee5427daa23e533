package proxy

import (
	"bytes"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/lineprotocol"
)

// LineProtocol implements Protocol with package lineprotocol, in which a message is a line.
type LineProtocol struct{}

// ParseHandshake implements Protocol.
func (LineProtocol) ParseHandshake(b []byte) (int, *ClientRequest, error) {
	line, _, complete := lineprotocol.CutLine(b)
	switch {
	case complete && len(line) > lineprotocol.MaxLineBytes, !complete && len(b) > lineprotocol.MaxLineBytes:
		return 0, nil, errMessageTooLong
	case !complete:
		return 0, nil, nil
	}
	if lineprotocol.IsPing(line) {
		return len(line), nil, nil
	}
	open, err := lineprotocol.ParseOpen(bytes.Clone(line))
	if err != nil {
		return 0, nil, err
	}
	request := &ClientRequest{
		ID:               open.ID,
		Class:            open.Class,
		Key:              open.Key,
		Group:            open.Group,
		Tenant:           open.Tenant,
		PreviousEndpoint: open.PreviousEndpoint,
		Timeout:          open.Timeout,
		HasTimeout:       open.HasTimeout,
		LoadHint:         open.LoadHint,
		ClientRetry:      open.Retry,
		Returning:        open.Returning,
		Resumed:          open.Resumed,
		Fields:           &open,
		Forward:          func(timeout time.Duration) []byte { return open.AppendForwarded(nil, timeout) },
	}
	return len(line), request, nil
}

// ReadinessAnswer implements Protocol.
func (LineProtocol) ReadinessAnswer(ready bool) []byte {
	if ready {
		return lineprotocol.Pong
	}
	return lineprotocol.Drained
}

// CompleteBytes implements Protocol.
func (LineProtocol) CompleteBytes(b []byte) int { return lineprotocol.CompleteBytes(b) }

// NextMessage implements Protocol.
func (LineProtocol) NextMessage(b []byte) (message, rest []byte) {
	message, rest, _ = lineprotocol.CutLine(b)
	return message, rest
}

// messageKinds maps the endpoints' answers to message kinds. Every other line is MessageOther.
var messageKinds = map[lineprotocol.Answer]MessageKind{
	lineprotocol.Established: MessageEstablished,
	lineprotocol.Finished:    MessageBye,
	lineprotocol.Migrated:    MessageMigrate,
	lineprotocol.Error:       MessageError,
	lineprotocol.Full:        MessageFull,
	lineprotocol.Load:        MessageLoad,
}

// ParseMessage implements Protocol.
func (LineProtocol) ParseMessage(message []byte) (MessageKind, float64) {
	answer, load := lineprotocol.ParseAnswer(message)
	return messageKinds[answer], load
}

// MaxMessageBytes implements Protocol.
func (LineProtocol) MaxMessageBytes() int { return lineprotocol.MaxLineBytes }

// LoadQuery implements Protocol.
func (LineProtocol) LoadQuery() []byte { return lineprotocol.Stats }

// ParseLoadReport implements Protocol.
func (LineProtocol) ParseLoadReport(message []byte) (balancer.LoadReport, bool) {
	load, ok := lineprotocol.ParseLoadReport(message)
	return load, ok
}

// RejectMessage implements Protocol.
func (LineProtocol) RejectMessage(retryAfter time.Duration) []byte {
	return lineprotocol.AppendBusy(nil, retryAfter)
}

// FailureMessage implements Protocol.
func (LineProtocol) FailureMessage() []byte { return lineprotocol.Err }

// MalformedMessage implements Protocol.
func (LineProtocol) MalformedMessage() []byte { return lineprotocol.Malformed }

// MigrateMessage implements Protocol.
func (LineProtocol) MigrateMessage() []byte { return lineprotocol.Migrate }
