package discovery

import (
	"bytes"
	"slices"
)

// entryDecoder decodes the entries of a list's object while its bytes come, so that the work of a large list is spread over the
// turns in which it is read. It knows the form that discovery writes, {"generation":N,"reset":B,"instances":[...]} with any white
// space and its short members in any place, and gives up at any other: the whole object is then decoded at once, which also finds
// what is wrong with it. The zero value is ready for use.
type entryDecoder struct {
	position int // of the next byte that is not decoded
	stage    decodeStage
	header   int     // how many bytes precede the member of entries
	entries  []Entry // decoded so far
}

// decodeStage is how far an entryDecoder has come.
type decodeStage int

const (
	beforeEntries decodeStage = iota
	amongEntries
	afterEntries // the object is whole
	givenUp
)

// instancesMember begins the member with the entries, which is the last one.
var instancesMember = []byte(`"instances"`)

const (
	// maxHeaderBytes is from how many bytes on an object without the member of entries is taken to be of another form.
	maxHeaderBytes = 256
	// maxEntryBytes is the same for an entry without its end, so that bytes are looked at a bounded number of times.
	maxEntryBytes = 4096
)

// advance decodes the entries that are whole in text, the object's bytes so far.
func (d *entryDecoder) advance(text []byte) {
	if d.stage == beforeEntries {
		d.readHeader(text)
	}
	for d.stage == amongEntries {
		end := entryEnd(text[d.position:])
		if end == 0 {
			if len(text)-d.position > maxEntryBytes {
				d.stage = givenUp
			}
			return
		}
		d.readEntry(text[d.position : d.position+end])
		d.position += end
	}
}

// list returns the list once text, the whole object, has been decoded; false where it has to be decoded in another way.
func (d *entryDecoder) list(text []byte) (List, bool) {
	d.advance(text)
	if d.stage != amongEntries || len(d.entries) == 0 {
		return List{}, false
	}
	rest := bytes.TrimLeft(text[d.position:], whitespace)
	if len(rest) == 0 || rest[0] != ']' || len(rest) > maxHeaderBytes {
		return List{}, false
	}
	// What is left is a short object with an empty list.
	var list List
	if namesEntries(rest) || list.decode(slices.Concat(text[:d.header], instancesMember, []byte(":["), rest)) != nil {
		return List{}, false
	}
	d.stage = afterEntries
	list.Instances = d.entries
	return list, true
}

// readHeader decodes what precedes the entries.
func (d *entryDecoder) readHeader(text []byte) {
	start := bytes.Index(text[:min(len(text), maxHeaderBytes)], instancesMember)
	if start < 0 {
		if len(text) >= maxHeaderBytes {
			d.stage = givenUp
		}
		return
	}
	rest := text[start+len(instancesMember):]
	open := bytes.IndexByte(rest, '[')
	if open < 0 {
		return // it may come yet; the whole object is decoded where it does not
	}
	if string(bytes.TrimSpace(rest[:open])) != ":" {
		d.stage = givenUp
		return
	}
	// A header that is no object with an empty list at its end is of another form, such as one with the member in a string.
	var header List
	if namesEntries(text[:start]) || header.decode(slices.Concat(text[:start], instancesMember, []byte(":[]}"))) != nil {
		d.stage = givenUp
		return
	}
	d.stage = amongEntries
	d.header = start
	d.position = start + len(instancesMember) + open + 1
}

// namesEntries reports whether a text may name the entries again, in any case of letters or by escapes: such an object is of another
// form.
func namesEntries(text []byte) bool {
	return bytes.Contains(bytes.ToLower(text), []byte("instances")) || bytes.IndexByte(text, '\\') >= 0
}

// readEntry decodes an entry with what precedes it.
func (d *entryDecoder) readEntry(text []byte) {
	text = bytes.TrimLeft(text, whitespace)
	if len(d.entries) > 0 {
		if text[0] != ',' {
			d.stage = givenUp
			return
		}
		text = bytes.TrimLeft(text[1:], whitespace)
	}
	var entry Entry
	if text[0] != '{' || bytes.IndexByte(text, 0) >= 0 || json.Unmarshal(text, &entry) != nil {
		d.stage = givenUp
		return
	}
	d.entries = append(d.entries, entry)
}

// entryEnd returns where the first entry of text ends, behind its closing brace; 0 where that has not come. An entry has no nested
// objects in the form that is known: one that does ends too early here, and does not decode.
func entryEnd(text []byte) int {
	inString := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case !inString && c == ']':
			return 0 // the end of the entries
		case !inString && c == '}':
			return i + 1
		}
	}
	return 0
}
