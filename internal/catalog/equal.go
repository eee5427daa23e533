package catalog

import "slices"

// SameMeaning reports whether two states are equivalent for proxies: their entries and the imports of their meshes are equal.
// State numbers, times and accepted publications may differ. A nil state is equivalent only to nil.
func (s *State) SameMeaning(other *State) bool {
	if s == nil || other == nil {
		return s == other
	}
	return equalEntries(s.Entries, other.Entries) && slices.EqualFunc(s.Meshes, other.Meshes, func(a, b AcceptedPublication) bool {
		return a.Mesh == b.Mesh && slices.EqualFunc(a.Import, b.Import, equalImport)
	})
}

// Equal reports whether two entries are equal in every field.
func (e *Entry) Equal(other *Entry) bool { return equalEntry(*e, *other) }

func equalEntries(a, b []Entry) bool { return slices.EqualFunc(a, b, equalEntry) }

func equalEntry(a, b Entry) bool {
	return a.Name == b.Name && a.Owner == b.Owner && a.Contract == b.Contract && a.SinceState == b.SinceState &&
		a.Status == b.Status && a.UntilUS == b.UntilUS && a.AliasOf == b.AliasOf && a.Ended == b.Ended && a.Cause == b.Cause &&
		slices.Equal(a.PublishedBy, b.PublishedBy) && slices.Equal(a.Conflicts, b.Conflicts) &&
		slices.EqualFunc(a.Providers, b.Providers, equalProvider)
}

func equalProvider(a, b Provider) bool {
	return a.Mesh == b.Mesh && a.Class == b.Class && a.LatencyObjective == b.LatencyObjective &&
		a.SpareCapacity == b.SpareCapacity && a.Origin == b.Origin && a.Lost == b.Lost && a.DrainBy == b.DrainBy &&
		slices.Equal(a.Zones, b.Zones) && slices.Equal(a.Via, b.Via) && a.Pool.Equal(&b.Pool)
}

func equalAccepted(a, b AcceptedPublication) bool {
	return a.Mesh == b.Mesh && a.Epoch == b.Epoch && a.Seq == b.Seq && a.Digest == b.Digest && a.Lost == b.Lost &&
		a.LostSinceUS == b.LostSinceUS && slices.EqualFunc(a.Import, b.Import, equalImport)
}

func equalImport(a, b Import) bool { return a.From == b.From && slices.Equal(a.Names, b.Names) }
