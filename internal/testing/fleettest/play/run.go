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

// runFleet runs a fleet through a schedule of faults, and reports violations, such as lost versions, in the result.
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
	result.schedule = f.generateSchedule()
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

// generateSchedule generates the schedule of faults. It excludes faults of replicas around an outage.
func (f *flags) generateSchedule() (schedule []fleettest.Event) {
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

// runSchedule runs the schedule and, concurrently, the proposals of versions and the outage.
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

// sleep waits for a duration. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// report contains the flags and the results of a run.
type report struct {
	flags
	fleettest.Findings
	commitTimes  []time.Duration // from a version's proposal until it was active
	lastVersion  uint64
	schedule     []fleettest.Event
	readyAt      time.Time // when all processes served
	outageBegan  time.Time
	outageEnded  time.Time
	conns        *fleettest.PersistentConns // nil in a run without an outage
	connFailures []string                   // descriptions of the failed connections of conns
	lostVersions []string                   // descriptions of versions that were lost
	waived       int                        // stale lines beyond the agreement timeout that ServeOnExpiry allows
	memory       int64                      // memory of the fleet's processes at the end, in bytes
	openFiles    int                        // open files of this process at the end
	fleetCPU     time.Duration              // CPU time of the fleet's processes
	harnessCPU   time.Duration              // CPU time of this process
	duration     time.Duration
}

// addViolations adds the violations that Findings does not report. It removes the overlaps beyond the agreement timeout if
// ServeOnExpiry allows them because of an outage.
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
	if r.withoutFaults { // other faults may close persistent connections
		for _, failure := range r.connFailures {
			r.Violations = append(r.Violations, "a persistent connection was closed: "+failure)
		}
	}
	if len(r.Answers) != r.Tally.Answers {
		r.Violations = append(r.Violations, fmt.Sprintf("%d requests have %d final answers", len(r.Answers), r.Tally.Answers))
	}
}

// recordCost records the duration and the CPU time of the run. It must be called after all processes of the fleet have ended.
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

// countOpenFiles returns the number of open files of this process.
func countOpenFiles() int {
	entries, _ := os.ReadDir("/proc/self/fd") // on an error the report shows 0
	return len(entries)
}
