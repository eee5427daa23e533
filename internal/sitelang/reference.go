package sitelang

import (
	"fmt"
	"io"
	"strings"
)

// referenceIntro is the text of the reference that precedes the table of units and the tables of the records.
const referenceIntro = "# The site language\n\nMade from the schema by `micafront config reference`; edit the schema, not this page.\n\n" +
	"A site is one CUE file or several: `include` names the others. Every figure carries its unit, with or without a space\n" +
	"before it; a number without one is refused. Fields marked * are required. What the language has beside fields is CUE's\n" +
	"own: patterns such as `[string]: {…}`, defaults, references, `if` and interpolation; `import` and `for` are refused.\n\n## Units\n\n" +
	"| figure | units | example |\n| --- | --- | --- |\n"

// WriteReference writes the language reference, which it generates from the schema, in Markdown. It returns w's errors.
func WriteReference(w io.Writer) error {
	if _, err := io.WriteString(w, referenceIntro); err != nil {
		return err
	}
	for _, q := range []*quantity{durationQuantity, rateQuantity, bytesQuantity, shareQuantity} {
		if err := writeQuantityRow(w, q); err != nil {
			return err
		}
	}
	return writeRecordReference(w, siteRecord(), map[string]bool{})
}

func writeQuantityRow(w io.Writer, q *quantity) error {
	units := make([]string, len(q.units))
	for i, u := range q.units {
		units[i] = "`" + u.name + "`"
	}
	_, err := fmt.Fprintf(w, "| %s | %s | `%q` |\n", q.description, strings.Join(units, ", "), q.example)
	return err
}

// writeRecordReference writes the section of a record, and then the sections of the records that its fields hold. written
// contains the names of the records whose section has been written; those are skipped.
func writeRecordReference(w io.Writer, r *record, written map[string]bool) error {
	if written[r.name] {
		return nil
	}
	written[r.name] = true
	if _, err := fmt.Fprintf(w, "\n## %s\n\n%s\n\n| field | holds | meaning |\n| --- | --- | --- |\n", strings.TrimPrefix(r.name, "#"), r.doc); err != nil {
		return err
	}
	var inner []*record
	for _, f := range r.fields {
		requiredMark := ""
		if !f.optional {
			requiredMark = " *"
		}
		if _, err := fmt.Fprintf(w, "| `%s`%s | %s | %s |\n", f.name, requiredMark, f.tableCell(), strings.ReplaceAll(f.doc, "|", "or")); err != nil {
			return err
		}
		for t := f.valueType; t != nil; t = t.element {
			if t.record != nil {
				inner = append(inner, t.record)
			}
		}
	}
	for _, innerRecord := range inner {
		if err := writeRecordReference(w, innerRecord, written); err != nil {
			return err
		}
	}
	return nil
}

// tableCell describes a field's type and range in the reference's tables.
func (f *field) tableCell() string {
	out := f.valueType.tableCell()
	if f.rangeText != "" {
		out += ", " + f.rangeText
	}
	return out
}

// tableCell describes the type in the reference's tables. Lists, maps and records include the type of their contents.
func (t *fieldType) tableCell() string {
	switch t.kind {
	case kindRecord:
		return "a record: " + strings.TrimPrefix(t.record.name, "#")
	case kindMap:
		return "by name: " + strings.TrimPrefix(t.element.tableCell(), "a record: ")
	case kindList:
		return "a list: " + t.element.tableCell()
	case kindUntyped:
		return "any members"
	case kindEnum:
		values := make([]string, len(t.values))
		for i, value := range t.values {
			values[i] = fmt.Sprintf("`%q`", value)
		}
		return strings.Join(values, ", ")
	}
	return t.describe()
}
