package testkit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// Golden fixtures are encodings that an earlier version of the program sent to other processes or stored. They are never
// rewritten: a mismatch means that an encoding has changed on which peers and stored data depend.

// GoldenFile returns the content of a fixture in testdata/golden. It ends the test if the file cannot be read.
func GoldenFile(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// CheckEncoding checks a JSON encoding in both directions: value encodes to the bytes of the fixture, and the fixture decodes to a
// value that encodes to the same bytes.
func CheckEncoding[T any](t testing.TB, file string, value T) {
	t.Helper()
	golden := GoldenFile(t, file)
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Equal(t, file+": encoded value", string(golden), string(encoded))
	var decoded T
	if err := json.Unmarshal(golden, &decoded); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	Equal(t, file+": re-encoded fixture", string(golden), string(again))
}

// EqualBytes reports an error if got is not equal to want. what names the compared encoding.
func EqualBytes(t testing.TB, what string, want, got []byte) {
	t.Helper()
	if !bytes.Equal(want, got) {
		t.Errorf("%s:\n got %q\nwant %q", what, got, want)
	}
}

// CheckAllSet reports an error for each exported field within value that is zero, so that a fixture covers every encoded field. path
// names value in the errors.
func CheckAllSet(t testing.TB, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				CheckAllSet(t, path+"."+field.Name, value.Field(i))
			}
		}
	case reflect.Slice, reflect.Map:
		if value.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		if value.Type().Elem().Kind() == reflect.Uint8 { // already encoded text
			return
		}
		for key, element := range value.Seq2() {
			CheckAllSet(t, fmt.Sprintf("%s[%v]", path, key), element)
		}
	case reflect.Pointer:
		if value.IsNil() {
			t.Errorf("%s is nil", path)
			return
		}
		CheckAllSet(t, path, value.Elem())
	default:
		if value.IsZero() {
			t.Errorf("%s is zero", path)
		}
	}
}

// UnsetFields returns, as Type.Field, the exported struct fields within value that are zero in every occurrence of their type. It
// leaves out the fields in except. It is weaker than CheckAllSet, for values in which a type occurs in several variants.
func UnsetFields(value any, except ...string) []string {
	set := map[string]bool{}
	visitFields(reflect.ValueOf(value), set)
	var unset []string
	for _, field := range slices.Sorted(maps.Keys(set)) {
		if !set[field] && !slices.Contains(except, field) {
			unset = append(unset, field)
		}
	}
	return unset
}

// visitFields records, for each exported struct field within value, whether any occurrence of its type sets the field.
func visitFields(value reflect.Value, set map[string]bool) {
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !value.IsNil() {
			visitFields(value.Elem(), set)
		}
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			visitFields(value.Index(i), set)
		}
	case reflect.Map:
		for entry := value.MapRange(); entry.Next(); {
			visitFields(entry.Value(), set)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if !field.IsExported() {
				continue
			}
			name := value.Type().Name() + "." + field.Name
			set[name] = set[name] || isSet(value.Field(i))
			visitFields(value.Field(i), set)
		}
	}
}

// isSet reports whether a value is non-zero and, for slices and maps, not empty.
func isSet(value reflect.Value) bool {
	if value.Kind() == reflect.Slice || value.Kind() == reflect.Map {
		return value.Len() > 0
	}
	return !value.IsZero()
}

// PinnedEncoding returns a function that checks that every encoded field of value is set and that the fixture in file is the JSON
// encoding of value.
func PinnedEncoding[T any](value T) func(t *testing.T, file string) {
	return func(t *testing.T, file string) {
		t.Helper()
		CheckAllSet(t, file, reflect.ValueOf(value))
		CheckEncoding(t, file, value)
	}
}

// UnsetPaths returns the paths of all exported struct fields within value that are zero, including nested fields. An empty slice
// counts as zero. In a struct that is nested in its own type, a nil pointer to that type is not listed, because every such chain
// ends with one.
func UnsetPaths(value any) []string {
	return unsetPaths(reflect.ValueOf(value), nil)
}

// unsetPaths returns the paths that UnsetPaths lists. parent is the type of the struct that contains value, or nil.
func unsetPaths(value reflect.Value, parent reflect.Type) []string {
	var unset []string
	switch value.Kind() {
	case reflect.Pointer:
		return unsetPaths(value.Elem(), parent)
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			unset = append(unset, unsetPaths(value.Index(i), parent)...)
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			unset = append(unset, unsetPaths(value.MapIndex(key), parent)...)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			name, field := value.Type().Field(i).Name, value.Field(i)
			if !value.Type().Field(i).IsExported() {
				continue
			}
			if field.Type() == reflect.PointerTo(value.Type()) && parent == value.Type() && field.IsNil() {
				continue
			}
			if field.IsZero() || field.Kind() == reflect.Slice && field.Len() == 0 {
				unset = append(unset, name)
				continue
			}
			for _, path := range unsetPaths(field, value.Type()) {
				unset = append(unset, name+"."+path)
			}
		}
	}
	return unset
}
