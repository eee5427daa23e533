// Command explore runs simulated fleets under random faults and searches for violations of the invariants of package fleetsim.
// It prints a summary. Its exit code is 1 after a violation and 2 for an invalid command line.
//
//	go run ./internal/fleetsim/explore -seeds 300
//	go run ./internal/fleetsim/explore -seed 17 -trace
//	go run ./internal/fleetsim/explore -plant lease-not-checked
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"example.org/micafront/internal/fleetsim"
)

// Exit codes.
const (
	exitViolation = 1
	exitUsage     = 2
)

func main() {
	seeds := flag.Uint64("seeds", 1000, "number of seeds to run")
	from := flag.Uint64("from", 1, "first seed")
	seed := flag.Uint64("seed", 0, "run only this seed and print the latest events before a violation")
	trace := flag.Bool("trace", false, "with -seed: print every event")
	workers := flag.Int("workers", runtime.GOMAXPROCS(0), "number of seeds to run at a time")
	fault := flag.String("plant", "", fmt.Sprint("plant a fault, which the run must detect; one of ", fleetsim.PlantedFaultNames()))
	flag.Parse()
	hooks, known := fleetsim.PlantedFaultHooks(*fault)
	if *fault != "" && !known || flag.NArg() > 0 || *workers < 1 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	exploration := fleetsim.Exploration{FirstSeed: *from, SeedCount: *seeds, Workers: *workers, Hooks: hooks}
	single := *seed > 0
	if single {
		exploration.FirstSeed = *seed
		exploration.SeedCount = 1
		if *trace {
			exploration.Trace = os.Stdout
		}
	}
	began := time.Now()
	summary := fleetsim.ExploreAll(exploration)
	fmt.Print(summary.String())
	fmt.Printf("took %s with %d workers\n", time.Since(began).Round(time.Millisecond), *workers)
	if len(summary.Failed) > 0 {
		if single {
			fmt.Println(summary.Failed[0].Violation)
		}
		os.Exit(exitViolation)
	}
}
