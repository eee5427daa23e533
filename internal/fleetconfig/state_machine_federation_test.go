package fleetconfig

import (
	"bytes"
	"testing"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/testing/testkit"
)

// Publications of meshes are part of the state and its snapshots. The snapshot of a state without meshes must contain no
// federation, as in releases without meshes.
func TestSnapshotIncludesFederation(t *testing.T) {
	state := NewStateMachine()
	old, err := state.Snapshot()
	if err != nil || bytes.Contains(old, []byte("federation")) {
		t.Fatalf("the snapshot without meshes is %s, %v", old, err)
	}
	federationState := state.Federation()
	for i, c := range []federation.Change{{At: time.Second, Terms: &federation.Terms{Meshes: []catalog.Mesh{{Name: "thies"}}}},
		{At: time.Minute, Publish: &catalog.Publication{Mesh: "thies", Epoch: 1,
			Services: []catalog.Service{{Name: "mail", Owner: "post", Contract: "m"}}}}} {
		testkit.Equal(t, "change", nil, state.Apply(uint64(i+1), Command{MeshChange: &c}).Err)
	}
	if a := state.Apply(3, Command{MeshChange: &federation.Change{MarkLost: "dakar"}}); !catalog.UnknownMesh.Matches(a.Err) {
		t.Errorf("unknown mesh marked lost: %v", a.Err)
	}
	if a := state.Apply(4, Command{MeshChange: &federation.Change{Tick: true}, AddMember: &AddMember{Node: "n"}}); !BadCommand.Matches(a.Err) {
		t.Errorf("two changes in one command: %v", a.Err)
	}
	with, err := state.Snapshot()
	testkit.Equal(t, "snapshot", nil, err)
	testkit.Equal(t, "restored", nil, state.Restore(old))
	testkit.Equal(t, "no catalog after an old snapshot", true, federationState.Catalog() == nil)
	testkit.Equal(t, "restored", nil, state.Restore(with))
	if e, ok := federationState.Catalog().Resolve("mail"); !ok || e.Owner != "post" {
		t.Errorf("mail is %+v", e)
	}
	again, _ := state.Snapshot()
	testkit.Equal(t, "snapshot after restore", string(with), string(again))
}
