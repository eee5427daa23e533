package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// T is the subset of testing.TB that the scripted peers use.
type T interface {
	Helper()
	Fatal(args ...any)
	Fatalf(form string, args ...any)
	Cleanup(func())
}

// Peer is one end of a connection that exchanges lines of text.
type Peer struct {
	*net.TCPConn
	t      T
	reader *bufio.Reader
}

// NewPeer returns a peer for a TCP connection, which is closed at the end of the test.
func NewPeer(t T, conn net.Conn) *Peer {
	t.Cleanup(func() { conn.Close() })
	return &Peer{TCPConn: conn.(*net.TCPConn), t: t, reader: bufio.NewReader(conn)}
}

// Dial connects to a TCP address of the form host:port. It fails the test on an error.
func Dial(t T, addr string) *Peer {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return NewPeer(t, conn)
}

// Send writes a text without adding a line end. It fails the test on an error.
func (p *Peer) Send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatalf("send %q: %v", text, err)
	}
}

// ReadLine returns the next line without its line end. At the end of the connection it returns "EOF", or "RST" after a reset.
// For an incomplete line it returns the bytes read, "|" and the error. It fails the test if no bytes arrive within WaitTimeout
// or on another error.
func (p *Peer) ReadLine() string {
	p.t.Helper()
	_ = p.SetReadDeadline(time.Now().Add(WaitTimeout)) // fails only on a closed connection, where the read fails too
	line, err := p.reader.ReadString('\n')
	switch {
	case err == nil:
		return strings.TrimSuffix(line, "\r\n")
	case line != "":
		return line + "|" + err.Error()
	case errors.Is(err, io.EOF):
		return "EOF"
	case errors.Is(err, syscall.ECONNRESET):
		return "RST"
	}
	p.t.Fatalf("read: %v", err)
	return ""
}

// ReadLineErr returns the next line without its line end, or an error. Unlike ReadLine, it has no timeout and never fails the
// test, so a goroutine that outlives the test may call it.
func (p *Peer) ReadLineErr() (string, error) {
	_ = p.SetReadDeadline(time.Time{}) // fails only on a closed connection, where the read fails too
	line, err := p.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// Await returns the next value from a channel. It fails the test after WaitTimeout.
func Await[V any](t T, values <-chan V) (value V) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(WaitTimeout):
		t.Fatal("timed out waiting for a value")
	}
	return value
}

var lastID atomic.Int64

// NextID returns a request id that is unique in this process.
func NextID() string { return fmt.Sprintf("id%d", lastID.Add(1)) }

// PreviousID returns an earlier result of NextID: the latest if newer is 0, else the one followed by that many newer ids.
func PreviousID(newer int64) string { return fmt.Sprintf("id%d", lastID.Load()-newer) }
