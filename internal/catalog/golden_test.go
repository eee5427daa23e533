package catalog

import (
	"encoding/json"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

// goldenPool returns a pool with every field set. The other golden values set every field as well.
func goldenPool(name string) routing.Pool {
	return routing.Pool{Name: name, Precedence: 3, FormerNames: []string{"post", "letters"}, MaxOpen: 400, MaxWaiting: 50,
		Select: routing.EndpointSelector{Zones: []string{"thies", "dakar"}, MachineTypes: []string{"m2"}, Cells: []int{7, 9},
			IDPrefixes: []string{"s-"}, SizeFrom: 0.5, SizeTo: 2}}
}

func goldenPublication() Publication {
	return Publication{Mesh: "thies", Epoch: 4, Seq: 19,
		Services: []Service{{Name: "mail", Owner: "team-post", Contract: "c-1", Zones: []string{"thies"}, Class: "album-feed",
			LatencyObjective: 300 * time.Millisecond, SpareCapacity: 0.25, Pool: goldenPool("mail"), Origin: "dakar", Via: []string{"dakar", "lagos"},
			DrainBy: time.Hour}},
		Aliases: []Alias{{Name: "letters", To: "mail"}}}
}

func goldenMesh() Mesh {
	return Mesh{Name: "thies", Precedence: 2, MaxServices: 1500, Export: []string{"mail", "feed-*"},
		Import: []Import{{From: "dakar", Names: []string{"chat"}}}, Owners: []string{"team-post"}}
}

func goldenState() State {
	return State{Number: 12, At: 90 * time.Second,
		Entries: []Entry{{Name: "mail", Owner: "team-post", Contract: "c-1", SinceState: 11, Status: StatusDraining, UntilUS: 690_000_000,
			Providers: []Provider{{Mesh: "thies", Zones: []string{"thies"}, Class: "album-feed", LatencyObjective: 300 * time.Millisecond, SpareCapacity: 0.25,
				Pool: goldenPool("mail.thies"), Origin: "dakar", Via: []string{"dakar"}, Lost: true, DrainBy: time.Hour}},
			AliasOf: "post", PublishedBy: []string{"dakar", "thies"}, Ended: true, Cause: CauseOverride,
			Conflicts: []Conflict{{Mesh: "lagos", Owner: "team-other", QualifiedName: "mail.lagos"}}}},
		Meshes: []AcceptedPublication{{Mesh: "thies", Epoch: 4, Seq: 19, Digest: "00112233445566778899aabbccddeeff",
			Import: []Import{{From: "dakar", Names: []string{"chat"}}}, Lost: true, LostSinceUS: 60_000_000}}}
}

// The JSON encodings of the package must not change, since replicas of other releases and stored states use them.
func TestGoldenEncodings(t *testing.T) {
	for file, check := range map[string]func(t *testing.T, file string){
		"publication.json": testkit.PinnedEncoding(goldenPublication()),
		"mesh.json":        testkit.PinnedEncoding(goldenMesh()),
		"state.json":       testkit.PinnedEncoding(goldenState()),
		"ruling.json":      testkit.PinnedEncoding(Override{Name: "mail", Owner: "team-post", Mesh: "thies", SetBy: "oncall"}),
		"loss.json":        testkit.PinnedEncoding(Loss{Mesh: "lagos", Since: 31 * time.Second}),
		"finding.json": testkit.PinnedEncoding(Finding{Kind: "catalog/collision", Name: "mail", Mesh: "lagos", Text: "two claim <mail>",
			Resolution: "rename one"}),
		"inputs.json": testkit.PinnedEncoding(Inputs{Meshes: []Mesh{goldenMesh()}, Publications: []Publication{goldenPublication()},
			Overrides: []Override{{Name: "mail", Owner: "team-post", Mesh: "thies", SetBy: "oncall"}},
			Lost:      []Loss{{Mesh: "lagos", Since: 31 * time.Second}}}),
	} {
		t.Run(file, func(t *testing.T) { check(t, file) })
	}
}

// The digest of a publication must not change, since states store it and a later release compares it.
func TestGoldenPublicationDigest(t *testing.T) {
	var decoded Publication
	if err := json.Unmarshal(testkit.GoldenFile(t, "publication.json"), &decoded); err != nil {
		t.Fatal(err)
	}
	built := goldenPublication()
	for name, p := range map[string]*Publication{"built": &built, "decoded": &decoded} {
		testkit.Equal(t, name, "fe6af83e4a32786fe908f54ef93a427f", p.Digest())
	}
}

// The encoded statuses and causes and the kinds of findings must not change, since other programs read them.
func TestGoldenNames(t *testing.T) {
	testkit.Equal(t, "statuses", []string{"held", "draining", "tombstone", "quarantine"},
		[]string{StatusHeld, StatusDraining, StatusTombstone, StatusQuarantine})
	testkit.Equal(t, "causes", []string{"ruling", "earlier holder", "export precedence", "mesh name", "owner", "sole", "qualified"},
		[]string{CauseOverride, CauseCurrentOwner, CausePrecedence, CauseMeshName, CauseOwnerName, CauseSoleClaimant, CauseQualifiedName})
	for name, kind := range map[string]*apperror.Kind{
		"catalog/collision": Collision, "catalog/squatter": UnauthorizedClaim, "catalog/alias-loop": AliasLoop,
		"catalog/alias-chain": AliasChainTooLong, "catalog/re-export-loop": ReexportLoop, "catalog/over-limit": OverLimit,
		"catalog/old-publication": OutdatedPublication, "catalog/contradiction": Contradiction, "catalog/bad-pattern": BadPattern,
		"catalog/bad-name": BadName, "catalog/bad-service": BadService, "catalog/unknown-mesh": UnknownMesh,
		"catalog/unknown-service": UnknownService, "catalog/idle-ruling": UnusedOverride, "catalog/name-waits": NameReserved,
		"catalog/mesh-gone": MeshLost, "catalog/pool-taken": PoolNameConflict, "catalog/bad-state": BadState,
	} {
		testkit.Equal(t, "kind", name, kind.Name)
	}
}
