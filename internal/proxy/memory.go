package proxy

import (
	"runtime/debug"
	"runtime/metrics"
)

// The garbage collector's limit is three quarters of the process's memory limit, so that collecting comes before being
// killed.
const (
	gcLimitNumerator   = 3
	gcLimitDenominator = 4
)

const bytesPerMB = 1 << 20

// setGCMemoryLimit sets the garbage collector's limit. Two processes at a hot restart share what there is.
func (p *Proxy) setGCMemoryLimit() {
	if p.memoryLimitMB <= 0 {
		return
	}
	limit := int64(p.memoryLimitMB) * bytesPerMB * gcLimitNumerator / gcLimitDenominator
	if p.restart.hasPeer() {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}

// heapLimit is the most that the heap may hold, in bytes; 0: there is no limit. recordMB is the limit that the fleet
// record names, which goes before the process's; 0: none.
func (p *Proxy) heapLimit(recordMB int) uint64 {
	limit := uint64(recordMB) * bytesPerMB
	if limit == 0 {
		limit = uint64(max(p.memoryLimitMB, 0)) * bytesPerMB * gcLimitNumerator / gcLimitDenominator
	}
	if p.restart.hasPeer() {
		limit /= 2
	}
	return limit
}

// liveHeapBytes is what the last garbage collection found alive, in bytes; before the first one, what has been allocated.
// It may be called from any goroutine.
func liveHeapBytes() uint64 {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(samples)
	for _, sample := range samples {
		if sample.Value.Kind() == metrics.KindUint64 && sample.Value.Uint64() > 0 {
			return sample.Value.Uint64()
		}
	}
	return 0
}
