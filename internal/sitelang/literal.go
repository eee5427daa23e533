package sitelang

import (
	"strings"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/literal"
	"cuelang.org/go/cue/token"
)

// literalNode converts an expression that consists of literals alone. It returns false for an expression that CUE must
// evaluate.
func literalNode(expression ast.Expr) (*node, bool) {
	switch expression := expression.(type) {
	case *ast.BasicLit:
		return basicLiteral(expression)
	case *ast.UnaryExpr:
		return negativeLiteral(expression)
	case *ast.ListLit:
		return listLiteral(expression)
	case *ast.StructLit:
		return structLiteral(expression)
	}
	return nil, false
}

func basicLiteral(expression *ast.BasicLit) (*node, bool) {
	n := &node{pos: expression.Pos()}
	switch expression.Kind {
	case token.STRING:
		text, err := literal.Unquote(expression.Value)
		n.form = formString
		n.text = text
		return n, err == nil
	case token.INT, token.FLOAT:
		var number literal.NumInfo
		if err := literal.ParseNum(expression.Value, &number); err != nil || number.Multiplier() != 0 {
			return nil, false
		}
		n.form = formNumber
		n.text = number.String()
		return n, true
	case token.TRUE, token.FALSE:
		n.form = formBool
		n.text = expression.Value
		return n, true
	case token.NULL:
		n.form = formNull
		return n, true
	}
	return nil, false
}

func negativeLiteral(expression *ast.UnaryExpr) (*node, bool) {
	n, ok := literalNode(expression.X)
	if !ok || expression.Op != token.SUB || n.form != formNumber || strings.HasPrefix(n.text, "-") {
		return nil, false
	}
	n.text = "-" + n.text
	n.pos = expression.Pos()
	return n, true
}

func listLiteral(expression *ast.ListLit) (*node, bool) {
	n := &node{form: formList, pos: expression.Pos()}
	for _, item := range expression.Elts {
		element, ok := literalNode(item)
		if !ok {
			return nil, false
		}
		n.elements = append(n.elements, element)
	}
	return n, true
}

func structLiteral(expression *ast.StructLit) (*node, bool) {
	n := &node{form: formStruct, pos: expression.Pos()}
	for _, declaration := range expression.Elts {
		switch declaration := declaration.(type) {
		case *ast.CommentGroup, *ast.Package, *ast.Attribute:
		case *ast.Field:
			m, ok := literalMember(declaration)
			if !ok {
				return nil, false
			}
			single := &node{form: formStruct, members: []member{m}}
			if !n.mergeFrom(single, "", func(string, *node, *node) bool { return false }) {
				return nil, false
			}
		default:
			return nil, false
		}
	}
	return n, true
}

// literalMember converts a regular field whose value is a literal. It returns false for any other field.
func literalMember(declaration *ast.Field) (member, bool) {
	name, _, err := ast.LabelName(declaration.Label)
	isRegular := err == nil && !hasConstraint(declaration) && declaration.Alias == nil && !isHiddenOrDefinition(name)
	if !isRegular {
		return member{}, false
	}
	value, ok := literalNode(declaration.Value)
	return member{name: name, pos: declaration.Label.Pos(), node: value}, ok
}

// hasConstraint reports whether a field is optional or required ("name?:", "name!:") rather than a regular one.
func hasConstraint(declaration *ast.Field) bool { return declaration.Constraint != token.ILLEGAL }

// isHiddenOrDefinition reports whether a name is that of a hidden field or a definition, which CUE omits from its result.
func isHiddenOrDefinition(name string) bool {
	return strings.HasPrefix(name, "_") || strings.HasPrefix(name, "#")
}
