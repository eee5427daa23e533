// Package samples provides values in which every field is set. The golden fixtures of several packages encode them, so their
// contents must never change.
package samples

import (
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/routing"
)

// FederationTerms returns the terms of a federation with one mesh, the publisher of Publication.
func FederationTerms() federation.Terms {
	return federation.Terms{Base: 2, ChangedBy: "staff",
		Meshes: []catalog.Mesh{{Name: "thies", Precedence: 3, MaxServices: 50, Export: []string{"m*"},
			Import: []catalog.Import{{From: "dakar", Names: []string{"p*"}}}, Owners: []string{"post"}}},
		Overrides: []catalog.Override{{Name: "mail", Owner: "post", Mesh: "thies", SetBy: "staff"}}}
}

// Publication returns a mesh's publication of a service and an alias.
func Publication() catalog.Publication {
	pool := routing.Pool{Name: "mail", Precedence: 2, FormerNames: []string{"letters"}, MaxOpen: 100, MaxWaiting: 10,
		Select: routing.EndpointSelector{Zones: []string{"a"}, MachineTypes: []string{"m1"}, Cells: []int{1}, IDPrefixes: []string{"i-"},
			SizeFrom: 0.5, SizeTo: 4}}
	return catalog.Publication{Mesh: "thies", Epoch: 4, Seq: 12,
		Services: []catalog.Service{{Name: "mail", Owner: "post", Contract: "c1", Zones: []string{"a"}, Class: "bulk",
			LatencyObjective: 30 * time.Millisecond, SpareCapacity: 0.25, Pool: pool, Origin: "dakar", Via: []string{"caroni"}, DrainBy: time.Minute}},
		Aliases: []catalog.Alias{{Name: "letters", To: "mail"}}}
}
