package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"time"

	"example.org/micafront/internal/memestimate"
	"example.org/micafront/internal/memestimate/sets"
)

// limitFactors are the memory limits under which a table switch is measured, as multiples of its estimated peak; 0: no limit.
var limitFactors = []float64{0, 2, 1.5, 1.25, 1.1, 1.05, 1, 0.95}

// noLimit is a memory limit in bytes that no process reaches.
const noLimit = int64(1 << 62)

// sampleInterval is the interval at which watchPeak samples the memory.
const sampleInterval = time.Millisecond

// measureLimits measures the duration and memory of a switch between tables of o.maxRoutes routes under memory limits near its
// estimated peak, and writes the page. GOGC keeps its default, as in a proxy.
func measureLimits(o options) error {
	plan := sets.Plan{Kind: "mixed", Routes: o.maxRoutes, Seed: o.seed}
	text, err := plan.Encode()
	if err != nil {
		return err
	}
	counter := memestimate.New()
	e, err := estimate(counter, text)
	if err != nil {
		return err
	}
	current, err := sets.Compile(text)
	if err != nil {
		return err
	}
	estimatedPeak := counter.SwitchPeak(e, e, len(text))
	var b strings.Builder
	fmt.Fprintf(&b, "# A switch of route tables under a memory limit\n\ncommit %s\n\n"+
		"command: go run ./internal/memestimate/measure -limits -seed %d -routes %d\nseed: %d, processors: %d, %s\n\n",
		o.commit, o.seed, o.maxRoutes, o.seed, runtime.GOMAXPROCS(0), runtime.Version())
	fmt.Fprintf(&b, "A table of %d routes is reloaded while the same one is in use; the estimate's peak is %.1f MiB. Beside it the\n"+
		"process holds %.1f MiB (the program that measures, and the runtime). The limit is that and so many times the peak.\n\n"+
		"| limit, of the peak | ms, median of %d | of those without a limit | most held, MiB | over the limit, MiB |\n"+
		"| --- | --- | --- | --- | --- |\n", o.maxRoutes, float64(estimatedPeak)/mib, float64(memoryOutsideTable(e.LiveBytes))/mib, timingRounds)
	unlimited := time.Duration(0)
	for _, factor := range limitFactors {
		durations, peak, limit, err := timeSwitches(text, e, factor, estimatedPeak)
		if err != nil {
			return err
		}
		name := "none"
		excess := ""
		if factor > 0 {
			name = fmt.Sprint(factor)
			excess = fmt.Sprintf("%.1f", max(float64(peak)-float64(limit), 0)/mib)
		} else {
			unlimited = median(durations)
		}
		fmt.Fprintf(&b, "| %s | %.0f | %.2f | %.1f | %s |\n", name, milliseconds(median(durations)), float64(median(durations))/float64(unlimited),
			float64(peak)/mib, excess)
	}
	runtime.KeepAlive(current)
	runtime.KeepAlive(text)
	fmt.Print(b.String())
	return os.WriteFile(filepath.Join(o.out, "memory-limits.md"), []byte(b.String()), 0o644)
}

// timeSwitches compiles a table several times under a memory limit. The limit is the memory that the process uses without the
// table plus a multiple of the estimated peak. It returns the durations, the peak of the memory and the last limit, in bytes.
func timeSwitches(text []byte, e memestimate.Estimate, factor float64, estimatedPeak uint64) (durations []time.Duration, peak uint64, limit int64, err error) {
	limit = noLimit
	for range timingRounds {
		otherBytes := memoryOutsideTable(e.LiveBytes)
		if factor > 0 {
			limit = int64(otherBytes) + int64(factor*float64(estimatedPeak))
		}
		debug.SetMemoryLimit(limit)
		start := time.Now()
		used, err := watchPeak(func() error {
			_, err := sets.Compile(text)
			return err
		})
		if err != nil {
			return nil, 0, 0, err
		}
		durations = append(durations, time.Since(start))
		peak = max(peak, used)
		debug.SetMemoryLimit(noLimit)
	}
	return durations, peak, limit, nil
}

// memoryOutsideTable returns the memory that the process uses without a table of the given live bytes.
func memoryOutsideTable(live uint64) uint64 {
	debug.FreeOSMemory()
	total := mappedMemory()
	return total - min(live, total)
}

// mappedMemory returns the memory of the process in bytes, as the Go memory limit counts it.
func mappedMemory() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}

// watchPeak returns the largest sample of mappedMemory while a function runs.
func watchPeak(do func() error) (peak uint64, err error) {
	done := make(chan struct{})
	result := make(chan uint64)
	go func() {
		peak := mappedMemory()
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				peak = max(peak, mappedMemory())
			case <-done:
				result <- max(peak, mappedMemory())
				return
			}
		}
	}()
	err = do()
	close(done)
	return <-result, err
}
