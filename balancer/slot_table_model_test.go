package balancer

import (
	"math"
	"testing"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

// referenceOwner computes a slot's owner as releases up to fa0e795 did. Later releases must place keys alike at any list size.
func referenceOwner(slot int, ready []*endpointState) *endpointState {
	var owner *endpointState
	slotHash, least := hashing.Mix64(uint64(slot)+1), math.Inf(1)
	for _, endpoint := range ready {
		if draw := -math.Log1p(-hashing.Uniform(slotHash, endpoint.hash)) / endpoint.size; draw < least {
			owner, least = endpoint, draw
		}
	}
	return owner
}

// TestOwnersDependOnListAlone applies random list changes to a Balancer, looks up different slots after each of them, and compares
// the owners with those computed from the current list.
func TestOwnersDependOnListAlone(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		b, err := New(testSettings(), 1)
		if err != nil {
			rt.Fatal(err)
		}
		count := rapid.IntRange(1, 300).Draw(rt, "endpoints")
		b.Handle(sec, EndpointUpdate{Kind: CachedList, Entries: testEndpoints(count)})
		for step := range rapid.IntRange(1, 6).Draw(rt, "changes") {
			var changes []Endpoint
			for range rapid.IntRange(1, 20).Draw(rt, "entries") {
				changes = append(changes, Endpoint{
					ID:    endpointID(rapid.IntRange(0, 2*count).Draw(rt, "id")),
					Phase: rapid.SampledFrom([]Phase{Ready, Draining, Removed}).Draw(rt, "phase"),
					Size:  float64(rapid.IntRange(1, 4).Draw(rt, "size")),
				})
			}
			now := sec + Instant(step+1)*5*sec
			b.Handle(now, EndpointUpdate{Kind: DeltaList, Entries: changes})
			b.Handle(now+3*sec, Timer{})
			var ready []*endpointState
			for _, endpoint := range b.endpoints {
				if endpoint.phase == Ready {
					ready = append(ready, endpoint)
				}
			}
			for slot := range b.fleetTable.slotCount() {
				if slot%17 == step && b.fleetTable.owner(slot) != referenceOwner(slot, ready) {
					rt.Fatalf("slot %d has a different owner than the list determines", slot)
				}
			}
		}
	})
}

// TestLargeTableHandover hands over a table that is too large to be encoded with the owners of its slots. The successor must place
// each key alike. An older release must refuse the state and not decode an empty table.
func TestLargeTableHandover(t *testing.T) {
	before := startBalancer(t, testSettings(), testEndpoints(700), 1)
	before.Handle(4*sec, EndpointUpdate{Entries: []Endpoint{{ID: endpointID(3), Phase: Removed}, {ID: endpointID(900), Size: 2}}})
	before.Handle(7*sec, Timer{})
	state := before.State()
	if state.AdmissionRate != 0 || state.CompactAdmissionRate != 1 || len(state.Table.Owners) != 0 {
		t.Errorf("admission rates %v and %v, %d owners: an older release would decode an empty table", state.AdmissionRate,
			state.CompactAdmissionRate, len(state.Table.Owners))
	}
	successor, err := New(testSettings(), 2)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := successor.Resume(8*sec, state); err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(before.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for name, after := range map[string]*Balancer{"successor": successor, "restored": restored} {
		for k := range 2000 {
			hash := hashing.Mix64(uint64(k))
			want, got := before.fleetTable.lookup(hash).id, after.fleetTable.lookup(hash).id
			wantBefore, gotBefore := before.fleetTable.previous.lookup(hash).id, after.fleetTable.previous.lookup(hash).id
			if want != got || wantBefore != gotBefore {
				t.Fatalf("%s: key %d is at %s, and at %s in the previous table; want %s and %s", name, k, got, gotBefore, want, wantBefore)
			}
		}
	}
}

// TestListInPartsPlacesKeysAlike applies a list of 800 endpoints to one node at once and to another in parts. Both must place each
// key alike.
func TestListInPartsPlacesKeysAlike(t *testing.T) {
	whole := startBalancer(t, testSettings(), testEndpoints(800), 1)
	parts := startBalancer(t, testSettings(), testEndpoints(100), 2)
	for part := 1; part < 8; part++ {
		parts.Handle(Instant(part+3)*sec, EndpointUpdate{Entries: testEndpoints(800)[part*100 : part*100+100]})
	}
	parts.Handle(60*sec, Timer{})
	parts.Handle(120*sec, Timer{}) // the history is reset by now
	for k := range 2000 {
		if want, got := whole.fleetTable.lookup(hashing.Mix64(uint64(k))).id, parts.fleetTable.lookup(hashing.Mix64(uint64(k))).id; want != got {
			t.Fatalf("key %d is at %s, but at %s on the node that received the list in parts", k, want, got)
		}
	}
}
