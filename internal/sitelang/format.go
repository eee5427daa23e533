package sitelang

import (
	"strconv"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/token"
)

// spaceUnits writes figures with one space before their unit, "300 ms" for "300ms". It looks only at fields that the
// schema gives a unit, at the places where they belong.
func spaceUnits(f *ast.File) {
	spaceIn(f.Decls, &typ{kind: kindRecord, record: root()})
}

func spaceIn(decls []ast.Decl, t *typ) {
	for _, d := range decls {
		f, ok := d.(*ast.Field)
		if !ok {
			continue
		}
		name, _, err := ast.LabelName(f.Label)
		var of *typ
		switch {
		case t.kind == kindMap:
			of = t.elem // a pattern for all entries too
		case err == nil && t.record.byName[name] != nil:
			of = t.record.byName[name].typ
		default:
			continue
		}
		switch v := f.Value.(type) {
		case *ast.StructLit:
			if of.kind == kindRecord || of.kind == kindMap {
				spaceIn(v.Elts, of)
			}
		case *ast.BasicLit:
			if of.kind != kindQuantity || v.Kind != token.STRING {
				continue
			}
			text, err := strconv.Unquote(v.Value)
			if err != nil {
				continue
			}
			if _, fault := of.quantity.parse(text); fault == "" {
				m := figure.FindStringSubmatch(text)
				v.Value = strconv.Quote(of.quantity.write(m[1], m[2]))
			}
		}
	}
}
