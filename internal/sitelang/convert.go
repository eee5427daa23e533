package sitelang

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/big"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/format"
)

// The JSON form is what a proxy reads. Whatever of it this language has no word for is kept under extra, so that both
// ways lose nothing.

// object is a JSON object.
type object = map[string]any

// put sets a value at a path, making the objects on the way.
func put(o object, path []string, v any) {
	for _, name := range path[:len(path)-1] {
		next, ok := o[name].(object)
		if !ok {
			next = object{}
			o[name] = next
		}
		o = next
	}
	o[path[len(path)-1]] = v
}

// take removes and gives the value at a path.
func take(o object, path []string) (any, bool) {
	for _, name := range path[:len(path)-1] {
		next, ok := o[name].(object)
		if !ok {
			return nil, false
		}
		o = next
	}
	last := path[len(path)-1]
	v, ok := o[last]
	delete(o, last)
	return v, ok
}

// encoder makes the JSON form of a tree that has been checked.
type encoder struct{ root object }

func (e *encoder) record(r *record, n *node, into object, place int) {
	for _, m := range n.members {
		f := r.byName[m.name]
		if f == nil || f.name == "include" {
			continue
		}
		switch {
		case f.opts["extra"] != "":
			merge(into, free(m.node).(object))
		case f.opts["parallel"] != "":
			e.parallel(f, m.node, place)
		case f.typ.kind == kindRecord && f.json == nil:
			e.record(f.typ.record, m.node, into, 0)
		case f.typ.kind == kindRecord:
			// Something may lie there already, put beside by another record.
			under, v := object{}, e.value(f, f.typ, m.node)
			put(under, f.json, v)
			merge(into, under)
		default:
			put(into, f.json, e.value(f, f.typ, m.node))
		}
	}
}

// parallel puts a value into a list that lies beside the list of its records; those before it that have none get 0,
// which means that it is not known.
func (e *encoder) parallel(f *field, n *node, place int) {
	v, _ := take(e.root, f.json)
	list, _ := v.([]any)
	for len(list) <= place {
		list = append(list, json.Number("0"))
	}
	list[place] = e.value(f, f.typ, n)
	put(e.root, f.json, list)
}

func (e *encoder) value(f *field, t *typ, n *node) any {
	switch t.kind {
	case kindQuantity:
		r, _ := t.quantity.parse(n.text)
		if r == nil {
			return json.Number("0")
		}
		r = new(big.Rat).Quo(r, scales[f.scale])
		if f.scale == "us" || f.scale == "ppm" || f.scale == "ms" {
			r = round(r)
		}
		return json.Number(decimal(r))
	case kindInt, kindNumber:
		return json.Number(n.text)
	case kindBool:
		return n.text == "true"
	case kindList:
		out := []any{}
		for _, x := range n.elems {
			out = append(out, e.value(f, t.elem, x))
		}
		return out
	case kindRecord:
		out := object{}
		if only := t.record.fields[0]; len(t.record.fields) == 1 && only.json == nil && only.typ.kind != kindRecord {
			return e.value(only, only.typ, n.member(only.name))
		}
		e.record(t.record, n, out, 0)
		return out
	case kindMap:
		return e.entries(f, t, n)
	case kindFree:
		return free(n)
	}
	return n.text
}

// entries makes a list or an object of a map, as the schema says.
func (e *encoder) entries(f *field, t *typ, n *node) any {
	if f.opts["map"] != "" {
		out := object{}
		for _, m := range n.members {
			out[m.name] = e.value(f, t.elem, m.node)
		}
		return out
	}
	out := []any{}
	for i, m := range n.members {
		if pair := f.opts["pairs"]; pair != "" {
			key, value, _ := strings.Cut(pair, ":")
			out = append(out, object{key: m.name, value: e.value(&field{scale: value}, t.elem, m.node)})
			continue
		}
		o := object{f.opts["list"]: m.name}
		e.record(t.elem.record, m.node, o, i)
		out = append(out, o)
	}
	return out
}

func round(r *big.Rat) *big.Rat {
	if r.IsInt() {
		return r
	}
	n := new(big.Int).Add(new(big.Int).Mul(r.Num(), big.NewInt(2)), r.Denom())
	return new(big.Rat).SetInt(n.Quo(n, new(big.Int).Mul(r.Denom(), big.NewInt(2))))
}

// free makes JSON of a value that no schema binds.
func free(n *node) any {
	switch n.form {
	case isStruct:
		out := object{}
		for _, m := range n.members {
			out[m.name] = free(m.node)
		}
		return out
	case isList:
		out := []any{}
		for _, x := range n.elems {
			out = append(out, free(x))
		}
		return out
	case isNumber:
		return json.Number(n.text)
	case isBool:
		return n.text == "true"
	case isString:
		return n.text
	}
	return nil
}

// merge brings the members of from into o.
func merge(o, from object) {
	for name, v := range from {
		a, oneIs := o[name].(object)
		b, otherIs := v.(object)
		if oneIs && otherIs {
			merge(a, b)
		} else {
			o[name] = v
		}
	}
}

// encode makes the JSON form of a whole site.
func encode(site *node) object {
	e := &encoder{object{}}
	e.record(root(), site, e.root, 0)
	return e.root
}

// FromJSON turns the JSON form into the site language.
func FromJSON(text []byte) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var o object
	if err := d.Decode(&o); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if o == nil || d.More() {
		return nil, fmt.Errorf("not one JSON object")
	}
	w := &writer{roots: o}
	w.record(root(), o, nil, 0)
	if rest := prune(o); len(rest) > 0 {
		w.extra(rest)
	}
	out, err := format.Source(w.buf.Bytes())
	if err != nil {
		return nil, fmt.Errorf("formatting: %w", err)
	}
	return out, nil
}

// writer writes the site language, taking out of the JSON what it has written.
type writer struct {
	buf   bytes.Buffer
	roots object
}

func label(name string) string {
	if ast.IsValidIdent(name) && !strings.HasPrefix(name, "_") && !strings.HasPrefix(name, "#") {
		return name
	}
	return quote(name)
}

// quote writes a text so that CUE reads it back.
func quote(text string) string {
	out, _ := json.Marshal(text)
	return strings.NewReplacer(`\u003c`, "<", `\u003e`, ">", `\u0026`, "&").Replace(string(out))
}

func (w *writer) record(r *record, o object, parallels map[string]any, place int) {
	for _, f := range r.fields {
		if f.name == "include" || f.opts["extra"] != "" {
			continue
		}
		if f.opts["parallel"] != "" {
			if list, ok := parallels[f.name].([]any); ok && place < len(list) {
				if text, ok := w.scalar(f, f.typ, list[place]); ok {
					fmt.Fprintf(&w.buf, "%s: %s\n", f.name, text)
				}
			}
			continue
		}
		if f.typ.kind == kindRecord && f.json == nil {
			at := w.buf.Len()
			fmt.Fprintf(&w.buf, "%s: {\n", f.name)
			empty := w.buf.Len()
			w.record(f.typ.record, o, nil, 0)
			if w.buf.Len() == empty {
				w.buf.Truncate(at)
				continue
			}
			w.buf.WriteString("}\n")
			continue
		}
		v, ok := take(o, f.json)
		if !ok {
			continue
		}
		if kept := deepCopy(v); !w.field(f, v) {
			put(o, f.json, kept) // not of the schema's kind: kept as it is
		}
	}
}

func deepCopy(v any) any {
	switch v := v.(type) {
	case object:
		out := make(object, len(v))
		for name, x := range v {
			out[name] = deepCopy(x)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i, x := range v {
			out[i] = deepCopy(x)
		}
		return out
	}
	return v
}

// field writes one field; not ok, and nothing written, where its value is not of the schema's kind.
func (w *writer) field(f *field, v any) bool {
	at := w.buf.Len()
	ok := w.value(f, f.typ, v)
	if !ok {
		w.buf.Truncate(at)
		return false
	}
	text := strings.Clone(string(w.buf.Bytes()[at:]))
	w.buf.Truncate(at)
	fmt.Fprintf(&w.buf, "%s: %s\n", f.name, text)
	return true
}

func (w *writer) value(f *field, t *typ, v any) bool {
	switch t.kind {
	case kindRecord:
		o, ok := v.(object)
		if !ok {
			return false
		}
		w.buf.WriteString("{\n")
		w.record(t.record, o, nil, 0)
		if !w.rest(t.record, o) {
			return false
		}
		w.buf.WriteString("}")
		return true
	case kindList:
		list, ok := v.([]any)
		if !ok {
			return false
		}
		w.buf.WriteString("[")
		for i, x := range list {
			if i > 0 {
				w.buf.WriteString(", ")
			}
			if !w.value(f, t.elem, x) {
				return false
			}
		}
		w.buf.WriteString("]")
		return true
	case kindMap:
		return w.entries(f, t, v)
	}
	text, ok := w.scalar(f, t, v)
	w.buf.WriteString(text)
	return ok
}

// rest writes what a record has beyond the schema; not ok where the schema has no place for that.
func (w *writer) rest(r *record, o object) bool {
	rest := prune(o)
	if len(rest) == 0 {
		return true
	}
	if r.byName["extra"] == nil {
		return false
	}
	w.extra(rest)
	return true
}

func (w *writer) extra(rest object) {
	text, _ := json.Marshal(rest)
	fmt.Fprintf(&w.buf, "extra: %s\n", text)
}

func (w *writer) scalar(f *field, t *typ, v any) (string, bool) {
	switch v := v.(type) {
	case json.Number:
		r, ok := new(big.Rat).SetString(string(v))
		if !ok || len(v) > 100 {
			return "", false
		}
		switch t.kind {
		case kindInt:
			return decimal(r), r.IsInt()
		case kindNumber:
			_, exact := r.FloatPrec()
			return decimal(r), exact
		case kindQuantity:
			r = new(big.Rat).Mul(r, scales[f.scale])
			return strconv.Quote(t.quantity.text(r)), r.Sign() >= 0 && figure.MatchString(t.quantity.text(r)) && (f.scale != "us" && f.scale != "ppm" && f.scale != "ms" || rat(string(v)).IsInt())
		}
	case bool:
		return strconv.FormatBool(v), t.kind == kindBool
	case string:
		return quote(v), t.kind == kindString || t.kind == kindAddress || t.kind == kindEnum && slices.Contains(t.values, v)
	}
	return "", false
}

// entries writes a map from the list or the object that the schema says it is.
func (w *writer) entries(f *field, t *typ, v any) (ok bool) {
	if f.opts["map"] != "" {
		o, ok := v.(object)
		if !ok {
			return false
		}
		w.buf.WriteString("{\n")
		for _, name := range slices.Sorted(maps.Keys(o)) {
			only := t.elem.record.fields[0]
			wraps := len(t.elem.record.fields) == 1 && only.json == nil
			fmt.Fprintf(&w.buf, "%s: ", quote(name))
			if wraps {
				text, ok := w.scalar(only, only.typ, o[name])
				if !ok {
					return false
				}
				fmt.Fprintf(&w.buf, "{%s: %s}\n", only.name, text)
				continue
			}
			if !w.value(f, t.elem, o[name]) {
				return false
			}
			w.buf.WriteString("\n")
		}
		w.buf.WriteString("}")
		return true
	}
	list, ok := v.([]any)
	if !ok {
		return false
	}
	key, value, pairs := strings.Cut(f.opts["pairs"], ":")
	if !pairs {
		key = f.opts["list"]
	}
	ok = false
	seen := map[string]bool{}
	for _, x := range list {
		o, _ := x.(object)
		name, _ := o[key].(string)
		if name == "" || seen[name] || pairs && len(o) != 2 {
			return false
		}
		seen[name] = true
	}
	parallels := w.parallels(t, len(list))
	defer func() {
		for name, list := range parallels {
			if !ok {
				put(w.roots, t.elem.record.byName[name].json, list)
			}
		}
	}()
	w.buf.WriteString("{\n")
	for i, x := range list {
		o := x.(object)
		name := o[key].(string)
		if pairs {
			text, ok := w.scalar(&field{scale: value}, t.elem, o[value])
			if !ok {
				return false
			}
			fmt.Fprintf(&w.buf, "%s: %s\n", label(name), text)
			continue
		}
		o = maps.Clone(o)
		delete(o, key)
		fmt.Fprintf(&w.buf, "%s: {\n", label(name))
		w.record(t.elem.record, o, parallels, i)
		if !w.rest(t.elem.record, o) {
			return false
		}
		w.buf.WriteString("}\n")
	}
	w.buf.WriteString("}")
	return true
}

// parallels takes out the lists that lie beside a list of records, where they fit it.
func (w *writer) parallels(t *typ, n int) map[string]any {
	out := map[string]any{}
	if t.elem.kind != kindRecord {
		return out
	}
	for _, f := range t.elem.record.fields {
		if f.opts["parallel"] == "" {
			continue
		}
		v, ok := take(w.roots, f.json)
		if !ok {
			continue
		}
		list, isList := v.([]any)
		fits := isList && len(list) <= n && len(list) > 0
		for _, x := range list {
			_, ok := w.scalar(f, f.typ, x)
			fits = fits && ok
		}
		if !fits {
			put(w.roots, f.json, v)
			continue
		}
		out[f.name] = list
	}
	return out
}

// prune leaves out objects that hold nothing any more.
func prune(o object) object {
	out := object{}
	for name, v := range o {
		if inner, ok := v.(object); ok && len(inner) > 0 {
			if inner = prune(inner); len(inner) == 0 {
				continue
			}
			v = inner
		}
		if inner, ok := v.(object); ok && len(inner) == 0 && emptied[name] {
			continue
		}
		out[name] = v
	}
	return out
}

// emptied are the objects of the JSON form that this language divides among its records.
var emptied = map[string]bool{"settings": true, "limits": true, "routing": true}
