package endpointlist

import "encoding/json"

// Lifecycles of an endpoint, as discovery's protocol names them. Proxies act on Draining and Terminated at once, before the
// change is committed (State.EarlyRemovals).
const (
	Ready      = "in_service"
	Draining   = "terminating"
	Terminated = "terminated" // removed from the list; appears in changes only
)

// Update is one update that is sent to a reader of the list. It has the form of discovery's own answers, so that a proxy
// reads a control-plane replica as it reads discovery.
type Update struct {
	Generation uint64            `json:"generation"` // number of the list that the update leads to
	Reset      bool              `json:"reset"`      // Instances are the whole list; false: those that have changed
	Instances  []json.RawMessage `json:"instances"`
}

// Change is a replicated command that makes the list of number Base the next one. It is rejected with StaleChange where the
// current list has another number, so that a change computed from an older list is never applied.
type Change struct {
	Base    uint64            `json:"base"`
	Entries []json.RawMessage `json:"entries"` // added, changed or (Terminated) removed endpoints, by id
}
