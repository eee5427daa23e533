package discovery

import (
	"fmt"
	"strings"
	"testing"

	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestEntriesDecodedInPiecesMatchWholeList decodes objects of the supported form and of other forms in pieces of any size. A list
// that the entryDecoder returns must equal the list decoded from the whole text.
func TestEntriesDecodedInPiecesMatchWholeList(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		blank := rapid.SampledFrom([]string{"", "", " ", "\n  ", "\t"})
		member := rapid.SampledFrom([]string{
			`"instanceId":"s-1"`, `"instanceId":"s\"}]-2"`, `"INSTANCEID":"s-3"`, `"zone":"\u00e9\\"`, `"cell":3`, `"weight":1.5`,
			`"startedAtMs":170`, `"lifecycle":"in_service"`, `"x":null`, `"tags":[1,2]`, `"nested":{"a":"}"}`, `"cell":"wrong"`,
		})
		var entries []string
		for range rapid.IntRange(0, 5).Draw(rt, "entries") {
			members := rapid.SliceOfN(member, 0, 4).Draw(rt, "members")
			entries = append(entries, blank.Draw(rt, "before")+"{"+blank.Draw(rt, "in")+strings.Join(members, ",")+"}"+blank.Draw(rt, "after"))
		}
		header := rapid.SampledFrom([]string{
			`{"generation":4,"reset":true,`, `{ "generation" : 4 , `, `{`, `{"x":"\"instances\":[{",`, `{"INSTANCES":[{"cell":7}],`, `{"x":{"instances":[{}]},`, `{"generation":"four",`,
		}).Draw(rt, "header")
		tail := rapid.SampledFrom([]string{`]}`, "] \n }", `],"generation":9}`, `],"instances":[]}`, `],"instances":[{"cell":1}],"reset":true}`, `]`, `]}}`, "]}\x00"}).Draw(rt, "tail")
		text := []byte(header + `"instances"` + blank.Draw(rt, "colon") + ":" + blank.Draw(rt, "bracket") + "[" + strings.Join(entries, ",") + tail)
		var decoder entryDecoder
		for end := 0; end < len(text); end += rapid.IntRange(1, 40).Draw(rt, "piece") {
			decoder.advance(text[:end])
		}
		got, ok := decoder.list(text)
		if !ok {
			return
		}
		var want List
		if err := want.decode(text); err != nil {
			rt.Fatalf("decoded in pieces, but not as a whole: %v: %q", err, text)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			rt.Fatalf("%q (-whole +pieces):\n%s", text, diff)
		}
	})
}

// TestLargeListIsDecodedAsItArrives checks that at least 80% of the entries of a list are decoded before its last piece arrives, both
// for a list on one line and for an indented list.
func TestLargeListIsDecodedAsItArrives(t *testing.T) {
	const count = 3200
	var entries []string
	for i := range count {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"10.0.0.1:80","zone":"a","cell":0,"lifecycle":"in_service","weight":1,"startedAtMs":0}`, i))
	}
	for separator, form := range map[string]string{",": "one line", ",\n  ": "indented"} {
		text := []byte(`{"generation":7,"reset":true,"instances":[` + strings.Join(entries, separator) + "]}\n")
		var stream objectStream
		var lists []List
		collect := func(list List) error { lists = append(lists, list); return nil }
		const piece = 64 << 10
		for start := 0; start < len(text); start += piece {
			if len(text)-start <= piece && len(stream.entries.entries) < count*8/10 {
				t.Errorf("%s: %d of %d entries were decoded before the last piece", form, len(stream.entries.entries), count)
			}
			if err := stream.Feed(text[start:min(start+piece, len(text))], func() {}, collect); err != nil {
				t.Fatal(err)
			}
		}
		if len(lists) != 1 || len(lists[0].Instances) != count || lists[0].Generation != 7 || !lists[0].Reset {
			t.Fatalf("%s: %d lists", form, len(lists))
		}
	}
}
