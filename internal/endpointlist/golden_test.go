package endpointlist

import (
	"encoding/json"
	"fmt"
	"testing"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/testing/testkit"
)

// goldenEntry returns an entry with every member that decodeEndpoint reads, and the unknown member rack.
func goldenEntry(id, lifecycle string) json.RawMessage {
	return fmt.Appendf(nil, `{"instanceId":%q,"hostPort":"127.0.0.1:8081","zone":"thies","machineType":"m2","cell":7,`+
		`"lifecycle":%q,"weight":1.5,"startedAtMs":1798761600123,"rack":"r7"}`, id, lifecycle)
}

func goldenChange() Change {
	return Change{Base: 2, Entries: []json.RawMessage{goldenEntry("s-1", Draining), goldenEntry("s-2", Terminated)}}
}

// TestGoldenEncodings pins the bytes of each JSON form of the package.
func TestGoldenEncodings(t *testing.T) {
	for file, check := range map[string]func(t *testing.T, file string){
		"change.json": testkit.PinnedEncoding(goldenChange()),
		"object.json": testkit.PinnedEncoding(Update{Generation: 3, Reset: true, Instances: []json.RawMessage{goldenEntry("s-1", Ready)}}),
		"snapshot.json": testkit.PinnedEncoding(snapshot{Number: 3, Entries: []json.RawMessage{goldenEntry("s-1", Draining), goldenEntry("s-3", Ready)},
			Changes: []appliedChange{{Number: 3, Entries: goldenChange().Entries}}}),
	} {
		t.Run(file, func(t *testing.T) { check(t, file) })
	}
}

// TestGoldenSnapshotRestored checks that a State restored from a snapshot encodes to the same bytes, and returns the entries
// as they were committed.
func TestGoldenSnapshotRestored(t *testing.T) {
	state := NewState()
	if err := state.Restore(testkit.GoldenFile(t, "snapshot.json")); err != nil {
		t.Fatal(err)
	}
	reencoded, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "snapshot of the restored state", string(testkit.GoldenFile(t, "snapshot.json")), string(reencoded))
	for file, updates := range map[string]any{"whole.json": state.FullUpdate(), "since.json": state.UpdatesSince(2)} {
		text, err := json.Marshal(updates)
		if err != nil {
			t.Fatal(err)
		}
		testkit.Equal(t, file, string(testkit.GoldenFile(t, file)), string(text))
	}
}

// TestGoldenSnapshotOfAppliedChanges pins the snapshot of a State after two changes. An entry that the second full list no
// longer contains is committed as terminated.
func TestGoldenSnapshotOfAppliedChanges(t *testing.T) {
	state := NewState()
	for _, received := range [][]json.RawMessage{
		{goldenEntry("s-2", Ready), goldenEntry("s-1", Ready)},
		{goldenEntry("s-1", Draining), goldenEntry("s-3", Ready)},
	} {
		change, ok, err := state.NextChange(received, true)
		if err != nil || !ok {
			t.Fatal(ok, err)
		}
		if err := state.Apply(change); err != nil {
			t.Fatal(err)
		}
	}
	text, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "snapshot", string(testkit.GoldenFile(t, "applied.json")), string(text))
}

// TestGoldenEntryMembers pins the member names of an entry: decodeEndpoint rejects a member with a value of the wrong type.
func TestGoldenEntryMembers(t *testing.T) {
	entry, err := decodeEndpoint(goldenEntry("s-1", Ready))
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "entry", endpoint{ID: "s-1", Lifecycle: "in_service", Text: goldenEntry("s-1", "in_service")}, entry)
	for _, member := range []string{"instanceId", "hostPort", "zone", "machineType", "cell", "lifecycle", "weight", "startedAtMs"} {
		var members map[string]any
		if err := json.Unmarshal(goldenEntry("s-1", Ready), &members); err != nil {
			t.Fatal(err)
		}
		members[member] = []string{"of the wrong type"}
		text, err := json.Marshal(members)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeEndpoint(text); err == nil {
			t.Errorf("decodeEndpoint accepts an array as %s", member)
		}
	}
}

// TestGoldenNames pins the lifecycles in discovery's protocol, and the names of error kinds, which are sent to clients.
func TestGoldenNames(t *testing.T) {
	testkit.Equal(t, "lifecycles", []string{"in_service", "terminating", "terminated"}, []string{Ready, Draining, Terminated})
	for name, kind := range map[string]*apperror.Kind{
		"roster/bad-list": BadList, "roster/stale-change": StaleChange, "roster/bad-change": BadChange,
		"roster/broken-snapshot": BrokenSnapshot,
	} {
		testkit.Equal(t, "error kind", name, kind.Name)
	}
}
