package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"time"

	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/fleettest"
)

// runFleet runs a fleet through a schedule of faults. A lost version is a violation in the report.
func runFleet(ctx context.Context, f flags, errOut io.Writer) (result *report, err error) {
	result = &report{flags: f}
	start := time.Now()
	fleet, err := fleettest.New(ctx, f.Options)
	if err != nil {
		return nil, err
	}
	defer func() {
		err = errors.Join(err, fleet.Close())
		if result != nil {
			result.recordCost(time.Since(start))
		}
	}()
	if len(fleet.Replicas) > 0 {
		if err := fleet.AwaitActiveAt(1, fleet.Proxies); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(errOut, "%d proxies and %d replicas serve after %v\n", len(fleet.Proxies), len(fleet.Replicas),
		time.Since(start).Round(time.Millisecond))
	result.schedule = f.drawSchedule()
	if f.outage > 0 {
		if result.conns, err = fleet.OpenPersistentConns(); err != nil {
			return nil, err
		}
		defer result.conns.Close()
	}
	if err := result.runSchedule(ctx, fleet); err != nil {
		return nil, err
	}
	if result.lastVersion, err = fleet.Propose(); err == nil {
		err = fleet.AwaitActiveAt(result.lastVersion, fleet.Proxies)
	}
	if err != nil {
		return nil, err
	}
	lostErr := fleet.VerifyVersions()
	result.memory = fleet.Memory()
	result.openFiles = countOpenFiles()
	if result.conns != nil {
		result.connFailures = result.conns.Close()
	}
	fleet.StopClients()
	result.Findings = fleet.Findings()
	result.addViolations(lostErr)
	return result, nil
}

// drawSchedule draws the schedule of faults, which leaves replicas alone around an outage.
func (f *flags) drawSchedule() (schedule []fleettest.Event) {
	if !f.withoutFaults {
		schedule = fleettest.GenerateSchedule(fleettest.ScheduleOptions{
			Seed:               f.Seed,
			Length:             f.length(),
			Interval:           f.eventInterval,
			Proxies:            f.ProxyCount,
			Replicas:           f.ReplicaCount,
			Endpoints:          fleettest.PoolCount * f.EndpointsPerPool,
			ReplicasServeLists: f.ReplicasServeLists,
		})
	}
	if f.outage > 0 {
		schedule = fleettest.ExcludeReplicaEvents(schedule, f.outageStart(), f.outageStart()+f.outage)
	}
	return schedule
}

// runSchedule carries out the schedule, while versions are proposed and the outage happens.
func (r *report) runSchedule(ctx context.Context, fleet *fleettest.Fleet) error {
	r.readyAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.length())
	defer cancel()
	errs := make(chan error, 2)
	go func() {
		var err error
		r.commitTimes, err = fleet.ProposeVersions(ctx, r.rolloutInterval)
		errs <- err
	}()
	go func() {
		var err error
		if r.outage > 0 && sleep(ctx, r.outageStart()) == nil {
			r.outageBegan, r.outageEnded, err = fleet.StopReplicasFor(r.outage)
		}
		errs <- err
	}()
	scheduleErr := fleet.RunSchedule(r.schedule)
	return errors.Join(scheduleErr, <-errs, <-errs)
}

// sleep waits for a duration. It fails when the context ends before.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// report is the results of a run.
type report struct {
	flags
	fleettest.Findings
	commitTimes  []time.Duration // from a version's proposal until it was active
	lastVersion  uint64
	schedule     []fleettest.Event
	readyAt      time.Time // when all processes served
	outageBegan  time.Time
	outageEnded  time.Time
	conns        *fleettest.PersistentConns // nil: without an outage
	connFailures []string                   // of conns
	lostVersions []string                   // descriptions
	waived       int                        // stale lines over the bound, which ServeOnExpiry allows
	memory       int64                      // of the fleet's processes at the end, in bytes
	openFiles    int                        // of this process at the end
	fleetCPU     time.Duration              // used by the fleet's processes
	harnessCPU   time.Duration              // used by this process
	duration     time.Duration
}

// addViolations adds the violations beside the findings' own. In an outage, ServeOnExpiry allows overlaps beyond the
// agreement timeout.
func (r *report) addViolations(lostErr error) {
	overlaps := len(r.OverBound)
	if r.OnLeaseExpiry == fleetconfig.ServeOnExpiry && r.outage > 0 {
		r.waived = overlaps
		r.Violations = r.Violations[overlaps:]
		overlaps = 0
	}
	for i := range overlaps {
		r.Violations[i] = "versions overlapped for longer than the agreement timeout: " + r.Violations[i]
	}
	if lostErr != nil {
		r.lostVersions = strings.Split(lostErr.Error(), "\n")
		for _, version := range r.lostVersions {
			r.Violations = append(r.Violations, "a version was lost: "+version)
		}
	}
	if r.withoutFaults { // other faults close some of them
		for _, failure := range r.connFailures {
			r.Violations = append(r.Violations, "a persistent connection was closed: "+failure)
		}
	}
	if len(r.Answers) != r.Tally.Answers {
		r.Violations = append(r.Violations, fmt.Sprintf("%d requests have %d final answers", len(r.Answers), r.Tally.Answers))
	}
}

// recordCost records what the run used of this machine, once all its processes have ended.
func (r *report) recordCost(duration time.Duration) {
	cpuTime := func(who int) time.Duration {
		var usage syscall.Rusage
		if syscall.Getrusage(who, &usage) != nil {
			return 0
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	r.duration = duration
	r.fleetCPU = cpuTime(syscall.RUSAGE_CHILDREN)
	r.harnessCPU = cpuTime(syscall.RUSAGE_SELF)
}

// countOpenFiles returns how many files this process has open.
func countOpenFiles() int {
	entries, _ := os.ReadDir("/proc/self/fd") // only for the report
	return len(entries)
}
