package registry

import (
	"errors"
	"strings"
	"testing"

	. "example.org/micafront/internal/testkit"
)

// seeds are lists of all kinds; each is fed to the parser in CI.
var seeds = []string{
	`{"generation":41,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:8081","zone":"a","machineType":"m2","cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}]}`,
	`{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","lifecycle":"terminating"},{"instanceId":"s-1","lifecycle":"terminated"}]}`,
	`{"generation":43,"reset":false}`, `{"generation":43,"reset":true,"instances":[]}`, `{"generation":1e3,"reset":true,"instances":null}`,
	`{"generation":9223372036854775808}`, `{"instances":[{"instanceId":"s","lifecycle":"in_service","weight":1e400}]}`,
	`{"instances":[{"instanceId":"s","lifecycle":"in_service","startedAtMs":9223372036854775807}]}`,
	`[`, `null`, `{}`, `"x"`, `{"instances":[{]}`, "{\"instances\":[{\"instanceId\":\"\\ud800\",\"lifecycle\":\"in_service\"}]}", strings.Repeat("[", 20000),
}

// Whatever is taken for a list is one that the rest of the program can hold: known lifecycles, names, times in range, each
// next hop once in a whole list; it reads the same when it is written again. What is not is refused as broken.
func FuzzParseList(f *testing.F) {
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l, err := ParseList([]byte(text))
		if err != nil {
			if !errors.Is(err, ErrBroken) {
				t.Errorf("refused, but not as broken: %v", err)
			}
			return
		}
		named := map[string]bool{}
		for _, e := range l.Entries() {
			if e.Server == "" || e.StartedAt < 0 || l.Reset && named[e.Server] {
				t.Errorf("taken: %+v", e)
			}
			named[e.Server] = true
		}
		if l.Generation < 0 || l.Reset && l.Instances == nil {
			t.Errorf("taken: %+v", l)
		}
		again, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		read, err := ParseList(again)
		if err != nil {
			t.Fatalf("not taken when written again: %v", err)
		}
		Equal(t, "written again", l, read)
	})
}

// However an answer is cut into pieces, it gives the same objects or the same error.
func FuzzParserInPieces(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, s := range []string{head + "5\r\nhello\r\n0\r\n\r\n", head + "5;x=y\r\nhel", head + "zz\r\n", head + "5\r\nhelloX\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 503 no\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end", "SSH-2.0\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n"} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, answer []byte, piece int) {
		read := func(step int) (got []byte, status int, failed bool) {
			p := newParser(func(b []byte) error { got = append(got, b...); return nil })
			for b := answer; len(b) > 0; {
				n := min(step, len(b))
				if err := p.feed(b[:n]); err != nil {
					return got, p.status, true
				}
				b = b[n:]
			}
			return got, p.status, false
		}
		if piece < 1 {
			piece = 1
		}
		whole, status, failed := read(max(len(answer), 1))
		pieces, statusToo, failedToo := read(piece)
		if status != statusToo || failed != failedToo || string(whole) != string(pieces) {
			t.Errorf("whole: %q, status %d, failed %v; in pieces of %d: %q, status %d, failed %v", whole, status, failed, piece, pieces, statusToo, failedToo)
		}
	})
}
