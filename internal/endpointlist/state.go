package endpointlist

import (
	"bytes"
	stdjson "encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Limits of a State, so that its memory is bounded and a change of all endpoints fits into one command.
const (
	maxEndpoints       = 1 << 14
	maxBytes           = 8 << 20 // of the texts of all endpoints
	maxRetainedChanges = 256
	maxRetainedBytes   = 1 << 20 // bytes of the retained changes
)

// State is the agreed list and its latest changes. Slices that it holds are never changed in place, so a View is a shallow
// copy.
type State struct {
	number        uint64          // of the list; 0: there is none yet
	endpoints     []endpoint      // by id
	bytes         int             // of their texts
	changes       []appliedChange // the retained ones, oldest first
	retainedBytes int             // of their texts

	// decoded are the texts of what NextChange has decoded last, and of the list. Only the State's own methods use it, not Views.
	decoded decodedTexts
}

// appliedChange is a change that made the list of a number from the one before. The retained ones have successive numbers;
// the last one made the current list. Its JSON form is part of a snapshot.
type appliedChange struct {
	Number  uint64               `json:"number"`
	Entries []stdjson.RawMessage `json:"entries"`
}

// size returns the size of the change's texts in bytes.
func (c appliedChange) size() (bytes int) {
	for _, text := range c.Entries {
		bytes += len(text)
	}
	return bytes
}

// NewState makes a State that has no list yet.
func NewState() *State { return &State{} }

// View returns an unchanging copy of the State, which any goroutine may read.
func (s *State) View() *State {
	view := *s
	view.decoded = nil
	return &view
}

// Number returns the number of the agreed list, which each applied change increments; 0: there is none yet.
func (s *State) Number() uint64 { return s.number }

// Apply applies a committed change. It fails with StaleChange or BadChange and then changes nothing.
func (s *State) Apply(c Change) error {
	place := fmt.Sprintf("list %d", s.number+1)
	if c.Base != s.number {
		return StaleChange.New(place, "the change is based on list %d, and the current one is list %d", c.Base, s.number)
	}
	changed, err := decodeEndpoints(BadChange, place, c.Entries, rejectDuplicates, s.decoded)
	if err != nil {
		return err
	}
	if len(changed) == 0 {
		return BadChange.New(place, "the change has no entries")
	}
	list, size := s.withChanged(changed)
	if len(list) > maxEndpoints || size > maxBytes {
		return BadChange.New(place, "the list has %d entries of %d bytes with the change, %d of %d at most", len(list), size,
			maxEndpoints, maxBytes)
	}
	s.number++
	s.endpoints = list
	s.bytes = size
	applied := appliedChange{Number: s.number, Entries: textsOf(changed)}
	s.changes = append(slices.Clip(s.changes), applied) // in a new array: a View may have the old one
	s.retainedBytes += applied.size()
	for len(s.changes) > maxRetainedChanges || s.retainedBytes > maxRetainedBytes {
		s.retainedBytes -= s.changes[0].size()
		s.changes = s.changes[1:]
	}
	return nil
}

// withChanged returns the list with changed endpoints, without those that are Terminated, and the size of its texts in bytes.
// Both lists are sorted by id.
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

// NextChange returns the change that brings the agreed list up to date with what discovery sent: its whole list, or updates of
// some endpoints, of which one may occur several times. ok is false where nothing changes. It fails with BadList where an
// entry cannot be decoded, where the whole list has an id twice, and where it is empty and the agreed list is not, since
// that is more likely a fault of discovery than a fleet without endpoints.
func (s *State) NextChange(received []stdjson.RawMessage, whole bool) (c Change, ok bool, err error) {
	const place = "discovery's list"
	duplicates := keepLastDuplicate
	if whole {
		duplicates = rejectDuplicates
	}
	if s.decoded == nil {
		s.decoded = newDecodedTexts(s.endpoints)
	}
	endpoints, err := decodeEndpoints(BadList, place, received, duplicates, s.decoded)
	if err != nil {
		return c, false, err
	}
	if whole || len(s.decoded)+len(endpoints) > maxDecoded {
		s.decoded = newDecodedTexts(slices.Concat(s.endpoints, endpoints))
	} else {
		maps.Copy(s.decoded, newDecodedTexts(endpoints))
	}
	changed := s.differing(endpoints)
	if whole {
		hasEndpoint := slices.ContainsFunc(endpoints, func(e endpoint) bool { return e.Lifecycle != Terminated })
		if len(s.endpoints) > 0 && !hasEndpoint {
			return c, false, BadList.New(place, "it has no endpoints, and the agreed list has %d", len(s.endpoints))
		}
		changed = append(changed, s.missing(endpoints)...)
		slices.SortFunc(changed, byID)
	}
	if len(changed) == 0 {
		return c, false, nil
	}
	if list, size := s.withChanged(changed); len(list) > maxEndpoints || size > maxBytes {
		return c, false, BadList.New(place, "it makes a list of %d entries of %d bytes, %d of %d at most", len(list), size,
			maxEndpoints, maxBytes)
	}
	return Change{Base: s.number, Entries: textsOf(changed)}, true, nil
}

// differing returns those of received endpoints, sorted by id, that are new or differ from the agreed ones.
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

// missing returns the agreed endpoints that a whole list, sorted by id, does not have, as terminated.
func (s *State) missing(whole []endpoint) (removed []endpoint) {
	for _, e := range s.endpoints {
		if _, listed := findByID(whole, e.ID); !listed {
			removed = append(removed, e.asTerminated())
		}
	}
	return removed
}

// AddCommittedEntries extends a change by the agreed texts of further ids, and bases it on the current list. It is for removals that
// were sent to readers early (EarlyRemovals) and that discovery took back before they were committed: readers must receive the
// agreed state again. A change that cannot be decoded is returned as it is; Apply rejects it.
func (s *State) AddCommittedEntries(c Change, ids []string) Change {
	changed, err := decodeEndpoints(BadChange, "change", c.Entries, rejectDuplicates, s.decoded)
	if err != nil {
		return c
	}
	decoded := changed // by id
	for _, id := range ids {
		_, included := findByID(decoded, id)
		if i, ok := findByID(s.endpoints, id); ok && !included {
			changed = append(changed, s.endpoints[i])
		}
	}
	slices.SortFunc(changed, byID)
	return Change{Base: s.number, Entries: textsOf(changed)}
}
