package evloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testTimeout bounds the wait for an event that must occur. No test depends on its length.
const testTimeout = 60 * time.Second

// loopFixture contains a running loop and the events of its connections' handlers, in order.
type loopFixture struct {
	t        *testing.T
	loop     *Loop
	listener *Listener
	events   chan string
	conns    chan *Conn
	onEvent  func(*Conn, string) // called on the loop before an event is recorded; may be nil
}

// recordingHandler is a Handler that records its calls as events.
type recordingHandler struct {
	fixture *loopFixture
	conn    *Conn
}

func (h *recordingHandler) record(what string) {
	if h.fixture.onEvent != nil {
		h.fixture.onEvent(h.conn, what)
	}
	h.fixture.events <- what
}

func (h *recordingHandler) Opened()      { h.record("opened") }
func (h *recordingHandler) EOF()         { h.record("eof") }
func (h *recordingHandler) Drained()     { h.record("drained") }
func (h *recordingHandler) Closed(error) { h.record("closed") }
func (h *hangupRecorder) HangupPending() { h.record("hangup pending") }

func (h *recordingHandler) Data(b []byte) {
	text := func() string { return "data " + string(b[:min(len(b), 8)]) }
	if h.fixture.onEvent != nil {
		h.fixture.onEvent(h.conn, text())
	}
	h.fixture.events <- text() // fails if onEvent overwrote the bytes
}

// hangupRecorder is a recordingHandler that also implements HangupObserver.
type hangupRecorder struct{ recordingHandler }

// newLoopFixture starts a loop with a listener. The loop stops at the end of the test.
func newLoopFixture(t *testing.T, onEvent func(*Conn, string)) *loopFixture {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	lf := &loopFixture{t: t, loop: l, events: make(chan string, 4096), conns: make(chan *Conn, 16), onEvent: onEvent}
	lf.listener, err = l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		lf.conns <- c
		return &hangupRecorder{recordingHandler{lf, c}}
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		if err := l.Stop(); err != nil {
			t.Error(err)
		}
		if err := receiveWithin(t, done); err != nil {
			t.Error(err)
		}
	})
	return lf
}

// receiveWithin returns the next value of a channel. It fails the test after testTimeout.
func receiveWithin[V any](t *testing.T, c <-chan V) (v V) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("no value was received in time")
	}
	return v
}

// expect fails the test unless these are the next events, in this order.
func (lf *loopFixture) expect(want ...string) {
	lf.t.Helper()
	for _, w := range want {
		if got := receiveWithin(lf.t, lf.events); got != w {
			lf.t.Fatalf("got event %q, want %q", got, w)
		}
	}
}

// runOnLoop runs f on the loop and waits for it.
func (lf *loopFixture) runOnLoop(f func()) {
	lf.t.Helper()
	done := make(chan bool)
	_ = lf.loop.Post(func() { f(); close(done) }) // receiveWithin fails the test if it did not run
	receiveWithin(lf.t, done)
}

// whileBlocked runs f while the loop is blocked, so that the poller reports all events that f causes in one batch.
func (lf *loopFixture) whileBlocked(f func()) {
	blocked, unblock := make(chan bool), make(chan bool)
	_ = lf.loop.Post(func() { close(blocked); <-unblock })
	receiveWithin(lf.t, blocked)
	f()
	close(unblock)
}

// post runs f on the loop in a later turn.
func (lf *loopFixture) post(f func()) {
	if err := lf.loop.Post(f); err != nil {
		lf.t.Error(err)
	}
}

// stopLoop makes a loop's Run return.
func stopLoop(t *testing.T, l *Loop) {
	t.Helper()
	if err := l.Stop(); err != nil {
		t.Error(err)
	}
}

// dial connects a client to the listener and returns both sides of the connection.
func (lf *loopFixture) dial() (*net.TCPConn, *Conn) {
	lf.t.Helper()
	p, err := net.Dial("tcp", lf.listener.Addr())
	if err != nil {
		lf.t.Fatal(err)
	}
	lf.t.Cleanup(func() { p.Close() })
	return p.(*net.TCPConn), receiveWithin(lf.t, lf.conns)
}

// send writes text to p and fails the test if that fails.
func (lf *loopFixture) send(p io.Writer, text string) {
	lf.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		lf.t.Fatal(err)
	}
}

// reset closes a connection with a reset.
func reset(p *net.TCPConn) {
	p.SetLinger(0)
	p.Close()
}

// awaitEvents waits until the kernel reports one of the poll events for the connection, independently of the loop.
func (lf *loopFixture) awaitEvents(c *Conn, events int16) {
	lf.t.Helper()
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	for fds[0].Revents&events == 0 {
		if n, err := unix.Poll(fds, int(testTimeout/time.Millisecond)); err != unix.EINTR && (err != nil || n == 0) {
			lf.t.Fatalf("poll: %v", err)
		}
	}
}

// pauseOnX returns an event callback that pauses a connection when its peer sends x.
func pauseOnX() func(*Conn, string) {
	return func(c *Conn, event string) {
		if event == "data x" {
			c.Pause()
		}
	}
}

// TestResetWhilePaused checks that a reset is reported while reading is paused, with and without unread bytes before it.
func TestResetWhilePaused(t *testing.T) {
	for _, more := range []string{"", "more"} {
		lf := newLoopFixture(t, pauseOnX())
		p, _ := lf.dial()
		lf.send(p, "x")
		lf.expect("data x")
		lf.send(p, more)
		reset(p)
		lf.expect("closed")
	}
}

// TestResetInSameEventAsPausingData checks that a reset is reported if the poller reports it in one event with the bytes that
// make the handler pause reading. No separate event follows for the reset.
func TestResetInSameEventAsPausingData(t *testing.T) {
	lf := newLoopFixture(t, pauseOnX())
	p, c := lf.dial()
	lf.whileBlocked(func() {
		lf.send(p, "x")
		reset(p)
		lf.awaitEvents(c, unix.POLLERR)
	})
	lf.expect("data x", "closed")
}

func TestEOFWhilePaused(t *testing.T) {
	lf := newLoopFixture(t, pauseOnX())
	p, _ := lf.dial()
	lf.send(p, "x")
	lf.expect("data x")
	p.CloseWrite()
	lf.expect("eof")
}

// TestEOFAfterUnreadBytesWhilePaused checks that HangupPending is called for an EOF after unread bytes, and that the bytes are
// delivered before the EOF.
func TestEOFAfterUnreadBytesWhilePaused(t *testing.T) {
	lf := newLoopFixture(t, pauseOnX())
	p, c := lf.dial()
	lf.send(p, "x")
	lf.expect("data x")
	lf.send(p, "more")
	p.CloseWrite()
	lf.expect("hangup pending")
	lf.runOnLoop(c.Resume)
	lf.expect("data more", "eof")
}

// TestEventOfReusedDescriptor checks that an event of a connection that was closed earlier in the batch is not taken for an EOF
// of a new connection with the same descriptor.
func TestEventOfReusedDescriptor(t *testing.T) {
	var old, reused *Conn
	var lf *loopFixture
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	lf = newLoopFixture(t, func(_ *Conn, event string) {
		if event != "data x" {
			return
		}
		fd := old.fd
		old.Close()
		if err := unix.Dup3(pair[0], fd, unix.O_CLOEXEC); err != nil {
			t.Error(err)
		}
		h := &hangupRecorder{recordingHandler{fixture: lf}}
		if reused, err = lf.loop.Adopt(fd, h); err != nil {
			t.Error(err)
		}
		h.conn = reused
		reused.Pause()
	})
	p1, _ := lf.dial()
	p2, c2 := lf.dial()
	lf.whileBlocked(func() {
		old = c2
		lf.send(p1, "x")
		if _, err := unix.Write(pair[1], []byte("early")); err != nil {
			t.Error(err)
		}
		p2.Close()
		lf.awaitEvents(c2, unix.POLLRDHUP)
	})
	lf.expect("data x")
	lf.runOnLoop(func() {}) // after this the batch has been processed
	lf.runOnLoop(reused.Resume)
	lf.expect("data early")
	if err := unix.Close(pair[1]); err != nil {
		t.Error(err)
	}
	lf.expect("eof")
}

// TestBrokenConnectionIsNotDrained checks that Drained is not called for output that was lost with the connection.
func TestBrokenConnectionIsNotDrained(t *testing.T) {
	lf := newLoopFixture(t, nil)
	p, c := lf.dial()
	lf.runOnLoop(func() { c.Write(make([]byte, 32<<20)) })
	reset(p)
	lf.expect("closed")
}

// TestWriteAfterReset checks that a failed write is reported once, in a later turn and after the bytes that the peer had sent,
// and that it is not reported to a handler that has closed the connection by then.
func TestWriteAfterReset(t *testing.T) {
	lf := newLoopFixture(t, nil)
	p, c := lf.dial()
	q, d := lf.dial()
	lf.whileBlocked(func() {
		lf.send(p, "late")
		reset(p)
		lf.awaitEvents(c, unix.POLLERR)
		lf.send(q, "late")
		reset(q)
		lf.awaitEvents(d, unix.POLLERR)
		lf.post(func() {
			c.Write([]byte("a"))
			c.Write([]byte("b"))
			d.Write([]byte("a"))
			d.Close()
			lf.events <- "wrote"
		})
	})
	lf.expect("wrote", "data late", "closed")
	lf.runOnLoop(func() {
		if len(lf.events) > 0 {
			t.Errorf("got the additional event %q", <-lf.events)
		}
	})
}

// TestCheckPeer checks that CheckPeer finds an EOF that the poller has not reported yet, also from within another connection's
// Data, whose bytes it does not overwrite.
func TestCheckPeer(t *testing.T) {
	var other *Conn
	lf := newLoopFixture(t, func(_ *Conn, event string) {
		if event == "data x" {
			other.CheckPeer()
		}
	})
	p1, _ := lf.dial()
	p2, c2 := lf.dial()
	lf.whileBlocked(func() {
		other = c2
		lf.send(p1, "x")
		lf.send(p2, "last")
		p2.CloseWrite()
		lf.awaitEvents(c2, unix.POLLRDHUP)
	})
	lf.expect("data last")
	if got := []string{receiveWithin(t, lf.events), receiveWithin(t, lf.events)}; strings.Join(got, " ") != "data x eof" && strings.Join(got, " ") != "eof data x" {
		t.Errorf("got events %q", got)
	}
}

// generousLimits are limits that a passing test never reaches.
var generousLimits = LingerLimits{IdleTimeout: testTimeout, TotalTimeout: testTimeout, MaxBytes: 64 << 20}

// lingerAfterX returns an event callback that sends a last message and lingers when the peer sends x.
func lingerAfterX(b LingerLimits, closed chan bool) func(*Conn, string) {
	return func(c *Conn, event string) {
		if event == "data x" {
			c.Write([]byte("last"))
			c.Linger(b, func() { close(closed) })
		}
	}
}

// TestLingerDiscardsInput checks that a peer that still sends receives the last message and an EOF, not a reset.
func TestLingerDiscardsInput(t *testing.T) {
	closed := make(chan bool)
	lf := newLoopFixture(t, lingerAfterX(generousLimits, closed))
	p, _ := lf.dial()
	lf.send(p, "x")
	lf.expect("data x")
	for range 16 {
		if _, err := p.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if b, err := io.ReadAll(p); string(b) != "last" || err != nil {
		t.Errorf("%q, %v", b, err)
	}
	p.Close()
	receiveWithin(t, closed)
}

// TestLingerSendsPendingOutput checks that pending output is sent first, and that input is still read afterward.
func TestLingerSendsPendingOutput(t *testing.T) {
	closed := make(chan bool)
	lf := newLoopFixture(t, nil)
	p, c := lf.dial()
	all := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	lf.runOnLoop(func() {
		c.Write(all)
		c.Linger(generousLimits, func() { close(closed) })
	})
	if b, err := io.ReadAll(p); !bytes.Equal(b, all) || err != nil {
		t.Errorf("%d bytes of %d, %v", len(b), len(all), err)
	}
	select {
	case <-closed:
		t.Error("the connection was closed before the peer closed it")
	default:
	}
	lf.send(p, "more")
	p.Close()
	receiveWithin(t, closed)
}

// TestLingerWhenPeerEndsInSameTurn checks that a lingering connection is closed if its peer closes or resets it in the same
// turn.
func TestLingerWhenPeerEndsInSameTurn(t *testing.T) {
	for name, end := range map[string]func(lf *loopFixture, p *net.TCPConn, c *Conn){
		"end":   func(lf *loopFixture, p *net.TCPConn, c *Conn) { p.CloseWrite(); lf.awaitEvents(c, unix.POLLRDHUP) },
		"reset": func(lf *loopFixture, p *net.TCPConn, c *Conn) { reset(p); lf.awaitEvents(c, unix.POLLERR) },
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool)
			lf := newLoopFixture(t, nil)
			p, c := lf.dial()
			lf.whileBlocked(func() {
				end(lf, p, c)
				lf.post(func() {
					c.Write([]byte("last"))
					c.Linger(generousLimits, func() { close(closed) })
					c.CloseWrite()
				})
			})
			receiveWithin(t, closed)
			lf.runOnLoop(func() {
				if len(lf.loop.conns) > 0 || len(lf.events) > 0 {
					t.Errorf("%d connections and %d events are left, want none", len(lf.loop.conns), len(lf.events))
				}
			})
		})
	}
}

// TestLingerLimits checks that each limit closes a connection whose peer does not close it.
func TestLingerLimits(t *testing.T) {
	for name, b := range map[string]LingerLimits{
		"idle":  {IdleTimeout: time.Millisecond, TotalTimeout: testTimeout, MaxBytes: 64 << 20},
		"total": {IdleTimeout: 100 * time.Millisecond, TotalTimeout: 300 * time.Millisecond, MaxBytes: 1 << 60},
		"bytes": {IdleTimeout: testTimeout, TotalTimeout: testTimeout, MaxBytes: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool)
			lf := newLoopFixture(t, lingerAfterX(b, closed))
			p, _ := lf.dial()
			lf.send(p, "x")
			lf.expect("data x")
			var wg sync.WaitGroup
			defer wg.Wait()
			defer p.Close()
			if name != "idle" {
				wg.Go(func() {
					for {
						if _, err := p.Write(make([]byte, 1<<16)); err != nil {
							return
						}
					}
				})
			}
			receiveWithin(t, closed)
		})
	}
}

// TestLingeringCloseReadsInputFirst checks that Lingering.Close does not reset a connection because of bytes that had already
// arrived.
func TestLingeringCloseReadsInputFirst(t *testing.T) {
	lf := newLoopFixture(t, nil)
	p, c := lf.dial()
	closed := false
	lf.whileBlocked(func() {
		lf.send(p, strings.Repeat("y", 100<<10))
		lf.post(func() {
			c.Write([]byte("last"))
			l := c.Linger(generousLimits, func() { closed = true })
			l.Close()
			l.Close()
		})
	})
	if b, err := io.ReadAll(p); string(b) != "last" || err != nil {
		t.Errorf("%q, %v", b, err)
	}
	lf.runOnLoop(func() {
		if !closed || len(lf.loop.conns) > 0 {
			t.Error("the connection was not closed")
		}
	})
	// Reads of the peer do not return a reset that follows an EOF, so its socket's error is checked.
	raw, err := p.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if errno, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); errno != 0 || err != nil {
			t.Errorf("the peer's socket has the error %v, %v", unix.Errno(errno), err)
		}
	})
	if err != nil {
		t.Error(err)
	}
}

// TestAcceptWithoutDescriptors checks that accepting pauses between attempts while the process is out of descriptors, and
// succeeds afterward.
func TestAcceptWithoutDescriptors(t *testing.T) {
	var failed, accepted int
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	var ln *Listener
	ln, err = l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		accepted++
		stopLoop(t, l)
		return &funcHandler{c, func(*Conn) {}}
	}, func(err error) {
		failed++
		if !errors.Is(err, syscall.EMFILE) {
			t.Error(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	p, err := net.Dial("tcp", ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	// With this limit open descriptors stay valid, but the process cannot open another one.
	var original, reduced unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &original); err != nil {
		t.Fatal(err)
	}
	reduced = original
	reduced.Cur = 0
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &reduced); err != nil {
		t.Fatal(err)
	}
	const retries = 10
	startedAt := l.Now()
	l.After(retries*acceptRetryDelay, func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &original); err != nil {
			t.Error(err)
		}
		if most := int((l.Now()-startedAt)/acceptRetryDelay) + 1; failed == 0 || failed > most {
			t.Errorf("tried %d times, want 1 to %d", failed, most)
		}
	})
	if err := l.Run(); err != nil {
		t.Error(err)
	}
	if accepted != 1 {
		t.Errorf("%d connections were accepted, want 1", accepted)
	}
}
