package fleettest

import (
	"sync"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/faultinject"
)

// maxConnsPerEndpoint is never reached.
const maxConnsPerEndpoint = 1 << 20

// endpoint is a fake endpoint behind its links.
type endpoint struct {
	fakes.Entry
	lifecycle sync.Mutex      // held while it is started or stopped
	server    *fakes.Endpoint // nil: it is stopped
}

// startEndpoints starts the endpoints of all pools, warmed up.
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

// startEndpoint starts an endpoint and lists it. It warms up, unless it was started long ago.
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

// StopEndpoint stops an endpoint and its connections. It stays listed. Indexes beyond the last endpoint wrap around.
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

// StartEndpoint starts a stopped endpoint, which then warms up.
func (f *Fleet) StartEndpoint(i int) error {
	e := f.endpoints[i%len(f.endpoints)]
	if err := f.startEndpoint(e, time.Now()); err != nil {
		return err
	}
	return f.Network.Clear("proxy*/"+e.ID, faultinject.Refuse)
}
