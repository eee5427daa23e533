package catalog

import (
	"strings"
	"time"
	"unicode/utf8"

	"example.org/micafront/internal/routing"
)

// Limits of inputs.
const (
	// DefaultMaxServices is how many services a mesh may publish where its terms set no limit. As many aliases are allowed.
	DefaultMaxServices = 2000

	maxNameBytes   = 128
	maxTextBytes   = 512 // of any other text of a service
	maxListEntries = 256 // of one list of a service
)

// Inputs are everything that a catalog follows from: the publications of the meshes, the operators' terms and overrides,
// and which meshes are lost.
type Inputs struct {
	Meshes       []Mesh        // terms of the federation, set by operators
	Publications []Publication // of each mesh the one with the highest epoch, then sequence number, counts
	Overrides    []Override    `json:"Rulings"`
	Lost         []Loss
}

// Mesh is the terms of one mesh: the fleet of a site or a team, with its own discovery and names.
type Mesh struct {
	Name        string   `json:"name"`
	Precedence  int      `json:"precedence"`       // of its exports over other meshes'; the highest comes first
	MaxServices int      `json:"max_services"`     // 0: DefaultMaxServices
	Export      []string `json:"export,omitempty"` // patterns (path.Match) of the names that it may publish; none: all
	Import      []Import `json:"import,omitempty"` // what its proxies see of other meshes; none: everything
	Owners      []string `json:"owners,omitempty"` // whose services it may publish; none: those of any owner that no other mesh lists
}

// Import is what a mesh's proxies see of another mesh.
type Import struct {
	From  string   `json:"from"`
	Names []string `json:"names,omitempty"` // patterns (path.Match) of short names; none: all
}

// Publication is the whole catalog of one mesh. Its number is Epoch and Seq.
type Publication struct {
	Mesh     string    `json:"mesh"`
	Epoch    uint64    `json:"epoch"` // of the publisher; a later epoch supersedes any sequence number of an earlier one
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
	Origin           string        `json:"origin,omitempty"`   // the mesh that a re-export comes from; "": its own service
	Via              []string      `json:"via,omitempty"`      // the meshes that a re-export has passed
	DrainBy          time.Duration `json:"drain_by,omitempty"` // agreed time at which a withdrawn service ends; 0: not withdrawn
}

// Alias is an additional name of a service or of another alias.
type Alias struct {
	Name string `json:"name"`
	To   string `json:"to"`
}

// Override is an operator's decision who owns a short name. It precedes all other rules.
type Override struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`          // "": the mesh's alias of that name
	Mesh  string `json:"mesh,omitempty"` // "": any mesh that publishes the owner's service
	SetBy string `json:"by,omitempty"`   // the operator
}

// Loss is a mesh that has stopped publishing.
type Loss struct {
	Mesh  string        `json:"mesh"`
	Since time.Duration `json:"since"` // agreed time
}

// ValidName reports whether a service, an alias or a mesh may have a name: 1 to 128 bytes of UTF-8 without spaces, control
// characters and dots.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.Contains(name, ".") && routing.IsValidName(name) && utf8.ValidString(name)
}

// splitName separates a name into its short name and, where it is qualified, its mesh.
func splitName(name string) (short, mesh string) {
	short, mesh, _ = strings.Cut(name, ".")
	return short, mesh
}

// qualify returns the qualified name of a mesh's service or alias.
func qualify(short, mesh string) string { return short + "." + mesh }
