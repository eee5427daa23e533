package discovery

import (
	"bytes"
	stdjson "encoding/json"
	"strings"

	"example.org/micafront/internal/httpresponse"
)

const (
	whitespace      = " \t\r\n"
	maxQuotedBytes  = 16 // how much of what is no object an error quotes
	retryLineFactor = 2  // a line without an end is tried again once it has grown by this factor
)

// objectStream finds the JSON objects in a response's body, however they are indented and cut into pieces. Discovery writes an
// object a line, so a line is tried as an object first. Where that fails its bytes go to the standard library's decoder, which
// finds the object's end, or the first byte that cannot be right. Each byte is looked at a bounded number of times whatever the
// pieces, and nothing is buffered between objects. The zero value is ready for use.
type objectStream struct {
	line        []byte              // of a line that has not ended
	triedLength int                 // of the line when it was last tried
	decoder     *incrementalDecoder // of an object that is not one line; nil: none is under way
	text        []byte              // of that object so far
	entries     entryDecoder        // of the object that is under way
	multiline   bool                // the current line is not one object
	closed      bool
}

// Feed parses the next piece of the body. It calls onWhitespace where there is any between objects, which is what an idle watch
// brings, and onObject for each object, until the stream is closed or onObject returns an error. Its own errors are ErrInvalidList and
// httpresponse.ErrTooLong.
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
				return invalidList.New(listPlace, "no object begins with %q", data[:min(len(data), maxQuotedBytes)])
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

// skipWhitespace returns what follows the whitespace at the start of a piece.
func (s *objectStream) skipWhitespace(data []byte) []byte {
	n := 0
	for n < len(data) && strings.IndexByte(whitespace, data[n]) >= 0 {
		s.multiline = s.multiline && data[n] != '\n'
		n++
	}
	return data[n:]
}

// readObject parses a piece of an object. It returns nil until the object is whole, and then the object and the part of the piece
// that follows it.
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

// decodeLine decodes a line that is a whole object; false where it is none.
func (s *objectStream) decodeLine(line []byte) (list List, ok bool) {
	if checkLength(line) != nil {
		return list, false
	}
	if s.line != nil { // it came in pieces
		if list, ok = s.entries.list(line); ok {
			return list, true
		}
	}
	err := list.decode(line)
	return list, err == nil
}

// extendLine keeps a piece of a line that has not ended. The line may be a whole object all the same, which it returns then; else
// nil. It is tried once it has grown by retryLineFactor, so that each of its bytes is read twice at most for that.
func (s *objectStream) extendLine(data []byte) (*List, error) {
	s.line = append(s.line, data...)
	s.entries.advance(s.line)
	if list, ok := s.entries.list(s.line); ok && checkLength(s.line) == nil {
		s.resetLine()
		s.multiline = true
		return &list, list.validate()
	}
	if s.entries.stage == amongEntries {
		return nil, checkLength(s.line)
	}
	mayBeWhole := data[len(data)-1] == '}' && len(s.line) >= retryLineFactor*s.triedLength && checkLength(s.line) == nil
	if mayBeWhole {
		s.triedLength = len(s.line)
		if stdjson.Valid(s.line) {
			list, err := ParseList(s.line)
			s.resetLine()
			s.multiline = true
			return &list, err
		}
	}
	return nil, checkLength(s.line)
}

// decodeObject feeds the incremental decoder. It returns what readObject does.
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

// parseWhole parses the text of an object whose entries have been decoded as far as they came in earlier pieces.
func (s *objectStream) parseWhole(text []byte) (List, error) {
	if list, ok := s.entries.list(text); ok {
		return list, list.validate()
	}
	return ParseList(text)
}

// resetLine forgets the line that was kept.
func (s *objectStream) resetLine() {
	s.line = nil
	s.triedLength = 0
	s.entries = entryDecoder{}
}

// End is called at the end of the response, which ends a line too. It returns the object in that line; found is false where there
// is none. Its errors are ErrInvalidList.
func (s *objectStream) End() (list List, found bool, err error) {
	if s.decoder != nil {
		return list, false, invalidList.New(listPlace, "the response ended before its object did")
	}
	if s.line == nil {
		return list, false, nil
	}
	list, err = s.parseWhole(s.line)
	return list, true, err
}

// Pending returns how many bytes of an object that is not whole have come.
func (s *objectStream) Pending() int {
	if s.decoder != nil {
		return s.decoder.bytes
	}
	return len(s.line)
}

// Close ends the stream: nothing more is passed on, and the decoder's coroutine ends.
func (s *objectStream) Close() {
	s.closed = true
	if s.decoder != nil {
		s.decoder.stop()
	}
}

// checkLength fails with httpresponse.ErrTooLong where an object is too long.
func checkLength(text []byte) error {
	if len(text) > httpresponse.DefaultMaxBodyBytes {
		return httpresponse.ErrTooLong
	}
	return nil
}
