package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/micafront/deploy"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/sitelang"
)

type demoCommand struct {
	Seconds int    `help:"How long it runs." default:"40"`
	Clients int    `help:"How many clients keep a connection." default:"240"`
	Servers int    `help:"How many endpoints there are, in two zones." default:"10"`
	Seed    uint64 `help:"The seed of all random choices." default:"1"`
	Site    string `help:"Another site than the sample; its addresses are replaced." type:"existingfile"`
	Log     string `help:"Write the proxy's log to this file."`
}

// Help returns the detailed help of the command. Kong calls it.
func (demoCommand) Help() string {
	return "Starts fake discovery, endpoints and clients on loopback and the real proxy between them, prints each " +
		"second what is served, rejected and migrated, and replaces the endpoints one after the other. Exit code 1 if " +
		"any rule was broken."
}

const (
	minServers          = 2
	minSeconds          = 3
	warmSetupTime       = 2 * time.Millisecond  // of a warm endpoint
	initialSetupTime    = 20 * time.Millisecond // of an endpoint that has just started
	minServerCapacity   = 8
	serverCapacityRatio = 4               // total capacity of all endpoints, in connections per client
	drainTime           = 5 * time.Second // between the start of an endpoint's drain and its stop
)

// demo is a site that runs on loopback: discovery, endpoints and clients.
type demo struct {
	demoCommand
	checker   *fakes.ProtocolChecker
	discovery *fakes.DiscoveryServer
	clients   *fakes.Clients

	mu        sync.Mutex
	endpoints []*fakes.Endpoint // the endpoints that are not draining
	draining  []drainingEndpoint
	started   int // number of endpoints started so far, for their ids
}

// drainingEndpoint is an endpoint that drains and is being replaced.
type drainingEndpoint struct {
	endpoint *fakes.Endpoint
	removal  *time.Timer // marks the endpoint as terminated in discovery and stops it
}

// Run runs the demonstration.
func (c *demoCommand) Run() error {
	program, err := proxyProgram()
	if err != nil {
		return err
	}
	site, err := c.loadSite()
	if err != nil {
		return err
	}
	d := &demo{demoCommand: *c, checker: fakes.NewProtocolChecker()}
	if d.discovery, err = fakes.NewDiscoveryServer(); err != nil {
		return err
	}
	defer d.discovery.Close()
	defer d.stopEndpoints()
	if err := d.startEndpoints(site); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "micafront-demo")
	if err != nil {
		return err
	}
	defer removeAll(dir)
	config, err := d.proxyConfig(site)
	if err != nil {
		return err
	}
	proxy, err := startDemoProxy(program, dir, config, d.Log)
	if err != nil {
		return err
	}
	runErr := d.run(proxy.addr, site)
	if err := proxy.stop(); err != nil {
		return fmt.Errorf("stopping the proxy: %w", err)
	}
	return runErr
}

// loadSite loads the site that the command line names, by default the sample site. Its error lists the findings.
func (c *demoCommand) loadSite() (*sitelang.Site, error) {
	var site *sitelang.Site
	var findings sitelang.Findings
	if c.Site == "" {
		site, findings = sitelang.Compile("deploy/thies.cue", deploy.Thies)
	} else {
		site, findings = sitelang.Load(c.Site)
	}
	if site == nil {
		return nil, findings.Err()
	}
	return site, nil
}

// startEndpoints starts the initial endpoints, assigned to the site's zones in turn.
func (d *demo) startEndpoints(site *sitelang.Site) error {
	zones := site.MatchSpace.Zones
	if len(zones) == 0 {
		zones = []string{site.Settings.Zone}
	}
	for i := range d.serverCount() {
		longAgo := time.Time{}
		if err := d.startEndpoint(zones[i%len(zones)], longAgo, warmSetupTime, i); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) serverCount() int { return max(d.Servers, minServers) }

// startEndpoint starts an endpoint and lists it in discovery with the given start time. It replaces the endpoint at index in
// d.endpoints, or is appended if there is none.
func (d *demo) startEndpoint(zone string, started time.Time, setupTime time.Duration, index int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	entry := fakes.Entry{ID: fmt.Sprintf("s-%02d", d.started), Zone: zone, MachineType: "m1", StartedAt: started}
	capacity := max(serverCapacityRatio*d.Clients/d.serverCount(), minServerCapacity)
	endpoint, err := fakes.NewEndpoint(entry, d.checker, capacity, setupTime)
	if err != nil {
		return err
	}
	if index < len(d.endpoints) {
		d.endpoints[index] = endpoint
	} else {
		d.endpoints = append(d.endpoints, endpoint)
	}
	d.discovery.Set(endpoint.Entry)
	return nil
}

// currentEndpoints returns the endpoints that are not draining.
func (d *demo) currentEndpoints() []*fakes.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.endpoints)
}

// stopEndpoints stops all endpoints, including the draining ones.
func (d *demo) stopEndpoints() {
	for _, endpoint := range d.currentEndpoints() {
		endpoint.Stop()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, drained := range d.draining {
		drained.removal.Stop()
		drained.endpoint.Stop() // the timer may have stopped it already
	}
}

// proxyConfig returns the site's JSON form with the addresses, seed and endpoint list of the demonstration. It removes the
// operator address and the additional listeners.
func (d *demo) proxyConfig(site *sitelang.Site) ([]byte, error) {
	var config map[string]any
	if err := json.Unmarshal(site.JSON, &config); err != nil {
		return nil, err
	}
	config["listen"] = "127.0.0.1:0"
	config["discovery"] = d.discovery.Addr
	config["seed"] = strconv.FormatUint(d.Seed, 16)
	config["known"] = json.RawMessage(d.discovery.List())
	delete(config, "operator")
	if routing, ok := config["routing"].(map[string]any); ok {
		delete(routing, "listeners")
	}
	return json.Marshal(config)
}
