package discovery

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

func goldenList() List {
	return List{Generation: 41, Reset: true, Instances: []Entry{
		{ID: "s-5be2a07c", HostPort: "127.1.0.18:8081", Zone: "thies", MachineType: "m2", Cell: 3, Lifecycle: "in_service",
			Weight: 1.5, StartedAtMs: 1798761600123},
		{ID: "s-7", HostPort: "127.1.0.19:8081", Zone: "dakar", MachineType: "m3", Cell: 4, Lifecycle: "terminating",
			Weight: 0.35, StartedAtMs: 1798761600999}}}
}

// goldenWatch returns the objects of the watch fixture: the whole list, changes with three lifecycles, and an object without entries.
func goldenWatch() []List {
	return []List{goldenList(),
		{Generation: 42, Instances: []Entry{
			{ID: "s-7", HostPort: "127.1.0.19:8081", Zone: "dakar", MachineType: "m3", Cell: 4, Lifecycle: "terminated", Weight: 0.35, StartedAtMs: 1798761600999},
			{ID: "s-8", HostPort: "127.1.0.20:8081", Zone: "dakar", Lifecycle: "in_service"},
			{ID: "s-8", HostPort: "127.1.0.20:8081", Zone: "dakar", Lifecycle: "terminating"}}},
		{Generation: 43}}
}

// TestGoldenList pins the encoding of a list with every field set, and of changes without the optional fields.
func TestGoldenList(t *testing.T) {
	testkit.CheckAllSet(t, "list", reflect.ValueOf(goldenList()))
	testkit.CheckEncoding(t, "list.json", goldenList())
	testkit.CheckEncoding(t, "changes.json", goldenWatch()[1])
	parsed, err := ParseList(testkit.GoldenFile(t, "list.json"))
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "parsed", goldenList(), parsed)
}

// TestGoldenListAsEndpointUpdate checks that each key of a list is converted to its field of an endpoint.
func TestGoldenListAsEndpointUpdate(t *testing.T) {
	list, err := ParseList(testkit.GoldenFile(t, "list.json"))
	if err != nil {
		t.Fatal(err)
	}
	first := balancer.Endpoint{ID: "s-5be2a07c", Phase: balancer.Ready, StartedAt: 1798761600123 * time.Millisecond, Size: 1.5,
		Zone: "thies", Cell: 3}
	second := balancer.Endpoint{ID: "s-7", Phase: balancer.Draining, StartedAt: 1798761600999 * time.Millisecond, Size: 0.35,
		Zone: "dakar", Cell: 4}
	testkit.Equal(t, "entries", []routing.EndpointEntry{{MachineType: "m2", Endpoint: first}, {MachineType: "m3", Endpoint: second}}, list.Entries())
	testkit.Equal(t, "members", balancer.EndpointUpdate{Kind: balancer.FullList, Version: 41, Entries: []balancer.Endpoint{first, second}},
		list.EndpointUpdate(balancer.FullList))
	testkit.Equal(t, "lifecycles", map[string]balancer.Phase{"in_service": balancer.Ready, "terminating": balancer.Draining,
		"terminated": balancer.Removed}, lifecyclePhases)
}

// TestGoldenWatchStream checks that a stream with single-line, indented and directly adjacent objects yields the same lists in
// pieces of any size.
func TestGoldenWatchStream(t *testing.T) {
	text := testkit.GoldenFile(t, "watch.txt")
	for _, size := range []int{1, 7, 64, len(text)} {
		lists, _, err := readAll(text, pieces(size))
		if err != nil {
			t.Fatal(err)
		}
		testkit.Equal(t, fmt.Sprintf("in pieces of %d bytes", size), goldenWatch(), lists)
	}
}

// TestGoldenKinds pins the names of the error kinds.
func TestGoldenKinds(t *testing.T) {
	for name, kind := range map[string]*apperror.Kind{
		"registry/broken": invalidList, "registry/unreachable": unreachable, "registry/silent": timedOut, "registry/refused": rejected,
		"registry/ended": truncated, "registry/foreign": notDiscovery, "registry/overtaken": superseded,
	} {
		testkit.Equal(t, "kind", name, kind.Name)
	}
}
