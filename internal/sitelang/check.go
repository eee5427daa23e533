package sitelang

import (
	"fmt"
	"math/big"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/token"
)

// checker holds a tree of values against the schema.
type checker struct {
	*set
	bad map[*node]bool // booked already, and so all that contain them
}

func (c *checker) fault(n *node, cure, form string, args ...any) {
	c.bad[n] = true
	c.find(n.pos, "", Error, fmt.Sprintf(form, args...), cure)
}

func join(path, name string) string {
	if !ast.IsValidIdent(name) {
		name = strconv.Quote(name)
	}
	return strings.TrimPrefix(path+"."+name, ".")
}

// record checks a record's fields; it reports whether all is well with it.
func (c *checker) record(r *record, n *node, path string, at token.Pos) bool {
	ok := true
	var names []string
	for _, f := range r.fields {
		names = append(names, f.name)
	}
	for _, m := range n.members {
		f := r.byName[m.name]
		if f == nil {
			c.find(m.pos, "", Error, fmt.Sprintf("%s has no field %q", named(r, path), m.name), meant(m.name, names))
			ok = false
			continue
		}
		if !c.value(f, f.typ, m.node, join(path, m.name), m.pos) {
			ok = false
		}
	}
	for _, f := range r.fields {
		if !f.optional && n.member(f.name) == nil {
			c.find(at, c.first(), Error, fmt.Sprintf("%s has no %s", named(r, path), f.name), "add it: "+f.kindWords())
			ok = false
		}
	}
	if !ok {
		c.bad[n] = true
	}
	return ok
}

func (c *checker) first() string {
	if len(c.sources) > 0 {
		return c.sources[0].name
	}
	return ""
}

func named(r *record, path string) string {
	if path == "" {
		return "a site"
	}
	return path
}

// kindWords says what a field wants.
func (f *field) kindWords() string {
	out := f.typ.words()
	if f.rangeText != "" {
		out += ", from " + f.rangeText
	}
	return out
}

func (t *typ) words() string {
	switch t.kind {
	case kindString:
		return "a text"
	case kindAddress:
		return `an address such as "127.0.0.1:8081"`
	case kindEnum:
		return "one of " + oneOf(t.values)
	case kindInt:
		return "a whole number"
	case kindNumber:
		return "a number"
	case kindBool:
		return "true or false"
	case kindQuantity:
		return fmt.Sprintf("%s such as %q", t.quantity.what, t.quantity.example)
	case kindList:
		return "a list"
	}
	return "a record"
}

// forms are the values that a kind takes.
var forms = map[kind]form{kindString: isString, kindAddress: isString, kindEnum: isString, kindInt: isNumber,
	kindNumber: isNumber, kindBool: isBool, kindQuantity: isString, kindList: isList, kindMap: isStruct,
	kindRecord: isStruct, kindFree: isStruct}

// value checks one value; it reports whether all is well with it.
func (c *checker) value(f *field, t *typ, n *node, path string, at token.Pos) bool {
	if n.form == isBroken {
		c.bad[n] = true
		return false
	}
	if t.kind == kindQuantity && n.form == isNumber {
		c.fault(n, "", "%s: %s", path, t.quantity.unitless(n.text))
		return false
	}
	if n.form != forms[t.kind] {
		c.fault(n, "", "%s is %s, and should be %s", path, n.words(), t.words())
		return false
	}
	ok := true
	switch t.kind {
	case kindRecord:
		return c.record(t.record, n, path, at)
	case kindMap:
		if len(n.members) == 0 && !f.optional {
			c.fault(n, "", "%s is empty", path)
			return false
		}
		for _, m := range n.members {
			if m.name == "" {
				c.find(m.pos, "", Error, path+" has an entry without a name", "")
				ok = false
			}
			ok = c.value(f, t.elem, m.node, join(path, m.name), m.pos) && ok
		}
	case kindList:
		if len(n.elems) == 0 && f.name != "instances" && f.name != "was" && f.name != "fallback" {
			c.fault(n, "leave it out where everything is meant", "%s is an empty list, which nothing satisfies", path)
			return false
		}
		for i, e := range n.elems {
			ok = c.value(f, t.elem, e, fmt.Sprintf("%s[%d]", path, i), e.pos) && ok
		}
	case kindQuantity:
		r, fault := t.quantity.parse(n.text)
		if fault != "" {
			c.fault(n, "", "%s: %s", path, fault)
			return false
		}
		ok = c.inRange(f, r, strconv.Quote(n.text), n, path)
	case kindInt, kindNumber:
		r, valid := new(big.Rat).SetString(n.text)
		if !valid || t.kind == kindInt && !r.IsInt() {
			c.fault(n, "", "%s is %s, and should be %s", path, n.words(), t.words())
			return false
		}
		ok = c.inRange(f, r, n.text, n, path)
	case kindEnum:
		if !slices.Contains(t.values, n.text) {
			cure := ""
			if near := nearest(n.text, t.values); near != "" {
				cure = fmt.Sprintf("is %q meant?", near)
			}
			c.fault(n, cure, "%s is %q, and should be one of %s", path, n.text, oneOf(t.values))
			return false
		}
	case kindAddress:
		if a, err := netip.ParseAddrPort(n.text); err != nil || f.json != nil && f.json[0] == "discovery" && a.Port() == 0 {
			c.fault(n, `write it like "127.0.0.1:8081"`, "%s: %q is not a numeric address and port", path, n.text)
			return false
		}
	case kindString:
		if f.match != nil && !f.match.MatchString(n.text) {
			c.fault(n, "", "%s: %q is not %s", path, n.text, f.matchText)
			return false
		}
	}
	if !ok {
		c.bad[n] = true
	}
	return ok
}

func (c *checker) inRange(f *field, r *big.Rat, text string, n *node, path string) bool {
	if f.low != nil && r.Cmp(f.low) < 0 || f.high != nil && r.Cmp(f.high) > 0 {
		c.fault(n, "", "%s is %s, out of its range from %s", path, text, f.rangeText)
		return false
	}
	return true
}
