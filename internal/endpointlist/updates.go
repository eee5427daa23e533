package endpointlist

import stdjson "encoding/json"

// EarlyRemovals returns the drains and removals of a change, on which proxies act before the change is committed, as an
// update with the number of the committed list. Additions take effect only when they are committed. ok is false if the
// change contains no drain or removal.
func (s *State) EarlyRemovals(c Change) (update Update, ok bool) {
	update = Update{Generation: s.number}
	for _, e := range s.earlyRemovals(c) {
		update.Instances = append(update.Instances, e.Text)
	}
	return update, len(update.Instances) > 0
}

// EarlyEntries returns the entries of EarlyRemovals, by id.
func (s *State) EarlyEntries(c Change) map[string]stdjson.RawMessage {
	texts := map[string]stdjson.RawMessage{}
	for _, e := range s.earlyRemovals(c) {
		texts[e.ID] = e.Text
	}
	return texts
}

// earlyRemovals returns the endpoints of EarlyRemovals. It returns none for a change that cannot be decoded or is based on
// another list, because Apply would reject that change.
func (s *State) earlyRemovals(c Change) (removals []endpoint) {
	changed, err := decodeEndpoints(BadChange, "change", c.Entries, rejectDuplicates, s.cache)
	if err != nil || c.Base != s.number {
		return nil
	}
	for _, e := range changed {
		i, known := findByID(s.endpoints, e.ID)
		if known && e.Lifecycle != Ready && e.Lifecycle != s.endpoints[i].Lifecycle {
			removals = append(removals, e)
		}
	}
	return removals
}

// UpdatesSince returns the updates that a watcher needs after the list with the given number: the later changes in order, or
// the full list if those changes are no longer retained or this State never had that list. It returns none if the number is
// the current one.
func (s *State) UpdatesSince(number uint64) (updates []Update) {
	if number == s.number {
		return nil
	}
	isEarlierList := number > 0 && number < s.number
	if !isEarlierList || len(s.changes) == 0 || number+1 < s.changes[0].Number {
		return []Update{s.FullUpdate()}
	}
	next := number + 1 - s.changes[0].Number
	for _, c := range s.changes[next:] {
		updates = append(updates, Update{Generation: c.Number, Instances: c.Entries})
	}
	return updates
}

// FullUpdate returns the full list as one update.
func (s *State) FullUpdate() Update {
	return Update{Generation: s.number, Reset: true, Instances: entryTexts(s.endpoints)}
}
