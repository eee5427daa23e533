package controlplane

import (
	"sync/atomic"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/logging"
	"go.uber.org/zap"
)

// discoveryTimeout is how long the leader serves its endpoint list without contact with service discovery. After that,
// proxies must query discovery themselves within 6 s, and they first search for another replica for up to 2 s.
const discoveryTimeout = 3500 * time.Millisecond

// discoveryState is the state of service discovery and the endpoint list that the event loop shares with other goroutines.
type discoveryState struct {
	addr        atomic.Pointer[string] // empty: discovery is not watched
	lastContact atomic.Int64           // a time.Duration since startedAt
	lastErr     atomic.Pointer[error]  // error of the latest request to discovery; nil: it succeeded
	snapshot    atomic.Pointer[listSnapshot]
	openWatches atomic.Int64
	timeout     atomic.Int64 // a time.Duration; discoveryTimeout outside tests

	startedAt time.Time // Replica.startedAt
	log       *logging.Logger
}

func newDiscoveryState(addr string, startedAt time.Time, log *logging.Logger) *discoveryState {
	state := &discoveryState{startedAt: startedAt, log: log}
	state.addr.Store(&addr)
	state.timeout.Store(int64(discoveryTimeout))
	state.snapshot.Store(&listSnapshot{superseded: make(chan struct{})})
	return state
}

// publish replaces the snapshot and notifies the watches that wait on the previous one.
func (d *discoveryState) publish(snapshot *listSnapshot) {
	previous := d.snapshot.Swap(snapshot)
	close(previous.superseded)
}

// recordContact records that discovery responded, whatever the response was.
func (d *discoveryState) recordContact() {
	d.lastContact.Store(int64(time.Since(d.startedAt)))
}

// sinceContact returns the time since the last contact with discovery.
func (d *discoveryState) sinceContact() time.Duration {
	return time.Since(d.startedAt) - time.Duration(d.lastContact.Load())
}

// timedOut reports whether contact with discovery has been lost for too long to serve the endpoint list.
func (d *discoveryState) timedOut() bool {
	return d.sinceContact() >= time.Duration(d.timeout.Load())
}

// recordSuccess records that a request to discovery returned an update. It logs the first success after a failure.
func (d *discoveryState) recordSuccess() {
	d.recordContact()
	if d.lastErr.Swap(nil) != nil {
		d.log.Info("micafront-controlplane: service discovery request succeeded again")
	}
}

// recordFailure records the error of a request, which the status shows. It logs the first failure after a success.
func (d *discoveryState) recordFailure(err error) {
	if d.lastErr.Swap(&err) == nil {
		d.log.Warn("micafront-controlplane: service discovery request failed", zap.Error(err),
			zap.Strings("remedies", apperror.Resolutions(err)))
	}
}

// setDiscoveryAddress changes the address of service discovery; empty: discovery is no longer watched.
func (r *Replica) setDiscoveryAddress(addr string) {
	r.discovery.addr.Store(&addr)
	r.enqueue(func(*eventLoop) {}) // triggers a turn, which applies the change
}

// States of the endpoint list, as sent in a Status.
const (
	listOff        = "off"     // no service discovery is configured
	listNotServing = "waits"   // this replica does not serve the list, because it is not the leader
	listHealthy    = "well"    // the latest request to discovery succeeded
	listFailing    = "failing" // the latest request to discovery failed
	listStale      = "silent"  // contact with discovery is lost
)

// EndpointListStatus is the state of the endpoint list on one replica.
type EndpointListStatus struct {
	Number    uint64 `json:"number"`              // of the committed list; 0: there is none
	Discovery string `json:"discovery,omitempty"` // the address of service discovery; empty: it is not watched
	State     string `json:"state"`               // off, waits, well, failing or silent
	// SinceContactMS is the time since the last contact with service discovery, in milliseconds.
	SinceContactMS int64  `json:"heard_ms,omitempty"`
	LastError      string `json:"fault,omitempty"` // error of the latest request to service discovery
	Watches        int64  `json:"watches,omitempty"`
}

func (l *eventLoop) endpointListStatus() *EndpointListStatus {
	discovery := l.replica.discovery
	status := &EndpointListStatus{
		Number:    l.state.EndpointList().Number(),
		Discovery: *discovery.addr.Load(),
		State:     listHealthy,
		Watches:   discovery.openWatches.Load(),
	}
	if status.Discovery == "" {
		status.State = listOff
		return status
	}
	if l.endpoints.term == 0 {
		status.State = listNotServing
		return status
	}
	status.SinceContactMS = discovery.sinceContact().Milliseconds()
	if lastErr := discovery.lastErr.Load(); lastErr != nil {
		status.State = listFailing
		status.LastError = (*lastErr).Error()
	}
	if discovery.timedOut() {
		status.State = listStale
	}
	return status
}
