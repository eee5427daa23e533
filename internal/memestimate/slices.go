package memestimate

import (
	"reflect"

	"example.org/micafront/internal/routing"
)

// Types of slices in a set and in a table.
var (
	stringSlice = sliceOf[string](true)
	intSlice    = sliceOf[int](false)
	int32Slice  = sliceOf[int32](false)
	uint32Slice = sliceOf[uint32](false)
	byteSlice   = sliceOf[byte](false)

	shareSlice  = sliceOf[routing.SplitShare](true)
	routeSlice  = sliceOf[routing.Route](true)
	poolSlice   = sliceOf[routing.Pool](true)
	policySlice = sliceOf[routing.Policy](true)
	zoneSlice   = sliceOf[routing.Zone](true)

	// Types that routing does not export are looked up in its Table, so that they change with it.
	ruleSlice   = tableSlice("rules")
	shapeSlice  = tableSlice("shapes")
	targetSlice = tableSlice("targets")
)

// tableSlice is the type of a field of routing.Table; the zero one where there is no such field, which a test reports.
func tableSlice(field string) sliceType {
	f, ok := reflect.TypeFor[routing.Table]().FieldByName(field)
	if !ok {
		return sliceType{}
	}
	return sliceType{elementBytes: uint64(f.Type.Elem().Size()), hasPointers: true}
}

// Bytes of a map's key and value, on machines of 64 bits.
const (
	listenerSlotBytes  = 32 // two strings
	conditionSlotBytes = 64 // a string and a routing.StringMatcher
	numberSlotBytes    = 24 // a string and an int
)
