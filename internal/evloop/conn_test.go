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

// testTimeout bounds the wait for an event that must come; no test depends on its length.
const testTimeout = 60 * time.Second

// rig is a running loop and the events that the handlers of its connections were told of, in order.
type rig struct {
	t        *testing.T
	loop     *Loop
	listener *Listener
	events   chan string
	conns    chan *Conn
	onEvent  func(*Conn, string) // called on the loop before an event is recorded; may be nil
}

type recordingHandler struct {
	rig  *rig
	conn *Conn
}

func (h *recordingHandler) record(what string) {
	if h.rig.onEvent != nil {
		h.rig.onEvent(h.conn, what)
	}
	h.rig.events <- what
}

func (h *recordingHandler) Opened()      { h.record("opened") }
func (h *recordingHandler) EOF()         { h.record("ended") }
func (h *recordingHandler) Drained()     { h.record("drained") }
func (h *recordingHandler) Closed(error) { h.record("closed") }
func (h *hangupRecorder) HangupPending() { h.record("hangup pending") }

func (h *recordingHandler) Data(b []byte) {
	text := func() string { return "data " + string(b[:min(len(b), 8)]) }
	if h.rig.onEvent != nil {
		h.rig.onEvent(h.conn, text())
	}
	h.rig.events <- text() // the bytes must have lasted
}

// hangupRecorder is a recordingHandler that is a HangupObserver too.
type hangupRecorder struct{ recordingHandler }

func newRig(t *testing.T, onto func(*Conn, string)) *rig {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, loop: l, events: make(chan string, 4096), conns: make(chan *Conn, 16), onEvent: onto}
	r.listener, err = l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		r.conns <- c
		return &hangupRecorder{recordingHandler{r, c}}
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
	return r
}

func receiveWithin[V any](t *testing.T, c <-chan V) (v V) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("nothing came in time")
	}
	return v
}

// expect fails the test unless these events come next, in this order.
func (r *rig) expect(want ...string) {
	r.t.Helper()
	for _, w := range want {
		if got := receiveWithin(r.t, r.events); got != w {
			r.t.Fatalf("got event %q, want %q", got, w)
		}
	}
}

// runOnLoop runs f on the loop and waits for it.
func (r *rig) runOnLoop(f func()) {
	r.t.Helper()
	done := make(chan bool)
	_ = r.loop.Post(func() { f(); close(done) }) // receiveWithin fails the test if it did not run
	receiveWithin(r.t, done)
}

// whileBlocked runs f while the loop is blocked, so that the loop sees what f causes in one batch.
func (r *rig) whileBlocked(f func()) {
	begun, over := make(chan bool), make(chan bool)
	_ = r.loop.Post(func() { close(begun); <-over })
	receiveWithin(r.t, begun)
	f()
	close(over)
}

// post runs f on the loop in a later turn.
func (r *rig) post(f func()) {
	if err := r.loop.Post(f); err != nil {
		r.t.Error(err)
	}
}

// stopLoop ends a loop's Run.
func stopLoop(t *testing.T, l *Loop) {
	t.Helper()
	if err := l.Stop(); err != nil {
		t.Error(err)
	}
}

func (r *rig) dial() (*net.TCPConn, *Conn) {
	r.t.Helper()
	p, err := net.Dial("tcp", r.listener.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { p.Close() })
	return p.(*net.TCPConn), receiveWithin(r.t, r.conns)
}

func (r *rig) send(p io.Writer, text string) {
	r.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		r.t.Fatal(err)
	}
}

// reset ends a connection with a reset.
func reset(p *net.TCPConn) {
	p.SetLinger(0)
	p.Close()
}

// awaitEvents waits until a held loop's side has had that.
func (r *rig) awaitEvents(c *Conn, events int16) {
	r.t.Helper()
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	for fds[0].Revents&events == 0 {
		if n, err := unix.Poll(fds, int(testTimeout/time.Millisecond)); err != unix.EINTR && (err != nil || n == 0) {
			r.t.Fatalf("poll: %v", err)
		}
	}
}

// pauseAtX pauses a connection whose peer sends x.
func pauseAtX() func(*Conn, string) {
	return func(c *Conn, event string) {
		if event == "data x" {
			c.Pause()
		}
	}
}

// TestResetWhilePaused: a reset is reported at once, although nothing is read and bytes wait before it.
func TestResetWhilePaused(t *testing.T) {
	for _, more := range []string{"", "more"} {
		r := newRig(t, pauseAtX())
		p, _ := r.dial()
		r.send(p, "x")
		r.expect("data x")
		r.send(p, more)
		reset(p)
		r.expect("closed")
	}
}

// TestResetInOneEventWithPause: a reset that comes in one event with the bytes at which reading is paused has no event of its own.
func TestResetInOneEventWithPause(t *testing.T) {
	r := newRig(t, pauseAtX())
	p, c := r.dial()
	r.whileBlocked(func() {
		r.send(p, "x")
		reset(p)
		r.awaitEvents(c, unix.POLLERR)
	})
	r.expect("data x", "closed")
}

func TestEndWhilePaused(t *testing.T) {
	r := newRig(t, pauseAtX())
	p, _ := r.dial()
	r.send(p, "x")
	r.expect("data x")
	p.CloseWrite()
	r.expect("ended")
}

// TestEndBehindUnreadBytesWhilePaused: unread bytes are delivered before an end; an observer is told that it is pending.
func TestEndBehindUnreadBytesWhilePaused(t *testing.T) {
	r := newRig(t, pauseAtX())
	p, c := r.dial()
	r.send(p, "x")
	r.expect("data x")
	r.send(p, "more")
	p.CloseWrite()
	r.expect("hangup pending")
	r.runOnLoop(c.Resume)
	r.expect("data more", "ended")
}

// TestEventOfReusedDescriptor: an event may be of a connection with the same descriptor that was closed earlier in the batch. It
// must not pass for an end of the connection that has the descriptor now.
func TestEventOfReusedDescriptor(t *testing.T) {
	var old, fresh *Conn
	var r *rig
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	r = newRig(t, func(_ *Conn, event string) {
		if event != "data x" {
			return
		}
		number := old.fd
		old.Close()
		if err := unix.Dup3(pair[0], number, unix.O_CLOEXEC); err != nil {
			t.Error(err)
		}
		h := &hangupRecorder{recordingHandler{rig: r}}
		if fresh, err = r.loop.Adopt(number, h); err != nil {
			t.Error(err)
		}
		h.conn = fresh
		fresh.Pause()
	})
	p1, _ := r.dial()
	p2, c2 := r.dial()
	r.whileBlocked(func() {
		old = c2
		r.send(p1, "x")
		if _, err := unix.Write(pair[1], []byte("early")); err != nil {
			t.Error(err)
		}
		p2.Close()
		r.awaitEvents(c2, unix.POLLRDHUP)
	})
	r.expect("data x")
	r.runOnLoop(func() {}) // the batch is over
	r.runOnLoop(fresh.Resume)
	r.expect("data early")
	if err := unix.Close(pair[1]); err != nil {
		t.Error(err)
	}
	r.expect("ended")
}

// TestBrokenConnectionIsNotDrained: output that was lost with the connection has not been drained.
func TestBrokenConnectionIsNotDrained(t *testing.T) {
	r := newRig(t, nil)
	p, c := r.dial()
	r.runOnLoop(func() { c.Write(make([]byte, 32<<20)) })
	reset(p)
	r.expect("closed")
}

// TestWriteAfterReset: a failed write is reported once, in a later turn, after what the peer had sent before, and not to a handler
// that has closed the connection by then.
func TestWriteAfterReset(t *testing.T) {
	r := newRig(t, nil)
	p, c := r.dial()
	q, d := r.dial()
	r.whileBlocked(func() {
		r.send(p, "late")
		reset(p)
		r.awaitEvents(c, unix.POLLERR)
		r.send(q, "late")
		reset(q)
		r.awaitEvents(d, unix.POLLERR)
		r.post(func() {
			c.Write([]byte("a"))
			c.Write([]byte("b"))
			d.Write([]byte("a"))
			d.Close()
			r.events <- "wrote"
		})
	})
	r.expect("wrote", "data late", "closed")
	r.runOnLoop(func() {
		if len(r.events) > 0 {
			t.Errorf("then %q", <-r.events)
		}
	})
}

// TestCheckPeer: CheckPeer finds an end that the poller has yet to report, also from within another connection's Data, which
// keeps its bytes.
func TestCheckPeer(t *testing.T) {
	var other *Conn
	r := newRig(t, func(_ *Conn, event string) {
		if event == "data x" {
			other.CheckPeer()
		}
	})
	p1, _ := r.dial()
	p2, c2 := r.dial()
	r.whileBlocked(func() {
		other = c2
		r.send(p1, "x")
		r.send(p2, "last")
		p2.CloseWrite()
		r.awaitEvents(c2, unix.POLLRDHUP)
	})
	r.expect("data last")
	if got := []string{receiveWithin(t, r.events), receiveWithin(t, r.events)}; strings.Join(got, " ") != "data x ended" && strings.Join(got, " ") != "ended data x" {
		t.Errorf("got events %q", got)
	}
}

// generousBounds are never reached by a test that passes.
var generousBounds = LingerLimits{IdleTimeout: testTimeout, TotalTimeout: testTimeout, MaxBytes: 64 << 20}

// lingerAfterX sends the last message to a peer that sends x, and lingers.
func lingerAfterX(b LingerLimits, closed chan bool) func(*Conn, string) {
	return func(c *Conn, event string) {
		if event == "data x" {
			c.Write([]byte("last"))
			c.Linger(b, func() { close(closed) })
		}
	}
}

// TestLingerReadsOn: a peer that still sends gets the last message and an end, not a reset.
func TestLingerReadsOn(t *testing.T) {
	closed := make(chan bool)
	r := newRig(t, lingerAfterX(generousBounds, closed))
	p, _ := r.dial()
	r.send(p, "x")
	r.expect("data x")
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

// TestLingerSendsPendingOutput: pending output goes first, and once it has gone the peer is still read.
func TestLingerSendsPendingOutput(t *testing.T) {
	closed := make(chan bool)
	r := newRig(t, nil)
	p, c := r.dial()
	all := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	r.runOnLoop(func() {
		c.Write(all)
		c.Linger(generousBounds, func() { close(closed) })
	})
	if b, err := io.ReadAll(p); !bytes.Equal(b, all) || err != nil {
		t.Errorf("%d bytes of %d, %v", len(b), len(all), err)
	}
	select {
	case <-closed:
		t.Error("closed before the peer has ended")
	default:
	}
	r.send(p, "more")
	p.Close()
	receiveWithin(t, closed)
}

// TestLingerAtBothEnds: both sides may end in the same turn, and a peer may reset a connection that lingers.
func TestLingerAtBothEnds(t *testing.T) {
	for name, end := range map[string]func(r *rig, p *net.TCPConn, c *Conn){
		"end":   func(r *rig, p *net.TCPConn, c *Conn) { p.CloseWrite(); r.awaitEvents(c, unix.POLLRDHUP) },
		"reset": func(r *rig, p *net.TCPConn, c *Conn) { reset(p); r.awaitEvents(c, unix.POLLERR) },
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool)
			r := newRig(t, nil)
			p, c := r.dial()
			r.whileBlocked(func() {
				end(r, p, c)
				r.post(func() {
					c.Write([]byte("last"))
					c.Linger(generousBounds, func() { close(closed) })
					c.CloseWrite()
				})
			})
			receiveWithin(t, closed)
			r.runOnLoop(func() {
				if len(r.loop.conns) > 0 || len(r.events) > 0 {
					t.Errorf("%d connections, %d events", len(r.loop.conns), len(r.events))
				}
			})
		})
	}
}

// TestLingerBounds: each bound ends a connection whose peer does not.
func TestLingerBounds(t *testing.T) {
	for name, b := range map[string]LingerLimits{
		"idle":  {IdleTimeout: time.Millisecond, TotalTimeout: testTimeout, MaxBytes: 64 << 20},
		"total": {IdleTimeout: 100 * time.Millisecond, TotalTimeout: 300 * time.Millisecond, MaxBytes: 1 << 60},
		"bytes": {IdleTimeout: testTimeout, TotalTimeout: testTimeout, MaxBytes: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool)
			r := newRig(t, lingerAfterX(b, closed))
			p, _ := r.dial()
			r.send(p, "x")
			r.expect("data x")
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

// TestLingerEnd: a connection that is ended early is not reset for bytes that came by then.
func TestLingerEnd(t *testing.T) {
	r := newRig(t, nil)
	p, c := r.dial()
	closed := false
	r.whileBlocked(func() {
		r.send(p, strings.Repeat("y", 100<<10))
		r.post(func() {
			c.Write([]byte("last"))
			l := c.Linger(generousBounds, func() { closed = true })
			l.Close()
			l.Close()
		})
	})
	if b, err := io.ReadAll(p); string(b) != "last" || err != nil {
		t.Errorf("%q, %v", b, err)
	}
	r.runOnLoop(func() {
		if !closed || len(r.loop.conns) > 0 {
			t.Error("not closed")
		}
	})
	// A peer that has read an end would not notice a reset behind it, so its socket is asked.
	raw, err := p.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if errno, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); errno != 0 || err != nil {
			t.Errorf("the peer's socket has %v, %v", unix.Errno(errno), err)
		}
	})
	if err != nil {
		t.Error(err)
	}
}

// TestAcceptWithoutDescriptors: accepting when no descriptor is left neither spins nor gives up.
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
	// The limit is the process's: what is open stays, nothing more comes.
	var was, now unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	now = was
	now.Cur = 0
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &now); err != nil {
		t.Fatal(err)
	}
	const pauses = 10
	began := l.Now()
	l.After(pauses*acceptRetryDelay, func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
			t.Error(err)
		}
		if most := int((l.Now()-began)/acceptRetryDelay) + 1; failed == 0 || failed > most {
			t.Errorf("tried %d times, want 1 to %d", failed, most)
		}
	})
	if err := l.Run(); err != nil {
		t.Error(err)
	}
	if accepted != 1 {
		t.Errorf("%d accepted", accepted)
	}
}
