package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Plan is what a run consists of.
type Plan struct {
	Seed      uint64
	Endpoints int
	Patience  time.Duration // of a request's client, in the mean
	Longest   time.Duration // deadline of the settings: a process is killed so long and killDelay after SIGTERM
	Crowd     int           // idle clients at a time
	HoldUps   []time.Duration
	Clock     time.Duration // by which the processes' wall clock is set midway
	// FaultEvery is every how many system calls on a socket one fails; 0: none does.
	FaultEvery int
	Behaviors  []endpointBehavior // of the listeners on which endpoints are played
	// HotRestart says that the first process hands over to its successor, in place of a stop and a start.
	HotRestart  bool
	LoadReports bool // endpoints report their load when they are asked
}

const (
	killDelay      = 700 * time.Millisecond // after the longest deadline
	runTime        = 6 * time.Second        // of clients, before the last processes are ended
	proxyCount     = 2
	listenerCount  = 8
	largeList      = 3200
	releaseParts   = 12
	releaseStep    = 350 * time.Millisecond
	requestPause   = 15 * time.Millisecond // between the requests to a proxy, in the mean
	persistentOnes = 12                    // clients with established connections, by proxy
)

// NewPlan draws a plan.
func NewPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 26181))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	plan := Plan{
		Seed:      seed,
		Endpoints: []int{24, 200, largeList}[random.IntN(3)],
		Patience:  between(300*time.Millisecond, 1500*time.Millisecond),
		Longest:   between(1800*time.Millisecond, 3*time.Second),
		Behaviors: make([]endpointBehavior, listenerCount),
	}
	if random.IntN(2) == 0 {
		plan.Crowd = 100 + random.IntN(200)
	}
	for range random.IntN(3) {
		plan.HoldUps = append(plan.HoldUps, between(50*time.Millisecond, 1500*time.Millisecond))
	}
	if random.IntN(3) == 0 {
		plan.Clock = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[random.IntN(4)]
	}
	if random.IntN(2) == 0 {
		plan.FaultEvery = 10 + random.IntN(200)
	}
	for i := range 2 {
		plan.Behaviors[i] = endpointBehavior(random.IntN(int(behaviorCount)))
	}
	plan.HotRestart = random.IntN(3) == 0
	plan.LoadReports = random.IntN(4) == 0
	return plan
}

// String says what is special in a plan.
func (p Plan) String() string {
	parts := []string{fmt.Sprintf("seed %d: %d endpoints (%v, %v), patience %v, deadline %v", p.Seed, p.Endpoints, p.Behaviors[0], p.Behaviors[1],
		p.Patience.Round(time.Millisecond), p.Longest.Round(time.Millisecond))}
	if p.Crowd > 0 {
		parts = append(parts, fmt.Sprintf("crowd of %d", p.Crowd))
	}
	for _, holdUp := range p.HoldUps {
		parts = append(parts, fmt.Sprintf("held up for %v", holdUp.Round(time.Millisecond)))
	}
	if p.Clock != 0 {
		parts = append(parts, fmt.Sprintf("clock set by %v", p.Clock))
	}
	if p.FaultEvery > 0 {
		parts = append(parts, fmt.Sprintf("every %dth system call fails", p.FaultEvery))
	}
	if p.HotRestart {
		parts = append(parts, "hot restart")
	}
	if p.LoadReports {
		parts = append(parts, "load reports")
	}
	return strings.Join(parts, ", ")
}
