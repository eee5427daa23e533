package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
	jsoniter "github.com/json-iterator/go"
)

// Fleet configures how a proxy reaches the control plane and how it behaves without a lease.
type Fleet struct {
	// ControlPlane contains the numeric addresses of the replicas, which are tried in turn.
	ControlPlane []string
	// Node is the name of the proxy at the control plane, unique among all proxies.
	Node string
	// Mesh is the mesh whose imports determine which providers of a service the proxy uses; "": all providers.
	Mesh  string
	Terms fleetconfig.Terms
	// MemoryMB limits the heap, in MiB, while a version is being replaced; 0: three quarters of the process's memory limit,
	// above which the garbage collector does not let the heap grow.
	MemoryMB int
}

// Limits of a fleet record. Package fleetconfig defines further limits of its terms.
const (
	maxMillis   = int64(time.Hour / time.Millisecond) // limit on each duration, in milliseconds
	maxReplicas = 16
)

// fleetFile is the JSON form of Fleet, with times in milliseconds. A pointer is nil if the file omits the member.
type fleetFile struct {
	Replicas         []string `json:"keepers"`
	Node             *string  `json:"node"`
	Mesh             *string  `json:"mesh"`
	AgreementTimeout *int64   `json:"agree_within_ms"`
	MemberTimeout    *int64   `json:"know_for_ms"`
	OnLeaseExpiry    *string  `json:"on_silence"`
	ClockDriftPPM    *int64   `json:"clock_drift_ppm"`
	MemoryMB         int      `json:"memory_mb"`
}

// fleetErrors collects all errors in a fleet record.
type fleetErrors []error

// add adds an error in a member. The name of the member excludes the prefix "fleet.".
func (e *fleetErrors) add(member, format string, args ...any) {
	*e = append(*e, invalidFleet.New("fleet."+member, format, args...))
}

// decodeFleet decodes and checks a fleet record, and returns nil if there is none. Node defaults to the name of the proxy.
func decodeFleet(text jsoniter.RawMessage, proxyName string) (*Fleet, error) {
	if len(text) == 0 {
		return nil, nil
	}
	if string(bytes.TrimSpace(text)) == "null" {
		return nil, invalidFleet.New("fleet", "the record is null; leave the key out where there is no control plane")
	}
	var record fleetFile
	decoder := jsonCodec.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		return nil, invalidFleet.Wrap("fleet", err)
	}
	fleet := &Fleet{ControlPlane: record.Replicas, Node: proxyName, MemoryMB: record.MemoryMB}
	var faults fleetErrors
	fleet.setNames(record, &faults)
	checkReplicas(record.Replicas, &faults)
	terms := record.terms(&faults)
	var err error
	if fleet.Terms, err = terms.WithDefaults("fleet"); err != nil {
		faults = append(faults, err)
	}
	if record.MemoryMB < 0 {
		faults.add("memory_mb", "%d is below 0", record.MemoryMB)
	}
	return fleet, errors.Join(faults...)
}

// setNames sets and checks the names of the node and its mesh.
func (f *Fleet) setNames(record fleetFile, faults *fleetErrors) {
	if record.Node != nil {
		f.Node = *record.Node
	}
	if f.Node == "" || len(f.Node) > fleetconfig.MaxNodeNameBytes || !routing.IsValidName(f.Node) {
		faults.add("node", "%q is empty, over %d bytes, or has a blank or a control character", f.Node, fleetconfig.MaxNodeNameBytes)
	}
	if record.Mesh == nil {
		return
	}
	f.Mesh = *record.Mesh
	if !catalog.IsValidName(f.Mesh) {
		// 140 characters of the name show any of these errors, including a length over 128 bytes.
		faults.add("mesh", "%.140q is empty, over 128 bytes, or has a dot, a blank or a control character", f.Mesh)
	}
}

// checkReplicas checks that there are 1 to maxReplicas addresses, all different.
func checkReplicas(replicas []string, faults *fleetErrors) {
	if n := len(replicas); n == 0 || n > maxReplicas {
		faults.add("keepers", "%d addresses, not 1 to %d", n, maxReplicas)
	}
	for i, addr := range replicas {
		member := fmt.Sprintf("keepers[%d]", i)
		if err := ValidateAddress(addr, false); err != nil {
			faults.add(member, "%v", err)
		} else if slices.Contains(replicas[:i], addr) {
			faults.add(member, "%q is listed twice", addr)
		}
	}
}

// terms returns the terms in the file, without defaults.
func (f *fleetFile) terms(faults *fleetErrors) fleetconfig.Terms {
	terms := fleetconfig.Terms{
		AgreementTimeout: millis("agree_within_ms", f.AgreementTimeout, faults),
		MemberTimeout:    millis("know_for_ms", f.MemberTimeout, faults),
	}
	if f.OnLeaseExpiry != nil {
		terms.OnLeaseExpiry = fleetconfig.LeaseExpiryPolicy(*f.OnLeaseExpiry)
		if terms.OnLeaseExpiry == "" {
			faults.add("on_silence", "it is empty")
		}
	}
	if f.ClockDriftPPM != nil {
		terms.ClockDriftPPM = *f.ClockDriftPPM
		if terms.ClockDriftPPM == 0 {
			faults.add("clock_drift_ppm", "0 is invalid because every clock drifts; omit the key for the default")
		}
	}
	return terms
}

// millis converts a member in milliseconds. It returns 0, which selects the default, if the file omits the member. A 0 in the
// file is an error, because it would silently select the default.
func millis(member string, value *int64, faults *fleetErrors) time.Duration {
	if value == nil {
		return 0
	}
	if *value < 1 || *value > maxMillis {
		faults.add(member, "%d is not within 1 to %d", *value, maxMillis)
		return 0
	}
	return time.Duration(*value) * time.Millisecond
}
