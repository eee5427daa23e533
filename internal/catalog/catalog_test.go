package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// scenario is a federation. A test changes its inputs and merges them step by step.
type scenario struct {
	t        testing.TB
	rules    Rules
	state    *State
	inputs   Inputs
	at       time.Duration // agreed time
	findings []Finding     // of the last merge
}

func newService(name, owner, contract string) Service {
	return Service{Name: name, Owner: owner, Contract: contract}
}

// setMesh adds or replaces the terms of a mesh.
func (sc *scenario) setMesh(name string, precedence int, change ...func(*Mesh)) {
	m := Mesh{Name: name, Precedence: precedence}
	for _, f := range change {
		f(&m)
	}
	sc.inputs.Meshes = append(slices.DeleteFunc(sc.inputs.Meshes, func(m Mesh) bool { return m.Name == name }), m)
}

// publish replaces the publication of a mesh. Records are services, as "name owner contract", or aliases, as "name>to".
func (sc *scenario) publish(mesh string, records ...string) {
	sc.t.Helper()
	p := Publication{Mesh: mesh, Seq: 1}
	sc.inputs.Publications = slices.DeleteFunc(sc.inputs.Publications, func(o Publication) bool {
		if o.Mesh == mesh {
			p.Seq = max(p.Seq, o.Seq+1)
		}
		return o.Mesh == mesh
	})
	for _, record := range records {
		if name, to, ok := strings.Cut(record, ">"); ok {
			p.Aliases = append(p.Aliases, Alias{Name: name, To: to})
			continue
		}
		fields := strings.Fields(record)
		p.Services = append(p.Services, newService(fields[0], fields[1], fields[2]))
	}
	sc.inputs.Publications = append(sc.inputs.Publications, p)
}

// editFirstService changes the first service of the latest publication.
func (sc *scenario) editFirstService(change func(s *Service)) {
	change(&sc.inputs.Publications[len(sc.inputs.Publications)-1].Services[0])
}

func (sc *scenario) loseMesh(mesh string) {
	sc.inputs.Lost = append(sc.inputs.Lost, Loss{Mesh: mesh, Since: sc.at})
}

func (sc *scenario) returnMesh(mesh string) {
	sc.inputs.Lost = slices.DeleteFunc(slices.Clone(sc.inputs.Lost), func(l Loss) bool { return l.Mesh == mesh })
}

// step advances the agreed time and merges.
func (sc *scenario) step(elapsed time.Duration) {
	sc.at += elapsed
	sc.state, sc.findings = sc.rules.Merge(sc.state, sc.inputs, sc.at)
}

// describe formats the entries of a state by name: services as "owner/contract mesh,mesh! status cause", where ! marks a lost
// mesh, and aliases as ">to mesh,mesh status cause".
func describe(s *State) map[string]string {
	texts := map[string]string{}
	for _, e := range s.Entries {
		var meshes []string
		for _, p := range e.Providers {
			mesh := p.Mesh
			if p.Lost {
				mesh += "!"
			}
			meshes = append(meshes, mesh)
		}
		text := e.Owner + "/" + e.Contract + " " + strings.Join(meshes, ",")
		if e.AliasOf != "" {
			text = ">" + e.AliasOf + " " + strings.Join(e.PublishedBy, ",")
		}
		texts[e.Name] = text + " " + e.Status + " " + e.Cause
	}
	return texts
}

// wantEntries compares the entries of the state with the expected ones, given as "name: text" with the text of describe.
func (sc *scenario) wantEntries(what string, entries ...string) {
	sc.t.Helper()
	want := map[string]string{}
	for _, entry := range entries {
		name, text, _ := strings.Cut(entry, ": ")
		want[name] = text
	}
	testkit.Equal(sc.t, what, want, describe(sc.state), cmpopts.EquateEmpty())
}

// wantFindings compares the findings of the last merge with want, given as "kind name-or-mesh".
func (sc *scenario) wantFindings(want ...string) {
	sc.t.Helper()
	var got []string
	for _, f := range sc.findings {
		got = append(got, strings.TrimPrefix(f.Kind, "catalog/")+" "+cmp.Or(f.Name, f.Mesh))
		if f.Resolution == "" || f.Text == "" {
			sc.t.Errorf("finding %+v has no text or resolution", f)
		}
	}
	testkit.Equal(sc.t, "findings", want, got, cmpopts.EquateEmpty())
}

func newScenario(t testing.TB, meshes ...string) *scenario {
	t.Helper()
	sc := &scenario{t: t}
	for _, m := range meshes {
		sc.setMesh(m, 0)
	}
	return sc
}

func TestServiceWithSeveralProviders(t *testing.T) {
	sc := newScenario(t, "dakar", "thies")
	sc.publish("thies", "feed X c1", "chat X c1")
	sc.publish("dakar", "feed X c1")
	sc.step(0)
	sc.wantEntries("joined", "feed: X/c1 dakar,thies held sole", "chat: X/c1 thies held sole")
	sc.wantFindings()
	if e, ok := sc.state.Resolve("feed"); !ok || e.Providers[1].Pool.Name != "feed.thies" {
		t.Errorf("feed is %+v", e)
	}
	before := sc.state
	sc.step(time.Hour)
	testkit.Equal(t, "an hour later", before, sc.state, cmpopts.IgnoreUnexported(State{}))
}

// precedenceCases are pairs of claims on a name with the expected owner. Each faulty order in TestPrecedenceAndFaultyOrders
// fails at least one of them.
var precedenceCases = []struct {
	name      string
	a         string // mesh, its precedence and the owner, separated by spaces
	b         string // formatted as a
	override  Override
	bIsFirst  bool // b is published and merged before a
	wantOwner string
	wantCause string
}{
	{"precedence before mesh name", "thies 2 X", "dakar 1 Y", Override{}, false, "X", CausePrecedence},
	{"precedence before owner", "thies 2 Y", "dakar 1 X", Override{}, false, "Y", CausePrecedence},
	{"mesh name before owner", "dakar 1 Y", "thies 1 X", Override{}, false, "Y", CauseMeshName},
	{"mesh name, the other way", "thies 1 X", "dakar 1 Y", Override{}, false, "Y", CauseMeshName},
	{"current owner before precedence", "thies 9 X", "dakar 1 Y", Override{}, true, "Y", CauseCurrentOwner},
	{"current owner that precedes anyway", "thies 1 X", "dakar 9 Y", Override{}, true, "Y", CausePrecedence},
	{"override before current owner and precedence", "thies 1 X", "dakar 9 Y", Override{Owner: "X"}, true, "X", CauseOverride},
	{"override of owner and mesh", "thies 1 X", "dakar 9 X", Override{Owner: "X", Mesh: "thies"}, true, "X", CauseOverride},
	{"override for an owner that does not publish", "thies 1 X", "dakar 9 Y", Override{Owner: "Z"}, true, "Y", CausePrecedence},
}

// failedPrecedenceCases returns the precedenceCases that fail with these rules.
func failedPrecedenceCases(t testing.TB, rules Rules) (faults []string) {
	t.Helper()
	for _, c := range precedenceCases {
		sc := newScenario(t)
		sc.rules = rules
		for i, text := range []string{c.b, c.a} {
			fields := strings.Fields(text)
			mesh, precedence, owner := fields[0], fields[1], fields[2]
			sc.setMesh(mesh, int(precedence[0]-'0'))
			sc.publish(mesh, "feed "+owner+" c"+mesh)
			if c.bIsFirst && i == 0 {
				sc.step(0)
			}
		}
		if c.override.Owner != "" {
			c.override.Name = "feed"
			sc.inputs.Overrides = []Override{c.override}
		}
		sc.step(time.Second)
		e, ok := sc.state.Resolve("feed")
		wrongMesh := ok && c.override.Mesh != "" && e.Providers[0].Mesh != c.override.Mesh
		if !ok || e.Owner != c.wantOwner || e.Cause != c.wantCause || len(e.Conflicts) != 1 || wrongMesh {
			faults = append(faults, fmt.Sprintf("%s: %+v", c.name, e))
			continue
		}
		for _, name := range []string{"feed.thies", "feed.dakar"} {
			if e, ok := sc.state.Resolve(name); !ok || "feed."+e.Providers[0].Mesh != name || e.Cause != CauseQualifiedName {
				faults = append(faults, fmt.Sprintf("%s: %s is %+v", c.name, name, e))
			}
		}
	}
	return faults
}

func TestPrecedenceAndFaultyOrders(t *testing.T) {
	if faults := failedPrecedenceCases(t, Rules{}); faults != nil {
		t.Errorf("wrong owners: %q", faults)
	}
	for name, compare := range map[string]func(a, b *claimant) int{
		"lower precedence first": func(a, b *claimant) int {
			return cmp.Or(cmp.Compare(a.precedence, b.precedence), compareClaimants(a, b))
		},
		"mesh name first": func(a, b *claimant) int { return cmp.Or(cmp.Compare(a.firstMesh, b.firstMesh), compareClaimants(a, b)) },
		"owner first":     func(a, b *claimant) int { return cmp.Or(cmp.Compare(a.owner, b.owner), compareClaimants(a, b)) },
		"owner before mesh name": func(a, b *claimant) int {
			return cmp.Or(cmp.Compare(b.precedence, a.precedence), cmp.Compare(a.owner, b.owner), compareClaimants(a, b))
		},
		"mesh name descending": func(a, b *claimant) int {
			return cmp.Or(cmp.Compare(b.precedence, a.precedence), cmp.Compare(b.firstMesh, a.firstMesh), compareClaimants(a, b))
		},
	} {
		if failedPrecedenceCases(t, Rules{compare: compare}) == nil {
			t.Errorf("no case fails with the faulty order %q", name)
		}
	}
}

func TestNamesOfLostMeshesExpire(t *testing.T) {
	sc := newScenario(t, "dakar", "thies")
	sc.publish("thies", "feed X c1", "both Z c1")
	sc.publish("dakar", "both Z c1")
	sc.step(0)
	sc.publish("dakar", "feed Y c1", "both Z c1")
	sc.loseMesh("thies")
	sc.step(time.Minute)
	sc.wantEntries("lost", "feed: X/c1 thies! tombstone earlier holder", "feed.thies: X/c1 thies! tombstone qualified",
		"feed.dakar: Y/c1 dakar held qualified", "both: Z/c1 dakar,thies! held sole")
	sc.wantFindings("collision feed", "mesh-gone thies")
	sc.step(TombstoneDuration - time.Minute)
	sc.wantEntries("quarantine", "feed: X/c1 thies! quarantine earlier holder", "feed.thies: X/c1 thies! quarantine qualified",
		"feed.dakar: Y/c1 dakar held qualified", "both: Z/c1 dakar held sole")
	if _, ok := sc.state.Resolve("feed"); ok {
		t.Error("a name in quarantine resolves")
	}
	returned := *sc
	returned.returnMesh("thies")
	returned.step(time.Minute)
	returned.wantEntries("returned in quarantine", "feed: X/c1 thies held earlier holder", "feed.thies: X/c1 thies held qualified",
		"feed.dakar: Y/c1 dakar held qualified", "both: Z/c1 dakar,thies held sole")
	sc.step(QuarantineDuration - time.Microsecond)
	if e := sc.state.lookup("feed"); e.Owner != "X" {
		t.Errorf("the quarantine ended too early: %+v", e)
	}
	sc.step(time.Microsecond)
	sc.wantEntries("free", "feed: Y/c1 dakar held sole", "feed.dakar: Y/c1 dakar held qualified", "both: Z/c1 dakar held sole")
	sc.returnMesh("thies")
	sc.step(time.Minute)
	sc.wantEntries("returned too late", "feed: Y/c1 dakar held mesh name", "feed.dakar: Y/c1 dakar held qualified",
		"feed.thies: X/c1 thies held qualified", "both: Z/c1 dakar,thies held sole")
}

func TestMeshRemovedFromTheTerms(t *testing.T) {
	sc := newScenario(t, "dakar", "thies")
	sc.publish("thies", "feed X c1", "news>feed")
	sc.step(time.Minute)
	sc.inputs.Meshes = sc.inputs.Meshes[:1]
	for _, at := range []time.Duration{time.Minute, time.Minute} { // the tombstone begins at the first merge without the mesh
		sc.step(at)
		sc.wantEntries("removed", "feed: X/c1 thies! tombstone sole", "news: >feed thies tombstone sole")
	}
	if e, ok := sc.state.Resolve("news"); !ok || e.Name != "feed" || e.UntilUS != (12*time.Minute).Microseconds() {
		t.Errorf("news is %+v", e)
	}
	sc.step(TombstoneDuration + QuarantineDuration)
	sc.wantEntries("expired")
}

func TestUpdatesAndWithdrawals(t *testing.T) {
	sc := newScenario(t, "dakar", "thies")
	sc.publish("thies", "feed X c1")
	sc.publish("dakar", "feed X c1")
	sc.step(0)
	sc.publish("dakar", "feed X c2")
	sc.step(time.Second)
	sc.wantEntries("half updated", "feed: X/c1 thies held earlier holder", "feed.thies: X/c1 thies held qualified",
		"feed.dakar: X/c2 dakar held qualified")
	since := sc.state.lookup("feed").SinceState
	sc.publish("thies", "feed X c2")
	sc.step(time.Second)
	sc.wantEntries("updated", "feed: X/c2 dakar,thies held sole", "feed.thies: X/c2 dakar,thies held qualified",
		"feed.dakar: X/c2 dakar,thies held qualified")
	if e := sc.state.lookup("feed"); e.SinceState != since {
		t.Errorf("an update of the service changed SinceState to %d, want %d", e.SinceState, since)
	}
	sc.publish("thies")
	sc.step(time.Second)
	sc.wantEntries("one provider withdrawn", "feed: X/c2 dakar held sole", "feed.thies: X/c2 thies tombstone qualified",
		"feed.dakar: X/c2 dakar held qualified")

	sc = newScenario(t, "dakar", "thies")
	sc.publish("thies", "feed X c1")
	sc.step(0)
	sc.publish("thies", "feed2 X c1", "feed>feed2")
	sc.step(time.Second)
	sc.wantEntries("renamed", "feed2: X/c1 thies held sole", "feed: >feed2 thies held sole")
	sc.publish("thies", "feed Y c1") // a different owner, so the tombstone and quarantine of the name apply
	sc.step(time.Second)
	sc.wantEntries("published by another owner", "feed2: X/c1 thies tombstone sole", "feed: >feed2 thies tombstone sole",
		"feed.thies: Y/c1 thies held qualified")

	sc = newScenario(t, "dakar", "thies")
	sc.publish("thies", "feed X c1")
	sc.step(0)
	sc.publish("thies", "feed X c1")
	sc.editFirstService(func(s *Service) { s.DrainBy = time.Hour })
	sc.publish("dakar", "feed Y c1")
	sc.step(time.Minute)
	sc.wantEntries("drains", "feed: X/c1 thies draining earlier holder", "feed.thies: X/c1 thies draining qualified",
		"feed.dakar: Y/c1 dakar held qualified")
	sc.step(time.Hour - time.Minute) // exactly at the end of the drain
	if e := sc.state.lookup("feed"); e.Status != StatusTombstone || e.UntilUS != (time.Hour+TombstoneDuration).Microseconds() || !e.Ended {
		t.Errorf("after the drain, feed is %+v", e)
	}
	sc.step(TombstoneDuration + QuarantineDuration)
	sc.wantEntries("free", "feed: Y/c1 dakar held sole", "feed.dakar: Y/c1 dakar held qualified")
}

func TestReservedQualifiedName(t *testing.T) {
	sc := newScenario(t, "dakar", "thies")
	sc.publish("thies", "feed X c1")
	sc.step(0)
	sc.publish("dakar", "feed Z c1")
	sc.step(time.Second)
	sc.publish("thies", "feed Z c1")
	sc.step(time.Second)
	sc.wantEntries("reserved", "feed: X/c1 thies tombstone earlier holder", "feed.thies: X/c1 thies tombstone qualified",
		"feed.dakar: Z/c1 dakar,thies held qualified")
	sc.wantFindings("collision feed", "name-waits feed.thies")
	testkit.Equal(t, "conflicts", []Conflict{{Mesh: "dakar", Owner: "Z", QualifiedName: "feed.dakar"}, {Mesh: "thies", Owner: "Z"}}, sc.state.lookup("feed").Conflicts)
	sc.loseMesh("thies") // a conflict of a lost mesh without a qualified name is dropped
	for range 2 {
		sc.step(time.Second)
		testkit.Equal(t, "conflicts", []Conflict{{Mesh: "dakar", Owner: "Z", QualifiedName: "feed.dakar"}}, sc.state.lookup("feed").Conflicts)
		sc.wantFindings("collision feed", "mesh-gone thies")
	}
	sc.returnMesh("thies")
	sc.step(TombstoneDuration + QuarantineDuration)
	sc.wantEntries("released", "feed: Z/c1 dakar,thies held sole", "feed.thies: Z/c1 dakar,thies held qualified",
		"feed.dakar: Z/c1 dakar,thies held qualified")
}

func TestValidation(t *testing.T) {
	owners := func(list ...string) func(*Mesh) { return func(m *Mesh) { m.Owners = list } }
	for _, test := range []struct {
		name     string
		prepare  func(sc *scenario)
		entries  []string
		findings []string
	}{
		{"another mesh's owner", func(sc *scenario) {
			sc.setMesh("thies", 0, owners("X"))
			sc.publish("dakar", "feed X c1", "chat Y c1")
		}, []string{"chat: Y/c1 dakar held sole"}, []string{"squatter feed"}},
		{"an owner that its terms do not list", func(sc *scenario) {
			sc.setMesh("thies", 0, owners("X"))
			sc.publish("thies", "feed X c1", "chat Y c1")
		}, []string{"feed: X/c1 thies held sole"}, []string{"squatter chat"}},
		{"a valid re-export", func(sc *scenario) {
			sc.setMesh("thies", 0, owners("X"))
			sc.publish("thies", "feed X c1")
			sc.publish("dakar", "feed X c1")
			sc.editFirstService(func(s *Service) { s.Origin, s.Via = "thies", []string{"thies"} })
		}, []string{"feed: X/c1 dakar,thies held sole"}, nil},
		{"a re-export that its origin does not publish", func(sc *scenario) {
			sc.setMesh("thies", 0, owners("X"))
			sc.publish("thies", "feed X c1")
			sc.publish("dakar", "feed X c2")
			sc.editFirstService(func(s *Service) { s.Origin = "thies" })
		}, []string{"feed: X/c1 thies held sole"}, []string{"squatter feed"}},
		{"a re-export to its origin", func(sc *scenario) {
			sc.publish("thies", "feed X c1", "chat X c1")
			sc.editFirstService(func(s *Service) { s.Origin, s.Via = "dakar", []string{"thies"} })
		}, []string{"chat: X/c1 thies held sole"}, []string{"re-export-loop feed"}},
		{"a re-export that passes a mesh twice", func(sc *scenario) {
			sc.publish("thies", "feed X c1")
			sc.editFirstService(func(s *Service) { s.Origin, s.Via = "dakar", []string{"a", "b", "a"} })
		}, nil, []string{"re-export-loop feed"}},
		{"a re-export that passes its origin again", func(sc *scenario) {
			sc.publish("thies", "feed X c1")
			sc.editFirstService(func(s *Service) { s.Origin, s.Via = "dakar", []string{"a", "dakar"} })
		}, nil, []string{"re-export-loop feed"}},
		{"a cycle of aliases of two meshes, and an alias that leads into it", func(sc *scenario) {
			sc.publish("thies", "a>b", "x>a", "feed X c1")
			sc.publish("dakar", "b>a")
		}, []string{"feed: X/c1 thies held sole"}, []string{"alias-loop b", "alias-loop a", "alias-loop x"}},
		{"an alias for itself", func(sc *scenario) { sc.publish("thies", "a>a") }, nil, []string{"alias-loop a"}},
		{"an alias for an unknown name, and an alias for that alias", func(sc *scenario) { sc.publish("thies", "a>b", "b>none") }, nil,
			[]string{"unknown-service a", "unknown-service b"}},
		{"an alias gets the name of a rejected one", func(sc *scenario) {
			sc.publish("dakar", "a>none")
			sc.publish("thies", "a>feed", "feed X c1")
		}, []string{"a: >feed thies held sole", "feed: X/c1 thies held sole"}, []string{"unknown-service a"}},
		{"two meshes with the same alias, and an alias that conflicts with a service", func(sc *scenario) {
			sc.publish("thies", "news>feed", "feed X c1", "chat>feed")
			sc.publish("dakar", "news>feed", "chat Y c1")
		}, []string{"feed: X/c1 thies held sole", "news: >feed dakar,thies held sole", "chat: Y/c1 dakar held mesh name",
			"chat.dakar: Y/c1 dakar held qualified", "chat.thies: >feed thies held qualified"}, []string{"collision chat"}},
		{"an alias prefers the service of its own mesh", func(sc *scenario) {
			sc.publish("dakar", "feed Y c1")
			sc.publish("thies", "feed X c1", "news>feed")
		}, []string{"feed: Y/c1 dakar held mesh name", "feed.dakar: Y/c1 dakar held qualified",
			"feed.thies: X/c1 thies held qualified", "news: >feed.thies thies held sole"}, []string{"collision feed"}},
		{"an alias for a qualified name", func(sc *scenario) { sc.publish("thies", "feed X c1", "news>feed.thies") },
			[]string{"feed: X/c1 thies held sole", "feed.thies: X/c1 thies held qualified", "news: >feed.thies thies held sole"}, nil},
		{"an alias with the name of a service", func(sc *scenario) { sc.publish("thies", "feed X c1", "feed>chat", "chat X c1") },
			[]string{"chat: X/c1 thies held sole", "feed: X/c1 thies held sole"}, []string{"contradiction feed"}},
		{"invalid names", func(sc *scenario) {
			sc.setMesh("a.b", 0)
			sc.publish("thies", "a.b X c1", strings.Repeat("n", 129)+" X c1", "bad\xff X c1", "n>a.b.c", "feed X c1", "m.x>feed")
			sc.inputs.Overrides = []Override{{Name: "feed.thies", Owner: "X"}}
		}, []string{"feed: X/c1 thies held sole"}, []string{"bad-name feed.thies", "bad-name a.b", "bad-name a.b", "bad-name bad\ufffd",
			"bad-name m.x", "bad-name n", "bad-name " + strings.Repeat("n", 128)}},
		{"invalid records", func(sc *scenario) {
			sc.publish("thies", "s0 X c", "s1 X c", "s2 X c", "s3 X c", "s4 X c", "s5 X c")
			s := sc.inputs.Publications[0].Services
			s[0].Owner, s[1].SpareCapacity, s[2].Pool.MaxOpen, s[3].Pool.Select.SizeTo = "", math.NaN(), -1, math.Inf(1)
			s[4].Zones = []string{"\xff"}
		}, []string{"s5: X/c thies held sole"},
			[]string{"bad-service s0", "bad-service s1", "bad-service s2", "bad-service s3", "bad-service s4"}},
		{"a service published twice", func(sc *scenario) { sc.publish("thies", "feed X c2", "feed X c1", "feed X c1") },
			[]string{"feed: X/c1 thies held sole"}, []string{"contradiction feed"}},
		{"exports, one with a malformed pattern", func(sc *scenario) {
			sc.setMesh("thies", 0, func(m *Mesh) { m.Export = []string{"[", "f*"} })
			sc.publish("thies", "feed X c1", "chat X c1")
		}, []string{"feed: X/c1 thies held sole"}, []string{"bad-pattern thies"}},
		{"an unknown mesh", func(sc *scenario) { sc.publish("caroni", "feed X c1") }, nil, []string{"unknown-mesh caroni"}},
		{"contradicting terms and overrides", func(sc *scenario) {
			sc.inputs.Meshes = append(sc.inputs.Meshes, Mesh{Name: "dakar", Precedence: 3})
			sc.publish("thies", "feed X c1")
			sc.inputs.Overrides = []Override{{Name: "feed", Owner: "X"}, {Name: "feed", Owner: "Y"}}
		}, []string{"feed: X/c1 thies held sole"}, []string{"contradiction feed", "contradiction dakar"}},
		{"an override for an alias", func(sc *scenario) {
			sc.publish("dakar", "chat Y c1")
			sc.publish("thies", "chat>feed", "feed X c1")
			sc.inputs.Overrides = []Override{{Name: "chat", Mesh: "thies"}}
		}, []string{"chat: >feed thies held ruling", "chat.dakar: Y/c1 dakar held qualified", "chat.thies: >feed thies held qualified",
			"feed: X/c1 thies held sole"}, []string{"collision chat"}},
		{"an override that reserves a name", func(sc *scenario) {
			sc.publish("thies", "feed X c1")
			sc.inputs.Overrides = []Override{{Name: "feed", Owner: "Y"}}
		}, []string{"feed.thies: X/c1 thies held qualified"}, []string{"collision feed", "idle-ruling feed"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sc := newScenario(t, "dakar", "thies")
			test.prepare(sc)
			sc.step(0)
			sc.wantEntries("entries", test.entries...)
			sc.wantFindings(test.findings...)
			again, _ := sc.rules.Merge(sc.state, sc.inputs, sc.at+time.Second)
			testkit.Equal(t, "merged again", sc.state, again, cmpopts.IgnoreUnexported(State{}))
		})
	}
}

func TestAliasChainsAreBounded(t *testing.T) {
	sc := newScenario(t)
	sc.setMesh("thies", 0, func(m *Mesh) { m.MaxServices = 1 << 20 })
	records := []string{"n0 X c1"}
	for i := range 50_000 {
		records = append(records, fmt.Sprintf("n%d>n%d", i+1, i))
	}
	sc.publish("thies", records...)
	sc.step(0)
	if n := len(sc.state.Entries); n != 1+maxAliasChain {
		t.Errorf("a long alias chain has %d entries, want %d", n, 1+maxAliasChain)
	}
	if e, ok := sc.state.Resolve(fmt.Sprintf("n%d", maxAliasChain)); !ok || e.Name != "n0" {
		t.Errorf("the longest chain resolves to %+v", e)
	}
	if len(sc.findings) != maxFindings+1 {
		t.Errorf("%d findings, want %d", len(sc.findings), maxFindings+1)
	}
}

func TestLimitsKeepCurrentNames(t *testing.T) {
	sc := newScenario(t)
	sc.setMesh("thies", 0, func(m *Mesh) { m.MaxServices = 2 })
	sc.publish("thies", "m X c1", "n X c1")
	sc.step(0)
	sc.publish("thies", "n X c1", "b X c1", "a X c1", "a2>a", "n2>n", "b2>n")
	sc.step(time.Second)
	sc.wantEntries("kept", "a: X/c1 thies held sole", "n: X/c1 thies held sole", "m: X/c1 thies tombstone sole",
		"a2: >a thies held sole", "b2: >n thies held sole")
	sc.wantFindings("over-limit b", "over-limit n2")
}

func TestOutdatedAndContradictingPublications(t *testing.T) {
	sc := newScenario(t, "thies")
	sc.publish("thies", "feed X c1")
	first := sc.inputs.Publications[0]
	sc.step(0)
	sc.publish("thies", "feed X c2", "chat X c1")
	sc.step(time.Second)
	accepted := describe(sc.state)
	number := sc.state.Number
	latest := sc.inputs.Publications[0]
	contradicting := latest
	contradicting.Services = first.Services
	later := latest
	later.Seq = 7
	later.Services = first.Services
	laterContradicting := latest
	laterContradicting.Seq = 7
	restarted := first
	restarted.Epoch = 1
	for _, test := range []struct {
		name         string
		publications []Publication
		findings     []string
	}{
		{"a replay", []Publication{first}, []string{"old-publication thies"}},
		{"no publication", nil, nil},
		{"the same number with other contents", []Publication{contradicting}, []string{"contradiction thies"}},
		{"two publications with one number", []Publication{later, laterContradicting}, []string{"contradiction thies"}},
		{"two publications with one number above the accepted one", []Publication{later, latest, laterContradicting}, []string{"contradiction thies"}},
	} {
		sc.inputs.Publications = test.publications
		sc.step(time.Second)
		testkit.Equal(t, test.name, accepted, describe(sc.state))
		sc.wantFindings(test.findings...)
		if sc.state.Number != number {
			t.Errorf("%s: the state has number %d, want %d", test.name, sc.state.Number, number)
		}
	}
	sc.inputs.Publications = []Publication{latest, restarted}
	sc.step(time.Second)
	sc.wantEntries("a later epoch", "feed: X/c1 thies held sole", "chat: X/c1 thies tombstone sole")
}

func TestImports(t *testing.T) {
	sc := newScenario(t, "all", "dakar", "thies")
	sc.setMesh("some", 0, func(m *Mesh) { m.Import = []Import{{From: "thies", Names: []string{"f*", "["}}} })
	sc.publish("thies", "feed X c1", "chat X c1", "news>feed")
	sc.publish("dakar", "feed X c1")
	sc.step(0)
	for _, test := range []struct {
		mesh string
		name string
		ok   bool
	}{{"some", "feed", true}, {"some", "news", true}, {"some", "chat", false}, {"all", "chat", true}, {"thies", "chat", true},
		{"dakar", "chat", true}, {"", "chat", true}, {"caroni", "chat", false}, {"all", "none", false}} {
		if _, ok := sc.state.ResolveFor(test.mesh, test.name); ok != test.ok {
			t.Errorf("mesh %q resolves %s: %v, want %v", test.mesh, test.name, ok, test.ok)
		}
	}
	e, _ := sc.state.Resolve("feed")
	if sc.state.IsVisible("some", e, &e.Providers[0]) || !sc.state.IsVisible("some", e, &e.Providers[1]) {
		t.Error("a provider that is not imported is visible, or an imported one is not")
	}
	set := routing.Set{Pools: []routing.Pool{{Name: "p"}}, Routes: []routing.Route{{Name: "r", To: []routing.SplitShare{share("service:feed", routing.TotalPPM)}}}}
	if got, err := sc.rules.BindFor(set, sc.state, "", "some"); err != nil || len(got.Pools) != 2 || got.Pools[1].Name != "feed.thies" {
		t.Errorf("bound to %+v, %v", got.Pools, err)
	}
	set.Routes[0].To[0].Pool = "service:chat"
	if _, err := sc.rules.BindFor(set, sc.state, "", "some"); !UnknownService.Matches(err) {
		t.Errorf("bound to a service that is not imported: %v", err)
	}
	if n := testing.AllocsPerRun(100, func() {
		sc.state.Resolve("news")
		sc.state.ResolveFor("some", "news")
		sc.state.ResolveFor("some", "chat")
	}); n != 0 {
		t.Errorf("resolving names made %v allocations, want 0", n)
	}
}

func share(pool string, ppm int) routing.SplitShare { return routing.SplitShare{Pool: pool, PPM: ppm} }

func TestBind(t *testing.T) {
	sc := newScenario(t, "dakar", "thies", "caroni", "lost")
	pool := func(zone string, spare float64) func(*Service) {
		return func(s *Service) {
			s.Zones = []string{zone}
			s.SpareCapacity = spare
			s.Pool = routing.Pool{Name: "mine", MaxOpen: 9, FormerNames: []string{"all"}}
		}
	}
	for i, m := range []string{"dakar", "thies", "caroni", "lost"} {
		sc.publish(m, "feed X c1")
		sc.editFirstService(pool("z"+m, []float64{0.1, 0.2, 0.3, 0.9}[i]))
	}
	sc.step(0)
	sc.publish("dakar", "feed X c1", "chat Y c1", "news>feed")
	sc.editFirstService(pool("zdakar", 0.1))
	sc.loseMesh("lost")
	sc.step(time.Second)
	set := routing.Set{Pools: []routing.Pool{{Name: "all"}, {Name: "over"}},
		Policies: []routing.Policy{{Name: "q", Attempts: 3, Fallback: []string{"over"}}, {Name: "f", Fallback: []string{"over", "service:news", "all"}}},
		Routes: []routing.Route{
			{Name: "r1", Precedence: 1, To: []routing.SplitShare{share("service:feed", 400_000), share("all", 100_000), share("service:news", 500_000)}},
			{Name: "r2", Precedence: 2, Policy: "q", To: []routing.SplitShare{share("service:news", routing.TotalPPM)}},
			{Name: "r3", Precedence: 3, Policy: "f", To: []routing.SplitShare{share("service:chat", routing.TotalPPM)}},
			{Name: "r4", Precedence: 4, Policy: "q", To: []routing.SplitShare{share("service:feed", routing.TotalPPM)}}}}
	text := asJSON(&set)
	got, err := sc.rules.Bind(set, sc.state, "zthies")
	if err != nil {
		t.Fatal(err)
	}
	if asJSON(&set) != text {
		t.Error("the set was changed")
	}
	if _, err := routing.New(got); err != nil {
		t.Errorf("the set does not compile: %v", err)
	}
	providers := []string{"feed.thies", "feed.caroni", "feed.dakar", "feed.lost"}
	var pools []string
	for _, p := range got.Pools {
		pools = append(pools, p.Name)
	}
	testkit.Equal(t, "pools", append(append([]string{"all", "over"}, providers...), "chat.dakar"), pools)
	testkit.Equal(t, "a pool", routing.Pool{Name: "feed.thies", MaxOpen: 9, Select: routing.EndpointSelector{Zones: []string{"zthies"}}}, got.Pools[2])
	testkit.Equal(t, "policies", []routing.Policy{set.Policies[0], {Name: "f", Fallback: append(append([]string{"over"}, providers...), "all")},
		{Name: "service:feed", Fallback: providers[1:]}, {Name: "q+service:feed", Attempts: 3, Fallback: append(slices.Clone(providers[1:]), "over")}},
		got.Policies)
	var routes []string
	for _, r := range got.Routes {
		routes = append(routes, fmt.Sprint(r.Name, r.To, r.Policy))
	}
	testkit.Equal(t, "routes", []string{"r1[{feed.thies 900000} {all 100000}]service:feed", "r2[{feed.thies 1000000}]q+service:feed",
		"r3[{chat.dakar 1000000}]f", "r4[{feed.thies 1000000}]q+service:feed"}, routes)

	plain := routing.SinglePoolSet()
	if same, err := sc.rules.Bind(plain, sc.state, ""); err != nil || asJSON(&same) != asJSON(&plain) {
		t.Errorf("a set without services: %+v, %v", same, err)
	}
	for name, change := range map[string]func(*routing.Set){
		"unknown":                  func(s *routing.Set) { s.Routes[0].To[0].Pool = "service:none" },
		"in a policy":              func(s *routing.Set) { s.Policies[1].Fallback[1] = "service:none" },
		"pool name conflict":       func(s *routing.Set) { s.Pools[1].Name = "feed.caroni" },
		"policy name conflict":     func(s *routing.Set) { s.Policies[1].Name = "service:feed" },
		"pool with service prefix": func(s *routing.Set) { s.Pools[1].Name = "service:feed" },
	} {
		var bad routing.Set
		if err := json.Unmarshal([]byte(text), &bad); err != nil {
			t.Fatal(err)
		}
		change(&bad)
		_, err := sc.rules.Bind(bad, sc.state, "")
		namesPlace := err != nil && (strings.Contains(err.Error(), "r1") || strings.Contains(err.Error(), "policy f"))
		if !namesPlace || !UnknownService.Matches(err) && !PoolNameConflict.Matches(err) {
			t.Errorf("%s: %v", name, err)
		}
	}
	sc.inputs.Meshes = nil
	sc.step(0)
	sc.step(TombstoneDuration)
	if _, err := sc.rules.Bind(set, sc.state, ""); !UnknownService.Matches(err) || !strings.Contains(err.Error(), "quarantine") {
		t.Errorf("names in quarantine: %v", err)
	}
}

func TestExplain(t *testing.T) {
	sc := newScenario(t, "dakar", "thies")
	sc.publish("thies", "feed X c1", "news>feed")
	sc.step(0)
	sc.publish("dakar", "feed Y c9")
	sc.loseMesh("thies")
	sc.step(time.Minute)
	for name, parts := range map[string][]string{
		"feed":       {"X", "c1", "thies", "lost", "held the name before", "since state 1", "tombstone until 10m0s", "Y's of dakar, known as feed.dakar"},
		"news":       {"further name of feed", "published by thies", "feed is the service of X"},
		"feed.dakar": {"Y", "c9", "full name", "since state 2", "held"},
		"none":       {"none means nothing"},
	} {
		for _, p := range parts {
			if got := sc.state.Explain(name); !strings.Contains(got, p) {
				t.Errorf("%s: %q lacks %q", name, got, p)
			}
		}
	}
	sc.step(TombstoneDuration)
	if got := sc.state.Explain("feed"); !strings.Contains(got, "feed was X's") || !strings.Contains(got, "quarantine until 20m0s") {
		t.Errorf("in quarantine: %q", got)
	}
}

func TestInvalidStates(t *testing.T) {
	for _, text := range []string{`{"entries":[{"name":"b"},{"name":"a"}]}`, `{"entries":[{"name":"a"},{"name":"a"}]}`,
		`{"meshes":[{"mesh":""}]}`, `{"entries":7}`} {
		var s State
		if err := json.Unmarshal([]byte(text), &s); !BadState.Matches(err) {
			t.Errorf("%s: %v", text, err)
		}
	}
	s := State{Entries: []Entry{{Name: "a", AliasOf: "b", Status: StatusHeld}, {Name: "b", AliasOf: "a", Status: StatusHeld}}}
	if _, ok := s.Resolve("a"); ok || !strings.Contains(s.Explain("a"), "in a row") {
		t.Error("a cycle of aliases resolves")
	}
	next, _ := Rules{}.Merge(&s, Inputs{}, 0) // previous state not made by Merge
	if e := next.lookup("a"); e == nil || e.Status != StatusTombstone {
		t.Errorf("a is %+v", e)
	}
}

// drawStep draws a change of the inputs. It draws from few names, so that claims conflict. seqs holds the last sequence number of
// each mesh.
func drawStep(rt *rapid.T, inputs *Inputs, seqs map[string]uint64, at time.Duration) {
	pick := func(label string, from ...string) string { return rapid.SampledFrom(from).Draw(rt, label) }
	meshes := []string{"m1", "m2", "m3"}
	mesh := pick("mesh", meshes...)
	switch pick("what", "publish", "publish", "publish", "lose", "return", "terms", "terms", "override") {
	case "publish":
		seqs[mesh]++
		p := Publication{Mesh: mesh, Seq: seqs[mesh]}
		for range rapid.IntRange(0, 4).Draw(rt, "services") {
			s := newService(pick("name", "a", "b", "c"), pick("owner", "X", "Y"), pick("contract", "c1", "c2"))
			s.DrainBy = rapid.SampledFrom([]time.Duration{0, 0, 0, at + time.Minute, at + time.Hour, 1}).Draw(rt, "drain")
			if pick("origin", "", "", "m1") == "m1" {
				s.Origin = "m1"
			}
			p.Services = append(p.Services, s)
		}
		for range rapid.IntRange(0, 2).Draw(rt, "aliases") {
			p.Aliases = append(p.Aliases, Alias{Name: pick("alias", "a", "b", "d", "e"), To: pick("to", "a", "c", "d", "e", "a.m1", "d.m2")})
		}
		if pick("keep", "all", "latest", "latest") == "latest" {
			inputs.Publications = slices.DeleteFunc(inputs.Publications, func(o Publication) bool { return o.Mesh == mesh })
		}
		inputs.Publications = append(inputs.Publications, p)
	case "lose":
		age := rapid.SampledFrom([]time.Duration{0, time.Minute, time.Hour}).Draw(rt, "since")
		inputs.Lost = append(inputs.Lost, Loss{Mesh: mesh, Since: max(0, at-age)})
	case "return":
		inputs.Lost = slices.DeleteFunc(inputs.Lost, func(l Loss) bool { return l.Mesh == mesh })
	case "terms":
		inputs.Meshes = slices.DeleteFunc(inputs.Meshes, func(m Mesh) bool { return m.Name == mesh })
		if pick("member", "yes", "yes", "no") == "yes" {
			inputs.Meshes = append(inputs.Meshes, Mesh{Name: mesh, Precedence: rapid.IntRange(0, 2).Draw(rt, "precedence"),
				MaxServices: rapid.IntRange(0, 3).Draw(rt, "limit"), Owners: rapid.SampledFrom([][]string{nil, nil, {"X"}, {"X", "Y"}}).Draw(rt, "owners"),
				Import: rapid.SampledFrom([][]Import{nil, {{From: "m1", Names: []string{"b", "a"}}, {From: "m2"}}}).Draw(rt, "import")})
		}
	case "override":
		inputs.Overrides = nil
		if pick("override", "yes", "no") == "yes" {
			inputs.Overrides = []Override{{Name: pick("name", "a", "b"), Owner: pick("owner", "X", "Y"), Mesh: pick("of", "", "m2")}}
		}
	}
}

// checkRandomSteps merges random inputs step by step and calls check after each merge.
func checkRandomSteps(t *testing.T, check func(rt *rapid.T, previous *State, inputs Inputs, at time.Duration, next *State, findings []Finding)) {
	t.Helper()
	testkit.Property(t, func(rt *rapid.T) {
		var inputs Inputs
		for _, m := range []string{"m1", "m2", "m3"} {
			inputs.Meshes = append(inputs.Meshes, Mesh{Name: m})
		}
		var previous *State
		var at time.Duration
		seqs := map[string]uint64{}
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			for range rapid.IntRange(1, 3).Draw(rt, "changes") {
				drawStep(rt, &inputs, seqs, at)
			}
			next, findings := Rules{}.Merge(previous, inputs, at)
			check(rt, previous, inputs, at, next, findings)
			previous = next
			at += rapid.SampledFrom([]time.Duration{time.Second, time.Minute, TombstoneDuration, TombstoneDuration + QuarantineDuration, time.Hour}).Draw(rt, "later")
		}
	})
}

func TestMergeIgnoresOrderAndDuplicates(t *testing.T) {
	checkRandomSteps(t, func(rt *rapid.T, previous *State, inputs Inputs, at time.Duration, next *State, findings []Finding) {
		text := asJSON(&inputs)
		shuffled := Inputs{Meshes: shuffleWithDuplicates(rt, inputs.Meshes), Publications: shuffleWithDuplicates(rt, inputs.Publications), Overrides: shuffleWithDuplicates(rt, inputs.Overrides), Lost: shuffleWithDuplicates(rt, inputs.Lost)}
		for i, p := range shuffled.Publications {
			shuffled.Publications[i].Services, shuffled.Publications[i].Aliases = shuffleWithDuplicates(rt, p.Services), shuffleWithDuplicates(rt, p.Aliases)
		}
		other, otherFindings := Rules{}.Merge(previous, shuffled, at)
		if a, b := asJSON(next), asJSON(other); a != b {
			rt.Fatalf("the state depends on order or duplicates:\n%s\n%s", a, b)
		}
		if a, b := asJSON(&findings), asJSON(&otherFindings); a != b {
			rt.Fatalf("findings depend on order or duplicates:\n%s\n%s", a, b)
		}
		if asJSON(&inputs) != text {
			rt.Fatal("Merge modified the inputs")
		}
	})
}

// shuffleWithDuplicates returns a shuffled copy of a list with some elements repeated.
func shuffleWithDuplicates[T any](rt *rapid.T, list []T) []T {
	if len(list) == 0 {
		return nil
	}
	shuffled := rapid.Permutation(list).Draw(rt, "order")
	return append(slices.Clone(shuffled), shuffled[:rapid.IntRange(0, len(shuffled)).Draw(rt, "repeats")]...)
}

func TestMergedStatesAreConsistent(t *testing.T) {
	checkRandomSteps(t, func(rt *rapid.T, _ *State, inputs Inputs, at time.Duration, next *State, _ []Finding) {
		again, _ := Rules{}.Merge(next, inputs, at)
		if a, b := asJSON(next), asJSON(again); a != b {
			rt.Fatalf("merging again changes the state:\n%s\n%s", a, b)
		}
		text := asJSON(next)
		var decoded State
		if err := json.Unmarshal([]byte(text), &decoded); err != nil || asJSON(&decoded) != text {
			rt.Fatalf("the state decodes to %s, %v", asJSON(&decoded), err)
		}
		for _, e := range next.Entries {
			got, ok := decoded.Resolve(e.Name)
			reason := next.Explain(e.Name)
			if ok == strings.Contains(reason, "means nothing") && !strings.Contains(reason, "then means nothing") {
				rt.Fatalf("%s resolves: %v, but: %s", e.Name, ok, reason)
			}
			if ok && (got.AliasOf != "" || len(got.Providers) == 0 || !strings.Contains(reason, got.Owner+" with contract "+got.Contract)) {
				rt.Fatalf("%s resolves to %+v, but: %s", e.Name, got, reason)
			}
			for _, m := range inputs.Meshes {
				count := 0
				for _, entry := range next.Entries {
					if _, mesh := splitName(entry.Name); mesh == "" && entry.Status == StatusHeld && slices.ContainsFunc(entry.Providers, func(p Provider) bool { return p.Mesh == m.Name }) {
						count++
					}
				}
				if m.MaxServices > 0 && count > m.MaxServices && !slices.ContainsFunc(inputs.Lost, func(l Loss) bool { return l.Mesh == m.Name }) {
					rt.Fatalf("mesh %s has %d names, over its limit of %d", m.Name, count, m.MaxServices)
				}
			}
		}
	})
}

func TestCurrentNamesKeepTheirOwners(t *testing.T) {
	checkRandomSteps(t, func(rt *rapid.T, previous *State, inputs Inputs, at time.Duration, next *State, _ []Finding) {
		if previous == nil {
			return
		}
		for _, former := range previous.Entries {
			overridden := slices.ContainsFunc(inputs.Overrides, func(o Override) bool { return o.Name == former.Name })
			if overridden || former.Status == StatusQuarantine && at.Microseconds() >= former.UntilUS || former.Status == StatusTombstone && at.Microseconds() >= former.UntilUS+quarantineUS {
				continue
			}
			expired := at >= TombstoneDuration+QuarantineDuration && (slices.ContainsFunc(former.Providers, func(p Provider) bool {
				return p.DrainBy > 0 && p.DrainBy+TombstoneDuration+QuarantineDuration <= at
			}) || slices.ContainsFunc(next.Meshes, func(m AcceptedPublication) bool {
				return m.Lost && m.LostSinceUS+tombstoneUS+quarantineUS <= at.Microseconds()
			}))
			if expired {
				continue // lost or drained longer ago than tombstone and quarantine last
			}
			current := next.lookup(former.Name)
			switch {
			case current == nil:
				rt.Fatalf("%s has no entry; it was %+v", former.Name, former)
			case current.AliasOf == "" && former.AliasOf == "" && current.Owner != former.Owner:
				rt.Fatalf("%s changed its owner from %+v to %+v", former.Name, former, current)
			case current.AliasOf == "" && former.AliasOf == "" && current.Contract != former.Contract && !slices.ContainsFunc(current.Providers, func(p Provider) bool {
				return slices.ContainsFunc(former.Providers, func(o Provider) bool { return o.Mesh == p.Mesh })
			}):
				rt.Fatalf("%s changed to the contract of another mesh, from %+v to %+v", former.Name, former, current)
			case current.AliasOf != "" && former.AliasOf != "" && !slices.ContainsFunc(current.PublishedBy, func(m string) bool { return slices.Contains(former.PublishedBy, m) }):
				rt.Fatalf("alias %s changed its publishers from %+v to %+v", former.Name, former, current)
			}
		}
	})
}

// A mesh that returns from a partition with changes results in the same entries, whether or not it was reported as lost.
func TestPartitionedMeshRecovers(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		sc := newScenario(t, "m1", "m2")
		names := []string{"a", "b", "c", "d"}
		draw := func(owner string) (out []string) {
			for _, n := range names {
				if rapid.Bool().Draw(rt, n) {
					out = append(out, n+" "+owner+" "+rapid.SampledFrom([]string{"c1", "c2"}).Draw(rt, "contract"))
				}
			}
			return out
		}
		sc.publish("m1", draw("X")...)
		sc.publish("m2", draw("Y")...)
		sc.step(0)
		before := maps.Clone(describe(sc.state))
		unnoticed := *sc // the partition is not reported as a loss
		sc.loseMesh("m2")
		sc.step(time.Second)
		for range rapid.IntRange(0, 3).Draw(rt, "steps") {
			sc.step(time.Minute)
		}
		changed := draw("Y")
		for _, s := range []*scenario{sc, &unnoticed} {
			s.returnMesh("m2")
			s.at = 9 * time.Minute
			s.inputs.Publications = slices.Clone(s.inputs.Publications)
			s.publish("m2", changed...)
			s.step(0)
		}
		testkit.Equal(t, "entries after the partition", describe(unnoticed.state), describe(sc.state))
		for name, text := range before {
			if e := sc.state.lookup(name); e == nil || !strings.HasPrefix(text, e.Owner+"/") {
				rt.Fatalf("%s was %s and is %+v after the partition", name, text, e)
			}
		}
	})
}
