package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"example.org/micafront/internal/endpointlist"
)

const (
	firstByteTimeout = 2500 * time.Millisecond // until a response's first object or empty line
	watchIdleTimeout = 2500 * time.Millisecond // without an object or empty line; discovery sends one every 2 s
	// Delays between requests to service discovery. Jitter makes a delay up to 1.5 times as long, so 2 s at most.
	initialDiscoveryBackoff = 100 * time.Millisecond
	maxDiscoveryBackoff     = 4 * time.Second / 3
	maxObjectBytes          = 16 << 20
)

// discoveryClient watches service discovery on the leader, with one request at a time.
type discoveryClient struct {
	replica    *Replica
	addr       string
	cancel     context.CancelFunc
	done       chan struct{} // closed when the client has ended
	httpClient http.Client
	generation uint64 // discovery's own number of the last accepted update; 0: the next request asks for the full list
	fetchFull  bool   // request the full list without a watch, because a watch did not start with it
}

// startDiscoveryClient starts a client. If previousDone is not nil, the client makes its first request when the previous
// client has closed that channel.
func (r *Replica) startDiscoveryClient(addr string, previousDone <-chan struct{}) *discoveryClient {
	ctx, cancel := context.WithCancel(context.Background())
	client := &discoveryClient{replica: r, addr: addr, cancel: cancel, done: make(chan struct{})}
	client.httpClient.Transport = &http.Transport{
		DialContext:        (&net.Dialer{Timeout: firstByteTimeout}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
	go func() {
		defer close(client.done)
		if previousDone != nil {
			<-previousDone
		}
		client.run(ctx)
	}()
	return client
}

// run watches discovery until the context ends, with a backoff between requests.
func (c *discoveryClient) run(ctx context.Context) {
	delays := newBackoff(initialDiscoveryBackoff, maxDiscoveryBackoff)
	for ctx.Err() == nil {
		c.replica.metrics.endpointList.requests.Inc()
		received, err := c.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.replica.metrics.endpointList.failures.Inc()
			c.replica.discovery.recordFailure(err)
		}
		if received {
			delays.Reset()
		}
		select {
		case <-time.After(delays.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

func (c *discoveryClient) url() string {
	if c.fetchFull {
		return "http://" + c.addr + endpointListPath
	}
	return fmt.Sprintf("http://%s%s?watch=1&from=%d", c.addr, endpointListPath, c.generation)
}

// watchOnce makes one request and handles its updates until the response ends. It reports whether any update was accepted.
func (c *discoveryClient) watchOnce(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	url := c.url()
	idleTimer := time.AfterFunc(firstByteTimeout, func() { cancel(DiscoveryFailed.New(url, "timed out waiting for data")) })
	defer idleTimer.Stop()
	defer func() {
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
		if err != nil {
			err = DiscoveryFailed.WrapUntyped(url, err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if resp.StatusCode == http.StatusServiceUnavailable { // discovery is running but overloaded
			c.replica.discovery.recordContact()
		}
		return false, DiscoveryFailed.New(url, "status %s", resp.Status)
	}
	return c.readUpdates(ctx, url, resp.Body, idleTimer)
}

// readUpdates decodes the updates of a response and handles each.
func (c *discoveryClient) readUpdates(
	ctx context.Context, url string, body io.Reader, idleTimer *time.Timer,
) (received bool, err error) {
	reader := &objectReader{source: body, onKeepAlive: func() {
		idleTimer.Reset(watchIdleTimeout)
		c.replica.discovery.recordContact()
	}}
	decoder := json.NewDecoder(reader)
	for {
		var update endpointlist.Update
		if err := decoder.Decode(&update); errors.Is(err, io.EOF) {
			return received, DiscoveryFailed.New(url, "the response ended")
		} else if err != nil {
			return received, err
		}
		idleTimer.Stop() // a slow event loop does not make the watch idle
		if err := c.handleUpdate(ctx, update); err != nil {
			return received, err
		}
		received = true
		idleTimer.Reset(watchIdleTimeout)
		c.replica.discovery.recordSuccess()
		if c.fetchFull {
			c.fetchFull = false
			return true, nil
		}
		reader.startObject(decoder.Buffered())
	}
}

// handleUpdate passes an update to the event loop. It rejects an older generation, which would restore removed endpoints,
// unless the client requested the full list: discovery may have restarted its numbering.
func (c *discoveryClient) handleUpdate(ctx context.Context, update endpointlist.Update) error {
	previous := c.generation
	c.generation = 0 // until the update is accepted
	switch {
	case update.Generation < previous:
		return fmt.Errorf("generation %d is older than the previous generation %d", update.Generation, previous)
	case c.fetchFull:
		update.Reset = true
	case previous == 0 && !update.Reset:
		c.fetchFull = true
		return fmt.Errorf("generation %d: changes were received before a full list", update.Generation)
	}
	applyErr, err := query(ctx, c.replica, func(loop *eventLoop) error {
		return loop.endpoints.applyUpdate(loop, c, update)
	})
	if err != nil {
		return err
	}
	if applyErr != nil {
		return applyErr
	}
	c.generation = update.Generation
	return nil
}

// objectReader reads a response for a JSON decoder. White space between objects counts as a keep-alive. Part of an object
// does not, so a whole object must arrive within the idle timeout.
type objectReader struct {
	source      io.Reader
	onKeepAlive func()
	inObject    bool
	objectBytes int // of the current object
}

// Read implements io.Reader.
func (o *objectReader) Read(buffer []byte) (int, error) {
	n, err := o.source.Read(buffer)
	o.inObject = o.inObject || len(bytes.TrimSpace(buffer[:n])) > 0
	if o.inObject {
		o.objectBytes += n
	} else if n > 0 {
		o.onKeepAlive()
	}
	if o.objectBytes > maxObjectBytes {
		return n, fmt.Errorf("object is larger than %d bytes", maxObjectBytes)
	}
	return n, err
}

// startObject prepares for the next object. buffered holds what the decoder has read beyond the last one.
func (o *objectReader) startObject(buffered io.Reader) {
	rest, _ := io.ReadAll(buffered) // reads from memory, so it cannot fail
	o.objectBytes = len(rest)
	o.inObject = len(bytes.TrimSpace(rest)) > 0
}
