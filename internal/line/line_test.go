package line

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "example.org/micafront/internal/testkit"
)

func TestField(t *testing.T) {
	o, err := ParseOpen([]byte("OPEN id key c=feed,x=1,d=20,tier=gold,x=2\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"x": "1", "tier": "gold", "c": "feed", "t": "", "": "", "ier": ""} {
		got, ok := o.Field(name)
		Equal(t, name, []any{want, want != ""}, []any{got, ok})
	}
}

// Whatever a client sends, a first line that is taken goes on as it came but for its wait, and its fields are those
// that stand in it.
func FuzzParseOpen(f *testing.F) {
	for _, s := range []string{"OPEN id key c=feed,d=20\r\n", "OPEN a b c=,g=x,at=s,r=1,h=1e3,mid=1\r\n", "OPEN  \r\n", "PING\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := ParseOpen(bytes.Clone(text))
		if err != nil {
			return
		}
		if class, ok := o.Field("c"); !ok || !strings.Contains(string(text), "c="+class) {
			t.Fatalf("class %q %v of %q", class, ok, text)
		}
		again, err := ParseOpen(o.AppendFirst(nil, time.Second))
		if err != nil || again.ID != o.ID || again.Key != o.Key || again.Class != o.Class || again.Group != o.Group {
			t.Fatalf("%q became %q: %v", text, again.Raw, err)
		}
		if !o.HasWait && !bytes.Equal(again.Raw, text) {
			t.Fatalf("%q became %q", text, again.Raw)
		}
	})
}
