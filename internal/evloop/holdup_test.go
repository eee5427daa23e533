package evloop

import (
	"net"
	"testing"
	"time"
)

// TestCallsWaitUntilCaughtUp holds the loop up while data comes on one connection and the end of many others: a call that the data
// causes must wait for all the ends, whatever the order of the poller.
func TestCallsWaitUntilCaughtUp(t *testing.T) {
	const others = 300 // more than the poller reports at once, or one turn accepts
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	ended := 0
	endedAtCall := -1
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		return &endCounter{conn: c, ended: &ended, onData: func() {
			l.AfterCatchUp(func() {
				endedAtCall = ended
				stopLoop(t, l)
			})
		}}
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	busy := make(chan struct{})
	postLoop(t, l, func() {
		close(busy)
		time.Sleep(20 * holdUpThreshold)
	})
	done := make(chan error)
	go func() { done <- l.Run() }()
	<-busy
	first := dialTest(t, listener.Addr())
	defer func() { _ = first.Close() }()
	writeAll(t, first, []byte("request"))
	for range others {
		_ = dialTest(t, listener.Addr()).Close()
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the call was never made")
	}
	if endedAtCall != others {
		t.Errorf("%d of %d connections had ended for the loop at the call", endedAtCall, others)
	}
	if l.HeldUp() {
		t.Error("the loop is still held up")
	}
}

// TestFloodDoesNotKeepCallsWaiting: connections that go on coming must not put off for ever what waits for the loop to catch up.
func TestFloodDoesNotKeepCallsWaiting(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	postLoop(t, l, func() {
		l.noteHoldUp(l.Now())
		l.acceptsScheduled++ // as if a queue never ran dry
		l.AfterCatchUp(func() { stopLoop(t, l) })
	})
	done := make(chan error)
	go func() { done <- l.Run() }()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the call was never made")
	}
}

// TestReceivedAtIsBeforeHoldUp: bytes that came while the loop was held up are as old as they are.
func TestReceivedAtIsBeforeHoldUp(t *testing.T) {
	const heldUpFor = 300 * time.Millisecond
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	var age time.Duration
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		return &endCounter{conn: c, ended: new(int), onData: func() {
			age = l.Now() - c.ReceivedAt()
			stopLoop(t, l)
		}}
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	client := dialTest(t, listener.Addr())
	defer func() { _ = client.Close() }()
	writeAll(t, client, []byte("request"))
	time.Sleep(heldUpFor) // the loop does not run yet
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if age < heldUpFor-50*time.Millisecond || age > heldUpFor+500*time.Millisecond {
		t.Errorf("the bytes were taken to be %v old, they waited %v", age, heldUpFor)
	}
}

// endCounter counts the ends of connections and calls onData for data.
type endCounter struct {
	conn   *Conn
	ended  *int
	onData func()
}

func (h *endCounter) Opened()      {}
func (h *endCounter) Data([]byte)  { h.onData() }
func (h *endCounter) EOF()         { *h.ended++; h.conn.Close() }
func (h *endCounter) Drained()     {}
func (h *endCounter) Closed(error) { *h.ended++ }

func postLoop(t *testing.T, l *Loop, f func()) {
	t.Helper()
	if err := l.Post(f); err != nil {
		t.Fatal(err)
	}
}

func dialTest(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}
