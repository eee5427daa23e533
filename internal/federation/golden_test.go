package federation

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
)

// goldenPool returns a pool with every field set, as do the functions below for other types.
func goldenPool(name string) routing.Pool {
	return routing.Pool{Name: name, Precedence: 3, FormerNames: []string{"post"}, MaxOpen: 400, MaxWaiting: 50,
		Select: routing.EndpointSelector{Zones: []string{"thies"}, MachineTypes: []string{"m2"}, Cells: []int{7},
			IDPrefixes: []string{"s-"}, SizeFrom: 0.5, SizeTo: 2}}
}

func goldenPublication() catalog.Publication {
	return catalog.Publication{Mesh: "thies", Epoch: 4, Seq: 19,
		Services: []catalog.Service{{Name: "mail", Owner: "team-post", Contract: "c-1", Zones: []string{"thies"},
			Class: "album-feed", LatencyObjective: 300 * time.Millisecond, SpareCapacity: 0.25, Pool: goldenPool("mail"), Origin: "dakar",
			Via: []string{"dakar"}, DrainBy: time.Hour}},
		Aliases: []catalog.Alias{{Name: "letters", To: "mail"}}}
}

func goldenTerms() Terms {
	return Terms{Base: 6, ChangedBy: "oncall",
		Meshes: []catalog.Mesh{
			{Name: "dakar", Precedence: 1, MaxServices: 20, Export: []string{"*"}, Owners: []string{"team-chat"},
				Import: []catalog.Import{{From: "thies", Names: []string{"mail"}}}},
			{Name: "thies", Precedence: 2, MaxServices: 1500, Export: []string{"mail"}, Owners: []string{"team-post"},
				Import: []catalog.Import{{From: "dakar", Names: []string{"chat"}}}}},
		Overrides: []catalog.Override{{Name: "mail", Owner: "team-post", Mesh: "thies", SetBy: "oncall"}}}
}

func goldenCatalog() *catalog.State {
	return &catalog.State{Number: 12, At: 90 * time.Second,
		Entries: []catalog.Entry{{Name: "mail", Owner: "team-post", Contract: "c-1", SinceState: 11, Status: catalog.StatusDraining,
			UntilUS: 690_000_000, AliasOf: "post", PublishedBy: []string{"thies"}, Ended: true, Cause: catalog.CauseOverride,
			Providers: []catalog.Provider{{Mesh: "thies", Zones: []string{"thies"}, Class: "album-feed", LatencyObjective: 300 * time.Millisecond,
				SpareCapacity: 0.25, Pool: goldenPool("mail.thies"), Origin: "dakar", Via: []string{"dakar"}, Lost: true, DrainBy: time.Hour}},
			Conflicts: []catalog.Conflict{{Mesh: "lagos", Owner: "team-other", QualifiedName: "mail.lagos"}}}},
		Meshes: []catalog.AcceptedPublication{{Mesh: "thies", Epoch: 4, Seq: 18, Digest: "00112233445566778899aabbccddeeff",
			Import: []catalog.Import{{From: "dakar", Names: []string{"chat"}}}, Lost: true, LostSinceUS: 60_000_000}}}
}

func goldenSnapshot(t *testing.T) snapshot {
	t.Helper()
	before, err := json.Marshal(goldenCatalog())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot{AgreedTime: 100 * time.Second, Terms: goldenTerms(), Publications: []catalog.Publication{goldenPublication()},
		Lost: []catalog.Loss{{Mesh: "dakar", Since: 95 * time.Second}}, BeforeBatch: before}
}

// TestGoldenChanges pins the encoding of changes, which are stored in the replicated log: each variant, and a change with
// every field set, which a State would reject.
func TestGoldenChanges(t *testing.T) {
	publication, terms := goldenPublication(), goldenTerms()
	all := Change{At: 100 * time.Second, Publish: &publication, Terms: &terms, MarkLost: "dakar", MarkReturned: "lagos", Tick: true}
	testkit.CheckAllSet(t, "change", reflect.ValueOf(all))
	for file, change := range map[string]Change{
		"change-all.json":     all,
		"change-publish.json": {At: 100 * time.Second, Publish: &publication},
		"change-terms.json":   {At: 100 * time.Second, Terms: &terms},
		"change-lose.json":    {At: 100 * time.Second, MarkLost: "dakar"},
		"change-return.json":  {At: 100 * time.Second, MarkReturned: "dakar"},
		"change-tick.json":    {At: 100 * time.Second, Tick: true},
	} {
		t.Run(file, func(t *testing.T) { testkit.CheckEncoding(t, file, change) })
	}
}

// TestGoldenSnapshot pins the encoding of a snapshot, both of the struct and of a State that was restored from it.
func TestGoldenSnapshot(t *testing.T) {
	built := goldenSnapshot(t)
	testkit.CheckAllSet(t, "snapshot", reflect.ValueOf(built))
	testkit.CheckAllSet(t, "before", reflect.ValueOf(goldenCatalog()))
	testkit.CheckEncoding(t, "snapshot.json", built)
	state := NewState()
	if err := state.Restore(testkit.GoldenFile(t, "snapshot.json")); err != nil {
		t.Fatal(err)
	}
	again, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "restored", string(testkit.GoldenFile(t, "snapshot.json")), string(again))
	text, digest := state.EncodedCatalog()
	testkit.Equal(t, "text of the restored state", string(testkit.GoldenFile(t, "restored-catalog.json")), string(text))
	testkit.Equal(t, "its digest", "117869c60dde437039d08085dd6871e57b3ef00e3a62986013a4ccd378854988", digest)
}

// TestGoldenCatalogText pins the encoded catalog, which is part of a version, and its digest.
func TestGoldenCatalogText(t *testing.T) {
	var decoded catalog.State
	if err := json.Unmarshal(testkit.GoldenFile(t, "catalog.json"), &decoded); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*catalog.State{"built": goldenCatalog(), "decoded": &decoded} {
		text, digest := encodeCatalog(state)
		testkit.Equal(t, name, string(testkit.GoldenFile(t, "catalog.json")), string(text))
		testkit.Equal(t, name+": digest", "d4c7130da583159ba6a34cbcb7c8eb3dbe3266b9921caab1696e39a6ba4c6d12", digest)
	}
}

// TestGoldenKinds pins the names of error kinds, which are sent to clients.
func TestGoldenKinds(t *testing.T) {
	for name, kind := range map[string]*apperror.Kind{
		"federation/stale-terms": StaleTerms, "federation/too-large": TooLarge, "federation/bad-change": BadChange,
		"federation/broken-snapshot": BrokenSnapshot,
	} {
		testkit.Equal(t, "kind", name, kind.Name)
	}
}
