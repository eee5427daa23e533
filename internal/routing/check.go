package routing

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"example.org/micafront/internal/apperror"
)

const (
	// maxRulesPerRoute is the limit on the rules that a route expands to: the product of the numbers of alternatives of its
	// conditions.
	maxRulesPerRoute = 4096
	// maxTextBytes is the length limit of a text in a condition, in bytes. The first line of a connection has at most 4 KiB.
	maxTextBytes = 4 << 10
	// ruleCountCap is the value at which ruleCount stops counting, so that the product does not overflow.
	ruleCountCap = 1 << 20
)

// setChecker collects all validation errors of a set.
type setChecker struct {
	set      *Set
	errs     []error
	pools    map[string]bool
	policies map[string]bool
	routes   map[string]bool
}

// check returns the joined errors that prevent a set from being compiled, or nil. internal/sitelang reports what is valid but
// probably a mistake.
func (s *Set) check() error {
	c := &setChecker{set: s, pools: map[string]bool{}, policies: map[string]bool{}, routes: map[string]bool{}}
	c.checkPools()
	c.checkPolicies()
	for i := range s.Routes {
		c.checkRoute(&s.Routes[i])
	}
	if s.Default != "" && !c.routes[s.Default] {
		c.addError(unknownName, "the default route %q does not exist", s.Default)
	}
	if s.DrainTimeout < 0 {
		c.addError(outOfRange, "drain_over, the time to drain a removed pool, is %d us, which is below 0", s.DrainTimeout)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Listeners)) {
		if name == "" || name == MainListener {
			c.addError(invalidName, "a further listener cannot be named %q", name)
		}
	}
	return errors.Join(c.errs...)
}

func (c *setChecker) addError(kind *apperror.Kind, format string, args ...any) {
	c.errs = append(c.errs, kind.New("", format, args...))
}

// checkName checks the name of a pool, policy or route, and adds it to the defined names.
func (c *setChecker) checkName(what, name string, defined map[string]bool) {
	if name == "" {
		c.addError(invalidName, "a %s has no name", what)
	} else if defined[name] {
		c.addError(invalidName, "%s %q is defined twice", what, name)
	}
	if !IsValidName(name) {
		c.addError(invalidName, "%s %q has a blank or a control character in its name", what, name)
	}
	defined[name] = true
}

func (c *setChecker) checkPools() {
	if len(c.set.Pools) == 0 {
		c.addError(unknownName, "there is no pool")
	}
	for _, pool := range c.set.Pools {
		c.checkName("pool", pool.Name, c.pools)
		if pool.MaxOpen < 0 || pool.MaxWaiting < 0 {
			c.addError(outOfRange, "pool %q has a limit below 0", pool.Name)
		}
		if !pool.Select.HasValidSizes() {
			c.addError(outOfRange, "pool %q selects sizes from %v to %v, which is not a range of finite sizes of 0 or more", pool.Name,
				pool.Select.SizeFrom, pool.Select.SizeTo)
		}
	}
}

func (c *setChecker) checkPolicies() {
	for _, p := range c.set.Policies {
		c.checkName("policy", p.Name, c.policies)
		if p.Attempts < 0 || p.Deadline < 0 || p.RetryAfterMin < 0 || p.RetryAfterMax < 0 {
			c.addError(outOfRange, "policy %q has a negative value: attempts %d, deadline %d us, come_back from %d to %d us", p.Name,
				p.Attempts, p.Deadline, p.RetryAfterMin, p.RetryAfterMax)
		} else if p.RetryAfterMax > 0 && p.RetryAfterMax < p.RetryAfterMin {
			c.addError(outOfRange, "policy %q has a come_back range that ends before it begins: from %d to %d us", p.Name,
				p.RetryAfterMin, p.RetryAfterMax)
		}
		seen := map[string]bool{}
		for _, pool := range p.Fallback {
			if !c.pools[pool] {
				c.addError(unknownName, "policy %q falls back to pool %q, which does not exist", p.Name, pool)
			}
			if seen[pool] {
				c.addError(unknownName, "policy %q falls back to pool %q twice", p.Name, pool)
			}
			seen[pool] = true
		}
	}
}

func (c *setChecker) checkRoute(r *Route) {
	c.checkName("route", r.Name, c.routes)
	if r.MaxOpen < 0 || r.MaxWaiting < 0 {
		c.addError(outOfRange, "route %q has a limit below 0", r.Name)
	}
	if r.Policy != "" && !c.policies[r.Policy] {
		c.addError(unknownName, "route %q uses policy %q, which does not exist", r.Name, r.Policy)
	}
	if n := r.Match.ruleCount(); n > maxRulesPerRoute {
		c.addError(tooManyConditions, "route %q has %d combinations of conditions, over %d", r.Name, n, maxRulesPerRoute)
	}
	if n := r.Match.longestText(); n > maxTextBytes {
		c.addError(tooManyConditions, "route %q has a condition of %d bytes, over %d", r.Name, n, maxTextBytes)
	}
	c.checkSplit(r)
}

func (c *setChecker) checkSplit(r *Route) {
	sum := 0
	seen := map[string]bool{}
	for _, share := range r.To {
		if !c.pools[share.Pool] {
			c.addError(unknownName, "route %q goes to pool %q, which does not exist", r.Name, share.Pool)
		}
		if seen[share.Pool] {
			c.addError(invalidSplit, "route %q goes to pool %q twice", r.Name, share.Pool)
		}
		if share.PPM < 0 || share.PPM > TotalPPM {
			c.addError(invalidSplit, "route %q gives pool %q a share of %d ppm, which is not from 0 to %d", r.Name, share.Pool, share.PPM, TotalPPM)
			continue
		}
		seen[share.Pool] = true
		sum += share.PPM
	}
	if sum != TotalPPM {
		c.addError(invalidSplit, "the parts of route %q come to %g %%, not to 100 %%", r.Name, float64(sum)/TotalPPM*100)
	}
}

// IsValidName reports whether a name is usable in a line of statistics, that is, contains no spaces or control characters.
func IsValidName(name string) bool {
	const deleteCharacter = 0x7f
	return !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == deleteCharacter })
}

// ruleCount returns the number of rules that a match expands to, or ruleCountCap if there are more.
func (m *Match) ruleCount() int {
	count := 1
	multiply := func(s StringMatcher) {
		if !s.MatchesAll() {
			count = min(count*len(patterns(s)), ruleCountCap)
		}
	}
	multiply(m.Key)
	multiply(m.Group)
	for _, s := range m.Fields {
		multiply(s)
	}
	multiply(StringMatcher{Exact: m.Class})
	multiply(StringMatcher{Exact: m.Listener})
	multiply(StringMatcher{Exact: m.Zone})
	return count
}

// longestText returns the length in bytes of the longest text in the conditions of the match.
func (m *Match) longestText() (length int) {
	lists := [][]string{m.Class, m.Listener, m.Zone, m.Key.Exact, m.Key.Prefix, m.Group.Exact, m.Group.Prefix}
	for _, s := range m.Fields {
		lists = append(lists, s.Exact, s.Prefix)
	}
	for _, list := range lists {
		for _, text := range list {
			length = max(length, len(text))
		}
	}
	return length
}
