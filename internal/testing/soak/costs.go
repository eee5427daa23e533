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
	usualEndpoints = 200
	manyEndpoints  = 16 * usualEndpoints
	costTime       = 12 * time.Second // of traffic
	costPause      = 150 * time.Millisecond
	costSamples    = 500 * time.Millisecond // between two counts of descriptors
	startsAtATime  = 8
	megabyte       = 1 << 20
)

// Costs are what a group's processes needed in the mean.
type Costs struct {
	CPU         time.Duration
	Memory      float64 // peak, in bytes
	Descriptors float64 // the most of each process
	Connections float64 // made to endpoints
	ListBytes   float64 // from service discovery
	Served      float64 // share of the requests
}

// Bound is one bound on what a list of manyEndpoints may cost beside one of usualEndpoints.
type Bound struct {
	Name          string
	Usual, Many   float64
	Factor, Extra float64 // Many may be Factor times Usual, and Extra more
	Least         bool    // the bound is from below
}

// Met reports whether the larger list costs no more than the bound allows.
func (b Bound) Met() bool {
	limit := b.Factor*b.Usual + b.Extra
	if b.Least {
		return b.Many >= limit
	}
	return b.Many <= limit
}

// String is a row of a table: the costs at both sizes, and the bound.
func (b Bound) String() string {
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f |", b.Name, b.Usual, b.Many, b.Factor*b.Usual+b.Extra)
}

// Comparison is what CompareCosts has found.
type Comparison struct {
	Bounds      []Bound
	Violations  []string      // of the rules for requests
	LongestWait time.Duration // for an answer, with manyEndpoints
}

// CompareCosts runs two groups of processes side by side, with the same traffic and the same share of their lists replaced, and
// returns the bounds that operators set (the page of the standing test). loadReports says that endpoints are asked for their load.
func CompareCosts(ctx context.Context, dir string, processes int, loadReports bool, program func() *exec.Cmd) (*Comparison, error) {
	usual := &costGroup{endpointCount: usualEndpoints, loadReports: loadReports}
	many := &costGroup{endpointCount: manyEndpoints, loadReports: loadReports}
	groups := []*costGroup{usual, many}
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
	var playing sync.WaitGroup
	for _, group := range groups {
		playing.Go(func() { group.play(ctx) })
	}
	playing.Wait()
	a, b := usual.costs(), many.costs()
	const thousands = manyEndpoints / 1000.0
	bounds := []Bound{
		{Name: "processor time, s", Usual: a.CPU.Seconds(), Many: b.CPU.Seconds(), Factor: 1.4, Extra: 0.02 + 0.03*thousands},
		{Name: "peak memory, MB", Usual: a.Memory / megabyte, Many: b.Memory / megabyte, Factor: 1.5, Extra: 8 + 4*thousands},
		{Name: "descriptors", Usual: a.Descriptors, Many: b.Descriptors, Factor: 2, Extra: 40},
		{Name: "connections to endpoints", Usual: a.Connections, Many: b.Connections, Factor: 2.5, Extra: 40},
		{Name: "list bytes, KB", Usual: a.ListBytes / 1000, Many: b.ListBytes / 1000, Factor: 2, Extra: 64 + 500*thousands},
		{Name: "share served", Usual: a.Served, Many: b.Served, Factor: 0.85, Least: true},
	}
	return &Comparison{
		Bounds:      bounds,
		Violations:  slices.Concat(usual.run.clients.violations, many.run.clients.violations),
		LongestWait: many.run.clients.longest,
	}, nil
}

// costGroup is a group of processes with lists of one size.
type costGroup struct {
	endpointCount int
	loadReports   bool
	dir           string
	run           *run

	mu          sync.Mutex
	descriptors map[*proxy]int     // the most that were open
	memory      map[*proxy]float64 // peak, in bytes
	states      []*os.ProcessState
}

func (g *costGroup) start(processes int, program func() *exec.Cmd) error {
	plan := Plan{
		Endpoints:   g.endpointCount,
		Patience:    2 * time.Second,
		Longest:     2 * time.Second,
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
	slots := make(chan struct{}, startsAtATime)
	for i := range processes {
		p, err := g.run.addProxy(i)
		if err != nil {
			return err
		}
		starting.Go(func() {
			slots <- struct{}{}
			errs[i] = p.start()
			<-slots
		})
	}
	starting.Wait()
	if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
		return errs[i]
	}
	return nil
}

// play sends requests to all processes while the list is replaced, and ends them.
func (g *costGroup) play(ctx context.Context) {
	playing, cancel := context.WithTimeout(ctx, costTime)
	defer cancel()
	var working sync.WaitGroup
	for _, p := range g.run.proxies {
		working.Go(func() {
			for pause(playing, costPause/2+g.run.clients.drawTime(costPause)) {
				g.run.clients.wg.Go(func() { g.run.clients.requestOnce(p) })
			}
		})
	}
	working.Go(func() { g.run.release(playing) })
	working.Go(func() {
		for pause(playing, costSamples) {
			g.sample()
		}
	})
	working.Wait()
	g.run.clients.wg.Wait()
	g.sample()
	for _, p := range g.run.proxies {
		working.Go(func() {
			p.signal(syscall.SIGTERM)
			_ = p.command.Wait() // the state tells how it ended
			g.mu.Lock()
			defer g.mu.Unlock()
			g.states = append(g.states, p.command.ProcessState)
		})
	}
	working.Wait()
}

// sample reads what the kernel counts of each process.
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

// peakMemory is the most memory that a process has had. What the kernel gives with the process's end is of no use: it has the memory
// of the process that started it as well.
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

// costs sums up the group.
func (g *costGroup) costs() Costs {
	var costs Costs
	count := float64(len(g.states))
	for _, state := range g.states {
		costs.CPU += (state.UserTime() + state.SystemTime()) / time.Duration(len(g.states))
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
			costs.Served = float64(n)
		}
		total += n
	}
	costs.Served /= float64(max(total, 1))
	return costs
}
