package catalog

import (
	"strings"
	"time"
	"unicode/utf8"

	"example.org/micafront/internal/routing"
)

// Limits of inputs.
const (
	// DefaultMaxServices is the most services that a mesh may publish if its terms set no limit. It applies separately to
	// aliases.
	DefaultMaxServices = 2000

	maxNameBytes   = 128
	maxTextBytes   = 512 // of any other text of a service
	maxListEntries = 256 // of one list of a service
)

// Inputs are all inputs of a merge: the publications of the meshes, the operators' terms and overrides, and the lost meshes.
type Inputs struct {
	Meshes       []Mesh        // terms of the federation, set by operators
	Publications []Publication // the highest epoch, then sequence number, of each mesh takes effect
	Overrides    []Override    `json:"Rulings"`
	Lost         []Loss
}

// Mesh is the terms of one mesh. A mesh is the fleet of a site or a team, with its own discovery and names.
type Mesh struct {
	Name        string   `json:"name"`
	Precedence  int      `json:"precedence"`       // of its exports over those of other meshes; the highest wins
	MaxServices int      `json:"max_services"`     // of services, and separately of aliases; 0: DefaultMaxServices
	Export      []string `json:"export,omitempty"` // patterns (path.Match) of the names that it may publish; empty: all
	Import      []Import `json:"import,omitempty"` // services of other meshes that its proxies may use; empty: all
	Owners      []string `json:"owners,omitempty"` // owners whose services it may publish; empty: any owner that no mesh lists
}

// Import is the set of another mesh's services that a mesh's proxies may use.
type Import struct {
	From  string   `json:"from"`
	Names []string `json:"names,omitempty"` // patterns (path.Match) of short names; empty: all
}

// Publication is the complete set of services and aliases of one mesh. Epoch and Seq are its number.
type Publication struct {
	Mesh     string    `json:"mesh"`
	Epoch    uint64    `json:"epoch"` // of the publisher; a higher epoch supersedes all sequence numbers of lower ones
	Seq      uint64    `json:"seq"`
	Services []Service `json:"services"`
	Aliases  []Alias   `json:"aliases,omitempty"`
}

// Service is a service as its mesh publishes it. Services with the same owner and contract are the same service.
type Service struct {
	Name             string        `json:"name"`
	Owner            string        `json:"owner"`
	Contract         string        `json:"contract"` // digest of the service's interface
	Zones            []string      `json:"zones,omitempty"`
	Class            string        `json:"class,omitempty"`
	LatencyObjective time.Duration `json:"aim,omitempty"`
	SpareCapacity    float64       `json:"spare,omitempty"` // fraction of its capacity that is free, 0 to 1
	Pool             routing.Pool  `json:"pool"`
	Origin           string        `json:"origin,omitempty"`   // the mesh that a re-export comes from; "" if it is the mesh's own service
	Via              []string      `json:"via,omitempty"`      // the meshes that a re-export has passed through
	DrainBy          time.Duration `json:"drain_by,omitempty"` // agreed time at which a withdrawn service ends; 0 if not withdrawn
}

// Alias is an additional name of a service or of another alias.
type Alias struct {
	Name string `json:"name"`
	To   string `json:"to"`
}

// Override is an operator's assignment of a short name to an owner. It takes precedence over all other rules.
type Override struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`          // "": the name belongs to the mesh's alias
	Mesh  string `json:"mesh,omitempty"` // "": any mesh that publishes the owner's service
	SetBy string `json:"by,omitempty"`   // the operator
}

// Loss reports that a mesh has stopped publishing.
type Loss struct {
	Mesh  string        `json:"mesh"`
	Since time.Duration `json:"since"` // agreed time of the loss
}

// IsValidName reports whether a name is valid for a service, an alias or a mesh: 1 to 128 bytes of UTF-8 without spaces, control
// characters and dots.
func IsValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.Contains(name, ".") && routing.IsValidName(name) && utf8.ValidString(name)
}

// splitName splits a name into its short name and its mesh. mesh is "" if the name is not qualified.
func splitName(name string) (short, mesh string) {
	short, mesh, _ = strings.Cut(name, ".")
	return short, mesh
}

// qualify returns the qualified name of a mesh's service or alias.
func qualify(short, mesh string) string { return short + "." + mesh }
