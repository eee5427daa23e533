package proxy

import (
	"runtime/debug"
	"runtime/metrics"
)

// The garbage collector's limit is three quarters of the process's memory limit, so that the collector runs before the
// system kills the process.
const (
	gcLimitNumerator   = 3
	gcLimitDenominator = 4
)

const bytesPerMB = 1 << 20

// setGCMemoryLimit sets the garbage collector's memory limit. The two processes of a hot restart get half of it each.
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

// heapLimit returns the maximum size of the heap in bytes, or 0 if there is no limit. recordMB is the limit in the
// fleet record, which takes precedence over the process's limit; 0 if the record sets none.
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

// liveHeapBytes returns the number of bytes that the last garbage collection found live or, before the first
// collection, the number of allocated bytes. It may be called from any goroutine.
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
