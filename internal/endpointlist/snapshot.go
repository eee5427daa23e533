package endpointlist

import (
	stdjson "encoding/json"
	"fmt"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Number  uint64               `json:"number"`
	Entries []stdjson.RawMessage `json:"entries"`
	Changes []appliedChange      `json:"changes"`
}

// Snapshot encodes the state. It adds no checksum, because that of fleetconfig.StateMachine's snapshot covers it.
func (s *State) Snapshot() ([]byte, error) {
	text, err := stdjson.Marshal(snapshot{Number: s.number, Entries: entryTexts(s.endpoints), Changes: s.changes})
	if err != nil {
		return nil, BrokenSnapshot.Wrap("encoding the list", err)
	}
	return text, nil
}

// Restore replaces the state with that of a snapshot. On a BrokenSnapshot error it leaves the state unchanged.
func (s *State) Restore(text []byte) error {
	var decoded snapshot
	if err := stdjson.Unmarshal(text, &decoded); err != nil {
		return BrokenSnapshot.Wrap("list", err)
	}
	restored := &State{number: decoded.Number}
	if err := restored.restoreEndpoints(decoded.Entries); err != nil {
		return err
	}
	if err := restored.restoreChanges(decoded.Changes); err != nil {
		return err
	}
	*s = *restored
	return nil
}

// restoreEndpoints sets the list from the entries of a decoded snapshot.
func (s *State) restoreEndpoints(texts []stdjson.RawMessage) error {
	endpoints, err := decodeEndpoints(BrokenSnapshot, "list", texts, rejectDuplicates, nil)
	if err != nil {
		return err
	}
	s.endpoints, s.bytes = s.withChanged(endpoints)
	if terminated := len(endpoints) - len(s.endpoints); terminated > 0 {
		return BrokenSnapshot.New("list", "%d of %d entries are terminated", terminated, len(endpoints))
	}
	if len(endpoints) > maxEndpoints || s.bytes > maxBytes {
		return BrokenSnapshot.New("list", "it has %d entries in %d bytes; the limits are %d entries and %d bytes", len(endpoints),
			s.bytes, maxEndpoints, maxBytes)
	}
	if len(endpoints) > 0 && s.number == 0 {
		return BrokenSnapshot.New("list", "it has %d entries, but its number is 0", len(endpoints))
	}
	return nil
}

// restoreChanges sets the retained changes of a decoded snapshot. The last of them led to the current list.
func (s *State) restoreChanges(changes []appliedChange) error {
	for i, c := range changes {
		changed, err := decodeEndpoints(BrokenSnapshot, fmt.Sprintf("change %d", c.Number), c.Entries, rejectDuplicates, nil)
		if err != nil {
			return err
		}
		if c.Number == 0 || c.Number != s.number+uint64(i+1)-uint64(len(changes)) {
			return BrokenSnapshot.New("changes", "change %d is out of sequence; the current list is number %d", c.Number, s.number)
		}
		if len(changed) == 0 {
			return BrokenSnapshot.New("changes", "change %d has no entries", c.Number)
		}
		s.changes = append(s.changes, appliedChange{Number: c.Number, Entries: entryTexts(changed)})
		s.retainedBytes += s.changes[i].size()
	}
	if len(s.changes) > maxRetainedChanges || s.retainedBytes > maxRetainedBytes {
		return BrokenSnapshot.New("changes", "%d changes in %d bytes are retained; the limits are %d changes and %d bytes",
			len(s.changes), s.retainedBytes, maxRetainedChanges, maxRetainedBytes)
	}
	return nil
}
