package evloop

import (
	"net"
	"testing"
	"time"
)

// TestCallsWaitUntilCaughtUp checks that a call which depends on the order of events waits until the loop has handled all
// events of a hold-up, whatever the poller's order: during the hold-up one client sends data and many others disconnect.
func TestCallsWaitUntilCaughtUp(t *testing.T) {
	const otherClients = 300 // more events than the poller reports at once, and more connections than one turn accepts
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	disconnects := 0
	disconnectsAtCall := -1
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		return &disconnectCounter{conn: c, disconnects: &disconnects, onData: func() {
			l.AfterCatchUp(func() {
				disconnectsAtCall = disconnects
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
	for range otherClients {
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
	if disconnectsAtCall != otherClients {
		t.Errorf("the loop had handled %d of %d disconnects at the call", disconnectsAtCall, otherClients)
	}
	if l.HeldUp() {
		t.Error("the loop is still held up")
	}
}

// TestFloodDoesNotDelayCallsForever checks that deferred calls run even if accept queues never become empty.
func TestFloodDoesNotDelayCallsForever(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	postLoop(t, l, func() {
		l.recordHoldUp(l.Now())
		l.acceptsScheduled++ // as if an accept queue never became empty
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

// TestReceivedAtDuringHoldUp checks that ReceivedAt includes the time that bytes waited while the loop did not run.
func TestReceivedAtDuringHoldUp(t *testing.T) {
	const heldUpFor = 300 * time.Millisecond
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	var age time.Duration
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		return &disconnectCounter{conn: c, disconnects: new(int), onData: func() {
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
	time.Sleep(heldUpFor) // the loop does not run during this time
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if age < heldUpFor-50*time.Millisecond || age > heldUpFor+500*time.Millisecond {
		t.Errorf("ReceivedAt reports that the bytes are %v old, but they waited %v", age, heldUpFor)
	}
}

// disconnectCounter is a Handler that counts disconnects and calls onData for received data.
type disconnectCounter struct {
	conn        *Conn
	disconnects *int
	onData      func()
}

func (h *disconnectCounter) Opened()      {}
func (h *disconnectCounter) Data([]byte)  { h.onData() }
func (h *disconnectCounter) EOF()         { *h.disconnects++; h.conn.Close() }
func (h *disconnectCounter) Drained()     {}
func (h *disconnectCounter) Closed(error) { *h.disconnects++ }

// postLoop posts f to the loop and fails the test if that fails.
func postLoop(t *testing.T, l *Loop, f func()) {
	t.Helper()
	if err := l.Post(f); err != nil {
		t.Fatal(err)
	}
}

// dialTest connects to addr and fails the test if that fails.
func dialTest(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}
