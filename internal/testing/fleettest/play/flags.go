package main

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/fleettest"
)

// flags contains the values of the command line.
type flags struct {
	fleettest.Options
	seconds         int // length of the schedule
	parallel        int // number of seeds that run concurrently
	eventInterval   time.Duration
	rolloutInterval time.Duration
	outage          time.Duration // 0: none
	withoutFaults   bool
	seeds           []uint64
	outDir          string // folder of the report; empty for standard output
	reportName      string // base name of the report's files
	resultPath      string // file for the result of one seed; empty for a report
	programDir      string
	commandLine     string   // all arguments, for the report
	forwarded       []string // flags that are passed to the process of each seed
}

// parseFlags parses and validates the command line.
func parseFlags(args []string, errOut io.Writer) (f flags, err error) {
	set := flag.NewFlagSet("play", flag.ContinueOnError)
	set.SetOutput(errOut)
	f.registerFleet(set)
	f.registerRun(set)
	seeds := set.String("seeds", "", "run several seeds, such as 1-20 or 1-4,9, each in a separate process")
	policy := set.String("silence", "", "what a proxy does after its lease expires, hold or serve; with -blackout, run only "+
		"this policy")
	if err := set.Parse(args); err != nil {
		return f, err
	}
	f.commandLine = strings.Join(args, " ")
	set.Visit(func(given *flag.Flag) {
		switch given.Name { // set per process, or used only by this one
		case "seed", "seeds", "side", "silence", "calm", "out", "name", "findings", "programs":
		default:
			f.forwarded = append(f.forwarded, "-"+given.Name+"="+given.Value.String())
		}
	})
	f.OnLeaseExpiry = fleetconfig.LeaseExpiryPolicy(*policy)
	if f.OnLeaseExpiry != "" && f.OnLeaseExpiry != fleetconfig.RejectOnExpiry && f.OnLeaseExpiry != fleetconfig.ServeOnExpiry {
		return f, fmt.Errorf("-silence %.40q: must be %q or %q", *policy, fleetconfig.RejectOnExpiry, fleetconfig.ServeOnExpiry)
	}
	if *seeds != "" {
		if f.seeds, err = fleettest.ParseSeeds(*seeds); err != nil {
			return f, err
		}
	}
	if set.NArg() > 0 {
		return f, fmt.Errorf("%.40q: no arguments other than flags are accepted", set.Arg(0))
	}
	if err := f.validate(); err != nil {
		return f, err
	}
	f.ReplicasServeLists = f.ReplicasServeLists && f.ReplicaCount > 0
	f.reportName = cmp.Or(f.reportName, defaultName)
	if f.outage > 0 && f.reportName == defaultName {
		f.reportName = defaultOutageName
	}
	return f, nil
}

// Default base names of the report's files.
const (
	defaultName       = "fleet-play"
	defaultOutageName = "fleet-blackout"
)

// registerFleet registers the flags that describe the fleet.
func (f *flags) registerFleet(set *flag.FlagSet) {
	set.IntVar(&f.ProxyCount, "proxies", 200, "number of proxies")
	set.IntVar(&f.ReplicaCount, "keepers", 5, "number of control-plane replicas; 0: the proxies reload their files on SIGHUP")
	set.Uint64Var(&f.Seed, "seed", 1, "seed of the schedule and of the links' faults")
	set.IntVar(&f.ClientsPerProxy, "clients", 2, "number of clients of each proxy")
	set.DurationVar(&f.RequestInterval, "pause", time.Second, "average time between a client's requests")
	set.IntVar(&f.EndpointsPerPool, "hops", 2, "number of endpoints in each of the four pools")
	set.DurationVar(&f.ConnSetupTime, "set-up", 2*time.Millisecond, "how long an endpoint takes to set up a connection; ten times "+
		"as long while it warms up")
	set.DurationVar(&f.WarmUpTime, "cold", 3*time.Second, "how long a restarted endpoint warms up")
	set.Float64Var(&f.DiscoveryRate, "discovery", 50, "requests per second that service discovery accepts; 0: unlimited")
	set.BoolVar(&f.ReplicasServeLists, "lists", true, "replicas follow service discovery and serve the endpoint list to proxies")
	set.DurationVar(&f.AgreementTimeout, "within", 2*time.Second, "the fleet's agreement timeout")
	set.DurationVar(&f.MemberTimeout, "know", 10*time.Second, "how long an unreachable proxy blocks a version")
}

// registerRun registers the flags that describe the run and its report.
func (f *flags) registerRun(set *flag.FlagSet) {
	set.IntVar(&f.seconds, "seconds", 120, "length of the schedule of faults")
	// A fleet of 200 proxies keeps three to four processors busy, whether each client sends a request every second or every 4 s.
	set.IntVar(&f.parallel, "side", max(1, runtime.NumCPU()/4), "number of seeds that run concurrently")
	set.DurationVar(&f.outage, "blackout", 0, "how long to stop all replicas, after a third of the run; runs each "+
		"lease expiry policy without and with other faults")
	set.BoolVar(&f.withoutFaults, "calm", false, "without other faults")
	set.DurationVar(&f.eventInterval, "every", 2*time.Second, "average time between faults")
	set.DurationVar(&f.rolloutInterval, "between", 3*time.Second, "time between versions")
	set.StringVar(&f.outDir, "out", "", "folder for the table and the charts; if empty, the table is printed")
	set.StringVar(&f.reportName, "name", "", "base name of their files (default fleet-play, or fleet-blackout with -blackout)")
	set.StringVar(&f.resultPath, "findings", "", "file for the result of one seed as JSON, instead of the table and charts")
	set.StringVar(&f.programDir, "programs", "", "folder of the built programs; if empty, they are built")
}

// validate checks the ranges of the flags, and that they do not conflict.
func (f *flags) validate() error {
	switch {
	case f.ProxyCount < 1 || f.ReplicaCount < 0 || f.ClientsPerProxy < 1 || f.EndpointsPerPool < 1 || f.seconds < 1 || f.parallel < 1:
		return errors.New("-proxies, -clients, -hops, -seconds and -side must be at least 1, -keepers at least 0")
	case f.RequestInterval <= 0 || f.eventInterval < time.Millisecond || f.rolloutInterval <= 0:
		return errors.New("-pause and -between must be positive, -every at least 1ms")
	case f.outage < 0 || f.outage > min(f.length()/2, maxOutage):
		return fmt.Errorf("-blackout %v: must be from 0 to half of -seconds, and at most %v", f.outage, maxOutage)
	case f.outage > 0 && (f.ReplicaCount == 0 || len(f.seeds) > 1):
		return errors.New("-blackout needs -keepers of at least 1, and a single seed")
	}
	return nil
}

// length returns the length of the schedule.
func (f *flags) length() time.Duration { return time.Duration(f.seconds) * time.Second }

// outageStart returns the time from the start of the schedule to the start of an outage.
func (f *flags) outageStart() time.Duration { return f.length() / 3 }

// maxOutage bounds the length of an outage. A proposal is retried for fakes.WaitTimeout, and must still be committed after an
// outage that begins meanwhile.
const maxOutage = fakes.WaitTimeout * 2 / 3
