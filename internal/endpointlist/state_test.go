package endpointlist

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

func endpointText(id, lifecycle string, weight int) json.RawMessage {
	return fmt.Appendf(nil, `{"instanceId":%q, "hostPort":"127.0.0.1:1","lifecycle":%q,"weight":%d,"later":{"<":1}}`, id,
		lifecycle, weight)
}

// watcher applies updates to its copy of the list, as a proxy does.
type watcher struct {
	number uint64
	list   map[string]string // entries by id
}

func (w *watcher) apply(t *rapid.T, updates []Update) {
	t.Helper()
	for _, update := range updates {
		if update.Reset {
			w.list = map[string]string{}
		} else if update.Generation != w.number+1 {
			t.Fatalf("update to list %d follows list %d", update.Generation, w.number)
		}
		w.number = update.Generation
		for _, text := range update.Instances {
			e, err := decodeEndpoint(text)
			if err != nil {
				t.Fatal(err)
			}
			w.list[e.ID] = string(e.Text)
			if e.Lifecycle == Terminated {
				delete(w.list, e.ID)
			}
		}
	}
}

func encodeSnapshot(t *rapid.T, s *State) string {
	t.Helper()
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestWatchersReceiveTheLatestList checks that the committed list always equals the latest list received from discovery, that
// watchers that apply UpdatesSince, from any number, have the same list, and that a restored State behaves as the original.
func TestWatchersReceiveTheLatestList(t *testing.T) {
	ids := []string{"a", "b", "c<", "d", "e"}
	testkit.Property(t, func(t *rapid.T) {
		s := NewState()
		twin := NewState() // applies the same changes, and is sometimes restored from its snapshot
		want := map[string]string{}
		watchers := []*watcher{{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			full := rapid.IntRange(0, 3).Draw(t, "full") == 0
			var received []json.RawMessage
			next := maps.Clone(want)
			if full {
				next = map[string]string{}
			}
			for _, id := range rapid.SliceOfN(rapid.SampledFrom(ids), 0, 4).Draw(t, "ids") {
				if _, duplicate := next[id]; full && duplicate {
					continue
				}
				lifecycle := rapid.SampledFrom([]string{Ready, Ready, Draining, Terminated}).Draw(t, "lifecycle")
				text := endpointText(id, lifecycle, rapid.IntRange(1, 2).Draw(t, "weight"))
				if full && lifecycle == Terminated {
					continue
				}
				received = append(received, text)
				e, _ := decodeEndpoint(text) // NextChange below returns the same error
				next[id] = string(e.Text)
				if lifecycle == Terminated {
					delete(next, id)
				}
			}
			c, ok, err := s.NextChange(received, full)
			if full && len(received) == 0 && len(want) > 0 {
				if !BadList.Matches(err) {
					t.Fatalf("NextChange with an empty full list: error %v, want BadList", err)
				}
				continue
			} else if err != nil || ok == maps.Equal(want, next) {
				t.Fatalf("NextChange from %v to %v: ok %v, error %v", want, next, ok, err)
			}
			want = next
			if !ok {
				continue
			}
			for id, text := range s.EarlyEntries(c) {
				if e, _ := decodeEndpoint(text); e.Lifecycle == Ready || want[id] != "" && want[id] != string(text) {
					t.Fatalf("EarlyEntries contains %s", text)
				}
			}
			stale := c
			stale.Base++
			if err := s.Apply(stale); !StaleChange.Matches(err) {
				t.Fatalf("Apply with a stale change: error %v, want StaleChange", err)
			}
			for _, state := range []*State{s, twin} {
				if err := state.Apply(c); err != nil {
					t.Fatal(err)
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "restored") == 0 {
				restored := NewState()
				if err := restored.Restore([]byte(encodeSnapshot(t, twin))); err != nil {
					t.Fatal(err)
				}
				twin = restored
			}
			if encodeSnapshot(t, s) != encodeSnapshot(t, twin) {
				t.Fatal("the snapshots of the state and its twin differ")
			}
			for _, w := range watchers {
				if rapid.IntRange(0, 3).Draw(t, "reads") == 0 {
					w.apply(t, s.UpdatesSince(w.number))
				}
			}
			if len(watchers) < 6 {
				from := rapid.SampledFrom([]uint64{0, 1 << 60}).Draw(t, "from")
				watchers = append(watchers, &watcher{number: from})
			}
		}
		if s.Number() == 0 {
			return
		}
		for _, w := range watchers {
			w.apply(t, s.UpdatesSince(w.number))
			if w.number != s.Number() || !maps.Equal(w.list, want) {
				t.Fatalf("a watcher has list %d, %v, want list %d, %v", w.number, w.list, s.Number(), want)
			}
		}
	})
}

func TestRetainedChangesAreBounded(t *testing.T) {
	s := NewState()
	applyEntry := func(text json.RawMessage) {
		t.Helper()
		c, ok, err := s.NextChange([]json.RawMessage{text}, false)
		if err != nil || !ok || s.Apply(c) != nil {
			t.Fatal(ok, err)
		}
	}
	for i := range maxRetainedChanges + 10 {
		applyEntry(endpointText("a", Ready, i))
	}
	n := s.Number()
	if got := s.UpdatesSince(n - maxRetainedChanges); len(got) != maxRetainedChanges || got[0].Reset {
		t.Errorf("since the oldest retained change: %d updates, reset %v", len(got), len(got) > 0 && got[0].Reset)
	}
	if got := s.UpdatesSince(n - maxRetainedChanges - 1); len(got) != 1 || !got[0].Reset {
		t.Errorf("since a change that is no longer retained: %d updates, want one full list", len(got))
	}
	for i := range 3 {
		applyEntry(json.RawMessage(fmt.Sprintf(`{"instanceId":"b","lifecycle":"in_service","weight":%d,"x":%q}`, i,
			strings.Repeat("x", maxRetainedBytes/2))))
	}
	if got := s.UpdatesSince(s.Number() - 1); len(got) != 1 || got[0].Reset || s.retainedBytes > maxRetainedBytes {
		t.Errorf("since the last change: %d updates, %d bytes are retained", len(got), s.retainedBytes)
	}
	if got := s.UpdatesSince(s.Number() - 2); len(got) != 1 || !got[0].Reset {
		t.Errorf("changes larger than the retained bytes: %d updates, want one full list", len(got))
	}
}

func TestInvalidListsAreRejected(t *testing.T) {
	s := NewState()
	first, _, _ := s.NextChange([]json.RawMessage{endpointText("a", Ready, 1)}, true)
	if err := s.Apply(first); err != nil {
		t.Fatal(err)
	}
	many := make([]json.RawMessage, maxEndpoints+1)
	for i := range many {
		many[i] = endpointText(fmt.Sprint("x", i), Ready, 1)
	}
	huge := endpointText(strings.Repeat("x", maxBytes), Ready, 1)
	for name, list := range map[string][]json.RawMessage{
		"no instanceId":       {json.RawMessage(`{"lifecycle":"in_service"}`)},
		"not an object":       {json.RawMessage(`[]`)},
		"null":                {json.RawMessage(`null`)},
		"nil text":            {nil},
		"invalid JSON":        {json.RawMessage(`{`)},
		"two values":          {json.RawMessage(`{"instanceId":"a","lifecycle":"in_service"} {}`)},
		"unknown lifecycle":   {endpointText("a", "ready", 1)},
		"negative start time": {json.RawMessage(`{"instanceId":"a","lifecycle":"in_service","startedAtMs":-1}`)},
		"wrong type":          {json.RawMessage(`{"instanceId":"a","lifecycle":"in_service","cell":"x"}`)},
		"invalid UTF-8":       {json.RawMessage("{\"instanceId\":\"a\xff\",\"lifecycle\":\"in_service\"}")},
		"duplicate id":        {endpointText("b", Ready, 1), endpointText("b", Draining, 1)},
		"too many entries":    many,
		"too many bytes":      {huge},
	} {
		before, _ := s.Snapshot()
		if _, _, err := s.NextChange(list, true); !BadList.Matches(err) || len(apperror.Resolutions(err)) == 0 {
			t.Errorf("%s: NextChange returns %v, want BadList with a resolution", name, err)
		}
		if err := s.Apply(Change{s.Number(), list}); !BadChange.Matches(err) {
			t.Errorf("%s: Apply returns %v, want BadChange", name, err)
		}
		after, _ := s.Snapshot()
		testkit.Equal(t, "snapshot after "+name, string(before), string(after))
	}
	for name, text := range map[string]string{
		"invalid JSON":          `{`,
		"list without a number": `{"number":0,"entries":[{"instanceId":"a","lifecycle":"in_service"}]}`,
		"gap in the numbers":    `{"number":9,"entries":[],"changes":[{"number":8,"entries":[{"instanceId":"a","lifecycle":"terminated"}]}]}`,
		"terminated endpoint":   `{"number":9,"entries":[{"instanceId":"a","lifecycle":"terminated"}]}`,
		"empty change":          `{"number":9,"entries":[],"changes":[{"number":9,"entries":[]}]}`,
	} {
		if err := s.Restore([]byte(text)); !BrokenSnapshot.Matches(err) {
			t.Errorf("%s: Restore returns %v, want BrokenSnapshot", name, err)
		}
	}
}

func TestTooManyEntriesAreRejectedWithTheLimit(t *testing.T) {
	_, err := Merge(make([]json.RawMessage, maxDecoded+1))
	testkit.Equal(t, "error", fmt.Sprintf("discovery's updates: %d entries, %d at most", maxDecoded+1, maxDecoded), fmt.Sprint(err))
}

// TestAddCommittedEntriesRevertsEarlyRemovals checks that the committed entries are sent again after removals that were sent
// early and reverted before they were committed.
func TestAddCommittedEntriesRevertsEarlyRemovals(t *testing.T) {
	s := NewState()
	c, _, _ := s.NextChange([]json.RawMessage{endpointText("a", Ready, 1), endpointText("b", Ready, 1), endpointText("c", Draining, 1)}, true)
	if err := s.Apply(c); err != nil {
		t.Fatal(err)
	}
	drains, _, _ := s.NextChange([]json.RawMessage{endpointText("a", Draining, 1), endpointText("b", Ready, 2), endpointText("c", Draining, 2),
		endpointText("d", Draining, 1)}, true)
	testkit.Equal(t, "early entries of the drains", []string{"a"}, slices.Sorted(maps.Keys(s.EarlyEntries(drains))))
	if update, ok := s.EarlyRemovals(drains); !ok || update.Generation != 1 || update.Reset || len(update.Instances) != 1 {
		t.Errorf("EarlyRemovals returns %+v, %v", update, ok)
	}
	removals, _, _ := s.NextChange([]json.RawMessage{endpointText("b", Ready, 1)}, true)
	testkit.Equal(t, "early entries of the removals", []string{"a", "c"}, slices.Sorted(maps.Keys(s.EarlyEntries(removals))))
	extended := s.AddCommittedEntries(Change{}, []string{"a", "c", "x"})
	if err := s.Apply(extended); err != nil || s.Number() != 2 {
		t.Fatal(err)
	}
	testkit.Equal(t, "entries that are sent again", []string{string(s.endpoints[0].Text), string(s.endpoints[2].Text)},
		[]string{string(s.UpdatesSince(1)[0].Instances[0]), string(s.UpdatesSince(1)[0].Instances[1])})
}

// BenchmarkNextChangeAndApply measures one changed entry, received alone or as part of a full list, by the size of the list.
func BenchmarkNextChangeAndApply(b *testing.B) {
	for _, n := range []int{200, 800, 3200, 12800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := make([]json.RawMessage, n)
			for i := range list {
				list[i] = json.RawMessage(fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"10.1.0.18:8081","zone":"a","machineType":"m2",`+
					`"cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`, i))
			}
			for _, full := range []bool{false, true} {
				b.Run(map[bool]string{false: "one", true: "full"}[full], func(b *testing.B) {
					s := NewState()
					first, _, _ := s.NextChange(list, true)
					if err := s.Apply(first); err != nil {
						b.Fatal(err)
					}
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						changed := json.RawMessage(strings.Replace(string(list[i%n]), "1.0", fmt.Sprint(2+i/n), 1))
						received := []json.RawMessage{changed}
						if full {
							received = slices.Clone(list)
							received[i%n] = changed
						}
						c, ok, err := s.NextChange(received, full)
						if err != nil || !ok || s.Apply(c) != nil {
							b.Fatal(ok, err)
						}
					}
				})
			}
		})
	}
}
