package proxy

import (
	"runtime"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/metrics"
	"go.uber.org/zap"
)

// After a switch the estimate of the version's memory is compared with what is alive then: the latter should be at most
// 1.05 times the estimate, and the estimate at most 1.15 times the latter. There is slack for what the connections'
// memory has changed meanwhile.
const (
	measureDelay           = 5 * time.Second
	measureSlackBytes      = 4 << 20
	toleranceDenominator   = 20
	underestimateNumerator = 1
	overestimateNumerator  = 3
)

// estimateHost is what an estimateCheck needs of the subscription.
type estimateHost interface {
	// soleVersionInMemory is the active version; ok is false where something of another one is alive.
	soleVersionInMemory() (version *preparedVersion, ok bool)
	// formerTableInUse reports whether a request is left that was routed by a table that is no longer active.
	formerTableInUse() bool
}

// estimateCheck compares the estimates of versions' memory with what they take.
type estimateCheck struct {
	host     estimateHost
	loop     *evloop.Loop
	log      *logging.Logger
	counters *metrics.Fleet
}

// schedule measures a version once no request is left that was routed by the former table.
func (c *estimateCheck) schedule(number uint64) {
	c.loop.After(measureDelay, func() {
		if c.measurable(number) == nil {
			return
		}
		if c.host.formerTableInUse() {
			c.schedule(number)
			return
		}
		go func() { // ends with the collection
			runtime.GC()
			live := liveHeapBytes()
			_ = c.loop.Post(func() { c.record(number, live) }) // cannot fail, see evloop.Loop.Post
		}()
	})
}

// measurable returns the version of that number where it is still active and nothing of another one is alive, else nil.
func (c *estimateCheck) measurable(number uint64) *preparedVersion {
	version, ok := c.host.soleVersionInMemory()
	if !ok || version.number != number {
		return nil
	}
	return version
}

// record compares the estimate with the live heap in bytes.
func (c *estimateCheck) record(number, live uint64) {
	version := c.measurable(number)
	if version == nil {
		return
	}
	estimated := version.estimate.Live
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
