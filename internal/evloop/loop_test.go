package evloop

import (
	"net"
	"testing"
	"time"
)

type heard func(*Conn)

type handler struct {
	c *Conn
	f heard
}

func (h *handler) Opened()      {}
func (h *handler) Data([]byte)  { h.f(h.c) }
func (h *handler) Ended()       {}
func (h *handler) Drained()     {}
func (h *handler) Closed(error) {}

// A connection that always has more to read must not keep the loop from the others. No process of its own shows
// this: only here can the flood be sure never to run dry, since each read of it brings the next.
func TestFloodLeavesTurnsToOthers(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	var peers []net.Conn
	accepted, reads := 0, 0
	ln, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		accepted++
		if accepted == 2 {
			return &handler{c, func(*Conn) { l.Stop() }}
		}
		return &handler{c, func(*Conn) {
			peers[0].Write(make([]byte, len(l.buf)))
			if reads++; reads == 20 { // far beyond a turn's
				peers[1].Write([]byte("x"))
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
	peers[0].Write(make([]byte, len(l.buf)))
	done := make(chan error)
	go func() { done <- l.Run() }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(60 * time.Second):
		t.Fatal("the other connection was never heard")
	}
}
