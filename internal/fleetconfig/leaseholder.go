package fleetconfig

import "time"

// Leaseholder is the proxy's side of the lease protocol. It handles events and returns actions, and has at most one
// renewal and one preparation in progress. Times are readings of the proxy's monotonic clock, which is read once per turn
// of the proxy's event loop. LeaseClient implements Leaseholder.
type Leaseholder interface {
	// Handle handles an event. The caller must carry out the actions in order and in the same turn.
	Handle(now time.Duration, e Event) []Action
	// Authorize reports whether a connection may be placed now. conflicts reports whether the active version and the
	// prepared one decide differently on the connection; it is called only if the result depends on it. The proxy calls
	// Authorize again just before it writes to the endpoint, since time has passed by then.
	Authorize(now time.Duration, conflicts func() bool) Authorization
	// ActiveVersion returns the version that the proxy acts on; ok is false before the first one.
	ActiveVersion() (number uint64, ok bool)
	// Status returns the state for telemetry.
	Status(now time.Duration) LeaseStatus
}

// Authorization is the decision whether a connection may be placed.
type Authorization struct {
	Allowed    bool
	RetryAfter time.Duration // how long to wait before the next call; 0 if Allowed
	State      LeaseState
}

// LeaseState is the state of a Leaseholder. The values appear in telemetry.
type LeaseState string

// The states of a Leaseholder.
const (
	Starting     LeaseState = "starting" // it has no version yet
	Leased       LeaseState = "leased"   // it acts on the active version without restriction
	Expired      LeaseState = "lapsed"   // no lease: connections on which the prepared version decides differently are rejected
	Disconnected LeaseState = "blind"    // it cannot know which version is active; Terms.OnLeaseExpiry applies
	Excluded     LeaseState = "stranded" // it cannot prepare the active version and rejects new connections
	Draining     LeaseState = "leaving"  // it drains and rejects new connections
)

// LeaseStatus is a Leaseholder's state for telemetry.
type LeaseStatus struct {
	State                          LeaseState
	ActiveVersion, PreparedVersion uint64        // 0: none
	LeaseRemaining                 time.Duration // negative: the time since it expired
	Switches, Expirations          uint64        // since the process started
	ServedDisconnected             uint64        // connections placed without knowing the active version, under ServeOnExpiry
}

// Event is an input of a Leaseholder: one of the types below.
type Event interface{ leaseholderEvent() }

type (
	// Tick reports that the timer of the last SetTimer has fired. It may arrive early.
	Tick struct{}
	// LeaseGranted is the answer to a renewal.
	LeaseGranted struct {
		Lease  Lease
		SentAt time.Duration // when the renewal was sent, on the proxy's clock
	}
	// RenewalFailed reports that a renewal failed or got no answer before its timeout.
	RenewalFailed struct{ Seq uint64 }
	// PrepareDone is the outcome of a PrepareVersion. A nil Rejection means that the proxy can switch to the version. A
	// failed fetch must not be reported as a rejection, which would withdraw the version for the whole fleet: the caller
	// retries the fetch until a DiscardVersion.
	PrepareDone struct {
		Number    uint64
		Rejection *Rejection
	}
	// HeadroomChanged reports the node's memory headroom.
	HeadroomChanged struct{ Headroom MemoryHeadroom }
	// StartDrain reports that the process starts to drain.
	StartDrain struct{}
)

func (Tick) leaseholderEvent()            {}
func (LeaseGranted) leaseholderEvent()    {}
func (RenewalFailed) leaseholderEvent()   {}
func (PrepareDone) leaseholderEvent()     {}
func (HeadroomChanged) leaseholderEvent() {}
func (StartDrain) leaseholderEvent()      {}

// Action is an output of a Leaseholder: one of the types below.
type Action interface{ leaseholderAction() }

type (
	// SendRenewal asks to send a renewal to a control-plane replica. Attempt is the number of consecutive failures; the
	// caller selects the next replica after each.
	SendRenewal struct {
		Renewal Renewal
		Attempt int
		Timeout time.Duration // for the answer
	}
	// PrepareVersion asks to fetch and prepare a version without acting on it: parse, validate, estimate memory, compile.
	PrepareVersion struct {
		Number uint64
		Digest string
	}
	// SwitchVersion asks to act on a prepared version from this turn on.
	SwitchVersion struct{ Number uint64 }
	// DiscardVersion asks to drop a version that will not become active, prepared or in preparation.
	DiscardVersion struct{ Number uint64 }
	// SetTimer asks for a Tick at the time At. It replaces the previous timer.
	SetTimer struct{ At time.Duration }
	// StatusChanged reports a change of state, for the log.
	StatusChanged struct {
		State       LeaseState
		Description string
	}
)

func (SendRenewal) leaseholderAction()    {}
func (PrepareVersion) leaseholderAction() {}
func (SwitchVersion) leaseholderAction()  {}
func (DiscardVersion) leaseholderAction() {}
func (SetTimer) leaseholderAction()       {}
func (StatusChanged) leaseholderAction()  {}
