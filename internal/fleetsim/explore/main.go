// Command explore looks for schedules of faults under which a fleet breaks one of its invariants, and replays them.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"example.org/micafront/internal/fleetsim"
)

func main() {
	seeds := flag.Uint64("seeds", 1000, "how many seeds to run")
	from := flag.Uint64("from", 1, "the first seed")
	one := flag.Uint64("seed", 0, "run this one alone and show what led to a breach")
	trace := flag.Bool("trace", false, "with -seed: show every event")
	workers := flag.Int("workers", runtime.GOMAXPROCS(0), "how many run at a time")
	name := flag.String("plant", "", fmt.Sprint("plant a fault, one of ", fleetsim.PlantNames()))
	flag.Parse()
	hooks, ok := fleetsim.Plant(*name)
	if *name != "" && !ok || flag.NArg() > 0 || *workers < 1 {
		flag.Usage()
		os.Exit(2)
	}
	var out io.Writer
	if *one > 0 {
		*from, *seeds = *one, 1
		if *trace {
			out = os.Stdout
		}
	}
	began := time.Now()
	sum := fleetsim.ExploreAll(*from, *seeds, *workers, false, hooks, out)
	fmt.Print(sum.String())
	fmt.Printf("took %s with %d workers\n", time.Since(began).Round(time.Millisecond), *workers)
	if len(sum.Failed) > 0 {
		if *one > 0 {
			fmt.Println(sum.Failed[0].Breach)
		}
		os.Exit(1)
	}
}
