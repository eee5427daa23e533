package endpointlist

import stdjson "encoding/json"

// EarlyRemovals returns the part of a change that proxies act on before it is committed: its drains and removals, as an update
// that keeps the agreed list's number. Additions take effect with the committed list only. ok is false where there are
// none.
func (s *State) EarlyRemovals(c Change) (o Update, ok bool) {
	o = Update{Generation: s.number}
	for _, e := range s.earlyRemovals(c) {
		o.Instances = append(o.Instances, e.Text)
	}
	return o, len(o.Instances) > 0
}

// EarlyEntries returns the texts of the endpoints in EarlyRemovals, by id.
func (s *State) EarlyEntries(c Change) map[string]stdjson.RawMessage {
	texts := map[string]stdjson.RawMessage{}
	for _, e := range s.earlyRemovals(c) {
		texts[e.ID] = e.Text
	}
	return texts
}

// earlyRemovals returns the endpoints of EarlyRemovals. A change that Apply would reject has none: neither one that cannot be
// decoded nor one that is based on another list.
func (s *State) earlyRemovals(c Change) (removals []endpoint) {
	changed, err := decodeEndpoints(BadChange, "change", c.Entries, rejectDuplicates, s.decoded)
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

// UpdatesSince brings a reader of the list of that number up to date: the changes since, in order, or the whole list where
// those are not retained any more or the number is not one of this State's. There are none where the reader is up to date.
func (s *State) UpdatesSince(number uint64) (updates []Update) {
	if number == s.number {
		return nil
	}
	isOfThisState := number > 0 && number < s.number
	if !isOfThisState || len(s.changes) == 0 || number+1 < s.changes[0].Number {
		return []Update{s.FullUpdate()}
	}
	next := number + 1 - s.changes[0].Number
	for _, c := range s.changes[next:] {
		updates = append(updates, Update{Generation: c.Number, Instances: c.Entries})
	}
	return updates
}

// FullUpdate returns the whole list as one update.
func (s *State) FullUpdate() Update {
	return Update{Generation: s.number, Reset: true, Instances: textsOf(s.endpoints)}
}
