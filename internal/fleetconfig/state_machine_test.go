package fleetconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/testing/testkit"
)

func settingsBody(settings string) *Body { return &Body{Settings: json.RawMessage(settings)} }

func proposeSettings(settings string) Command {
	return proposeCommand(Propose{Body: settingsBody(settings)})
}

// applyAll applies commands in order and returns the last answer.
func applyAll(t testing.TB, state *StateMachine, commands ...Command) Answer {
	t.Helper()
	var a Answer
	for _, c := range commands {
		a = state.Apply(state.lastIndex+1, c)
	}
	return a
}

func proposeCommand(p Propose) Command { return Command{Propose: &p} }

// stateMachineAtVersion2 returns a state with version 2 active, version 1 before it, and the given members.
func stateMachineAtVersion2(t testing.TB, members ...AddMember) *StateMachine {
	t.Helper()
	state := NewStateMachine()
	applyAll(t, state, proposeSettings(`{"a":1}`), proposeSettings(`{"a":2}`), Command{Activate: &Activate{Number: 2}})
	for _, m := range members {
		applyAll(t, state, Command{AddMember: &m})
	}
	if v, ok := state.Active(); !ok || v.Number != 2 {
		t.Fatalf("version %d is active", v.Number)
	}
	return state
}

func TestStateMachineRejectsInvalidCommands(t *testing.T) {
	proposal := proposeSettings(`{}`)
	broken := &Body{Settings: json.RawMessage(`{}`), Routing: json.RawMessage(`{`)}
	big := json.RawMessage(`"` + strings.Repeat("x", MaxBodyBytes) + `"`)
	activate2 := Command{Activate: &Activate{Number: 2}}
	joined := []Command{{AddMember: &AddMember{"n", 5}}}
	tooLarge := &Body{Settings: json.RawMessage(`{}`), Catalog: big}
	terms := func(f Terms) Command {
		return proposeCommand(Propose{Body: &Body{Settings: json.RawMessage(`{}`), Fleet: f}})
	}
	for name, c := range map[string]struct {
		first   []Command
		command Command
		kind    *apperror.Kind
		message string
	}{
		"base is not the active version": {nil, proposeCommand(Propose{Base: 1, Body: settingsBody(`{}`)}), StaleBase, "made on version 1, and 2"},
		"another version is proposed":    {[]Command{proposal}, proposal, AlreadyProposed, "version 3 waits"},
		"rollback to an unknown version": {nil, proposeCommand(Propose{RollbackOf: 9}), UnknownVersion, "has been no such"},
		"rollback to a withdrawn version": {[]Command{proposal, {Withdraw: &Withdraw{Number: 3}}},
			proposeCommand(Propose{RollbackOf: 3}), UnknownVersion, "not kept"},
		"rollback with a body":                    {nil, proposeCommand(Propose{RollbackOf: 1, Body: settingsBody(`{}`)}), BadBody, "of its own"},
		"no body":                                 {nil, proposeCommand(Propose{}), BadBody, "no body"},
		"settings are an array":                   {nil, proposeSettings(`[]`), BadBody, "settings: it is no JSON object"},
		"settings are null":                       {nil, proposeSettings(`null`), BadBody, "no JSON object"},
		"invalid routing":                         {nil, proposeCommand(Propose{Body: broken}), BadBody, "routing: unexpected end"},
		"body too large":                          {nil, proposeCommand(Propose{Body: tooLarge}), TooLarge, "proposal: the body"},
		"reason too long":                         {nil, proposeCommand(Propose{Reason: string(big[:maxTextBytes+1])}), TooLarge, "proposal: why"},
		"id is not UTF-8":                         {nil, proposeCommand(Propose{ID: "\xff"}), BadCommand, "proposal: id"},
		"member timeout below agreement timeout":  {nil, terms(Terms{MemberTimeout: time.Second}), BadTerms, "fleet: know is 1s, under within"},
		"agreement timeout below minimum":         {nil, terms(Terms{AgreementTimeout: -1 * time.Second}), BadTerms, "within is -1s"},
		"member timeout above maximum":            {nil, terms(Terms{MemberTimeout: 2 * time.Hour}), BadTerms, "know is 2h"},
		"unknown lease expiry policy":             {nil, terms(Terms{OnLeaseExpiry: "sleep"}), BadTerms, `"sleep"`},
		"clock drift above maximum":               {nil, terms(Terms{ClockDriftPPM: 100_001}), BadTerms, "100001 ppm"},
		"activate a version that is not proposed": {[]Command{proposal}, activate2, NotProposed, "version 3 waits"},
		"activate without a number":               {nil, Command{Activate: &Activate{}}, NotProposed, "none waits"},
		"withdraw the active version":             {nil, Command{Withdraw: &Withdraw{Number: 2}}, NotProposed, "none waits"},
		"add an earlier incarnation":              {joined, Command{AddMember: &AddMember{"n", 4}}, OldIncarnation, "5 is known, 4 joins"},
		"empty node name":                         {nil, Command{AddMember: &AddMember{"", 4}}, BadCommand, "1 to 255 bytes"},
		"node name too long":                      {nil, Command{AddMember: &AddMember{string(big[:MaxNodeNameBytes+1]), 4}}, BadCommand, "this one 256"},
		"remove an unknown node":                  {nil, Command{RemoveMember: &RemoveMember{Node: "n"}}, NotMember, `"n"`},
		"remove a later membership":               {joined, Command{RemoveMember: &RemoveMember{"n", 5, 1}}, NotMember, "incarnation 5"},
		"empty command":                           {nil, Command{}, BadCommand, "0 members"},
		"two changes in one command":              {nil, Command{AddMember: &AddMember{"n", 1}, RemoveMember: &RemoveMember{"n", 1, 0}}, BadCommand, "2 members"},
	} {
		t.Run(name, func(t *testing.T) {
			state := stateMachineAtVersion2(t)
			applyAll(t, state, c.first...)
			before := *state
			a := applyAll(t, state, c.command)
			if !c.kind.Matches(a.Err) || !strings.Contains(a.Err.Error(), c.message) {
				t.Errorf("answer is %v, want kind %s with %q", a.Err, c.kind.Name, c.message)
			}
			before.lastIndex, before.history = state.lastIndex, state.history
			if !bytes.Equal(snapshotOf(t, &before), snapshotOf(t, state)) {
				t.Error("the rejected command changed the state")
			}
		})
	}
	state := stateMachineAtVersion2(t)
	applyAll(t, state, Command{AddMember: &AddMember{strings.Repeat("n", MaxNodeNameBytes), 4}})
	if a := state.Apply(state.lastIndex, proposal); !OldCommand.Matches(a.Err) || state.proposed != 0 {
		t.Errorf("a repeated index is answered by %v, want kind %s", a.Err, OldCommand.Name)
	}
}

func TestVersionLifecycle(t *testing.T) {
	state := stateMachineAtVersion2(t)
	terms := Terms{AgreementTimeout: time.Second, MemberTimeout: time.Minute}
	steps := []struct {
		settled          uint64
		memberTimeout    time.Duration
		maxMemberTimeout time.Duration
	}{
		{2, time.Minute, time.Minute},
		{0, 5 * time.Second, time.Minute},     // leases of the previous version may be unexpired
		{0, 4 * time.Second, time.Minute},     // leases of the version before that may still be unexpired
		{5, 3 * time.Second, 4 * time.Second}, // only leases of the active version, 5, are unexpired
	}
	for i, s := range steps {
		terms.MemberTimeout = s.memberTimeout
		n := uint64(3 + i)
		applyAll(t, state, proposeCommand(Propose{Base: n - 1, Reason: "w", Body: &Body{Settings: []byte(`{}`), Fleet: terms}}),
			Command{Activate: &Activate{Number: n, SettledVersion: s.settled, Excluded: []string{"z", "a", "z", ""}}})
		v, _ := state.Active()
		testkit.Equal(t, fmt.Sprint("maximum member timeout of version ", n), s.maxMemberTimeout, v.MaxMemberTimeout)
		testkit.Equal(t, "excluded", []string{"a", "z"}, v.Excluded)
	}
	a := applyAll(t, state, proposeCommand(Propose{RollbackOf: 1, ProposedBy: "staff"}))
	v, ok := state.Proposed()
	first, _ := state.Version(1)
	if !ok || a.Number != 7 || v.Digest != first.Digest || string(v.Body.Settings) != `{"a":1}` || v.RollbackOf != 1 {
		t.Errorf("rolled back to %+v", v)
	}
	applyAll(t, state, Command{Withdraw: &Withdraw{Number: 7, Reason: "no\xff", Rejections: map[string]Rejection{"n": {Kind: "k"}}}})
	h := state.History()
	want := HistoryEntry{state.lastIndex, 7, "withdrawn", "no\uFFFD", map[string]Rejection{"n": {Kind: "k"}}}
	testkit.Equal(t, "last history entry", want, h[len(h)-1])
	if a := applyAll(t, state, proposeSettings(`{}`)); a.Number != 8 {
		t.Errorf("the next version is %d, want 8: numbers must not be reused", a.Number)
	}
	for range 2 * maxVersions { // proposes more versions than the limit
		applyAll(t, state, Command{Activate: &Activate{Number: state.proposed}}, proposeSettings(`{}`))
	}
	if _, kept := state.Version(6); kept || len(state.versions) != maxVersions || len(state.history) > maxHistoryEntries {
		t.Errorf("%d versions and %d history entries are kept, want %d and at most %d; version 6 is kept: %v",
			len(state.versions), len(state.history), maxVersions, maxHistoryEntries, kept)
	}
}

func TestBodyDigestSurvivesTransport(t *testing.T) {
	b := Body{Settings: json.RawMessage("{ \"a\" : \"<&\u2028>\" }"), Routing: json.RawMessage(` null `), ListFloor: 7}
	checked, err := b.Validated("here")
	if err != nil {
		t.Fatal(err)
	}
	wire, err := json.Marshal(Version{Body: checked})
	if err != nil {
		t.Fatal(err)
	}
	units := `"fleet":{"within_us":2000000,"know_us":10000000,"on_silence":"hold","drift_ppm":1000}`
	if !bytes.Contains(wire, []byte(units)) {
		t.Errorf("the terms are not encoded as %s: %s", units, wire)
	}
	var back Version
	if err := json.Unmarshal(wire, &back); err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "body", checked, back.Body)
	b.Fleet = checked.Fleet
	if d := checked.Digest(); d != back.Body.Digest() || d != b.Digest() || len(d) != 64 {
		t.Error("the digest differs after transport or validation")
	}
	for what, change := range map[string]func(*Body){
		"settings":          func(b *Body) { b.Settings = json.RawMessage(`{}`) },
		"catalog":           func(b *Body) { b.Catalog = json.RawMessage(`{}`) },
		"part moved":        func(b *Body) { b.Routing, b.Settings = b.Settings, nil },
		"list floor":        func(b *Body) { b.ListFloor++ },
		"agreement timeout": func(b *Body) { b.Fleet.AgreementTimeout += time.Microsecond },
		"expiry policy":     func(b *Body) { b.Fleet.OnLeaseExpiry = ServeOnExpiry },
	} {
		other := checked
		if change(&other); other.Digest() == checked.Digest() {
			t.Errorf("%s: a different body has the same digest", what)
		}
	}
	for _, bad := range []string{`{"within_us":-1}`, `{"know_us":9223372036854775807}`, `{"within_us":1.5}`, `[]`} {
		if err := json.Unmarshal([]byte(bad), &Terms{}); !BadTerms.Matches(err) {
			t.Errorf("%s is accepted: %v", bad, err)
		}
	}
}

// anyCommand draws a random command, which the state may accept or reject.
func anyCommand(t *rapid.T, state *StateMachine) Command {
	near := func(n uint64, what string) uint64 { return n + rapid.Uint64Range(0, 2).Draw(t, what) - min(n, 1) }
	node := rapid.SampledFrom([]string{"a", "b", "c\u2028<"}).Draw(t, "node")
	switch rapid.IntRange(0, 7).Draw(t, "command") {
	case 0, 1:
		p := Propose{ID: rapid.SampledFrom([]string{"", "i", "j", "k", "l"}).Draw(t, "id"), Reason: rapid.String().Draw(t, "why"),
			Force: rapid.Bool().Draw(t, "force")}
		if rapid.Bool().Draw(t, "based") {
			p.Base = near(state.active, "base")
		}
		if rapid.IntRange(0, 3).Draw(t, "rollback") == 0 {
			p.RollbackOf = near(state.lastNumber, "of")
		} else {
			p.Body = settingsBody(rapid.SampledFrom([]string{`{}`, `{ "<": 1 }`, `{"x":"\u2028"}`, `[`, `null`}).Draw(t, "settings"))
			p.Body.Fleet.MemberTimeout = time.Duration(rapid.IntRange(0, 20).Draw(t, "know")) * time.Second
		}
		return Command{Propose: &p}
	case 2, 3:
		return Command{Activate: &Activate{near(state.proposed, "number"), []string{node}, near(state.active, "settled")}}
	case 4:
		return Command{Withdraw: &Withdraw{near(state.proposed, "number"), "w", map[string]Rejection{node: {Kind: "k"}}}}
	case 5:
		return Command{AddMember: &AddMember{node, rapid.Uint64Range(1, 4).Draw(t, "incarnation")}}
	case 6:
		entry := fmt.Sprintf(`{ "instanceId":"%s<", "lifecycle":%q }`, node,
			rapid.SampledFrom([]string{endpointlist.Ready, endpointlist.Terminated, "odd"}).Draw(t, "lifecycle"))
		return Command{EndpointChange: &endpointlist.Change{Base: near(state.EndpointList().Number(), "list"), Entries: []json.RawMessage{json.RawMessage(entry)}}}
	}
	return Command{RemoveMember: &RemoveMember{Node: node, Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation")}}
}

func snapshotOf(t interface{ Fatal(...any) }, state *StateMachine) []byte {
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func TestReplicasApplyingTheSameCommandsAreEqual(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		one, two := NewStateMachine(), NewStateMachine()
		byID := map[string]string{}
		var given, active uint64
		for i := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			c := anyCommand(t, one)
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				fresh := NewStateMachine()
				if err := fresh.Restore(snapshotOf(t, two)); err != nil {
					t.Fatal(err)
				}
				two = fresh
			}
			before := *one
			a, b := one.Apply(i+1, c), two.Apply(i+1, c)
			answer := fmt.Sprintf("%d %v %q", a.Number, a.Err, apperror.Resolutions(a.Err))
			if other := fmt.Sprintf("%d %v %q", b.Number, b.Err, apperror.Resolutions(b.Err)); answer != other {
				t.Fatalf("answers differ: %q and %q", answer, other)
			}
			if !bytes.Equal(snapshotOf(t, one), snapshotOf(t, two)) {
				t.Fatal("snapshots differ")
			}
			if one.lastNumber < given || one.active < active || one.proposed != 0 && one.proposed != one.lastNumber {
				t.Fatalf("version numbers decreased: %+v", one)
			}
			given, active = one.lastNumber, one.active
			if p := c.Propose; p != nil && p.ID != "" {
				if first, again := byID[p.ID]; again && (first != answer || one.lastNumber != before.lastNumber) {
					t.Fatalf("first answer %q, repeated %q", first, answer)
				}
				byID[p.ID] = answer
			}
		}
	})
}

func TestInvalidSnapshotsAreRejected(t *testing.T) {
	state := stateMachineAtVersion2(t, AddMember{"a", 1}, AddMember{"a", 2})
	applyAll(t, state, proposeCommand(Propose{ID: "i", Body: settingsBody(`{}`)}), proposeCommand(Propose{ID: "j", Body: settingsBody(`{}`)}))
	valid := snapshotOf(t, state)
	withChecksum := func(change func(string) string) []byte {
		_, text, _ := bytes.Cut(valid, []byte("\n"))
		text = []byte(change(string(text)))
		return append([]byte(snapshotHeader+checksum(text)+"\n"), text...)
	}
	replaced := func(old, by string) []byte {
		return withChecksum(func(s string) string {
			if !strings.Contains(s, old) {
				t.Fatalf("the snapshot does not contain %s", old)
			}
			return strings.Replace(s, old, by, 1)
		})
	}
	bad := map[string][]byte{
		"empty": nil, "unknown format": []byte("micafront-book 2 x\n{}"), "not JSON": withChecksum(func(string) string { return "{" }),
		"missing active version":                replaced(`"active":2`, `"active":9`),
		"proposed version below the active one": replaced(`"proposed":3`, `"proposed":1`),
		"version above the last number":         replaced(`"numbers":3`, `"numbers":2`),
		"body under a wrong digest":             replaced(`{"a":2}`, `{"a":3}`),
		"unsorted members":                      replaced(`"incarnation":1`, `"incarnation":7`),
		"unknown error kind":                    replaced(`"kind":"agreement/already-proposed"`, `"kind":"x"`),
		"invalid terms":                         replaced(`"drift_ppm":1000`, `"drift_ppm":-1`),
		"maximum member timeout below its own":  replaced(`"longest_ns":10`, `"longest_ns":9`),
		"version without a body":                replaced(`"bodies":{`, `"else":{`),
	}
	for i := range valid {
		bad[fmt.Sprint("truncated at ", i)] = valid[:i]
		flipped := bytes.Clone(valid)
		flipped[i] ^= 1
		bad[fmt.Sprint("bit flipped at ", i)] = flipped
	}
	for what, s := range bad {
		if err := state.Restore(s); !BrokenSnapshot.Matches(err) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if !bytes.Equal(valid, snapshotOf(t, state)) {
		t.Error("a rejected snapshot changed the state")
	}
	if err := NewStateMachine().Restore(snapshotOf(t, NewStateMachine())); err != nil {
		t.Error(err)
	}
}
