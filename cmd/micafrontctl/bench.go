package main

import (
	"cmp"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
)

type benchCommand struct {
	Proxy   benchProxyCommand   `cmd:"" help:"Measure the running proxy, against another build of it in the same run."`
	Routing benchRoutingCommand `cmd:"" help:"Measure a routing decision on small and large tables."`
	Check   benchCheckCommand   `cmd:"" help:"Measure the check of a large site."`
}

// printHeading prints the command, the seed and the environment, by which the measurements below it can be reproduced.
func printHeading(seed uint64) {
	fmt.Printf("command: micafront %s\nseed: %d, processors: %d, %s\n\n", strings.Join(os.Args[1:], " "), seed, runtime.NumCPU(), runtime.Version())
}

// median returns the upper median of values, which need not be sorted.
func median[T cmp.Ordered](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// medianRatio returns the median of the ratios of values that were measured in the same round.
func medianRatio(numerators, denominators []float64) float64 {
	ratios := make([]float64, len(numerators))
	for i := range numerators {
		ratios[i] = numerators[i] / denominators[i]
	}
	return median(ratios)
}
