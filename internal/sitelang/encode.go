package sitelang

import (
	"encoding/json"
	"math/big"
)

// unsetNumber is the element of a parallel list for a record that does not set the field.
const unsetNumber = json.Number("0")

// encoder builds the JSON form of a tree that has passed the checks.
type encoder struct {
	site jsonObject
}

// encodeSite returns the JSON form of a whole site.
func encodeSite(site *node) jsonObject {
	e := &encoder{site: jsonObject{}}
	e.encodeRecord(siteRecord(), site, e.site, 0)
	return e.site
}

// encodeRecord writes the fields of a record into target. index is the record's position in its list; fields with
// layoutParallel are written at the same position of their own list.
func (e *encoder) encodeRecord(r *record, n *node, target jsonObject, index int) {
	for _, m := range n.members {
		f := r.byName[m.name]
		if f == nil || f.name == fieldInclude { // includes were resolved when the files were read
			continue
		}
		switch {
		case f.layout == layoutMerged:
			mergeObjects(target, untypedJSON(m.node).(jsonObject)) // the checks have ensured a record
		case f.layout == layoutParallel:
			e.encodeParallel(f, m.node, index)
		case f.isInlineRecord():
			e.encodeRecord(f.valueType.record, m.node, target, 0)
		case f.valueType.kind == kindRecord:
			// Another record may have written members of the same object, so this one is merged into it.
			wrapped := jsonObject{}
			setPath(wrapped, f.jsonPath, e.encodeValue(f, f.valueType, m.node))
			mergeObjects(target, wrapped)
		default:
			setPath(target, f.jsonPath, e.encodeValue(f, f.valueType, m.node))
		}
	}
}

// encodeParallel writes a record's value into the field's parallel list, at the record's index. Earlier records without a
// value get unsetNumber.
func (e *encoder) encodeParallel(f *field, n *node, index int) {
	value, _ := removePath(e.site, f.jsonPath) // absent until the first record sets the field
	list, _ := value.([]any)
	for len(list) <= index {
		list = append(list, unsetNumber)
	}
	list[index] = e.encodeValue(f, f.valueType, n)
	setPath(e.site, f.jsonPath, list)
}

// encodeValue converts a value of type t. f is the field that holds the value, directly or in a list or map.
func (e *encoder) encodeValue(f *field, t *fieldType, n *node) any {
	switch t.kind {
	case kindQuantity:
		return encodeQuantity(t.quantity, f.unit, n.text)
	case kindInt, kindNumber:
		return json.Number(n.text)
	case kindBool:
		return n.text == "true"
	case kindList:
		out := []any{}
		for _, element := range n.elements {
			out = append(out, e.encodeValue(f, t.element, element))
		}
		return out
	case kindRecord:
		if only := t.record.soleValueField(); only != nil && only.valueType.kind != kindRecord {
			return e.encodeValue(only, only.valueType, n.member(only.name))
		}
		out := jsonObject{}
		e.encodeRecord(t.record, n, out, 0)
		return out
	case kindMap:
		return e.encodeEntries(f, t, n)
	case kindUntyped:
		return untypedJSON(n)
	}
	return n.text // the other kinds are strings in both forms
}

// encodeQuantity converts a quantity to its unit in the JSON form.
func encodeQuantity(q *quantity, unit *jsonUnit, text string) json.Number {
	value, _ := q.parse(text) // no problem: the checks have parsed it
	value = new(big.Rat).Quo(value, unit.factor)
	if unit.isInteger {
		value = roundHalfUp(value)
	}
	return json.Number(formatDecimal(value))
}

// encodeEntries converts a map to the object or the list that the field's layout requires.
func (e *encoder) encodeEntries(f *field, t *fieldType, n *node) any {
	switch f.layout {
	case layoutObject:
		return e.encodeObject(f, t, n)
	case layoutPairList:
		return e.encodePairs(f, t, n)
	}
	return e.encodeRecordList(f, t, n)
}

// encodeObject converts a map to an object of its entries.
func (e *encoder) encodeObject(f *field, t *fieldType, n *node) jsonObject {
	out := jsonObject{}
	for _, m := range n.members {
		out[m.name] = e.encodeValue(f, t.element, m.node)
	}
	return out
}

// encodePairs converts a map to a list of objects, each with two members: the entry's name and its value.
func (e *encoder) encodePairs(f *field, t *fieldType, n *node) []any {
	out := []any{}
	for _, m := range n.members {
		out = append(out, jsonObject{f.nameKey: m.name, f.valueKey: e.encodeValue(f, t.element, m.node)})
	}
	return out
}

// encodeRecordList converts a map of records to a list of objects, each with the record's name as an additional member.
func (e *encoder) encodeRecordList(f *field, t *fieldType, n *node) []any {
	out := []any{}
	for i, m := range n.members {
		entry := jsonObject{f.nameKey: m.name}
		e.encodeRecord(t.element.record, m.node, entry, i)
		out = append(out, entry)
	}
	return out
}

// oneHalf is the number 1/2. It must not be modified.
var oneHalf = mustRational("1/2")

// roundHalfUp rounds a non-negative number to the nearest integer, and a half upwards.
func roundHalfUp(r *big.Rat) *big.Rat {
	raised := new(big.Rat).Add(r, oneHalf)
	whole := new(big.Int).Quo(raised.Num(), raised.Denom())
	return new(big.Rat).SetInt(whole)
}
