package endpointlist

import "encoding/json"

// Lifecycles of an endpoint, as discovery's protocol names them. Proxies act on Draining and Terminated immediately, before
// the change is committed (State.EarlyRemovals).
const (
	Ready      = "in_service"
	Draining   = "terminating"
	Terminated = "terminated" // removed from the list; occurs in changes only
)

// Update is one JSON object of a watch. It has the same JSON form as the responses of discovery, so that a proxy decodes
// both a control-plane replica and discovery with the same code.
type Update struct {
	Generation uint64            `json:"generation"` // number of the list after the update
	Reset      bool              `json:"reset"`      // true: Instances is the full list; false: the changed endpoints
	Instances  []json.RawMessage `json:"instances"`
}

// Change is a replicated command that turns list number Base into list number Base+1. State.Apply returns StaleChange if the
// current list has another number, so a change computed from an older list is never applied.
type Change struct {
	Base    uint64            `json:"base"`
	Entries []json.RawMessage `json:"entries"` // added, changed or (Terminated) removed endpoints, by id
}
