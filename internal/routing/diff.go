package routing

import (
	"fmt"
	"slices"
	"strings"
)

// MatchSpace lists the values that class, listener and zone of a site's connections can have. An empty list allows any text.
type MatchSpace struct {
	Classes   []string
	Listeners []string
	Zones     []string
}

// Span is a set of texts in one dimension. If Texts is empty, the span holds all texts that begin with Prefix, except for
// ExceptTexts and the texts that begin with one of ExceptPrefixes.
type Span struct {
	Dimension      string   `json:"dimension"`
	Texts          []string `json:"texts,omitempty"`
	Prefix         string   `json:"prefix,omitempty"`
	ExceptTexts    []string `json:"except,omitempty"` // texts that form separate spans
	ExceptPrefixes []string `json:"beside,omitempty"` // longer prefixes that form separate spans
}

// Contains reports whether the span contains a text.
func (s *Span) Contains(text string) bool {
	if len(s.Texts) > 0 {
		return slices.Contains(s.Texts, text)
	}
	return strings.HasPrefix(text, s.Prefix) && !slices.Contains(s.ExceptTexts, text) && !hasAnyPrefix(text, s.ExceptPrefixes)
}

// isUnbounded reports whether the span contains all texts.
func (s *Span) isUnbounded() bool {
	return len(s.Texts) == 0 && s.Prefix == "" && len(s.ExceptTexts) == 0 && len(s.ExceptPrefixes) == 0
}

// Outcome is the routing decision for a connection, by name and by content.
type Outcome struct {
	Route  string `json:"route,omitempty"` // "": no route matches
	Pool   string `json:"pool,omitempty"`
	Policy string `json:"policy,omitempty"`

	// Contents of the named objects, formatted for comparison.
	terms     string // of the policy
	limits    string // of route and pool
	selection string // of the pool
}

// Change is a set of connections on which two tables decide differently, with both decisions.
type Change struct {
	Cell    []Span   `json:"connections"` // at most one span per dimension; empty: all connections
	PPM     int      `json:"share_ppm"`   // share of the keys in the cell, in parts per million
	From    int      `json:"-"`           // SplitPosition at which the share begins
	Old     Outcome  `json:"old"`
	New     Outcome  `json:"new"`
	Aspects []string `json:"what"` // differing aspects: route, pool, policy, terms, limits, selection
}

// Aspects of an Outcome, as listed in Change.Aspects.
const (
	aspectRoute     = "route"
	aspectPool      = "pool"
	aspectPolicy    = "policy"
	aspectTerms     = "terms"
	aspectLimits    = "limits"
	aspectSelection = "selection"
)

// ChangesPool reports whether the connections go to another pool.
func (c *Change) ChangesPool() bool { return c.Old.Pool != c.New.Pool }

// Diff returns all sets of connections on which two tables decide differently. It divides the match space into cells such that
// each table decides equally on all connections in a cell, except for their positions in a split. It skips cells on which both
// tables agree. The result is exact. Diff returns ErrTooManyCells if there are over 4 million cells.
func Diff(oldTable, newTable *Table, space MatchSpace) ([]Change, error) {
	fields := append(slices.Clone(oldTable.FieldNames), newTable.FieldNames...)
	slices.Sort(fields)
	d := newDiffer(oldTable, newTable, slices.Compact(fields), space)
	if err := d.walkAllCells(); err != nil {
		return nil, err
	}
	return d.mergeChanges(d.changes), nil
}

// outcome returns the outcome for the connections in a share of a route.
func (t *Table) outcome(route, share int) Outcome {
	r, to := &t.Set.Routes[route], &t.targets[route]
	pool := &t.Set.Pools[to.pools[share]]
	o := Outcome{
		Route:     r.Name,
		Pool:      pool.Name,
		Policy:    r.Policy,
		limits:    fmt.Sprint(r.MaxOpen, r.MaxWaiting, pool.MaxOpen, pool.MaxWaiting),
		selection: fmt.Sprintf("%+v %d", pool.Select, pool.Precedence),
	}
	if to.policy >= 0 {
		unnamed := t.Set.Policies[to.policy]
		unnamed.Name = ""
		o.terms = fmt.Sprintf("%+v", unnamed)
	}
	return o
}

// differences returns the names of the aspects in which two outcomes differ.
func differences(a, b Outcome) []string {
	var aspects []string
	for _, aspect := range []struct {
		name string
		a    string
		b    string
	}{
		{aspectRoute, a.Route, b.Route},
		{aspectPool, a.Pool, b.Pool},
		{aspectPolicy, a.Policy, b.Policy},
		{aspectTerms, a.terms, b.terms},
		{aspectLimits, a.limits, b.limits},
		{aspectSelection, a.selection, b.selection},
	} {
		if aspect.a != aspect.b {
			aspects = append(aspects, aspect.name)
		}
	}
	return aspects
}
