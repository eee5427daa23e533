package routing

import "time"

// Set is a complete routing configuration, as the site language compiles it.
type Set struct {
	Pools    []Pool   `json:"pools"`
	Policies []Policy `json:"policies,omitempty"`
	Routes   []Route  `json:"routes,omitempty"`
	Default  string   `json:"default,omitempty"` // name of the route that applies if no route matches; "": such requests fail
	Zones    []Zone   `json:"zones,omitempty"`   // zones of the site; empty: any
	// Listeners maps the names of further listeners, as used in Match.Listener, to their addresses.
	Listeners map[string]string `json:"listeners,omitempty"`
	// DrainTimeout is the time that connections have to drain when their pool is removed; 0: 30 s.
	DrainTimeout Microseconds `json:"drain_over_us,omitempty"`
}

// Zone is a zone of the site.
type Zone struct {
	Name  string `json:"name"`
	Title string `json:"title,omitempty"`
}

// Microseconds is a duration in whole microseconds.
type Microseconds int64

// Duration converts m to a time.Duration.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// TotalPPM is the sum of the shares of a split, in parts per million.
const TotalPPM = 1_000_000

// MainListener is the name of the listener that every proxy has.
const MainListener = "main"

// defaultDrainTimeout is the value of DrainTimeout if a set has none.
const defaultDrainTimeout = 30 * time.Second

// EffectiveDrainTimeout returns the time that connections have to drain when their pool is removed: DrainTimeout, or its
// default.
func (s *Set) EffectiveDrainTimeout() time.Duration {
	if s.DrainTimeout > 0 {
		return s.DrainTimeout.Duration()
	}
	return defaultDrainTimeout
}

// WithDefaults returns the set that a proxy uses. A set without pools and routes gets the pool and route of SinglePoolSet.
func (s Set) WithDefaults() Set {
	if len(s.Pools) == 0 && len(s.Routes) == 0 {
		single := SinglePoolSet()
		s.Pools = single.Pools
		s.Routes = single.Routes
		s.Default = single.Default
	}
	return s
}

// SinglePoolSet returns a set of one pool with all endpoints and one route to it, without limits.
func SinglePoolSet() Set {
	return Set{
		Pools:   []Pool{{Name: "all"}},
		Routes:  []Route{{Name: "all", To: []SplitShare{{Pool: "all", PPM: TotalPPM}}}},
		Default: "all",
	}
}
