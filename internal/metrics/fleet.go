package metrics

import "example.org/micafront/internal/fleetconfig"

// Fleet contains the counters of a proxy that gets its configuration from the control plane.
type Fleet struct {
	Renewals        Counter // lease renewals sent to the control plane
	RenewalFailures Counter
	FetchFailures   Counter // failed fetches of the text of a version
	PrepareRejected Counter // versions that this node could not load

	// Rejected requests, by cause.
	RejectedConflicting Counter // the lease had expired, and the next version decides differently on the request
	RejectedSwitched    Counter // the active version changed during the request, and the new one decides differently on it
	RejectedNoLease     Counter // no version was known to be active

	ServedDisconnected Counter // first messages sent although no version was known to be active
	EstimateErrors     Counter // versions whose measured memory differed from the estimate by more than the tolerance

	// Heap size, in bytes, of the version measured last: estimated before it was loaded, and measured afterwards.
	EstimatedBytes uint64
	MeasuredBytes  uint64
}

// namedCounters returns the counters with their printed names, in the order in which they are printed.
func (f *Fleet) namedCounters() []namedCounter {
	return []namedCounter{
		{"asks", f.Renewals},
		{"ask_failures", f.RenewalFailures},
		{"fetch_failures", f.FetchFailures},
		{"prepare_refused", f.PrepareRejected},
		{"refused_contested", f.RejectedConflicting},
		{"refused_switched", f.RejectedSwitched},
		{"refused_held", f.RejectedNoLease},
		{"blind_served", f.ServedDisconnected},
		{"estimates_off", f.EstimateErrors},
	}
}

// AppendMetrics appends one name=value line per metric.
func (f *Fleet) AppendMetrics(out []byte, status fleetconfig.LeaseStatus) []byte {
	out = appendMetric(out, "svc.fleet.state", status.State)
	out = appendMetric(out, "svc.fleet.in_force", status.ActiveVersion)
	out = appendMetric(out, "svc.fleet.prepared", status.PreparedVersion)
	out = appendMetric(out, "svc.fleet.lease_left_ms", status.LeaseRemaining.Milliseconds())
	out = appendMetric(out, "svc.fleet.switches", status.Switches)
	out = appendMetric(out, "svc.fleet.lapses", status.Expirations)
	out = appendMetric(out, "svc.fleet.estimated_bytes", f.EstimatedBytes)
	out = appendMetric(out, "svc.fleet.measured_bytes", f.MeasuredBytes)
	for _, counter := range f.namedCounters() {
		out = appendMetric(out, "svc.fleet."+counter.name, counter.value)
	}
	return out
}
