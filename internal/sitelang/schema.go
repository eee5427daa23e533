// Package sitelang is the site language: CUE records with units, files that include others, a checker that speaks
// plainly, and the way to the JSON form that a proxy runs from, both ways. Only tools link it; a proxy does not.
package sitelang

import (
	_ "embed"
	"fmt"
	"math/big"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/parser"
	"cuelang.org/go/cue/token"
)

//go:embed schema.cue
var schemaText string

// kind is what a field holds.
type kind int

const (
	kindString kind = iota
	kindAddress
	kindEnum
	kindInt
	kindNumber
	kindBool
	kindQuantity
	kindList
	kindMap
	kindRecord
	kindFree
)

// typ is the type of a field.
type typ struct {
	kind     kind
	quantity *quantity
	values   []string // of an enumeration
	elem     *typ     // of a list or a map
	record   *record
}

// record is a definition of the schema.
type record struct {
	name, doc string
	fields    []*field
	byName    map[string]*field
}

type field struct {
	name, doc string
	optional  bool
	typ       *typ
	json      []string          // the path in the JSON form; nil: the parent's own
	opts      map[string]string // list, map, pairs, parallel, extra
	scale     string
	low, high *big.Rat
	rangeText string // as the schema has it
	match     *regexp.Regexp
	matchText string
}

// schema is the parsed schema; it is part of the program, so a fault in it is the program's.
var schema = sync.OnceValue(func() map[string]*record {
	f, err := parser.ParseFile("schema.cue", schemaText, parser.ParseComments)
	if err != nil {
		panic(err)
	}
	records := map[string]*record{}
	define := func(visit func(*record, *ast.StructLit)) {
		for _, d := range f.Decls {
			d, ok := d.(*ast.Field)
			if !ok {
				continue
			}
			body, ok := d.Value.(*ast.StructLit)
			if !ok {
				continue
			}
			name := d.Label.(*ast.Ident).Name
			if records[name] == nil {
				records[name] = &record{name: name, doc: docOf(d), byName: map[string]*field{}}
			}
			visit(records[name], body)
		}
	}
	define(func(*record, *ast.StructLit) {})
	define(func(r *record, body *ast.StructLit) {
		for _, e := range body.Elts {
			d, ok := e.(*ast.Field)
			if !ok {
				continue
			}
			f := &field{name: d.Label.(*ast.Ident).Name, doc: docOf(d), optional: d.Constraint == token.OPTION,
				opts: map[string]string{}, typ: typeOf(d.Value, records)}
			attrs := d.Attrs
			if body, ok := d.Value.(*ast.StructLit); ok && f.typ.kind == kindMap {
				attrs = append(attrs, body.Elts[0].(*ast.Field).Attrs...) // of name: [string]: T they are T's
			}
			for _, a := range attrs {
				f.attribute(a)
			}
			r.fields = append(r.fields, f)
			r.byName[f.name] = f
		}
	})
	return records
})

func root() *record { return schema()["#Site"] }

func docOf(d *ast.Field) string {
	var out []string
	for _, g := range ast.Comments(d) {
		if g.Doc {
			out = append(out, strings.TrimSpace(g.Text()))
		}
	}
	return strings.Join(strings.Fields(strings.Join(out, " ")), " ")
}

func typeOf(e ast.Expr, records map[string]*record) *typ {
	switch e := e.(type) {
	case *ast.Ident:
		switch e.Name {
		case "string":
			return &typ{kind: kindString}
		case "int":
			return &typ{kind: kindInt}
		case "number":
			return &typ{kind: kindNumber}
		case "bool":
			return &typ{kind: kindBool}
		case "#Address":
			return &typ{kind: kindAddress}
		}
		if q := quantities[e.Name]; q != nil {
			return &typ{kind: kindQuantity, quantity: q}
		}
		if r := records[e.Name]; r != nil {
			return &typ{kind: kindRecord, record: r}
		}
	case *ast.BinaryExpr:
		return &typ{kind: kindEnum, values: enumOf(e)}
	case *ast.ListLit:
		return &typ{kind: kindList, elem: typeOf(e.Elts[0].(*ast.Ellipsis).Type, records)}
	case *ast.StructLit:
		if f, ok := e.Elts[0].(*ast.Field); ok { // [string]: T
			return &typ{kind: kindMap, elem: typeOf(f.Value, records)}
		}
		return &typ{kind: kindFree}
	}
	panic(fmt.Sprintf("schema: a type that nobody understands: %T", e))
}

func enumOf(e ast.Expr) []string {
	if b, ok := e.(*ast.BinaryExpr); ok {
		return append(enumOf(b.X), enumOf(b.Y)...)
	}
	s, err := strconv.Unquote(e.(*ast.BasicLit).Value)
	if err != nil {
		panic(err)
	}
	return []string{s}
}

func (f *field) attribute(a *ast.Attribute) {
	name, body := a.Split()
	switch name {
	case "json":
		for i, part := range strings.Split(body, ",") {
			switch key, value, _ := strings.Cut(strings.TrimSpace(part), "="); {
			case i == 0 && key != "":
				f.json = strings.Split(key, ".")
			case i == 0:
			case scales[key] != nil:
				f.scale = key
			default:
				f.opts[key] = value
				if value == "" {
					f.opts[key] = "yes"
				}
			}
		}
	case "range":
		body = strings.ReplaceAll(body, `"`, "")
		f.rangeText = strings.ReplaceAll(body, ", ", " to ")
		low, high, _ := strings.Cut(body, ", ")
		f.low, f.high = f.bound(low), f.bound(high)
	case "match":
		parts := strings.SplitN(body, `","`, 2)
		f.match = regexp.MustCompile(strings.Trim(parts[0], `"`))
		f.matchText = strings.Trim(parts[1], `"`)
	}
}

func (f *field) bound(text string) *big.Rat {
	if f.typ.kind == kindQuantity {
		r, fault := f.typ.quantity.parse(text)
		if fault != "" {
			panic("schema: " + fault)
		}
		return r
	}
	return rat(text)
}
