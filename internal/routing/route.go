package routing

import "slices"

// Route sends matching connections to pools.
type Route struct {
	Name       string       `json:"name"`
	Precedence int          `json:"precedence,omitempty"` // the matching route with the highest precedence applies
	Match      Match        `json:"match"`
	To         []SplitShare `json:"to"`
	Policy     string       `json:"policy,omitempty"`      // name; "": none
	MaxOpen    int          `json:"max_open,omitempty"`    // established and waiting connections; 0: no limit
	MaxWaiting int          `json:"max_waiting,omitempty"` // waiting connections; 0: no limit
}

// SplitShare is the share of a pool in a split, in parts per million of the keys.
type SplitShare struct {
	Pool string `json:"pool"`
	PPM  int    `json:"ppm"`
}

// Policy limits the attempts and the time of a request, and lists the pools to which it may fall back.
type Policy struct {
	Name     string       `json:"name"`
	Attempts int          `json:"attempts,omitempty"`    // limit for all pools together; 0: the limit in the settings
	Deadline Microseconds `json:"deadline_us,omitempty"` // maximum duration of a request; 0: only the client's deadline applies
	// RetryAfterMin and RetryAfterMax bound the Retry-After of a rejection; 0: no bound.
	RetryAfterMin Microseconds `json:"come_back_from_us,omitempty"`
	RetryAfterMax Microseconds `json:"come_back_to_us,omitempty"`
	Fallback      []string     `json:"fallback,omitempty"` // names of pools, in order
}

// Match is a condition on a connection. A connection must match every part, and it matches a part if it has one of the values.
// A part without values matches every connection.
type Match struct {
	Class    []string                 `json:"class,omitempty"`
	Listener []string                 `json:"listener,omitempty"`
	Zone     []string                 `json:"zone,omitempty"` // zone of the proxy
	Key      StringMatcher            `json:"key,omitzero"`
	Group    StringMatcher            `json:"group,omitzero"`
	Fields   map[string]StringMatcher `json:"fields,omitempty"` // further fields of the first line, by name
}

// StringMatcher is a condition on a text: an exact text or a prefix must match. A missing field has the text "".
type StringMatcher struct {
	Exact  []string `json:"exact,omitempty"`
	Prefix []string `json:"prefix,omitempty"`
}

// MatchesAll reports whether the condition matches every text.
func (s StringMatcher) MatchesAll() bool {
	return len(s.Exact)+len(s.Prefix) == 0 || slices.Contains(s.Prefix, "")
}

// Matches reports whether the condition matches a text.
func (s StringMatcher) Matches(text string) bool {
	return s.MatchesAll() || slices.Contains(s.Exact, text) || hasAnyPrefix(text, s.Prefix)
}

// ConnectionAttributes are the inputs of the routing decision: fields of the connection's first line, and the zone and listener
// of the proxy.
type ConnectionAttributes struct {
	Class    string
	Key      string
	Group    string
	Zone     string
	Listener string
	Fields   []string // further fields, in the order of Table.FieldNames
}
