package httpresponse

import (
	"strings"
	"testing"
)

// FuzzParserInPieces checks that the result of parsing does not depend on how a response is split into pieces.
func FuzzParserInPieces(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, s := range []string{head + "5\r\nhello\r\n0\r\n\r\n", head + "5;x=y\r\nhel", head + "zz\r\n", head + "5\r\nhelloX\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 503 no\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end", "SSH-2.0\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n"} {
		f.Add([]byte(s), 3)
	}
	for _, n := range []int{maxHeadBytes - 1, maxHeadBytes, maxHeadBytes + 1, maxHeadBytes + 2, maxHeadBytes + 3, maxHeadBytes + 4} { // lengths of a head, and of a line with a chunk's size
		f.Add([]byte("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", n-20)+"\r\n\r\nabc"), 1)
		f.Add([]byte(head+"3;"+strings.Repeat("x", n-3)+"\r\nabc\r\n"), 1)
	}
	f.Fuzz(func(t *testing.T, response []byte, piece int) {
		read := func(step int) (got []byte, status int, failed bool) {
			p := New(func(b []byte) error { got = append(got, b...); return nil })
			for b := response; len(b) > 0; {
				n := min(step, len(b))
				if err := p.Feed(b[:n]); err != nil {
					return got, p.Status(), true
				}
				b = b[n:]
			}
			return got, p.Status(), false
		}
		if piece < 1 {
			piece = 1
		}
		whole, status, failed := read(max(len(response), 1))
		pieces, statusInPieces, failedInPieces := read(piece)
		if status != statusInPieces || failed != failedInPieces || string(whole) != string(pieces) {
			t.Errorf("in one piece: %q, status %d, failed %v; in pieces of %d: %q, status %d, failed %v", whole, status, failed, piece, pieces, statusInPieces, failedInPieces)
		}
	})
}
