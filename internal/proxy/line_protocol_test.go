package proxy

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzParseHandshakeInPieces checks that a client's first bytes are parsed alike whether they arrive at once or in
// pieces, and that neither a message nor the buffer exceeds its maximum size.
func FuzzParseHandshakeInPieces(f *testing.F) {
	for _, seed := range []string{"PING\r\nOPEN a b c=x,d=1\r\n", "OPEN a b c=x,d=1\r\nM 1\r\n", "OPEN a b c=x", "\r\n", "PING\n",
		"OPEN " + string(bytes.Repeat([]byte("k"), 4090)) + " b c=x\r\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		whole := parseInPieces(t, text, max(len(text), 1))
		pieced := parseInPieces(t, text, max(piece, 1))
		sameRequest := (whole.request == nil) == (pieced.request == nil) &&
			(whole.request == nil || whole.request.ID == pieced.request.ID)
		if whole.used != pieced.used || !errors.Is(pieced.err, whole.err) || !sameRequest {
			t.Errorf("parsed at once: %+v; in pieces of %d bytes: %+v", whole, piece, pieced)
		}
	})
}

// parsedHandshake is the result of parsing up to the first request or error.
type parsedHandshake struct {
	used    int // bytes of parsed messages
	request *ClientRequest
	err     error
}

func parseInPieces(t *testing.T, text []byte, piece int) parsedHandshake {
	t.Helper()
	var protocol LineProtocol
	var result parsedHandshake
	var buffer []byte
	for rest := text; len(rest) > 0 && result.request == nil && result.err == nil; {
		n := min(piece, len(rest))
		buffer = append(buffer, rest[:n]...)
		rest = rest[n:]
		for len(buffer) > 0 && result.request == nil && result.err == nil {
			n, request, err := protocol.ParseHandshake(buffer)
			result.request = request
			result.err = err
			if n == 0 {
				break
			}
			if n > protocol.MaxMessageBytes() {
				t.Fatalf("accepted a message of %d bytes, want at most %d", n, protocol.MaxMessageBytes())
			}
			result.used += n
			buffer = buffer[n:]
		}
		if len(buffer) > protocol.MaxMessageBytes()+piece {
			t.Fatalf("buffered %d bytes, want at most %d", len(buffer), protocol.MaxMessageBytes()+piece)
		}
	}
	return result
}
