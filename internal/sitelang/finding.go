package sitelang

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity tells what a finding means for the configuration.
type Severity string

const (
	Error   Severity = "error"   // it cannot be used
	Warning Severity = "warning" // it can, and something in it has no effect or is unlikely to be meant
)

// Finding is one fault, with the place where it can be mended. Line and column count from 1; 0 is the whole file.
type Finding struct {
	File     string   `json:"file"`
	Line     int      `json:"line,omitempty"`
	Column   int      `json:"column,omitempty"`
	Severity Severity `json:"severity"`
	Fault    string   `json:"fault"`
	Cure     string   `json:"cure,omitempty"`
}

func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	fmt.Fprintf(&b, ": %s: %s", f.Severity, f.Fault)
	if f.Cure != "" {
		b.WriteString("; " + f.Cure)
	}
	return b.String()
}

// Findings are all faults of one run, in the order of files, lines and columns.
type Findings []Finding

func (fs Findings) sorted() Findings {
	slices.SortFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Fault, b.Fault), cmp.Compare(a.Cure, b.Cure))
	})
	return slices.Compact(fs)
}

// Fatal reports whether there is an error among them.
func (fs Findings) Fatal() bool {
	return slices.ContainsFunc(fs, func(f Finding) bool { return f.Severity == Error })
}

// Err is the errors alone, or nil.
func (fs Findings) Err() error {
	var lines []string
	for _, f := range fs {
		if f.Severity == Error {
			lines = append(lines, f.String())
		}
	}
	if lines == nil {
		return nil
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}

// nearest is the known name that a mistyped one most likely stands for; "" if none is near.
func nearest(name string, known []string) string {
	best, at := "", len(name)/3+2
	for _, k := range known {
		if d := distance(strings.ToLower(name), strings.ToLower(k)); d < at || d == at && best != "" && k < best {
			best, at = k, d
		}
	}
	return best
}

// distance counts the letters to insert, drop, change or swap.
func distance(a, b string) int {
	if len(a) > 64 || len(b) > 64 {
		return 1 << 20
	}
	rows := [3][]int{make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)}
	for j := range rows[1] {
		rows[1][j] = j
	}
	for i := 1; i <= len(a); i++ {
		before, last, row := rows[0], rows[1], rows[2]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := last[j-1]
			if a[i-1] != b[j-1] {
				change++
			}
			row[j] = min(last[j]+1, row[j-1]+1, change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], before[j-2]+1)
			}
		}
		rows = [3][]int{last, row, before}
	}
	return rows[1][len(b)]
}

// oneOf lists names for a person, the first few of them.
func oneOf(names []string) string {
	const few = 8
	quoted := make([]string, 0, few)
	for i, n := range names {
		if i == few {
			quoted = append(quoted, fmt.Sprintf("%d more", len(names)-few))
			break
		}
		quoted = append(quoted, fmt.Sprintf("%q", n))
	}
	return strings.Join(quoted, ", ")
}

// meant is the cure of a name that does not exist.
func meant(name string, known []string) string {
	if n := nearest(name, known); n != "" {
		return fmt.Sprintf("is %q meant?", n)
	}
	if len(known) == 0 {
		return ""
	}
	return "there is " + oneOf(known)
}
