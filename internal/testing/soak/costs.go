package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	baselineEndpoints   = 200
	scaledEndpoints     = 16 * baselineEndpoints
	trafficDuration     = 12 * time.Second
	costRequestInterval = 150 * time.Millisecond // mean time between the requests to a process
	costSampleInterval  = 500 * time.Millisecond // between samples of memory and descriptors
	maxConcurrentStarts = 8
	megabyte            = 1 << 20
)

// Costs are the mean costs of a process of a group.
type Costs struct {
	CPU         time.Duration
	Memory      float64 // peak, in bytes
	Descriptors float64 // peak
	Connections float64 // opened to endpoints
	ListBytes   float64 // received from service discovery
	ServedShare float64 // share of all requests in the group that were connected to an endpoint, 0 to 1
}

// Bound limits what a list of scaledEndpoints may cost, relative to the cost of a list of baselineEndpoints. Scaled may be at most
// Factor*Baseline + Extra.
type Bound struct {
	Name             string
	Baseline, Scaled float64
	Factor, Extra    float64
	LowerBound       bool // Scaled must be at least Factor*Baseline + Extra instead
}

// Met reports whether Scaled satisfies the bound.
func (b Bound) Met() bool {
	limit := b.Factor*b.Baseline + b.Extra
	if b.LowerBound {
		return b.Scaled >= limit
	}
	return b.Scaled <= limit
}

// String returns a table row with the name, both costs, and the limit for the scaled cost.
func (b Bound) String() string {
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f |", b.Name, b.Baseline, b.Scaled, b.Factor*b.Baseline+b.Extra)
}

// Comparison is the result of CompareCosts.
type Comparison struct {
	Bounds      []Bound
	Violations  []string      // of the rules for requests, in both groups
	LongestWait time.Duration // for an answer, with scaledEndpoints
}

// CompareCosts runs two groups of processes concurrently, one with a list of baselineEndpoints and one with scaledEndpoints. Both get
// the same traffic, and the same share of both lists is replaced. It returns the costs and their bounds, which the operators set on
// the page of the standing test. With loadReports, the proxies ask endpoints for their load. It returns an error if dir cannot be written
// or a process does not start.
func CompareCosts(ctx context.Context, dir string, processes int, loadReports bool, program func() *exec.Cmd) (*Comparison, error) {
	baseline := &costGroup{endpointCount: baselineEndpoints, loadReports: loadReports}
	scaled := &costGroup{endpointCount: scaledEndpoints, loadReports: loadReports}
	groups := []*costGroup{baseline, scaled}
	for i, group := range groups {
		group.dir = filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(group.dir, 0o700); err != nil {
			return nil, err
		}
		if err := group.start(processes, program); err != nil {
			return nil, err
		}
		defer group.run.endpoints.close()
		defer group.run.discovery.Close()
	}
	var running sync.WaitGroup
	for _, group := range groups {
		running.Go(func() { group.runTraffic(ctx) })
	}
	running.Wait()
	baselineCosts, scaledCosts := baseline.meanCosts(), scaled.meanCosts()
	const thousands = scaledEndpoints / 1000.0
	bounds := []Bound{
		{Name: "processor time, s", Baseline: baselineCosts.CPU.Seconds(), Scaled: scaledCosts.CPU.Seconds(), Factor: 1.4, Extra: 0.02 + 0.03*thousands},
		{Name: "peak memory, MB", Baseline: baselineCosts.Memory / megabyte, Scaled: scaledCosts.Memory / megabyte, Factor: 1.5, Extra: 8 + 4*thousands},
		{Name: "descriptors", Baseline: baselineCosts.Descriptors, Scaled: scaledCosts.Descriptors, Factor: 2, Extra: 40},
		{Name: "connections to endpoints", Baseline: baselineCosts.Connections, Scaled: scaledCosts.Connections, Factor: 2.5, Extra: 40},
		{Name: "list bytes, KB", Baseline: baselineCosts.ListBytes / 1000, Scaled: scaledCosts.ListBytes / 1000, Factor: 2, Extra: 64 + 500*thousands},
		{Name: "share served", Baseline: baselineCosts.ServedShare, Scaled: scaledCosts.ServedShare, Factor: 0.85, LowerBound: true},
	}
	return &Comparison{
		Bounds:      bounds,
		Violations:  slices.Concat(baseline.run.clients.violations, scaled.run.clients.violations),
		LongestWait: scaled.run.clients.longestWait,
	}, nil
}

// costGroup is a group of processes whose endpoint lists have the same size.
type costGroup struct {
	endpointCount int
	loadReports   bool
	dir           string
	run           *run

	mu          sync.Mutex
	descriptors map[*proxy]int     // peak number of open descriptors
	memory      map[*proxy]float64 // peak, in bytes
	exitStates  []*os.ProcessState
}

// start starts the processes of the group, at most maxConcurrentStarts at a time, and waits until they serve.
func (g *costGroup) start(processes int, program func() *exec.Cmd) error {
	plan := Plan{
		Endpoints:   g.endpointCount,
		MeanTimeout: 2 * time.Second,
		MaxTimeout:  2 * time.Second,
		Behaviors:   make([]endpointBehavior, listenerCount),
		LoadReports: g.loadReports,
	}
	g.descriptors = map[*proxy]int{}
	g.memory = map[*proxy]float64{}
	var err error
	if g.run, err = newRun(Options{Plan: plan, Dir: g.dir, Program: program}); err != nil {
		return err
	}
	errs := make([]error, processes)
	var starting sync.WaitGroup
	permits := make(chan struct{}, maxConcurrentStarts)
	for i := range processes {
		p, err := g.run.addProxy(i)
		if err != nil {
			return err
		}
		starting.Go(func() {
			permits <- struct{}{}
			errs[i] = p.start()
			<-permits
		})
	}
	starting.Wait()
	if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
		return errs[i]
	}
	return nil
}

// runTraffic sends requests to all processes for trafficDuration while the endpoints are replaced, and then stops the processes.
func (g *costGroup) runTraffic(ctx context.Context) {
	trafficCtx, cancel := context.WithTimeout(ctx, trafficDuration)
	defer cancel()
	var tasks sync.WaitGroup
	for _, p := range g.run.proxies {
		tasks.Go(func() {
			for sleep(trafficCtx, costRequestInterval/2+g.run.clients.randomDuration(costRequestInterval)) {
				g.run.clients.wg.Go(func() { g.run.clients.requestOnce(p) })
			}
		})
	}
	tasks.Go(func() { g.run.rollOutEndpoints(trafficCtx) })
	tasks.Go(func() {
		for sleep(trafficCtx, costSampleInterval) {
			g.sample()
		}
	})
	tasks.Wait()
	g.run.clients.wg.Wait()
	g.sample()
	for _, p := range g.run.proxies {
		tasks.Go(func() {
			p.signal(syscall.SIGTERM)
			_ = p.command.Wait() // ProcessState records how it ended
			g.mu.Lock()
			defer g.mu.Unlock()
			g.exitStates = append(g.exitStates, p.command.ProcessState)
		})
	}
	tasks.Wait()
}

// sample updates the peaks of descriptors and memory of each process from /proc.
func (g *costGroup) sample() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.run.proxies {
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
			g.descriptors[p] = max(g.descriptors[p], len(open))
		}
		g.memory[p] = peakMemory(p.command.Process.Pid)
	}
}

// peakMemory returns the peak resident memory of a process, or 0 if it cannot be read. The peak in os.ProcessState is unusable,
// because it includes the memory of the process that started it.
func peakMemory(pid int) (bytes float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes float64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0
	}
	return kilobytes * 1024
}

// meanCosts returns the mean costs of the processes of the group.
func (g *costGroup) meanCosts() Costs {
	var costs Costs
	count := float64(len(g.exitStates))
	for _, state := range g.exitStates {
		costs.CPU += (state.UserTime() + state.SystemTime()) / time.Duration(len(g.exitStates))
	}
	for _, peak := range g.memory {
		costs.Memory += peak / count
	}
	for _, open := range g.descriptors {
		costs.Descriptors += float64(open) / count
	}
	costs.Connections = float64(g.run.endpoints.accepted.Load()) / count
	costs.ListBytes = float64(g.run.discovery.BytesSent()) / count
	total := 0
	for answer, n := range g.run.clients.answers {
		if strings.HasPrefix(answer, "UP") {
			costs.ServedShare = float64(n)
		}
		total += n
	}
	costs.ServedShare /= float64(max(total, 1))
	return costs
}
