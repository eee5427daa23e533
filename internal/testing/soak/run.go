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

// Options configure a run.
type Options struct {
	Plan    Plan
	Dir     string           // for configuration files; must be empty
	Program func() *exec.Cmd // returns the command of the proxy, which must call InstallFaults first
}

// Report is the result of a run.
type Report struct {
	Plan       Plan
	Answers    map[string]int // counts, by the first word of the answer
	Attempts   int            // number of requests that reached an endpoint
	Violations []string
	Logs       map[string]string // of the proxies, by name
}

// run is a run in progress.
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

// Run executes a plan. It returns an error if the run could not start; violations of the rules are in the report.
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
	r.execute(ctx)
	r.clients.wg.Wait()
	attempts := r.endpoints.attemptsByRequest()
	r.clients.checkAttempts(attempts)
	report := &Report{Plan: options.Plan, Answers: r.clients.answers, Violations: r.clients.violations, Attempts: len(attempts), Logs: map[string]string{}}
	for _, p := range r.proxies {
		report.Logs[p.name] = p.log.String()
	}
	return report, nil
}

// execute generates load, injects the faults of the plan, and stops all processes at the end.
func (r *run) execute(ctx context.Context) {
	faultCtx, endFaults := context.WithTimeout(ctx, runDuration)
	defer endFaults()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var generators sync.WaitGroup
	for _, p := range r.proxies {
		generators.Go(func() { r.clients.generateLoad(loadCtx, p) })
	}
	var faults sync.WaitGroup
	for _, fault := range []func(context.Context){r.rollOutEndpoints, r.suspendLastProxy, r.reloadProxies, r.stepClock, r.restartFirstProxy} {
		faults.Go(func() { fault(faultCtx) })
	}
	faults.Wait()
	<-faultCtx.Done()
	r.stopAllProxies() // the load continues, so that established connections are in use during the stop
	stopLoad()
	generators.Wait()
}

// sleep waits for a time. It returns false at once when ctx is done.
func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// rollOutEndpoints replaces half of the endpoints in batches: the endpoints of a batch drain, then leave the list, and then new
// endpoints join, which start cold.
func (r *run) rollOutEndpoints(ctx context.Context) {
	batch := max(r.Plan.Endpoints/rolloutBatches, 1)
	for first := 0; first < r.Plan.Endpoints/2; first += batch {
		for _, lifecycle := range []string{"terminating", "terminated"} {
			if !sleep(ctx, rolloutInterval) {
				return
			}
			r.discovery.Set(r.endpoints.entries(first, batch, lifecycle, time.Time{})...)
		}
		if !sleep(ctx, rolloutInterval) {
			return
		}
		r.discovery.Set(r.endpoints.entries(r.Plan.Endpoints+first, batch, "in_service", time.Now().Add(r.Plan.ClockStep))...)
	}
}

// suspendLastProxy suspends the last proxy for each duration of the plan.
func (r *run) suspendLastProxy(ctx context.Context) {
	for _, length := range r.Plan.Suspensions {
		if !sleep(ctx, time.Second) {
			return
		}
		r.proxies[len(r.proxies)-1].suspend(length)
	}
}

// reloadProxies reloads the proxies in turn, each time with a changed setting.
func (r *run) reloadProxies(ctx context.Context) {
	for i := range 3 {
		if !sleep(ctx, 1500*time.Millisecond) {
			return
		}
		from, to := `"MaxRetryAfter":1`, `"MaxRetryAfter":2`
		if i%2 == 1 {
			from, to = to, from
		}
		if err := r.proxies[i%len(r.proxies)].reload(from, to); err != nil {
			r.clients.reportViolation("reload: %v", err)
		}
	}
}

// stepClock steps the wall clock of the processes halfway through the run.
func (r *run) stepClock(ctx context.Context) {
	if r.Plan.ClockStep == 0 || !sleep(ctx, runDuration/2) {
		return
	}
	if err := os.WriteFile(r.clockFile, []byte(strconv.FormatInt(int64(r.Plan.ClockStep), 10)), 0o600); err != nil {
		r.clients.reportViolation("clock: %v", err)
	}
}

// restartFirstProxy restarts the first proxy after a quarter of the run.
func (r *run) restartFirstProxy(ctx context.Context) {
	if !sleep(ctx, runDuration/4) {
		return
	}
	if r.Plan.HotRestart {
		if err := r.proxies[0].hotRestart(r.Plan.MaxTimeout); err != nil {
			r.clients.reportViolation("hot restart: %v", err)
		}
		return
	}
	if err := r.proxies[0].stop(r.Plan.MaxTimeout); err != nil {
		r.clients.reportViolation("%v", err)
	}
	if err := r.proxies[0].start(); err != nil {
		r.clients.reportViolation("%v", err)
	}
}

// stopAllProxies stops all processes concurrently.
func (r *run) stopAllProxies() {
	var stopping sync.WaitGroup
	for _, p := range r.proxies {
		stopping.Go(func() {
			if err := p.stop(r.Plan.MaxTimeout); err != nil {
				r.clients.reportViolation("%v", err)
			}
		})
	}
	stopping.Wait()
}

// addProxy writes the configuration of the i-th proxy and adds the proxy to the run, but does not start it.
func (r *run) addProxy(i int) (*proxy, error) {
	p := &proxy{name: fmt.Sprint("proxy", i), configPath: filepath.Join(r.Dir, fmt.Sprintf("proxy%d.json", i))}
	if err := os.WriteFile(p.configPath, []byte(r.config(p.name)), 0o600); err != nil {
		return nil, err
	}
	seed := r.random.Uint64()
	p.newCommand = func() *exec.Cmd {
		command := r.Program()
		command.Env = append(command.Env, "EDGE_CONFIG="+p.configPath, "TMPDIR="+r.Dir, envClockFile+"="+r.clockFile)
		if r.Plan.CallsPerFault > 0 {
			command.Env = append(command.Env, fmt.Sprintf("%s=%d", envFaultEvery, r.Plan.CallsPerFault), fmt.Sprintf("%s=%d", envFaultSeed, seed))
		}
		return command
	}
	r.proxies = append(r.proxies, p)
	return p, nil
}

// loadReportSettings returns the settings with which proxies ask endpoints for their load, or "" if the plan has no load reports.
func (p Plan) loadReportSettings() string {
	if !p.LoadReports {
		return ""
	}
	return `"Stats":{"How":"probe","Fields":["outstanding","x0"]},"OverShareWorth":0.05,"Customers":[{"Name":"all","Share":1}],
		"FamilyInfo":{"TenantQuotaConnections":[1000]},`
}

// config returns the configuration of a proxy. Its list of known endpoints is the one from the start of the run, also after a
// restart.
func (r *run) config(name string) string {
	return fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"seed":"%x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"known":%s,"settings":{"Balancers":%d,"Discovery":"subscribe","Zone":"a",%s
		"Categories":[{"Name":"feed","Aim":1,"GiveUp":%g,"Credit":5,"Effect":"safe","DedupScope":"all"}],
		"Limits":{"AttemptsCap":4,"ConnectTimeout":0.3,"MaxRetryAfter":1,"MaxOpen":100000,"RetryAfter":true,"MayCancel":true,"Probes":true},
		"Invariants":{"AnswerSlack":0.016,"AskEvery":1,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3,"Fall":1,"OverloadFactor":3}}}`,
		name, r.discovery.Addr, r.random.Uint64(), r.discovery.List(), proxyCount, r.Plan.loadReportSettings(), r.Plan.MaxTimeout.Seconds())
}
