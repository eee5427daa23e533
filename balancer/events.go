package balancer

import "time"

// Event is an input of a Balancer.
type Event interface{ event() }

// Phase is the state of an endpoint in service discovery.
type Phase int

const (
	// Ready endpoints accept new connections.
	Ready Phase = iota
	// Draining endpoints keep their connections for Rules.DrainGrace and accept no new ones.
	Draining
	// Removed endpoints are no longer listed.
	Removed
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        string
	Phase     Phase
	StartedAt Instant // start of the endpoint's process; 0: long ago
	Size      float64 // relative capacity; 0 counts as 1
	Zone      string
	Cell      int
}

// ListKind specifies which entries an EndpointUpdate holds.
type ListKind int

const (
	// DeltaList holds the entries that changed.
	DeltaList ListKind = iota
	// FullList holds all entries.
	FullList
	// CachedList holds all entries as an earlier process saved them.
	CachedList
	// ListFailed means that service discovery could not be reached. The update holds no entries.
	ListFailed
)

// Status is the result of an attempt or a health check.
type Status int

const (
	// OK means success.
	OK Status = iota
	// AppError means that the application executed the request and returned an error.
	AppError
	// RejectedByEndpoint means that the endpoint rejected the request without executing it.
	RejectedByEndpoint
	// Timeout means that no answer arrived in time.
	Timeout
	// ConnectFailed means that the connection could not be established.
	ConnectFailed
	// Reset means that the connection was reset.
	Reset
	// Canceled means that this node canceled the attempt or that the client disconnected.
	Canceled
	// NotSent means that this node did not send the request.
	NotSent
)

// NeverExecuted reports whether the status proves that the attempt was not executed.
func (s Status) NeverExecuted() bool {
	return s == RejectedByEndpoint || s == ConnectFailed || s == NotSent
}

// LoadReport is an endpoint's load report: metric values by metric name.
type LoadReport map[string]float64

// The metrics of a load report that the Balancer uses.
const (
	// UtilizationMetric is the load offered to an endpoint divided by its capacity; 1 is full load.
	UtilizationMetric = "x0"
	// ConnectionsMetric is the number of connections that the endpoint holds.
	ConnectionsMetric = "outstanding"
)

// EndpointUpdate is a list of endpoints from service discovery. An endpoint absent from a full or cached list is removed.
type EndpointUpdate struct {
	Kind    ListKind
	Version int64
	Entries []Endpoint
}

// Request is a client's connection request. The Balancer answers it exactly once, before Deadline.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Group       string // clients of a group are placed together; "": no group
	Key         string // placement key of the client
	Deadline    Instant
	LoadHint    float64 `json:"Hint"`     // expected load; 0 if unknown
	Resumed     bool    `json:"MidFlow"`  // packets of an already established connection now arrive at this node
	ClientRetry bool    `json:"Repeat"`   // marked by the client as a retry
	Returning   bool    `json:"Returned"` // the client reconnects after a disconnect or a migration
	MaxAttempts int     `json:"Attempts"` // limit for this node; 0: only Limits.Attempts applies
}

// Adopted reports an established connection that another process handed over. Its attempt number is 0.
type Adopted struct {
	Request
	Endpoint string `json:"Server"`
}

// Established reports that an attempt established its connection. The request's deadline no longer applies.
type Established struct {
	ID       string
	Endpoint string
	Attempt  int
	Latency  time.Duration
}

// AttemptEnded reports the end of an attempt, once for each attempt. Final is set if the request has concluded with it.
type AttemptEnded struct {
	ID       string
	Endpoint string
	Attempt  int
	Status   Status
	Latency  time.Duration
	Final    bool
	Load     LoadReport
}

// ClientDisconnected reports that the client disconnected. Its request needs no answer.
type ClientDisconnected struct{ ID string }

// LoadChanged reports the current load of an established connection, in units of work per second.
type LoadChanged struct {
	ID       string
	Endpoint string
	Attempt  int
	Load     float64
}

// LatencyChanged reports the current message latency of an endpoint.
type LatencyChanged struct {
	ID       string
	Endpoint string
	Attempt  int
	Latency  time.Duration
}

// HealthCheckResult is the result of one HealthCheck.
type HealthCheckResult struct {
	Endpoint string
	Status   Status
	Latency  time.Duration
	Load     LoadReport
}

// PeerMessage is a message from another node of the tier. A Balancer ignores it.
type PeerMessage struct {
	From int
	Data string
}

// Timer reports that a timer set by SetTimer has expired.
type Timer struct{ Token string }

func (EndpointUpdate) event()     {}
func (Request) event()            {}
func (Adopted) event()            {}
func (Established) event()        {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (LoadChanged) event()        {}
func (LatencyChanged) event()     {}
func (HealthCheckResult) event()  {}
func (PeerMessage) event()        {}
func (Timer) event()              {}
