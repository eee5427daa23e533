package catalog

import "slices"

// maxLoopMembers is how many members a finding about a cycle of aliases names.
const maxLoopMembers = 8

// aliasTarget returns the name that an alias is for. The mesh's own service or alias precedes what the name means to all.
func (m *mergePass) aliasTarget(c *claim) string {
	if _, qualifier := splitName(c.to); qualifier != "" {
		return c.to
	}
	d := m.decision(c.to)
	if d == nil {
		return c.to
	}
	for _, other := range d.claims {
		if other.publisher == c.publisher && !other.rejected && !d.isWonBy(other) {
			return qualify(c.to, c.publisher.name())
		}
	}
	return c.to
}

// isWonBy reports whether a claim is one of the winner's.
func (d *nameDecision) isWonBy(c *claim) bool {
	return d.winner != nil && slices.Contains(d.winner.claims, c)
}

// updateAliasTargets sets the targets of aliases' entries anew, now that owners are decided.
func (m *mergePass) updateAliasTargets() {
	for i := range m.names {
		if d := &m.names[i]; d.hasEntry && d.winner != nil && d.winner.isAlias {
			d.entry.AliasOf = m.aliasTarget(d.winner.claims[0])
		}
	}
}

// followAlias goes one step from a name to its service: next is the name that it is an alias for, "" for a service, and via
// the claim that says so; nil: an entry of the previous state. ok is false where the name means nothing.
func (m *mergePass) followAlias(name string) (next string, via *claim, ok bool) {
	short, mesh := splitName(name)
	d := m.decision(short)
	if mesh == "" {
		if d == nil || !d.hasEntry {
			return "", nil, false
		}
		if d.winner != nil && d.winner.isAlias {
			via = d.winner.claims[0]
		}
		return d.entry.AliasOf, via, true
	}
	if d != nil {
		for _, c := range d.claims {
			if c.publisher.name() != mesh || c.rejected {
				continue
			}
			if c.service == nil {
				return m.aliasTarget(c), c, true
			}
			return "", nil, true
		}
	}
	previous := m.previous.lookup(name)
	if previous == nil || previous.isFree(m.nowUS) {
		return "", nil, false
	}
	_, ok = m.endedEntry(&nameDecision{name: name, qualifier: mesh, previous: previous})
	return previous.AliasOf, nil, ok
}

// Distances of names that lead to no service. Those of others are the number of aliases from the name to its service.
const (
	distancePending = -1 // of the names of the chain that is being followed
	distanceCycle   = -2
	distanceNowhere = -3
)

// aliasWalk follows all aliases, each name once, so that its time is linear however they are chained.
type aliasWalk struct {
	pass      *mergePass
	distances map[string]int // by name
	rejected  []*claim       // take effect after the walk, so that the order of names does not matter
}

// aliasStep is one name of a chain, and the claim that leads on from it.
type aliasStep struct {
	name string
	via  *claim // nil: an entry of the previous state
}

// rejectAliases rejects the aliases that lead to no service, into a cycle, or over too many others, and decides their names
// anew. It reports whether there were any.
func (m *mergePass) rejectAliases() bool {
	walk := aliasWalk{pass: m, distances: map[string]int{}}
	for i := range m.names {
		d := &m.names[i]
		if d.hasEntry && d.entry.AliasOf != "" {
			walk.follow(d.name)
		}
		for _, c := range d.claims {
			if c.service == nil && !c.rejected && !d.isWonBy(c) {
				walk.follow(qualify(d.name, c.publisher.name()))
			}
		}
	}
	for _, c := range walk.rejected {
		c.rejected = true
	}
	for _, c := range walk.rejected {
		d := m.decision(c.name)
		m.groupClaims(d)
		m.decide(d)
	}
	return len(walk.rejected) > 0
}

// follow follows the chain from a name up to a name whose distance is known, and sets the distances on the way.
func (w *aliasWalk) follow(from string) {
	var chain []aliasStep
	distance := 0 // of the name at the end
	for name := from; ; {
		if known, ok := w.distances[name]; ok {
			distance = known
			if known == distancePending {
				start := slices.IndexFunc(chain, func(s aliasStep) bool { return s.name == name })
				w.rejectCycle(chain[start:])
				chain = chain[:start]
				distance = distanceCycle
			}
			break
		}
		next, via, ok := w.pass.followAlias(name)
		if !ok || next == "" {
			if !ok {
				distance = distanceNowhere
			}
			w.distances[name] = distance
			break
		}
		w.distances[name] = distancePending
		chain = append(chain, aliasStep{name: name, via: via})
		name = next
	}
	for _, step := range slices.Backward(chain) {
		if distance >= 0 {
			distance++
		}
		w.checkStep(step, distance)
		w.distances[step.name] = distance
	}
}

// checkStep rejects the alias of a step where its distance is too long, or there is no service.
func (w *aliasWalk) checkStep(step aliasStep, distance int) {
	if step.via == nil {
		return
	}
	mesh := step.via.publisher.name()
	name := step.via.name
	switch {
	case distance == distanceCycle:
		w.pass.add(AliasLoop, mesh, name, "alias %s leads into a cycle", step.name)
	case distance == distanceNowhere:
		w.pass.add(UnknownService, mesh, name, "alias %s for %s leads to no service", step.name, step.via.to)
	case distance > maxAliasChain:
		w.pass.add(AliasChainTooLong, mesh, name, "alias %s is more than %d aliases away from its service", step.name, maxAliasChain)
	default:
		return
	}
	w.reject(step.via)
}

// rejectCycle rejects all aliases of a cycle. The finding names some of a long one.
func (w *aliasWalk) rejectCycle(cycle []aliasStep) {
	members := make([]string, 0, len(cycle))
	for _, step := range cycle {
		members = append(members, step.name)
	}
	slices.Sort(members)
	shown := members[:min(len(members), maxLoopMembers)]
	for _, step := range cycle {
		if step.via != nil {
			w.pass.add(AliasLoop, step.via.publisher.name(), step.via.name, "alias %s is in a cycle of %d aliases: %q", step.via.name,
				len(members), shown)
			w.reject(step.via)
		}
		w.distances[step.name] = distanceCycle
	}
}

// reject notes a claim for rejection, and where it is one of its name's winner's claims, all of them.
func (w *aliasWalk) reject(c *claim) {
	d := w.pass.decision(c.name)
	for _, other := range d.claims {
		if other == c || d.isWonBy(c) && d.isWonBy(other) {
			w.rejected = append(w.rejected, other)
		}
	}
}
