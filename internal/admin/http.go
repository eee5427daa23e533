package admin

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// Limits, in bytes, on the two parts of a request.
const (
	maxHead = 4 << 10
	maxBody = 4 << 10 // routes ignore bodies, but some client libraries send one
)

// request contains the method and the path of a complete request.
type request struct {
	method string
	path   string
}

// parseError is a rejection of a request by the parser, with the status and the text of the response.
type parseError struct {
	status int
	text   string
}

// parser parses one HTTP/1.x request, which may arrive in pieces of any size.
type parser struct {
	buf        []byte   // received bytes that have not been parsed
	request    *request // nil until the header has been parsed
	bodyLength int
	chunked    bool
	headOnly   bool // the method is HEAD, so the response has no body
}

// feed adds received bytes. It returns nil until the request and its body are complete, and then the request. The parser must not
// be used after an error.
func (p *parser) feed(b []byte) (*request, *parseError) {
	p.buf = append(p.buf, b...)
	if p.request == nil {
		if err := p.readHead(); err != nil || p.request == nil {
			return nil, err
		}
	}
	if p.bodyComplete() {
		return p.request, nil
	}
	if len(p.buf) > maxBody {
		return nil, &parseError{http.StatusRequestEntityTooLarge, "the call's body is too long"}
	}
	return nil, nil
}

// readHead parses the request line and header fields and removes them from the buffer, once they are complete.
func (p *parser) readHead() *parseError {
	const separator = "\r\n\r\n"
	p.buf = bytes.TrimLeft(p.buf, "\r\n") // RFC 9112, section 2.2
	end := bytes.Index(p.buf, []byte(separator))
	if end < 0 && len(p.buf) > maxHead || end > maxHead {
		return &parseError{http.StatusRequestHeaderFieldsTooLarge, "the call's head is too long"}
	}
	if end < 0 {
		return nil
	}
	if err := p.parseHead(string(p.buf[:end])); err != nil {
		return err
	}
	p.buf = p.buf[end+len(separator):]
	return nil
}

// bodyComplete reports whether the buffer contains the whole body. In a chunked body it only searches for the last chunk. Data that
// looks like a last chunk ends the body early, which is harmless because bodies and bytes after a request are ignored.
func (p *parser) bodyComplete() bool {
	if !p.chunked {
		return len(p.buf) >= p.bodyLength
	}
	return bytes.HasPrefix(p.buf, []byte("0\r\n\r\n")) || bytes.Contains(p.buf, []byte("\r\n0\r\n\r\n"))
}

var errMalformedRequest = &parseError{http.StatusBadRequest, "not understood"}

// parseHead parses a request line and the header fields after it, and sets the request.
func (p *parser) parseHead(head string) *parseError {
	lines := strings.Split(head, "\r\n")
	words := strings.Split(lines[0], " ")
	if len(words) != 3 {
		return errMalformedRequest
	}
	method, target, version := words[0], words[1], words[2]
	if method == "" || !strings.HasPrefix(version, "HTTP/") {
		return errMalformedRequest
	}
	if !strings.HasPrefix(version, "HTTP/1.") {
		return &parseError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	}
	if err := p.parseFields(lines[1:]); err != nil {
		return err
	}
	p.headOnly = method == http.MethodHead
	p.request = &request{method: method, path: targetPath(target)}
	return nil
}

// parseFields gets the length or the encoding of the body from the header fields. It rejects a request with two lengths, or with
// both a length and chunks, because its end is ambiguous.
func (p *parser) parseFields(lines []string) *parseError {
	lengths := 0 // number of Content-Length fields
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return errMalformedRequest
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			length, err := strconv.ParseUint(value, 10, 31)
			lengths++
			if err != nil || lengths > 1 {
				return errMalformedRequest
			}
			if length > maxBody {
				return &parseError{http.StatusRequestEntityTooLarge, "the call's body is too long"}
			}
			p.bodyLength = int(length)
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return &parseError{http.StatusNotImplemented, "not in this encoding"}
			}
			p.chunked = true
		}
	}
	if p.chunked && lengths > 0 {
		return errMalformedRequest
	}
	return nil
}

// targetPath returns the path, without the query, of a request target in origin or absolute form.
func targetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if rest, ok := strings.CutPrefix(path, "http://"); ok {
		_, path, _ = strings.Cut(rest, "/")
		path = "/" + path
	}
	return path
}
