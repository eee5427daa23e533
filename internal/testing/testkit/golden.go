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

// Golden fixtures are encoded forms that were written by an earlier program: what is sent to other processes, or stored. They
// are never rewritten. A test that differs from one has found a change of an encoding that peers and stored data depend on.

// GoldenFile reads a fixture from testdata/golden.
func GoldenFile(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// CheckEncoding pins a JSON encoding in both directions: the value is encoded to the fixture's bytes, and the fixture is
// decoded and encoded to the same bytes again.
func CheckEncoding[T any](t testing.TB, file string, value T) {
	t.Helper()
	golden := GoldenFile(t, file)
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Equal(t, file+": the value encoded", string(golden), string(encoded))
	var decoded T
	if err := json.Unmarshal(golden, &decoded); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	Equal(t, file+": the fixture decoded and encoded", string(golden), string(again))
}

// EqualBytes reports an error if got is not equal to want. what names the compared encoding.
func EqualBytes(t testing.TB, what string, want, got []byte) {
	t.Helper()
	if !bytes.Equal(want, got) {
		t.Errorf("%s:\n got %q\nwant %q", what, got, want)
	}
}

// CheckAllSet fails for each exported field below the value that is zero, so that a fixture covers every encoded field.
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
		if value.Type().Elem().Kind() == reflect.Uint8 { // text that is encoded already
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

// UnsetFields lists the exported fields, as Type.Field, of the struct types within value that are zero wherever their type
// occurs. It is weaker than CheckAllSet, for values in which a type occurs in several variants.
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

// visitFields notes for each exported field below value whether it is set in any occurrence of its struct type.
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

// PinnedEncoding returns a check, to be run with a fixture's name, that every encoded field of the value is set and that the
// fixture is its JSON encoding.
func PinnedEncoding[T any](value T) func(t *testing.T, file string) {
	return func(t *testing.T, file string) {
		t.Helper()
		CheckAllSet(t, file, reflect.ValueOf(value))
		CheckEncoding(t, file, value)
	}
}

// UnsetPaths lists the paths of all exported struct fields within value that are zero, nested ones included. An empty slice
// counts as zero. A struct that is reached from its own type may end the chain with a nil pointer.
func UnsetPaths(value any) []string {
	return unsetPaths(reflect.ValueOf(value), nil)
}

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
