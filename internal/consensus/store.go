package consensus

import "slices"

// Saver stores data that must survive the process. Save is atomic, and its data is durable when it returns.
type Saver interface {
	Save(Save) error
}

// Storage is a Saver whose data can be loaded when a replica starts.
type Storage interface {
	Saver
	Load() (Stored, error)
}

// Save is a change to the stored data. Its parts apply in this order: the snapshot, which makes the entries through
// DropThrough obsolete; the entries, which replace all stored entries from the first one's index on; and the state. The
// bytes are opaque and must not be modified.
type Save struct {
	Snapshot    []byte // nil: unchanged
	DropThrough uint64 // index of the last entry to delete; 0: none
	Entries     []Entry
	State       []byte // nil: unchanged
}

// Entry is an encoded log entry with its index.
type Entry struct {
	Index uint64
	Bytes []byte
}

// Stored is the data in a Storage. It is zero before the first Save.
type Stored struct {
	Snapshot []byte
	Entries  []Entry // sorted by index
	State    []byte
}

// MemoryStore is a Storage for simulations. Its contents survive a Node but not the process.
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
