package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"example.org/micafront/internal/apperror"
)

// Finding is a problem with the inputs for operators: a conflict, a rejected record or an exceeded limit. Control-plane
// replicas return findings in responses. No State contains them, so replicas of different releases may word them differently.
type Finding struct {
	Kind       string `json:"kind"`           // apperror.Kind.Name
	Name       string `json:"name,omitempty"` // of a service, alias or override; "" if the finding concerns no single name
	Mesh       string `json:"mesh,omitempty"` // "" if the finding concerns no single mesh
	Text       string `json:"text"`           // for operators; programs read Kind, Name and Mesh
	Resolution string `json:"remedy"`         // the action that an operator can take
}

// maxFindings is the most findings of one kind that are listed for one mesh. Further findings are only counted.
const maxFindings = 32

// findingSource is the kind and mesh of findings, to which maxFindings applies.
type findingSource struct {
	kind string
	mesh string
}

// findings collects at most maxFindings findings per source.
type findings struct {
	list   []Finding
	counts map[findingSource]int // including findings that are not listed
}

// add adds a finding about a name of a mesh. mesh or name is "" if the finding concerns no single one. The format is that of
// fmt.Sprintf.
func (f *findings) add(kind *apperror.Kind, mesh, name, format string, args ...any) {
	if f.counts == nil {
		f.counts = map[findingSource]int{}
	}
	source := findingSource{kind: kind.Name, mesh: mesh}
	f.counts[source]++
	if f.counts[source] > maxFindings {
		return
	}
	f.list = append(f.list, Finding{
		Kind:       kind.Name,
		Mesh:       truncateName(mesh),
		Name:       truncateName(name),
		Text:       validText(fmt.Sprintf(format, args...)),
		Resolution: kind.Resolution,
	})
}

// truncateName limits a name to maxNameBytes and replaces invalid UTF-8.
func truncateName(name string) string { return validText(name[:min(len(name), maxNameBytes)]) }

// validText replaces invalid UTF-8 with U+FFFD.
func validText(text string) string { return strings.ToValidUTF8(text, "\ufffd") }

// all returns the findings sorted and without duplicates, and adds the counts of unlisted findings.
func (f *findings) all() []Finding {
	for source, count := range f.counts {
		if count > maxFindings {
			f.list = append(f.list, Finding{Kind: source.kind, Mesh: source.mesh, Resolution: f.resolution(source.kind),
				Text: fmt.Sprintf("and %d more of this kind", count-maxFindings)})
		}
	}
	slices.SortFunc(f.list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Mesh, b.Mesh), cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Text, b.Text))
	})
	return slices.Compact(f.list)
}

// resolution returns the resolution of a kind. The list must contain a finding of that kind.
func (f *findings) resolution(kind string) string {
	i := slices.IndexFunc(f.list, func(listed Finding) bool { return listed.Kind == kind })
	return f.list[i].Resolution
}
