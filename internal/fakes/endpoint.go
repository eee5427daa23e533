package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Endpoint is an autonomous endpoint. It accepts connections up to a limit, takes a set-up time for each, and echoes lines. It
// answers BUSY to connections beyond the limit and while it drains.
type Endpoint struct {
	Entry
	checker  *ProtocolChecker
	listener net.Listener

	mu           sync.Mutex
	maxConns     int
	setupTime    time.Duration
	unresponsive bool
	draining     bool
	stopped      bool // set by Stop before it closes conns
	conns        map[net.Conn]bool
	established  int
	running      sync.WaitGroup // goroutines of the listener and the connections
}

// NewEndpoint starts an endpoint that accepts up to maxConns connections and takes setupTime to set up each. It listens on a
// free loopback port and replaces the entry's address with its own.
func NewEndpoint(entry Entry, checker *ProtocolChecker, maxConns int, setupTime time.Duration) (*Endpoint, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	entry.Addr = listener.Addr().String()
	e := &Endpoint{
		Entry:     entry,
		checker:   checker,
		listener:  listener,
		maxConns:  maxConns,
		setupTime: setupTime,
		conns:     map[net.Conn]bool{},
	}
	e.running.Go(e.acceptConns)
	return e, nil
}

// Established returns the number of connections that are established or being set up.
func (e *Endpoint) Established() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.established
}

// SetSetupTime changes the set-up time of new connections.
func (e *Endpoint) SetSetupTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setupTime = d
}

// SetUnresponsive sets whether the endpoint reads lines without echoing them.
func (e *Endpoint) SetUnresponsive(unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = unresponsive
}

// Drain makes the endpoint answer BUSY to new connections.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Stop closes the listener and all connections, and waits for their goroutines to end.
func (e *Endpoint) Stop() {
	e.listener.Close()
	e.mu.Lock()
	e.stopped = true
	for conn := range e.conns {
		conn.Close()
	}
	e.mu.Unlock()
	e.running.Wait()
}

// acceptConns serves connections until the listener is closed.
func (e *Endpoint) acceptConns() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		if !e.register(conn) {
			conn.Close()
			return
		}
		e.running.Go(func() { e.serve(conn) })
	}
}

// register adds a connection to those that Stop closes. It returns false if Stop has already closed them, which happens when
// the connection was accepted just before the listener was closed.
func (e *Endpoint) register(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return false
	}
	e.conns[conn] = true
	return true
}

// serve serves one connection until it ends.
func (e *Endpoint) serve(conn net.Conn) {
	defer e.closeConn(conn)
	reader := bufio.NewReader(conn)
	request, ok := e.readRequest(conn, reader)
	if !ok {
		return
	}
	e.checker.AttemptStarted(request, e.ID, time.Now())
	defer e.checker.AttemptEnded(request, e.ID)
	setupTime, ok := e.reserve()
	if !ok {
		e.checker.UpdateCounts(func(c *Counts) { c.EndpointBusy++ })
		e.checker.AttemptEnded(request, e.ID)   // before BUSY, because the proxy may start the next attempt when it reads BUSY
		_, _ = io.WriteString(conn, "BUSY\r\n") // the proxy may have closed the connection
		return
	}
	defer e.release()
	time.Sleep(setupTime)
	if _, err := fmt.Fprintf(conn, "UP %s-%s\r\n", e.ID, request); err != nil {
		return
	}
	e.checker.UpdateCounts(func(c *Counts) { c.Established++ })
	e.echo(conn, reader)
}

// closeConn closes a connection and removes it from those that Stop closes.
func (e *Endpoint) closeConn(conn net.Conn) {
	conn.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
}

// readRequest answers load queries until the first line of a request arrives, and returns the request's id.
func (e *Endpoint) readRequest(conn net.Conn, reader *bufio.Reader) (request string, ok bool) {
	line, err := reader.ReadString('\n')
	for ; err == nil && line == "STATS\r\n"; line, err = reader.ReadString('\n') {
		if err := e.reportLoad(conn); err != nil {
			return "", false
		}
	}
	words := strings.Fields(line) // OPEN, id, key and parameters
	if err != nil || len(words) != 4 || words[0] != "OPEN" {
		return "", false
	}
	return words[1], true
}

// reportLoad answers a load query. inflight is the number of connections, x0 their fraction of the limit.
func (e *Endpoint) reportLoad(conn net.Conn) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, err := fmt.Fprintf(conn, "PONG inflight=%d,x0=%g\r\n", e.established, float64(e.established)/float64(e.maxConns))
	return err
}

// reserve counts a new connection and returns its set-up time. It returns false if the endpoint is full or draining.
func (e *Endpoint) reserve() (setupTime time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining || e.established >= e.maxConns {
		return 0, false
	}
	e.established++
	return e.setupTime, true
}

// release undoes reserve when the connection ends.
func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.established--
}

// echo sends each line back until the connection ends, unless the endpoint is unresponsive.
func (e *Endpoint) echo(conn net.Conn, reader *bufio.Reader) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		e.mu.Lock()
		unresponsive := e.unresponsive
		e.mu.Unlock()
		if unresponsive {
			continue
		}
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}
