package catalog

import "slices"

// maxCycleMembersShown is the most names that a finding about a cycle of aliases lists.
const maxCycleMembersShown = 8

// aliasTarget returns the name that an alias refers to. A service or alias of the publishing mesh takes precedence over the
// owner of the short name; the result is then the qualified name.
func (m *mergePass) aliasTarget(c *claim) string {
	if _, qualifier := splitName(c.to); qualifier != "" {
		return c.to
	}
	d := m.decision(c.to)
	if d == nil {
		return c.to
	}
	for _, other := range d.claims {
		if other.publisher == c.publisher && !other.rejected && !d.isWinningClaim(other) {
			return qualify(c.to, c.publisher.name())
		}
	}
	return c.to
}

// isWinningClaim reports whether a claim belongs to the winner.
func (d *nameDecision) isWinningClaim(c *claim) bool {
	return d.winner != nil && slices.Contains(d.winner.claims, c)
}

// updateAliasTargets recomputes the targets in the entries of aliases, which depend on the decided owners.
func (m *mergePass) updateAliasTargets() {
	for i := range m.decisions {
		if d := &m.decisions[i]; d.hasEntry && d.winner != nil && d.winner.isAlias {
			d.entry.AliasOf = m.aliasTarget(d.winner.claims[0])
		}
	}
}

// followAlias follows one alias. next is the name that the alias refers to, or "" if name is a service. via is the claim of
// the alias, or nil if the entry comes from the previous state. ok is false if the name does not resolve.
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
	_, ok = m.expiringEntry(&nameDecision{name: name, qualifier: mesh, previous: previous})
	return previous.AliasOf, nil, ok
}

// Distances of names that resolve to no service. For other names, the distance is the number of aliases between name and service.
const (
	distanceInProgress = -1 // the name is part of the chain that is being followed
	distanceCycle      = -2
	distanceNoService  = -3
)

// aliasWalk follows all aliases. It visits each name once, so its time is linear in the number of aliases for any chain.
type aliasWalk struct {
	pass      *mergePass
	distances map[string]int // by name
	rejected  []*claim       // applied after the walk, so that the order of names does not matter
}

// aliasStep is one name of an alias chain and the claim that links it to the next name.
type aliasStep struct {
	name string
	via  *claim // nil if the entry comes from the previous state
}

// rejectAliases rejects the aliases that resolve to no service, are part of or lead into a cycle, or exceed maxAliasChain.
// It then decides the owners of their names again, and reports whether it rejected any alias.
func (m *mergePass) rejectAliases() bool {
	walk := aliasWalk{pass: m, distances: map[string]int{}}
	for i := range m.decisions {
		d := &m.decisions[i]
		if d.hasEntry && d.entry.AliasOf != "" {
			walk.follow(d.name)
		}
		for _, c := range d.claims {
			if c.service == nil && !c.rejected && !d.isWinningClaim(c) {
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
		m.decideOwner(d)
	}
	return len(walk.rejected) > 0
}

// follow follows the chain from a name until it reaches a name whose distance is known, and sets the distances along the chain.
func (w *aliasWalk) follow(from string) {
	var chain []aliasStep
	distance := 0 // of the last name in the chain
	for name := from; ; {
		if known, ok := w.distances[name]; ok {
			distance = known
			if known == distanceInProgress {
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
				distance = distanceNoService
			}
			w.distances[name] = distance
			break
		}
		w.distances[name] = distanceInProgress
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

// checkStep rejects the alias of a step if its distance exceeds maxAliasChain or it resolves to no service.
func (w *aliasWalk) checkStep(step aliasStep, distance int) {
	if step.via == nil {
		return
	}
	mesh := step.via.publisher.name()
	name := step.via.name
	switch {
	case distance == distanceCycle:
		w.pass.add(AliasLoop, mesh, name, "alias %s leads into a cycle", step.name)
	case distance == distanceNoService:
		w.pass.add(UnknownService, mesh, name, "alias %s for %s leads to no service", step.name, step.via.to)
	case distance > maxAliasChain:
		w.pass.add(AliasChainTooLong, mesh, name, "alias %s is more than %d aliases away from its service", step.name, maxAliasChain)
	default:
		return
	}
	w.markRejected(step.via)
}

// rejectCycle rejects all aliases of a cycle. The findings list at most maxCycleMembersShown of its names.
func (w *aliasWalk) rejectCycle(cycle []aliasStep) {
	members := make([]string, 0, len(cycle))
	for _, step := range cycle {
		members = append(members, step.name)
	}
	slices.Sort(members)
	shown := members[:min(len(members), maxCycleMembersShown)]
	for _, step := range cycle {
		if step.via != nil {
			w.pass.add(AliasLoop, step.via.publisher.name(), step.via.name, "alias %s is in a cycle of %d aliases: %q", step.via.name,
				len(members), shown)
			w.markRejected(step.via)
		}
		w.distances[step.name] = distanceCycle
	}
}

// markRejected marks a claim for rejection. If it is a winning claim, all claims of that winner are marked with it.
func (w *aliasWalk) markRejected(c *claim) {
	d := w.pass.decision(c.name)
	for _, other := range d.claims {
		if other == c || d.isWinningClaim(c) && d.isWinningClaim(other) {
			w.rejected = append(w.rejected, other)
		}
	}
}
