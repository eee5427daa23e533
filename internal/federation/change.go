package federation

import (
	"time"

	"example.org/micafront/internal/catalog"
)

// Change is a replicated change to a federation. Exactly one field besides At is set.
type Change struct {
	// At is the agreed time at which the change takes effect. Agreed time never decreases: a change whose At is earlier
	// than the State's agreed time takes effect at the State's.
	At           time.Duration        `json:"at"`
	Publish      *catalog.Publication `json:"publish,omitempty"`
	Terms        *Terms               `json:"terms,omitempty"`
	MarkLost     string               `json:"lose,omitempty"`   // name of a mesh that has published nothing for the mesh timeout
	MarkReturned string               `json:"return,omitempty"` // name of a lost mesh that publishes again
	Tick         bool                 `json:"tick,omitempty"`   // only advances agreed time, because State.NextDue has been reached
}

// variants returns the number of fields besides At that are set. Any number but 1 is an error.
func (c *Change) variants() int {
	count := 0
	for _, set := range []bool{c.Publish != nil, c.Terms != nil, c.MarkLost != "", c.MarkReturned != "", c.Tick} {
		if set {
			count++
		}
	}
	return count
}

// Terms are the operators' configuration of a federation: its meshes, and overrides of name ownership. They are always
// replaced as a whole.
type Terms struct {
	// Base is the number of the terms on which these are based. If that is not the number of the active terms, they are
	// rejected with StaleTerms. In the terms that State.Terms returns, Base is their own number.
	Base      uint64             `json:"base"`
	Meshes    []catalog.Mesh     `json:"meshes"`
	Overrides []catalog.Override `json:"rulings,omitempty"`
	ChangedBy string             `json:"by,omitempty"` // the operator who changed them
}
