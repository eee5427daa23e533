// Package controlclient is a proxy's client of the control plane: it renews the proxy's lease and fetches versions of the
// configuration, over HTTP/1.1 on the proxy's event loop. It makes no decisions: fleetconfig.LeaseClient says which request
// is due and what an answer means.
//
// Each request is sent to one replica and ends in exactly one callback, unless a later request of its kind replaces it.
// Retries are the caller's.
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
	maxLeaseBytes = 64 << 10 // of the answer to a renewal
	maxErrorBytes = 8 << 10  // of an error's body

	// A version may take long to arrive: up to fetchTimeout in all, but not fetchIdleTimeout without a byte.
	fetchIdleTimeout = 2 * time.Second
	fetchTimeout     = time.Minute
)

// Client sends requests to the replicas of the control plane. Its methods are for the event loop's goroutine, and so are
// the callbacks, which come in a later turn.
//
// Renewals share a persistent connection: a fleet of 300 proxies renews 600 times a second, and setting up a connection costs
// a replica more than the answer does. The connection is closed with the first renewal that has no valid answer in time.
// A version comes over a connection of its own, so that it delays no renewal.
type Client struct {
	loop       *evloop.Loop
	replicas   []string    // addresses
	lastGood   int         // index of the replica that answered last
	renewals   *connection // nil before the first renewal
	versionGet *connection // nil before the first fetch
}

// New makes a client of the replicas at numeric addresses, of which there is at least one. The first replica to be asked
// is chosen by the node's name, so that a fleet spreads over them.
func New(loop *evloop.Loop, replicas []string, node string) *Client {
	client := &Client{loop: loop}
	client.SetReplicas(replicas)
	client.lastGood = int(xxhash.Sum64String(node) % uint64(len(replicas)))
	return client
}

// SetReplicas changes the replicas' addresses for the requests that follow.
func (c *Client) SetReplicas(replicas []string) {
	if !slices.Equal(c.replicas, replicas) {
		c.replicas = slices.Clone(replicas)
		c.lastGood = 0
	}
}

// ReplicaCount returns the number of replicas.
func (c *Client) ReplicaCount() int { return len(c.replicas) }

// Renew requests a lease from the replica that answered last, or after a number of failures in a row from the one that many
// places further. It replaces a renewal in progress, whose callback is not called. The callback gets a time of the loop's
// clock that is not later than the sending, from which the lease counts. An answer that does not arrive within the timeout,
// or is not for this renewal, is an error.
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
	handleAnswer := func(body []byte, sent time.Duration, err error) {
		var lease fleetconfig.Lease
		if err == nil {
			lease, err = decodeLease(body, renewal, addr)
		}
		if err != nil {
			c.renewals.close()
			done(fleetconfig.Lease{}, 0, err)
			return
		}
		c.lastGood = replica
		done(lease, sent, nil)
	}
	c.prepareRenewals(addr)
	c.renewals.send(&request{
		path:     renewPath,
		text:     text,
		maxBytes: maxLeaseBytes,
		deadline: c.loop.Now() + timeout,
		done:     handleAnswer,
	})
}

// replicaAfter is the index of the replica to ask after a number of failures in a row.
func (c *Client) replicaAfter(failures int) int { return (c.lastGood + failures) % len(c.replicas) }

// prepareRenewals makes c.renewals a connection to a replica without a request in flight. One that cannot be used is closed.
func (c *Client) prepareRenewals(addr string) {
	current := c.renewals
	if current != nil && current.addr == addr && current.request == nil && !current.closed {
		return
	}
	if current != nil {
		current.close()
	}
	c.renewals = &connection{client: c, addr: addr, persistent: true}
}

// renewRequestText is the whole HTTP request of a renewal.
func renewRequestText(addr string, renewal fleetconfig.Renewal) ([]byte, error) {
	body, err := json.Marshal(renewal)
	if err != nil {
		return nil, err
	}
	const head = "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
	return append(fmt.Appendf(nil, head, renewPath, addr, len(body)), body...), nil
}

// decodeLease decodes the answer to a renewal. A lease for another renewal is an error.
func decodeLease(body []byte, renewal fleetconfig.Renewal, addr string) (fleetconfig.Lease, error) {
	var lease fleetconfig.Lease
	if err := json.Unmarshal(body, &lease); err != nil {
		return lease, InvalidResponse.Wrap(place(addr, renewPath), err)
	}
	if lease.Node != renewal.Node || lease.Incarnation != renewal.Incarnation || lease.Seq != renewal.Seq {
		return lease, InvalidResponse.New(place(addr, renewPath),
			"the answer is for renewal %d of node %q, incarnation %d, and not for renewal %d of node %q, incarnation %d",
			lease.Seq, lease.Node, lease.Incarnation, renewal.Seq, renewal.Node, renewal.Incarnation)
	}
	return lease, nil
}

// FetchVersion requests a version, of at most maxBytes, from the replica that Renew would choose after as many failures. It replaces
// a fetch in progress, whose callback is not called. The callback gets the version's JSON text.
func (c *Client) FetchVersion(number uint64, failures int, maxBytes int64, done func(text []byte, err error)) {
	addr := c.replicas[c.replicaAfter(failures)]
	path := versionPath + strconv.FormatUint(number, 10)
	if c.versionGet != nil {
		c.versionGet.close()
	}
	c.versionGet = &connection{client: c, addr: addr}
	c.versionGet.send(&request{
		path:        path,
		maxBytes:    maxBytes,
		deadline:    c.loop.Now() + fetchTimeout,
		idleTimeout: fetchIdleTimeout,
		text:        fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, addr),
		done:        func(body []byte, _ time.Duration, err error) { done(body, err) },
	})
}

// place names a replica and a path in errors. A proxy logs it and may report it in a renewal, where replicas are known by
// this older name.
func place(addr, path string) string { return "keeper " + addr + " " + path }
