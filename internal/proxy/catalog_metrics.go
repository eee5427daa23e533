package proxy

import (
	"fmt"
	"strings"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/configbundle"
)

// A proxy keeps only the telemetry text of a version's catalog, because the catalog itself is large.
const (
	maxCatalogServices  = 64  // services listed in the metrics, of those that the routes name
	maxMetricValueBytes = 512 // per service name or metric value
)

// catalogMetrics returns the telemetry text of a version's catalog, one name=value line per metric. It returns nil for a
// version without a catalog.
func catalogMetrics(bundle *configbundle.Bundle) (out []byte) {
	if bundle.Catalog == nil {
		return nil
	}
	conflicts := 0
	for i := range bundle.Catalog.Entries {
		if len(bundle.Catalog.Entries[i].Conflicts) > 0 {
			conflicts++
		}
	}
	out = fmt.Appendf(out, "svc.catalog.number=%d\nsvc.catalog.names=%d\nsvc.catalog.collisions=%d\n", bundle.Catalog.Number,
		len(bundle.Catalog.Entries), conflicts)
	for _, service := range bundle.Services[:min(len(bundle.Services), maxCatalogServices)] {
		name := strings.ReplaceAll(metricText(service.Name), "=", "%3D")
		pools := metricText(strings.Join(service.Pools, ","))
		out = fmt.Appendf(out, "svc.catalog.%[1]s.pools=%[2]s\nsvc.catalog.%[1]s.why=%[3]s\n", name, pools, metricText(service.Explanation))
	}
	return out
}

// metricText makes text safe for a metric line: it truncates it to maxMetricValueBytes, drops invalid UTF-8 and replaces
// control characters by spaces.
func metricText(text string) string {
	return apperror.OneLine(strings.ToValidUTF8(text[:min(len(text), maxMetricValueBytes)], ""))
}
