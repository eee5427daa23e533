package sitelang

import (
	"fmt"
	"io"
	"strings"
)

// Reference writes the language reference, from the schema alone.
func Reference(w io.Writer) {
	fmt.Fprint(w, "# The site language\n\nMade from the schema by `micafront config reference`; edit the schema, not this page.\n\n"+
		"A site is one CUE file or several: `include` names the others. Every figure carries its unit, with or without a space\n"+
		"before it; a number without one is refused. Fields marked * are required. What the language has beside fields is CUE's\n"+
		"own: patterns such as `[string]: {…}`, defaults, references, `if` and interpolation; `import` and `for` are refused.\n\n## Units\n\n"+
		"| figure | units | example |\n| --- | --- | --- |\n")
	for _, name := range []string{"#Duration", "#Rate", "#Bytes", "#Share"} {
		q := quantities[name]
		units := make([]string, len(q.units))
		for i, u := range q.units {
			units[i] = "`" + u.name + "`"
		}
		fmt.Fprintf(w, "| %s | %s | `%q` |\n", q.what, strings.Join(units, ", "), q.example)
	}
	seen := map[string]bool{}
	var page func(r *record)
	page = func(r *record) {
		if seen[r.name] {
			return
		}
		seen[r.name] = true
		fmt.Fprintf(w, "\n## %s\n\n%s\n\n| field | holds | meaning |\n| --- | --- | --- |\n", strings.TrimPrefix(r.name, "#"), r.doc)
		var inner []*record
		for _, f := range r.fields {
			star := ""
			if !f.optional {
				star = " *"
			}
			fmt.Fprintf(w, "| `%s`%s | %s | %s |\n", f.name, star, f.holds(), strings.ReplaceAll(f.doc, "|", "or"))
			for of := f.typ; of != nil; of = of.elem {
				if of.record != nil {
					inner = append(inner, of.record)
				}
			}
		}
		for _, i := range inner {
			page(i)
		}
	}
	page(root())
}

// holds says a field's type in a table's cell.
func (f *field) holds() string {
	t := f.typ
	var out string
	switch t.kind {
	case kindRecord:
		out = "a record: " + strings.TrimPrefix(t.record.name, "#")
	case kindMap:
		out = "by name: " + strings.TrimPrefix((&field{typ: t.elem}).holds(), "a record: ")
	case kindList:
		out = "a list: " + (&field{typ: t.elem}).holds()
	case kindFree:
		out = "any members"
	case kindEnum:
		values := make([]string, len(t.values))
		for i, v := range t.values {
			values[i] = fmt.Sprintf("`%q`", v)
		}
		out = strings.Join(values, ", ")
	default:
		out = t.words()
	}
	if f.rangeText != "" {
		out += ", " + f.rangeText
	}
	return out
}
