package discovery

import (
	"bytes"
	stdjson "encoding/json"
	"strings"

	"example.org/micafront/internal/httpresponse"
)

const (
	whitespace      = " \t\r\n"
	maxQuotedBytes  = 16 // bytes of invalid input that an error quotes
	retryLineFactor = 2  // growth of an unfinished line after which it is decoded again
)

// objectStream finds the JSON objects in a response body, regardless of their indentation and of how the body is split into pieces.
// Discovery writes one object per line, so a line is decoded as an object first. If that fails, its bytes go to the decoder of the
// standard library, which finds the end of the object or the first invalid byte. Each byte is scanned a bounded number of times
// however the body is split, and nothing is buffered between objects. The zero value is ready for use.
type objectStream struct {
	line            []byte              // bytes of the unfinished line; nil: none
	lastTriedLength int                 // length of the unfinished line when it was last decoded
	decoder         *incrementalDecoder // decoder of an object that spans lines; nil: no such object is in progress
	text            []byte              // bytes of that object received so far
	entries         entryDecoder        // decoder of the entries of the object in progress
	multiline       bool                // the current line does not consist of a single object
	closed          bool
}

// Feed parses the next piece of the body. It calls onWhitespace for whitespace between objects, which is all that an idle watch
// sends, and onObject for each object, until the stream is closed or onObject returns an error. Its own errors match ErrInvalidList
// or httpresponse.ErrTooLong.
func (s *objectStream) Feed(data []byte, onWhitespace func(), onObject func(List) error) error {
	for !s.closed {
		if s.decoder == nil && s.line == nil {
			rest := s.skipWhitespace(data)
			if len(rest) < len(data) {
				onWhitespace()
			}
			data = rest
			if len(data) == 0 || s.closed {
				return nil
			}
			if data[0] != '{' {
				return invalidList.New(listPlace, "expected a JSON object, got %q", data[:min(len(data), maxQuotedBytes)])
			}
		}
		list, rest, err := s.readObject(data)
		if err != nil || list == nil {
			return err
		}
		if err := onObject(*list); err != nil {
			return err
		}
		data = rest
	}
	return nil
}

// skipWhitespace returns the piece without leading whitespace.
func (s *objectStream) skipWhitespace(data []byte) []byte {
	n := 0
	for n < len(data) && strings.IndexByte(whitespace, data[n]) >= 0 {
		s.multiline = s.multiline && data[n] != '\n'
		n++
	}
	return data[n:]
}

// readObject parses a piece of an object. It returns nil until the object is complete, and then the object and the rest of the
// piece.
func (s *objectStream) readObject(data []byte) (list *List, rest []byte, err error) {
	if s.decoder == nil && !s.multiline {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			list, err = s.extendLine(data)
			return list, nil, err
		}
		line := data[:end]
		if s.line != nil {
			line = append(s.line, line...)
		}
		if decoded, ok := s.decodeLine(line); ok {
			s.resetLine()
			return &decoded, data[end:], decoded.validate()
		}
		s.multiline = true
		if s.line != nil {
			data = append(line, data[end:]...)
		}
		s.resetLine()
	}
	return s.decodeObject(data)
}

// decodeLine decodes a line and reports whether it is a complete object.
func (s *objectStream) decodeLine(line []byte) (list List, ok bool) {
	if checkLength(line) != nil {
		return list, false
	}
	if s.line != nil { // the line arrived in pieces
		if list, ok = s.entries.list(line); ok {
			return list, true
		}
	}
	err := list.decode(line)
	return list, err == nil
}

// extendLine buffers a piece of an unfinished line. If the line is a complete object already, it returns the object, otherwise nil.
// It decodes the line again only when it has grown by retryLineFactor, so that the attempts read each byte at most twice on average.
func (s *objectStream) extendLine(data []byte) (*List, error) {
	s.line = append(s.line, data...)
	s.entries.advance(s.line)
	if list, ok := s.entries.list(s.line); ok && checkLength(s.line) == nil {
		s.resetLine()
		s.multiline = true
		return &list, list.validate()
	}
	if s.entries.stage == insideEntries {
		return nil, checkLength(s.line)
	}
	mayBeWhole := data[len(data)-1] == '}' && len(s.line) >= retryLineFactor*s.lastTriedLength && checkLength(s.line) == nil
	if mayBeWhole {
		s.lastTriedLength = len(s.line)
		if stdjson.Valid(s.line) {
			list, err := ParseList(s.line)
			s.resetLine()
			s.multiline = true
			return &list, err
		}
	}
	return nil, checkLength(s.line)
}

// decodeObject feeds the incremental decoder. Its results are those of readObject.
func (s *objectStream) decodeObject(data []byte) (*List, []byte, error) {
	if s.decoder == nil {
		s.decoder = newIncrementalDecoder()
		s.entries = entryDecoder{}
	}
	rest, whole, err := s.decoder.Feed(data)
	if err != nil {
		return nil, rest, err
	}
	if !whole {
		s.text = append(s.text, data...)
		s.entries.advance(s.text)
		return nil, rest, nil
	}
	list, err := s.parseWhole(s.decoder.object)
	s.decoder = nil
	s.text = nil
	s.entries = entryDecoder{}
	return &list, rest, err
}

// parseWhole parses the text of a complete object. It reuses the entries decoded from earlier pieces.
func (s *objectStream) parseWhole(text []byte) (List, error) {
	if list, ok := s.entries.list(text); ok {
		return list, list.validate()
	}
	return ParseList(text)
}

// resetLine discards the buffered line.
func (s *objectStream) resetLine() {
	s.line = nil
	s.lastTriedLength = 0
	s.entries = entryDecoder{}
}

// End handles the end of the response, which also ends the last line. It returns the object in that line; found reports whether
// there is one. Its errors match ErrInvalidList.
func (s *objectStream) End() (list List, found bool, err error) {
	if s.decoder != nil {
		return list, false, invalidList.New(listPlace, "the response ended before the end of its object")
	}
	if s.line == nil {
		return list, false, nil
	}
	list, err = s.parseWhole(s.line)
	return list, true, err
}

// Pending returns the number of received bytes of an incomplete object.
func (s *objectStream) Pending() int {
	if s.decoder != nil {
		return s.decoder.bytesRead
	}
	return len(s.line)
}

// Close ends the stream: Feed calls no callback any more, and the coroutine of the decoder ends.
func (s *objectStream) Close() {
	s.closed = true
	if s.decoder != nil {
		s.decoder.stop()
	}
}

// checkLength returns httpresponse.ErrTooLong if an object is too long.
func checkLength(text []byte) error {
	if len(text) > httpresponse.DefaultMaxBodyBytes {
		return httpresponse.ErrTooLong
	}
	return nil
}
