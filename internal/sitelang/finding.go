package sitelang

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Severity is the consequence of a finding for the configuration.
type Severity string

const (
	// Error means that the configuration cannot be used.
	Error Severity = "error"
	// Warning means that a part of the configuration has no effect, or is unlikely to be meant.
	Warning Severity = "warning"
)

// Finding is one problem of a configuration, with its position. Editors read its JSON form.
type Finding struct {
	File       string   `json:"file"`
	Line       int      `json:"line,omitempty"`   // from 1; 0 is the whole file
	Column     int      `json:"column,omitempty"` // from 1; 0 is the whole file
	Severity   Severity `json:"severity"`
	Message    string   `json:"fault"`
	Resolution string   `json:"cure,omitempty"` // how to fix it; "" if the message implies that
}

// String returns the finding on one line that begins with FILE:LINE:COLUMN, or with FILE if it concerns the whole file.
// Editors can jump to such a position.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	fmt.Fprintf(&b, ": %s: %s", f.Severity, f.Message)
	if f.Resolution != "" {
		b.WriteString("; " + f.Resolution)
	}
	return b.String()
}

// Findings are all findings of one run, sorted by file, line and column.
type Findings []Finding

// sorted sorts the findings in place and removes duplicates.
func (findings Findings) sorted() Findings {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Message, b.Message), cmp.Compare(a.Resolution, b.Resolution))
	})
	return slices.Compact(findings)
}

// HasErrors reports whether any of the findings is an error.
func (findings Findings) HasErrors() bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Err returns one error that lists the findings of severity Error, one per line; nil if there are none.
func (findings Findings) Err() error {
	var lines []string
	for _, f := range findings {
		if f.Severity == Error {
			lines = append(lines, f.String())
		}
	}
	if lines == nil {
		return nil
	}
	return errors.New(strings.Join(lines, "\n"))
}
