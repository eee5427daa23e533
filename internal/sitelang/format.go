package sitelang

import (
	"strconv"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/format"
	"cuelang.org/go/cue/parser"
	"cuelang.org/go/cue/token"
)

// Format returns the canonical form of a file of the site language. It preserves the comments and the site that the file
// compiles to. The text needs valid syntax only; otherwise Format returns nil and the findings. Format is idempotent.
func Format(name string, text []byte) ([]byte, Findings) {
	s := newSourceSet()
	file, err := parser.ParseFile(name, text, parser.ParseComments)
	if err != nil {
		s.reportSyntaxErrors(name, err)
		return nil, s.findings.sorted()
	}
	normalizeUnitSpacing(file)
	out, err := format.Node(file)
	if err == nil { // the first pass may move fields that only a second pass aligns
		out, err = format.Source(out)
	}
	if err != nil {
		s.reportEvaluationErrors(name, err)
		return nil, s.findings.sorted()
	}
	return out, nil
}

// normalizeUnitSpacing rewrites quantities with one space before their unit, "300 ms" for "300ms", in the fields to
// which the schema gives a unit.
func normalizeUnitSpacing(file *ast.File) {
	normalizeDeclarations(file.Decls, &fieldType{kind: kindRecord, record: siteRecord()})
}

// normalizeDeclarations normalizes the fields of a value of type parent, which is a record or a map.
func normalizeDeclarations(declarations []ast.Decl, parent *fieldType) {
	for _, declaration := range declarations {
		f, ok := declaration.(*ast.Field)
		if !ok {
			continue
		}
		valueType := declaredType(f, parent)
		if valueType == nil {
			continue
		}
		switch value := f.Value.(type) {
		case *ast.StructLit:
			if valueType.kind == kindRecord || valueType.kind == kindMap {
				normalizeDeclarations(value.Elts, valueType)
			}
		case *ast.BasicLit:
			if valueType.kind == kindQuantity && value.Kind == token.STRING {
				normalizeQuantity(value, valueType.quantity)
			}
		}
	}
}

// declaredType returns the schema's type of a declaration in a record or a map; nil if it has none.
func declaredType(declaration *ast.Field, parent *fieldType) *fieldType {
	if parent.kind == kindMap {
		return parent.element // of an entry, or of a pattern for all entries
	}
	name, _, err := ast.LabelName(declaration.Label)
	if err != nil || parent.record.byName[name] == nil {
		return nil
	}
	return parent.record.byName[name].valueType
}

// normalizeQuantity rewrites a literal that is a valid quantity, and leaves any other literal unchanged.
func normalizeQuantity(value *ast.BasicLit, q *quantity) {
	text, err := strconv.Unquote(value.Value)
	if err != nil {
		return // another kind of literal, such as a multi-line string
	}
	if _, problem := q.parse(text); problem != "" {
		return
	}
	groups := quantityPattern.FindStringSubmatch(text)
	value.Value = strconv.Quote(q.withUnit(groups[1], groups[2]))
}
