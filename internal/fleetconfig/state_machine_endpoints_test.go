package fleetconfig

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/testing/testkit"
)

func TestLeasesCarryTheEndpointListNumber(t *testing.T) {
	state := stateMachineAtVersion2(t, AddMember{"a", 1})
	before := snapshotOf(t, state)
	if strings.Contains(string(before), `"list"`) {
		t.Error("the snapshot of a state without an endpoint list contains one, which an earlier release could not read")
	}
	add := Command{EndpointChange: &endpointlist.Change{Entries: []json.RawMessage{json.RawMessage(`{"instanceId":"s-1","lifecycle":"in_service"}`)}}}
	if a := applyAll(t, state, add); a.Number != 1 {
		t.Fatalf("the first change is answered by %+v, want list number 1", a)
	}
	if a := state.Apply(state.lastIndex+1, add); !endpointlist.StaleChange.Matches(a.Err) {
		t.Errorf("repeated change: %+v", a)
	}
	two := Command{EndpointChange: add.EndpointChange, RemoveMember: &RemoveMember{Node: "a", Incarnation: 1}}
	if a := state.Apply(state.lastIndex+1, two); !BadCommand.Matches(a.Err) {
		t.Errorf("two changes in one command: %+v", a)
	}
	grantedNumber := func(state *StateMachine) uint64 {
		manager := NewLeaseManager(state)
		manager.BecomeLeader(0, 1)
		r := Renewal{Node: "a", Incarnation: 1, Seq: 1}
		manager.HandleRenewal(time.Second, r)
		lease, ok := manager.GrantLease(time.Second, r)
		if !ok {
			t.Fatal("the manager grants no lease")
		}
		return lease.ListNumber
	}
	fresh := NewStateMachine()
	testkit.Equal(t, "restore", nil, fresh.Restore(snapshotOf(t, state)))
	testkit.Equal(t, "restored endpoint list", state.EndpointList().FullUpdate(), fresh.EndpointList().FullUpdate())
	testkit.Equal(t, "list number of the lease", uint64(1), grantedNumber(fresh))
	testkit.Equal(t, "restore of an earlier release's snapshot", nil, fresh.Restore(before))
	testkit.Equal(t, "list number without a list", uint64(0), grantedNumber(fresh))
	broken := strings.Replace(string(snapshotOf(t, state)), `in_service`, `odd`, 1)
	_, text, _ := strings.Cut(broken, "\n")
	if err := fresh.Restore([]byte(snapshotHeader + checksum([]byte(text)) + "\n" + text)); !BrokenSnapshot.Matches(err) {
		t.Errorf("invalid endpoint list: %v", err)
	}
}
