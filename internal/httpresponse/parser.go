// Package httpresponse parses HTTP/1.1 responses (RFC 9112) incrementally, as their bytes arrive on the event loop.
// internal/discovery and internal/controlclient read with it. net/http would add 4 MiB of resident memory to the proxy, and
// goroutines that the loop does not need.
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
	// maxHeadBytes bounds the head, and the line of a chunk's size.
	maxHeadBytes = 16 << 10

	headEnd = "\r\n\r\n"
	lineEnd = "\r\n"
	// untilConnectionEnds is the value of Parser.remaining where the response does not say how long its body is.
	untilConnectionEnds = -1
)

// The status codes that HTTP allows. Those below firstFinalStatus are of interim responses, which a final one follows.
const (
	minStatus        = 100
	firstFinalStatus = 200
	maxStatus        = 999
)

// ErrTooLong means that a response exceeds a bound.
var ErrTooLong = errors.New("the answer is too long")

// Parser parses one response, in any pieces, and passes the body's bytes on. It is not safe for concurrent use.
type Parser struct {
	buffer    []byte // received and not parsed yet
	state     state
	status    int
	remaining int64 // bytes of the body or of the current chunk that are to come, or untilConnectionEnds
	limit     int64 // on the bytes of the body, or of one chunk
	chunked   bool
	done      bool
	onBody    func([]byte) error
}

// state parses the next part of a response from the buffer. It reports whether to go on with the state that it has set; if not,
// further bytes are awaited, or the response is done.
type state func(*Parser) (more bool, err error)

// New returns a parser that passes the body's bytes to onBody, which must not retain them and whose error ends the parsing. The
// limit is DefaultMaxBodyBytes.
func New(onBody func([]byte) error) *Parser { return NewWithLimit(DefaultMaxBodyBytes, onBody) }

// NewWithLimit is New with another limit on the body, or on each chunk, in bytes. Neither the sum of all chunks nor a body that
// ends with the connection is limited here; whoever takes the bytes limits them.
func NewWithLimit(limit int64, onBody func([]byte) error) *Parser {
	return &Parser{state: (*Parser).parseHead, onBody: onBody, limit: limit}
}

// Status is the response's status code, 0 until its head has come.
func (p *Parser) Status() int { return p.status }

// Remaining is how many bytes of the body, or of its current chunk, are to come; below 0 where the response does not say.
func (p *Parser) Remaining() int64 { return p.remaining }

// Done reports whether the whole body has come. A body that ends with the connection is never done.
func (p *Parser) Done() bool { return p.done }

// CloseDelimited reports whether the body ends with the connection.
func (p *Parser) CloseDelimited() bool { return p.remaining < 0 && !p.chunked }

// Feed takes the next bytes of the connection. Bytes after the response are ignored. An error is final: the response is not
// valid, exceeds a bound (ErrTooLong), or onBody returned it.
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

// readLine takes the next line off the buffer, without its end. ok is false until the whole line has come.
func (p *Parser) readLine() (line string, ok bool, err error) {
	end := bytes.IndexByte(p.buffer, '\n')
	if end > maxHeadBytes || end < 0 && len(p.buffer) > maxHeadBytes { // the same bound in whatever pieces the line comes
		return "", false, ErrTooLong
	}
	if end < 0 {
		return "", false, nil
	}
	line = string(bytes.TrimSuffix(p.buffer[:end], []byte("\r")))
	p.buffer = p.buffer[end+1:]
	return line, true, nil
}

// parseHead is the first state.
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
		return true, nil // an interim response; the final one follows
	}
	p.status = status
	p.remaining = untilConnectionEnds
	for _, line := range lines[1:] {
		if err := p.parseField(line); err != nil {
			return false, err
		}
	}
	p.state = (*Parser).readPlainBody
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

// parseField reads from a header field how the body is sent.
func (p *Parser) parseField(line string) error {
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

// readPlainBody is the state within a body that is not chunked.
func (p *Parser) readPlainBody() (more bool, err error) {
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

// readChunk is the state within a chunk, and before the line end after it.
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
		return false, errors.New("a chunk does not end where it should")
	}
	p.buffer = p.buffer[len(lineEnd):]
	p.state = (*Parser).readChunkSize
	return true, nil
}

// readTrailer is the state after the last chunk: trailer fields, which are ignored, and an empty line.
func (p *Parser) readTrailer() (more bool, err error) {
	line, ok, err := p.readLine()
	p.done = ok && line == ""
	return ok && !p.done, err
}
