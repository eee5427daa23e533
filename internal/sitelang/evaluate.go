package sitelang

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/build"
	"cuelang.org/go/cue/cuecontext"
)

// maxDepth is the maximum nesting depth of structs and lists.
const maxDepth = 32

// evaluate merges the parsed files into one tree. If there is none, it reports the errors and returns nil. Files that
// consist of literals alone, as most do, bypass CUE's evaluator, which is far slower.
func (s *sourceSet) evaluate() *node {
	s.reportDuplicates()
	var literals []*node
	for _, src := range s.sources {
		n, ok := literalNode(&ast.StructLit{Elts: src.file.Decls})
		if !ok {
			return s.evaluateWithCUE()
		}
		literals = append(literals, n)
	}
	out := &node{form: formStruct}
	for _, n := range literals {
		out.mergeFrom(n, "", s.reportConflict)
	}
	return out
}

// reportConflict reports two different values at one path. It returns true so that the merge of the files continues.
func (s *sourceSet) reportConflict(path string, own, others *node) bool {
	message := fmt.Sprintf("%s is %s here and %s at %s", path, others.describe(), own.describe(), formatPosition(own.pos))
	s.report(others.pos, Error, message, "keep one of the two")
	return true
}

// evaluateWithCUE evaluates all files together with CUE. It returns nil if the evaluation fails as a whole. If single values
// have errors, it reports these and returns a tree in which the nodes of those values are invalid.
func (s *sourceSet) evaluateWithCUE() *node {
	instance := build.NewContext().NewInstance("", nil)
	for _, src := range s.sources {
		if s.reportUnsupportedSyntax(src) {
			return nil
		}
		if err := instance.AddSyntax(src.file); err != nil {
			s.reportEvaluationErrors(src.name, err)
			return nil
		}
	}
	if err := instance.Complete(); err != nil {
		s.reportEvaluationErrors("", err)
		return nil
	}
	value := cuecontext.New().BuildInstance(instance)
	if value.Err() != nil && value.IncompleteKind() == cue.BottomKind {
		if err := value.Validate(); err != nil {
			s.reportEvaluationErrors("", err)
			return nil
		}
	}
	return s.nodeFromCUE(value, "", 0)
}

// reportUnsupportedSyntax reports each use of CUE syntax that the site language excludes, and returns whether there is any.
// It removes the file's package clause because the files of a site are evaluated as one package.
func (s *sourceSet) reportUnsupportedSyntax(src *source) bool {
	unsupported := false
	src.file.Decls = slices.DeleteFunc(src.file.Decls, func(declaration ast.Decl) bool {
		if importDeclaration, ok := declaration.(*ast.ImportDecl); ok {
			unsupported = true
			s.report(importDeclaration.Pos(), Error, "import is not part of this language", `name further files by include: ["…"]`)
			return true
		}
		_, isPackage := declaration.(*ast.Package)
		return isPackage
	})
	ast.Walk(src.file, func(n ast.Node) bool {
		if clause, ok := n.(*ast.ForClause); ok {
			unsupported = true
			s.report(clause.Pos(), Error, "for is not part of this language",
				"write the entries out, or put what they share in a pattern such as [string]: {…}")
		}
		return true
	}, nil)
	return unsupported
}

// nodeFromCUE converts an evaluated CUE value. It reports the value's errors and returns a node with formInvalid for it. path
// and depth are the value's position in the site.
func (s *sourceSet) nodeFromCUE(value cue.Value, path string, depth int) *node {
	value, _ = value.Default() // the value itself if it has no default
	n := &node{pos: value.Pos()}
	if err := value.Err(); err != nil {
		s.reportEvaluationErrors("", err)
		n.form = formInvalid
		return n
	}
	if depth > maxDepth {
		return s.invalidNode(n, fmt.Sprintf("%s is nested over %d levels deep", path, maxDepth))
	}
	switch value.Kind() {
	case cue.BottomKind:
		return s.invalidNode(n, fmt.Sprintf("%s has no value yet: %s", path, missingValueHint(value.IncompleteKind())))
	case cue.StructKind:
		n.form = formStruct
		s.addMembersFromCUE(n, value, path, depth)
	case cue.ListKind:
		n.form = formList
		s.addElementsFromCUE(n, value, path, depth)
	case cue.StringKind:
		n.form = formString
		n.text, _ = value.String() // the kind was checked
	case cue.IntKind, cue.FloatKind, cue.NumberKind:
		n.form = formNumber
		text, err := value.MarshalJSON()
		n.text = string(text)
		if err != nil {
			s.reportEvaluationErrors("", err)
		}
	case cue.BoolKind:
		flag, _ := value.Bool() // the kind was checked
		n.form = formBool
		n.text = strconv.FormatBool(flag)
	case cue.NullKind:
		n.form = formNull
	default:
		return s.invalidNode(n, fmt.Sprintf("%s is neither text nor number, nor a list or record", path))
	}
	return n
}

// invalidNode reports an error at a node and marks it as invalid.
func (s *sourceSet) invalidNode(n *node, message string) *node {
	s.report(n.pos, Error, message, "")
	n.form = formInvalid
	return n
}

// addMembersFromCUE converts the fields of a struct and adds them to its node.
func (s *sourceSet) addMembersFromCUE(n *node, value cue.Value, path string, depth int) {
	fields, err := value.Fields()
	if err != nil {
		s.reportEvaluationErrors("", err)
		return
	}
	for fields.Next() {
		name := fields.Selector().Unquoted()
		child := s.nodeFromCUE(fields.Value(), strings.TrimPrefix(path+"."+name, "."), depth+1)
		pos := child.pos
		if declaration, ok := fields.Value().Source().(*ast.Field); ok {
			pos = declaration.Label.Pos()
		}
		n.members = append(n.members, member{name: name, pos: pos, node: child})
	}
}

// addElementsFromCUE converts the elements of a list and adds them to its node.
func (s *sourceSet) addElementsFromCUE(n *node, value cue.Value, path string, depth int) {
	elements, err := value.List()
	if err != nil {
		s.reportEvaluationErrors("", err)
		return
	}
	for i := 0; elements.Next(); i++ {
		n.elements = append(n.elements, s.nodeFromCUE(elements.Value(), fmt.Sprintf("%s[%d]", path, i), depth+1))
	}
}

// missingValueHint describes the values that would make a value of this kind concrete.
func missingValueHint(kind cue.Kind) string {
	switch kind {
	case cue.StringKind:
		return "any text would fit"
	case cue.IntKind, cue.FloatKind, cue.NumberKind:
		return "any number would fit"
	case cue.BoolKind:
		return "true or false would fit"
	}
	return "nothing says what it is, or it leads back to itself"
}
