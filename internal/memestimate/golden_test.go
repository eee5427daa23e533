package memestimate

import (
	"reflect"
	"testing"

	"example.org/micafront/internal/testing/testkit"
)

// TestGoldenRouteSize checks the JSON form of RouteSize. An Estimate has no encoded form, because it stays within the process.
func TestGoldenRouteSize(t *testing.T) {
	size := RouteSize{Route: "feeds", Bytes: 1 << 40, Rules: 720}
	testkit.CheckAllSet(t, "route size", reflect.ValueOf(size))
	testkit.CheckEncoding(t, "weight.json", size)
}
