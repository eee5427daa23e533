package evloop

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// errorSequence returns a function that returns each of the errors once, in order, and then nil.
func errorSequence(errnos ...unix.Errno) func() error {
	return func() error {
		if len(errnos) == 0 {
			return nil
		}
		next := errnos[0]
		errnos = errnos[1:]
		return next
	}
}

// runUntilStopped runs the loop until Stop is called. It fails the test after testTimeout.
func runUntilStopped(t *testing.T, l *Loop) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the loop was not stopped")
	}
}

// TestAcceptSurvivesEveryError checks that all connections are served after accept has failed with each error that Linux
// documents.
func TestAcceptSurvivesEveryError(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	next := errorSequence(unix.EINTR, unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.ENETDOWN,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.EPERM, unix.ETIMEDOUT)
	accept := l.system.Accept
	l.system.Accept = func(fd int) (int, unix.Sockaddr, error) {
		if err := next(); err != nil {
			return -1, nil, os.NewSyscallError("accept", err)
		}
		return accept(fd)
	}
	const clients = 3
	served, reported := 0, 0
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		return &funcHandler{c, func(*Conn) {
			if served++; served == clients {
				stopLoop(t, l)
			}
		}}
	}, func(error) { reported++ })
	if err != nil {
		t.Fatal(err)
	}
	for range clients {
		conn := dialTest(t, listener.Addr())
		defer func() { _ = conn.Close() }()
		writeAll(t, conn, []byte("x"))
	}
	runUntilStopped(t, l)
	if reported == 0 {
		t.Error("a lack of descriptors or memory was not reported to onError")
	}
}

// TestPersistentAcceptErrorDoesNotSpin checks that the loop pauses between attempts if accept always fails with an error that
// belongs to a connection.
func TestPersistentAcceptErrorDoesNotSpin(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	l.system.Accept = func(int) (int, unix.Sockaddr, error) { calls++; return -1, nil, unix.EPERM }
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler { return &funcHandler{c, nil} }, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	conn := dialTest(t, listener.Addr())
	defer func() { _ = conn.Close() }()
	l.After(10*acceptRetryDelay, func() {
		listener.Close() // must return although accept still fails
		stopLoop(t, l)
	})
	runUntilStopped(t, l)
	if calls > 40*maxAcceptsPerTurn {
		t.Errorf("accept was called %d times in %v", calls, 10*acceptRetryDelay)
	}
}

// TestCloseRetriesFailedAccepts checks that a listener that is closed while the system is out of descriptors accepts the
// connection in its queue as soon as one is available.
func TestCloseRetriesFailedAccepts(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	next := errorSequence(unix.ENFILE, unix.ENFILE, unix.EMFILE)
	accept := l.system.Accept
	l.system.Accept = func(fd int) (int, unix.Sockaddr, error) {
		if err := next(); err != nil {
			return -1, nil, err
		}
		return accept(fd)
	}
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		return &funcHandler{c, func(*Conn) { stopLoop(t, l) }}
	}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	conn := dialTest(t, listener.Addr())
	defer func() { _ = conn.Close() }()
	writeAll(t, conn, []byte("request"))
	listener.Close()
	runUntilStopped(t, l)
}

// TestDialDistinguishesLocalErrors checks that a lack of local ports or memory is not reported as an error of the peer, which
// would count against an endpoint, and that an interrupted connect continues.
func TestDialDistinguishesLocalErrors(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	for errno, remote := range map[unix.Errno]bool{
		unix.EADDRNOTAVAIL: false, unix.EADDRINUSE: false, unix.EAGAIN: false, unix.ENOBUFS: false, unix.ENOMEM: false,
		unix.ECONNREFUSED: true, unix.ENETUNREACH: true, unix.EHOSTUNREACH: true, unix.ETIMEDOUT: true,
	} {
		l, err := New()
		if err != nil {
			t.Fatal(err)
		}
		l.system.Connect = func(int, unix.Sockaddr) error { return errno }
		if _, err := l.Dial(server.Addr().String(), &funcHandler{}); !errors.Is(err, errno) || IsRemoteConnectError(err) != remote {
			t.Errorf("%v: the error is %v, IsRemoteConnectError is %v", errno, err, IsRemoteConnectError(err))
		}
	}
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	l.system.Connect = func(fd int, addr unix.Sockaddr) error {
		_ = unix.Connect(fd, addr)
		return unix.EINTR
	}
	if _, err := l.Dial(server.Addr().String(), &openedHandler{opened: func() { stopLoop(t, l) }}); err != nil {
		t.Fatal(err)
	}
	runUntilStopped(t, l)
}

// openedHandler is a Handler that calls opened once its connection is established.
type openedHandler struct {
	funcHandler
	opened func()
}

func (h *openedHandler) Opened() { h.opened() }

// TestReadsAndWritesSurviveFailures checks that all bytes arrive in order over a connection whose reads and writes are short,
// are interrupted and fail for lack of memory.
func TestReadsAndWritesSurviveFailures(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	nextError := func() error {
		calls++
		return map[int]error{1: unix.EINTR, 2: unix.ENOBUFS, 3: unix.ENOMEM}[calls%5]
	}
	read, write := l.system.Read, l.system.Write
	l.system.Read = func(fd int, buffer []byte) (int, error) {
		if err := nextError(); err != nil {
			return -1, err
		}
		return read(fd, buffer[:3])
	}
	l.system.Write = func(fd int, data []byte) (int, error) {
		if err := nextError(); err != nil {
			return -1, err
		}
		return write(fd, data[:1])
	}
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler { return &echoHandler{c} }, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	const sent = "each byte comes back once, in its order"
	go func() {
		defer stopLoop(t, l)
		conn := dialTest(t, listener.Addr())
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		writeAll(t, conn, []byte(sent))
		got := make([]byte, len(sent))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != sent {
			t.Errorf("got %q, %v", got, err)
		}
	}()
	runUntilStopped(t, l)
}

// echoHandler is a Handler that sends received bytes back.
type echoHandler struct{ conn *Conn }

func (h *echoHandler) Opened()          {}
func (h *echoHandler) Data(data []byte) { h.conn.Write(data) }
func (h *echoHandler) EOF()             { h.conn.Close() }
func (h *echoHandler) Drained()         {}
func (h *echoHandler) Closed(error)     {}
