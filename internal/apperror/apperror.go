// Package apperror has the type of all errors that an operator may see: each has a kind, and each kind a resolution, which says
// what an operator can do. Every package declares its kinds as variables; docs/ON-CALL.md lists all of them, and a test
// compares the two.
package apperror

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Kind is a kind of error.
type Kind struct {
	Name       string // such as "quorum/not-leading"; it is sent to callers and never changes
	Resolution string // what an operator can do, for people
}

// kinds are all registered kinds. They change only while package variables are initialized, so no lock guards them.
var kinds []*Kind

// NewKind registers a kind. It is called for package variables only, and panics if the name is taken or name or resolution
// is empty: a programming error that any test of the program would meet.
func NewKind(name, resolution string) *Kind {
	if name == "" || resolution == "" {
		panic(fmt.Sprintf("apperror: kind %q has no name or no resolution", name))
	}
	if slices.ContainsFunc(kinds, func(k *Kind) bool { return k.Name == name }) {
		panic(fmt.Sprintf("apperror: kind %q is declared twice", name))
	}
	k := &Kind{Name: name, Resolution: resolution}
	kinds = append(kinds, k)
	return k
}

// Kinds lists all registered kinds, sorted by name.
func Kinds() []*Kind {
	return slices.SortedFunc(slices.Values(kinds), func(a, b *Kind) int { return strings.Compare(a.Name, b.Name) })
}

// Error is an error of a kind. Any of its texts may be empty.
type Error struct {
	Kind  *Kind
	Place string // where the fault is: a file and line, a route, an address
	Cause string // what it is
	Err   error  // the error that caused it; nil: none
}

// New returns an error of the kind whose cause is formatted like fmt.Sprintf.
func (k *Kind) New(place, format string, args ...any) *Error {
	return &Error{Kind: k, Place: place, Cause: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind that was caused by err.
func (k *Kind) Wrap(place string, err error) *Error { return &Error{Kind: k, Place: place, Err: err} }

// WrapUntyped returns the first Error in err's chain, of whatever kind; where there is none, err wrapped as one of this kind.
func (k *Kind) WrapUntyped(place string, err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return k.Wrap(place, err)
}

// Error returns place, cause and the causing error's text, separated by colons; the kind's name where there is none of them.
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

// Unwrap returns the error that caused this one.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an Error of the same kind, so that errors.Is(err, kind.New("", "")) asks for the kind.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Kind == e.Kind
}

// Resolution says what an operator can do.
func (e *Error) Resolution() string { return e.Kind.Resolution }

// Matches reports whether err, or an error that it wraps, is of this kind. Of joined errors it follows only the first that is or
// wraps an Error.
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

// Resolutions lists the resolutions of an error and of all errors that it joins or wraps, each once, the outermost first.
func Resolutions(err error) []string { return appendResolutions(nil, err) }

// appendResolutions appends the resolutions of an error and of those below it that are not in the list yet.
func appendResolutions(list []string, err error) []string {
	if typed, ok := err.(*Error); ok && !slices.Contains(list, typed.Resolution()) { //nolint:errorlint // this walks the chain itself
		list = append(list, typed.Resolution())
	}
	switch wrapper := err.(type) { //nolint:errorlint // this walks the chain itself
	case interface{ Unwrap() error }:
		return appendResolutions(list, wrapper.Unwrap())
	case interface{ Unwrap() []error }:
		for _, wrapped := range wrapper.Unwrap() {
			list = appendResolutions(list, wrapped)
		}
	}
	return list
}

// OneLine replaces each control character of a text by a blank, so that it stays one line in a log or in telemetry.
func OneLine(text string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return ' '
		}
		return c
	}, text)
}
