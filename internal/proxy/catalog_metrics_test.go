package proxy

import (
	"fmt"
	"strings"
	"testing"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/configbundle"
)

// TestCatalogMetricsAreLines checks that a catalog with control characters and long texts still yields one name=value line
// of bounded length per metric.
func TestCatalogMetricsAreLines(t *testing.T) {
	bundle := configbundle.Bundle{Catalog: &catalog.State{
		Number:  3,
		Entries: []catalog.Entry{{Name: "a", Conflicts: []catalog.Conflict{{}}}, {Name: "b"}},
	}}
	for i := range 100 {
		bundle.Services = append(bundle.Services, configbundle.Service{
			Name:        fmt.Sprintf("a=%02d\nx", i),
			Pools:       []string{"p\r.q", "r"},
			Explanation: strings.Repeat("é\n", 4000),
		})
	}
	lines := strings.Split(strings.TrimSuffix(string(catalogMetrics(&bundle)), "\n"), "\n")
	if len(lines) != 3+2*maxCatalogServices {
		t.Fatalf("got %d lines, want %d", len(lines), 3+2*maxCatalogServices)
	}
	for i, want := range []string{"svc.catalog.number=3", "svc.catalog.names=2", "svc.catalog.collisions=1", "svc.catalog.a%3D00 x.pools=p .q,r"} {
		if lines[i] != want {
			t.Errorf("line %d is %q, want %q", i, lines[i], want)
		}
	}
	for _, line := range lines {
		if name, value, ok := strings.Cut(line, "="); !ok || len(name) > 64 || len(value) > maxMetricValueBytes || strings.ContainsAny(value, "\r\n") {
			t.Errorf("%.80q is not a valid metric line", line)
		}
	}
	if got := catalogMetrics(&configbundle.Bundle{}); got != nil {
		t.Errorf("metrics without a catalog: %q", got)
	}
}
