package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"example.org/micafront/internal/fakes"
)

// openRetryDelay is the delay between attempts to open a connection.
const openRetryDelay = 20 * time.Millisecond

// PersistentConns holds one long-lived connection to each proxy. It sends a line over each connection every second and waits for
// the echo.
type PersistentConns struct {
	Opened int // number of connections opened

	cancel context.CancelFunc // ends the goroutines of the connections
	wg     sync.WaitGroup

	mu       sync.Mutex
	failures []string
}

// OpenPersistentConns opens a connection to each proxy.
func (f *Fleet) OpenPersistentConns() (*PersistentConns, error) {
	ctx, cancel := context.WithCancel(f.ctx)
	conns := &PersistentConns{Opened: len(f.Proxies), cancel: cancel}
	err := f.forEachProxy(f.Proxies, func(proxy *Proxy) error { return conns.open(ctx, proxy) })
	if err != nil {
		conns.Close()
		return nil, err
	}
	return conns, nil
}

// open opens a connection to a proxy. It retries, because a proxy may refuse a request at any time.
func (c *PersistentConns) open(ctx context.Context, proxy *Proxy) error {
	openCtx, cancel := context.WithTimeout(ctx, fakes.WaitTimeout)
	defer cancel()
	for openCtx.Err() == nil {
		conn, err := net.Dial("tcp", proxy.Addr())
		if err != nil {
			pause(openCtx, openRetryDelay)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(fakes.WaitTimeout)) // fails only on a closed connection, as do the calls below
		reader := bufio.NewReader(conn)
		word, err := open(conn, reader, fakes.NextID(), PlainClass)
		if err != nil || word != "UP" {
			conn.Close()
			pause(openCtx, openRetryDelay)
			continue
		}
		c.wg.Go(func() { c.exchange(ctx, proxy, conn, reader) })
		return nil
	}
	return fmt.Errorf("opening a persistent connection at %s: %w", proxy.Name, openCtx.Err())
}

// exchange sends a line every second until the context or the connection ends. The timeout for an echo is long because a proxy
// may be paused.
func (c *PersistentConns) exchange(ctx context.Context, proxy *Proxy, conn net.Conn, reader *bufio.Reader) {
	defer conn.Close()
	for n := 1; ctx.Err() == nil; pause(ctx, time.Second) {
		_ = conn.SetDeadline(time.Now().Add(fakes.WaitTimeout)) // fails only on a closed connection, as do the calls below
		sent := fmt.Sprintf("M %d\r\n", n)
		received := ""
		_, err := conn.Write([]byte(sent))
		if err == nil {
			received, err = reader.ReadString('\n')
		}
		if err == nil && received != sent {
			err = fmt.Errorf("sent %q, received %q", sent, received)
		}
		if err != nil {
			c.mu.Lock()
			c.failures = append(c.failures, fmt.Sprintf("a persistent connection at %s failed after %d lines: %v", proxy.Name, n-1, err))
			c.mu.Unlock()
			return
		}
		n++
	}
}

// Close closes the connections and returns a description of each connection that failed before. It may be called more than once.
func (c *PersistentConns) Close() []string {
	c.cancel()
	c.wg.Wait()
	return c.failures
}
