package federation

import (
	"fmt"
	"strings"

	"example.org/micafront/internal/catalog"
)

// maxSummaryNames is the maximum number of names that a summary lists; it only counts further ones.
const maxSummaryNames = 8

// changeSummary builds the text of summarizeChanges.
type changeSummary struct {
	clauses []string
	count   int // number of all changes, listed or not
}

// addClause counts a change, and lists it unless maxSummaryNames changes are already listed.
func (s *changeSummary) addClause(format string, args ...any) {
	s.count++
	if s.count <= maxSummaryNames {
		s.clauses = append(s.clauses, fmt.Sprintf(format, args...))
	}
}

// addEntry adds the difference between two entries with the same name, if any.
func (s *changeSummary) addEntry(old, current *catalog.Entry) {
	switch {
	case old.Owner != current.Owner || old.AliasOf != current.AliasOf:
		s.addClause("%s was %s's and is %s's", old.Name, old.Owner+old.AliasOf, current.Owner+current.AliasOf)
	case old.Status != current.Status:
		s.addClause("%s was %s and is %s", old.Name, old.Status, current.Status)
	case !old.Equal(current):
		s.addClause("%s has changed", old.Name)
	}
}

// summarizeChanges describes the names whose meaning or status differs between two catalogs; a nil previous is an empty
// catalog. If no name differs, the catalogs differ in what meshes import. The text becomes the reason of a version, which
// is stored in the replicated log.
func summarizeChanges(previous, current *catalog.State) string {
	if previous == nil {
		previous = &catalog.State{}
	}
	var summary changeSummary
	i, j := 0, 0 // both lists are sorted by name
	for i < len(previous.Entries) || j < len(current.Entries) {
		switch {
		case j == len(current.Entries) || i < len(previous.Entries) && previous.Entries[i].Name < current.Entries[j].Name:
			summary.addClause("%s is gone", previous.Entries[i].Name)
			i++
		case i == len(previous.Entries) || current.Entries[j].Name < previous.Entries[i].Name:
			summary.addClause("%s is new", current.Entries[j].Name)
			j++
		default:
			summary.addEntry(&previous.Entries[i], &current.Entries[j])
			i++
			j++
		}
	}
	if summary.count == 0 {
		return "what meshes import"
	}
	if summary.count > maxSummaryNames {
		summary.clauses = append(summary.clauses, fmt.Sprintf("and %d more", summary.count-maxSummaryNames))
	}
	return strings.Join(summary.clauses, "; ")
}
