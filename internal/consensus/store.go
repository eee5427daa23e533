package consensus

import "slices"

// Saver stores what must outlast the process. Save is atomic, and durable when it returns.
type Saver interface {
	Save(Save) error
}

// Storage is a Saver whose contents can be read, as they are when a replica starts.
type Storage interface {
	Saver
	Load() (Stored, error)
}

// Save is a change of the stored data, made in this order: a snapshot, which makes the entries up to Drop obsolete;
// entries, which replace all from the first one's index on; and the state. The bytes are opaque and never modified.
type Save struct {
	Snapshot    []byte // nil: unchanged
	DropThrough uint64 // 0: no entry
	Entries     []Entry
	State       []byte // nil: unchanged
}

// Entry is an encoded log entry.
type Entry struct {
	Index uint64
	Bytes []byte
}

// Stored is the data of a Storage; zero at first.
type Stored struct {
	Snapshot []byte
	Entries  []Entry // sorted by index
	State    []byte
}

// MemoryStore is a Storage for simulations. Its contents outlast a Node, not the process.
type MemoryStore struct{ contents Stored }

// Save implements Saver. It never fails.
func (m *MemoryStore) Save(s Save) error {
	if s.Snapshot != nil {
		m.contents.Snapshot = s.Snapshot
	}
	entries := slices.DeleteFunc(slices.Clone(m.contents.Entries), func(e Entry) bool {
		return e.Index <= s.DropThrough || len(s.Entries) > 0 && e.Index >= s.Entries[0].Index
	})
	entries = append(entries, s.Entries...)
	m.contents.Entries = entries
	if s.State != nil {
		m.contents.State = s.State
	}
	return nil
}

// Load implements Storage. It never fails.
func (m *MemoryStore) Load() (Stored, error) {
	stored := m.contents
	stored.Entries = slices.Clone(stored.Entries)
	return stored, nil
}
