package fleettest

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"sync"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/faultinject"
)

// Limits of the harness's own load on the machine.
const (
	maxParallelProxies       = 8 // proxies that are started, reloaded or awaited concurrently
	minSampleInterval        = 100 * time.Millisecond
	proxiesPerSampleInterval = 40 // number of proxies that lengthens the sample interval by minSampleInterval
)

// Fleet contains all processes, endpoints, clients and links of a test.
type Fleet struct {
	Options
	Network  *faultinject.Net
	Proxies  []*Proxy
	Replicas []*Replica

	ctx            context.Context
	cancel         context.CancelFunc
	startedAt      time.Time
	answerChecker  *fakes.ProtocolChecker // checks the answers that clients receive
	attemptChecker *fakes.ProtocolChecker // checks the attempts that endpoints receive
	discovery      *discovery
	endpoints      []*endpoint
	clients        *clientPool
	stopClients    context.CancelFunc // nil until the clients start
	sampler        sync.WaitGroup     // the goroutine of sampleProcesses, which ends with the context

	mu            sync.Mutex
	linksByTarget map[string][]faultinject.Link // by the target's name
	acknowledged  []acknowledgedVersion
	requestLines  []RequestLine
	rollouts      []Rollout
	events        []LoggedEvent
}

// New starts a fleet. When it returns, all processes serve and the clients send requests. Close stops the whole fleet. The end of
// the context ends links, clients and all waits, but not the processes.
func New(ctx context.Context, options Options) (*Fleet, error) {
	if err := options.checkDescriptors(); err != nil {
		return nil, err
	}
	fleet := &Fleet{
		Options:        options,
		startedAt:      time.Now(),
		answerChecker:  fakes.NewProtocolChecker(),
		attemptChecker: fakes.NewProtocolChecker(),
		linksByTarget:  map[string][]faultinject.Link{},
	}
	fleet.ctx, fleet.cancel = context.WithCancel(ctx)
	fleet.Network = faultinject.New(fleet.ctx, options.Seed)
	fleet.clients = &clientPool{checker: fleet.answerChecker, interval: options.RequestInterval, answersByProxy: map[string]int{}}
	if err := fleet.start(); err != nil {
		return nil, errors.Join(err, fleet.Close())
	}
	return fleet, nil
}

// start starts all parts of the fleet in the order of their dependencies.
func (f *Fleet) start() (err error) {
	if f.discovery, err = newDiscovery(f.DiscoveryRate); err != nil {
		return err
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	if err := f.startReplicas(); err != nil {
		return err
	}
	f.addRollout(Rollout{Number: 1, Pool: contestedPool(1), ProposedAt: time.Now()})
	if err := f.startProxies(); err != nil {
		return err
	}
	f.startClients()
	return nil
}

// startProxies starts all proxies, and starts to record their request lines.
func (f *Fleet) startProxies() error {
	var processes []*Process
	for i := range f.ProxyCount {
		if err := f.addProxy(i + 1); err != nil {
			return err
		}
		processes = append(processes, f.Proxies[i].Process)
	}
	if err := f.Network.Tap("proxy*/s-*", f.recordRequestLine); err != nil {
		return err
	}
	sampleInterval := minSampleInterval * time.Duration(1+len(processes)/proxiesPerSampleInterval)
	f.sampler.Go(func() { sampleProcesses(f.ctx, sampleInterval, processes) })
	return f.forEachProxy(f.Proxies, func(proxy *Proxy) error { return proxy.launch(f.ctx) })
}

func (f *Fleet) startClients() {
	ctx, stopClients := context.WithCancel(f.ctx)
	f.stopClients = stopClients
	for _, proxy := range f.Proxies {
		for n := range f.ClientsPerProxy {
			f.clients.start(ctx, proxy, f.Seed, n)
		}
	}
}

// forEachProxy calls do for all given proxies, for at most maxParallelProxies concurrently, and joins the errors.
func (f *Fleet) forEachProxy(proxies []*Proxy, do func(*Proxy) error) error {
	var wg sync.WaitGroup
	errs := make([]error, len(proxies))
	semaphore := make(chan struct{}, maxParallelProxies)
	for i, proxy := range proxies {
		wg.Go(func() {
			semaphore <- struct{}{}
			errs[i] = do(proxy)
			<-semaphore
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// link opens a link from one process to another, and registers it for retarget.
func (f *Fleet) link(from, to, target string) (faultinject.Link, error) {
	link, err := f.Network.Link(from+"/"+to, target)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.linksByTarget[to] = append(f.linksByTarget[to], link)
	}
	return link, err
}

// retarget points all registered links to a target at its current address.
func (f *Fleet) retarget(to, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, link := range f.linksByTarget[to] {
		link.Retarget(addr)
	}
}

// unusedAddress is the target of a link until the target process serves. No process listens on this privileged port.
const unusedAddress = "127.0.0.1:1"

// writeJSON replaces a file atomically by the JSON encoding of a value, so that no process reads a partial file.
func writeJSON(path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// StopClients stops the clients and waits until the last request of each has ended. No process may be paused meanwhile, since a
// paused proxy does not answer.
func (f *Fleet) StopClients() {
	if f.stopClients != nil {
		f.stopClients()
	}
	f.clients.wg.Wait()
}

// Close stops the whole fleet. The error names the processes that did not end.
func (f *Fleet) Close() error {
	for _, proxy := range f.Proxies {
		_ = proxy.Resume() // it may have ended
	}
	f.StopClients()
	f.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), fakes.WaitTimeout)
	defer cancel()
	errs := []error{f.forEachProxy(f.Proxies, func(proxy *Proxy) error { return proxy.Kill(ctx) })}
	for _, replica := range f.Replicas {
		errs = append(errs, replica.Kill(ctx))
	}
	f.sampler.Wait()
	for _, e := range f.endpoints {
		if e.server != nil {
			e.server.Stop()
		}
	}
	if f.discovery != nil {
		f.discovery.close()
	}
	f.Network.Close()
	return errors.Join(errs...)
}
