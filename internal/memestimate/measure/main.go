// Command measure compares the estimates of memestimate with the memory that route tables actually use. It generates route sets
// of all kinds, compiles each, and writes a page of measurements and a chart.
//
//	go run ./internal/memestimate/measure -seed 1 -tables 220 -out docs/results
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/memestimate"
	"example.org/micafront/internal/memestimate/sets"
	"example.org/micafront/internal/routing"
)

// Required accuracy and cost of the estimate for tables of 1 MiB or more.
const (
	minRatio     = 0.95 // of the estimate to the measured value
	maxRatio     = 1.15
	maxTimeRatio = 1.0 / 20 // of the estimate's time to the compile time
)

const (
	mib = 1 << 20

	// Heap growth in percent that triggers a garbage collection during a measurement.
	smallTableGCPercent = 4
	largeTableGCPercent = 5
	minLargeTable       = 32 * mib

	timingRounds = 7 // the median of the rounds is reported
	minTiming    = 2 * time.Millisecond
)

// measurement is the result for one table. Each ratio is the estimate divided by the measured value.
type measurement struct {
	plan        sets.Plan
	rules       uint64
	live        uint64 // bytes
	peak        uint64 // bytes, during a table switch
	liveRatio   float64
	switchRatio float64
	timeRatio   float64 // time of estimating divided by time of compiling
	compile     time.Duration
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the tables")
	tables := flag.Int("tables", 220, "number of tables")
	maxRoutes := flag.Int("routes", 200_000, "routes of the largest table")
	maxSize := flag.Int("room", 200_000, "largest size of a table, in routes with one exact text")
	out := flag.String("out", "docs/results", "folder to write memory.md and memory.html to, or memory-limits.md")
	commit := flag.String("commit", "", "commit that is measured (default: the output of git describe)")
	limited := flag.Bool("limits", false, "measure a table switch under memory limits instead")
	flag.Parse()
	o := options{seed: *seed, tables: *tables, maxRoutes: *maxRoutes, maxSize: *maxSize, out: *out, commit: *commit}
	if err := run(o, *limited); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// options are the flags of the command.
type options struct {
	seed      uint64
	tables    int
	maxRoutes int
	maxSize   int    // largest size of a table, in routes with one exact text
	out       string // folder
	commit    string
}

func run(o options, limited bool) error {
	if o.commit == "" {
		var err error
		if o.commit, err = describeCommit(); err != nil {
			return err
		}
	}
	if limited {
		return measureLimits(o)
	}
	return measureTables(o)
}

// describeCommit returns the checked-out commit as git describe names it.
func describeCommit() (string, error) {
	text, err := exec.Command("git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return "", fmt.Errorf("git describe failed; pass the commit with -commit: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// measureTables measures all tables, and writes the page and the chart.
func measureTables(o options) error {
	if !sets.HasStopTheWorldGC() {
		return runWithStopTheWorldGC()
	}
	counter := memestimate.New()
	var measurements []measurement
	for _, p := range sets.Plans(o.seed, o.tables, o.maxRoutes, o.maxSize) {
		m, err := measure(counter, p)
		if err != nil {
			return fmt.Errorf("%v: %w", p, err)
		}
		fmt.Printf("%-36s %8d rules %9.2f MiB  live %.3f  switch %.3f  cost 1/%.0f\n", p, m.rules, float64(m.live)/mib,
			m.liveRatio, m.switchRatio, 1/m.timeRatio)
		measurements = append(measurements, m)
	}
	head := fmt.Sprintf("commit %s\n\ncommand: go run ./internal/memestimate/measure -seed %d -tables %d -routes %d -room %d\n"+
		"seed: %d, processors: %d, %s\n", o.commit, o.seed, o.tables, o.maxRoutes, o.maxSize, o.seed, runtime.GOMAXPROCS(0), runtime.Version())
	if err := os.WriteFile(filepath.Join(o.out, "memory.md"), []byte(writePage(head, measurements)), 0o644); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(o.out, "memory.html"))
	if err != nil {
		return err
	}
	return errors.Join(newChart(measurements).Render(file), file.Close())
}

// runWithStopTheWorldGC runs the command again in a child process with sets.StopTheWorldGC, because the runtime reads GODEBUG
// only at the start of a process.
func runWithStopTheWorldGC() error {
	debug := sets.StopTheWorldGC
	if other := os.Getenv("GODEBUG"); other != "" {
		debug = other + "," + debug
	}
	cmd := exec.Command(os.Args[0], os.Args[1:]...)
	cmd.Env = append(os.Environ(), "GODEBUG="+debug)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// measure measures the table of a plan, and a switch to it from a table of the same kind with half as many routes.
func measure(c *memestimate.Counter, p sets.Plan) (m measurement, err error) {
	m.plan = p
	text, err := p.Encode()
	if err != nil {
		return m, err
	}
	half := p
	half.Routes = max(p.Routes/2, 1)
	half.Seed = p.Seed + 1
	halfText, err := half.Encode()
	if err != nil {
		return m, err
	}
	next, err := estimate(c, text)
	if err != nil {
		return m, err
	}
	current, err := estimate(c, halfText)
	if err != nil {
		return m, err
	}
	gcPercent := smallTableGCPercent
	if next.LiveBytes > minLargeTable {
		gcPercent = largeTableGCPercent
	}
	if m.live, err = sets.TableBytes(text); err != nil {
		return m, err
	}
	if m.peak, err = sets.SwitchPeak(halfText, text, gcPercent); err != nil {
		return m, err
	}
	m.rules = next.Rules
	m.liveRatio = float64(next.LiveBytes) / float64(m.live)
	m.switchRatio = float64(c.SwitchPeak(current, next, len(text))) / float64(m.peak)
	return m, m.measureTime(c, text)
}

func estimate(c *memestimate.Counter, text []byte) (memestimate.Estimate, error) {
	set, err := sets.Decode(text)
	if err != nil {
		return memestimate.Estimate{}, err
	}
	return c.Table(set), nil
}

// measureTime times estimating and compiling alternately.
func (m *measurement) measureTime(c *memestimate.Counter, text []byte) error {
	set, err := sets.Decode(text)
	if err != nil {
		return err
	}
	var ratios []float64
	var compileTimes []time.Duration
	for range timingRounds {
		runtime.GC()
		estimating := timeCall(func() { c.Table(set) })
		runtime.GC()
		compiling := timeCall(func() { _, err = routing.New(*set) })
		if err != nil {
			return err
		}
		ratios = append(ratios, float64(estimating)/float64(compiling))
		compileTimes = append(compileTimes, compiling)
	}
	m.timeRatio = median(ratios)
	m.compile = median(compileTimes)
	return nil
}

// timeCall returns the duration of a call. It repeats a short call for minTiming and returns the mean.
func timeCall(do func()) time.Duration {
	start := time.Now()
	for calls := 1; ; calls++ {
		do()
		if elapsed := time.Since(start); elapsed >= minTiming {
			return elapsed / time.Duration(calls)
		}
	}
}

// median returns the upper median of the values, which need not be sorted.
func median[T float64 | time.Duration](values []T) T {
	values = slices.Sorted(slices.Values(values))
	return values[len(values)/2]
}
