package discovery

import (
	"bytes"
	stdjson "encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"example.org/micafront/internal/httpresponse"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// readAll feeds text to an objectStream in pieces of the sizes that next returns. It returns the lists and the number of calls of
// onWhitespace.
func readAll(text []byte, next func() int) (lists []List, blanks int, err error) {
	var s objectStream
	defer s.Close()
	for len(text) > 0 && err == nil {
		n := min(max(next(), 1), len(text))
		err = s.Feed(append([]byte(nil), text[:n]...), func() { blanks++ }, func(l List) error {
			lists = append(lists, l)
			return nil
		})
		text = text[n:]
	}
	return lists, blanks, err
}

func pieces(n int) func() int { return func() int { return n } }

// TestAnyIndentationInAnyPieces checks that the lists are found however the objects are indented, separated and split into pieces.
func TestAnyIndentationInAnyPieces(t *testing.T) {
	blank := rapid.StringMatching(`[ \t\r\n]{0,4}`)
	testkit.Property(t, func(t *rapid.T) {
		var want []List
		var text bytes.Buffer
		for range rapid.IntRange(0, 4).Draw(t, "objects") {
			l := List{Generation: rapid.Int64Min(0).Draw(t, "generation"), Reset: rapid.Bool().Draw(t, "reset"), Instances: []Entry{}}
			for i := range rapid.IntRange(0, 20).Draw(t, "entries") {
				l.Instances = append(l.Instances, Entry{ID: fmt.Sprintf("s-%d%s", i, rapid.String().Draw(t, "id")),
					Lifecycle: rapid.SampledFrom([]string{"in_service", "terminating", Terminated}).Draw(t, "lifecycle"),
					HostPort:  rapid.StringMatching(`[{}"\\\[\],: \n]*`).Draw(t, "address"), Weight: rapid.Float64Range(0, 9).Draw(t, "weight")})
			}
			want = append(want, l)
			compact, err := stdjson.Marshal(l)
			if err != nil {
				t.Fatal(err)
			}
			text.WriteString(blank.Draw(t, "before"))
			if rapid.Bool().Draw(t, "indented") {
				err = stdjson.Indent(&text, compact, blank.Draw(t, "prefix"), blank.Draw(t, "indent"))
			} else {
				text.Write(compact)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		text.WriteString(blank.Draw(t, "after") + "\n")
		got, _, err := readAll(text.Bytes(), func() int { return rapid.IntRange(1, 600).Draw(t, "piece") })
		if err != nil {
			t.Fatalf("%v: %q", err, text.Bytes())
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("lists (-want +got):\n%s", d)
		}
	})
}

// FuzzStreamInPieces checks that a response yields the same lists, and is accepted or rejected, regardless of the piece size. Errors
// must be single lines.
func FuzzStreamInPieces(f *testing.F) {
	for i, s := range seeds {
		f.Add([]byte(s+"\n\n"+s), uint16(i))
	}
	f.Add([]byte("{}\x000"), uint16(0))
	f.Add([]byte("{\"a\":\"\x18\"}{}"), uint16(0))
	f.Add([]byte("{\"generation\":1,\n \"x\": [1, {\"y\": \"}\\\"\"}],\n\"instances\": []}{} \n{\"generation\":2"), uint16(7))
	f.Fuzz(func(t *testing.T, text []byte, piece uint16) {
		text = append(text, '\n')
		whole, _, err := readAll(text, pieces(len(text)))
		cut, _, errCut := readAll(text, pieces(int(piece)))
		testkit.Equal(t, "lists", whole, cut)
		bothBroken := errors.Is(err, ErrInvalidList) && errors.Is(errCut, ErrInvalidList)
		if (err == nil) != (errCut == nil) || err != nil && !bothBroken {
			t.Errorf("whole: %v; in pieces of %d: %v", err, piece, errCut)
		}
		if err != nil && strings.ContainsAny(err.Error(), "\n\r") {
			t.Errorf("error contains a line break: %q", err)
		}
	})
}

// TestInvalidTextAndWhitespace checks that invalid text is rejected when it arrives, not at the end of the line or the response, and
// that whitespace is reported before, between and after objects.
func TestInvalidTextAndWhitespace(t *testing.T) {
	for i, c := range []struct {
		text          string
		lists, blanks int
		broken        bool
	}{
		{"\n\n", 0, 2, false},
		{"\n{\"generation\":1}\n{\"generation\":2}{\"generation\":3}\n", 3, 3, false},
		{`{"generation":1,"ins`, 0, 0, false},
		{`{"generation":1}`, 1, 0, false},
		{"{\"generation\":1,\"ins\n", 0, 0, true},
		{"{\n\"generation\":1,\"instances\":[{]", 0, 0, true},
		{"{\"generation\":1,\"instances\":[{]}\n", 0, 0, true},
		{"{\"generation\":1}]\n", 1, 0, true},
		{"{}\x000\n", 1, 0, true},
		{"{\"a\":\"\x18\"}{}\n", 0, 0, true},
		{`null`, 0, 0, true},
		{`HTTP`, 0, 0, true},
		{"{\"instances\":[{\"instanceId\":\"\xff\",\"lifecycle\":\"in_service\"}]}\n", 0, 0, true},
		{"{\"generation\":-1}{\"generation\":2}\n", 0, 0, true},
	} {
		lists, blanks, err := readAll([]byte(c.text), pieces(1+i%2*99))
		testkit.Equal(t, c.text, []any{c.lists, c.blanks, c.broken}, []any{len(lists), blanks, errors.Is(err, ErrInvalidList)})
	}
}

// TestHugeObjects checks that an object up to the size limit is read in linear time (quadratic time would take minutes here), and
// that a larger object is rejected as soon as it exceeds the limit.
func TestHugeObjects(t *testing.T) {
	for _, form := range []string{`{"generation":1,"x":"%s"}`, "{\n\"generation\":1,\n\"x\":\n\"%s\"\n}"} {
		for _, fill := range []string{"}", "\\\""} {
			huge := func(size int) []byte {
				return fmt.Appendf(nil, form+"\n", strings.Repeat(fill, (size-len(form))/len(fill)))
			}
			for size, piece := range map[int]int{1 << 18: 1, httpresponse.DefaultMaxBodyBytes: 9999} {
				if lists, _, err := readAll(huge(size), pieces(piece)); len(lists) != 1 || err != nil {
					t.Errorf("%s of %q, %d bytes: %d lists, %v", form, fill, size, len(lists), err)
				}
			}
			if _, _, err := readAll(huge(httpresponse.DefaultMaxBodyBytes+64), pieces(64<<10)); !errors.Is(err, httpresponse.ErrTooLong) {
				t.Errorf("%s of %q, too long: %v", form, fill, err)
			}
		}
	}
}

// TestTruncatedObjectIsRejected checks that no proper prefix of an object is accepted as a list.
func TestTruncatedObjectIsRejected(t *testing.T) {
	for _, s := range seeds[:2] {
		for n := range len(s) {
			if l, err := ParseList([]byte(s[:n])); err == nil {
				t.Errorf("truncated object %s is accepted: %+v", s[:n], l)
			}
		}
	}
}

// TestClosedStreamPassesNothingOn checks that a stream reports no list after Close, whether Close is called between two pieces of an
// object or by onObject.
func TestClosedStreamPassesNothingOn(t *testing.T) {
	var s objectStream
	never := func(List) error { t.Error("a closed stream reports a list"); return nil }
	testkit.Equal(t, "error for half an object", nil, s.Feed([]byte(`{"generation":1,`), func() {}, never))
	s.Close()
	testkit.Equal(t, "error after Close", nil, s.Feed([]byte(`"x":0}`), func() {}, never))
	closing, reported := objectStream{}, 0
	err := closing.Feed([]byte("{}{}\n"), func() {}, func(List) error { reported++; closing.Close(); return nil })
	testkit.Equal(t, "reported lists and error", []any{1, nil}, []any{reported, err})
}

// bigList returns a list of n endpoints on one line.
func bigList(n int) []byte {
	var l strings.Builder
	for i := range n {
		fmt.Fprintf(&l, `,{"instanceId":"s-%08x","hostPort":"10.1.%d.%d:8081","zone":"a","machineType":"m2","cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`, i, i>>8, i&255)
	}
	return []byte(`{"generation":41,"reset":true,"instances":[` + l.String()[1:] + "]}\n")
}

// BenchmarkStream reads lists of 1 and 600 endpoints, each on one line, in pieces of the size of a socket read.
func BenchmarkStream(b *testing.B) {
	for _, n := range []int{1, 600} {
		text := bigList(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for range b.N {
				if lists, _, err := readAll(text, pieces(64<<10)); len(lists) != 1 || err != nil {
					b.Fatal(lists, err)
				}
			}
		})
	}
}
