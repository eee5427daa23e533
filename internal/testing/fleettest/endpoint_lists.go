package fleettest

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"time"

	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/faultinject"
)

// viewIdleTimeout bounds how long a replica view keeps an idle connection to its replica.
const viewIdleTimeout = 10 * time.Second

// replicaView starts a reverse proxy in front of a replica for one proxy, which replaces the addresses of endpoints by those of
// the proxy's links. It uses the replica's new address after a restart. While the replica is down it resets connections, as a
// killed process does.
func (f *Fleet) replicaView(replica *Replica, addressOf func(id string) string) (addr string, err error) {
	proxy := &httputil.ReverseProxy{
		Rewrite:       func(req *httputil.ProxyRequest) { req.SetURL(&url.URL{Scheme: "http", Host: replica.Addr()}) },
		Transport:     &http.Transport{IdleConnTimeout: viewIdleTimeout},
		FlushInterval: -1,
		ErrorLog:      log.New(io.Discard, "", 0),
		ErrorHandler:  func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
	}
	return f.discovery.listen(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == endpointListPath {
			relayList(w, req, replica.Addr(), addressOf)
			return
		}
		proxy.ServeHTTP(w, req)
	})
}

// proxyReplicaLink opens a proxy's link to a replica. A link to a view is not registered for retarget, since the view's address
// does not change when the replica restarts.
func (f *Fleet) proxyReplicaLink(name string, replica *Replica, target string) (faultinject.Link, error) {
	if f.ReplicasServeLists {
		return f.Network.Link(name+"/"+replica.Name, target)
	}
	return f.link(name, replica.Name, target)
}

// replicaDiscovery starts a replica's view of service discovery, opens a link to it, and returns the link's address. Replicas do
// not connect to endpoints, so the view lists an unused address for all of them.
func (f *Fleet) replicaDiscovery(name string) (addr string, err error) {
	view, err := f.discovery.view(&f.discovery.replicaCalls, func(string) string { return unusedAddress })
	if err != nil {
		return "", err
	}
	link, err := f.link(name, "discovery", view)
	if err != nil {
		return "", err
	}
	return link.Addr(), nil
}

// setLifecycle changes the lifecycle with which service discovery lists the i-th endpoint. Indexes beyond the last endpoint wrap
// around.
func (f *Fleet) setLifecycle(i int, lifecycle string) {
	e := f.endpoints[i%len(f.endpoints)]
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	entry := e.Entry
	entry.Lifecycle = lifecycle
	f.discovery.set(entry)
}

// RemoveEndpoint lists an endpoint as terminated, so that proxies remove it. The endpoint keeps running.
func (f *Fleet) RemoveEndpoint(i int) { f.setLifecycle(i, endpointlist.Terminated) }

// DrainEndpoint lists an endpoint as draining.
func (f *Fleet) DrainEndpoint(i int) { f.setLifecycle(i, endpointlist.Draining) }

// RestoreEndpoint lists an endpoint as ready.
func (f *Fleet) RestoreEndpoint(i int) { f.setLifecycle(i, "") }

// AwaitMetric waits until a metric equals want at all given proxies.
func (f *Fleet) AwaitMetric(name, want string, proxies []*Proxy) error {
	return f.awaitMetric(name, want, proxies, func(got string) bool { return got == want })
}

// awaitMetric waits until a metric satisfies a condition at all given proxies. want describes the condition in errors.
func (f *Fleet) awaitMetric(name, want string, proxies []*Proxy, satisfied func(string) bool) error {
	return f.forEachProxy(proxies, func(proxy *Proxy) error {
		ctx, cancel := context.WithTimeout(f.ctx, fakes.WaitTimeout)
		defer cancel()
		got := ""
		for ; ctx.Err() == nil; pause(ctx, pollInterval) {
			var err error
			if got, err = f.metric(ctx, proxy, name); err != nil {
				got = err.Error()
			} else if satisfied(got) {
				return nil
			}
		}
		return fmt.Errorf("%s did not reach %s=%s, last value: %s", proxy.Name, name, want, got)
	})
}

// metric reads a metric from a proxy's admin API.
func (f *Fleet) metric(ctx context.Context, proxy *Proxy, name string) (string, error) {
	addr, err := proxy.AwaitOutput(ctx, "operators call at ")
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+strings.TrimSpace(addr)+"/api/telemetry", nil)
	if err != nil {
		return "", err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	_, rest, ok := strings.Cut("\n"+string(text), "\n"+name+"=")
	if !ok {
		return "", fmt.Errorf("%s has no metric %s", proxy.Name, name)
	}
	value, _, _ := strings.Cut(rest, "\n")
	return value, nil
}

// AwaitListFromReplicas waits until the given proxies watch the endpoint list at a replica.
func (f *Fleet) AwaitListFromReplicas(proxies []*Proxy) error {
	return f.awaitMetric("svc.fleet.list_from", "the index of a replica", proxies, func(got string) bool {
		_, err := strconv.Atoi(got)
		return err == nil
	})
}

// AwaitListFromDiscovery waits until the given proxies watch the endpoint list at service discovery.
func (f *Fleet) AwaitListFromDiscovery(proxies []*Proxy) error {
	return f.AwaitMetric("svc.fleet.list_from", "discovery", proxies)
}
