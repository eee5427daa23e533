package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Plan describes the load and the faults of a run.
type Plan struct {
	Seed        uint64
	Endpoints   int
	MeanTimeout time.Duration   // of a request
	MaxTimeout  time.Duration   // of a request, also in the settings; a process is killed MaxTimeout + killDelay after SIGTERM
	IdleClients int             // number of idle connections to each proxy
	Suspensions []time.Duration // length of each suspension of the last proxy by SIGSTOP
	ClockStep   time.Duration   // step of the processes' wall clock halfway through the run; 0: none
	// CallsPerFault is the mean number of system calls on sockets for each one that fails; 0: none fails.
	CallsPerFault int
	Behaviors     []endpointBehavior // one for each listener that simulates endpoints
	// HotRestart makes the first process hand over to its successor, instead of a stop and a start.
	HotRestart  bool
	LoadReports bool // proxies ask endpoints for their load
}

const (
	killDelay           = 700 * time.Millisecond // after Plan.MaxTimeout
	runDuration         = 6 * time.Second        // until all processes are stopped
	proxyCount          = 2
	listenerCount       = 8
	maxEndpoints        = 3200
	rolloutBatches      = 12
	rolloutInterval     = 350 * time.Millisecond
	meanRequestInterval = 15 * time.Millisecond // mean time between the requests to a proxy
	persistentClients   = 12                    // clients with established connections to each proxy
)

// NewPlan returns the plan that the seed determines.
func NewPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 26181))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	plan := Plan{
		Seed:        seed,
		Endpoints:   []int{24, 200, maxEndpoints}[random.IntN(3)],
		MeanTimeout: between(300*time.Millisecond, 1500*time.Millisecond),
		MaxTimeout:  between(1800*time.Millisecond, 3*time.Second),
		Behaviors:   make([]endpointBehavior, listenerCount),
	}
	if random.IntN(2) == 0 {
		plan.IdleClients = 100 + random.IntN(200)
	}
	for range random.IntN(3) {
		plan.Suspensions = append(plan.Suspensions, between(50*time.Millisecond, 1500*time.Millisecond))
	}
	if random.IntN(3) == 0 {
		plan.ClockStep = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[random.IntN(4)]
	}
	if random.IntN(2) == 0 {
		plan.CallsPerFault = 10 + random.IntN(200)
	}
	for i := range 2 {
		plan.Behaviors[i] = endpointBehavior(random.IntN(int(behaviorCount)))
	}
	plan.HotRestart = random.IntN(3) == 0
	plan.LoadReports = random.IntN(4) == 0
	return plan
}

// String describes the plan for logs. It names only the faults that the plan has.
func (p Plan) String() string {
	parts := []string{fmt.Sprintf("seed %d: %d endpoints (%v, %v), mean timeout %v, maximum timeout %v", p.Seed, p.Endpoints, p.Behaviors[0], p.Behaviors[1],
		p.MeanTimeout.Round(time.Millisecond), p.MaxTimeout.Round(time.Millisecond))}
	if p.IdleClients > 0 {
		parts = append(parts, fmt.Sprintf("%d idle clients", p.IdleClients))
	}
	for _, suspension := range p.Suspensions {
		parts = append(parts, fmt.Sprintf("suspended for %v", suspension.Round(time.Millisecond)))
	}
	if p.ClockStep != 0 {
		parts = append(parts, fmt.Sprintf("clock stepped by %v", p.ClockStep))
	}
	if p.CallsPerFault > 0 {
		parts = append(parts, fmt.Sprintf("one in %d system calls fails", p.CallsPerFault))
	}
	if p.HotRestart {
		parts = append(parts, "hot restart")
	}
	if p.LoadReports {
		parts = append(parts, "load reports")
	}
	return strings.Join(parts, ", ")
}
