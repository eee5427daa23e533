package sitelang

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/token"
)

// globMetacharacters are the characters that make a path a pattern of filepath.Glob.
const globMetacharacters = "*?["

// include is one entry of an include list.
type include struct {
	path string // a path, or a pattern of filepath.Glob
	pos  token.Pos
}

// extractIncludes removes the include lists from a file's tree and returns their entries.
func (s *sourceSet) extractIncludes(src *source) []include {
	var includes []include
	src.file.Decls = slices.DeleteFunc(src.file.Decls, func(declaration ast.Decl) bool {
		f, ok := declaration.(*ast.Field)
		if !ok {
			return false
		}
		name, _, err := ast.LabelName(f.Label)
		if err != nil || name != fieldInclude { // err: the label is not a plain name
			return false
		}
		includes = append(includes, s.includeEntries(f.Value)...)
		return true
	})
	return includes
}

// includeEntries returns the entries of one include list, and reports those that are not paths.
func (s *sourceSet) includeEntries(value ast.Expr) []include {
	list, ok := value.(*ast.ListLit)
	if !ok {
		s.report(value.Pos(), Error, "include is not a list of files", `write it like include: ["pools.cue"]`)
		return nil
	}
	var includes []include
	for _, element := range list.Elts {
		path, ok := includePath(element)
		if !ok {
			s.report(element.Pos(), Error, "an include that is not the name of a file", "includes are read before anything is worked out")
			continue
		}
		includes = append(includes, include{path: path, pos: element.Pos()})
	}
	return includes
}

// includePath returns the path that a string literal holds; false for any other expression.
func includePath(expression ast.Expr) (string, bool) {
	text, ok := expression.(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return "", false
	}
	path, err := strconv.Unquote(text.Value)
	return path, err == nil && path != ""
}

// addInclude reads the files that an include of src names. chain holds the files from the root to src, both included.
func (s *sourceSet) addInclude(inc include, src *source, chain []*source) {
	path := inc.path
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(src.name), path)
	}
	if !strings.ContainsAny(inc.path, globMetacharacters) {
		s.addFile(path, inc.path, chain, inc.pos)
		return
	}
	names, err := sortedGlob(path)
	if err != nil {
		s.report(inc.pos, Error, fmt.Sprintf("%q is no pattern of file names", inc.path), "a [ needs its ]")
		return
	}
	s.globMatches[path] = names
	if len(names) == 0 {
		s.report(inc.pos, Error, fmt.Sprintf("no file is named like %q", inc.path), "")
	}
	for _, name := range names {
		if realPath, err := s.resolveLinks(name); err == nil && realPath == src.realPath {
			continue // a pattern that also matches the including file includes only the other files
		}
		s.addFile(name, inc.path, chain, inc.pos)
	}
}

// sortedGlob returns the paths of the files that a pattern matches, sorted. filepath.Glob sorts only within each folder.
func sortedGlob(pattern string) ([]string, error) {
	names, err := filepath.Glob(pattern)
	slices.Sort(names)
	return names, err
}
