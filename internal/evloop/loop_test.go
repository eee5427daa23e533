package evloop

import (
	"io"
	"net"
	"testing"
	"time"
)

type dataFunc func(*Conn)

// funcHandler is a Handler that calls onData for received data.
type funcHandler struct {
	conn   *Conn
	onData dataFunc
}

func (h *funcHandler) Opened()      {}
func (h *funcHandler) Data([]byte)  { h.onData(h.conn) }
func (h *funcHandler) EOF()         {}
func (h *funcHandler) Drained()     {}
func (h *funcHandler) Closed(error) {}

func writeAll(t *testing.T, w io.Writer, data []byte) {
	t.Helper()
	if _, err := w.Write(data); err != nil {
		t.Error(err)
	}
}

// TestFloodDoesNotStarveOthers checks that the loop serves a second connection while the first always has more to read. Each
// read of the first causes the next write, so its input never ends.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	var peers []net.Conn
	accepted, reads := 0, 0
	ln, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		accepted++
		if accepted == 2 {
			return &funcHandler{c, func(*Conn) { stopLoop(t, l) }}
		}
		return &funcHandler{c, func(*Conn) {
			writeAll(t, peers[0], make([]byte, len(l.readBuffer)))
			if reads++; reads == 20 { // many more reads than one turn does
				writeAll(t, peers[1], []byte("x"))
			}
		}}
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		c, err := net.Dial("tcp", ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		peers = append(peers, c)
	}
	writeAll(t, peers[0], make([]byte, len(l.readBuffer)))
	done := make(chan error)
	go func() { done <- l.Run() }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the other connection was never read")
	}
}
