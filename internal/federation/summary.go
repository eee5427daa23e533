package federation

import (
	"fmt"
	"strings"

	"example.org/micafront/internal/catalog"
)

// maxSummaryNames is how many names a summary lists; of further ones it gives the number.
const maxSummaryNames = 8

// changeSummary collects the clauses of a summary.
type changeSummary struct {
	clauses []string
	count   int // of all changes, listed or not
}

// add counts a change, and lists it where maxSummaryNames are not listed yet.
func (s *changeSummary) add(format string, args ...any) {
	s.count++
	if s.count <= maxSummaryNames {
		s.clauses = append(s.clauses, fmt.Sprintf(format, args...))
	}
}

// addEntry adds what differs between two entries of one name, if anything does.
func (s *changeSummary) addEntry(old, current *catalog.Entry) {
	switch {
	case old.Owner != current.Owner || old.AliasOf != current.AliasOf:
		s.add("%s was %s's and is %s's", old.Name, old.Owner+old.AliasOf, current.Owner+current.AliasOf)
	case old.Status != current.Status:
		s.add("%s was %s and is %s", old.Name, old.Status, current.Status)
	case !old.Equal(current):
		s.add("%s has changed", old.Name)
	}
}

// summarizeChanges lists the names whose meaning or status differs between two catalogs; a nil previous is an empty one. Where
// none does, the catalogs differ in what meshes import. The text becomes the reason of a version, which is replicated.
func summarizeChanges(previous, current *catalog.State) string {
	if previous == nil {
		previous = &catalog.State{}
	}
	var summary changeSummary
	i, j := 0, 0 // both lists are sorted by name
	for i < len(previous.Entries) || j < len(current.Entries) {
		switch {
		case j == len(current.Entries) || i < len(previous.Entries) && previous.Entries[i].Name < current.Entries[j].Name:
			summary.add("%s is gone", previous.Entries[i].Name)
			i++
		case i == len(previous.Entries) || current.Entries[j].Name < previous.Entries[i].Name:
			summary.add("%s is new", current.Entries[j].Name)
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
