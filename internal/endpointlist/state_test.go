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

// reader applies updates as a proxy does.
type reader struct {
	number uint64
	list   map[string]string // texts by id
}

func (r *reader) apply(t *rapid.T, updates []Update) {
	t.Helper()
	for _, o := range updates {
		if o.Reset {
			r.list = map[string]string{}
		} else if o.Generation != r.number+1 {
			t.Fatalf("list %d follows %d", o.Generation, r.number)
		}
		r.number = o.Generation
		for _, text := range o.Instances {
			e, err := decodeEndpoint(text)
			if err != nil {
				t.Fatal(err)
			}
			r.list[e.ID] = string(e.Text)
			if e.Lifecycle == Terminated {
				delete(r.list, e.ID)
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

// The agreed list is always the latest one that was received; readers that follow UpdatesSince, from whatever number, have
// the same; and a restored State continues as the original.
func TestReadersHaveTheLatestList(t *testing.T) {
	ids := []string{"a", "b", "c<", "d", "e"}
	testkit.Property(t, func(t *rapid.T) {
		s := NewState()
		twin := NewState() // is replaced by its own snapshot now and then
		want := map[string]string{}
		readers := []*reader{{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			whole := rapid.IntRange(0, 3).Draw(t, "whole") == 0
			var received []json.RawMessage
			next := maps.Clone(want)
			if whole {
				next = map[string]string{}
			}
			for _, id := range rapid.SliceOfN(rapid.SampledFrom(ids), 0, 4).Draw(t, "ids") {
				if _, twice := next[id]; whole && twice {
					continue
				}
				lifecycle := rapid.SampledFrom([]string{Ready, Ready, Draining, Terminated}).Draw(t, "lifecycle")
				text := endpointText(id, lifecycle, rapid.IntRange(1, 2).Draw(t, "weight"))
				if whole && lifecycle == Terminated {
					continue
				}
				received = append(received, text)
				e, _ := decodeEndpoint(text) // NextChange below reports the error
				next[id] = string(e.Text)
				if lifecycle == Terminated {
					delete(next, id)
				}
			}
			c, ok, err := s.NextChange(received, whole)
			if whole && len(received) == 0 && len(want) > 0 {
				if !BadList.Matches(err) {
					t.Fatalf("an empty whole list: %v", err)
				}
				continue
			} else if err != nil || ok == maps.Equal(want, next) {
				t.Fatalf("changes from %v to %v: %v, %v", want, next, ok, err)
			}
			want = next
			if !ok {
				continue
			}
			for id, text := range s.EarlyEntries(c) {
				if e, _ := decodeEndpoint(text); e.Lifecycle == Ready || want[id] != "" && want[id] != string(text) {
					t.Fatalf("early %s", text)
				}
			}
			stale := c
			stale.Base++
			if err := s.Apply(stale); !StaleChange.Matches(err) {
				t.Fatalf("a stale change: %v", err)
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
				t.Fatal("snapshots differ")
			}
			for _, r := range readers {
				if rapid.IntRange(0, 3).Draw(t, "reads") == 0 {
					r.apply(t, s.UpdatesSince(r.number))
				}
			}
			if len(readers) < 6 {
				from := rapid.SampledFrom([]uint64{0, 1 << 60}).Draw(t, "from")
				readers = append(readers, &reader{number: from})
			}
		}
		if s.Number() == 0 {
			return
		}
		for _, r := range readers {
			r.apply(t, s.UpdatesSince(r.number))
			if r.number != s.Number() || !maps.Equal(r.list, want) {
				t.Fatalf("a reader has list %d, %v, not list %d, %v", r.number, r.list, s.Number(), want)
			}
		}
	})
}

func TestRetainedChangesAreBounded(t *testing.T) {
	s := NewState()
	applyOne := func(text json.RawMessage) {
		t.Helper()
		c, ok, err := s.NextChange([]json.RawMessage{text}, false)
		if err != nil || !ok || s.Apply(c) != nil {
			t.Fatal(ok, err)
		}
	}
	for i := range maxRetainedChanges + 10 {
		applyOne(endpointText("a", Ready, i))
	}
	n := s.Number()
	if got := s.UpdatesSince(n - maxRetainedChanges); len(got) != maxRetainedChanges || got[0].Reset {
		t.Errorf("the oldest retained change: %d objects", len(got))
	}
	if got := s.UpdatesSince(n - maxRetainedChanges - 1); len(got) != 1 || !got[0].Reset {
		t.Errorf("one that is no longer retained: %d objects", len(got))
	}
	for i := range 3 {
		applyOne(json.RawMessage(fmt.Sprintf(`{"instanceId":"b","lifecycle":"in_service","weight":%d,"x":%q}`, i,
			strings.Repeat("x", maxRetainedBytes/2))))
	}
	if got := s.UpdatesSince(s.Number() - 1); len(got) != 1 || got[0].Reset || s.retainedBytes > maxRetainedBytes {
		t.Errorf("%d objects, %d bytes are retained", len(got), s.retainedBytes)
	}
	if got := s.UpdatesSince(s.Number() - 2); len(got) != 1 || !got[0].Reset {
		t.Errorf("changes of more bytes than are retained: %d objects", len(got))
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
	for what, list := range map[string][]json.RawMessage{
		"no id":              {json.RawMessage(`{"lifecycle":"in_service"}`)},
		"no object":          {json.RawMessage(`[]`)},
		"null":               {json.RawMessage(`null`)},
		"no text":            {nil},
		"no JSON":            {json.RawMessage(`{`)},
		"two values":         {json.RawMessage(`{"instanceId":"a","lifecycle":"in_service"} {}`)},
		"an odd lifecycle":   {endpointText("a", "ready", 1)},
		"a start before all": {json.RawMessage(`{"instanceId":"a","lifecycle":"in_service","startedAtMs":-1}`)},
		"another type":       {json.RawMessage(`{"instanceId":"a","lifecycle":"in_service","cell":"x"}`)},
		"no UTF-8":           {json.RawMessage("{\"instanceId\":\"a\xff\",\"lifecycle\":\"in_service\"}")},
		"one id twice":       {endpointText("b", Ready, 1), endpointText("b", Draining, 1)},
		"too many":           many,
		"too many bytes":     {huge},
	} {
		before, _ := s.Snapshot()
		if _, _, err := s.NextChange(list, true); !BadList.Matches(err) || len(apperror.Resolutions(err)) == 0 {
			t.Errorf("%s is accepted by NextChange: %v", what, err)
		}
		if err := s.Apply(Change{s.Number(), list}); !BadChange.Matches(err) {
			t.Errorf("%s is accepted by Apply: %v", what, err)
		}
		after, _ := s.Snapshot()
		testkit.Equal(t, what+" left the state alone", string(before), string(after))
	}
	for what, text := range map[string]string{
		"no JSON":                 `{`,
		"a list without a number": `{"number":0,"entries":[{"instanceId":"a","lifecycle":"in_service"}]}`,
		"a gap":                   `{"number":9,"entries":[],"changes":[{"number":8,"entries":[{"instanceId":"a","lifecycle":"terminated"}]}]}`,
		"a terminated endpoint":   `{"number":9,"entries":[{"instanceId":"a","lifecycle":"terminated"}]}`,
		"empty change":            `{"number":9,"entries":[],"changes":[{"number":9,"entries":[]}]}`,
	} {
		if err := s.Restore([]byte(text)); !BrokenSnapshot.Matches(err) {
			t.Errorf("a snapshot with %s: %v", what, err)
		}
	}
}

func TestTooManyEntriesAreRejectedWithTheLimit(t *testing.T) {
	_, err := Merge(make([]json.RawMessage, maxDecoded+1))
	testkit.Equal(t, "error", fmt.Sprintf("discovery's updates: %d entries, %d at most", maxDecoded+1, maxDecoded), fmt.Sprint(err))
}

// A removal that was sent early and taken back before it was committed is followed by the agreed text.
func TestRepeatChangeRestoresEarlyRemovals(t *testing.T) {
	s := NewState()
	c, _, _ := s.NextChange([]json.RawMessage{endpointText("a", Ready, 1), endpointText("b", Ready, 1), endpointText("c", Draining, 1)}, true)
	if err := s.Apply(c); err != nil {
		t.Fatal(err)
	}
	drains, _, _ := s.NextChange([]json.RawMessage{endpointText("a", Draining, 1), endpointText("b", Ready, 2), endpointText("c", Draining, 2),
		endpointText("d", Draining, 1)}, true)
	testkit.Equal(t, "early", []string{"a"}, slices.Sorted(maps.Keys(s.EarlyEntries(drains))))
	if o, ok := s.EarlyRemovals(drains); !ok || o.Generation != 1 || o.Reset || len(o.Instances) != 1 {
		t.Errorf("%+v", o)
	}
	removals, _, _ := s.NextChange([]json.RawMessage{endpointText("b", Ready, 1)}, true)
	testkit.Equal(t, "early", []string{"a", "c"}, slices.Sorted(maps.Keys(s.EarlyEntries(removals))))
	repeated := s.AddCommittedEntries(Change{}, []string{"a", "c", "x"})
	if err := s.Apply(repeated); err != nil || s.Number() != 2 {
		t.Fatal(err)
	}
	testkit.Equal(t, "sent again", []string{string(s.endpoints[0].Text), string(s.endpoints[2].Text)},
		[]string{string(s.UpdatesSince(1)[0].Instances[0]), string(s.UpdatesSince(1)[0].Instances[1])})
}

// BenchmarkNextChangeAndApply is one update of a list.
func BenchmarkNextChangeAndApply(b *testing.B) {
	for _, n := range []int{200, 800, 3200, 12800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := make([]json.RawMessage, n)
			for i := range list {
				list[i] = json.RawMessage(fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"10.1.0.18:8081","zone":"a","machineType":"m2",`+
					`"cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`, i))
			}
			for _, whole := range []bool{false, true} {
				b.Run(map[bool]string{false: "one", true: "whole"}[whole], func(b *testing.B) {
					s := NewState()
					first, _, _ := s.NextChange(list, true)
					if err := s.Apply(first); err != nil {
						b.Fatal(err)
					}
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						changed := json.RawMessage(strings.Replace(string(list[i%n]), "1.0", fmt.Sprint(2+i/n), 1))
						received := []json.RawMessage{changed}
						if whole {
							received = slices.Clone(list)
							received[i%n] = changed
						}
						c, ok, err := s.NextChange(received, whole)
						if err != nil || !ok || s.Apply(c) != nil {
							b.Fatal(ok, err)
						}
					}
				})
			}
		})
	}
}
