package sitelang

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/format"
)

// maxNumberBytes is the length of the longest JSON number that is converted. A longer one is kept in the field "extra".
const maxNumberBytes = 100

// errNotOneObject means that the text is null, or that more text follows its object.
var errNotOneObject = errors.New("not one JSON object")

// FromJSON converts the JSON form to formatted text in the site language. The field "extra" keeps members that the schema
// doesn't describe and values whose type differs from the schema's. FromJSON returns an error if the text is not exactly
// one JSON object; it does not check the values themselves.
func FromJSON(text []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var site jsonObject
	if err := decoder.Decode(&site); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if site == nil || decoder.More() {
		return nil, errNotOneObject
	}
	w := &cueWriter{site: site}
	w.writeRecord(siteRecord(), site, nil, 0)
	if rest := pruneEmpty(site); len(rest) > 0 {
		w.writeExtra(rest)
	}
	out, err := format.Source(w.buf.Bytes())
	if err != nil {
		return nil, fmt.Errorf("formatting the converted site: %w", err)
	}
	return out, nil
}

// cueWriter converts the JSON form to the site language. It removes each member that it has written from the JSON form.
type cueWriter struct {
	buf  bytes.Buffer
	site jsonObject // the whole JSON form, since parallel lists are outside the records that they belong to
}

// parallelLists maps the names of fields with layoutParallel to their lists in the JSON form.
type parallelLists map[string][]any

// writeRecord writes the fields of a record and removes them from object, except for values that are not of the schema's
// type. index is the record's position in its list, and selects the elements of parallels.
func (w *cueWriter) writeRecord(r *record, object jsonObject, parallels parallelLists, index int) {
	for _, f := range r.fields {
		switch {
		case f.name == fieldInclude || f.layout == layoutMerged: // the JSON form has no member for either
		case f.layout == layoutParallel:
			w.writeParallel(f, parallels[f.name], index)
		case f.isInlineRecord():
			w.writeInlineRecord(f, object)
		default:
			value, ok := removePath(object, f.jsonPath)
			if !ok {
				continue
			}
			original := deepCopy(value)
			if !w.writeField(f, value) {
				setPath(object, f.jsonPath, original)
			}
		}
	}
}

// writeParallel writes the value at index in a parallel list, if there is one.
func (w *cueWriter) writeParallel(f *field, list []any, index int) {
	if index >= len(list) {
		return
	}
	if text, ok := formatScalar(f, f.valueType, list[index]); ok {
		fmt.Fprintf(&w.buf, "%s: %s\n", f.name, text)
	}
}

// writeInlineRecord writes a record whose fields are members of its parent in the JSON form. It omits an empty record.
func (w *cueWriter) writeInlineRecord(f *field, object jsonObject) {
	start := w.buf.Len()
	fmt.Fprintf(&w.buf, "%s: {\n", f.name)
	bodyStart := w.buf.Len()
	w.writeRecord(f.valueType.record, object, nil, 0)
	if w.buf.Len() == bodyStart {
		w.buf.Truncate(start)
		return
	}
	w.buf.WriteString("}\n")
}

// writeField writes one field. It returns false and writes nothing if the value is not of the schema's type.
func (w *cueWriter) writeField(f *field, value any) bool {
	start := w.buf.Len()
	fmt.Fprintf(&w.buf, "%s: ", f.name)
	if !w.writeValue(f, f.valueType, value) {
		w.buf.Truncate(start)
		return false
	}
	w.buf.WriteString("\n")
	return true
}

// writeValue writes a value of type t. f is the field that holds the value, directly or in a list or map. If the value is
// not of the type, writeValue returns false, and the caller must discard what it has written.
func (w *cueWriter) writeValue(f *field, t *fieldType, value any) bool {
	switch t.kind {
	case kindRecord:
		object, ok := value.(jsonObject)
		if !ok {
			return false
		}
		w.buf.WriteString("{\n")
		w.writeRecord(t.record, object, nil, 0)
		if !w.writeUnknownMembers(t.record, object) {
			return false
		}
		w.buf.WriteString("}")
		return true
	case kindList:
		return w.writeList(f, t, value)
	case kindMap:
		return w.writeEntries(f, t, value)
	}
	text, ok := formatScalar(f, t, value)
	w.buf.WriteString(text)
	return ok
}

// writeList writes a list. It returns false if the value is not of the schema's type.
func (w *cueWriter) writeList(f *field, t *fieldType, value any) bool {
	list, ok := value.([]any)
	if !ok {
		return false
	}
	w.buf.WriteString("[")
	for i, element := range list {
		if i > 0 {
			w.buf.WriteString(", ")
		}
		if !w.writeValue(f, t.element, element) {
			return false
		}
	}
	w.buf.WriteString("]")
	return true
}

// writeUnknownMembers writes the members that remain in an object after conversion. It returns false if there are any and
// the record has no field "extra" for them.
func (w *cueWriter) writeUnknownMembers(r *record, object jsonObject) bool {
	rest := pruneEmpty(object)
	if len(rest) == 0 {
		return true
	}
	if r.byName[fieldExtra] == nil {
		return false
	}
	w.writeExtra(rest)
	return true
}

// writeExtra writes the field "extra", which holds members that the schema doesn't describe.
func (w *cueWriter) writeExtra(rest jsonObject) {
	text, _ := json.Marshal(rest) // decoded JSON always encodes
	fmt.Fprintf(&w.buf, "%s: %s\n", fieldExtra, text)
}

// formatScalar returns the text of a value that is neither record nor list; false if it is not of the schema's type. f is the
// field that holds the value, directly or in a list or map.
func formatScalar(f *field, t *fieldType, value any) (string, bool) {
	switch value := value.(type) {
	case json.Number:
		return formatNumber(f, t, string(value))
	case bool:
		return strconv.FormatBool(value), t.kind == kindBool
	case string:
		valid := t.kind == kindString || t.kind == kindAddress || t.kind == kindEnum && slices.Contains(t.values, value)
		return quoteString(value), valid
	}
	return "", false
}

// formatNumber returns the text of a number or a quantity; false if the language cannot express it exactly.
func formatNumber(f *field, t *fieldType, digits string) (string, bool) {
	number, ok := new(big.Rat).SetString(digits)
	if !ok || len(digits) > maxNumberBytes {
		return "", false
	}
	switch t.kind {
	case kindInt:
		return formatDecimal(number), number.IsInt()
	case kindNumber:
		_, exact := number.FloatPrec()
		return formatDecimal(number), exact
	case kindQuantity:
		value := new(big.Rat).Mul(number, f.unit.factor)
		text := t.quantity.format(value)
		exact := !f.unit.isInteger || number.IsInt()
		return strconv.Quote(text), exact && value.Sign() >= 0 && quantityPattern.MatchString(text)
	}
	return "", false
}

// fieldLabel returns a name as a CUE label, quoted if CUE requires quotes.
func fieldLabel(name string) string {
	if ast.IsValidIdent(name) && !isHiddenOrDefinition(name) {
		return name
	}
	return quoteString(name)
}

// quoteString returns a string literal that CUE reads back as the same text.
func quoteString(text string) string {
	var out strings.Builder
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false) // escaping would make "<" unreadable
	_ = encoder.Encode(text)     // a string always encodes
	return strings.TrimSuffix(out.String(), "\n")
}
