package sitereport

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/lineprotocol"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/sitelang"
)

// Attempt is an attempt that the proxy would make at an endpoint.
type Attempt struct {
	Pool     string `json:"pool"`
	Endpoint string `json:"next_hop"`
	Reason   string `json:"why"`
}

// Explanation describes how a site routes one connection. Its JSON form omits fields without a value. Conclusion is always
// set.
type Explanation struct {
	Class         string              `json:"class"`
	Routes        []routing.Candidate `json:"routes"` // all that match, the preferred one first
	Route         string              `json:"route,omitempty"`
	SplitPosition string              `json:"place_in_split,omitempty"` // of the connection's key, in percent of the split
	Pool          string              `json:"pool,omitempty"`
	Policy        string              `json:"policy,omitempty"`
	Fallback      []string            `json:"fallback,omitempty"` // pools, in order
	Deadline      string              `json:"deadline,omitempty"` // a duration that starts when the first line is received
	MaxAttempts   int                 `json:"attempts,omitempty"`
	Attempts      []Attempt           `json:"steps,omitempty"` // in order, if every endpoint is full
	Conclusion    string              `json:"conclusion"`
}

// Explain routes a connection's first line through a site with a list of endpoints, each of which rejects it as full.
// listener is the name of the listener that accepted the connection. Explain returns an error if the text is not a first
// line. A connection that the site does not serve is no error; the conclusion gives the reason.
func Explain(site *sitelang.Site, firstLine []byte, listener string, list *discovery.List, now balancer.Instant) (*Explanation, error) {
	open, err := lineprotocol.ParseOpen(firstLine)
	if err != nil { // lineprotocol.ErrSyntax gives no further reason
		return nil, fmt.Errorf("%q is not a first line; the form is OPEN ID KEY c=CLASS,d=MS", firstLine)
	}
	out := &Explanation{Class: open.Class}
	class := slices.IndexFunc(site.Settings.Classes, func(c balancer.Class) bool { return c.Name == open.Class })
	if class < 0 {
		out.Conclusion = fmt.Sprintf("class %q is not one of the site's: the connection is answered ERR SYNTAX", open.Class)
		return out, nil
	}
	connection := newConnection(site, &open, listener)
	out.Routes = site.RoutingTable.Candidates(connection)
	decision, ok := site.RoutingTable.Decide(connection)
	if !ok {
		out.Conclusion = "no route matches and there is no default: the connection fails"
		return out, nil
	}
	timeout := open.Timeout
	if !open.HasTimeout {
		timeout = site.Settings.Classes[class].Timeout
	}
	progress, _ := site.RoutingTable.BeginRequest(decision, routing.Usage{}, allAvailable)
	deadline := progress.Deadline(now, now+timeout)
	out.describeDecision(site, decision, &progress)
	out.Deadline = (deadline - now).String()
	pools, err := newSitePools(site, list, now)
	if err != nil {
		return nil, err
	}
	out.addAttempts(pools, &progress, connection, deadline)
	return out, nil
}

// newConnection returns the routing attributes of a connection with this first line.
func newConnection(site *sitelang.Site, open *lineprotocol.Open, listener string) *routing.ConnectionAttributes {
	connection := &routing.ConnectionAttributes{Class: open.Class, Key: open.Key, Group: open.Group, Zone: site.Settings.Zone, Listener: listener}
	for _, name := range site.RoutingTable.FieldNames {
		value, _ := open.Field(name) // a line without the field matches like one with the value ""
		connection.Fields = append(connection.Fields, value)
	}
	return connection
}

// allAvailable reports every pool as available, because nothing is in use and so no limit is reached.
func allAvailable(int) bool { return true }

// describeDecision sets the fields for the route, its pools and its policy.
func (e *Explanation) describeDecision(site *sitelang.Site, decision routing.Decision, progress *routing.RequestProgress) {
	set := &site.RoutingSet
	e.Route = set.Routes[decision.Route].Name
	e.Pool = set.Pools[decision.Pool].Name
	e.Policy = progress.Policy.Name
	e.SplitPosition = fmt.Sprintf("%s of the way through the split", routing.Percent(decision.SplitPosition))
	for _, pool := range site.RoutingTable.Fallbacks(decision) {
		e.Fallback = append(e.Fallback, set.Pools[pool].Name)
	}
	e.MaxAttempts = progress.AttemptsLeft(site.Settings.Limits.Attempts)
}

// addAttempts adds the attempts, pool by pool until the policy has no further pool, and sets the conclusion.
func (e *Explanation) addAttempts(pools *sitePools, progress *routing.RequestProgress, connection *routing.ConnectionAttributes, deadline balancer.Instant) {
	site := pools.site
	attemptLimit := site.Settings.Limits.Attempts
	previousPool := ""
	for {
		pool := site.RoutingSet.Pools[progress.Pool].Name
		endpoints := pools.attemptOrder(progress, connection, deadline, attemptLimit)
		for i, endpoint := range endpoints {
			reason := firstAttemptReason(pool, previousPool)
			if i > 0 {
				reason = fmt.Sprintf("the key's next place, after %s is full", endpoints[i-1])
			}
			e.Attempts = append(e.Attempts, Attempt{Pool: pool, Endpoint: endpoint, Reason: reason})
		}
		previousPool = pool
		if !pools.advanceToNextPool(progress, deadline) {
			break
		}
	}
	e.Conclusion = fmt.Sprintf("if all of these are full: BUSY, once pool %q has refused", site.RoutingSet.Pools[progress.Pool].Name)
	if len(e.Attempts) == 0 {
		e.Conclusion = "no next hop takes it: BUSY at once"
	}
}

// firstAttemptReason returns the reason why a pool's first endpoint is tried. previousPool is the pool that has just rejected
// the connection; "" if there is none.
func firstAttemptReason(pool, previousPool string) string {
	reason := fmt.Sprintf("its key's place in the table of pool %q", pool)
	if previousPool != "" {
		reason += fmt.Sprintf(", since pool %q has refused", previousPool)
	}
	return reason
}

// Write writes the explanation as text. It returns w's errors.
func (e *Explanation) Write(w io.Writer) error {
	var out strings.Builder
	for _, route := range e.Routes {
		fmt.Fprintf(&out, "route %q matches (%s): %s\n", route.Route, route.Match, route.Reason)
	}
	if e.Route != "" {
		e.writeRoute(&out)
	}
	for i, attempt := range e.Attempts {
		fmt.Fprintf(&out, "%d. %s of pool %q: %s\n", i+1, attempt.Endpoint, attempt.Pool, attempt.Reason)
	}
	fmt.Fprintln(&out, e.Conclusion)
	_, err := io.WriteString(w, out.String())
	return err
}

// writeRoute writes the route, its policy and its pools.
func (e *Explanation) writeRoute(out *strings.Builder) {
	policy := "no policy"
	if e.Policy != "" {
		policy = fmt.Sprintf("policy %q", e.Policy)
	}
	fmt.Fprintf(out, "pool %q by route %q: %s\n", e.Pool, e.Route, e.SplitPosition)
	fmt.Fprintf(out, "%s: at most %d attempts in %s", policy, e.MaxAttempts, e.Deadline)
	for i, pool := range e.Fallback {
		if i == 0 {
			fmt.Fprintf(out, ", then falls back to pool %q", pool)
		} else {
			fmt.Fprintf(out, ", to %q", pool)
		}
	}
	fmt.Fprintln(out)
}
