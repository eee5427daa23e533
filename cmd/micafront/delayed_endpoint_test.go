package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"regexp"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
)

// waitForSocketState waits until /proc/net/tcp lists a connection to an address in a state such as socketSynSent.
func waitForSocketState(t *testing.T, addr, state string) {
	t.Helper()
	_, port, _ := net.SplitHostPort(addr)
	var n int
	if _, err := fmt.Sscan(port, &n); err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(fmt.Sprintf(`(?m)^ *\d+: [0-9A-F]+:[0-9A-F]+ [0-9A-F]+:%04X %s `, n, state))
	for end := time.Now().Add(fakes.WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if all, err := os.ReadFile("/proc/net/tcp"); err == nil && row.Match(all) {
			return
		}
	}
	t.Fatalf("no connection to %s in state %s", addr, state)
}

// waitForArrival waits until the program's end of a connection has something to read: bytes, an EOF or a reset.
// /proc/net/tcp then no longer lists the connection as established with an empty receive queue.
func waitForArrival(t *testing.T, p *fakes.Peer) {
	t.Helper()
	near, far := p.RemoteAddr().(*net.TCPAddr).Port, p.LocalAddr().(*net.TCPAddr).Port
	idle := regexp.MustCompile(fmt.Sprintf(`(?m)^ *\d+: [0-9A-F]+:%04X [0-9A-F]+:%04X 01 [0-9A-F]+:00000000 `, near, far))
	for end := time.Now().Add(fakes.WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if all, err := os.ReadFile("/proc/net/tcp"); err == nil && !idle.Match(all) {
			return
		}
	}
	t.Fatal("nothing arrived at the program's end of the connection")
}

// Socket states in /proc/net/tcp.
const (
	socketSynSent   = "02"
	socketCloseWait = "08"
)

// acceptDelayed unblocks a delayed listener and accepts the connection that was dialed.
func acceptDelayed(t *testing.T, delayed net.Listener, unblock func()) *fakes.Peer {
	t.Helper()
	unblock()
	if err := delayed.(*net.TCPListener).SetDeadline(time.Now().Add(fakes.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := delayed.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return fakes.NewPeer(t, conn)
}

// startWithDelayedEndpoint starts the program with one endpoint whose connections are established only once unblock is
// called.
func startWithDelayedEndpoint(t *testing.T, options ...proxyOption) (proxy *proxyProcess, delayed net.Listener, unblock func()) {
	t.Helper()
	delayed, unblock = newDelayedListener(t)
	proxy = startProxy(t, fakes.List(1, true, listEntry("s-late", delayed.Addr().String(), "in_service")), options...)
	return proxy, delayed, unblock
}

// expectNoRequest checks that the connection of an endpoint ends before another line arrives.
func expectNoRequest(t *testing.T, upstream *fakes.Peer) {
	t.Helper()
	if l := upstream.ReadLine(); l != "EOF" && l != "RST" {
		t.Errorf("the endpoint received %q, want the end of the connection", l)
	}
}

// startWithDelayedSecondEndpoint starts the program with an endpoint that accepts connections and one whose connections are
// delayed. It sends requests until the first attempt of one goes to the former, and returns both ends of that request.
func startWithDelayedSecondEndpoint(t *testing.T, options ...proxyOption) (proxy *proxyProcess, delayed net.Listener, unblock func(), client, upstream *fakes.Peer) {
	t.Helper()
	delayed, unblock = newDelayedListener(t)
	conns := make(chan *fakes.Peer, 8)
	endpoint := fakes.NewScriptedEndpoint(t, "s-1", conns)
	proxy = startProxy(t, fakes.List(1, true, listEntry(endpoint.ID, endpoint.Addr, "in_service"), listEntry("s-late", delayed.Addr().String(), "in_service")), options...)
	for i := 0; ; i++ {
		c := proxy.dial()
		c.Send(openLineOfClass("mint", fmt.Sprint("key", i), ",d=90000"))
		dialed := make(chan bool)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { // detects an attempt at the delayed endpoint
			_, port, _ := net.SplitHostPort(delayed.Addr().String())
			var n int
			_, _ = fmt.Sscan(port, &n) // a listener's port is a number
			for ctx.Err() == nil {
				if all, _ := os.ReadFile("/proc/net/tcp"); regexp.MustCompile(fmt.Sprintf(`:%04X %s `, n, socketSynSent)).Match(all) {
					dialed <- true
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		select {
		case upstream = <-conns:
			cancel()
			upstream.ReadLine()
			return proxy, delayed, unblock, c, upstream
		case <-dialed:
		}
		cancel()
		c.Close()
		proxy.waitForCounter(fmt.Sprintf("client_gone=%d", i+1))
	}
}

// newDelayedEndpoint returns an endpoint whose connections are established only once accept is called. They then arrive on
// the channel.
func newDelayedEndpoint(t *testing.T) (addr string, accept func(), conns chan *fakes.Peer) {
	t.Helper()
	l, unblock := newDelayedListener(t)
	conns = make(chan *fakes.Peer, 16)
	return l.Addr().String(), func() {
		unblock()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				conns <- fakes.NewPeer(t, c)
			}
		}()
	}, conns
}

// newDelayedListener returns a listener at which connections are established only once unblock is called: its accept queue
// is full until then.
func newDelayedListener(t *testing.T) (listener net.Listener, unblock func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if cerr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); err != nil || cerr != nil {
		t.Fatal(err, cerr)
	}
	fakes.Dial(t, listener.Addr().String()) // a queue of length 0 holds one connection
	return listener, func() {
		conn, err := listener.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		conn.Close()
	}
}
