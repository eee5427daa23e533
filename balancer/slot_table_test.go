package balancer

import (
	"slices"
	"testing"

	"example.org/micafront/balancer/hashing"
)

// The paper's table of worked examples.
func TestPlasticSlotPaperTable(t *testing.T) {
	ids := []uint64{280, 78, 111, 354, 417, 361}
	for _, c := range []struct {
		counts []int
		want   []int
	}{
		{[]int{5}, []int{0, 3, 1, 4, 2, 1}},
		{[]int{5, 7}, []int{0, 3, 6, 4, 2, 1}},
		{[]int{5, 7, 4}, []int{0, 3, 3, 2, 2, 1}},
	} {
		for i, id := range ids {
			if got := plasticSlot(id, c.counts); got != c.want[i] {
				t.Errorf("plasticSlot(%d, %v) = %d, want %d", id, c.counts, got, c.want[i])
			}
		}
	}
}

func TestPlasticSlotEvenAndStable(t *testing.T) {
	const count = 60000
	place := func(counts []int) []int {
		at := make([]int, count)
		for k := range at {
			at[k] = plasticSlot(hashing.Mix64(uint64(k)), counts)
		}
		return at
	}
	even := func(name string, at []int, n int) {
		t.Helper()
		per := make([]int, n)
		for _, s := range at {
			per[s]++
		}
		for s, c := range per {
			if f := float64(c) * float64(n) / count; f < 0.85 || f > 1.15 {
				t.Errorf("%s: slot %d has %.2f of its share", name, s, f)
			}
		}
	}
	moved := func(a, b []int) float64 {
		n := 0
		for i := range a {
			if a[i] != b[i] {
				n++
			}
		}
		return float64(n) / count
	}
	base, grown, shrunk := place([]int{50}), place([]int{50, 60}), place([]int{50, 40})
	even("base", base, 50)
	even("grown", grown, 60)
	even("shrunk", shrunk, 40)
	if m := moved(base, grown); m > 0.18 {
		t.Errorf("growth 50 to 60 moved %.3f of the keys, want about 1/6", m)
	}
	for k := range base {
		if grown[k] != base[k] && grown[k] < 50 {
			t.Fatalf("growth moved key %d to an old slot", k)
		}
		if shrunk[k] != base[k] && base[k] < 40 {
			t.Fatalf("shrinkage moved key %d off a surviving slot", k)
		}
	}
}

// Growth in many small steps must leave the old slots their share.
func TestManyStepGrowthStaysEven(t *testing.T) {
	counts := []int{352}
	for n := 400; n <= 864; n += 58 {
		counts = appendSlotCount(counts, n)
	}
	final := counts[len(counts)-1]
	stayed := 0
	const count = 40000
	for k := range count {
		if plasticSlot(hashing.Mix64(uint64(k)), counts) < 352 {
			stayed++
		}
	}
	want := 352.0 / float64(final)
	if got := float64(stayed) / count; got < want*0.95 || got > want*1.05 {
		t.Errorf("old slots keep %.3f of the keys after growth to %d, want %.3f", got, final, want)
	}
	if c := appendSlotCount(counts, 352); len(c) != 1 {
		t.Errorf("a return to the base count leaves history %v", c)
	}
}

func TestSharesFollowSize(t *testing.T) {
	entries := testEndpoints(8)
	for i := range entries {
		if i%2 == 1 {
			entries[i].Size = 3
		}
	}
	b := startBalancer(t, testSettings(), entries, 1)
	big, all := 0, 40000
	for k := range all {
		if endpoint := b.fleetTable.lookup(hashing.Mix64(uint64(k))); endpoint.size == 3 {
			big++
		}
	}
	if f := float64(big) / float64(all); f < 0.72 || f > 0.78 {
		t.Errorf("endpoints with 3/4 of the size own %.3f of the keys", f)
	}
}

// Two nodes that get the same updates in different batches and orders within an epoch place every key alike.
func TestNodesAgreeWithinEpoch(t *testing.T) {
	settings := testSettings()
	a, b := startBalancer(t, settings, testEndpoints(12), 1), startBalancer(t, settings, testEndpoints(12), 2)
	join := func(i int) Endpoint { return Endpoint{ID: endpointID(i), Size: 1, Zone: "z1"} }
	removed := func(i int) Endpoint { return Endpoint{ID: endpointID(i), Phase: Removed, Size: 1} }
	a.Handle(2100*ms, EndpointUpdate{Entries: []Endpoint{join(20), removed(3)}})
	a.Handle(2900*ms, EndpointUpdate{Entries: []Endpoint{join(21)}})
	b.Handle(2500*ms, EndpointUpdate{Entries: []Endpoint{join(21)}})
	b.Handle(2600*ms, EndpointUpdate{Entries: []Endpoint{removed(3)}})
	b.Handle(3900*ms, EndpointUpdate{Entries: []Endpoint{join(20)}})
	a.Handle(4100*ms, Timer{})
	b.Handle(4300*ms, Timer{})
	for k := range 5000 {
		x, y := a.fleetTable.lookup(hashing.Mix64(uint64(k))), b.fleetTable.lookup(hashing.Mix64(uint64(k)))
		if x.id != y.id {
			t.Fatalf("key %d: %s and %s", k, x.id, y.id)
		}
		if x.id == endpointID(3) {
			t.Fatalf("key %d still on an endpoint that is removed", k)
		}
	}
}

// Nodes that restart in the middle of a release, each after another change, agree with those that saw all of it: else a
// group would be scattered over the endpoints of all their tables.
func TestRestartedNodesAgreeAtOnce(t *testing.T) {
	settings := testSettings()
	members := testEndpoints(12)
	seen := startBalancer(t, settings, members, 1)
	nodes := []*Balancer{seen}
	for step := range 6 {
		now := Instant(3+2*step) * sec
		members = append(members[1:], Endpoint{ID: endpointID(30 + step), Size: float64(1 + step%3), StartedAt: now})
		for _, b := range nodes {
			b.Handle(now, EndpointUpdate{Kind: FullList, Entries: members})
			b.Handle(now+sec+100*ms, Timer{})
		}
		fresh, _ := New(settings, uint64(step))
		fresh.Handle(now+sec+200*ms, EndpointUpdate{Kind: CachedList, Entries: members})
		nodes = append(nodes, fresh)
		for k := range 2000 {
			want := seen.fleetTable.lookup(hashing.Mix64(uint64(k))).id
			for n, b := range nodes {
				if got := b.fleetTable.lookup(hashing.Mix64(uint64(k))).id; got != want {
					t.Fatalf("step %d, key %d: %s at node %d, %s at the one that saw all", step, k, got, n, want)
				}
			}
		}
	}
}

// A joining endpoint takes its share from all others and nobody else gains; a leaving one's goes to all others and nobody
// else's moves.
func TestUpdateReassignsMinimalSlots(t *testing.T) {
	var ready []*endpointState
	for i := range 12 {
		ready = append(ready, &endpointState{id: endpointID(i), hash: hashing.String(endpointID(i)), size: float64(1 + i%3)})
	}
	size := func(list []*endpointState) (sum float64) {
		for _, endpoint := range list {
			sum += endpoint.size
		}
		return sum
	}
	var table slotTable
	table.update(ready)
	joining := &endpointState{id: endpointID(50), hash: hashing.String(endpointID(50)), size: 3}
	for _, c := range []struct {
		name  string
		ready []*endpointState
		moved func(was, is *endpointState) bool // tells whether it should move
		share float64                           // of the slots that move
	}{
		{"one joins", append(slices.Clone(ready), joining), func(_, is *endpointState) bool { return is == joining }, 3 / (size(ready) + 3)},
		{"one leaves", slices.Clone(ready[1:]), func(was, _ *endpointState) bool { return was == ready[0] }, ready[0].size / size(ready)},
	} {
		before := table.allOwners()
		if !table.update(c.ready) {
			t.Errorf("%s: no change", c.name)
		}
		moved, gained := 0, map[*endpointState]int{}
		for i, endpoint := range table.allOwners() {
			if endpoint == before[i] {
				continue
			}
			moved++
			gained[endpoint]++
			if !c.moved(before[i], endpoint) {
				t.Fatalf("%s: slot %d went from %s to %s", c.name, i, before[i].id, endpoint.id)
			}
		}
		if f := float64(moved) / float64(len(before)); f < c.share*0.75 || f > c.share*1.25 {
			t.Errorf("%s: %.3f of the slots moved, want %.3f", c.name, f, c.share)
		}
		if c.name == "one leaves" && len(gained) < 9 {
			t.Errorf("the slots of a leaving endpoint went to %d others", len(gained))
		}
		if c.name == "one joins" {
			table.update(ready)
			if !slices.Equal(before, table.allOwners()) {
				t.Error("the table is not as before when the joining endpoint has left again")
			}
		}
	}
}

// A reset of the history must not migrate established connections.
func TestHistoryResetMigratesNothing(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(12), 1)
	for i := range 200 {
		establish(b, 1100*ms, testRequest(i, 1100*ms))
	}
	b.Handle(3*sec, EndpointUpdate{Entries: []Endpoint{{ID: endpointID(30), Size: 1}}})
	for now := 3 * sec; now < 40*sec; now += sec {
		if m := actionsOf[Migrate](b.Handle(now, Timer{})); len(m) > 0 {
			t.Fatalf("%d migrations at %v", len(m), now)
		}
	}
	if !b.historyReset {
		t.Error("the history was not reset")
	}
}

// An endpoint far smaller than the others may own no slot. A restored table counts owners as the one that it was made
// from.
func TestRestoredTableCountsOwnersAlike(t *testing.T) {
	members := testEndpoints(8)
	for i := range members[1:] {
		members[i+1].Size = 1e6
	}
	b := startBalancer(t, testSettings(), members, 1)
	restored, err := Restore(b.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if b.fleetTable.expectedOwnerCount != 7 || restored.fleetTable.expectedOwnerCount != b.fleetTable.expectedOwnerCount {
		t.Errorf("%d endpoints own slots, %d once restored, want 7", b.fleetTable.expectedOwnerCount, restored.fleetTable.expectedOwnerCount)
	}
}
