package memestimate

import (
	"reflect"

	"example.org/micafront/internal/routing"
)

// Element types of the slices in a set and in a table.
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

	// The element types that routing does not export are taken from routing.Table by reflection, so that they follow its
	// changes.
	ruleSlice   = tableSlice("rules")
	shapeSlice  = tableSlice("shapes")
	targetSlice = tableSlice("targets")
)

// tableSlice returns the sliceType of a field of routing.Table. It returns the zero sliceType if there is no such field; a test
// reports that.
func tableSlice(field string) sliceType {
	f, ok := reflect.TypeFor[routing.Table]().FieldByName(field)
	if !ok {
		return sliceType{}
	}
	return sliceType{elementBytes: uint64(f.Type.Elem().Size()), hasPointers: true}
}

// Bytes of a map's key and value on 64-bit platforms.
const (
	listenerSlotBytes  = 32 // two strings
	conditionSlotBytes = 64 // a string and a routing.StringMatcher
	intSlotBytes       = 24 // a string and an int
)
