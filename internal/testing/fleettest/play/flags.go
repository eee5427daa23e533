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

// flags are the command line.
type flags struct {
	fleettest.Options
	seconds         int // length of the schedule
	parallel        int // seeds at a time
	eventInterval   time.Duration
	rolloutInterval time.Duration
	outage          time.Duration // 0: none
	withoutFaults   bool
	seeds           []uint64
	outDir          string // folder of the report; empty: standard output
	reportName      string // of the report's files
	resultPath      string // file for the result of one seed
	programDir      string
	commandLine     string   // as given
	forwarded       []string // the flags that are passed on to the processes of seeds
}

// parseFlags reads and checks the command line.
func parseFlags(args []string, errOut io.Writer) (f flags, err error) {
	set := flag.NewFlagSet("play", flag.ContinueOnError)
	set.SetOutput(errOut)
	f.registerFleet(set)
	f.registerRun(set)
	seeds := set.String("seeds", "", "several seeds, such as 1-20 or 1-4,9: each is run by a process of its own")
	policy := set.String("silence", "", "what a proxy does after its lease expires, hold or serve; with -blackout: only this "+
		"one is run")
	if err := set.Parse(args); err != nil {
		return f, err
	}
	f.commandLine = strings.Join(args, " ")
	set.Visit(func(given *flag.Flag) {
		switch given.Name { // all but these are passed on
		case "seed", "seeds", "side", "silence", "calm", "out", "name", "findings", "programs":
		default:
			f.forwarded = append(f.forwarded, "-"+given.Name+"="+given.Value.String())
		}
	})
	f.OnLeaseExpiry = fleetconfig.LeaseExpiryPolicy(*policy)
	if f.OnLeaseExpiry != "" && f.OnLeaseExpiry != fleetconfig.RejectOnExpiry && f.OnLeaseExpiry != fleetconfig.ServeOnExpiry {
		return f, fmt.Errorf("-silence %.40q: it is neither %q nor %q", *policy, fleetconfig.RejectOnExpiry, fleetconfig.ServeOnExpiry)
	}
	if *seeds != "" {
		if f.seeds, err = fleettest.ParseSeeds(*seeds); err != nil {
			return f, err
		}
	}
	if set.NArg() > 0 {
		return f, fmt.Errorf("%.40q: no argument is taken but flags", set.Arg(0))
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

// Names of the report's files.
const (
	defaultName       = "fleet-play"
	defaultOutageName = "fleet-blackout"
)

// registerFleet registers the flags that describe the fleet.
func (f *flags) registerFleet(set *flag.FlagSet) {
	set.IntVar(&f.ProxyCount, "proxies", 200, "number of proxies")
	set.IntVar(&f.ReplicaCount, "keepers", 5, "number of the control plane's replicas; 0: the proxies read files at SIGHUP")
	set.Uint64Var(&f.Seed, "seed", 1, "the seed of the schedule and of the links' faults")
	set.IntVar(&f.ClientsPerProxy, "clients", 2, "number of clients of each proxy")
	set.DurationVar(&f.RequestInterval, "pause", time.Second, "between a client's requests, on average")
	set.IntVar(&f.EndpointsPerPool, "hops", 2, "number of endpoints in each of the four pools")
	set.DurationVar(&f.ConnSetupTime, "set-up", 2*time.Millisecond, "what a connection costs an endpoint; ten times as much "+
		"while it warms up")
	set.DurationVar(&f.WarmUpTime, "cold", 3*time.Second, "how long a restarted endpoint warms up")
	set.Float64Var(&f.DiscoveryRate, "discovery", 50, "requests per second that service discovery accepts; 0: any number")
	set.BoolVar(&f.ReplicasServeLists, "lists", true, "the replicas follow service discovery for all proxies")
	set.DurationVar(&f.AgreementTimeout, "within", 2*time.Second, "the fleet's agreement timeout")
	set.DurationVar(&f.MemberTimeout, "know", 10*time.Second, "for how long an unreachable proxy blocks a version")
}

// registerRun registers the flags that describe the run and its report.
func (f *flags) registerRun(set *flag.FlagSet) {
	set.IntVar(&f.seconds, "seconds", 120, "length of the schedule of faults")
	// A fleet of 200 proxies keeps three to four processors busy, whether clients come each second or every four.
	set.IntVar(&f.parallel, "side", max(1, runtime.NumCPU()/4), "number of seeds that run at a time")
	set.DurationVar(&f.outage, "blackout", 0, "for how long no replica runs, from a third of the run on; run with each "+
		"lease expiry policy, without and with other faults")
	set.BoolVar(&f.withoutFaults, "calm", false, "without other faults")
	set.DurationVar(&f.eventInterval, "every", 2*time.Second, "between faults, on average")
	set.DurationVar(&f.rolloutInterval, "between", 3*time.Second, "between versions")
	set.StringVar(&f.outDir, "out", "", "the folder for the table and the charts; without it, the table is printed")
	set.StringVar(&f.reportName, "name", "", "the name of their files (fleet-play, or fleet-blackout)")
	set.StringVar(&f.resultPath, "findings", "", "a file for the result of one seed as JSON, in place of table and charts")
	set.StringVar(&f.programDir, "programs", "", "the folder of the built programs; without it, they are built")
}

// validate checks the values of the flags against each other.
func (f *flags) validate() error {
	switch {
	case f.ProxyCount < 1 || f.ReplicaCount < 0 || f.ClientsPerProxy < 1 || f.EndpointsPerPool < 1 || f.seconds < 1 || f.parallel < 1:
		return errors.New("-proxies, -clients, -hops, -seconds and -side are 1 at least, -keepers 0")
	case f.RequestInterval <= 0 || f.eventInterval < time.Millisecond || f.rolloutInterval <= 0:
		return errors.New("-pause, -every and -between are above 0")
	case f.outage < 0 || f.outage > min(f.length()/2, maxOutage):
		return fmt.Errorf("-blackout %v: it is half of -seconds and %v at most", f.outage, maxOutage)
	case f.outage > 0 && (f.ReplicaCount == 0 || len(f.seeds) > 1):
		return errors.New("-blackout needs -keepers, and one seed")
	}
	return nil
}

// length returns the length of the schedule.
func (f *flags) length() time.Duration { return time.Duration(f.seconds) * time.Second }

// outageStart returns when an outage begins, since the start of the schedule.
func (f *flags) outageStart() time.Duration { return f.length() / 3 }

// maxOutage bounds an outage: a proposal is retried for fakes.WaitTimeout, and must be committed after the outage.
const maxOutage = fakes.WaitTimeout * 2 / 3
