package proxy

import (
	stdjson "encoding/json"
	"errors"
	"fmt"
	"runtime"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/configbundle"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/memestimate"
	"example.org/micafront/internal/routing"
)

// A version of the fleet's configuration is prepared in a separate goroutine. A version whose estimated memory exceeds the limit
// is never compiled.

var (
	errInvalidVersion = apperror.NewKind("proxy/broken-version",
		"correct what is named and propose again; micafront config check reports the same for a file before it is proposed")
	errVersionTooLarge = apperror.NewKind("proxy/heavy-version",
		"make the heaviest routes smaller, or raise limits.memory_mb (fleet.memory_mb) of the node and restart it")
	errVersionMismatch = apperror.NewKind("proxy/other-version",
		"compare the replicas' data folders: one of them keeps a text that is not the version's; stop it, empty its folder, start it")
)

// preparedVersion is a version of the fleet's configuration that is ready to become active.
type preparedVersion struct {
	number         uint64
	digest         string
	settings       balancer.Settings
	loadIsLatency  bool
	table          *routing.Table
	estimate       memestimate.Estimate
	catalogMetrics []byte // telemetry text
	baselineBytes  uint64 // live heap without any table or text at the time of preparation
}

// rejectionError is the reason why this node rejects a version.
type rejectionError struct{ fleetconfig.Rejection }

func (e rejectionError) Error() string { return e.Kind + ": " + e.Cause }

func asRejection(err error, target *rejectionError) bool { return errors.As(err, target) }

func invalidVersion(number uint64, err error) error {
	wrapped := errInvalidVersion.Wrap(fmt.Sprintf("version %d", number), err)
	return rejectionError{fleetconfig.Rejection{Kind: errInvalidVersion.Name, Cause: wrapped.Error()}}
}

// preparation is the input of the goroutine. It shares no mutable data with the event loop.
type preparation struct {
	version        fleetconfig.PrepareVersion
	text           []byte
	table          *routing.Table       // the active routing table
	activeEstimate memestimate.Estimate // of table; Live 0: not estimated yet
	locality       configbundle.Locality
	limitBytes     uint64 // heap limit; 0: none
}

// run returns the prepared version. Its error is a rejectionError, or errVersionMismatch if the text is not that of the version.
func (j *preparation) run() (prepared *preparedVersion, err error) {
	defer func() {
		// All nodes prepare a version at the same time, so an unrecovered panic could end every proxy of the fleet.
		if fault := recover(); fault != nil {
			prepared = nil
			err = invalidVersion(j.version.Number, fmt.Errorf("panic while preparing it: %v", fault))
		}
	}()
	runtime.GC() // so that garbage does not count against the version
	live := liveHeapBytes()
	version, err := j.decode()
	if err != nil {
		return nil, err
	}
	// The digest matches the version that the fleet agreed on, so any further fault is the same at all replicas and is a rejection.
	bundle, err := configbundle.Decode(version.Body, j.locality)
	if err != nil {
		return nil, invalidVersion(version.Number, err)
	}
	prepared = &preparedVersion{
		number:         version.Number,
		digest:         j.version.Digest,
		settings:       bundle.Settings,
		loadIsLatency:  bundle.LoadIsLatency,
		catalogMetrics: catalogMetrics(&bundle),
	}
	if err := j.checkMemory(prepared, &bundle, live); err != nil {
		return nil, err
	}
	routes := bundle.Routing
	version = fleetconfig.Version{} // released, like the next two, to free their memory for the compilation
	bundle = configbundle.Bundle{}
	j.text = nil
	if prepared.table, err = routing.New(routes); err != nil {
		return nil, invalidVersion(j.version.Number, fmt.Errorf("routing: %w", err))
	}
	return prepared, nil
}

// decode decodes the text and checks that its number and digest are those of the version.
func (j *preparation) decode() (fleetconfig.Version, error) {
	place := fmt.Sprintf("version %d", j.version.Number)
	var version fleetconfig.Version
	if err := stdjson.Unmarshal(j.text, &version); err != nil {
		return version, errVersionMismatch.Wrap(place, err)
	}
	digest := version.Body.Digest()
	if version.Number != j.version.Number || digest != j.version.Digest {
		return version, errVersionMismatch.New(place, "the text is version %d with digest %.16s, not %.16s",
			version.Number, digest, j.version.Digest)
	}
	return version, nil
}

// checkMemory estimates the memory of a version and of the switch to it, and rejects the version if the limit is too low. live
// is the live heap in bytes.
func (j *preparation) checkMemory(prepared *preparedVersion, bundle *configbundle.Bundle, live uint64) error {
	var estimator memestimate.Estimator = memestimate.New()
	textBytes := len(j.text)
	if j.activeEstimate.LiveBytes == 0 {
		j.activeEstimate = estimator.Table(&j.table.Set)
	}
	prepared.estimate = estimator.Table(&bundle.Routing)
	prepared.baselineBytes = live - min(live, j.activeEstimate.LiveBytes+uint64(textBytes))
	peak := estimator.SwitchPeak(j.activeEstimate, prepared.estimate, textBytes)
	if bundle.Catalog != nil {
		peak = max(peak, memestimate.DecodePeak(j.activeEstimate, prepared.estimate, textBytes, bundle.Catalog.MemoryBytes()))
	}
	required := memestimate.RequiredBytes(prepared.baselineBytes, peak)
	if j.limitBytes > 0 && required > j.limitBytes {
		return j.memoryRejection(required, prepared.estimate.LargestRoutes)
	}
	return nil
}

func (j *preparation) memoryRejection(requiredBytes uint64, largest []memestimate.RouteSize) error {
	rejection := fleetconfig.Rejection{
		Kind:           errVersionTooLarge.Name,
		EstimatedBytes: requiredBytes,
		LimitBytes:     j.limitBytes,
		Cause: fmt.Sprintf("the switch to version %d needs a heap limit of %d bytes; the limit is %d",
			j.version.Number, requiredBytes, j.limitBytes),
	}
	for _, size := range largest {
		rejection.LargestRoutes = append(rejection.LargestRoutes, size.Route)
	}
	return rejectionError{rejection}
}
