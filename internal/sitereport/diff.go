package sitereport

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/sitelang"
)

// Diff lists what another version of a site would change in routing.
type Diff struct {
	Changes   []routing.Change `json:"changes"`
	Pools     []string         `json:"pools,omitempty"`     // sentences: added, removed and renamed pools
	Endpoints []string         `json:"next_hops,omitempty"` // sentences: endpoints of the list that change pools
	MovedKeys *MovedKeys       `json:"moved_keys,omitempty"`
}

// MovedKeys counts the keys whose first endpoint changes.
type MovedKeys struct {
	KeysPerClass int            `json:"keys"`
	Moved        int            `json:"moved"` // in all classes together
	LostBy       map[string]int `json:"off"`   // moved keys by their current endpoint
	GainedBy     map[string]int `json:"onto"`  // moved keys by their new endpoint
}

// NewDiff compares two versions of a site. If list is not nil, it also compares the pools of the listed endpoints, and the
// first endpoints of keysPerClass keys of each class; the keys are the same in each call. It returns an error if there are
// too many routes to compare, or if the settings of a site are invalid.
func NewDiff(current, proposed *sitelang.Site, list *discovery.List, keysPerClass int, now balancer.Instant) (*Diff, error) {
	space := unionSpace(&current.MatchSpace, &proposed.MatchSpace)
	changes, err := routing.Diff(current.RoutingTable, proposed.RoutingTable, space)
	if err != nil {
		return nil, err
	}
	d := &Diff{Changes: changes, Pools: poolChanges(&current.RoutingSet, &proposed.RoutingSet)}
	if list == nil {
		return d, nil
	}
	before, err := newSitePools(current, list, now)
	if err != nil {
		return nil, err
	}
	after, err := newSitePools(proposed, list, now)
	if err != nil {
		return nil, err
	}
	d.Endpoints = endpointChanges(before, after, list)
	d.MovedKeys = countMovedKeys(before, after, space.Classes, keysPerClass)
	return d, nil
}

// unionSpace returns the attributes that a connection can have in either of two versions.
func unionSpace(current, proposed *routing.MatchSpace) routing.MatchSpace {
	space := routing.MatchSpace{
		Classes:   union(current.Classes, proposed.Classes),
		Listeners: union(current.Listeners, proposed.Listeners),
	}
	if len(current.Zones) > 0 && len(proposed.Zones) > 0 { // a version without declared zones allows any zone
		space.Zones = union(current.Zones, proposed.Zones)
	}
	return space
}

// union returns the elements of two lists, sorted, each once.
func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// poolChanges describes which pools are removed, renamed and added.
func poolChanges(current, proposed *routing.Set) []string {
	var out []string
	successors := routing.SuccessorPools(current, proposed)
	for i, pool := range current.Pools {
		switch successor := successors[i]; {
		case successor < 0:
			out = append(out, fmt.Sprintf("pool %q is dropped: its connections have %s to leave", pool.Name, proposed.EffectiveDrainTimeout()))
		case proposed.Pools[successor].Name != pool.Name:
			out = append(out, fmt.Sprintf("pool %q goes on as %q, with all that it knows", pool.Name, proposed.Pools[successor].Name))
		}
	}
	for i, pool := range proposed.Pools {
		if !slices.Contains(successors, i) {
			out = append(out, fmt.Sprintf("pool %q is new", pool.Name))
		}
	}
	return out
}

// endpointChanges describes the endpoints of the list that change pools.
func endpointChanges(before, after *sitePools, list *discovery.List) []string {
	var out []string
	for _, endpoint := range sitelang.ActiveEndpoints(list) {
		from := before.describePool(endpoint.ID)
		to := after.describePool(endpoint.ID)
		if from != to {
			out = append(out, fmt.Sprintf("next hop %q goes from %s to %s", endpoint.ID, from, to))
		}
	}
	return out
}

// describePool names the pool that an endpoint belongs to.
func (p *sitePools) describePool(endpoint string) string {
	pool := p.membership.PoolOf(endpoint)
	if pool < 0 {
		return "no pool"
	}
	return fmt.Sprintf("pool %q", p.site.RoutingSet.Pools[pool].Name)
}

// countMovedKeys counts the generated keys whose first endpoint differs between the two versions.
func countMovedKeys(before, after *sitePools, classes []string, keysPerClass int) *MovedKeys {
	moved := &MovedKeys{KeysPerClass: keysPerClass, LostBy: map[string]int{}, GainedBy: map[string]int{}}
	for _, class := range classes {
		for i := range keysPerClass {
			connection := &routing.ConnectionAttributes{Class: class, Key: "key-" + strconv.Itoa(i), Listener: routing.MainListener}
			from := before.placement(connection)
			to := after.placement(connection)
			if from != to {
				moved.Moved++
				moved.LostBy[from]++
				moved.GainedBy[to]++
			}
		}
	}
	return moved
}

// noEndpoint is the name under which keys without an endpoint are counted.
const noEndpoint = "none"

// placement returns the first endpoint for a connection in the site's zone without further fields. If the connection's pool
// has no endpoint, it is the first endpoint of a fallback pool; if no pool has one, it is noEndpoint.
func (p *sitePools) placement(connection *routing.ConnectionAttributes) string {
	local := *connection
	local.Zone = p.site.Settings.Zone
	local.Fields = make([]string, len(p.site.RoutingTable.FieldNames))
	decision, ok := p.site.RoutingTable.Decide(&local)
	if !ok {
		return noEndpoint
	}
	for _, pool := range append([]int{decision.Pool}, p.site.RoutingTable.Fallbacks(decision)...) {
		if endpoint := p.firstEndpoint(pool, &local); endpoint != "" {
			return endpoint
		}
	}
	return noEndpoint
}

// Empty reports whether nothing would change.
func (d *Diff) Empty() bool { return len(d.Changes)+len(d.Pools)+len(d.Endpoints) == 0 }

// Write writes the differences as text. It returns w's errors.
func (d *Diff) Write(w io.Writer) error {
	var out strings.Builder
	d.write(&out)
	_, err := io.WriteString(w, out.String())
	return err
}

func (d *Diff) write(out *strings.Builder) {
	if d.Empty() {
		fmt.Fprintln(out, "routing stays as it is")
		return
	}
	for _, sentence := range d.Pools {
		fmt.Fprintln(out, sentence)
	}
	for i := range d.Changes {
		fmt.Fprintln(out, d.Changes[i].Describe())
	}
	for _, sentence := range d.Endpoints {
		fmt.Fprintln(out, sentence)
	}
	if d.MovedKeys == nil {
		return
	}
	fmt.Fprintf(out, "%d of %d keys of each class, all classes together, have another next hop\n", d.MovedKeys.Moved, d.MovedKeys.KeysPerClass)
	endpoints := union(slices.Collect(maps.Keys(d.MovedKeys.LostBy)), slices.Collect(maps.Keys(d.MovedKeys.GainedBy)))
	for _, endpoint := range endpoints {
		fmt.Fprintf(out, "  %-20s loses %6d gets %6d\n", endpoint, d.MovedKeys.LostBy[endpoint], d.MovedKeys.GainedBy[endpoint])
	}
}
