package admin

import "testing"

// FuzzRequestInPieces checks that a request that arrives in pieces is parsed like one that arrives at once, and that the buffer stays
// bounded.
func FuzzRequestInPieces(f *testing.F) {
	for _, s := range []string{
		"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", "\r\n\r\nHEAD http://x/api/ready?a=b HTTP/1.0\r\n\r\n",
		"POST /api/drain HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcd", "POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nmore", "GET / HTTP/2\r\n\r\n", "GET /\r\n\r\n", "x\n\n",
	} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		if len(text) > maxHead { // for longer text, which limit is exceeded first may depend on the pieces
			text = text[:maxHead]
		}
		parse := func(step int) (req request, status int) {
			var p parser
			for b := text; len(b) > 0; {
				n := min(step, len(b))
				got, err := p.feed(b[:n])
				switch {
				case err != nil:
					return request{}, err.status
				case got != nil:
					return *got, 200
				case len(p.buf) > maxHead+maxBody:
					t.Fatalf("%d bytes are buffered, more than both limits together", len(p.buf))
				}
				b = b[n:]
			}
			return request{}, 0
		}
		whole, wholeStatus := parse(max(len(text), 1))
		if pieced, status := parse(max(piece, 1)); whole != pieced || wholeStatus != status {
			t.Errorf("whole: %v, %d; in pieces of %d: %v, %d", whole, wholeStatus, piece, pieced, status)
		}
	})
}
