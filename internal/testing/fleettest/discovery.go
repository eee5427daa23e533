package fleettest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/micafront/internal/fakes"
)

// endpointListPath is the HTTP path at which service discovery and the replicas serve the endpoint list.
const endpointListPath = "/registry/instances"

// discovery is a fake service discovery that limits the request rate of all callers together and rejects excess requests with
// status 503. Each caller connects to its own view, an HTTP server that relays the list; a proxy's view replaces the endpoint
// addresses by those of the proxy's links.
type discovery struct {
	rate float64 // requests per second; 0: unlimited

	mu           sync.Mutex
	server       *fakes.DiscoveryServer // the server to which the views relay
	entries      []fakes.Entry          // the listed endpoints, which restart copies to the new server
	tokens       float64                // the current level of the token bucket, in requests
	refilledAt   time.Time
	proxyCalls   callStats
	replicaCalls callStats // not included in proxyCalls
	views        []*http.Server
}

// callStats counts the requests from proxies or from replicas.
type callStats struct {
	total           int
	rejected        int   // of total
	peak            int   // maximum within one second
	currentSecond   int64 // Unix time
	inCurrentSecond int
}

// record counts a request.
func (c *callStats) record(now time.Time) {
	c.total++
	if second := now.Unix(); second != c.currentSecond {
		c.currentSecond = second
		c.inCurrentSecond = 0
	}
	c.inCurrentSecond++
	c.peak = max(c.peak, c.inCurrentSecond)
}

func newDiscovery(rate float64) (*discovery, error) {
	d := &discovery{rate: rate, tokens: max(rate, 1), refilledAt: time.Now()}
	var err error
	d.server, err = fakes.NewDiscoveryServer()
	return d, err
}

// set adds an endpoint to the list, or replaces the entry with the same ID.
func (d *discovery) set(entry fakes.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(slices.DeleteFunc(d.entries, func(o fakes.Entry) bool { return o.ID == entry.ID }), entry)
	d.server.Set(entry)
}

// restart replaces the server by a new one, which numbers its generations from 1 again, and ends the old server's watches.
func (d *discovery) restart() error {
	next, err := fakes.NewDiscoveryServer()
	if err != nil {
		return err
	}
	d.mu.Lock()
	old := d.server
	for _, entry := range d.entries {
		next.Set(entry)
	}
	d.server = next
	d.mu.Unlock()
	old.Close()
	return nil
}

func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server.Close()
	for _, server := range d.views {
		_ = server.Close() // ignored: the server is not used after this
	}
}

// admit counts a request and reports whether the rate limit allows it. If so, it returns the server's address.
func (d *discovery) admit(stats *callStats) (addr string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	stats.record(now)
	d.tokens = min(d.tokens+now.Sub(d.refilledAt).Seconds()*d.rate, max(d.rate, 1))
	d.refilledAt = now
	if d.rate > 0 {
		if d.tokens < 1 {
			stats.rejected++
			return "", false
		}
		d.tokens--
	}
	return d.server.Addr, true
}

// view starts a caller's view, which replaces the addresses of endpoints by those that addressOf returns.
func (d *discovery) view(stats *callStats, addressOf func(id string) string) (addr string, err error) {
	return d.listen(func(w http.ResponseWriter, req *http.Request) {
		addr, ok := d.admit(stats)
		if !ok {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		relayList(w, req, addr, addressOf)
	})
}

// listen starts an HTTP server on a loopback port, which close stops, and returns its address.
func (d *discovery) listen(serve http.HandlerFunc) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: serve}
	d.mu.Lock()
	d.views = append(d.views, server)
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns after close
	return listener.Addr().String(), nil
}

// relayList requests the endpoint list at an address, and relays the response line by line with the caller's addresses.
func relayList(w http.ResponseWriter, req *http.Request, addr string, addressOf func(string) string) {
	upstreamReq, err := http.NewRequestWithContext(req.Context(), http.MethodGet, "http://"+addr+req.URL.RequestURI(), nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	upstreamReq.Close = true // after a restart another process may listen on this port
	resp, err := http.DefaultClient.Do(upstreamReq)
	if err != nil { // the server is restarting
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	for reader := bufio.NewReader(resp.Body); ; {
		line, err := reader.ReadBytes('\n')
		if resp.StatusCode == http.StatusOK && len(bytes.TrimSpace(line)) > 0 {
			var decodeErr error
			if line, decodeErr = replaceAddresses(line, addressOf); decodeErr != nil {
				return // ends the caller's response
			}
		}
		if _, writeErr := w.Write(line); writeErr != nil || err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// currentList returns the list with the addresses that addressOf returns.
func (d *discovery) currentList(addressOf func(string) string) (json.RawMessage, error) {
	d.mu.Lock()
	list := d.server.List()
	d.mu.Unlock()
	return replaceAddresses([]byte(list), addressOf)
}

// replaceAddresses replaces the addresses of the endpoints in an encoded list.
func replaceAddresses(list []byte, addressOf func(string) string) ([]byte, error) {
	var decoded struct {
		Generation int              `json:"generation"`
		Reset      bool             `json:"reset"`
		Instances  []map[string]any `json:"instances"`
	}
	if err := json.Unmarshal(list, &decoded); err != nil {
		return nil, fmt.Errorf("decoding an endpoint list of service discovery: %w", err)
	}
	for _, instance := range decoded.Instances {
		instance["hostPort"] = addressOf(instance["instanceId"].(string))
	}
	out, err := json.Marshal(decoded)
	return append(out, '\n'), err
}

// RestartDiscovery replaces service discovery by a new server, which numbers its lists from 1 again.
func (f *Fleet) RestartDiscovery() error { return f.discovery.restart() }
