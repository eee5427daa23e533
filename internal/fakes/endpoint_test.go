package fakes

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// TestRejectedAttemptEndsBeforeBusy checks that the endpoint reports the end of an attempt before it sends BUSY. Otherwise the
// checker could take the proxy's next attempt for a second concurrent one.
func TestRejectedAttemptEndsBeforeBusy(t *testing.T) {
	const requests = 500
	checker := NewProtocolChecker()
	endpoint, err := NewEndpoint(Entry{ID: "s-1"}, checker, 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Stop)
	for i := range requests {
		request := fmt.Sprint("r", i)
		client := Dial(t, endpoint.Addr)
		client.Send("OPEN " + request + " key c=feed\r\n")
		if got := client.ReadLine(); got != "BUSY" {
			t.Fatalf("got answer %q, want BUSY", got)
		}
		checker.AttemptStarted(request, "s-2", time.Now())
		client.Close()
	}
	if violations := checker.Violations(); len(violations) > 0 {
		t.Errorf("%d of %d requests reported as violations, the first: %s", len(violations), requests, violations[0])
	}
}

// TestStopClosesConnectionAcceptedLast checks that a connection that is accepted after Stop has closed the others is closed
// too. Otherwise Stop would wait for its goroutine until the client closes the connection.
func TestStopClosesConnectionAcceptedLast(t *testing.T) {
	endpoint, err := NewEndpoint(Entry{ID: "s-1"}, NewProtocolChecker(), 1, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	endpoint.Stop()
	client, server := net.Pipe()
	defer client.Close()
	endpoint.listener = &lateListener{conn: server}
	endpoint.running.Go(endpoint.acceptConns)
	_ = client.SetDeadline(time.Now().Add(20 * time.Second)) // net.Pipe supports deadlines
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("read returned %v, want EOF from a closed connection", err)
	}
	endpoint.running.Wait()
}

// lateListener accepts one connection after it has been closed.
type lateListener struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}
