package fleettest

import (
	"sync"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/faultinject"
)

// maxConnsPerEndpoint is high enough that no endpoint rejects a connection.
const maxConnsPerEndpoint = 1 << 20

// endpoint is a fake endpoint that proxies reach through links.
type endpoint struct {
	fakes.Entry
	lifecycle sync.Mutex      // held while the endpoint is started, stopped or relisted
	server    *fakes.Endpoint // nil while the endpoint is stopped
}

// startEndpoints starts the endpoints of all pools as already warmed up.
func (f *Fleet) startEndpoints() error {
	longAgo := time.Now().Add(-time.Hour)
	for _, pool := range poolNames {
		for i := range f.EndpointsPerPool {
			e := &endpoint{Entry: fakes.Entry{ID: endpointID(pool, i), Zone: pool}}
			f.endpoints = append(f.endpoints, e)
			if err := f.startEndpoint(e, longAgo); err != nil {
				return err
			}
		}
	}
	return nil
}

// startEndpoint starts an endpoint and adds it to service discovery. The endpoint warms up until WarmUpTime after started.
func (f *Fleet) startEndpoint(e *endpoint, started time.Time) error {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	if e.server != nil {
		return nil
	}
	cost := f.ConnSetupTime
	if time.Since(started) < f.WarmUpTime {
		cost *= coldSetupFactor
	}
	server, err := fakes.NewEndpoint(e.Entry, f.attemptChecker, maxConnsPerEndpoint, cost)
	if err != nil {
		return err
	}
	e.server = server
	e.StartedAt = started
	time.AfterFunc(f.WarmUpTime, func() { server.SetSetupTime(f.ConnSetupTime) })
	f.retarget(e.ID, server.Addr)
	f.discovery.set(e.Entry)
	return nil
}

// StopEndpoint stops the i-th endpoint and closes its connections. The endpoint stays listed in service discovery. Indexes beyond
// the last endpoint wrap around.
func (f *Fleet) StopEndpoint(i int) error {
	e := f.endpoints[i%len(f.endpoints)]
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	if e.server == nil {
		return nil
	}
	e.server.Stop()
	e.server = nil
	return f.Network.Set("proxy*/"+e.ID, faultinject.Fault{Kind: faultinject.Refuse})
}

// StartEndpoint starts the i-th endpoint if it is stopped. The endpoint then warms up. Indexes beyond the last endpoint wrap
// around.
func (f *Fleet) StartEndpoint(i int) error {
	e := f.endpoints[i%len(f.endpoints)]
	if err := f.startEndpoint(e, time.Now()); err != nil {
		return err
	}
	return f.Network.Clear("proxy*/"+e.ID, faultinject.Refuse)
}
