package fleetconfig

import (
	"cmp"
	"slices"
)

// Version returns a version that is or was active, or is proposed. It returns false if the version is no longer kept or was
// withdrawn.
func (s *StateMachine) Version(number uint64) (Version, bool) {
	if i := s.versionIndex(number); i >= 0 {
		return s.versions[i], true
	}
	return Version{}, false
}

// Active returns the active version, and false before the first one.
func (s *StateMachine) Active() (Version, bool) { return s.Version(s.active) }

// Proposed returns the version that waits to become active, and false if there is none.
func (s *StateMachine) Proposed() (Version, bool) { return s.Version(s.proposed) }

// versionIndex returns a version's index in s.versions, or -1.
func (s *StateMachine) versionIndex(number uint64) int {
	i, found := slices.BinarySearchFunc(s.versions, number, func(v Version, n uint64) int { return cmp.Compare(v.Number, n) })
	if !found {
		return -1
	}
	return i
}

// trimVersions deletes the oldest versions until the limits are met. It keeps the active and the proposed version
// regardless of their size.
func (s *StateMachine) trimVersions() {
	for s.exceedsVersionLimits() {
		i := slices.IndexFunc(s.versions, func(v Version) bool { return v.Number != s.active && v.Number != s.proposed })
		if i < 0 {
			return
		}
		s.versions = slices.Delete(slices.Clone(s.versions), i, i+1)
	}
}

// exceedsVersionLimits reports whether the kept versions exceed maxVersions, or their distinct bodies maxVersionBytes.
func (s *StateMachine) exceedsVersionLimits() bool {
	if len(s.versions) > maxVersions {
		return true
	}
	total := 0
	counted := map[string]bool{} // by digest
	for _, version := range s.versions {
		if !counted[version.Digest] {
			counted[version.Digest] = true
			total += version.Body.Size()
		}
	}
	return total > maxVersionBytes
}
