package fleettest

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"

	"example.org/micafront/internal/fleetconfig"
)

// Proxy is a proxy process.
type Proxy struct {
	*Process
	Index      int          // counted from 1
	addr       atomic.Value // string
	configPath string
}

// Addr returns the address at which the current or last run serves clients.
func (p *Proxy) Addr() string { return p.addr.Load().(string) }

// launch starts a run and stores its address.
func (p *Proxy) launch(ctx context.Context) error {
	addr, err := p.Start(ctx)
	if err == nil {
		p.addr.Store(strings.TrimSpace(addr))
	}
	return err
}

// addProxy opens the links of the i-th proxy, counted from 1, and writes its configuration. It does not start the proxy.
func (f *Fleet) addProxy(i int) error {
	name := fmt.Sprint("proxy", i)
	config, err := f.proxyConfig(name, i)
	if err != nil {
		return err
	}
	path := filepath.Join(f.Dir, name+".json")
	proxy := &Proxy{Index: i, configPath: path}
	if proxy.Process, err = newProcess(name, f.Programs["micafront"], f.Dir, " serves at ", "EDGE_CONFIG="+path); err != nil {
		return err
	}
	f.Proxies = append(f.Proxies, proxy)
	return writeJSON(path, config)
}

// proxyConfig opens all links of the i-th proxy and returns its configuration.
func (f *Fleet) proxyConfig(name string, i int) (config proxyConfig, err error) {
	addressOf, err := f.linkEndpoints(name)
	if err != nil {
		return config, err
	}
	view, err := f.discovery.view(&f.discovery.proxyCalls, addressOf)
	if err != nil {
		return config, err
	}
	discoveryLink, err := f.link(name, "discovery", view)
	if err != nil {
		return config, err
	}
	known, err := f.discovery.currentList(addressOf)
	if err != nil {
		return config, err
	}
	config = proxyConfig{
		Name:      name,
		Listen:    proxyHost(i) + ":0",
		Discovery: discoveryLink.Addr(),
		Seed:      fmt.Sprintf("%x", f.Seed+uint64(i)),
		Limits:    proxyLimits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Known:     known,
		Settings:  json.RawMessage(settings),
		Routing:   routes(1),
	}
	if len(f.Replicas) > 0 {
		if config.Fleet, err = f.controlPlaneConfig(name, addressOf); err != nil {
			return config, err
		}
	}
	if f.ReplicasServeLists {
		config.Operator = adminHost + ":0"
	}
	return config, nil
}

// linkEndpoints opens a proxy's links to all endpoints, and returns a function from an endpoint's ID to the link's address.
func (f *Fleet) linkEndpoints(name string) (addressOf func(id string) string, err error) {
	addresses := map[string]string{}
	for _, e := range f.endpoints {
		link, err := f.link(name, e.ID, e.server.Addr)
		if err != nil {
			return nil, err
		}
		addresses[e.ID] = link.Addr()
	}
	return func(id string) string { return addresses[id] }, nil
}

// controlPlaneConfig opens a proxy's links to the replicas and returns the control-plane section of its configuration.
func (f *Fleet) controlPlaneConfig(name string, addressOf func(id string) string) (*controlPlaneConfig, error) {
	var addresses []string
	for _, replica := range f.Replicas {
		target := replica.Addr()
		if f.ReplicasServeLists {
			var err error
			if target, err = f.replicaView(replica, addressOf); err != nil {
				return nil, err
			}
		}
		link, err := f.proxyReplicaLink(name, replica, target)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, link.Addr())
	}
	return &controlPlaneConfig{
		Keepers:       addresses,
		Node:          name,
		AgreeWithinMS: f.AgreementTimeout.Milliseconds(),
		KnowForMS:     f.MemberTimeout.Milliseconds(),
		OnSilence:     cmp.Or(f.OnLeaseExpiry, fleetconfig.RejectOnExpiry),
	}, nil
}

// RestartProxy starts a new run of a proxy that has ended.
func (f *Fleet) RestartProxy(p *Proxy) error { return p.launch(f.ctx) }

// ProxiesExcept returns all proxies except the given ones.
func (f *Fleet) ProxiesExcept(except ...*Proxy) []*Proxy {
	return slices.DeleteFunc(slices.Clone(f.Proxies), func(p *Proxy) bool { return slices.Contains(except, p) })
}

// AwaitActiveAt waits until the logs of all given proxies show that a version or a later one is active. A proxy that was killed or
// stopped must be restarted during the wait.
func (f *Fleet) AwaitActiveAt(number uint64, proxies []*Proxy) error {
	return f.forEachProxy(proxies, func(proxy *Proxy) error {
		active := func(log string) bool {
			last, _ := lastActiveVersion(log)
			return last >= number
		}
		if len(f.Replicas) == 0 { // the proxy's file already contains the version, so another reload activates it
			reloads := func(log string) int { return strings.Count(log, "configuration read again") }
			before := reloads(proxy.Log())
			active = func(string) bool { return reloads(proxy.Log()) > before }
			if err := proxy.Reload(); err != nil {
				return err
			}
		}
		return proxy.AwaitLog(f.ctx, fmt.Sprintf("had version %d active", number), active)
	})
}
