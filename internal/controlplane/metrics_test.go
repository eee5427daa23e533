package controlplane

import (
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"example.org/micafront/internal/fleetconfig"
)

// TestMetrics looks for each group of metrics on all replicas, because on a slow machine the leader may change and requests may
// be repeated at any time.
func TestMetrics(t *testing.T) {
	cluster := newCluster(t, 3)
	leader := cluster.leader()
	cluster.propose(cluster.replicas[leader], newProposal("a", "one"), "?wait=active")
	cluster.postUntilAvailable(cluster.replicas[(leader+1)%3], "/v1/renew", fleetconfig.Renewal{Node: "n", Incarnation: 1, Seq: 1},
		nil)
	scrape := func(replica *Replica) string {
		resp, err := http.Get("http://" + replica.Addr() + "/metrics")
		cluster.must(err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		cluster.must(err)
		return string(text)
	}
	for _, patterns := range [][]string{{"leads 1", "active_version 1", "members 1"}, {"leads 0", "active_version 1", "members 1"},
		{`renew_seconds_count{outcome="granted"} [1-9]`, "save_seconds_count [1-9]"}, {"commit_seconds_count [1-9]"},
		{"forwarded_total [1-9]"}} {
		cluster.until(strings.Join(patterns, ", "), func() bool { // the gauges are updated on each tick
			return slices.ContainsFunc(cluster.replicas, func(replica *Replica) bool {
				text := scrape(replica)
				return !slices.ContainsFunc(patterns, func(pattern string) bool {
					return !regexp.MustCompile(`(?m)^micafront_keeper_` + pattern).MatchString(text)
				})
			})
		})
	}
}
