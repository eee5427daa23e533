package catalog

import "reflect"

// Sizes of parts of a decoded State, in bytes.
const (
	minAllocationBytes      = 16
	stringSliceElementBytes = 24  // an element of a []string, including spare capacity left by its growth
	indexEntryBytes         = 100 // an entry of State.index while the map grows
	cellBytes               = 8   // an int of EndpointSelector.Cells
)

// withSizeClass returns an upper bound of the memory that an allocation takes: rounding up to its size class adds at most an
// eighth.
func withSizeClass(bytes uint64) uint64 { return bytes * 9 / 8 }

// withOutgrown returns an upper bound of the memory that a slice grown by append takes, including its previous array. append
// grows an array by at least a quarter, so the previous one has at most four fifths of its size; it stays allocated until
// the next garbage collection.
func withOutgrown(bytes uint64) uint64 { return bytes * 9 / 5 }

// memoryEstimate sums up the memory that a decoded State takes.
type memoryEstimate struct{ bytes uint64 }

func (m *memoryEstimate) addStrings(list ...string) {
	for _, s := range list {
		if len(s) > 0 {
			m.bytes += withSizeClass(uint64(len(s)+minAllocationBytes-1) / minAllocationBytes * minAllocationBytes)
		}
	}
}

func (m *memoryEstimate) addStringSlices(lists ...[]string) {
	for _, list := range lists {
		m.bytes += uint64(cap(list)) * stringSliceElementBytes
		m.addStrings(list...)
	}
}

// sliceBytes returns the size of a slice's backing array in bytes.
func sliceBytes[T any](s []T) uint64 { return uint64(cap(s)) * uint64(reflect.TypeFor[T]().Size()) }

func addSlice[T any](m *memoryEstimate, s []T) { m.bytes += withSizeClass(sliceBytes(s)) }

func addGrownSlice[T any](m *memoryEstimate, s []T) { m.bytes += withOutgrown(sliceBytes(s)) }

// MemoryBytes returns an upper bound, in bytes, of the memory that decoding the state takes in addition to its text: its parts,
// arrays outgrown while decoding, and the index.
func (s *State) MemoryBytes() uint64 {
	var m memoryEstimate
	addGrownSlice(&m, s.Entries)
	m.bytes += uint64(len(s.Entries)) * indexEntryBytes
	for i := range s.Entries {
		m.addEntry(&s.Entries[i])
	}
	addGrownSlice(&m, s.Meshes)
	for i := range s.Meshes {
		mesh := &s.Meshes[i]
		m.addStrings(mesh.Mesh, mesh.Digest)
		addSlice(&m, mesh.Import)
		for _, imported := range mesh.Import {
			m.addStrings(imported.From)
			m.addStringSlices(imported.Names)
		}
	}
	return m.bytes
}

func (m *memoryEstimate) addEntry(e *Entry) {
	m.addStrings(e.Name, e.Owner, e.Contract, e.Status, e.AliasOf, e.Cause)
	m.addStringSlices(e.PublishedBy)
	addSlice(m, e.Conflicts)
	addSlice(m, e.Providers)
	for _, c := range e.Conflicts {
		m.addStrings(c.Mesh, c.Owner, c.QualifiedName)
	}
	for i := range e.Providers {
		p := &e.Providers[i]
		selector := &p.Pool.Select
		m.addStrings(p.Mesh, p.Class, p.Origin, p.Pool.Name)
		m.addStringSlices(p.Zones, p.Via, p.Pool.FormerNames, selector.Zones, selector.MachineTypes, selector.IDPrefixes)
		m.bytes += uint64(cap(selector.Cells)) * cellBytes
	}
}
