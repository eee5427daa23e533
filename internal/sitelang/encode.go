package sitelang

import (
	"encoding/json"
	"math/big"
)

// unsetNumber stands in a parallel list for a record that does not set the field.
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

// encodeRecord writes the fields of a record into target. index is the record's place in its list, for fields that are
// kept in a parallel list.
func (e *encoder) encodeRecord(r *record, n *node, target jsonObject, index int) {
	for _, m := range n.members {
		f := r.byName[m.name]
		if f == nil || f.name == fieldInclude { // include lists have been read
			continue
		}
		switch {
		case f.layout == layoutMerged:
			mergeObjects(target, untypedJSON(m.node).(jsonObject)) // the schema asks for a record
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

// encodeParallel writes a value into the list beside the list of its records. Records before it that have no value get
// unsetNumber.
func (e *encoder) encodeParallel(f *field, n *node, index int) {
	value, _ := removePath(e.site, f.jsonPath) // none before the first record that sets the field
	list, _ := value.([]any)
	for len(list) <= index {
		list = append(list, unsetNumber)
	}
	list[index] = e.encodeValue(f, f.valueType, n)
	setPath(e.site, f.jsonPath, list)
}

// encodeValue converts a value of type t. f is the field that it belongs to, or that has it in a list or map.
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
	return n.text // of the kinds that are texts in both forms
}

// encodeQuantity converts a quantity to its unit in the JSON form.
func encodeQuantity(q *quantity, unit *jsonUnit, text string) json.Number {
	value, _ := q.parse(text) // the checks have parsed it
	value = new(big.Rat).Quo(value, unit.factor)
	if unit.isInteger {
		value = roundHalfUp(value)
	}
	return json.Number(formatDecimal(value))
}

// encodeEntries converts a map to the object or the list that the schema asks for.
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

// encodePairs converts a map to a list of objects of two members.
func (e *encoder) encodePairs(f *field, t *fieldType, n *node) []any {
	out := []any{}
	for _, m := range n.members {
		out = append(out, jsonObject{f.nameKey: m.name, f.valueKey: e.encodeValue(f, t.element, m.node)})
	}
	return out
}

// encodeRecordList converts a map of records to a list of objects, each with its name among its members.
func (e *encoder) encodeRecordList(f *field, t *fieldType, n *node) []any {
	out := []any{}
	for i, m := range n.members {
		entry := jsonObject{f.nameKey: m.name}
		e.encodeRecord(t.element.record, m.node, entry, i)
		out = append(out, entry)
	}
	return out
}

// oneHalf is the number 1/2. It must not be changed.
var oneHalf = mustRational("1/2")

// roundHalfUp rounds a number that is not negative to a whole one.
func roundHalfUp(r *big.Rat) *big.Rat {
	raised := new(big.Rat).Add(r, oneHalf)
	whole := new(big.Int).Quo(raised.Num(), raised.Denom())
	return new(big.Rat).SetInt(whole)
}
