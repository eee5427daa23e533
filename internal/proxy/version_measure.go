package proxy

import (
	"runtime"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/metrics"
	"go.uber.org/zap"
)

// After a switch the estimate of the version's memory is compared with the measured live heap. The measured size should be at
// most 1.05 times the estimate, and the estimate at most 1.15 times the measured size. measureSlackBytes allows for changes of
// the connections' memory in the meantime.
const (
	measureDelay           = 5 * time.Second
	measureSlackBytes      = 4 << 20
	toleranceDenominator   = 20
	underestimateNumerator = 1
	overestimateNumerator  = 3
)

// estimateHost is the part of the subscription that an estimateCheck depends on.
type estimateHost interface {
	// soleVersionInMemory returns the active version. ok is false while another version is also in memory.
	soleVersionInMemory() (version *preparedVersion, ok bool)
	// formerTableInUse reports whether any open request was routed by a table that is no longer active.
	formerTableInUse() bool
}

// estimateCheck compares the estimates of versions' memory with the memory that they occupy.
type estimateCheck struct {
	host     estimateHost
	loop     *evloop.Loop
	log      *logging.Logger
	counters *metrics.Fleet
}

// schedule measures a version after measureDelay, and again later while requests routed by a former table are open.
func (c *estimateCheck) schedule(number uint64) {
	c.loop.After(measureDelay, func() {
		if c.measurable(number) == nil {
			return
		}
		if c.host.formerTableInUse() {
			c.schedule(number)
			return
		}
		go func() { // ends after the garbage collection
			runtime.GC()
			live := liveHeapBytes()
			_ = c.loop.Post(func() { c.record(number, live) }) // cannot fail, see evloop.Loop.Post
		}()
	})
}

// measurable returns the version with that number if it is still active and no other version is in memory, else nil.
func (c *estimateCheck) measurable(number uint64) *preparedVersion {
	version, ok := c.host.soleVersionInMemory()
	if !ok || version.number != number {
		return nil
	}
	return version
}

// record compares the estimate of a version with live, the live heap in bytes, and logs a deviation beyond the tolerances.
func (c *estimateCheck) record(number, live uint64) {
	version := c.measurable(number)
	if version == nil {
		return
	}
	estimated := version.estimate.LiveBytes
	measured := live - min(live, version.baselineBytes)
	c.counters.EstimatedBytes = estimated
	c.counters.MeasuredBytes = measured
	underestimated := measured > estimated+estimated*underestimateNumerator/toleranceDenominator+measureSlackBytes
	overestimated := estimated > measured+measured*overestimateNumerator/toleranceDenominator+measureSlackBytes
	if underestimated || overestimated {
		c.counters.EstimateErrors++
		c.log.Warn("fleet: memory estimate of the version is off", zap.Uint64("version", number),
			zap.Uint64("estimated_bytes", estimated), zap.Uint64("measured_bytes", measured),
			zap.Uint64("baseline_bytes", version.baselineBytes))
	}
}
