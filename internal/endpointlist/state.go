package endpointlist

import (
	"bytes"
	stdjson "encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Limits of a State. They bound its memory, and ensure that a change of all endpoints fits into one command.
const (
	maxEndpoints       = 1 << 14
	maxBytes           = 8 << 20 // the texts of all endpoints in a list
	maxRetainedChanges = 256
	maxRetainedBytes   = 1 << 20 // the texts of all retained changes
)

// State holds the committed list and the latest changes to it. Its slices are never modified in place, so View can return a
// shallow copy.
type State struct {
	number        uint64          // number of the list; 0: no list yet
	endpoints     []endpoint      // sorted by id
	bytes         int             // total size of the endpoints' texts
	changes       []appliedChange // retained changes, oldest first
	retainedBytes int             // total size of the retained changes' texts

	// cache contains the committed list and the entries that NextChange decoded last. It is nil in a View, because NextChange
	// modifies it and any goroutine may read a View.
	cache decodeCache
}

// appliedChange is a change after it was applied. Retained changes have consecutive numbers; the last one led to the current
// list. Its JSON form is part of a snapshot.
type appliedChange struct {
	Number  uint64               `json:"number"` // number of the list after the change
	Entries []stdjson.RawMessage `json:"entries"`
}

// size returns the total size of the change's entries in bytes.
func (c appliedChange) size() (bytes int) {
	for _, text := range c.Entries {
		bytes += len(text)
	}
	return bytes
}

// NewState returns a State without a list.
func NewState() *State { return &State{} }

// View returns an immutable copy of the State, which any goroutine may read.
func (s *State) View() *State {
	view := *s
	view.cache = nil
	return &view
}

// Number returns the number of the committed list, which each applied change increments. It is 0 before the first list.
func (s *State) Number() uint64 { return s.number }

// Apply applies a committed change. On an error, StaleChange or BadChange, it leaves the state unchanged.
func (s *State) Apply(c Change) error {
	place := fmt.Sprintf("list %d", s.number+1)
	if c.Base != s.number {
		return StaleChange.New(place, "the change is based on list %d, but the current list is %d", c.Base, s.number)
	}
	changed, err := decodeEndpoints(BadChange, place, c.Entries, rejectDuplicates, s.cache)
	if err != nil {
		return err
	}
	if len(changed) == 0 {
		return BadChange.New(place, "the change has no entries")
	}
	list, size := s.withChanged(changed)
	if len(list) > maxEndpoints || size > maxBytes {
		return BadChange.New(place, "the change leads to %d entries in %d bytes; the limits are %d entries and %d bytes",
			len(list), size, maxEndpoints, maxBytes)
	}
	s.number++
	s.endpoints = list
	s.bytes = size
	applied := appliedChange{Number: s.number, Entries: entryTexts(changed)}
	s.changes = append(slices.Clip(s.changes), applied) // Clip forces a new array, because a View may share the old one
	s.retainedBytes += applied.size()
	for len(s.changes) > maxRetainedChanges || s.retainedBytes > maxRetainedBytes {
		s.retainedBytes -= s.changes[0].size()
		s.changes = s.changes[1:]
	}
	return nil
}

// withChanged returns the list after the changed endpoints are inserted, replaced or (Terminated) removed, and the total size
// of its texts in bytes. The given and the returned list are sorted by id.
func (s *State) withChanged(changed []endpoint) (list []endpoint, size int) {
	size = s.bytes
	list = make([]endpoint, 0, len(s.endpoints)+len(changed))
	i := 0
	for _, e := range changed {
		for ; i < len(s.endpoints) && s.endpoints[i].ID < e.ID; i++ {
			list = append(list, s.endpoints[i])
		}
		if i < len(s.endpoints) && s.endpoints[i].ID == e.ID {
			size -= len(s.endpoints[i].Text)
			i++
		}
		if e.Lifecycle != Terminated {
			size += len(e.Text)
			list = append(list, e)
		}
	}
	return append(list, s.endpoints[i:]...), size
}

// NextChange returns the change from the committed list to what discovery sent: its full list, or updates of some endpoints,
// in which an endpoint may occur several times. ok is false if nothing changes. NextChange returns BadList if an entry cannot
// be decoded, a full list contains an id twice, or the list would exceed its limits. It also returns BadList if the full list
// is empty and the committed list is not, because that is more likely a fault of discovery than a fleet without endpoints.
func (s *State) NextChange(received []stdjson.RawMessage, full bool) (c Change, ok bool, err error) {
	const place = "discovery's list"
	duplicates := keepLastDuplicate
	if full {
		duplicates = rejectDuplicates
	}
	if s.cache == nil {
		s.cache = newDecodeCache(s.endpoints)
	}
	endpoints, err := decodeEndpoints(BadList, place, received, duplicates, s.cache)
	if err != nil {
		return c, false, err
	}
	if full || len(s.cache)+len(endpoints) > maxDecoded {
		s.cache = newDecodeCache(slices.Concat(s.endpoints, endpoints))
	} else {
		maps.Copy(s.cache, newDecodeCache(endpoints))
	}
	changed := s.differing(endpoints)
	if full {
		hasEndpoint := slices.ContainsFunc(endpoints, func(e endpoint) bool { return e.Lifecycle != Terminated })
		if len(s.endpoints) > 0 && !hasEndpoint {
			return c, false, BadList.New(place, "it is empty, but the committed list has %d endpoints", len(s.endpoints))
		}
		changed = append(changed, s.missing(endpoints)...)
		slices.SortFunc(changed, byID)
	}
	if len(changed) == 0 {
		return c, false, nil
	}
	if list, size := s.withChanged(changed); len(list) > maxEndpoints || size > maxBytes {
		return c, false, BadList.New(place, "it leads to %d entries in %d bytes; the limits are %d entries and %d bytes", len(list),
			size, maxEndpoints, maxBytes)
	}
	return Change{Base: s.number, Entries: entryTexts(changed)}, true, nil
}

// differing returns the received endpoints, sorted by id, that are new or differ from the committed list.
func (s *State) differing(received []endpoint) (changed []endpoint) {
	for _, e := range received {
		i, known := findByID(s.endpoints, e.ID)
		isNew := !known && e.Lifecycle != Terminated
		if isNew || known && !bytes.Equal(s.endpoints[i].Text, e.Text) {
			changed = append(changed, e)
		}
	}
	return changed
}

// missing returns the committed endpoints that are not in a full list, sorted by id, with the lifecycle Terminated.
func (s *State) missing(full []endpoint) (removed []endpoint) {
	for _, e := range s.endpoints {
		if _, listed := findByID(full, e.ID); !listed {
			removed = append(removed, e.asTerminated())
		}
	}
	return removed
}

// AddCommittedEntries extends a change with the committed entries of the given ids, and bases it on the current list. It undoes
// removals that were sent to watchers early (EarlyRemovals) but that discovery reverted before they were committed: those
// watchers must receive the committed entries again. A change that cannot be decoded is returned unchanged; Apply rejects it.
func (s *State) AddCommittedEntries(c Change, ids []string) Change {
	changed, err := decodeEndpoints(BadChange, "change", c.Entries, rejectDuplicates, s.cache)
	if err != nil {
		return c
	}
	decoded := changed // sorted by id
	for _, id := range ids {
		_, included := findByID(decoded, id)
		if i, ok := findByID(s.endpoints, id); ok && !included {
			changed = append(changed, s.endpoints[i])
		}
	}
	slices.SortFunc(changed, byID)
	return Change{Base: s.number, Entries: entryTexts(changed)}
}
