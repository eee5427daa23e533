package sitelang

import (
	"fmt"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/token"
)

// collectionFields returns the names of a site's fields that map names to entries, such as "pool". Within each of these
// fields, a name may be declared only once across all files.
func collectionFields() map[string]bool {
	out := map[string]bool{}
	for _, f := range siteRecord().fields {
		if f.valueType.kind == kindMap {
			out[f.name] = true
		}
	}
	return out
}

// declarationKey identifies an entry of a collection.
type declarationKey struct {
	collection string
	name       string
}

// reportDuplicates reports the names that are declared more than once, in one file or in several.
func (s *sourceSet) reportDuplicates() {
	collections := collectionFields()
	firstPositions := map[declarationKey]token.Pos{}
	for _, src := range s.sources {
		for _, declaration := range src.file.Decls {
			name, body := structField(declaration)
			if collections[name] && body != nil {
				s.reportDuplicateEntries(name, body, firstPositions)
			}
		}
	}
}

// structField returns the name and the value of a field whose value is a struct literal; nil for any other declaration.
func structField(declaration ast.Decl) (string, *ast.StructLit) {
	f, ok := declaration.(*ast.Field)
	if !ok {
		return "", nil
	}
	name, _, err := ast.LabelName(f.Label)
	if err != nil {
		return "", nil // a pattern constraint
	}
	body, _ := f.Value.(*ast.StructLit)
	return name, body
}

// reportDuplicateEntries reports the entries of one struct that firstPositions already contains, and adds the others to it.
func (s *sourceSet) reportDuplicateEntries(collection string, body *ast.StructLit, firstPositions map[declarationKey]token.Pos) {
	for _, declaration := range body.Elts {
		entry, ok := declaration.(*ast.Field)
		if !ok || hasConstraint(entry) {
			continue
		}
		name, _, err := ast.LabelName(entry.Label)
		if err != nil {
			continue // a pattern constraint, which applies to all entries
		}
		key := declarationKey{collection: collection, name: name}
		if pos, ok := firstPositions[key]; ok {
			message := fmt.Sprintf("%s %q is declared here and at %s", collection, name, formatPosition(pos))
			s.report(entry.Label.Pos(), Error, message, "give one of the two another name")
			continue
		}
		firstPositions[key] = entry.Label.Pos()
	}
}
