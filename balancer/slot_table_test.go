package balancer

import (
	"slices"
	"testing"

	"example.org/micafront/balancer/hashing"
)

// The table of worked examples in the paper on plastic hashing (Natrajan 2020).
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
	checkEven := func(name string, at []int, n int) {
		t.Helper()
		keysPerSlot := make([]int, n)
		for _, slot := range at {
			keysPerSlot[slot]++
		}
		for slot, keys := range keysPerSlot {
			if share := float64(keys) * float64(n) / count; share < 0.85 || share > 1.15 {
				t.Errorf("%s: slot %d has %.2f of its share of the keys, want 0.85 to 1.15", name, slot, share)
			}
		}
	}
	movedFraction := func(a, b []int) float64 {
		n := 0
		for i := range a {
			if a[i] != b[i] {
				n++
			}
		}
		return float64(n) / count
	}
	base, grown, shrunk := place([]int{50}), place([]int{50, 60}), place([]int{50, 40})
	checkEven("base", base, 50)
	checkEven("grown", grown, 60)
	checkEven("shrunk", shrunk, 40)
	if fraction := movedFraction(base, grown); fraction > 0.18 {
		t.Errorf("growth from 50 to 60 slots moved %.3f of the keys, want about 1/6", fraction)
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

// After growth in many small steps, the old slots must keep their share of the keys.
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
	if history := appendSlotCount(counts, 352); len(history) != 1 {
		t.Errorf("a return to the base count leaves history %v, want 1 entry", history)
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
	keysOnLarge, keys := 0, 40000
	for k := range keys {
		if endpoint := b.fleetTable.lookup(hashing.Mix64(uint64(k))); endpoint.size == 3 {
			keysOnLarge++
		}
	}
	if share := float64(keysOnLarge) / float64(keys); share < 0.72 || share > 0.78 {
		t.Errorf("endpoints with 3/4 of the size own %.3f of the keys, want 0.72 to 0.78", share)
	}
}

// Two nodes that receive the same updates within an epoch, in different batches and orders, must place every key alike.
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
			t.Fatalf("key %d is at %s on one node and at %s on the other", k, x.id, y.id)
		}
		if x.id == endpointID(3) {
			t.Fatalf("key %d is on a removed endpoint", k)
		}
	}
}

// Nodes that restart during a rollout, each after a different change of the list, must agree with the nodes that saw all
// changes. Otherwise a group would be scattered over the endpoints of all their tables.
func TestRestartedNodesAgreeAtOnce(t *testing.T) {
	settings := testSettings()
	members := testEndpoints(12)
	reference := startBalancer(t, settings, members, 1)
	nodes := []*Balancer{reference}
	for step := range 6 {
		now := Instant(3+2*step) * sec
		members = append(members[1:], Endpoint{ID: endpointID(30 + step), Size: float64(1 + step%3), StartedAt: now})
		for _, b := range nodes {
			b.Handle(now, EndpointUpdate{Kind: FullList, Entries: members})
			b.Handle(now+sec+100*ms, Timer{})
		}
		restarted, _ := New(settings, uint64(step))
		restarted.Handle(now+sec+200*ms, EndpointUpdate{Kind: CachedList, Entries: members})
		nodes = append(nodes, restarted)
		for k := range 2000 {
			want := reference.fleetTable.lookup(hashing.Mix64(uint64(k))).id
			for n, b := range nodes {
				if got := b.fleetTable.lookup(hashing.Mix64(uint64(k))).id; got != want {
					t.Fatalf("step %d, key %d: at %s on node %d, want %s as on the node that saw all changes", step, k, got, n, want)
				}
			}
		}
	}
}

// A joining endpoint takes its share of the slots evenly from all others, and no other endpoint gains slots. The slots of a
// leaving endpoint are spread over all others, and no other slots move.
func TestUpdateReassignsMinimalSlots(t *testing.T) {
	var ready []*endpointState
	for i := range 12 {
		ready = append(ready, &endpointState{id: endpointID(i), hash: hashing.String(endpointID(i)), size: float64(1 + i%3)})
	}
	totalSize := func(list []*endpointState) (sum float64) {
		for _, endpoint := range list {
			sum += endpoint.size
		}
		return sum
	}
	var table slotTable
	table.update(ready)
	joining := &endpointState{id: endpointID(50), hash: hashing.String(endpointID(50)), size: 3}
	for _, c := range []struct {
		name    string
		ready   []*endpointState
		mayMove func(was, is *endpointState) bool // reports whether a slot may move
		share   float64                           // of the slots that move
	}{
		{"one joins", append(slices.Clone(ready), joining), func(_, is *endpointState) bool { return is == joining }, 3 / (totalSize(ready) + 3)},
		{"one leaves", slices.Clone(ready[1:]), func(was, _ *endpointState) bool { return was == ready[0] }, ready[0].size / totalSize(ready)},
	} {
		before := table.allOwners()
		if !table.update(c.ready) {
			t.Errorf("%s: the table did not change", c.name)
		}
		moved, gained := 0, map[*endpointState]int{}
		for i, endpoint := range table.allOwners() {
			if endpoint == before[i] {
				continue
			}
			moved++
			gained[endpoint]++
			if !c.mayMove(before[i], endpoint) {
				t.Fatalf("%s: slot %d moved from %s to %s", c.name, i, before[i].id, endpoint.id)
			}
		}
		if fraction := float64(moved) / float64(len(before)); fraction < c.share*0.75 || fraction > c.share*1.25 {
			t.Errorf("%s: %.3f of the slots moved, want %.3f", c.name, fraction, c.share)
		}
		if c.name == "one leaves" && len(gained) < 9 {
			t.Errorf("the slots of a leaving endpoint went to %d others, want at least 9", len(gained))
		}
		if c.name == "one joins" {
			table.update(ready)
			if !slices.Equal(before, table.allOwners()) {
				t.Error("the owners of slots differ from those before the endpoint joined and left")
			}
		}
	}
}

// A reset of the table history must not migrate established connections.
func TestHistoryResetMigratesNothing(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(12), 1)
	for i := range 200 {
		establish(b, 1100*ms, testRequest(i, 1100*ms))
	}
	b.Handle(3*sec, EndpointUpdate{Entries: []Endpoint{{ID: endpointID(30), Size: 1}}})
	for now := 3 * sec; now < 40*sec; now += sec {
		if migrations := actionsOf[Migrate](b.Handle(now, Timer{})); len(migrations) > 0 {
			t.Fatalf("%d migrations at %v, want 0", len(migrations), now)
		}
	}
	if !b.historyReset {
		t.Error("the history was not reset")
	}
}

// An endpoint much smaller than the others may own no slot. A restored table must expect the same number of owners as the table
// from which it was restored.
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
		t.Errorf("%d expected owners, %d in the restored table, want 7", b.fleetTable.expectedOwnerCount, restored.fleetTable.expectedOwnerCount)
	}
}
