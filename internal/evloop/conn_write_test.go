package evloop

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// countingHandler is a Handler that counts the calls of Drained and Closed.
type countingHandler struct{ drained, closed int }

func (*countingHandler) Opened()        {}
func (*countingHandler) Data([]byte)    {}
func (*countingHandler) EOF()           {}
func (n *countingHandler) Drained()     { n.drained++ }
func (n *countingHandler) Closed(error) { n.closed++ }

// connectedPair returns a loop that does not run, a connection on it, the connection's handler and its peer.
func connectedPair(t *testing.T) (*Loop, *Conn, *countingHandler, *net.TCPConn) {
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
	h := &countingHandler{}
	c, err := l.Adopt(fd, h)
	if err != nil {
		t.Fatal(err)
	}
	return l, c, h, peer.(*net.TCPConn)
}

// fillSendBuffer writes until the kernel accepts no more.
func fillSendBuffer(c *Conn) {
	for c.Pending() == 0 {
		c.Write(make([]byte, 1<<20))
	}
}

// TestFailedWriteIsNotSent checks that Sent is false after a failed write, although no output is pending, and that Closed is
// not called during the write.
func TestFailedWriteIsNotSent(t *testing.T) {
	_, c, h, peer := connectedPair(t)
	peer.SetLinger(0)
	peer.Close()
	c.Write([]byte("line\r\n"))
	if c.Sent() || c.Pending() != 0 {
		t.Errorf("sent %v, %d bytes pending", c.Sent(), c.Pending())
	}
	if h.closed != 0 {
		t.Error("Closed was called during the write")
	}
}

// TestLostOutputIsNotDrained checks that Drained is not called for output that was lost because the peer reset the connection.
func TestLostOutputIsNotDrained(t *testing.T) {
	l, c, h, peer := connectedPair(t)
	fillSendBuffer(c)
	if c.Sent() {
		t.Error("Sent is true while output is pending")
	}
	peer.SetLinger(0)
	peer.Close()
	done := make(chan error, 1)
	if err := l.Post(func() { l.After(100*time.Millisecond, func() { stopLoop(t, l) }) }); err != nil {
		t.Fatal(err)
	}
	go func() { done <- l.Run() }()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the loop did not stop")
	}
	if h.drained != 0 || h.closed != 1 {
		t.Errorf("drained %d times, closed %d times", h.drained, h.closed)
	}
}

// TestDropRevokesUnacknowledgedOutput checks that after Drop the peer receives only the output that had arrived by then, and a
// reset.
func TestDropRevokesUnacknowledgedOutput(t *testing.T) {
	_, c, _, peer := connectedPair(t)
	fillSendBuffer(c)
	c.Drop()
	n := int64(0)
	for b := make([]byte, 1<<20); ; {
		if err := peer.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
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

// TestWriteWithDescriptorsFails checks the errors of WriteWithDescriptors with earlier output pending and on a closed
// connection.
func TestWriteWithDescriptorsFails(t *testing.T) {
	_, c, _, _ := connectedPair(t)
	fillSendBuffer(c)
	if err := c.WriteWithDescriptors([]byte("x")); !errors.Is(err, errOutputPending) {
		t.Errorf("with pending output: %v", err)
	}
	c.Close()
	if err := c.WriteWithDescriptors([]byte("x")); !errors.Is(err, errClosed) {
		t.Errorf("on a closed connection: %v", err)
	}
}

func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
