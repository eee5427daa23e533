package memestimate

import (
	"reflect"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/internal/routing"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxRouteRules is routing's limit of the rules of a route. The rules of a larger one, which routing rejects, are not
	// told apart but only multiplied.
	maxRouteRules = 4096
	// maxSteps and maxShapes bound the work on a set and its memory: the number of combinations of forms that are visited,
	// and of different shapes. In a larger set each combination counts as a shape of its own.
	maxSteps  = 4 << 20
	maxShapes = 1 << 17
	// fixedDimensions is how many dimensions every table has; each further field is one more.
	fixedDimensions = 5
	// maxLargestRoutes is the length of Estimate.LargestRoutes.
	maxLargestRoutes = 10

	// Layout of routing's index, in bytes.
	recordHeaderBytes = 12
	exactLengthBytes  = 2 // before an exact text in a record
	slotBytes         = 8
	memberBytes       = 4 // of a rule's position in its shape's list, while the index is built
)

// Counter estimates by counting what routing.New allocates. It is immutable and may be shared by goroutines.
type Counter struct{ *sizeClasses }

var _ Estimator = (*Counter)(nil)

// New makes a Counter for the running program's allocator.
func New() *Counter { return &Counter{runtimeSizeClasses()} }

// Table implements Estimator. Each string of the set counts as one allocation, as decoders make them, and each slice by its
// capacity. A set that routing.New rejects gets an estimate too. What does not fit into 64 bits is math.MaxUint64.
func (c *Counter) Table(set *routing.Set) Estimate {
	const typicalDimensions = 8 // of a route; more make the buffers grow
	t := tally{
		sizeClasses: c.sizeClasses,
		policyCosts: make([]policyCost, 0, len(set.Policies)),
		routeCosts:  make([]routeCost, 0, len(set.Routes)),
		forms:       make([]form, 0, typicalDimensions),
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

// SwitchPeak implements Estimator. The text is held until the new table is compiled.
func (*Counter) SwitchPeak(current, next Estimate, textBytes int) uint64 {
	return sumSaturating(current.LiveBytes, next.LiveBytes, next.CompileBytes, uint64(max(textBytes, 0)))
}

// HotRestartPeak implements Estimator. The text counts twice: the old process sends it and the new one reads it.
func (c *Counter) HotRestartPeak(e Estimate, textBytes int) uint64 {
	return addSaturating(c.SwitchPeak(e, e, textBytes), uint64(max(textBytes, 0)))
}

// tally is the sums of a set while it is counted. Sums that a set can make too large for 64 bits saturate.
type tally struct {
	*sizeClasses
	policyNumbers hashNumbers  // of policies by the hashes of their names
	policyCosts   []policyCost // by their numbers
	fieldNames    hashNumbers  // of further fields
	splitNumbers  hashNumbers  // of splits with their policies
	shapeNumbers  hashNumbers
	shapes        []shapeCount // by their numbers

	setBytes         uint64 // of the routes in the set
	targetTotal      uint64 // bytes of the routes' targets
	rules            uint64
	recordTotal      uint64 // bytes
	splitTextTotal   uint64 // bytes of the texts that identify different splits
	steps            uint64 // combinations of forms, of all routes
	excessRules      uint64 // rules of routes that routing rejects
	largestExpansion uint64 // the most rules of one route
	largestPartial   uint64 // the most rules of one route before its last dimension
	routeCosts       []routeCost

	// Of the current route.
	forms      []form
	dimensions []dimension

	// Buffers, kept so that no route allocates them anew.
	multiForm   []dimension
	seen        hashNumbers
	targetCache [16]uint64 // targetBytes by the number of shares; 0: not computed yet
}

// policyCost is what a policy adds to each route that has it.
type policyCost struct {
	fallbackBytes uint64
	hash          uint64 // its part of the split's hash
}

// routeCost is a route's part of the table.
type routeCost struct {
	ownBytes    uint64
	rules       uint64
	recordBytes uint64
}

// policyHashSeed makes the hash of a policy's name differ from that of a share of a pool with the same name.
const policyHashSeed = 6

// addPolicy notes what a policy costs its routes. Of two with one name the later one counts.
func (t *tally) addPolicy(p *routing.Policy) {
	hash := xxhash.Sum64String(p.Name)
	number, isNew := t.policyNumbers.number(hash)
	if isNew {
		t.policyCosts = append(t.policyCosts, policyCost{})
	}
	t.policyCosts[number] = policyCost{
		fallbackBytes: t.appendedBytes(intSlice, uint64(len(p.Fallback))),
		hash:          hashing.Combine(policyHashSeed, hash),
	}
}

// fixedBytes is what a table uses beside its routes.
func (t *tally) fixedBytes(set *routing.Set) uint64 {
	bytes := sumSaturating(
		t.objectBytes(uint64(reflect.TypeFor[routing.Table]().Size()), true),
		t.stringBytes(len(set.Default)),
		t.arrayBytes(poolSlice, uint64(cap(set.Pools))),
		t.arrayBytes(policySlice, uint64(cap(set.Policies))),
		t.arrayBytes(zoneSlice, uint64(cap(set.Zones))),
		t.mapBytes(numberSlotBytes, uint64(len(set.Pools))))
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

// stringListBytes is what a list of strings uses. It exists already, so its size cannot overflow.
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
