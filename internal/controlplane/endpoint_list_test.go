package controlplane

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
)

// discoveryProxy forwards requests to a discovery server and counts them. It can switch to another server, leave requests
// unanswered, or respond with 503.
type discoveryProxy struct {
	*httptest.Server
	mu                   sync.Mutex
	backend              *httputil.ReverseProxy
	mode                 string // "", "hang" or "busy"
	calls, maxConcurrent int
	cancels              map[*http.Request]context.CancelFunc
}

func newDiscoveryProxy(t testing.TB, backend *fakes.DiscoveryServer) *discoveryProxy {
	proxy := &discoveryProxy{cancels: map[*http.Request]context.CancelFunc{}}
	proxy.switchTo("", backend)
	proxy.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		proxy.mu.Lock()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		proxy.calls++
		proxy.cancels[r] = cancel
		proxy.maxConcurrent = max(proxy.maxConcurrent, len(proxy.cancels))
		mode, backend := proxy.mode, proxy.backend
		proxy.mu.Unlock()
		defer func() { proxy.mu.Lock(); delete(proxy.cancels, r); proxy.mu.Unlock() }()
		switch mode {
		case "hang":
			<-ctx.Done()
		case "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			backend.ServeHTTP(w, r.WithContext(ctx))
		}
	}))
	t.Cleanup(func() { proxy.switchTo("", nil); proxy.Close() })
	return proxy
}

// switchTo changes the mode, and also the backend unless to is nil, and cancels the requests in flight.
func (p *discoveryProxy) switchTo(mode string, to *fakes.DiscoveryServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode = mode; to != nil {
		p.backend = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to.Addr})
		p.backend.FlushInterval = -1
		p.backend.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	}
	for _, cancel := range p.cancels {
		cancel()
	}
}

func (p *discoveryProxy) count() (calls, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.maxConcurrent
}

func newDiscovery(t testing.TB, ids ...string) *fakes.DiscoveryServer {
	registry, err := fakes.NewDiscoveryServer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	for _, id := range ids {
		registry.Set(instance(id, endpointlist.Ready))
	}
	return registry
}

func instance(id, lifecycle string) fakes.Entry {
	return fakes.Entry{ID: id, Addr: "127.0.0.1:9", Zone: "a", Lifecycle: lifecycle}
}

// watchReader reads a replica's watch of the endpoint list as a proxy does.
type watchReader struct {
	cluster    *cluster
	lines      chan string // closed when the watch ends
	cancel     context.CancelFunc
	listNumber uint64
	lifecycles map[string]string // by instance id
	resets     int
}

func (c *cluster) watch(replica *Replica, from uint64) *watchReader {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	reader := &watchReader{cluster: c, lines: make(chan string, 1024), cancel: cancel, lifecycles: map[string]string{}}
	c.until("a watch", func() bool {
		req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s%s?watch=1&from=%d", replica.Addr(), endpointListPath, from), nil)
		c.must(err)
		resp, err := http.DefaultClient.Do(req) //nolint:bodyclose // the goroutine below closes it
		c.must(err)
		if resp.StatusCode != http.StatusOK {
			resp.Body.Close()
			return false
		}
		go func() {
			defer resp.Body.Close()
			defer close(reader.lines)
			scanner := bufio.NewScanner(resp.Body)
			for scanner.Buffer(nil, 4<<20); scanner.Scan(); {
				reader.lines <- scanner.Text()
			}
		}()
		return true
	})
	return reader
}

// next reads one line; false: the watch has ended.
func (r *watchReader) next() (update endpointlist.Update, ok bool) {
	r.cluster.t.Helper()
	select {
	case text, ok := <-r.lines:
		if !ok || text == "" {
			return update, ok
		}
		r.cluster.must(json.Unmarshal([]byte(text), &update))
		if update.Generation < r.listNumber {
			r.cluster.t.Fatalf("list %d was sent after list %d", update.Generation, r.listNumber)
		}
		if r.listNumber = update.Generation; update.Reset {
			r.resets++
			r.lifecycles = map[string]string{}
		}
		for _, entry := range update.Instances {
			var instance struct{ InstanceID, Lifecycle string }
			r.cluster.must(json.Unmarshal(entry, &instance))
			if r.lifecycles[instance.InstanceID] = instance.Lifecycle; instance.Lifecycle == endpointlist.Terminated {
				delete(r.lifecycles, instance.InstanceID)
			}
		}
		return update, true
	case <-time.After(fakes.WaitTimeout):
		r.cluster.t.Fatal("the watch sent nothing in time")
		return update, false
	}
}

// awaitEnd reads until the watch ends.
func (r *watchReader) awaitEnd() {
	r.cluster.t.Helper()
	for open := true; open; {
		_, open = r.next()
	}
}

// awaitList reads until the list contains exactly the wanted instances, each as "id lifecycle".
func (r *watchReader) awaitList(want ...string) {
	r.cluster.t.Helper()
	for {
		var got []string
		for id, lifecycle := range r.lifecycles {
			got = append(got, id+" "+lifecycle)
		}
		if slices.Sort(got); slices.Equal(got, want) {
			return
		}
		if _, ok := r.next(); !ok {
			r.cluster.t.Fatalf("the watch ended at %q, want %q", got, want)
		}
	}
}

func (c *cluster) listNumber(i int) uint64 {
	c.t.Helper()
	var s Status
	c.get(c.replicas[i], "/v1/status?local=1", &s)
	return s.EndpointList.Number
}

// newDiscoveryCluster returns a cluster whose leader watches service discovery through a proxy.
func newDiscoveryCluster(t *testing.T, proxy *discoveryProxy, change ...func(*Config)) *cluster {
	cluster := newCluster(t, 3)
	for i := range cluster.replicas {
		cluster.configs[i].Discovery = proxy.Listener.Addr().String()
		for _, c := range change {
			c(&cluster.configs[i])
		}
		cluster.must(cluster.replicas[i].UpdateAddresses(cluster.configs[i]))
	}
	return cluster
}

func TestEndpointListSurvivesLeaderChanges(t *testing.T) {
	registry := newDiscovery(t, "s-1", "s-2")
	proxy := newDiscoveryProxy(t, registry)
	cluster := newDiscoveryCluster(t, proxy)
	first := cluster.leader()
	reader := cluster.watch(cluster.replicas[first], 0)
	reader.awaitList("s-1 in_service", "s-2 in_service")
	registry.Set(instance("s-3", endpointlist.Ready))
	registry.Set(instance("s-1", endpointlist.Draining))
	reader.awaitList("s-1 terminating", "s-2 in_service", "s-3 in_service")
	var fullList endpointlist.Update
	if code, _ := cluster.get(cluster.replicas[first], endpointListPath, &fullList); code != 200 || !fullList.Reset ||
		len(fullList.Instances) != 3 {
		t.Errorf("the full list: %d %+v", code, fullList)
	}
	other := cluster.replicas[(first+1)%3]
	if code, response := cluster.get(other, endpointListPath+"?watch=1&from=1", nil); code != 503 ||
		response.Kind != "quorum/not-leading" ||
		response.Leader != uint64(first+1) {
		t.Errorf("a replica that does not lead: %d %+v", code, response)
	}
	if code, response := cluster.get(cluster.replicas[first], endpointListPath+"?watch=1&from=x", nil); code != 400 ||
		response.Kind != "keeper/bad-request" {
		t.Errorf("an invalid number: %d %+v", code, response)
	}
	cluster.propose(other, newProposal("a", "one"), "?wait=active")
	var lease fleetconfig.Lease
	if cluster.postUntilAvailable(other, "/v1/renew", fleetconfig.Renewal{Node: "n", Incarnation: 1, Seq: 1},
		&lease); lease.ListNumber < reader.listNumber {
		t.Errorf("a lease names list %d, a watch %d", lease.ListNumber, reader.listNumber)
	}
	before := reader.listNumber
	cluster.kill(first)
	reader.awaitEnd()
	second := cluster.leader()
	reader = cluster.watch(cluster.replicas[second], before)
	if update, _ := reader.next(); update.Generation < before {
		t.Errorf("the next leader sent list %d after list %d", update.Generation, before)
	}
	registry.Set(instance("s-4", endpointlist.Ready))
	reader.awaitList("s-1 terminating", "s-2 in_service", "s-3 in_service", "s-4 in_service")
	registry.Set(instance("s-4", endpointlist.Draining))
	reader.awaitList("s-1 terminating", "s-2 in_service", "s-3 in_service", "s-4 terminating")
	cluster.until(fmt.Sprint("list ", before+2), func() bool {
		reader.listNumber = cluster.listNumber(second)
		return reader.listNumber >= before+2
	})
	if reader.resets > 1 {
		t.Errorf("%d full lists were sent", reader.resets)
	}
	again := cluster.watch(cluster.replicas[second], reader.listNumber-1)
	if update, _ := again.next(); update.Reset || update.Generation != reader.listNumber || len(update.Instances) != 1 {
		t.Errorf("list %d was followed by list %d, full: %v, %d entries", reader.listNumber-1, update.Generation, update.Reset,
			len(update.Instances))
	}
	// Another discovery server numbers its lists from 1. The numbers of the replicated list continue.
	previous := reader.listNumber
	proxy.switchTo("", newDiscovery(t, "s-2", "s-9"))
	reader.awaitList("s-2 in_service", "s-9 in_service")
	if reader.listNumber <= previous {
		t.Errorf("list %d after %d", reader.listNumber, previous)
	}
	var status Status
	if cluster.get(cluster.replicas[second], "/v1/status", &status); status.EndpointList == nil ||
		status.EndpointList.State != "well" || status.EndpointList.Number != reader.listNumber ||
		status.EndpointList.Watches != 2 {
		t.Errorf("status %+v", status.EndpointList)
	}
	calls, maxConcurrent := proxy.count()
	if t.Logf("%d calls to discovery, %d at a time", calls, maxConcurrent); maxConcurrent > 1 {
		t.Errorf("%d calls at a time", maxConcurrent)
	}
	// Without a discovery address the watches end, and leases name no list.
	for i, replica := range cluster.replicas {
		if cluster.configs[i].Discovery = ""; replica != nil {
			cluster.must(replica.UpdateAddresses(cluster.configs[i]))
		}
	}
	reader.awaitEnd()
	if code, response := cluster.get(cluster.replicas[second], endpointListPath, nil); code != 503 ||
		response.Kind != "keeper/no-list" {
		t.Errorf("no discovery: %d %+v", code, response)
	}
	cluster.until("leases without a list", func() bool {
		var lease fleetconfig.Lease
		cluster.postUntilAvailable(cluster.replicas[second], "/v1/renew", fleetconfig.Renewal{Node: "n", Incarnation: 1, Seq: 2}, &lease)
		return lease.ActiveVersion == 1 && lease.ListNumber == 0
	})
}

// elect makes a replica the leader of a cluster in which no election times out. It campaigns repeatedly, because messages may
// be lost while addresses change.
func (c *cluster) elect(i int) {
	c.t.Helper()
	tries := 0
	c.until("the replica to win the election", func() bool {
		leads, err := query(context.Background(), c.replicas[i], func(loop *eventLoop) bool {
			if tries%200 == 0 && !loop.node.Leading() {
				loop.recordFatal(loop.node.Campaign())
			}
			return loop.node.Leading()
		})
		c.must(err)
		tries++
		return leads
	})
}

// newClusterLedByFirst returns a cluster whose first replica leads. Its election timeout is longer than a test.
func newClusterLedByFirst(t *testing.T, proxy *discoveryProxy) *cluster {
	cluster := newCluster(t, 3)
	for i := range cluster.replicas {
		cluster.kill(i)
		cluster.configs[i].Discovery, cluster.configs[i].ElectionTicks = proxy.Listener.Addr().String(), 10_000
	}
	for i := range cluster.replicas {
		cluster.restart(i)
	}
	cluster.elect(0)
	return cluster
}

// TestDrainsArePublishedWithoutQuorum checks that a leader without a quorum publishes only drains and removals, and that the
// committed list later replaces them.
func TestDrainsArePublishedWithoutQuorum(t *testing.T) {
	registry := newDiscovery(t, "s-1", "s-2", "s-3")
	proxy := newDiscoveryProxy(t, registry)
	cluster := newClusterLedByFirst(t, proxy)
	reader := cluster.watch(cluster.replicas[0], 0)
	reader.awaitList("s-1 in_service", "s-2 in_service", "s-3 in_service")
	committed := reader.listNumber
	cluster.kill(1)
	cluster.kill(2)
	registry.Set(instance("s-4", endpointlist.Ready))
	registry.Set(instance("s-1", endpointlist.Draining))
	reader.awaitList("s-1 terminating", "s-2 in_service", "s-3 in_service")
	registry.Set(instance("s-2", endpointlist.Terminated))
	reader.awaitList("s-1 terminating", "s-3 in_service")
	registry.Set(instance("s-1", endpointlist.Ready)) // reverted before it was committed
	if reader.listNumber != committed {
		t.Errorf("list %d without a quorum, after %d", reader.listNumber, committed)
	}
	late := cluster.watch(cluster.replicas[0], 0)
	late.awaitList("s-1 terminating", "s-3 in_service")
	cluster.restart(1)
	reader.awaitList("s-1 in_service", "s-3 in_service", "s-4 in_service")
	late.awaitList("s-1 in_service", "s-3 in_service", "s-4 in_service")
	cluster.kill(1) // the next leader corrects early entries that were never committed
	registry.Set(instance("s-3", endpointlist.Draining))
	reader.awaitList("s-1 in_service", "s-3 terminating", "s-4 in_service")
	proxy.switchTo("", newDiscovery(t, "s-1", "s-3", "s-4"))
	cluster.kill(0)
	cluster.restart(1)
	cluster.restart(2)
	cluster.elect(1)
	next := cluster.watch(cluster.replicas[1], reader.listNumber)
	next.listNumber, next.lifecycles = reader.listNumber, reader.lifecycles
	next.awaitList("s-1 in_service", "s-3 in_service", "s-4 in_service")
}

// TestWatchesEndWhenDiscoveryIsLost checks that a watch stays open while discovery responds, even with 503, and ends when it
// does not, so that proxies query discovery themselves.
func TestWatchesEndWhenDiscoveryIsLost(t *testing.T) {
	registry := newDiscovery(t, "s-1")
	proxy := newDiscoveryProxy(t, registry)
	cluster := newDiscoveryCluster(t, proxy)
	leader := cluster.leader()
	reader := cluster.watch(cluster.replicas[leader], 0)
	reader.awaitList("s-1 in_service")
	timeout := 3 * keepAliveInterval // requests to discovery are at most 2 s apart
	cluster.replicas[leader].discovery.timeout.Store(int64(timeout))
	proxy.switchTo("busy", nil)
	for start := time.Now(); time.Since(start) < timeout+keepAliveInterval; {
		if _, ok := reader.next(); !ok {
			t.Fatal("the watch ended while discovery was busy")
		}
	}
	proxy.switchTo("hang", nil)
	before, _ := proxy.count()
	cluster.replicas[leader].discovery.timeout.Store(int64(time.Second))
	reader.awaitEnd()
	var status Status
	cluster.get(cluster.replicas[leader], "/v1/status?local=1", &status)
	code, response := cluster.get(cluster.replicas[leader], endpointListPath, nil)
	if status.EndpointList.State != "silent" || code != http.StatusServiceUnavailable || response.Kind != "keeper/no-list" {
		t.Errorf("status %+v, and a request for the list: %d %+v", status.EndpointList, code, response)
	}
	if calls, maxConcurrent := proxy.count(); calls-before > 10 || maxConcurrent > 1 {
		t.Errorf("an unresponsive discovery server got %d requests, %d at a time", calls-before, maxConcurrent)
	}
	cluster.replicas[leader].discovery.timeout.Store(int64(time.Minute))
	proxy.switchTo("", registry)
	registry.Set(instance("s-2", endpointlist.Ready))
	cluster.watch(cluster.replicas[leader], 0).awaitList("s-1 in_service", "s-2 in_service")
}

// TestUnreadWatchIsClosed checks that a watcher that does not read is disconnected, and does not delay other watchers.
func TestUnreadWatchIsClosed(t *testing.T) {
	registry := newDiscovery(t, "s-1")
	cluster := newClusterLedByFirst(t, newDiscoveryProxy(t, registry))
	reader := cluster.watch(cluster.replicas[0], 0)
	reader.awaitList("s-1 in_service")
	conn, err := net.Dial("tcp", cluster.replicas[0].Addr())
	cluster.must(err)
	defer conn.Close()
	cluster.must(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	_, err = fmt.Fprintf(conn, "GET %s?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n", endpointListPath)
	cluster.must(err)
	open := func() int64 { return cluster.replicas[0].discovery.openWatches.Load() }
	cluster.until("two watches", func() bool { return open() == 2 })
	for i := 0; open() == 2; i++ {
		entry := instance("s-1", endpointlist.Ready)
		entry.Weight, entry.MachineType = float64(i+2), strings.Repeat("x", 64<<10)
		registry.Set(entry)
		if update, ok := reader.next(); !ok || i > 3000 {
			t.Fatalf("list %d, other watch open: %v: the unread watch is still open after %d changes", update.Generation, ok, i)
		}
	}
	registry.Set(instance("s-2", endpointlist.Ready))
	reader.awaitList("s-1 in_service", "s-2 in_service")
}
