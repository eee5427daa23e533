package federation

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

var meshes = []catalog.Mesh{{Name: "caroni", Precedence: 3}, {Name: "dakar", Precedence: 2}, {Name: "thies", Precedence: 1}}

func newPublication(mesh string, seq uint64, names ...string) catalog.Publication {
	p := catalog.Publication{Mesh: mesh, Epoch: 1, Seq: seq}
	for _, name := range names {
		p.Services = append(p.Services, catalog.Service{Name: name, Owner: "team-" + mesh, Contract: name + mesh})
	}
	return p
}

func digestOf(s *State) string {
	_, digest := s.EncodedCatalog()
	return digest
}

// stateWithTerms returns a State whose terms list the three meshes.
func stateWithTerms(t testing.TB) *State {
	t.Helper()
	s := NewState()
	if err := s.Apply(Change{At: time.Second, Terms: &Terms{Meshes: meshes}}); err != nil {
		t.Fatal(err)
	}
	return s
}

func encodeSnapshot(t testing.TB, s *State) []byte {
	t.Helper()
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// drawChange draws a change. Some are outdated, stale, from an unknown mesh, or earlier than the state's agreed time.
func drawChange(rt *rapid.T, at time.Duration, base uint64) Change {
	c := Change{At: at + rapid.SampledFrom([]time.Duration{-time.Hour, 0, 1, time.Second, 11 * time.Minute}).Draw(rt, "later")}
	mesh := rapid.SampledFrom([]string{"thies", "dakar", "caroni", "nobody"}).Draw(rt, "mesh")
	switch rapid.IntRange(0, 8).Draw(rt, "what") {
	case 0:
		c.MarkLost = mesh
	case 1:
		c.MarkReturned = mesh
	case 2:
		c.Tick = true
	case 3:
		n := rapid.IntRange(0, 3).Draw(rt, "meshes")
		c.Terms = &Terms{Base: base - uint64(rapid.IntRange(0, 1).Draw(rt, "stale")), Meshes: meshes[:n]}
	default:
		names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"mail", "feed", "chat"}), rapid.ID[string]).Draw(rt, "names")
		p := newPublication(mesh, uint64(rapid.IntRange(1, 5).Draw(rt, "seq")), names...)
		c.Publish = &p
	}
	return c
}

// TestApplyIsDeterministic checks that the same changes result in the same state, also through snapshots, that agreed time
// never decreases, that a rejected change has no effect, and that the encoded catalog changes only with its meaning.
func TestApplyIsDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := stateWithTerms(t), stateWithTerms(t)
		for range rapid.IntRange(1, 25).Draw(rt, "changes") {
			c := drawChange(rt, a.AgreedTime(), a.Terms().Base)
			before := encodeSnapshot(t, a)
			agreedTime := a.AgreedTime()
			previous := a.Catalog()
			digest := digestOf(a)
			err := a.Apply(c)
			if other := b.Apply(c); (err == nil) != (other == nil) || err != nil && err.Error() != other.Error() {
				rt.Fatalf("one state returned error %v, the other %v", err, other)
			}
			switch after := encodeSnapshot(t, a); {
			case !bytes.Equal(after, encodeSnapshot(t, b)):
				rt.Fatalf("the snapshots differ: %s", after)
			case err != nil && !bytes.Equal(before, after):
				rt.Fatalf("a rejected change (%v) changed the state to %s", err, after)
			case a.AgreedTime() != max(agreedTime, a.AgreedTime()) || err == nil && a.AgreedTime() != max(agreedTime, c.At):
				rt.Fatalf("agreed time went from %v to %v by a change at %v", agreedTime, a.AgreedTime(), c.At)
			case previous.SameMeaning(a.Catalog()) != (digest == digestOf(a)):
				rt.Fatalf("the encoded catalog and its meaning must change together")
			}
			if rapid.IntRange(0, 3).Draw(rt, "restore") == 0 {
				restored := NewState()
				if err := restored.Restore(encodeSnapshot(t, b)); err != nil {
					rt.Fatal(err)
				}
				testkit.Equal(t, "findings", b.Findings(), restored.Findings())
				b = restored
			}
		}
	})
}

// TestBatchOrderDoesNotMatter checks that publications with the same agreed time result in the same catalog in any order,
// and when they are repeated.
func TestBatchOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := stateWithTerms(t), stateWithTerms(t)
		for batch := range rapid.IntRange(1, 4).Draw(rt, "moments") {
			var all []Change
			for range rapid.IntRange(1, 6).Draw(rt, "publications") {
				c := drawChange(rt, 0, 0)
				if c.Publish != nil {
					c.At = time.Duration(batch+2) * time.Second
					all = append(all, c)
				}
			}
			other := append(rapid.Permutation(all).Draw(rt, "order"), all...)
			for i, list := range [][]Change{all, other} {
				for _, c := range list {
					_ = []*State{a, b}[i].Apply(c)
				}
			}
			if digestOf(a) != digestOf(b) {
				rt.Fatalf("two orders of a batch have the digests %s and %s", a.digest, b.digest)
			}
		}
	})
	s := stateWithTerms(t)
	for _, mesh := range []string{"thies", "caroni"} { // the lower precedence comes first
		p := newPublication(mesh, 1, "mail")
		if err := s.Apply(Change{At: time.Minute, Publish: &p}); err != nil {
			t.Fatal(err)
		}
	}
	if e, ok := s.Catalog().Resolve("mail"); !ok || e.Owner != "team-caroni" {
		t.Errorf("mail is %+v, want the owner team-caroni", e)
	}
}

func TestApplyRejects(t *testing.T) {
	s := stateWithTerms(t)
	apply := func(c Change) string {
		if err := s.Apply(c); err != nil {
			return err.Error()
		}
		return ""
	}
	current := newPublication("thies", 2, "a")
	outdated := newPublication("thies", 1, "a")
	contradicting := newPublication("thies", 2, "b")
	huge := newPublication("thies", 9, "c")
	huge.Services[0].Class = string(bytes.Repeat([]byte("x"), MaxPublicationBytes))
	many := Terms{Base: 1, Meshes: make([]catalog.Mesh, maxMeshes+1)}
	for _, test := range []struct {
		name   string
		change Change
		want   string
	}{
		{"first publication", Change{At: 2 * time.Second, Publish: &current}, ""},
		{"outdated publication", Change{At: 3 * time.Second, Publish: &outdated}, `publication 1.1 of mesh "thies": it is older than 1.2, which was accepted before`},
		{"contradicting publication", Change{At: 3 * time.Second, Publish: &contradicting},
			`publication 1.2 of mesh "thies": its contents differ from those accepted under this number`},
		{"unknown mesh", Change{MarkLost: "nobody"}, `mesh "nobody": the federation's terms do not name it`},
		{"stale terms", Change{Terms: &Terms{}}, "terms: they are based on number 0, and the active ones have number 1"},
		{"too many meshes", Change{Terms: &many}, "terms: they name 65 meshes, 64 at most"},
		{"empty change", Change{}, "change: it has 0 members beside its time, not one"},
	} {
		testkit.Equal(t, test.name, test.want, apply(test.change))
	}
	if err := s.Apply(Change{Publish: &huge}); !TooLarge.Matches(err) {
		t.Errorf("a too large publication: got %v", err)
	}
}

// TestPublisherTrackerMarksSilentMeshesLost checks that a change of leaders or a pause of the process marks no mesh as lost,
// and that a mesh that stops publishing is marked once and returns when it publishes again.
func TestPublisherTrackerMarksSilentMeshesLost(t *testing.T) {
	s := stateWithTerms(t)
	tracker := NewPublisherTracker(s)
	now := time.Hour
	apply := func(due []Change) (applied []string) {
		agreedTime := s.AgreedTime()
		for _, c := range due {
			if c.At <= agreedTime {
				t.Errorf("%+v joins a batch that is already complete", c)
			}
			if err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
			tracker.ChangeDone(c)
			applied = append(applied, fmt.Sprint(c.Publish != nil, c.MarkLost, c.MarkReturned, c.Tick))
		}
		return applied
	}
	// advance advances the time until changes are due, by d at most.
	advance := func(d time.Duration) (due []Change) {
		for end := now + d; now < end && len(due) == 0; {
			now = min(now+time.Second, end)
			due = tracker.DueChanges(now)
		}
		return due
	}
	p := newPublication("thies", 1, "mail")
	tracker.BecomeLeader(now)
	testkit.Equal(t, "new publication", []string{"truefalse"}, apply(tracker.HandlePublication(now, p)))
	testkit.Equal(t, "unchanged publication", 0, len(apply(tracker.HandlePublication(now, p))))
	for range 20 { // the leader changes repeatedly, and the mesh does not publish to any of them
		testkit.Equal(t, "within the timeout", 0, len(apply(advance(DefaultMeshTimeout-time.Second))))
		tracker.StepDown()
		tracker.BecomeLeader(now)
	}
	now += time.Hour
	testkit.Equal(t, "after a pause of the process", 0, len(tracker.DueChanges(now)))
	due := advance(DefaultMeshTimeout + 1)
	testkit.Equal(t, "in flight", 0, len(tracker.DueChanges(now)))
	testkit.Equal(t, "batch complete", true, tracker.BatchComplete())
	testkit.Equal(t, "lost", []string{"falsethiesfalse"}, apply(due))
	testkit.Equal(t, "lost once", 0, len(apply(advance(time.Minute))))
	lost, _ := s.Catalog().Resolve("mail")
	testkit.Equal(t, "status", catalog.StatusTombstone, lost.Status)
	p = newPublication("thies", 2, "mail", "feed")
	now += time.Minute
	testkit.Equal(t, "returned", []string{"falsethiesfalse", "truefalse"}, apply(tracker.HandlePublication(now, p)))
	_, reason := tracker.CatalogUpdate(nil)
	testkit.Equal(t, "reason", "feed is new; mail is new", reason)
	if text, _ := tracker.CatalogUpdate(slices.Clone(s.text)); text != nil {
		t.Error("an update is returned although the active version has the catalog")
	}
	// The mesh does not return: only Tick changes end the tombstone and the quarantine of its names.
	apply(advance(DefaultMeshTimeout + 5*time.Second))
	for range 2 {
		apply(advance(catalog.TombstoneDuration + 10*time.Second))
	}
	testkit.Equal(t, "names left", []catalog.Entry{}, s.Catalog().Entries)
}

func BenchmarkApplyPublication(b *testing.B) {
	s := NewState()
	var terms Terms
	var all []catalog.Publication
	for m := range 20 {
		mesh := fmt.Sprint("mesh", m)
		terms.Meshes = append(terms.Meshes, catalog.Mesh{Name: mesh})
		p := catalog.Publication{Mesh: mesh, Epoch: 1}
		for i := range 500 {
			p.Services = append(p.Services, catalog.Service{Name: fmt.Sprint("s", m, "-", i), Owner: "team", Contract: "c"})
		}
		all = append(all, p)
	}
	at := time.Second
	apply := func(c Change) {
		at += time.Second
		c.At = at
		if err := s.Apply(c); err != nil {
			b.Fatal(err)
		}
	}
	apply(Change{Terms: &terms})
	for i := range all {
		apply(Change{Publish: &all[i]})
	}
	for b.Loop() {
		p := all[3]
		p.Seq, p.Services = uint64(at), slices.Clone(p.Services)
		p.Services[7].Contract = fmt.Sprint(at)
		apply(Change{Publish: &p})
	}
}
