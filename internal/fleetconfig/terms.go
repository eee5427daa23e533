package fleetconfig

import (
	"encoding/json"
	"math"
	"time"
)

// Defaults of Terms.
const (
	defaultAgreementTimeout = 2 * time.Second
	defaultMemberTimeout    = 10 * time.Second
	defaultClockDriftPPM    = 1000
)

// Limits of Terms.
const (
	minAgreementTimeout = 10 * time.Millisecond
	maxMemberTimeout    = time.Hour // keeps driftMargin from overflowing
	maxClockDriftPPM    = 100_000
)

// Terms are the timeouts that a fleet agrees on. They are part of every version, as the settings' "fleet" record. In JSON
// within_us and know_us are in microseconds, on_silence is the LeaseExpiryPolicy, and drift_ppm the clock drift.
type Terms struct {
	// AgreementTimeout is the longest time for which two proxies may act on contradicting versions; 2 s by default.
	AgreementTimeout time.Duration `cbor:"Within"`
	// MemberTimeout is how long a proposed version waits for an unresponsive proxy that has not prepared it; 10 s by
	// default and never below AgreementTimeout. A proxy that has received no lease for that long can no longer know which
	// versions are active.
	MemberTimeout time.Duration `cbor:"Know"`
	// OnLeaseExpiry is what a proxy does once it can no longer know which versions are active.
	OnLeaseExpiry LeaseExpiryPolicy `cbor:"OnSilence"`
	// ClockDriftPPM bounds how far a machine's clock may run fast or slow, in parts per million; 1,000 by default.
	ClockDriftPPM int64 `cbor:"Drift"`
}

// LeaseExpiryPolicy is what a proxy does once it can no longer know which versions are active.
type LeaseExpiryPolicy string

// The policies.
const (
	// RejectOnExpiry rejects new connections until a lease arrives. The agreement bound is kept.
	RejectOnExpiry LeaseExpiryPolicy = "hold"
	// ServeOnExpiry keeps placing connections by the proxy's version, logs this and counts the connections. It gives up
	// the agreement bound for availability.
	ServeOnExpiry LeaseExpiryPolicy = "serve"
)

// LeaseDuration returns how long a lease lets a proxy act on the active version without restriction, on the proxy's clock and
// from the time it sent the renewal. It is shorter than AgreementTimeout by the clock drift of both sides.
func (t Terms) LeaseDuration() time.Duration {
	return t.AgreementTimeout - driftMargin(t.AgreementTimeout, t.ClockDriftPPM)
}

// KnowledgeDuration returns how long a proxy may rely on the active and the proposed version that a lease names, on the
// proxy's clock and from the time it sent the renewal.
func (t Terms) KnowledgeDuration() time.Duration {
	return t.MemberTimeout - driftMargin(t.MemberTimeout, t.ClockDriftPPM)
}

// WithDefaults returns the terms with defaults for unset fields and with durations truncated to microseconds. It returns
// BadTerms if a value is out of bounds; place names the source of the terms in the error.
func (t Terms) WithDefaults(place string) (Terms, error) {
	t.AgreementTimeout = t.AgreementTimeout.Truncate(time.Microsecond)
	t.MemberTimeout = t.MemberTimeout.Truncate(time.Microsecond)
	if t.AgreementTimeout == 0 {
		t.AgreementTimeout = defaultAgreementTimeout
	}
	if t.MemberTimeout == 0 {
		t.MemberTimeout = max(defaultMemberTimeout, t.AgreementTimeout)
	}
	if t.OnLeaseExpiry == "" {
		t.OnLeaseExpiry = RejectOnExpiry
	}
	if t.ClockDriftPPM == 0 {
		t.ClockDriftPPM = defaultClockDriftPPM
	}
	// These texts are stored with the answers to proposals and so cannot change.
	switch {
	case t.AgreementTimeout < minAgreementTimeout:
		return t, BadTerms.New(place, "within is %v, at least %v is needed", t.AgreementTimeout, minAgreementTimeout)
	case t.MemberTimeout < t.AgreementTimeout:
		return t, BadTerms.New(place, "know is %v, under within, %v", t.MemberTimeout, t.AgreementTimeout)
	case t.MemberTimeout > maxMemberTimeout:
		return t, BadTerms.New(place, "know is %v, over %v", t.MemberTimeout, maxMemberTimeout)
	case t.OnLeaseExpiry != RejectOnExpiry && t.OnLeaseExpiry != ServeOnExpiry:
		return t, BadTerms.New(place, "on silence is %.40q, neither %q nor %q", t.OnLeaseExpiry, RejectOnExpiry, ServeOnExpiry)
	case t.ClockDriftPPM < 0 || t.ClockDriftPPM > maxClockDriftPPM:
		return t, BadTerms.New(place, "drift is %d ppm, not from 0 to %d", t.ClockDriftPPM, maxClockDriftPPM)
	}
	return t, nil
}

// expiryWithDrift returns the time without a renewal, on the leader's clock, after which the leases that the leader
// granted under a MemberTimeout of timeout have expired at the node. The node counts KnowledgeDuration, which is shorter
// than timeout by four drifts, from when it sent the renewal, which is before the leader received it. With a drift of d,
// that takes less than timeout*(1-4d)/(1-d) of real time, while timeout on a fast leader clock takes more than
// timeout/(1+d). The former is shorter for every d up to maxClockDriftPPM, so timeout alone would suffice. The four
// drifts added to it cover leases of an earlier version whose terms understate the drift.
func expiryWithDrift(timeout time.Duration, driftPPM int64) time.Duration {
	return timeout + driftMargin(timeout, driftPPM)
}

// driftMargin returns four times the maximum drift of a clock during d.
func driftMargin(d time.Duration, driftPPM int64) time.Duration {
	const driftsPerMargin, million = 4, 1_000_000
	return d * time.Duration(driftsPerMargin*driftPPM) / million
}

// termsJSON is the JSON form of Terms.
type termsJSON struct {
	AgreementTimeout int64             `json:"within_us"`
	MemberTimeout    int64             `json:"know_us"`
	OnLeaseExpiry    LeaseExpiryPolicy `json:"on_silence"`
	ClockDriftPPM    int64             `json:"drift_ppm"`
}

// MarshalJSON writes durations in microseconds (within_us, know_us) and the drift in parts per million (drift_ppm).
func (t Terms) MarshalJSON() ([]byte, error) {
	return json.Marshal(termsJSON{
		AgreementTimeout: t.AgreementTimeout.Microseconds(),
		MemberTimeout:    t.MemberTimeout.Microseconds(),
		OnLeaseExpiry:    t.OnLeaseExpiry,
		ClockDriftPPM:    t.ClockDriftPPM,
	})
}

// UnmarshalJSON reads what MarshalJSON writes; absent members are zero. It fails with BadTerms on a duration that is
// negative or overflows time.Duration.
func (t *Terms) UnmarshalJSON(text []byte) error {
	var decoded termsJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return BadTerms.Wrap("fleet terms", err)
	}
	const maxMicroseconds = math.MaxInt64 / int64(time.Microsecond)
	for _, microseconds := range []int64{decoded.AgreementTimeout, decoded.MemberTimeout} {
		if microseconds < 0 || microseconds > maxMicroseconds {
			return BadTerms.New("fleet terms", "%d µs is no duration", microseconds)
		}
	}
	*t = Terms{
		AgreementTimeout: time.Duration(decoded.AgreementTimeout) * time.Microsecond,
		MemberTimeout:    time.Duration(decoded.MemberTimeout) * time.Microsecond,
		OnLeaseExpiry:    decoded.OnLeaseExpiry,
		ClockDriftPPM:    decoded.ClockDriftPPM,
	}
	return nil
}
