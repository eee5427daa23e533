package sets

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strings"

	"example.org/micafront/internal/routing"
)

// Decode decodes a set as a proxy does.
func Decode(text []byte) (*routing.Set, error) {
	set := &routing.Set{}
	if err := json.Unmarshal(text, set); err != nil {
		return nil, fmt.Errorf("a set of routes: %w", err)
	}
	return set, nil
}

// Compile decodes and compiles a set.
func Compile(text []byte) (*routing.Table, error) {
	set, err := Decode(text)
	if err != nil {
		return nil, err
	}
	return routing.New(*set)
}

// LiveHeap is the size of the live heap, in bytes. It collects twice: the first collection leaves what a sync.Pool keeps
// until the next one.
func LiveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TableBytes is what the compiled table of an encoded set uses, the Set included, in bytes.
func TableBytes(text []byte) (uint64, error) {
	before := LiveHeap()
	table, err := Compile(text)
	if err != nil {
		return 0, err
	}
	after := LiveHeap()
	runtime.KeepAlive(table)
	runtime.KeepAlive(text)
	return after - min(before, after), nil
}

// StopTheWorldGC is the setting of GODEBUG under which SwitchPeak is exact to some bytes, and reproducible: a
// collection then stops the program from its beginning to its end, at the allocation that triggers it, and what would be
// allocated meanwhile does not count as live.
const StopTheWorldGC = "gcstoptheworld=2"

// HasStopTheWorldGC reports whether this process runs with StopTheWorldGC.
func HasStopTheWorldGC() bool {
	return slices.Contains(strings.Split(os.Getenv("GODEBUG"), ","), StopTheWorldGC)
}

// SwitchPeak is the peak of the live heap, in bytes, while a process that uses the table of one encoded set decodes and
// compiles another one: both tables, the text, and what decoding and compiling use for a while. The heap is collected each
// time that it has grown by gcPercent, and the live bytes of each collection are read, so the result is too low by at most
// that.
func SwitchPeak(current, next []byte, gcPercent int) (uint64, error) {
	before := LiveHeap()
	currentTable, err := Compile(current)
	if err != nil {
		return 0, err
	}
	text := slices.Clone(next)
	var nextTable *routing.Table
	peak, err := measurePeak(gcPercent, func() (err error) {
		nextTable, err = Compile(text)
		return err
	})
	if err != nil {
		return 0, err
	}
	peak = max(peak, LiveHeap())
	runtime.KeepAlive(currentTable)
	runtime.KeepAlive(nextTable)
	runtime.KeepAlive(text)
	runtime.KeepAlive(current) // it was live at the beginning too
	runtime.KeepAlive(next)
	return peak - min(before, peak), nil
}

// measurePeak is the largest live heap that collections find while a function runs. It uses a single processor, for two
// reasons: two processors now and then mark an object at once, which then counts twice; and the goroutine that reads gets its
// turn between any two collections, since each interrupts the function.
func measurePeak(gcPercent int, do func() error) (peak uint64, err error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	runtime.GC()
	stop := make(chan struct{})
	started := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		for first := true; ; first = false {
			metrics.Read(sample)
			peak = max(peak, sample[0].Value.Uint64())
			if first {
				close(started)
			}
			select {
			case <-stop:
				return
			default:
				runtime.Gosched()
			}
		}
	}()
	<-started
	err = do()
	close(stop)
	<-stopped
	return peak, err
}
