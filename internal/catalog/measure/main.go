// Command measure benchmarks the catalog: merging, encoding, binding and resolving at full size, and adversarial inputs. It
// writes a Markdown page with the results, the command, the seed and the commit.
package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/stats"
)

const (
	meshCount          = 20
	serviceCount       = 10_000 // of all meshes
	zoneCount          = 6
	routeCount         = 1000
	adversarialRecords = 100_000
	changedContracts   = 50
)

// newFederation returns the terms and publications of the meshes. Two meshes share a twentieth of the names: half of these as
// providers of one service, half as conflicts. Each mesh publishes aliases for a tenth of its services.
func newFederation(seed uint64) catalog.Inputs {
	random := rand.New(rand.NewPCG(seed, 1))
	var inputs catalog.Inputs
	for m := range meshCount {
		mesh := fmt.Sprintf("mesh%02d", m)
		inputs.Meshes = append(inputs.Meshes, catalog.Mesh{Name: mesh, Precedence: m % 3})
		p := catalog.Publication{Mesh: mesh, Epoch: 1, Seq: 1}
		for i := range serviceCount / meshCount {
			owner := fmt.Sprintf("owner%d-%d", m, i%40)
			name := fmt.Sprintf("service-%d-%d", m, i)
			switch {
			case i%20 == 0 && m > 0 && i%40 == 0: // a second provider of the service of the previous mesh
				owner = fmt.Sprintf("owner%d-%d", m-1, (i+1)%40)
				name = fmt.Sprintf("service-%d-%d", m-1, i+1)
			case i%20 == 0 && m > 0:
				name = fmt.Sprintf("service-%d-%d", m-1, i+1)
			}
			p.Services = append(p.Services, catalog.Service{Name: name, Owner: owner, Contract: "sha256:" + strings.Repeat("c", 64),
				Zones: []string{"zone" + strconv.Itoa(random.IntN(zoneCount)), "zone" + strconv.Itoa(random.IntN(zoneCount))}, Class: "feed",
				LatencyObjective: 50 * time.Millisecond, SpareCapacity: float64(random.IntN(100)) / 100,
				Pool: routing.Pool{Name: "pool", MaxOpen: 1000, Select: routing.EndpointSelector{Cells: []int{i % 9}, IDPrefixes: []string{mesh + "-"}}}})
			if i%10 == 3 {
				p.Aliases = append(p.Aliases, catalog.Alias{Name: fmt.Sprintf("alias-%d-%d", m, i), To: name})
			}
		}
		inputs.Publications = append(inputs.Publications, p)
	}
	return inputs
}

// table collects measurements as rows of a Markdown table.
type table struct {
	text   strings.Builder
	rounds int // timed calls of each measurement
}

// cpuTime returns the CPU time that this process has used, including garbage collection, or 0 if it is unknown.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure adds a row with the fastest, median and slowest call, the CPU time and allocated memory per call, and the result of
// the call.
func (t *table) measure(what string, call func() string) {
	result := call()
	var durations []time.Duration
	var before, after runtime.MemStats
	runtime.GC()
	cpuStart := cpuTime()
	runtime.ReadMemStats(&before)
	for range t.rounds {
		start := time.Now()
		call()
		durations = append(durations, time.Since(start))
	}
	cpuPerCall := (cpuTime() - cpuStart) / time.Duration(t.rounds)
	runtime.ReadMemStats(&after)
	slices.Sort(durations)
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	fmt.Fprintf(&t.text, "| %s | %.2f | %.2f | %.2f | %.2f | %.1f | %s |\n", what, milliseconds(durations[0]),
		milliseconds(durations[len(durations)/2]), milliseconds(durations[len(durations)-1]), milliseconds(cpuPerCall),
		float64(after.TotalAlloc-before.TotalAlloc)/float64(t.rounds)/(1<<20), result)
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if first, _, ok := strings.Cut(string(text), " "); err == nil && ok {
		return "load average " + first
	}
	return "unknown"
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the generated publications")
	rounds := flag.Int("rounds", 21, "timed calls for each row")
	commit := flag.String("commit", cmp.Or(stats.Commit(7), "unknown"), "commit hash written to the page")
	out := flag.String("out", "", "output file; if empty, standard output")
	flag.Parse()
	if flag.NArg() > 0 || *rounds < 1 {
		flag.Usage()
		os.Exit(2)
	}
	text, err := writePage(*seed, *rounds, *commit)
	if err == nil && *out != "" {
		err = os.WriteFile(*out, []byte(text), 0o644)
	} else if err == nil {
		_, err = os.Stdout.WriteString(text)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// merge returns a function that merges and describes the result.
func merge(previous *catalog.State, inputs catalog.Inputs, at time.Duration) func() string {
	return func() string {
		state, findings := catalog.Rules{}.Merge(previous, inputs, at)
		return fmt.Sprintf("state %d, %d names, %d findings", state.Number, len(state.Entries), len(findings))
	}
}

// writePage runs all measurements and returns the page.
func writePage(seed uint64, rounds int, commit string) (string, error) {
	t := &table{rounds: rounds}
	inputs := newFederation(seed)
	state, _ := catalog.Rules{}.Merge(nil, inputs, time.Second)
	measureMerges(t, inputs, state)
	if err := measureEncoding(t, state); err != nil {
		return "", err
	}
	measureBinding(t, state)
	measureAdversarial(t)
	lookups := benchmarkLookup(state, "service-3-17") + benchmarkLookup(state, "alias-3-13") + benchmarkLookup(state, "none")
	return fmt.Sprintf(`# Cost of the catalog of federated meshes

commit %s

command: go build -o measure ./internal/catalog/measure && GOMAXPROCS=%d ./measure --rounds %d --seed %d --commit $(git rev-parse --short HEAD) --out docs/results/catalog.md
seed: %d, processors: %d, %s; used: %d, %s

%d meshes with %d services in total; one in twenty is published under a name of the previous mesh, half of these as a second
provider and half as a conflict; %d aliases. The table lists the fastest, median and slowest round, and the CPU time
(including garbage collection) and allocated memory per call. If the load exceeds the number of processors, the times
include waiting for a processor.

| step | fastest, ms | median, ms | slowest, ms | processor, ms | MiB | result |
| --- | --- | --- | --- | --- | --- | --- |
%s
Required: less than 50 ms for the first two rows. The adversarial rows publish 100,000 records, most of which the limits and rules reject.

| name resolved | ns | allocations |
| --- | --- | --- |
%s`, commit, runtime.GOMAXPROCS(0), rounds, seed, seed, runtime.NumCPU(), loadAverage(), runtime.GOMAXPROCS(0), runtime.Version(),
		meshCount, serviceCount, serviceCount/10, t.text.String(), lookups), nil
}

func measureMerges(t *table, inputs catalog.Inputs, state *catalog.State) {
	changed := inputs
	changed.Publications = slices.Clone(inputs.Publications)
	p := &changed.Publications[7]
	p.Seq = 2
	p.Services = slices.Clone(p.Services)
	for i := range changedContracts {
		p.Services[i].Contract = "sha256:" + strings.Repeat("d", 64)
	}
	lost := inputs
	lost.Lost = []catalog.Loss{{Mesh: "mesh03", Since: time.Second}}
	t.measure("merged from nothing", merge(nil, inputs, time.Second))
	t.measure("again, nothing changed", merge(state, inputs, time.Minute))
	t.measure("one mesh changed 50 contracts", merge(state, changed, time.Minute))
	t.measure("one mesh lost", merge(state, lost, time.Minute))
}

func measureEncoding(t *table, state *catalog.State) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	t.measure("state written as JSON", func() string {
		text, _ := json.Marshal(state) // cannot fail, since it succeeded above
		return fmt.Sprintf("%d bytes", len(text))
	})
	t.measure("state read from JSON and indexed", func() string {
		var decoded catalog.State
		if err := json.Unmarshal(text, &decoded); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%d names", len(decoded.Entries))
	})
	return nil
}

func measureBinding(t *table, state *catalog.State) {
	set := routing.Set{Pools: []routing.Pool{{Name: "all"}}}
	for i := 0; len(set.Routes) < routeCount; i += 7 {
		set.Routes = append(set.Routes, routing.Route{Name: "r" + strconv.Itoa(i), Precedence: i,
			To: []routing.SplitShare{{Pool: catalog.ServicePrefix + state.Entries[i].Name, PPM: routing.TotalPPM}}})
	}
	t.measure("1,000 routes bound to services", func() string {
		bound, err := catalog.Rules{}.Bind(set, state, "zone1")
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%d pools, %d policies", len(bound.Pools), len(bound.Policies))
	})
}

// measureAdversarial measures publications that far exceed the limits of their mesh's terms, or contain long chains or cycles
// of aliases.
func measureAdversarial(t *table) {
	flood := catalog.Publication{Mesh: "mesh00", Epoch: 9, Seq: 1}
	chain := flood
	chain.Services = []catalog.Service{{Name: "s100000", Owner: "o", Contract: "c"}}
	cycle := flood
	for i := range adversarialRecords {
		name := "s" + strconv.Itoa(i)
		flood.Services = append(flood.Services, catalog.Service{Name: name, Owner: "o", Contract: "c"})
		chain.Aliases = append(chain.Aliases, catalog.Alias{Name: name, To: "s" + strconv.Itoa(i+1)})
		cycle.Aliases = append(cycle.Aliases, catalog.Alias{Name: name, To: "s" + strconv.Itoa((i+1)%adversarialRecords)})
	}
	limited := catalog.Mesh{Name: "mesh00"}
	unlimited := catalog.Mesh{Name: "mesh00", MaxServices: 1 << 20}
	publish := func(terms catalog.Mesh, p catalog.Publication) func() string {
		return merge(nil, catalog.Inputs{Meshes: []catalog.Mesh{terms}, Publications: []catalog.Publication{p}}, 0)
	}
	t.measure("adversarial: 100,000 services of one mesh, 2,000 allowed", publish(limited, flood))
	t.measure("adversarial: a chain of 100,000 aliases", publish(unlimited, chain))
	t.measure("adversarial: a cycle of 100,000 aliases", publish(unlimited, cycle))
}

// benchmarkLookup returns a row with the time and allocations of resolving a name.
func benchmarkLookup(state *catalog.State, name string) string {
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			state.Resolve(name)
		}
	})
	return fmt.Sprintf("| %s | %.1f | %d |\n", name, float64(result.T.Nanoseconds())/float64(result.N), result.AllocsPerOp())
}
