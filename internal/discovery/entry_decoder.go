package discovery

import (
	"bytes"
	"slices"
)

// entryDecoder decodes the entries of a list as its bytes arrive, so that the work for a large list is spread over the turns of the
// loop in which it is read. It supports the form that discovery writes, {"generation":N,"reset":B,"instances":[...]}, with any
// whitespace and with the short members in any position. It stops at any other form; the caller then decodes the whole object at
// once, which also finds errors. The zero value is ready for use.
type entryDecoder struct {
	nextByte     int // offset of the next byte to decode
	stage        decodeStage
	headerLength int     // number of bytes before the instances member
	entries      []Entry // decoded so far
}

// decodeStage is the progress of an entryDecoder.
type decodeStage int

const (
	beforeEntries decodeStage = iota
	insideEntries
	afterEntries    // the object is complete
	unsupportedForm // the whole object must be decoded at once
)

// instancesMember is the key of the entries.
var instancesMember = []byte(`"instances"`)

const (
	// maxHeaderBytes bounds the bytes before the instances member; an object with a longer header has an unsupported form.
	maxHeaderBytes = 256
	// maxEntryBytes bounds an entry whose end has not arrived, so that each byte is scanned a bounded number of times.
	maxEntryBytes = 4096
)

// advance decodes the entries that are complete in text, the bytes of the object received so far.
func (d *entryDecoder) advance(text []byte) {
	if d.stage == beforeEntries {
		d.readHeader(text)
	}
	for d.stage == insideEntries {
		end := entryEnd(text[d.nextByte:])
		if end == 0 {
			if len(text)-d.nextByte > maxEntryBytes {
				d.stage = unsupportedForm
			}
			return
		}
		d.readEntry(text[d.nextByte : d.nextByte+end])
		d.nextByte += end
	}
}

// list decodes the rest of text, the whole object, and returns the list. It returns false if the object has an unsupported form.
func (d *entryDecoder) list(text []byte) (List, bool) {
	d.advance(text)
	if d.stage != insideEntries || len(d.entries) == 0 {
		return List{}, false
	}
	rest := bytes.TrimLeft(text[d.nextByte:], whitespace)
	if len(rest) == 0 || rest[0] != ']' || len(rest) > maxHeaderBytes {
		return List{}, false
	}
	// The object without its entries is short and has an empty list of instances.
	var list List
	if mayNameInstances(rest) || list.decode(slices.Concat(text[:d.headerLength], instancesMember, []byte(":["), rest)) != nil {
		return List{}, false
	}
	d.stage = afterEntries
	list.Instances = d.entries
	return list, true
}

// readHeader checks the bytes before the entries.
func (d *entryDecoder) readHeader(text []byte) {
	start := bytes.Index(text[:min(len(text), maxHeaderBytes)], instancesMember)
	if start < 0 {
		if len(text) >= maxHeaderBytes {
			d.stage = unsupportedForm
		}
		return
	}
	rest := text[start+len(instancesMember):]
	open := bytes.IndexByte(rest, '[')
	if open < 0 {
		return // the bracket may arrive later; if it does not, the whole object is decoded at once
	}
	if string(bytes.TrimSpace(rest[:open])) != ":" {
		d.stage = unsupportedForm
		return
	}
	// The header plus an empty list must be an object. It is none if, for example, the key was found inside a string.
	var header List
	if mayNameInstances(text[:start]) || header.decode(slices.Concat(text[:start], instancesMember, []byte(":[]}"))) != nil {
		d.stage = unsupportedForm
		return
	}
	d.stage = insideEntries
	d.headerLength = start
	d.nextByte = start + len(instancesMember) + open + 1
}

// mayNameInstances reports whether text may contain the instances key once more, in any letter case or with escapes. An object with
// such a duplicate key has an unsupported form.
func mayNameInstances(text []byte) bool {
	return bytes.Contains(bytes.ToLower(text), []byte("instances")) || bytes.IndexByte(text, '\\') >= 0
}

// readEntry decodes an entry, including the whitespace and the comma before it.
func (d *entryDecoder) readEntry(text []byte) {
	text = bytes.TrimLeft(text, whitespace)
	if len(d.entries) > 0 {
		if text[0] != ',' {
			d.stage = unsupportedForm
			return
		}
		text = bytes.TrimLeft(text[1:], whitespace)
	}
	var entry Entry
	if text[0] != '{' || bytes.IndexByte(text, 0) >= 0 || json.Unmarshal(text, &entry) != nil {
		d.stage = unsupportedForm
		return
	}
	d.entries = append(d.entries, entry)
}

// entryEnd returns the offset after the closing brace of the first entry in text, or 0 if the brace has not arrived. It does not
// support nested objects: an entry that contains one is cut too early and fails to decode.
func entryEnd(text []byte) int {
	inString := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case !inString && c == ']':
			return 0 // end of the array of entries
		case !inString && c == '}':
			return i + 1
		}
	}
	return 0
}
