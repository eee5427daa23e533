// Package apperror defines the type of all errors that operators may see. Each error has a kind, and each kind has a
// resolution, which states what an operator can do. Packages declare their kinds as variables. docs/ON-CALL.md lists all kinds,
// and a test checks that the list is complete.
package apperror

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Kind is a class of errors with the same resolution.
type Kind struct {
	Name       string // such as "quorum/not-leading"; it is sent to callers and must not change
	Resolution string // what an operator can do, as human-readable text
}

// kinds contains all registered kinds. It changes only while package variables are initialized, so it needs no lock.
var kinds []*Kind

// NewKind registers and returns a kind. It must be called only to initialize package variables. It panics if the name is already
// registered or if the name or resolution is empty, because these are programming errors that every test of the program finds.
func NewKind(name, resolution string) *Kind {
	if name == "" || resolution == "" {
		panic(fmt.Sprintf("apperror: kind %q must have a name and a resolution", name))
	}
	if slices.ContainsFunc(kinds, func(k *Kind) bool { return k.Name == name }) {
		panic(fmt.Sprintf("apperror: kind %q is already registered", name))
	}
	k := &Kind{Name: name, Resolution: resolution}
	kinds = append(kinds, k)
	return k
}

// Kinds returns all registered kinds, sorted by name.
func Kinds() []*Kind {
	return slices.SortedFunc(slices.Values(kinds), func(a, b *Kind) int { return strings.Compare(a.Name, b.Name) })
}

// Error is an error with a kind. Place and Cause may be empty.
type Error struct {
	Kind  *Kind
	Place string // location of the fault, such as a file and line, a route or an address
	Cause string // description of the fault
	Err   error  // the underlying error, or nil
}

// New returns an error of this kind. Its cause is formatted as by fmt.Sprintf.
func (k *Kind) New(place, format string, args ...any) *Error {
	return &Error{Kind: k, Place: place, Cause: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of this kind with err as the underlying error.
func (k *Kind) Wrap(place string, err error) *Error { return &Error{Kind: k, Place: place, Err: err} }

// WrapUntyped returns the first Error in err's chain, whatever its kind. If there is none, it wraps err in an error of this kind.
func (k *Kind) WrapUntyped(place string, err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return k.Wrap(place, err)
}

// Error returns the place, the cause and the text of the underlying error, separated by colons. If all of them are empty, it
// returns the kind's name.
func (e *Error) Error() string {
	var parts []string
	for _, part := range []string{e.Place, e.Cause} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if e.Err != nil {
		parts = append(parts, e.Err.Error())
	}
	if len(parts) == 0 {
		return e.Kind.Name
	}
	return strings.Join(parts, ": ")
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an Error of the same kind, so that errors.Is(err, kind.New("", "")) tests for the kind.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Kind == e.Kind
}

// Resolution returns what an operator can do about the error.
func (e *Error) Resolution() string { return e.Kind.Resolution }

// Matches reports whether err, or an error that it wraps, has this kind. Among joined errors, it follows only the first that is
// or wraps an Error.
func (k *Kind) Matches(err error) bool {
	var typed *Error
	for errors.As(err, &typed) {
		if typed.Kind == k {
			return true
		}
		err = typed.Err
	}
	return false
}

// Resolutions returns the distinct resolutions of an error and of all errors that it joins or wraps, the outermost first.
func Resolutions(err error) []string { return appendResolutions(nil, err) }

// appendResolutions appends the resolutions of an error and of all errors that it joins or wraps, unless list contains them.
func appendResolutions(list []string, err error) []string {
	if typed, ok := err.(*Error); ok && !slices.Contains(list, typed.Resolution()) { //nolint:errorlint // walks the chain explicitly
		list = append(list, typed.Resolution())
	}
	switch wrapper := err.(type) { //nolint:errorlint // walks the chain explicitly
	case interface{ Unwrap() error }:
		return appendResolutions(list, wrapper.Unwrap())
	case interface{ Unwrap() []error }:
		for _, wrapped := range wrapper.Unwrap() {
			list = appendResolutions(list, wrapped)
		}
	}
	return list
}

// OneLine replaces each control character in text with a space, so that the text fits on one line of a log or of telemetry.
func OneLine(text string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return ' '
		}
		return c
	}, text)
}
