package routing

import "slices"

// Route sends the connections that it matches to pools.
type Route struct {
	Name       string       `json:"name"`
	Precedence int          `json:"precedence,omitempty"` // of the routes that match, the highest applies
	Match      Match        `json:"match"`
	To         []SplitShare `json:"to"`
	Policy     string       `json:"policy,omitempty"`      // name; "": none
	MaxOpen    int          `json:"max_open,omitempty"`    // established and waiting connections; 0: no limit
	MaxWaiting int          `json:"max_waiting,omitempty"` // waiting connections; 0: no limit
}

// SplitShare is a pool's share of a split, in parts per million of the keys.
type SplitShare struct {
	Pool string `json:"pool"`
	PPM  int    `json:"ppm"`
}

// Policy says what a request may cost and to which other pools it may fall back.
type Policy struct {
	Name     string       `json:"name"`
	Attempts int          `json:"attempts,omitempty"`    // in all pools together; 0: the limit of the settings
	Deadline Microseconds `json:"deadline_us,omitempty"` // the longest that a request may wait; 0: its client's deadline
	// RetryAfterMin and RetryAfterMax bound the Retry-After of a rejection; 0: no bound.
	RetryAfterMin Microseconds `json:"come_back_from_us,omitempty"`
	RetryAfterMax Microseconds `json:"come_back_to_us,omitempty"`
	Fallback      []string     `json:"fallback,omitempty"` // names of pools, in order
}

// Match is a condition on a connection: all parts hold, each by one of its values. A part without values always holds.
type Match struct {
	Class    []string                 `json:"class,omitempty"`
	Listener []string                 `json:"listener,omitempty"`
	Zone     []string                 `json:"zone,omitempty"` // the proxy's own
	Key      StringMatcher            `json:"key,omitzero"`
	Group    StringMatcher            `json:"group,omitzero"`
	Fields   map[string]StringMatcher `json:"fields,omitempty"` // further fields of the first line, by name
}

// StringMatcher is a condition on a text. A field that a line lacks has the text "".
type StringMatcher struct {
	Exact  []string `json:"exact,omitempty"`
	Prefix []string `json:"prefix,omitempty"`
}

// MatchesAll reports whether the condition holds for every text.
func (s StringMatcher) MatchesAll() bool {
	return len(s.Exact)+len(s.Prefix) == 0 || slices.Contains(s.Prefix, "")
}

// Matches reports whether the condition holds for a text.
func (s StringMatcher) Matches(text string) bool {
	return s.MatchesAll() || slices.Contains(s.Exact, text) || hasAnyPrefix(text, s.Prefix)
}

// ConnectionAttributes is what a connection is routed by: fields of its first line, and the zone and listener of the proxy.
type ConnectionAttributes struct {
	Class    string
	Key      string
	Group    string
	Zone     string
	Listener string
	Fields   []string // further fields, in the order of Table.FieldNames
}
