package sitelang

import (
	"fmt"
	"maps"
	"slices"
)

// writeEntries converts an object or a list of the JSON form to a map of the language. It returns false if the value is
// not of the schema's type.
func (w *cueWriter) writeEntries(f *field, t *fieldType, value any) bool {
	if f.layout == layoutObject {
		return w.writeObjectEntries(f, t, value)
	}
	list, ok := value.([]any)
	if !ok {
		return false
	}
	if !hasUniqueNames(list, f.nameKey) {
		return false
	}
	if f.layout == layoutPairList {
		return w.writePairs(f, t, list)
	}
	return w.writeRecordList(f, t, list)
}

// writeObjectEntries writes a map that is an object in the JSON form.
func (w *cueWriter) writeObjectEntries(f *field, t *fieldType, value any) bool {
	object, ok := value.(jsonObject)
	if !ok {
		return false
	}
	only := t.element.record.soleValueField()
	w.buf.WriteString("{\n")
	for _, name := range slices.Sorted(maps.Keys(object)) {
		fmt.Fprintf(&w.buf, "%s: ", quoteString(name))
		if only != nil {
			text, ok := formatScalar(only, only.valueType, object[name])
			if !ok {
				return false
			}
			fmt.Fprintf(&w.buf, "{%s: %s}\n", only.name, text)
			continue
		}
		if !w.writeValue(f, t.element, object[name]) {
			return false
		}
		w.buf.WriteString("\n")
	}
	w.buf.WriteString("}")
	return true
}

// writePairs writes a map that is a list of objects with two members each in the JSON form. The list must satisfy
// hasUniqueNames.
func (w *cueWriter) writePairs(f *field, t *fieldType, list []any) bool {
	const membersOfPair = 2
	w.buf.WriteString("{\n")
	for _, element := range list {
		pair := element.(jsonObject)
		if len(pair) != membersOfPair {
			return false
		}
		text, ok := formatScalar(f, t.element, pair[f.valueKey])
		if !ok {
			return false
		}
		fmt.Fprintf(&w.buf, "%s: %s\n", fieldLabel(pair[f.nameKey].(string)), text)
	}
	w.buf.WriteString("}")
	return true
}

// writeRecordList writes a map that is a list of records in the JSON form. The list must satisfy hasUniqueNames.
func (w *cueWriter) writeRecordList(f *field, t *fieldType, list []any) bool {
	parallels := w.removeParallelLists(t, len(list))
	ok := w.writeRecords(f, t, list, parallels)
	if !ok {
		w.restoreParallelLists(t, parallels)
	}
	return ok
}

func (w *cueWriter) writeRecords(f *field, t *fieldType, list []any, parallels parallelLists) bool {
	w.buf.WriteString("{\n")
	for i, element := range list {
		object := maps.Clone(element.(jsonObject))
		name := object[f.nameKey].(string)
		delete(object, f.nameKey)
		fmt.Fprintf(&w.buf, "%s: {\n", fieldLabel(name))
		w.writeRecord(t.element.record, object, parallels, i)
		if !w.writeUnknownMembers(t.element.record, object) {
			return false
		}
		w.buf.WriteString("}\n")
	}
	w.buf.WriteString("}")
	return true
}

// hasUniqueNames reports whether each element is an object whose member key is a non-empty string that no other element has.
func hasUniqueNames(list []any, key string) bool {
	seen := map[string]bool{}
	for _, element := range list {
		object, _ := element.(jsonObject) // an element that is not an object has no name
		name, _ := object[key].(string)
		if name == "" || seen[name] {
			return false
		}
		seen[name] = true
	}
	return true
}

// removeParallelLists removes the parallel lists of a list of count records from the JSON form and returns them. It leaves a
// list in place if it is empty, longer than count, or holds a value that is not of the schema's type.
func (w *cueWriter) removeParallelLists(t *fieldType, count int) parallelLists {
	out := parallelLists{}
	if t.element.kind != kindRecord {
		return out
	}
	for _, f := range t.element.record.fields {
		if f.layout != layoutParallel {
			continue
		}
		value, ok := removePath(w.site, f.jsonPath)
		if !ok {
			continue
		}
		list, isList := value.([]any)
		if !isList || len(list) == 0 || len(list) > count || !allScalars(f, list) {
			setPath(w.site, f.jsonPath, value)
			continue
		}
		out[f.name] = list
	}
	return out
}

// allScalars reports whether all values of a list are of the schema's type.
func allScalars(f *field, list []any) bool {
	return !slices.ContainsFunc(list, func(value any) bool {
		_, ok := formatScalar(f, f.valueType, value)
		return !ok
	})
}

// restoreParallelLists returns the lists that removeParallelLists removed to the JSON form.
func (w *cueWriter) restoreParallelLists(t *fieldType, parallels parallelLists) {
	for name, list := range parallels {
		setPath(w.site, t.element.record.byName[name].jsonPath, list)
	}
}
