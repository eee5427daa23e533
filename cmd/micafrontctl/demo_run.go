package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/sitelang"
)

const (
	demoArrivalStream    = 2 // PCG stream of the clients' groups and keys
	maxPrintedViolations = 10
	groupedClientRatio   = 3 // one client in this many belongs to a group
	groupSize            = 8 // clients per group if every client belonged to one
)

// Lifecycles of an endpoint that is shutting down, as discovery sends them.
const (
	lifecycleTerminating = "terminating"
	lifecycleTerminated  = "terminated"
)

// run connects the clients, prints counts each second, and replaces the endpoints during that time. All clients have ended
// when it returns.
func (d *demo) run(addr string, site *sitelang.Site) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.clients = fakes.NewClients(addr, d.checker, d.Seed)
	length := time.Duration(max(d.Seconds, minSeconds)) * time.Second
	connectTime := length / 3
	began := time.Now()
	var connecting sync.WaitGroup
	connecting.Go(func() { d.connectClients(ctx, site.MatchSpace.Classes, began, connectTime) })
	fmt.Printf("%d clients, %d endpoints, the proxy at %s, seed %d\n", d.Clients, len(d.currentEndpoints()), addr, d.Seed)
	fmt.Println(" time     open  served refused  failed   moved  set-up p50 / p99   on the endpoints")
	err := d.printProgress(ctx, began, length)
	cancel()
	connecting.Wait()
	d.clients.Wait()
	if !d.printSummary() {
		return exitCode(exitFailure)
	}
	return err
}

// printProgress prints counts each second until the demonstration ends, and starts the deploy during that time. It waits
// for the deploy to end and returns its error.
func (d *demo) printProgress(ctx context.Context, began time.Time, length time.Duration) error {
	deployAt := length * 2 / 5
	deployTime := length / 2
	var deployed chan error // nil until the deploy begins
	var last fakes.Counts
	for tick := time.Second; tick <= length; tick += time.Second {
		time.Sleep(time.Until(began.Add(tick)))
		if tick >= deployAt && deployed == nil {
			deployed = make(chan error, 1)
			fmt.Println("      a deploy begins: each endpoint drains, ends, and another one starts cold")
			go func() { deployed <- d.deploy(ctx, deployTime) }()
		}
		counts := d.checker.Counts()
		d.printCounts(tick, counts, last)
		last = counts
	}
	return <-deployed // the deploy has started by the last tick, so the channel is not nil
}

// connectClients connects the clients one after the other, evenly spread over duration.
func (d *demo) connectClients(ctx context.Context, classes []string, began time.Time, duration time.Duration) {
	rng := rand.New(rand.NewPCG(d.Seed, demoArrivalStream))
	for i := range d.Clients {
		offset := duration * time.Duration(i) / time.Duration(d.Clients)
		select {
		case <-time.After(time.Until(began.Add(offset))):
		case <-ctx.Done():
			return
		}
		group := ""
		if rng.IntN(groupedClientRatio) == 0 {
			group = fmt.Sprint("album-", rng.IntN(max(d.Clients/groupSize, 1)))
		}
		d.clients.Add(ctx, classes[i%len(classes)], fmt.Sprintf("%016x", rng.Uint64()), group)
	}
}

// printCounts prints the changes since the last counts, and the current numbers of connections.
func (d *demo) printCounts(elapsed time.Duration, counts, last fakes.Counts) {
	const microsPerMillisecond = 1e3
	p50, p99 := d.clients.SetupLatency()
	fmt.Printf("%4.0fs %8d %7d %7d %7d %7d %7.1f / %6.1f ms  %s\n", elapsed.Seconds(), d.clients.Established(),
		counts.Served-last.Served, counts.Rejected-last.Rejected, counts.Failed-last.Failed, counts.MoveRequests-last.MoveRequests,
		float64(p50)/microsPerMillisecond, float64(p99)/microsPerMillisecond, d.openPerEndpoint())
}

// printSummary prints the totals and the rule violations, and reports whether there are no violations.
func (d *demo) printSummary() bool {
	total := d.checker.Counts()
	fmt.Printf("in all: %d requests answered, %d served, %d refused, %d failed; %d attempts at endpoints, %d moves\n",
		total.Answers, total.Served, total.Rejected, total.Failed, total.Attempts, total.MoveRequests)
	violations := d.checker.Violations()
	for i, violation := range violations {
		if i == maxPrintedViolations {
			fmt.Printf("and %d more\n", len(violations)-i)
			break
		}
		fmt.Println("RULE BROKEN:", violation)
	}
	if len(violations) > 0 {
		return false
	}
	fmt.Println("no rule violation was observed: one final answer per request, no overlapping attempts, nothing new sent to draining endpoints")
	return true
}

// openPerEndpoint lists the number of open connections of each endpoint.
func (d *demo) openPerEndpoint() string {
	var out []string
	for _, endpoint := range d.currentEndpoints() {
		out = append(out, strconv.Itoa(endpoint.Established()))
	}
	return strings.Join(out, " ")
}

// deploy replaces every endpoint, one after the other, evenly spread over duration. It returns early when the context ends.
func (d *demo) deploy(ctx context.Context, duration time.Duration) error {
	former := d.currentEndpoints()
	interval := duration / time.Duration(len(former))
	for i, endpoint := range former {
		began := time.Now()
		d.drainEndpoint(endpoint, began)
		if err := d.startEndpoint(endpoint.Zone, began, initialSetupTime, i); err != nil {
			return err
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// drainEndpoint marks an endpoint as draining in discovery, and stops it after drainTime.
func (d *demo) drainEndpoint(endpoint *fakes.Endpoint, began time.Time) {
	entry := endpoint.Entry
	entry.Lifecycle = lifecycleTerminating
	d.checker.SetDraining(endpoint.ID, began)
	d.discovery.Set(entry)
	endpoint.Drain()
	removal := time.AfterFunc(drainTime, func() {
		entry.Lifecycle = lifecycleTerminated
		d.discovery.Set(entry)
		endpoint.Stop()
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = append(d.draining, drainingEndpoint{endpoint: endpoint, removal: removal})
}
