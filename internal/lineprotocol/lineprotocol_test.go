package lineprotocol

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
)

func TestField(t *testing.T) {
	o, err := ParseOpen([]byte("OPEN id key c=feed,t=acme,x=1,d=20,tier=gold,x=2\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "tenant", "acme", o.Tenant)
	for name, want := range map[string]string{"x": "1", "tier": "gold", "c": "feed", "t": "acme", "": "", "ier": ""} {
		got, ok := o.Field(name)
		testkit.Equal(t, name, []any{want, want != ""}, []any{got, ok})
	}
}

// FuzzParseOpen checks that a valid line is forwarded unchanged except for its timeout, and that the parsed class is in the
// line.
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
			t.Fatalf("%q has class %q, %v", text, class, ok)
		}
		forwarded, err := ParseOpen(o.AppendForwarded(nil, time.Second))
		if err != nil || forwarded.ID != o.ID || forwarded.Key != o.Key || forwarded.Class != o.Class || forwarded.Group != o.Group {
			t.Fatalf("%q was forwarded as %q: %v", text, forwarded.Raw, err)
		}
		if !o.HasTimeout && !bytes.Equal(forwarded.Raw, text) {
			t.Fatalf("%q, which has no timeout, was forwarded as %q", text, forwarded.Raw)
		}
	})
}

func TestParseLoadReport(t *testing.T) {
	for _, c := range []struct {
		line string
		want map[string]float64
		ok   bool
	}{
		{"PONG inflight=7,x0=0.61\r\n", map[string]float64{"outstanding": 7, "x0": 0.61}, true},
		{"ERR outstanding=9,x0=1.4\r\n", map[string]float64{"outstanding": 9, "x0": 1.4}, true},
		{"PONG\r\n", map[string]float64{}, true},
		{"NO\r\n", nil, false},
		{"PONG x0=\r\n", nil, false},
		{"PONG x0=NaN\r\n", nil, false},
		{"PONG x0=-1\r\n", nil, false},
		{"PONG x0=1,\r\n", map[string]float64{"x0": 1}, true},
		{"PONG =1\r\n", nil, false},
		{"UP r\r\n", nil, false},
	} {
		got, ok := ParseLoadReport([]byte(c.line))
		testkit.Equal(t, c.line, []any{c.want, c.ok}, []any{got, ok})
	}
}

// FuzzParseLoadReport checks that every value of a valid report is finite and not negative.
func FuzzParseLoadReport(f *testing.F) {
	for _, s := range []string{"PONG x0=1,inflight=2\r\n", "ERR\r\n", "PONG x0=1e400\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		values, ok := ParseLoadReport(text)
		for name, x := range values {
			if !ok || name == "" || !(x >= 0) || x > 1e308*1.7 {
				t.Fatalf("%q was parsed as %q=%v, valid: %v", text, name, x, ok)
			}
		}
	})
}

// FuzzParseAnswer checks that every line has a known type, and that a load is either finite and not negative, or invalid.
func FuzzParseAnswer(f *testing.F) {
	for _, s := range []string{"UP r\r\n", "UP", "LOAD 1e400\r\n", "LOAD -0\r\n", "LOAD 0x1p-2\r\n", "BUSY 5\r\n", "UPX\r\n", " UP r\r\n", "\n", ""} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		a, x := ParseAnswer(text)
		if a < Other || a > Load || x < -1 || x > 1e308*1.7 || x != x || a != Load && x != 0 {
			t.Fatalf("%q was parsed as answer %v with load %v", text, a, x)
		}
	})
}
