package routing

import "time"

// Set is a complete routing configuration, as the site language compiles it.
type Set struct {
	Pools    []Pool   `json:"pools"`
	Policies []Policy `json:"policies,omitempty"`
	Routes   []Route  `json:"routes,omitempty"`
	Default  string   `json:"default,omitempty"` // name of the route that applies where no other matches; "": such a request fails
	Zones    []Zone   `json:"zones,omitempty"`   // of the site; none: any
	// Listeners are the addresses of further listeners, by the names that matches use.
	Listeners map[string]string `json:"listeners,omitempty"`
	// DrainTimeout is how long connections have to drain when their pool is removed; 0: 30 s.
	DrainTimeout Microseconds `json:"drain_over_us,omitempty"`
}

// Zone is a zone of the site.
type Zone struct {
	Name  string `json:"name"`
	Title string `json:"title,omitempty"`
}

// Microseconds is a duration in whole microseconds.
type Microseconds int64

// Duration returns it as a time.Duration.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// TotalPPM is the sum of a split's shares, in parts per million.
const TotalPPM = 1_000_000

// MainListener is the name of the listener that every proxy has.
const MainListener = "main"

// defaultDrain is how long connections of a removed pool have to drain where a set does not say.
const defaultDrain = 30 * time.Second

// EffectiveDrainTimeout returns how long connections have to drain when their pool is removed: DrainTimeout, or its default.
func (s *Set) EffectiveDrainTimeout() time.Duration {
	if s.DrainTimeout > 0 {
		return s.DrainTimeout.Duration()
	}
	return defaultDrain
}

// WithDefaults returns the set as a proxy uses it: one without pools and routes gets those of SinglePoolSet.
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
