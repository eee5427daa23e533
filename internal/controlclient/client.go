// Package controlclient is a proxy's client of the control plane. It renews the proxy's lease and fetches versions of the
// configuration, over HTTP/1.1 on the proxy's event loop. It makes no decisions: fleetconfig.LeaseClient determines which
// request is due and how to handle its response.
//
// Each request is sent to one replica and ends in exactly one callback, unless a later request of its kind replaces it. The
// caller is responsible for retries.
package controlclient

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/fleetconfig"
	"github.com/cespare/xxhash/v2"
)

const (
	renewPath   = "/v1/renew"
	versionPath = "/v1/version/"
)

const (
	maxLeaseBytes = 64 << 10 // limit on the body of a lease
	maxErrorBytes = 8 << 10  // limit on the body of an error response

	fetchIdleTimeout = 2 * time.Second // the longest time without a byte of the response
	fetchTimeout     = time.Minute     // for the complete response, which may be large
)

// Client sends requests to the replicas of the control plane. Its methods must be called on the event loop's goroutine, which
// also calls the callbacks, in a later turn of the loop.
//
// Renewals share a persistent connection: a fleet of 300 proxies sends 600 renewals a second, and a connection setup costs a
// replica more than the response does. Client closes the connection after the first renewal without a valid response in time.
// It fetches a version over a separate connection, so that a fetch delays no renewal.
type Client struct {
	loop           *evloop.Loop
	replicas       []string    // addresses of the replicas
	lastResponsive int         // index of the replica that last granted a lease
	renewalConn    *connection // nil before the first renewal
	versionConn    *connection // nil before the first fetch
}

// New returns a client of the replicas at the given numeric addresses, of which there must be at least one. A hash of the
// node's name selects the first replica, so that the proxies of a fleet are spread over the replicas.
func New(loop *evloop.Loop, replicas []string, node string) *Client {
	client := &Client{loop: loop}
	client.SetReplicas(replicas)
	client.lastResponsive = int(xxhash.Sum64String(node) % uint64(len(replicas)))
	return client
}

// SetReplicas changes the replicas' addresses for subsequent requests.
func (c *Client) SetReplicas(replicas []string) {
	if !slices.Equal(c.replicas, replicas) {
		c.replicas = slices.Clone(replicas)
		c.lastResponsive = 0
	}
}

// ReplicaCount returns the number of replicas.
func (c *Client) ReplicaCount() int { return len(c.replicas) }

// Renew requests a lease from the replica that last granted one. After successive failures it skips as many replicas, in the
// order of their addresses. It replaces a renewal in flight, whose callback is not called. The callback receives the lease and
// the time on the loop's clock from which the lease counts, which is not later than the sending of the request. The callback
// receives an error if no response arrives within the timeout or the response is for another renewal.
func (c *Client) Renew(
	renewal fleetconfig.Renewal, failures int, timeout time.Duration,
	done func(lease fleetconfig.Lease, sent time.Duration, err error),
) {
	replica := c.replicaAfter(failures)
	addr := c.replicas[replica]
	text, err := renewRequestText(addr, renewal)
	if err != nil {
		c.loop.After(0, func() { done(fleetconfig.Lease{}, 0, InvalidResponse.Wrap(place(addr, renewPath), err)) })
		return
	}
	handleResponse := func(body []byte, sent time.Duration, err error) {
		var lease fleetconfig.Lease
		if err == nil {
			lease, err = decodeLease(body, renewal, addr)
		}
		if err != nil {
			c.renewalConn.close()
			done(fleetconfig.Lease{}, 0, err)
			return
		}
		c.lastResponsive = replica
		done(lease, sent, nil)
	}
	c.prepareRenewalConn(addr)
	c.renewalConn.send(&request{
		path:     renewPath,
		text:     text,
		maxBytes: maxLeaseBytes,
		deadline: c.loop.Now() + timeout,
		done:     handleResponse,
	})
}

// replicaAfter returns the index of the replica for the next request after a number of successive failures.
func (c *Client) replicaAfter(failures int) int {
	return (c.lastResponsive + failures) % len(c.replicas)
}

// prepareRenewalConn sets c.renewalConn to a connection to the replica at addr that has no request in flight. It closes the
// current connection if that cannot be used.
func (c *Client) prepareRenewalConn(addr string) {
	current := c.renewalConn
	if current != nil && current.addr == addr && current.request == nil && !current.closed {
		return
	}
	if current != nil {
		current.close()
	}
	c.renewalConn = &connection{client: c, addr: addr, persistent: true}
}

// renewRequestText returns the complete HTTP request of a renewal.
func renewRequestText(addr string, renewal fleetconfig.Renewal) ([]byte, error) {
	body, err := json.Marshal(renewal)
	if err != nil {
		return nil, err
	}
	const head = "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
	return append(fmt.Appendf(nil, head, renewPath, addr, len(body)), body...), nil
}

// decodeLease decodes the response to a renewal. It returns InvalidResponse for a lease of another renewal.
func decodeLease(body []byte, renewal fleetconfig.Renewal, addr string) (fleetconfig.Lease, error) {
	var lease fleetconfig.Lease
	if err := json.Unmarshal(body, &lease); err != nil {
		return lease, InvalidResponse.Wrap(place(addr, renewPath), err)
	}
	if lease.Node != renewal.Node || lease.Incarnation != renewal.Incarnation || lease.Seq != renewal.Seq {
		return lease, InvalidResponse.New(place(addr, renewPath),
			"the response is for renewal %d of node %q, incarnation %d; the request was renewal %d of node %q, incarnation %d",
			lease.Seq, lease.Node, lease.Incarnation, renewal.Seq, renewal.Node, renewal.Incarnation)
	}
	return lease, nil
}

// FetchVersion requests a version, of at most maxBytes, from the replica that Renew would select after as many failures. It
// replaces a fetch in flight, whose callback is not called. The callback receives the version's JSON text.
func (c *Client) FetchVersion(number uint64, failures int, maxBytes int64, done func(text []byte, err error)) {
	addr := c.replicas[c.replicaAfter(failures)]
	path := versionPath + strconv.FormatUint(number, 10)
	if c.versionConn != nil {
		c.versionConn.close()
	}
	c.versionConn = &connection{client: c, addr: addr}
	c.versionConn.send(&request{
		path:        path,
		maxBytes:    maxBytes,
		deadline:    c.loop.Now() + fetchTimeout,
		idleTimeout: fetchIdleTimeout,
		text:        fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, addr),
		done:        func(body []byte, _ time.Duration, err error) { done(body, err) },
	})
}

// place returns the place of an error: a replica and a path. A proxy logs it and may report it in a renewal, so it keeps
// the older name of a replica, keeper.
func place(addr, path string) string { return "keeper " + addr + " " + path }
