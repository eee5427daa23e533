package routing

import (
	"slices"
	"strings"
)

// SuccessorPools returns, for each pool of an old set, the position of the pool in a new set that continues it, or -1 if none
// does. A pool continues as the new pool of the same name, or else as a new pool that lists the name in FormerNames. If several
// new pools do, the first of them by name continues the pool, and the others start without state.
func SuccessorPools(oldSet, newSet *Set) []int {
	names := make([]string, len(oldSet.Pools))
	for i := range names {
		names[i] = oldSet.Pools[i].Name
	}
	return SuccessorsOf(names, newSet)
}

// SuccessorsOf is SuccessorPools for an old set of which only the names of the pools are known.
func SuccessorsOf(oldNames []string, newSet *Set) []int {
	successors := make([]int, len(oldNames))
	taken := map[int]bool{}
	for i, name := range oldNames {
		successors[i] = slices.IndexFunc(newSet.Pools, func(p Pool) bool { return p.Name == name })
		if successors[i] >= 0 {
			taken[successors[i]] = true
		}
	}
	byName := make([]int, len(newSet.Pools))
	for i := range byName {
		byName[i] = i
	}
	slices.SortFunc(byName, func(a, b int) int { return strings.Compare(newSet.Pools[a].Name, newSet.Pools[b].Name) })
	for i, name := range oldNames {
		if successors[i] >= 0 {
			continue
		}
		for _, candidate := range byName {
			if !taken[candidate] && slices.Contains(newSet.Pools[candidate].FormerNames, name) {
				successors[i] = candidate
				taken[candidate] = true
				break
			}
		}
	}
	return successors
}
