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
	// The backoff between failed fetches doubles each time.
	minFetchBackoff     = 50 * time.Millisecond
	maxFetchBackoff     = 2 * time.Second
	maxBackoffDoublings = 8 // enough to reach maxFetchBackoff without overflow
	// tooLongQuorum is how many replicas must report a version as too long before it is rejected. With fewer replicas, all
	// must report it.
	tooLongQuorum = 2
	// maxTextHeapDivisor bounds the text of a version: it may take 1/8 of the heap limit, because decoding needs up to six times
	// the text's size in addition to the text.
	maxTextHeapDivisor = 8
	// maxTextOverheadBytes is how many bytes a version's text may hold in addition to its body.
	maxTextOverheadBytes = 1 << 20
)

// loaderHost is the part of the subscription that a versionLoader depends on.
type loaderHost interface {
	// handle passes the result of a preparation to the lease client.
	handle(event fleetconfig.Event)
	// warn logs a failed call to the control plane, at most once per warningInterval.
	warn(message string, fields ...zap.Field)
	// heapLimit returns the heap limit in bytes, 0 for no limit.
	heapLimit() uint64
	loaderInput() loaderInput
}

// loaderInput is the state of the proxy that the preparation of a version depends on.
type loaderInput struct {
	activeTable    *routing.Table
	activeEstimate memestimate.Estimate // of activeTable; Live 0: not estimated yet
	locality       configbundle.Locality
}

// versionLoader fetches versions of the fleet's configuration from the control plane and prepares them, one at a time. It
// loads the latest version that the lease client requests.
type versionLoader struct {
	host         loaderHost
	loop         *evloop.Loop
	log          *logging.Logger
	controlPlane *controlclient.Client
	counters     *metrics.Fleet

	wanted           fleetconfig.PrepareVersion // being fetched or prepared; number 0: none
	failedAttempts   int                        // failed fetches of wanted
	tooLongResponses int                        // responses of replicas in which the text of wanted is too long
	preparing        bool                       // a goroutine prepares a version, possibly one that is no longer wanted

	prepared *preparedVersion // nil: none
}

// prepare executes the lease client's PrepareVersion action.
func (l *versionLoader) prepare(version fleetconfig.PrepareVersion) {
	if l.prepared != nil && l.prepared.number == version.Number && l.prepared.digest == version.Digest {
		l.host.handle(fleetconfig.PrepareDone{Number: version.Number})
		return
	}
	l.prepared = nil
	l.wanted = version
	l.failedAttempts = 0
	l.tooLongResponses = 0
	l.startFetch(version)
}

// takePrepared removes and returns the prepared version with that number, or nil if there is none.
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

// discard drops a version that will not become active. A goroutine that is preparing it runs to completion, and its result is
// ignored.
func (l *versionLoader) discard(number uint64) {
	if l.prepared != nil && l.prepared.number == number {
		l.prepared = nil
	}
	if l.wanted.Number == number {
		l.wanted = fleetconfig.PrepareVersion{}
	}
}

// startFetch fetches a version if it is still wanted. While another version is being prepared it does nothing, because two would
// need twice the memory; onPrepared calls it again.
func (l *versionLoader) startFetch(version fleetconfig.PrepareVersion) {
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
	l.controlPlane.FetchVersion(version.Number, l.failedAttempts, l.maxTextBytes(), onText)
}

// startPreparation prepares a version in a goroutine that ends with the preparation.
func (l *versionLoader) startPreparation(version fleetconfig.PrepareVersion, text []byte) {
	l.preparing = true
	input := l.host.loaderInput()
	job := preparation{
		version:        version,
		text:           text,
		table:          input.activeTable,
		activeEstimate: input.activeEstimate,
		locality:       input.locality,
		limitBytes:     l.host.heapLimit(),
	}
	go func() {
		prepared, err := job.run()
		_ = l.loop.Post(func() { l.onPrepared(version, prepared, err) }) // cannot fail, see evloop.Loop.Post
	}()
}

// maxTextBytes returns the largest size of a version's text that this process accepts.
func (l *versionLoader) maxTextBytes() int64 {
	limit := int64(fleetconfig.MaxBodyBytes + maxTextOverheadBytes)
	if heapLimit := l.host.heapLimit(); heapLimit > 0 {
		limit = min(limit, int64(heapLimit/maxTextHeapDivisor))
	}
	return limit
}

// onFetchFailure retries at the next replica after a backoff. A failed fetch does not reject the version, except that a version
// is rejected as too long once tooLongQuorum replicas, or all if there are fewer, report so.
func (l *versionLoader) onFetchFailure(version fleetconfig.PrepareVersion, err error) {
	l.counters.FetchFailures++
	l.host.warn("fleet: version cannot be fetched yet", zap.Uint64("version", version.Number), zap.Error(err))
	if controlclient.ResponseTooLarge.Matches(err) {
		l.tooLongResponses++
		if l.tooLongResponses >= min(tooLongQuorum, l.controlPlane.ReplicaCount()) {
			maxBytes := l.maxTextBytes()
			l.rejectVersion(version, &fleetconfig.Rejection{
				Kind:       controlclient.ResponseTooLarge.Name,
				LimitBytes: uint64(maxBytes),
				Cause:      fmt.Sprintf("%v; this node accepts at most %d bytes of text", err, maxBytes),
			})
			return
		}
	}
	backoff := min(minFetchBackoff<<min(l.failedAttempts, maxBackoffDoublings), maxFetchBackoff)
	l.failedAttempts++
	l.loop.After(backoff, func() { l.startFetch(version) })
}

// rejectVersion reports to the lease client that this node rejects a version.
func (l *versionLoader) rejectVersion(version fleetconfig.PrepareVersion, rejection *fleetconfig.Rejection) {
	l.wanted = fleetconfig.PrepareVersion{}
	l.counters.PrepareRejected++
	l.log.Warn("fleet: version rejected", zap.Uint64("version", version.Number), zap.String("kind", rejection.Kind),
		zap.String("cause", rejection.Cause))
	l.host.handle(fleetconfig.PrepareDone{Number: version.Number, Rejection: rejection})
}

// onPrepared handles the result of a preparation.
func (l *versionLoader) onPrepared(version fleetconfig.PrepareVersion, prepared *preparedVersion, err error) {
	l.preparing = false
	var rejection rejectionError
	switch {
	case l.wanted != version:
		if l.wanted.Number != 0 {
			l.startFetch(l.wanted)
		}
	case asRejection(err, &rejection):
		l.rejectVersion(version, &rejection.Rejection)
	case err != nil: // the text is not that of the version; another replica may have the right one
		l.onFetchFailure(version, err)
	default:
		l.wanted = fleetconfig.PrepareVersion{}
		l.prepared = prepared
		l.log.Info("fleet: version prepared", zap.Uint64("version", prepared.number),
			zap.Uint64("estimated_bytes", prepared.estimate.LiveBytes))
		l.host.handle(fleetconfig.PrepareDone{Number: version.Number})
	}
}
