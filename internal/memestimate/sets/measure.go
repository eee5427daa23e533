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

// Decode decodes a set with the codec that proxies use.
func Decode(text []byte) (*routing.Set, error) {
	set := &routing.Set{}
	if err := json.Unmarshal(text, set); err != nil {
		return nil, fmt.Errorf("decoding a route set: %w", err)
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

// LiveHeap returns the size of the live heap, in bytes. It runs the garbage collector twice, because a sync.Pool keeps its
// objects until the second collection.
func LiveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TableBytes returns the memory of the compiled table of an encoded set, including the Set, in bytes.
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

// StopTheWorldGC is the GODEBUG setting under which SwitchPeak is reproducible and exact to a few bytes. With it, a garbage
// collection stops the program at the allocation that triggers it until the collection ends. Otherwise, objects allocated
// during the collection would count as live.
const StopTheWorldGC = "gcstoptheworld=2"

// HasStopTheWorldGC reports whether this process runs with StopTheWorldGC.
func HasStopTheWorldGC() bool {
	return slices.Contains(strings.Split(os.Getenv("GODEBUG"), ","), StopTheWorldGC)
}

// SwitchPeak returns the peak of the live heap, in bytes, while a process that uses the table of one encoded set decodes and
// compiles another one. The peak comprises both tables, the encoded set, and the temporary memory of decoding and compiling.
// The heap is collected each time it has grown by gcPercent, and the result is the largest live heap that a collection found.
// It is therefore too low by at most gcPercent.
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
	runtime.KeepAlive(current) // it was live at the first measurement too
	runtime.KeepAlive(next)
	return peak - min(before, peak), nil
}

// measurePeak returns the largest live heap that garbage collections find while a function runs. It uses a single processor for
// two reasons. Two processors sometimes mark an object at the same time, which then counts twice. And the goroutine that reads
// the metric runs between any two collections, because each collection interrupts the function.
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
