package discovery

import (
	"errors"
	"strings"
	"testing"

	"example.org/micafront/internal/testing/testkit"
)

// seeds contains valid and invalid lists, with which each run of the fuzz tests starts.
var seeds = []string{
	`{"generation":41,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:8081","zone":"a","machineType":"m2","cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}]}`,
	`{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","lifecycle":"terminating"},{"instanceId":"s-1","lifecycle":"terminated"}]}`,
	`{"generation":43,"reset":false}`, `{"generation":43,"reset":true,"instances":[]}`, `{"generation":1e3,"reset":true,"instances":null}`,
	`{"generation":9223372036854775808}`, `{"instances":[{"instanceId":"s","lifecycle":"in_service","weight":1e400}]}`,
	`{"instances":[{"instanceId":"s","lifecycle":"in_service","startedAtMs":9223372036854775807}]}`,
	`[`, `null`, `{}`, `"x"`, `{"instances":[{]}`, "{\"instances\":[{\"instanceId\":\"\\ud800\",\"lifecycle\":\"in_service\"}]}", strings.Repeat("[", 20000),
}

// FuzzParseList checks that an accepted list is valid (known lifecycles, names, times in range, each endpoint once in a whole list)
// and survives encoding and parsing. The error for anything else must match ErrInvalidList.
func FuzzParseList(f *testing.F) {
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l, err := ParseList([]byte(text))
		if err != nil {
			if !errors.Is(err, ErrInvalidList) {
				t.Errorf("ParseList fails with %v, which does not match ErrInvalidList", err)
			}
			return
		}
		seen := map[string]bool{}
		for _, e := range l.Entries() {
			if e.ID == "" || e.StartedAt < 0 || l.Reset && seen[e.ID] {
				t.Errorf("invalid entry is accepted: %+v", e)
			}
			seen[e.ID] = true
		}
		if l.Generation < 0 || l.Reset && l.Instances == nil {
			t.Errorf("invalid list is accepted: %+v", l)
		}
		again, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		read, err := ParseList(again)
		if err != nil {
			t.Fatalf("the encoded list is rejected: %v", err)
		}
		testkit.Equal(t, "list after encoding and parsing", l, read)
	})
}
