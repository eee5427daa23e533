package sitelang

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/build"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/literal"
	"cuelang.org/go/cue/token"
)

// node is a value that has been worked out, with its place.
type node struct {
	form    form
	pos     token.Pos
	text    string // of a string, or a number's digits
	members []member
	elems   []*node
	index   map[string]int // of the members, where they are many
}

type form int

const (
	isString form = iota
	isNumber
	isBool
	isNull
	isStruct
	isList
	isBroken // its fault is booked already
)

// member is a field of a record, in the order of the files.
type member struct {
	name string
	pos  token.Pos
	node *node
}

// place is where a member is; -1: there is none of the name.
func (n *node) place(name string) int {
	if len(n.members) < 16 {
		return slices.IndexFunc(n.members, func(m member) bool { return m.name == name })
	}
	if n.index == nil {
		n.index = map[string]int{}
	}
	for i := len(n.index); i < len(n.members); i++ {
		n.index[n.members[i].name] = i
	}
	if i, ok := n.index[name]; ok {
		return i
	}
	return -1
}

func (n *node) member(name string) *node {
	if n == nil {
		return nil
	}
	if i := n.place(name); i >= 0 {
		return n.members[i].node
	}
	return nil
}

// join takes in the fields of another record. What both have and is no record goes to clash; a false from there ends
// it.
func (n *node) join(from *node, at string, clash func(path string, a, b *node) bool) bool {
	for _, m := range from.members {
		i := n.place(m.name)
		path := strings.TrimPrefix(at+"."+m.name, ".")
		switch {
		case i < 0:
			n.members = append(n.members, m)
		case n.members[i].node.form == isStruct && m.node.form == isStruct:
			if !n.members[i].node.join(m.node, path, clash) {
				return false
			}
		case !alike(n.members[i].node, m.node):
			if !clash(path, n.members[i].node, m.node) {
				return false
			}
		}
	}
	return true
}

func (n *node) names() []string {
	if n == nil {
		return nil
	}
	out := make([]string, len(n.members))
	for i := range n.members {
		out[i] = n.members[i].name
	}
	return out
}

// words says what a value is.
func (n *node) words() string {
	switch n.form {
	case isString:
		return fmt.Sprintf("the text %q", n.text)
	case isNumber:
		return "the number " + n.text
	case isBool:
		return n.text
	case isNull:
		return "null"
	case isStruct:
		return "a record"
	}
	return "a list"
}

// collections are the records whose names may be given once, over all files.
func collections() map[string]bool {
	out := map[string]bool{}
	for _, f := range root().fields {
		if f.typ.kind == kindMap {
			out[f.name] = true
		}
	}
	return out
}

// evaluate works out the value of all files together. Files that say everything in so many words, as most do, are
// taken as they stand; CUE works out the others.
func (s *set) evaluate() *node {
	s.twice()
	var plain []*node
	for _, src := range s.sources {
		if src.file == nil {
			continue
		}
		n, ok := literally(&ast.StructLit{Elts: src.file.Decls})
		if !ok {
			return s.workOut()
		}
		plain = append(plain, n)
	}
	out := &node{form: isStruct}
	for _, n := range plain {
		out.join(n, "", func(path string, a, b *node) bool {
			s.find(b.pos, "", Error, fmt.Sprintf("%s is %s here and %s at %s", path, b.words(), a.words(), where(a.pos)),
				"keep one of the two")
			return true
		})
	}
	return out
}

// literally reads an expression that needs no working out.
func literally(e ast.Expr) (*node, bool) {
	n := &node{pos: e.Pos()}
	switch e := e.(type) {
	case *ast.BasicLit:
		switch e.Kind {
		case token.STRING:
			text, err := literal.Unquote(e.Value)
			n.form, n.text = isString, text
			return n, err == nil
		case token.INT, token.FLOAT:
			var num literal.NumInfo
			if err := literal.ParseNum(e.Value, &num); err != nil || num.Multiplier() != 0 {
				return nil, false
			}
			n.form, n.text = isNumber, num.String()
			return n, true
		case token.TRUE, token.FALSE:
			n.form, n.text = isBool, e.Value
			return n, true
		case token.NULL:
			n.form = isNull
			return n, true
		}
	case *ast.UnaryExpr:
		if x, ok := literally(e.X); ok && e.Op == token.SUB && x.form == isNumber && !strings.HasPrefix(x.text, "-") {
			x.text, x.pos = "-"+x.text, n.pos
			return x, true
		}
	case *ast.ListLit:
		n.form = isList
		for _, x := range e.Elts {
			elem, ok := literally(x)
			if !ok {
				return nil, false
			}
			n.elems = append(n.elems, elem)
		}
		return n, true
	case *ast.StructLit:
		n.form = isStruct
		for _, d := range e.Elts {
			switch d := d.(type) {
			case *ast.CommentGroup, *ast.Package, *ast.Attribute:
			case *ast.Field:
				name, _, err := ast.LabelName(d.Label)
				if err != nil || d.Constraint != token.ILLEGAL || d.Alias != nil || strings.HasPrefix(name, "#") || strings.HasPrefix(name, "_") {
					return nil, false
				}
				v, ok := literally(d.Value)
				one := &node{form: isStruct, members: []member{{name, d.Label.Pos(), v}}}
				if !ok || !n.join(one, "", func(string, *node, *node) bool { return false }) {
					return nil, false
				}
			default:
				return nil, false
			}
		}
		return n, true
	}
	return nil, false
}

func alike(a, b *node) bool {
	return a.form == b.form && a.text == b.text && slices.EqualFunc(a.elems, b.elems, alike) &&
		slices.EqualFunc(a.members, b.members, func(x, y member) bool { return x.name == y.name && alike(x.node, y.node) })
}

func where(p token.Pos) string {
	return fmt.Sprintf("%s:%d:%d", p.Filename(), p.Line(), p.Column())
}

// twice books the names that are declared more than once, in one file or in several.
func (s *set) twice() {
	several := collections()
	first := map[string]token.Pos{}
	for _, src := range s.sources {
		if src.file == nil {
			continue
		}
		for _, d := range src.file.Decls {
			f, ok := d.(*ast.Field)
			if !ok {
				continue
			}
			kind, _, err := ast.LabelName(f.Label)
			body, isBody := f.Value.(*ast.StructLit)
			if err != nil || !several[kind] || !isBody {
				continue
			}
			for _, d := range body.Elts {
				e, ok := d.(*ast.Field)
				if !ok || e.Constraint != token.ILLEGAL {
					continue
				}
				name, _, err := ast.LabelName(e.Label)
				if err != nil {
					continue // a pattern for all
				}
				key := kind + "." + name
				if at, ok := first[key]; ok {
					s.find(e.Label.Pos(), src.name, Error, fmt.Sprintf("%s %q is declared here and at %s", kind, name, where(at)),
						"give one of the two another name")
					continue
				}
				first[key] = e.Label.Pos()
			}
		}
	}
}

// workOut has CUE evaluate all files together.
func (s *set) workOut() *node {
	instance := build.NewContext().NewInstance("", nil)
	for _, src := range s.sources {
		if src.file == nil {
			continue
		}
		refused := false
		src.file.Decls = slices.DeleteFunc(src.file.Decls, func(d ast.Decl) bool {
			_, pkg := d.(*ast.Package)
			if i, ok := d.(*ast.ImportDecl); ok {
				refused = true
				s.find(i.Pos(), src.name, Error, "import is not part of this language", `name further files by include: ["…"]`)
				return true
			}
			return pkg
		})
		ast.Walk(src.file, func(n ast.Node) bool {
			if c, ok := n.(*ast.ForClause); ok {
				refused = true
				s.find(c.Pos(), src.name, Error, "for is not part of this language", "write the entries out, or put what they share in a pattern such as [string]: {…}")
			}
			return true
		}, nil)
		if refused {
			return nil
		}
		if err := instance.AddSyntax(src.file); err != nil {
			s.broken(src.name, err)
			return nil
		}
	}
	if err := instance.Complete(); err != nil {
		s.broken("", err)
		return nil
	}
	v := cuecontext.New().BuildInstance(instance)
	if v.Err() != nil && v.IncompleteKind() == cue.BottomKind {
		if err := v.Validate(); err != nil {
			s.broken("", err)
			return nil
		}
	}
	return s.worked(v, "", 0)
}

// maxDepth bounds how deep records and lists may lie in one another.
const maxDepth = 32

// worked turns what CUE worked out into nodes.
func (s *set) worked(v cue.Value, path string, depth int) *node {
	v, _ = v.Default()
	n := &node{pos: v.Pos()}
	if err := v.Err(); err != nil {
		s.broken("", err)
		n.form = isBroken
		return n
	}
	if depth > maxDepth {
		s.find(n.pos, "", Error, fmt.Sprintf("%s lies over %d records deep", path, maxDepth), "")
		n.form = isBroken
		return n
	}
	kind := v.Kind()
	if kind == cue.BottomKind {
		s.find(n.pos, "", Error, fmt.Sprintf("%s has no value yet: %s", path, wanted(v.IncompleteKind())), "")
		n.form = isBroken
		return n
	}
	switch kind {
	case cue.StructKind:
		n.form = isStruct
		it, err := v.Fields()
		if err != nil {
			s.broken("", err)
			return n
		}
		for it.Next() {
			name := it.Selector().Unquoted()
			child := s.worked(it.Value(), strings.TrimPrefix(path+"."+name, "."), depth+1)
			pos := child.pos
			if f, ok := it.Value().Source().(*ast.Field); ok {
				pos = f.Label.Pos()
			}
			n.members = append(n.members, member{name, pos, child})
		}
	case cue.ListKind:
		n.form = isList
		it, err := v.List()
		if err != nil {
			s.broken("", err)
			return n
		}
		for i := 0; it.Next(); i++ {
			n.elems = append(n.elems, s.worked(it.Value(), fmt.Sprintf("%s[%d]", path, i), depth+1))
		}
	case cue.StringKind:
		n.form = isString
		n.text, _ = v.String()
	case cue.IntKind, cue.FloatKind, cue.NumberKind:
		n.form = isNumber
		text, err := v.MarshalJSON()
		n.text = string(text)
		if err != nil {
			s.broken("", err)
		}
	case cue.BoolKind:
		b, _ := v.Bool()
		n.form, n.text = isBool, strconv.FormatBool(b)
	case cue.NullKind:
		n.form = isNull
	default:
		s.find(n.pos, "", Error, fmt.Sprintf("%s is neither text nor number, nor a list or record", path), "")
		n.form = isBroken
	}
	return n
}

func wanted(k cue.Kind) string {
	switch k {
	case cue.StringKind:
		return "any text would fit"
	case cue.IntKind, cue.FloatKind, cue.NumberKind:
		return "any number would fit"
	case cue.BoolKind:
		return "true or false would fit"
	}
	return "nothing says what it is, or it leads back to itself"
}

// told are the words of CUE's parser and evaluator, each with ours. %1 stands for the first group of the pattern.
var told = []struct {
	theirs      *regexp.Regexp
	fault, cure string
}{
	{regexp.MustCompile(`^(?:invalid string: )?string literal not terminated`), "a text has no closing quote", `end it with "`},
	{regexp.MustCompile(`^(?:invalid string: )?comment not terminated`), "a comment has no end", ""},
	{regexp.MustCompile(`^expected label or ':', found 'EOF'`), "the file ends where a name or a colon is due", "is it cut short?"},
	{regexp.MustCompile(`^expected label or ':', found '([^']*)'`), "%1 stands where a name or a colon is due", ""},
	{regexp.MustCompile(`^expected '?([^']+?)'?, found 'EOF'`), "the file ends where %1 is due", "is it cut short?"},
	{regexp.MustCompile(`^expected '?([^']+?)'?, found newline`), "the line ends where %1 is due", ""},
	{regexp.MustCompile(`^expected '?([^']+?)'?, found '([^']*)' (.+)`), "%3 stands where %1 is due", ""},
	{regexp.MustCompile(`^expected '?([^']+?)'?, found '([^']*)'`), "%2 stands where %1 is due", ""},
	{regexp.MustCompile(`^expected '?([^']+?)'?$`), "here %1 is due", ""},
	{regexp.MustCompile(`^missing ',' before newline in (.+)`), "a comma is missing at the end of this line of a %1", ""},
	{regexp.MustCompile(`^missing ',' before newline`), "a comma is missing at the end of this line", ""},
	{regexp.MustCompile(`^missing ',' in (.+)`), "a comma is missing in a %1", ""},
	{regexp.MustCompile(`^illegal character NUL`), "the file holds a NUL byte", "is it a text?"},
	{regexp.MustCompile(`^illegal UTF-8 encoding`), "the file holds bytes that are not UTF-8", "save it as UTF-8"},
	{regexp.MustCompile(`^illegal byte order mark`), "a byte order mark stands in the middle of the file", "take it out"},
	{regexp.MustCompile(`^illegal character (.+)`), "the character %1 has no meaning here", ""},
	{regexp.MustCompile(`^illegal (.+) number`), "this is no %1 number", ""},
	{regexp.MustCompile(`^illegal .* in number|^illegal exponent`), "this is no number", ""},
	{regexp.MustCompile(`escape sequence`), `a \ in a text that begins nothing known`, `write \\ for the character itself`},
	{regexp.MustCompile(`^expression exceeds maximum nesting depth`), "records or lists lie too deep in one another", ""},
	{regexp.MustCompile(`^reference "([^"]+)" not found`), "%1 is not declared anywhere", `is it a text? then write "%1"`},
	{regexp.MustCompile(`^undefined field: (.+)`), "there is no field %1", ""},
	{regexp.MustCompile(`^conflicting values (.+) and (.+) \(mismatched types (.+) and (.+)\)`), "it is %1 in one place and %2 in another", "keep one of the two"},
	{regexp.MustCompile(`^conflicting values (.+) and (.+)`), "it is %1 in one place and %2 in another", "keep one of the two"},
	{regexp.MustCompile(`^incompatible list lengths`), "it is a list in two places, of different lengths", "keep one of the two"},
	{regexp.MustCompile(`^invalid value (.+) \(out of bound (.+)\)`), "%1 is not %2, as a pattern of the file wants it", ""},
	{regexp.MustCompile(`structural cycle|cyclic reference|cycle error|cycle with`), "it refers to itself in a circle", "say it in so many words in one place"},
	{regexp.MustCompile(`^empty disjunction|^\d+ errors in empty disjunction`), "none of its alternatives fits", ""},
	{regexp.MustCompile(`^field not allowed|not allowed`), "it does not belong here", ""},
	{regexp.MustCompile(`^unsupported|^invalid operand|^cannot use|^invalid operation`), "these values cannot be combined so", ""},
	{regexp.MustCompile(`division by zero`), "it divides by 0", ""},
	{regexp.MustCompile(`incomplete|non-concrete|not concrete`), "it cannot be worked out, since a part of it has no value", ""},
	{regexp.MustCompile(`^unreferenced alias or let clause (.+)`), "let %1 is used nowhere", "take it out"},
	{regexp.MustCompile(`^package name`), "files of one configuration have no package names that differ", ""},
}

func translate(theirs string) (fault, cure string) {
	theirs = strings.TrimSpace(theirs)
	for _, t := range told {
		if m := t.theirs.FindStringSubmatch(theirs); m != nil {
			fault, cure = t.fault, t.cure
			for i := 1; i < len(m); i++ {
				fault = strings.ReplaceAll(fault, "%"+strconv.Itoa(i), inWords(m[i]))
				cure = strings.ReplaceAll(cure, "%"+strconv.Itoa(i), m[i])
			}
			return fault, cure
		}
	}
	return "this cannot be understood", "compare it with the language reference"
}

var plainWords = map[string]string{"operand": "a value", "label or ':'": "a name or a colon", "EOF": "the end of the file",
	"newline": "the end of the line", "selector": "a field's name", ")": `")"`, "}": `"}"`, "]": `"]"`, ",": "a comma", "struct literal": "record",
	"list literal": "list", "IDENT": "a name", "STRING": "a text", "INT": "a number", "FLOAT": "a number", "if": `"if"`,
	"if clause": "a condition", ":": "a colon", "(": `"("`}

func inWords(theirs string) string {
	if w, ok := plainWords[theirs]; ok {
		return w
	}
	return theirs
}

// syntax books what the parser says of a file. What follows from the first fault of a line is left out.
func (s *set) syntax(name string, err error) {
	lines := map[int]bool{}
	for _, e := range errors.Errors(err) {
		if line := e.Position().Line(); !lines[line] {
			lines[line] = true
			format, args := e.Msg()
			fault, cure := translate(fmt.Sprintf(format, args...))
			s.find(e.Position(), name, Error, fault, cure)
		}
	}
}

// broken books what the evaluator says.
func (s *set) broken(name string, err error) {
	for _, e := range errors.Errors(err) {
		format, args := e.Msg()
		fault, cure := translate(fmt.Sprintf(format, args...))
		places := errors.Positions(e)
		pos := e.Position()
		if !pos.IsValid() && len(places) > 0 {
			pos = places[0]
		}
		if !pos.IsValid() && name == "" && len(s.sources) > 0 {
			name = s.sources[0].name
		}
		if path := strings.Join(e.Path(), "."); path != "" {
			fault = path + ": " + fault
		}
		s.find(pos, name, Error, fault, cure)
	}
}
