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

// checker checks an evaluated site: each value against the schema, and the parts of the site against one another.
type checker struct {
	*sourceSet
	invalid map[*node]bool // nodes with a reported error, and every node that contains one
}

// reportError reports an error at a node and marks the node as invalid.
func (c *checker) reportError(n *node, resolution, format string, args ...any) {
	c.invalid[n] = true
	c.report(n.pos, Error, fmt.Sprintf(format, args...), resolution)
}

// reportWarning reports a warning at a node.
func (c *checker) reportWarning(n *node, resolution, format string, args ...any) {
	c.report(n.pos, Warning, fmt.Sprintf(format, args...), resolution)
}

// joinPath appends a name to a path. It quotes a name that is not a CUE identifier.
func joinPath(path, name string) string {
	if !ast.IsValidIdent(name) {
		name = strconv.Quote(name)
	}
	return strings.TrimPrefix(path+"."+name, ".")
}

// checkRecord checks the fields of a record and reports whether all are valid. It reports missing fields at pos, or in the
// root file if pos has no file.
func (c *checker) checkRecord(r *record, n *node, path string, pos token.Pos) bool {
	valid := true
	var fieldNames []string
	for _, f := range r.fields {
		fieldNames = append(fieldNames, f.name)
	}
	for _, m := range n.members {
		f := r.byName[m.name]
		if f == nil {
			c.report(m.pos, Error, fmt.Sprintf("%s has no field %q", describeRecord(path), m.name), suggestName(m.name, fieldNames))
			valid = false
			continue
		}
		if !c.checkValue(f, f.valueType, m.node, joinPath(path, m.name), m.pos) {
			valid = false
		}
	}
	for _, f := range r.fields {
		if !f.optional && n.member(f.name) == nil {
			c.report(pos, Error, fmt.Sprintf("%s has no %s", describeRecord(path), f.name), "add it: "+f.describe())
			valid = false
		}
	}
	if !valid {
		c.invalid[n] = true
	}
	return valid
}

// describeRecord returns the text by which findings name the record at path.
func describeRecord(path string) string {
	if path == "" {
		return "a site"
	}
	return path
}

// formOfKind maps each kind to the form of its values.
var formOfKind = map[kind]nodeForm{
	kindString:   formString,
	kindAddress:  formString,
	kindEnum:     formString,
	kindInt:      formNumber,
	kindNumber:   formNumber,
	kindBool:     formBool,
	kindQuantity: formString,
	kindList:     formList,
	kindMap:      formStruct,
	kindRecord:   formStruct,
	kindUntyped:  formStruct,
}

// checkValue checks a field's value, or an element of a list or map in that value, and reports whether it is valid.
func (c *checker) checkValue(f *field, t *fieldType, n *node, path string, pos token.Pos) bool {
	if n.form == formInvalid {
		c.invalid[n] = true
		return false
	}
	if t.kind == kindQuantity && n.form == formNumber {
		c.reportError(n, "", "%s: %s", path, t.quantity.missingUnitMessage(n.text))
		return false
	}
	if n.form != formOfKind[t.kind] {
		c.reportError(n, "", "%s is %s, and should be %s", path, n.describe(), t.describe())
		return false
	}
	valid := true
	switch t.kind {
	case kindRecord:
		valid = c.checkRecord(t.record, n, path, pos)
	case kindMap:
		valid = c.checkEntries(f, t, n, path)
	case kindList:
		valid = c.checkElements(f, t, n, path)
	case kindQuantity:
		valid = c.checkQuantity(f, t, n, path)
	case kindInt, kindNumber:
		valid = c.checkNumber(f, t, n, path)
	case kindEnum:
		valid = c.checkEnum(t, n, path)
	case kindAddress:
		valid = c.checkAddress(f, n, path)
	case kindString:
		valid = c.checkPattern(f, n, path)
	}
	if !valid {
		c.invalid[n] = true
	}
	return valid
}

// checkEntries checks each entry of a map. The map of a required field must not be empty.
func (c *checker) checkEntries(f *field, t *fieldType, n *node, path string) bool {
	if len(n.members) == 0 && !f.optional {
		c.reportError(n, "", "%s is empty", path)
		return false
	}
	valid := true
	for _, m := range n.members {
		if m.name == "" {
			c.report(m.pos, Error, path+" has an entry without a name", "")
			valid = false
		}
		valid = c.checkValue(f, t.element, m.node, joinPath(path, m.name), m.pos) && valid
	}
	return valid
}

// fieldsAllowingEmptyList are the names of the fields, in any record, for which an empty list has a meaning.
var fieldsAllowingEmptyList = []string{"instances", "was", "fallback"}

// checkElements checks each element of a list. The list must not be empty unless fieldsAllowingEmptyList names its field.
func (c *checker) checkElements(f *field, t *fieldType, n *node, path string) bool {
	if len(n.elements) == 0 && !slices.Contains(fieldsAllowingEmptyList, f.name) {
		c.reportError(n, "leave it out where everything is meant", "%s is an empty list, which nothing satisfies", path)
		return false
	}
	valid := true
	for i, element := range n.elements {
		valid = c.checkValue(f, t.element, element, fmt.Sprintf("%s[%d]", path, i), element.pos) && valid
	}
	return valid
}

// checkQuantity checks a number with its unit.
func (c *checker) checkQuantity(f *field, t *fieldType, n *node, path string) bool {
	value, problem := t.quantity.parse(n.text)
	if problem != "" {
		c.reportError(n, "", "%s: %s", path, problem)
		return false
	}
	return c.checkRange(f, value, strconv.Quote(n.text), n, path)
}

// checkNumber checks a number without a unit.
func (c *checker) checkNumber(f *field, t *fieldType, n *node, path string) bool {
	value, ok := new(big.Rat).SetString(n.text)
	if !ok || t.kind == kindInt && !value.IsInt() {
		c.reportError(n, "", "%s is %s, and should be %s", path, n.describe(), t.describe())
		return false
	}
	return c.checkRange(f, value, n.text, n, path)
}

// checkEnum checks that a text is one of the type's values.
func (c *checker) checkEnum(t *fieldType, n *node, path string) bool {
	if slices.Contains(t.values, n.text) {
		return true
	}
	resolution := ""
	if closest := closestName(n.text, t.values); closest != "" {
		resolution = fmt.Sprintf("is %q meant?", closest)
	}
	c.reportError(n, resolution, "%s is %q, and should be one of %s", path, n.text, quotedList(t.values))
	return false
}

// checkAddress checks a numeric address with a port. Port 0, by which the system chooses a port, is valid for a listener
// only. The address of discovery is the only one in a site that the proxy dials.
func (c *checker) checkAddress(f *field, n *node, path string) bool {
	address, err := netip.ParseAddrPort(n.text)
	isDialed := slices.Equal(f.jsonPath, []string{"discovery"})
	if err != nil || isDialed && address.Port() == 0 {
		c.reportError(n, `write it like "127.0.0.1:8081"`, "%s: %q is not a numeric address and port", path, n.text)
		return false
	}
	return true
}

// checkPattern checks a text against the field's pattern, if it has one.
func (c *checker) checkPattern(f *field, n *node, path string) bool {
	if f.pattern != nil && !f.pattern.MatchString(n.text) {
		c.reportError(n, "", "%s: %q is not %s", path, n.text, f.patternDescription)
		return false
	}
	return true
}

// checkRange checks a number against the field's range. text is the number as written in the site.
func (c *checker) checkRange(f *field, value *big.Rat, text string, n *node, path string) bool {
	if f.low != nil && value.Cmp(f.low) < 0 || f.high != nil && value.Cmp(f.high) > 0 {
		c.reportError(n, "", "%s is %s, out of its range from %s", path, text, f.rangeText)
		return false
	}
	return true
}
