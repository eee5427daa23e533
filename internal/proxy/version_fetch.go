package proxy

import (
	"fmt"
	"time"

	"example.org/micafront/internal/configbundle"
	"example.org/micafront/internal/controlclient"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/memestimate"
	"example.org/micafront/internal/metrics"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
)

const (
	// Between failed fetches, doubled each time.
	minFetchBackoff     = 50 * time.Millisecond
	maxFetchBackoff     = 2 * time.Second
	maxBackoffDoublings = 8 // reaches maxFetchBackoff, and does not overflow
	// tooLongQuorum is how many replicas must say that a version is too long before it is rejected for that, where there
	// are as many.
	tooLongQuorum = 2
	// maxTextHeapDivisor is the part of the heap limit, as a divisor, that a version's text may have: decoding it takes up to
	// six times its size beside it.
	maxTextHeapDivisor = 8
	// maxTextOverheadBytes is how many bytes a version's text may have beside its body.
	maxTextOverheadBytes = 1 << 20
)

// loaderHost is what a versionLoader needs of the subscription.
type loaderHost interface {
	// handle hands the lease client the end of a preparation.
	handle(event fleetconfig.Event)
	// warn logs a failed call to the control plane, not too often.
	warn(message string, fields ...zap.Field)
	// heapLimit is the most that the heap may hold, in bytes; 0: there is no limit.
	heapLimit() uint64
	loaderInput() loaderInput
}

// loaderInput is what the preparation of a version depends on beside the version.
type loaderInput struct {
	activeTable    *routing.Table
	activeEstimate memestimate.Estimate // of that table; Live 0: not estimated yet
	place          configbundle.Place
}

// versionLoader fetches versions of the fleet's configuration from the control plane and has them prepared, one at a
// time: the latest that the lease client wants.
type versionLoader struct {
	host         loaderHost
	loop         *evloop.Loop
	log          *logging.Logger
	controlPlane *controlclient.Client
	counters     *metrics.Fleet

	wanted         fleetconfig.Prepare // that is being fetched or prepared; number 0: none is
	failedAttempts int                 // to fetch it
	tooLongAnswers int                 // replicas' that it is too long
	preparing      bool                // a goroutine prepares a version, maybe one that is no longer wanted

	prepared *preparedVersion // nil: none is
}

// prepare executes the lease client's Prepare.
func (l *versionLoader) prepare(version fleetconfig.Prepare) {
	if l.prepared != nil && l.prepared.number == version.Number && l.prepared.digest == version.Digest {
		l.host.handle(fleetconfig.PrepareDone{Number: version.Number})
		return
	}
	l.prepared = nil
	l.wanted = version
	l.failedAttempts = 0
	l.tooLongAnswers = 0
	l.startFetch(version)
}

// takePrepared returns the prepared version of that number and forgets it; nil if there is none.
func (l *versionLoader) takePrepared(number uint64) *preparedVersion {
	prepared := l.prepared
	if prepared == nil || prepared.number != number {
		return nil
	}
	l.prepared = nil
	return prepared
}

// isEmpty reports whether no version is prepared or being prepared.
func (l *versionLoader) isEmpty() bool { return !l.preparing && l.prepared == nil }

// discard drops a version that will not become active. A goroutine that prepares it goes on to its end, for nothing.
func (l *versionLoader) discard(number uint64) {
	if l.prepared != nil && l.prepared.number == number {
		l.prepared = nil
	}
	if l.wanted.Number == number {
		l.wanted = fleetconfig.Prepare{}
	}
}

// startFetch fetches a version, if it is still wanted. While another one is being prepared it waits for the end of that:
// two would hold twice the memory.
func (l *versionLoader) startFetch(version fleetconfig.Prepare) {
	if l.wanted != version || l.preparing {
		return
	}
	onText := func(text []byte, err error) {
		if l.wanted != version {
			return
		}
		if err != nil {
			l.onFetchFailure(version, err)
			return
		}
		l.startPreparation(version, text)
	}
	l.controlPlane.Fetch(version.Number, l.failedAttempts, l.maxTextBytes(), onText)
}

// startPreparation prepares a version in a goroutine that ends with it.
func (l *versionLoader) startPreparation(version fleetconfig.Prepare, text []byte) {
	l.preparing = true
	input := l.host.loaderInput()
	job := preparation{
		version:        version,
		text:           text,
		table:          input.activeTable,
		activeEstimate: input.activeEstimate,
		place:          input.place,
		limitBytes:     l.host.heapLimit(),
	}
	go func() {
		prepared, err := job.run()
		_ = l.loop.Post(func() { l.onPrepared(version, prepared, err) }) // cannot fail, see evloop.Loop.Post
	}()
}

// maxTextBytes bounds the text of a version here.
func (l *versionLoader) maxTextBytes() int64 {
	limit := int64(fleetconfig.MaxBody + maxTextOverheadBytes)
	if heapLimit := l.host.heapLimit(); heapLimit > 0 {
		limit = min(limit, int64(heapLimit/maxTextHeapDivisor))
	}
	return limit
}

// onFetchFailure tries the next replica after a while. A version that cannot be fetched is not rejected for that; one
// that is too long is, once two replicas say so, or the only one.
func (l *versionLoader) onFetchFailure(version fleetconfig.Prepare, err error) {
	l.counters.FetchFailures++
	l.host.warn("fleet: version cannot be fetched yet", zap.Uint64("version", version.Number), zap.Error(err))
	if controlclient.TooLong.Of(err) {
		l.tooLongAnswers++
		if l.tooLongAnswers >= min(tooLongQuorum, l.controlPlane.ReplicaCount()) {
			maxBytes := l.maxTextBytes()
			l.rejectVersion(version, &fleetconfig.Rejection{
				Kind:       controlclient.TooLong.Name,
				LimitBytes: uint64(maxBytes),
				Cause:      fmt.Sprintf("%v; this node takes %d bytes of text", err, maxBytes),
			})
			return
		}
	}
	backoff := min(minFetchBackoff<<min(l.failedAttempts, maxBackoffDoublings), maxFetchBackoff)
	l.failedAttempts++
	l.loop.After(backoff, func() { l.startFetch(version) })
}

// rejectVersion reports that this node cannot hold a version.
func (l *versionLoader) rejectVersion(version fleetconfig.Prepare, rejection *fleetconfig.Rejection) {
	l.wanted = fleetconfig.Prepare{}
	l.counters.PrepareRejected++
	l.log.Warn("fleet: version rejected", zap.Uint64("version", version.Number), zap.String("kind", rejection.Kind),
		zap.String("cause", rejection.Cause))
	l.host.handle(fleetconfig.PrepareDone{Number: version.Number, Rejection: rejection})
}

// onPrepared takes the result of a preparation.
func (l *versionLoader) onPrepared(version fleetconfig.Prepare, prepared *preparedVersion, err error) {
	l.preparing = false
	var rejection rejectionError
	switch {
	case l.wanted != version:
		if l.wanted.Number != 0 {
			l.startFetch(l.wanted)
		}
	case asRejection(err, &rejection):
		l.rejectVersion(version, &rejection.Rejection)
	case err != nil: // the text is not the version's; another replica may have that
		l.onFetchFailure(version, err)
	default:
		l.wanted = fleetconfig.Prepare{}
		l.prepared = prepared
		l.log.Info("fleet: version prepared", zap.Uint64("version", prepared.number),
			zap.Uint64("estimated_bytes", prepared.estimate.Live))
		l.host.handle(fleetconfig.PrepareDone{Number: version.Number})
	}
}
