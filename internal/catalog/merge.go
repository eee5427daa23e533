package catalog

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"example.org/micafront/internal/routing"
)

// maxAliasRounds is in how many rounds rejected aliases make way for other claims on their names.
const maxAliasRounds = 4

// Merger is the interface of Rules.
type Merger interface {
	// Merge makes the next state from the previous one and everything that is known now. Neither the order of inputs nor
	// duplicates among them matter. at is the agreed time, which never goes back.
	Merge(previous *State, inputs Inputs, at time.Duration) (*State, []Finding)
	// Bind replaces the services that routes name ("service:NAME" in place of a pool) by pools, as the state resolves them
	// for proxies of a zone. The set is not changed. A name that means no service is an error.
	Bind(set routing.Set, s *State, zone string) (routing.Set, error)
	// BindFor is Bind for the proxies of a mesh, which use only the providers that their mesh sees; "": all providers.
	BindFor(set routing.Set, s *State, zone, mesh string) (routing.Set, error)
}

// Rules implements Merger. The zero value is ready for use.
type Rules struct {
	// compare orders claimants of a free name; nil: compareClaimants. Tests plant faults with it.
	compare func(a, b *claimant) int
}

var _ Merger = Rules{}

// nameDecision is one name while its owner is decided.
type nameDecision struct {
	name      string
	qualifier string // the mesh of a qualified name; "": a short name
	previous  *Entry // nil: the previous state does not have the name
	claims    []*claim
	claimants []*claimant // by precedence
	winner    *claimant   // nil: nobody, or a former owner whose times are not over
	entry     Entry       // valid where hasEntry
	hasEntry  bool
}

// mergePass is one pass of Rules.Merge.
type mergePass struct {
	*validation
	compare         func(a, b *claimant) int
	stateNumber     uint64         // of the state to be made
	decisions       []nameDecision // of short names, sorted
	claimantStorage []claimant     // storage for the names' claimants
}

// Merge implements Merger. Neither previous nor the inputs are changed; the result shares their parts, so they must not be
// changed afterwards. Where nothing has changed the result equals previous, its number and time included. A nil previous is
// an empty state.
func (r Rules) Merge(previous *State, inputs Inputs, at time.Duration) (*State, []Finding) {
	if previous == nil {
		previous = &State{}
	}
	next, findings, rejected := r.mergeOnce(previous, inputs, at)
	// A rejected alias may be valid beside the owners that this pass has decided, so it is tried again as the next call
	// would.
	for round := 0; rejected && round < maxAliasRounds; round++ {
		again := *next
		again.Number = previous.Number
		again.Index()
		var merged *State
		merged, findings, rejected = r.mergeOnce(&again, inputs, at)
		merged.Number = previous.Number + 1
		if equalEntries(next.Entries, merged.Entries) {
			break
		}
		next = merged
	}
	if equalEntries(previous.Entries, next.Entries) && slices.EqualFunc(previous.Meshes, next.Meshes, equalAccepted) {
		next.Number = previous.Number
		next.At = previous.At
	}
	next.Index()
	return next, findings
}

// mergeOnce makes the next state in one pass, and reports whether aliases were rejected.
func (r Rules) mergeOnce(previous *State, inputs Inputs, at time.Duration) (next *State, findings []Finding, rejected bool) {
	m := &mergePass{validation: validateInputs(previous, inputs, at), compare: r.compare, stateNumber: previous.Number + 1}
	if m.compare == nil {
		m.compare = compareClaimants
	}
	m.collectNames()
	m.decideOwners()
	for range maxAliasRounds {
		m.updateAliasTargets()
		if !m.rejectAliases() {
			break
		}
		rejected = true
	}
	m.updateAliasTargets()
	next = &State{
		Number:  m.stateNumber,
		At:      max(at, previous.At),
		Entries: m.entries(),
		Meshes:  make([]AcceptedPublication, 0, len(m.publishers)),
	}
	for _, p := range m.publishers {
		next.Meshes = append(next.Meshes, p.accepted)
	}
	m.reportCollisions(next)
	m.reportUnusedOverrides()
	return next, m.all(), rejected
}

// collectNames makes the decisions to be taken: all short names that are claimed or that the previous state has. Both lists
// are sorted.
func (m *mergePass) collectNames() {
	previous := m.previous.Entries
	claims := m.claims
	m.decisions = make([]nameDecision, 0, max(len(claims), len(previous)))
	for len(claims) > 0 || len(previous) > 0 {
		if len(previous) > 0 {
			if _, qualifier := splitName(previous[0].Name); qualifier != "" {
				previous = previous[1:]
				continue
			}
		}
		d := nameDecision{}
		if len(claims) > 0 && (len(previous) == 0 || claims[0].name <= previous[0].Name) {
			d.name = claims[0].name
		} else {
			d.name = previous[0].Name
		}
		if len(previous) > 0 && previous[0].Name == d.name {
			d.previous = &previous[0]
			previous = previous[1:]
		}
		count := 0
		for count < len(claims) && claims[count].name == d.name {
			count++
		}
		d.claims = claims[:count]
		claims = claims[count:]
		m.decisions = append(m.decisions, d)
	}
}

// decideOwners decides names that only services claim first: what an alias is for is known best after that.
func (m *mergePass) decideOwners() {
	for _, aliases := range []bool{false, true} {
		for i := range m.decisions {
			d := &m.decisions[i]
			claimedByAlias := slices.ContainsFunc(d.claims, func(c *claim) bool { return c.service == nil })
			if claimedByAlias == aliases {
				m.groupClaims(d)
				m.decideOwner(d)
			}
		}
	}
}

// decision returns the decision on a short name; nil where there is none.
func (m *mergePass) decision(name string) *nameDecision {
	i, ok := sort.Find(len(m.decisions), func(i int) int { return cmp.Compare(name, m.decisions[i].name) })
	if !ok {
		return nil
	}
	return &m.decisions[i]
}
