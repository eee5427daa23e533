package faultinject

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"example.org/micafront/internal/fakes"
)

// testNetwork is a network with one link. targets receives the connections that the link's target accepts.
type testNetwork struct {
	*Net
	t       fakes.T
	link    Link
	targets chan *net.TCPConn
}

func newTestNetwork(t fakes.T, seed uint64) *testNetwork {
	t.Helper()
	r := &testNetwork{Net: New(context.Background(), seed), t: t, targets: make(chan *net.TCPConn, 16)}
	t.Cleanup(r.Close)
	var err error
	if r.link, err = r.Link("p/k", r.newTarget()); err != nil {
		t.Fatal(err)
	}
	return r
}

// newTarget opens a listener that sends its connections to targets, and returns its address.
func (r *testNetwork) newTarget() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.targets <- c.(*net.TCPConn)
		}
	}()
	return ln.Addr().String()
}

func (r *testNetwork) requireNoError(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *testNetwork) dial() *net.TCPConn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.link.Addr())
	r.requireNoError(err)
	r.t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// pair opens a connection through the link and returns its two ends. from sends in the given direction.
func (r *testNetwork) pair(d Direction) (from, to *net.TCPConn) {
	r.t.Helper()
	c := r.dial()
	s := fakes.Await(r.t, r.targets)
	r.t.Cleanup(func() { s.Close() })
	if d == Down {
		return s, c
	}
	return c, s
}

// readAll reads until the connection ends. It returns the bytes, and "end", "reset" or the text of another error.
func readAll(c *net.TCPConn) (string, string) {
	_ = c.SetReadDeadline(time.Now().Add(fakes.WaitTimeout)) // an error on a closed connection also appears in the read
	got, err := io.ReadAll(c)
	switch {
	case err == nil:
		return string(got), "end"
	case errors.Is(err, syscall.ECONNRESET):
		return string(got), "reset"
	}
	return string(got), err.Error()
}

func readString(t fakes.T, c *net.TCPConn, n int) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(fakes.WaitTimeout)) // an error on a closed connection also appears in the read
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// awaitCondition polls a condition until it holds, or fails the test after fakes.WaitTimeout.
func awaitCondition(t fakes.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(fakes.WaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out: " + what)
		}
	}
}

// mustWrite writes a text to the relay. The write succeeds under any fault, because the relay reads before it applies them.
func mustWrite(t fakes.T, c *net.TCPConn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}
