package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"example.org/micafront/internal/fakes"
)

// Options say how a run is played.
type Options struct {
	Plan    Plan
	Dir     string           // for configurations; empty
	Program func() *exec.Cmd // the proxy, in an environment in which InstallFaults runs first
}

// Report is what a run has shown.
type Report struct {
	Plan       Plan
	Answers    map[string]int // by their first word
	Attempts   int
	Violations []string
	Logs       map[string]string // of the processes, by name
}

// run is a run that is being played.
type run struct {
	Options
	random    *rand.Rand
	endpoints *endpoints
	discovery *fakes.DiscoveryServer
	proxies   []*proxy
	clients   *clients
	clockFile string
}

// newRun starts the endpoints and service discovery of a run.
func newRun(options Options) (*run, error) {
	r := &run{
		Options:   options,
		random:    rand.New(rand.NewPCG(options.Plan.Seed, 3)),
		clients:   newClients(options.Plan),
		clockFile: filepath.Join(options.Dir, "clock"),
	}
	var err error
	if r.endpoints, err = startEndpoints(options.Plan.Behaviors); err != nil {
		return nil, err
	}
	if r.discovery, err = fakes.NewDiscoveryServer(); err != nil {
		r.endpoints.close()
		return nil, err
	}
	r.discovery.Set(r.endpoints.entries(0, options.Plan.Endpoints, "in_service", time.Time{})...)
	return r, nil
}

// Run plays a plan. The error says that it could not be played.
func Run(ctx context.Context, options Options) (*Report, error) {
	r, err := newRun(options)
	if err != nil {
		return nil, err
	}
	defer r.endpoints.close()
	defer r.discovery.Close()
	for i := range proxyCount {
		p, err := r.addProxy(i)
		if err == nil {
			err = p.start()
		}
		if err != nil {
			return nil, err
		}
	}
	r.play(ctx)
	r.clients.wg.Wait()
	attempts := r.endpoints.attemptsByRequest()
	r.clients.checkAttempts(attempts)
	report := &Report{Plan: options.Plan, Answers: r.clients.answers, Violations: r.clients.violations, Attempts: len(attempts), Logs: map[string]string{}}
	for _, p := range r.proxies {
		report.Logs[p.name] = p.log.String()
	}
	return report, nil
}

// play has the clients send, and the faults happen, and ends all processes.
func (r *run) play(ctx context.Context) {
	sending, stopSending := context.WithTimeout(ctx, runTime)
	defer stopSending()
	using, stopUsing := context.WithCancel(ctx)
	defer stopUsing()
	var loads sync.WaitGroup
	for _, p := range r.proxies {
		loads.Go(func() { r.clients.load(using, p) })
	}
	var faults sync.WaitGroup
	for _, fault := range []func(context.Context){r.release, r.holdUps, r.reloads, r.setClock, r.restartFirst} {
		faults.Go(func() { fault(sending) })
	}
	faults.Wait()
	<-sending.Done()
	r.stopAll() // established connections are in use until the end
	stopUsing()
	loads.Wait()
}

// pause waits and reports whether the run goes on.
func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// release replaces endpoints in parts: draining, gone, new ones that start cold.
func (r *run) release(ctx context.Context) {
	part := max(r.Plan.Endpoints/releaseParts, 1)
	for first := 0; first < r.Plan.Endpoints/2; first += part {
		for _, lifecycle := range []string{"terminating", "terminated"} {
			if !pause(ctx, releaseStep) {
				return
			}
			r.discovery.Set(r.endpoints.entries(first, part, lifecycle, time.Time{})...)
		}
		if !pause(ctx, releaseStep) {
			return
		}
		r.discovery.Set(r.endpoints.entries(r.Plan.Endpoints+first, part, "in_service", time.Now().Add(r.Plan.Clock))...)
	}
}

func (r *run) holdUps(ctx context.Context) {
	for _, length := range r.Plan.HoldUps {
		if !pause(ctx, time.Second) {
			return
		}
		r.proxies[len(r.proxies)-1].stopFor(length)
	}
}

func (r *run) reloads(ctx context.Context) {
	for i := range 3 {
		if !pause(ctx, 1500*time.Millisecond) {
			return
		}
		from, to := `"MaxRetryAfter":1`, `"MaxRetryAfter":2`
		if i%2 == 1 {
			from, to = to, from
		}
		if err := r.proxies[i%len(r.proxies)].reload(from, to); err != nil {
			r.clients.violate("reload: %v", err)
		}
	}
}

func (r *run) setClock(ctx context.Context) {
	if r.Plan.Clock == 0 || !pause(ctx, runTime/2) {
		return
	}
	if err := os.WriteFile(r.clockFile, []byte(strconv.FormatInt(int64(r.Plan.Clock), 10)), 0o600); err != nil {
		r.clients.violate("clock: %v", err)
	}
}

// restartFirst ends the first process midway and starts it again.
func (r *run) restartFirst(ctx context.Context) {
	if !pause(ctx, runTime/4) {
		return
	}
	if r.Plan.HotRestart {
		if err := r.proxies[0].hotRestart(r.Plan.Longest); err != nil {
			r.clients.violate("hot restart: %v", err)
		}
		return
	}
	if err := r.proxies[0].stop(r.Plan.Longest); err != nil {
		r.clients.violate("%v", err)
	}
	if err := r.proxies[0].start(); err != nil {
		r.clients.violate("%v", err)
	}
}

// stopAll ends all processes at once.
func (r *run) stopAll() {
	var stopping sync.WaitGroup
	for _, p := range r.proxies {
		stopping.Go(func() {
			if err := p.stop(r.Plan.Longest); err != nil {
				r.clients.violate("%v", err)
			}
		})
	}
	stopping.Wait()
}

// addProxy writes the configuration of the i-th proxy, which it does not start.
func (r *run) addProxy(i int) (*proxy, error) {
	p := &proxy{name: fmt.Sprint("proxy", i), configPath: filepath.Join(r.Dir, fmt.Sprintf("proxy%d.json", i))}
	if err := os.WriteFile(p.configPath, []byte(r.config(p.name)), 0o600); err != nil {
		return nil, err
	}
	seed := r.random.Uint64()
	p.newCommand = func() *exec.Cmd {
		command := r.Program()
		command.Env = append(command.Env, "EDGE_CONFIG="+p.configPath, "TMPDIR="+r.Dir, envClockFile+"="+r.clockFile)
		if r.Plan.FaultEvery > 0 {
			command.Env = append(command.Env, fmt.Sprintf("%s=%d", envFaultEvery, r.Plan.FaultEvery), fmt.Sprintf("%s=%d", envFaultSeed, seed))
		}
		return command
	}
	r.proxies = append(r.proxies, p)
	return p, nil
}

// loadReportSettings are the members by which proxies ask endpoints for their load.
func (p Plan) loadReportSettings() string {
	if !p.LoadReports {
		return ""
	}
	return `"Stats":{"How":"probe","Fields":["outstanding","x0"]},"OverShareWorth":0.05,"Customers":[{"Name":"all","Share":1}],
		"FamilyInfo":{"TenantQuotaConnections":[1000]},`
}

// config is a proxy's configuration. Its known list is the one of the run's beginning.
func (r *run) config(name string) string {
	return fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"seed":"%x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"known":%s,"settings":{"Balancers":%d,"Discovery":"subscribe","Zone":"a",%s
		"Categories":[{"Name":"feed","Aim":1,"GiveUp":%g,"Credit":5,"Effect":"safe","DedupScope":"all"}],
		"Limits":{"AttemptsCap":4,"ConnectTimeout":0.3,"MaxRetryAfter":1,"MaxOpen":100000,"RetryAfter":true,"MayCancel":true,"Probes":true},
		"Invariants":{"AnswerSlack":0.016,"AskEvery":1,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3,"Fall":1,"OverloadFactor":3}}}`,
		name, r.discovery.Addr, r.random.Uint64(), r.discovery.List(), proxyCount, r.Plan.loadReportSettings(), r.Plan.Longest.Seconds())
}
