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

// kind is the kind of value that a field holds.
type kind int

const (
	kindString  kind = iota
	kindAddress      // a text: a numeric host and a port
	kindEnum         // a text: one of several
	kindInt          // a number without a fraction
	kindNumber       // a number without a unit
	kindBool
	kindQuantity // a text: a number and a unit
	kindList     // elements of one type
	kindMap      // a struct: entries of one type by names that the site chooses
	kindRecord   // a struct: fields that the schema names
	kindUntyped  // a struct: any members
)

// fieldType is the type of a field, or of the elements of a list or a map.
type fieldType struct {
	kind     kind
	quantity *quantity  // of kindQuantity
	values   []string   // of kindEnum
	element  *fieldType // of kindList and kindMap
	record   *record    // of kindRecord
}

// record is a definition of the schema.
type record struct {
	name   string // with its "#"
	doc    string
	fields []*field // in the schema's order
	byName map[string]*field
}

// soleValueField returns the only field of a record that the JSON form represents by that field's value alone; nil for any
// other record.
func (r *record) soleValueField() *field {
	if r == nil || len(r.fields) != 1 {
		return nil
	}
	only := r.fields[0]
	if only.jsonPath != nil {
		return nil
	}
	return only
}

// Fields of the language that the conversions handle separately.
const (
	fieldInclude = "include" // names further files; it has no JSON form
	fieldExtra   = "extra"   // holds the members of the JSON form that the schema doesn't describe
)

// jsonLayout is the representation of a field in the JSON form. Every map uses one of the three layouts for maps.
type jsonLayout int

const (
	layoutValue      jsonLayout = iota // the value itself, in the representation of its type
	layoutObject                       // of a map: an object
	layoutRecordList                   // of a map: a list of records, each with its name in the member field.nameKey
	layoutPairList                     // of a map: a list of objects of two members, field.nameKey and field.valueKey
	layoutParallel                     // one list holds the values of all records, in the order of the list of records
	layoutMerged                       // the value's members are merged into the record
)

// field is a field of a record of the schema.
type field struct {
	name               string
	doc                string
	optional           bool
	valueType          *fieldType
	jsonPath           []string // in the JSON form, relative to the parent's object; nil: the parent's object itself
	layout             jsonLayout
	nameKey            string    // of layoutRecordList and layoutPairList
	valueKey           string    // of layoutPairList
	unit               *jsonUnit // of a quantity, or of the quantities in a list or map
	low                *big.Rat  // the allowed range, in base units; nil: no limit
	high               *big.Rat
	rangeText          string         // the range as the schema writes it, "LOW to HIGH"
	pattern            *regexp.Regexp // that a text must match; nil: none
	patternDescription string         // describes a matching text in findings
}

// isInlineRecord reports whether the field is a record whose fields are members of its parent in the JSON form.
func (f *field) isInlineRecord() bool { return f.valueType.kind == kindRecord && f.jsonPath == nil }

// schema returns the records of the parsed schema by name.
var schema = sync.OnceValue(parseSchema)

// parseSchema parses the embedded schema. It panics if the schema is invalid, which is a programming error.
func parseSchema() map[string]*record {
	file, err := parser.ParseFile("schema.cue", schemaText, parser.ParseComments)
	if err != nil {
		panic(err)
	}
	records := map[string]*record{}
	bodies := map[*record]*ast.StructLit{}
	for _, declaration := range file.Decls { // register all records first because they refer to one another
		definition, ok := declaration.(*ast.Field)
		if !ok {
			continue
		}
		body, ok := definition.Value.(*ast.StructLit)
		if !ok {
			continue
		}
		name := definition.Label.(*ast.Ident).Name
		records[name] = &record{name: name, doc: docComment(definition), byName: map[string]*field{}}
		bodies[records[name]] = body
	}
	for r, body := range bodies {
		r.parseFields(body, records)
	}
	return records
}

// siteRecord is the record of a whole site.
func siteRecord() *record { return schema()["#Site"] }

// parseFields adds the fields of a definition to its record.
func (r *record) parseFields(body *ast.StructLit, records map[string]*record) {
	for _, declaration := range body.Elts {
		definition, ok := declaration.(*ast.Field)
		if !ok {
			continue
		}
		f := parseField(definition, records)
		r.fields = append(r.fields, f)
		r.byName[f.name] = f
	}
}

// parseField returns a field of a definition.
func parseField(definition *ast.Field, records map[string]*record) *field {
	f := &field{
		name:      definition.Label.(*ast.Ident).Name,
		doc:       docComment(definition),
		optional:  definition.Constraint == token.OPTION,
		valueType: parseType(definition.Value, records),
		unit:      baseJSONUnit,
	}
	attributes := definition.Attrs
	if f.valueType.kind == kindMap {
		// CUE attaches the attributes after "name: [string]: T" to the inner field.
		entries := definition.Value.(*ast.StructLit).Elts[0].(*ast.Field)
		attributes = append(attributes, entries.Attrs...)
	}
	for _, attribute := range attributes {
		f.applyAttribute(attribute)
	}
	return f
}

// docComment returns the doc comment of a definition as one line.
func docComment(definition *ast.Field) string {
	var out []string
	for _, group := range ast.Comments(definition) {
		if group.Doc {
			out = append(out, strings.TrimSpace(group.Text()))
		}
	}
	return strings.Join(strings.Fields(strings.Join(out, " ")), " ")
}

// namedTypes maps the names of the schema's types, except quantities and records, to their kinds.
var namedTypes = map[string]kind{
	"string":   kindString,
	"int":      kindInt,
	"number":   kindNumber,
	"bool":     kindBool,
	"#Address": kindAddress,
}

// parseType returns the type that an expression of the schema denotes.
func parseType(expression ast.Expr, records map[string]*record) *fieldType {
	switch expression := expression.(type) {
	case *ast.Ident:
		if k, ok := namedTypes[expression.Name]; ok {
			return &fieldType{kind: k}
		}
		if q := quantities[expression.Name]; q != nil {
			return &fieldType{kind: kindQuantity, quantity: q}
		}
		if r := records[expression.Name]; r != nil {
			return &fieldType{kind: kindRecord, record: r}
		}
	case *ast.BinaryExpr:
		return &fieldType{kind: kindEnum, values: enumValues(expression)}
	case *ast.ListLit:
		return &fieldType{kind: kindList, element: parseType(expression.Elts[0].(*ast.Ellipsis).Type, records)}
	case *ast.StructLit:
		if f, ok := expression.Elts[0].(*ast.Field); ok { // [string]: T
			return &fieldType{kind: kindMap, element: parseType(f.Value, records)}
		}
		return &fieldType{kind: kindUntyped}
	}
	panic(fmt.Sprintf("schema: unsupported type %T", expression))
}

// enumValues returns the values of a disjunction of strings.
func enumValues(expression ast.Expr) []string {
	if disjunction, ok := expression.(*ast.BinaryExpr); ok {
		return append(enumValues(disjunction.X), enumValues(disjunction.Y)...)
	}
	value, err := strconv.Unquote(expression.(*ast.BasicLit).Value)
	if err != nil {
		panic(err)
	}
	return []string{value}
}

// applyAttribute applies one of the attributes @json(…), @range(LOW, HIGH) and @match("PATTERN","DESCRIPTION").
func (f *field) applyAttribute(attribute *ast.Attribute) {
	name, body := attribute.Split()
	switch name {
	case "json":
		f.applyJSONAttribute(body)
	case "range":
		body = strings.ReplaceAll(body, `"`, "")
		low, high, _ := strings.Cut(body, ", ")
		f.rangeText = strings.ReplaceAll(body, ", ", " to ")
		f.low = f.parseBound(low)
		f.high = f.parseBound(high)
	case "match":
		parts := strings.SplitN(body, `","`, 2)
		f.pattern = regexp.MustCompile(strings.Trim(parts[0], `"`))
		f.patternDescription = strings.Trim(parts[1], `"`)
	}
}

// applyJSONAttribute applies @json(path, unit or layout, …). The path may be empty.
func (f *field) applyJSONAttribute(body string) {
	parts := strings.Split(body, ",")
	if path := strings.TrimSpace(parts[0]); path != "" {
		f.jsonPath = strings.Split(path, ".")
	}
	for _, part := range parts[1:] {
		f.applyJSONOption(strings.TrimSpace(part))
	}
}

// applyJSONOption applies the name of a unit, or a layout: "map", "list=NAME", "pairs=NAME:UNIT", "parallel" or "extra".
func (f *field) applyJSONOption(option string) {
	if unit := jsonUnits[option]; unit != nil {
		f.unit = unit
		return
	}
	name, value, _ := strings.Cut(option, "=")
	switch name {
	case "map":
		f.layout = layoutObject
	case "list":
		f.layout = layoutRecordList
		f.nameKey = value
	case "pairs":
		f.layout = layoutPairList
		f.nameKey, f.valueKey, _ = strings.Cut(value, ":")
		f.unit = jsonUnits[f.valueKey] // the member that holds the value has the name of the value's unit
	case "parallel":
		f.layout = layoutParallel
	case "extra":
		f.layout = layoutMerged
	default:
		panic("schema: unknown option " + option + " of @json")
	}
}

// parseBound parses a bound of a range: a quantity in base units, or a number.
func (f *field) parseBound(text string) *big.Rat {
	if f.valueType.kind != kindQuantity {
		return mustRational(text)
	}
	value, problem := f.valueType.quantity.parse(text)
	if problem != "" {
		panic("schema: " + problem)
	}
	return value
}

// describe returns a description of a field's type and range, for a finding's resolution.
func (f *field) describe() string {
	out := f.valueType.describe()
	if f.rangeText != "" {
		out += ", from " + f.rangeText
	}
	return out
}

// describe returns a description of the type, for a finding's text.
func (t *fieldType) describe() string {
	switch t.kind {
	case kindString:
		return "a text"
	case kindAddress:
		return `an address such as "127.0.0.1:8081"`
	case kindEnum:
		return "one of " + quotedList(t.values)
	case kindInt:
		return "a whole number"
	case kindNumber:
		return "a number"
	case kindBool:
		return "true or false"
	case kindQuantity:
		return fmt.Sprintf("%s such as %q", t.quantity.description, t.quantity.example)
	case kindList:
		return "a list"
	}
	return "a record"
}
