// Package httpresponse parses HTTP/1.1 responses (RFC 9112) incrementally, as their bytes arrive on the event loop.
// internal/discovery and internal/controlclient use it. net/http would add 4 MiB of resident memory to the proxy, and goroutines
// that the loop does not need.
package httpresponse

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	// DefaultMaxBodyBytes is the default limit on a body, or on one chunk of it, in bytes.
	DefaultMaxBodyBytes = 8 << 20
	// maxHeadBytes bounds the response head, and the line with a chunk's size.
	maxHeadBytes = 16 << 10

	headEnd = "\r\n\r\n"
	lineEnd = "\r\n"
	// lengthUnknown is the value of Parser.remaining if the response does not state the length of its body.
	lengthUnknown = -1
)

// Range of valid HTTP status codes. Codes below firstFinalStatus belong to interim responses, which precede the final response.
const (
	minStatus        = 100
	firstFinalStatus = 200
	maxStatus        = 999
)

// ErrTooLong means that the response's head, its body or one of its chunks exceeds a limit.
var ErrTooLong = errors.New("the response is too long")

// Parser parses one response, which may arrive in pieces of any size, and passes on the body. It is not safe for concurrent use.
type Parser struct {
	buffer    []byte // received and not parsed yet
	state     state
	status    int
	remaining int64 // bytes of the body or of the current chunk that have not arrived yet, or lengthUnknown
	limit     int64 // maximum bytes of the body, or of one chunk
	chunked   bool
	done      bool
	onBody    func([]byte) error
}

// state parses the next part of a response from the buffer. It reports whether parsing can continue with the state that it has
// set; otherwise the parser needs more bytes, or the response is complete.
type state func(*Parser) (more bool, err error)

// New returns a parser that passes the body's bytes to onBody, which must not retain them. An error of onBody stops the parser.
// The limit on the body, or on each chunk, is DefaultMaxBodyBytes.
func New(onBody func([]byte) error) *Parser { return NewWithLimit(DefaultMaxBodyBytes, onBody) }

// NewWithLimit is like New with a different limit on the body, or on each chunk, in bytes. The limit applies neither to the total
// size of all chunks nor to a close-delimited body; onBody must limit these.
func NewWithLimit(limit int64, onBody func([]byte) error) *Parser {
	return &Parser{state: (*Parser).parseHead, onBody: onBody, limit: limit}
}

// Status returns the response's status code, or 0 until the head is complete.
func (p *Parser) Status() int { return p.status }

// Remaining returns the number of bytes of the body, or of its current chunk, that have not arrived yet. It is negative if the
// response does not state the length.
func (p *Parser) Remaining() int64 { return p.remaining }

// Done reports whether the body is complete. It is never true for a close-delimited body.
func (p *Parser) Done() bool { return p.done }

// CloseDelimited reports whether the body ends when the connection is closed.
func (p *Parser) CloseDelimited() bool { return p.remaining < 0 && !p.chunked }

// Feed parses the next bytes of the connection. Bytes after the response are ignored. It returns an error if the response is
// invalid, exceeds a limit (ErrTooLong) or onBody fails. Feed must not be called again after an error.
func (p *Parser) Feed(data []byte) error {
	p.buffer = append(p.buffer, data...)
	for !p.done {
		more, err := p.state(p)
		if err != nil {
			return err
		}
		if !more {
			break
		}
	}
	if len(p.buffer) == 0 {
		p.buffer = nil
	}
	return nil
}

// readLine removes the next line from the buffer and returns it without its line end. ok is false until the line is complete.
func (p *Parser) readLine() (line string, ok bool, err error) {
	end := bytes.IndexByte(p.buffer, '\n')
	if end > maxHeadBytes || end < 0 && len(p.buffer) > maxHeadBytes { // the bound does not depend on how the line is split into pieces
		return "", false, ErrTooLong
	}
	if end < 0 {
		return "", false, nil
	}
	line = string(bytes.TrimSuffix(p.buffer[:end], []byte("\r")))
	p.buffer = p.buffer[end+1:]
	return line, true, nil
}

// parseHead is the initial state, which parses the status line and the header fields.
func (p *Parser) parseHead() (more bool, err error) {
	end := bytes.Index(p.buffer, []byte(headEnd))
	if end > maxHeadBytes || end < 0 && len(p.buffer) >= maxHeadBytes+len(headEnd) {
		return false, ErrTooLong
	}
	if end < 0 {
		return false, nil
	}
	lines := strings.Split(string(p.buffer[:end]), lineEnd)
	p.buffer = p.buffer[end+len(headEnd):]
	status, err := parseStatusLine(lines[0])
	if err != nil {
		return false, err
	}
	if status < firstFinalStatus {
		return true, nil // an interim response, which the final response follows
	}
	p.status = status
	p.remaining = lengthUnknown
	for _, line := range lines[1:] {
		if err := p.parseHeaderField(line); err != nil {
			return false, err
		}
	}
	p.state = (*Parser).readUnchunkedBody
	if p.chunked {
		p.state = (*Parser).readChunkSize
	}
	return true, nil
}

// parseStatusLine returns the status code of a status line such as "HTTP/1.1 200 OK".
func parseStatusLine(line string) (status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || status < minStatus || status > maxStatus {
		return 0, fmt.Errorf("invalid status line %q", line)
	}
	return status, nil
}

// parseHeaderField evaluates the header fields that determine how the body is delimited, and ignores others.
func (p *Parser) parseHeaderField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return fmt.Errorf("invalid header field %q", line)
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "transfer-encoding":
		p.chunked = strings.EqualFold(value, "chunked")
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 {
			return fmt.Errorf("invalid content-length %q", value)
		}
		if length > p.limit {
			return fmt.Errorf("content-length %q: %w", value, ErrTooLong)
		}
		p.remaining = length
	}
	return nil
}

// readUnchunkedBody is the state in a body without chunked encoding.
func (p *Parser) readUnchunkedBody() (more bool, err error) {
	part := p.buffer
	if p.remaining >= 0 {
		part = part[:min(int64(len(part)), p.remaining)]
		p.remaining -= int64(len(part))
		p.done = p.remaining == 0
	}
	p.buffer = p.buffer[len(part):]
	if len(part) == 0 {
		return false, nil
	}
	return false, p.onBody(part)
}

// readChunkSize is the state before a chunk.
func (p *Parser) readChunkSize() (more bool, err error) {
	line, ok, err := p.readLine()
	if !ok {
		return false, err
	}
	text, _, _ := strings.Cut(line, ";") // chunk extensions follow
	size, err := strconv.ParseInt(strings.TrimSpace(text), 16, 64)
	if err != nil || size < 0 || size > p.limit {
		return false, fmt.Errorf("invalid chunk size %q: a hexadecimal number up to %d is allowed", line, p.limit)
	}
	p.remaining = size
	p.state = (*Parser).readChunk
	if size == 0 {
		p.state = (*Parser).readTrailer
	}
	return true, nil
}

// readChunk is the state in a chunk and before the line end that follows it.
func (p *Parser) readChunk() (more bool, err error) {
	if n := min(int64(len(p.buffer)), p.remaining); n > 0 {
		part := p.buffer[:n]
		p.buffer = p.buffer[n:]
		p.remaining -= n
		if err := p.onBody(part); err != nil {
			return false, err
		}
	}
	if p.remaining > 0 || len(p.buffer) < len(lineEnd) {
		return false, nil
	}
	if !bytes.HasPrefix(p.buffer, []byte(lineEnd)) {
		return false, errors.New("invalid chunk: its data is not followed by CRLF")
	}
	p.buffer = p.buffer[len(lineEnd):]
	p.state = (*Parser).readChunkSize
	return true, nil
}

// readTrailer is the state after the last chunk. It skips trailer fields until the empty line that ends the response.
func (p *Parser) readTrailer() (more bool, err error) {
	line, ok, err := p.readLine()
	p.done = ok && line == ""
	return ok && !p.done, err
}
