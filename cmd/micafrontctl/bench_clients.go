package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micafront/internal/fakes"
)

// dialRetryInterval is the time between attempts to reach a proxy that is starting.
const dialRetryInterval = 200 * time.Microsecond

// waitForPong waits until the proxy at addr answers a PING. It returns an error after the deadline.
func waitForPong(addr string, deadline time.Time) error {
	for time.Now().Before(deadline) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(dialRetryInterval)
			continue
		}
		_, _ = io.WriteString(conn, "PING\r\n") // a failed write also fails the read below
		line, err := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close() // no data is expected after the answer
		if err == nil && line == "PONG\r\n" {
			return nil
		}
	}
	return fmt.Errorf("the proxy at %s did not answer PING before the deadline", addr)
}

// openConnection sets up a connection through the proxy. It returns the connection and its reader, which may have buffered
// data beyond the answer.
func openConnection(addr, key string) (*net.TCPConn, *bufio.Reader, error) {
	dialed, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	conn := dialed.(*net.TCPConn)
	_, _ = fmt.Fprintf(conn, "OPEN %s %s c=feed,d=20000\r\n", fakes.NextID(), key) // a failed write also fails the read below
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "UP ") {
		err = fmt.Errorf("setting up a connection: the proxy answered %q", line)
	}
	if err != nil {
		return nil, nil, errors.Join(err, conn.Close())
	}
	return conn, reader, nil
}

// runClients runs c.Parallel clients, each in a goroutine, until count calls of next have returned true, and returns the
// elapsed time. client must return when next returns false.
func (c *benchProxyCommand) runClients(count int, client func(number int, next func() bool) error) (time.Duration, error) {
	var remaining atomic.Int64
	remaining.Store(int64(count))
	began := time.Now()
	var wg sync.WaitGroup
	errs := make(chan error, c.Parallel)
	for number := range c.Parallel {
		wg.Go(func() { errs <- client(number, func() bool { return remaining.Add(-1) >= 0 }) })
	}
	wg.Wait()
	elapsed := time.Since(began)
	for range c.Parallel {
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	return elapsed, nil
}

// setUpConnections sets up and closes connections with random keys.
func (c *benchProxyCommand) setUpConnections(addr string) (time.Duration, error) {
	return c.runClients(c.Setups, func(number int, next func() bool) error {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(number)))
		for next() {
			conn, _, err := openConnection(addr, fmt.Sprintf("%016x", rng.Uint64()))
			if err != nil {
				return err
			}
			_ = conn.SetLinger(0) // close with a reset so that no port remains in TIME_WAIT
			_ = conn.Close()      // no further data is expected
		}
		return nil
	})
}

// exchangeLines sends lines over one connection per client, and reads the answers.
func (c *benchProxyCommand) exchangeLines(addr string) (time.Duration, error) {
	return c.runClients(c.Lines, func(number int, next func() bool) error {
		conn, reader, err := openConnection(addr, fmt.Sprint("talk-", number))
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }() // no further data is expected
		for next() {
			if _, err := io.WriteString(conn, "M 12345678\r\n"); err != nil {
				return err
			}
			if _, err := reader.ReadSlice('\n'); err != nil {
				return err
			}
		}
		return nil
	})
}
