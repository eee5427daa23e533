package evloop

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// noted is a handler that only notes what it hears.
type noted struct{ drained, closed int }

func (*noted) Opened()        {}
func (*noted) Data([]byte)    {}
func (*noted) Ended()         {}
func (n *noted) Drained()     { n.drained++ }
func (n *noted) Closed(error) { n.closed++ }

// pair gives a connection on a loop that does not run and its other end.
func pair(t *testing.T) (*Loop, *Conn, *noted, *net.TCPConn) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Connect(fd, &syscall.SockaddrInet4{Port: ln.Addr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	h := &noted{}
	c, err := l.Adopt(fd, h)
	if err != nil {
		t.Fatal(err)
	}
	return l, c, h, peer.(*net.TCPConn)
}

// fill writes until the kernel takes no more.
func fill(c *Conn) {
	for c.Pending() == 0 {
		c.Write(make([]byte, 1<<20))
	}
}

// What the kernel refuses has not been sent, though none of it waits any more. Only here can a break be forced between
// two writes of one turn.
func TestAFailedWriteIsNotSent(t *testing.T) {
	_, c, h, peer := pair(t)
	peer.SetLinger(0)
	peer.Close()
	c.Write([]byte("line\r\n"))
	if c.Sent() || c.Pending() != 0 {
		t.Errorf("sent %v, %d bytes wait", c.Sent(), c.Pending())
	}
	if h.closed != 0 {
		t.Error("told under the writer's hands")
	}
}

// Output that waited and is lost with the connection has not drained: who hears so would take it for sent.
func TestLostOutputDoesNotDrain(t *testing.T) {
	l, c, h, peer := pair(t)
	fill(c)
	if c.Sent() {
		t.Error("sent while bytes wait")
	}
	peer.SetLinger(0)
	peer.Close()
	done := make(chan error, 1)
	if err := l.Post(func() { l.After(100*time.Millisecond, func() { l.Stop() }) }); err != nil {
		t.Fatal(err)
	}
	go func() { done <- l.Run() }()
	select {
	case <-done:
	case <-time.After(60 * time.Second):
		t.Fatal("the loop does not end")
	}
	if h.drained != 0 || h.closed != 1 {
		t.Errorf("drained %d times, closed %d times", h.drained, h.closed)
	}
}

// Drop takes back what the peer has not got; what it has got is ended as usual.
func TestDropTakesBackWhatHasNotArrived(t *testing.T) {
	_, c, _, peer := pair(t)
	fill(c)
	c.Drop()
	n := int64(0)
	for b := make([]byte, 1<<20); ; {
		peer.SetReadDeadline(time.Now().Add(60 * time.Second))
		m, err := peer.Read(b)
		n += int64(m)
		if err != nil {
			if !isReset(err) {
				t.Errorf("after %d bytes: %v, not a reset", n, err)
			}
			return
		}
	}
}

func isReset(err error) bool {
	op, ok := err.(*net.OpError)
	if !ok {
		return false
	}
	return op.Unwrap().Error() == "read: connection reset by peer"
}
