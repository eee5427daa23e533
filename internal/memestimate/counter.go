package memestimate

import (
	"reflect"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/internal/routing"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxRouteRules is the limit of internal/routing on the rules of a route. internal/routing rejects a route with more rules;
	// for such a route only the number of rules is computed, not their shapes.
	maxRouteRules = 4096
	// maxCombinations and maxShapes bound the time and memory of estimating a set: the number of visited combinations of length
	// buckets, and the number of different shapes. Above either limit, each combination counts as a separate shape.
	maxCombinations = 4 << 20
	maxShapes       = 1 << 17
	// fixedDimensions is the number of dimensions that every table has. Each further field adds one.
	fixedDimensions = 5
	// maxLargestRoutes is the length of Estimate.LargestRoutes.
	maxLargestRoutes = 10

	// Layout of the routing index, in bytes.
	recordHeaderBytes = 12
	exactLengthBytes  = 2 // length prefix of an exact text in a record
	slotBytes         = 8
	memberBytes       = 4 // position of a rule in the list of its shape, needed while the index is built
)

// Counter is an Estimator that counts the allocations of routing.New. It is immutable and safe for concurrent use.
type Counter struct{ *sizeClasses }

var _ Estimator = (*Counter)(nil)

// New returns a Counter for the allocator of the running program.
func New() *Counter { return &Counter{runtimeSizeClasses()} }

// Table implements Estimator. Each string of the set counts as one allocation, because decoders allocate strings separately,
// and each slice counts by its capacity. A set that routing.New rejects gets an estimate too. Results that exceed 64 bits
// become math.MaxUint64.
func (c *Counter) Table(set *routing.Set) Estimate {
	const typicalDimensions = 8 // of a route; the buffers grow for a route with more
	t := tally{
		sizeClasses: c.sizeClasses,
		policyCosts: make([]policyCost, 0, len(set.Policies)),
		routeCosts:  make([]routeCost, 0, len(set.Routes)),
		buckets:     make([]lengthBucket, 0, typicalDimensions),
		dimensions:  make([]dimension, 0, typicalDimensions),
	}
	for i := range set.Policies {
		t.addPolicy(&set.Policies[i])
	}
	fixed := t.fixedBytes(set)
	for i := range set.Routes {
		t.addRoute(&set.Routes[i])
	}
	return t.estimate(set, fixed)
}

// SwitchPeak implements Estimator. The received body stays in memory until the new table is compiled.
func (*Counter) SwitchPeak(current, next Estimate, bodyBytes int) uint64 {
	return sumSaturating(current.LiveBytes, next.LiveBytes, next.CompileBytes, uint64(max(bodyBytes, 0)))
}

// HotRestartPeak implements Estimator. The body counts twice, because the old process sends it and the new process reads it.
func (c *Counter) HotRestartPeak(e Estimate, bodyBytes int) uint64 {
	return addSaturating(c.SwitchPeak(e, e, bodyBytes), uint64(max(bodyBytes, 0)))
}

// tally accumulates the counts and sums of a set. Sums that a set can push beyond 64 bits saturate.
type tally struct {
	*sizeClasses
	policyIDs   hashIDs      // of policy names
	policyCosts []policyCost // by ID
	fieldNames  hashIDs      // of the names of further fields
	splitIDs    hashIDs      // of splits combined with their policies
	shapeIDs    hashIDs
	shapes      []shapeCount // by ID

	setBytes         uint64 // memory of the routes in the set
	targetTotal      uint64 // memory of the targets of the routes, in bytes
	rules            uint64
	recordTotal      uint64 // bytes
	splitTextTotal   uint64 // memory of the texts that identify different splits, in bytes
	combinations     uint64 // combinations of length buckets of all routes
	excessRules      uint64 // rules of routes that internal/routing rejects
	largestExpansion uint64 // largest number of rules of a route
	largestPartial   uint64 // largest number of partial rules of a route, without its last dimension
	routeCosts       []routeCost

	// Length buckets and dimensions of the current route.
	buckets    []lengthBucket
	dimensions []dimension

	// Buffers that all routes reuse.
	multiBucket []dimension
	seen        hashIDs
	targetCache [16]uint64 // targetBytes by number of shares; 0: not computed yet
}

// policyCost is what a policy adds to each route that uses it.
type policyCost struct {
	fallbackBytes uint64
	hash          uint64 // its part of the hash of a split
}

// routeCost is the part of the table that one route accounts for.
type routeCost struct {
	ownBytes    uint64
	rules       uint64
	recordBytes uint64
}

// policyHashSeed makes the hash of a policy name differ from the hash of a pool with the same name in a split.
const policyHashSeed = 6

// addPolicy stores the cost that a policy adds to its routes. If two policies have the same name, the later one counts.
func (t *tally) addPolicy(p *routing.Policy) {
	hash := xxhash.Sum64String(p.Name)
	id, isNew := t.policyIDs.id(hash)
	if isNew {
		t.policyCosts = append(t.policyCosts, policyCost{})
	}
	t.policyCosts[id] = policyCost{
		fallbackBytes: t.appendedBytes(intSlice, uint64(len(p.Fallback))),
		hash:          hashing.Combine(policyHashSeed, hash),
	}
}

// fixedBytes returns the memory of a table without its routes, in bytes.
func (t *tally) fixedBytes(set *routing.Set) uint64 {
	bytes := sumSaturating(
		t.objectBytes(uint64(reflect.TypeFor[routing.Table]().Size()), true),
		t.stringBytes(len(set.Default)),
		t.arrayBytes(poolSlice, uint64(cap(set.Pools))),
		t.arrayBytes(policySlice, uint64(cap(set.Policies))),
		t.arrayBytes(zoneSlice, uint64(cap(set.Zones))),
		t.mapBytes(intSlotBytes, uint64(len(set.Pools))))
	if set.Listeners != nil {
		bytes = addSaturating(bytes, t.mapBytes(listenerSlotBytes, uint64(len(set.Listeners))))
	}
	for name, address := range set.Listeners {
		bytes = sumSaturating(bytes, t.stringBytes(len(name)), t.stringBytes(len(address)))
	}
	for i := range set.Pools {
		p := &set.Pools[i]
		bytes = sumSaturating(bytes, t.stringBytes(len(p.Name)), t.stringListBytes(p.FormerNames), t.stringListBytes(p.Select.Zones),
			t.stringListBytes(p.Select.MachineTypes), t.stringListBytes(p.Select.IDPrefixes),
			t.arrayBytes(intSlice, uint64(cap(p.Select.Cells))))
	}
	for i := range set.Policies {
		p := &set.Policies[i]
		bytes = sumSaturating(bytes, t.stringBytes(len(p.Name)), t.stringListBytes(p.Fallback))
	}
	for _, zone := range set.Zones {
		bytes = sumSaturating(bytes, t.stringBytes(len(zone.Name)), t.stringBytes(len(zone.Title)))
	}
	return bytes
}

// stringListBytes returns the memory of a list of strings, in bytes. The list exists in memory, so its size cannot overflow.
func (t *tally) stringListBytes(list []string) uint64 {
	if cap(list) == 0 {
		return 0
	}
	bytes := t.arrayBytes(stringSlice, uint64(cap(list)))
	for _, s := range list {
		bytes += t.stringBytes(len(s))
	}
	return bytes
}
