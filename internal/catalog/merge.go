package catalog

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"example.org/micafront/internal/routing"
)

// maxAliasRounds limits how often owners are decided again after aliases were rejected, so that other claims on their names can
// win.
const maxAliasRounds = 4

// Merger merges publications into states and binds services to pools. Rules implements it.
type Merger interface {
	// Merge returns the state that follows previous, and the findings about the inputs. The result does not depend on the
	// order of the inputs or on duplicates among them. at is the agreed time, which never decreases.
	Merge(previous *State, inputs Inputs, at time.Duration) (*State, []Finding)
	// Bind returns a copy of the set in which the services that routes and policies name ("service:NAME" instead of a pool)
	// are replaced by pools, as the state resolves them for proxies of a zone. A name that resolves to no service is an
	// UnknownService error; a service whose pool or policy name is already in use is a PoolNameConflict error.
	Bind(set routing.Set, s *State, zone string) (routing.Set, error)
	// BindFor is Bind for the proxies of a mesh, which use only the providers visible to their mesh. If mesh is "", all
	// providers are used.
	BindFor(set routing.Set, s *State, zone, mesh string) (routing.Set, error)
}

// Rules implements Merger. The zero value is ready for use.
type Rules struct {
	// compare orders the claimants of a free name; nil means compareClaimants. Tests replace it to inject faults.
	compare func(a, b *claimant) int
}

var _ Merger = Rules{}

// nameDecision holds the claims on one name and, once decided, its owner and entry.
type nameDecision struct {
	name      string
	qualifier string // the mesh of a qualified name; "" for a short name
	previous  *Entry // nil if the previous state does not contain the name
	claims    []*claim
	claimants []*claimant // in order of precedence
	winner    *claimant   // nil if no claimant owns the name, or a former owner still holds it
	entry     Entry       // valid if hasEntry
	hasEntry  bool
}

// mergePass is the state of one pass of Rules.Merge.
type mergePass struct {
	*validation
	compare         func(a, b *claimant) int
	stateNumber     uint64         // of the resulting state
	decisions       []nameDecision // on short names, sorted by name
	claimantStorage []claimant     // the block that newClaimant allocates from
}

// Merge implements Merger. It modifies neither previous nor the inputs. The result shares memory with them, so they must not be
// modified afterwards. If nothing has changed, the result equals previous, including its number and time. A nil previous is
// an empty state.
func (r Rules) Merge(previous *State, inputs Inputs, at time.Duration) (*State, []Finding) {
	if previous == nil {
		previous = &State{}
	}
	next, findings, rejected := r.mergeOnce(previous, inputs, at)
	// A rejected alias may be valid with the owners that this pass has decided. So it is evaluated again, as the next call of
	// Merge would.
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

// mergeOnce computes the next state in one pass, and reports whether aliases were rejected.
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

// collectNames creates a decision for each short name that is claimed or that the previous state contains. It merges the two
// lists, which are sorted by name.
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

// decideOwners decides the owners of all short names. Names claimed only by services come first, because the targets of aliases
// depend on their owners.
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

// decision returns the decision on a short name, or nil if there is none.
func (m *mergePass) decision(name string) *nameDecision {
	i, ok := sort.Find(len(m.decisions), func(i int) int { return cmp.Compare(name, m.decisions[i].name) })
	if !ok {
		return nil
	}
	return &m.decisions[i]
}
