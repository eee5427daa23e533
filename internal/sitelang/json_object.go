package sitelang

import "encoding/json"

// jsonObject is a decoded JSON object. Its numbers are json.Number, which preserves all digits.
type jsonObject = map[string]any

// setPath sets the value at a path. It creates missing objects along the path, and replaces values there that are not
// objects.
func setPath(object jsonObject, path []string, value any) {
	for _, name := range path[:len(path)-1] {
		next, ok := object[name].(jsonObject)
		if !ok {
			next = jsonObject{}
			object[name] = next
		}
		object = next
	}
	object[path[len(path)-1]] = value
}

// removePath removes the value at a path and returns it; false if there is none.
func removePath(object jsonObject, path []string) (any, bool) {
	for _, name := range path[:len(path)-1] {
		next, ok := object[name].(jsonObject)
		if !ok {
			return nil, false
		}
		object = next
	}
	last := path[len(path)-1]
	value, ok := object[last]
	delete(object, last)
	return value, ok
}

// mergeObjects copies the members of source into target. It merges members that are objects in both; any other member of
// source replaces that of target.
func mergeObjects(target, source jsonObject) {
	for name, value := range source {
		targetObject, targetIsObject := target[name].(jsonObject)
		sourceObject, sourceIsObject := value.(jsonObject)
		if targetIsObject && sourceIsObject {
			mergeObjects(targetObject, sourceObject)
		} else {
			target[name] = value
		}
	}
}

// deepCopy copies a decoded JSON value.
func deepCopy(value any) any {
	switch value := value.(type) {
	case jsonObject:
		out := make(jsonObject, len(value))
		for name, member := range value {
			out[name] = deepCopy(member)
		}
		return out
	case []any:
		out := make([]any, len(value))
		for i, element := range value {
			out[i] = deepCopy(element)
		}
		return out
	}
	return value
}

// splitObjects are the names of the objects of the JSON form whose members belong to several records of the language.
// Conversion removes their members one by one, and pruneEmpty drops those that are empty afterwards.
var splitObjects = map[string]bool{"settings": true, "limits": true, "routing": true}

// pruneEmpty returns the object without the objects that became empty because all of their members were converted.
func pruneEmpty(object jsonObject) jsonObject {
	out := jsonObject{}
	for name, value := range object {
		inner, isObject := value.(jsonObject)
		wasEmpty := isObject && len(inner) == 0 && !splitObjects[name]
		if !isObject || wasEmpty {
			out[name] = value
			continue
		}
		if inner = pruneEmpty(inner); len(inner) > 0 {
			out[name] = inner
		}
	}
	return out
}

// untypedJSON converts a value that the schema doesn't describe. A record becomes a jsonObject.
func untypedJSON(n *node) any {
	switch n.form {
	case formStruct:
		out := jsonObject{}
		for _, m := range n.members {
			out[m.name] = untypedJSON(m.node)
		}
		return out
	case formList:
		out := []any{}
		for _, element := range n.elements {
			out = append(out, untypedJSON(element))
		}
		return out
	case formNumber:
		return json.Number(n.text)
	case formBool:
		return n.text == "true"
	case formString:
		return n.text
	}
	return nil
}
