package controlplane

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
)

// service returns a service whose pool has the name of the service.
func service(name, owner string) catalog.Service {
	return catalog.Service{Name: name, Owner: owner, Contract: name + " of " + owner, Pool: routing.Pool{Name: name}}
}

func (c *cluster) publish(i int, mesh string, seq uint64, services ...catalog.Service) (published PublishResponse) {
	c.t.Helper()
	publication := catalog.Publication{Mesh: mesh, Epoch: 1, Seq: seq, Services: services}
	if code, response := c.postUntilAvailable(c.replicas[i], "/v1/publish", publication, &published); code != 200 {
		c.t.Fatalf("%s publishes: %d %+v", mesh, code, response)
	}
	return published
}

// awaitActiveCatalog waits until the active catalog of a replica satisfies a condition.
func (c *cluster) awaitActiveCatalog(i int, what string, satisfied func(Catalog) bool) (current Catalog) {
	c.t.Helper()
	c.until(what, func() bool {
		current = Catalog{} // members absent from this response must not keep the values of the previous one
		c.get(c.replicas[i], "/v1/catalog", &current)
		return current.Active && satisfied(current)
	})
	return current
}

// summaryOf returns a name's owner and status, and whether all its providers are lost. It is empty for an unlisted name.
func (c Catalog) summaryOf(name string) string {
	for _, entry := range c.Names {
		if entry.Name == name {
			return fmt.Sprint(entry.Owner, " ", entry.Status, " ", entry.AllProvidersLost)
		}
	}
	return ""
}

func TestPublicationsBecomeActive(t *testing.T) {
	cluster := newCluster(t, 3, func(cluster *cluster) { cluster.meshTimeoutMS = 3_600_000 })
	leader := cluster.leader()
	next := (leader + 1) % 3
	terms := federation.Terms{Meshes: []catalog.Mesh{{Name: "dakar", Precedence: 2},
		{Name: "thies", Precedence: 1, Owners: []string{"post"}}}}
	if code, response := cluster.postUntilAvailable(cluster.replicas[next], "/v1/terms", terms, nil); code != 200 {
		t.Fatalf("the first terms: %d %+v", code, response)
	}
	if code, response := cluster.postUntilAvailable(cluster.replicas[leader], "/v1/terms", terms, nil); code != 409 ||
		response.Kind != "federation/stale-terms" {
		t.Fatalf("terms on a stale base: %d %+v", code, response)
	}
	unknown := catalog.Publication{Mesh: "nobody"}
	if code, response := cluster.postUntilAvailable(cluster.replicas[next], "/v1/publish", unknown, nil); code != 404 ||
		response.Kind != "catalog/unknown-mesh" {
		t.Fatalf("a mesh outside the federation: %d %+v", code, response)
	}
	cluster.publish(next, "thies", 1, service("mail", "post"))
	cluster.publish(next, "dakar", 1, service("mail", "courier"), service("letters", "post"))
	var status Status
	if cluster.get(cluster.replicas[leader], "/v1/status", &status); status.Active != nil {
		t.Fatalf("a version became active without a proposal: %+v", status.Active)
	}
	if n := cluster.propose(cluster.replicas[next], newProposal("a", "one"), "?wait=active"); n != 1 {
		t.Fatalf("the first version is %d", n)
	}
	current := cluster.awaitActiveCatalog(next, "both names", func(current Catalog) bool { return current.summaryOf("mail.dakar") != "" })
	if current.summaryOf("mail") != "post held false" || current.summaryOf("mail.dakar") != "courier held false" ||
		current.summaryOf("letters") != "" {
		t.Fatalf("names %+v", current.Names)
	}
	again := cluster.publish(next, "dakar", 1, service("mail", "courier"), service("letters", "post"))
	findings := fmt.Sprint(again.Findings)
	if !strings.Contains(findings, "catalog/squatter") || !strings.Contains(findings, "catalog/collision") {
		t.Errorf("findings for dakar: %s", findings)
	}
	var resolution NameResolution
	if cluster.get(cluster.replicas[next], "/v1/catalog/mail", &resolution); resolution.Entry == nil ||
		!strings.Contains(resolution.Explanation, "post") {
		t.Errorf("resolution of mail: %+v", resolution)
	}
	cluster.kill(leader)
	cluster.publish(next, "thies", 2, service("mail", "post"), service("feed", "post"))
	current = cluster.awaitActiveCatalog(next, "the name that was published after the leader was killed",
		func(current Catalog) bool { return current.summaryOf("feed") != "" })
	if current.summaryOf("mail") != "post held false" || current.summaryOf("mail.dakar") != "courier held false" {
		t.Errorf("after a change of leaders: %+v", current.Names)
	}
	// An operator's version keeps the catalog. Proposals by the operator and of the catalog do not block each other forever.
	cluster.until("an operator's version", func() bool {
		code, _ := cluster.post(cluster.replicas[next], "/v1/propose?wait=active", newProposal("", "two"), nil)
		return code == 200
	})
	cluster.awaitActiveCatalog(next, "the catalog in the operator's version", func(current Catalog) bool {
		return current.summaryOf("feed") == "post held false"
	})
	cluster.restart(leader)
	cluster.awaitActiveCatalog(leader, "the catalog at the replica that was down",
		func(current Catalog) bool { return current.summaryOf("feed") != "" })
	start := time.Now()
	cluster.publish(next, "thies", 3, service("mail", "post"), service("feed", "post"), service("chat", "post"))
	cluster.awaitActiveCatalog(next, "chat", func(current Catalog) bool { return current.summaryOf("chat") != "" })
	t.Logf("from publication to active: %v", time.Since(start))
}

func TestLostMeshIsMarkedAndReturns(t *testing.T) {
	cluster := newCluster(t, 3, func(cluster *cluster) { cluster.meshTimeoutMS = 1500 })
	leader := cluster.leader()
	terms := federation.Terms{Meshes: []catalog.Mesh{{Name: "thies"}, {Name: "caroni", Precedence: 9}}}
	cluster.postUntilAvailable(cluster.replicas[leader], "/v1/terms", terms, nil)
	cluster.publish(leader, "thies", 1, service("mail", "post"))
	cluster.propose(cluster.replicas[leader], newProposal("a", "one"), "?wait=active")
	cluster.awaitActiveCatalog(leader, "mail", func(current Catalog) bool { return current.summaryOf("mail") == "post tombstone true" })
	cluster.publish(leader, "caroni", 1, service("mail", "courier"))
	current := cluster.awaitActiveCatalog(leader, "the conflicting name", func(current Catalog) bool { return current.summaryOf("mail.caroni") != "" })
	if current.summaryOf("mail") != "post tombstone true" || len(current.Meshes) != 2 || !current.Meshes[1].Lost ||
		current.Meshes[1].LostSince == 0 {
		t.Fatalf("while thies is lost: %+v", current)
	}
	cluster.until("the return of thies", func() bool { // on a slow machine thies may count as lost again
		cluster.publish((leader+1)%3, "thies", 2, service("mail", "post"), service("feed", "post"))
		current = Catalog{}
		cluster.get(cluster.replicas[leader], "/v1/catalog", &current)
		return current.Active && current.summaryOf("mail") == "post held false" && current.summaryOf("feed") != ""
	})
	var history struct{ History []fleetconfig.HistoryEntry }
	cluster.get(cluster.replicas[leader], "/v1/history", &history)
	for _, r := range history.History {
		if strings.Contains(r.Reason, "courier's") {
			t.Errorf("mail got another owner: %s", r.Reason)
		}
	}
}
