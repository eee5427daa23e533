package balancer

import "time"

// Event is anything that a Balancer reacts to.
type Event interface{ event() }

// Phase is the state of an endpoint in service discovery.
type Phase int

const (
	// Ready endpoints take new connections.
	Ready Phase = iota
	// Draining endpoints keep their connections for DrainGrace and take no new ones.
	Draining
	// Removed endpoints are no longer listed.
	Removed
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        string
	Phase     Phase
	StartedAt Instant // of its process; 0: long ago
	Size      float64 // relative capacity; 0 is read as 1
	Zone      string
	Cell      int
}

// ListKind tells how to read an EndpointUpdate.
type ListKind int

const (
	// DeltaList holds the entries that changed.
	DeltaList ListKind = iota
	// FullList holds all entries.
	FullList
	// CachedList holds all entries as saved by an earlier process.
	CachedList
	// ListFailed means that discovery could not be reached; it has no entries.
	ListFailed
)

// Status is how an attempt or a health check ended.
type Status int

const (
	// OK is success.
	OK Status = iota
	// AppError is an error of the application, which executed the request.
	AppError
	// RejectedByEndpoint means that the endpoint rejected the request before its execution.
	RejectedByEndpoint
	// Timeout means that no answer came in time.
	Timeout
	// ConnectFailed means that no connection was made.
	ConnectFailed
	// Reset means that the connection broke.
	Reset
	// Canceled means that this node gave up the attempt or the client left.
	Canceled
	// NotSent means that the request never left this node.
	NotSent
)

// NeverExecuted reports whether the status proves that the attempt was not executed.
func (s Status) NeverExecuted() bool {
	return s == RejectedByEndpoint || s == ConnectFailed || s == NotSent
}

// LoadReport is an endpoint's load report: figures by name.
type LoadReport map[string]float64

// The figures of a load report that decisions need.
const (
	// UtilizationMetric is the load asked of an endpoint over what it can serve; 1 is all of it.
	UtilizationMetric = "x0"
	// ConnectionsMetric is how many connections it holds.
	ConnectionsMetric = "outstanding"
)

// EndpointUpdate is a list of endpoints from service discovery. An entry absent from a full or cached list is removed.
type EndpointUpdate struct {
	Kind    ListKind
	Version int64
	Entries []Endpoint
}

// Request is a client's connection request. It gets one final answer before Deadline.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Group       string // clients of a group are placed together; "" for none
	Key         string // of the client
	Deadline    Instant
	LoadHint    float64 `json:"Hint"`     // expected load; 0 if unknown
	Resumed     bool    `json:"MidFlow"`  // packets of a connection that is established somewhere now arrive here
	ClientRetry bool    `json:"Repeat"`   // marked by the client as a retry
	Returning   bool    `json:"Returned"` // the client was disconnected or migrated and reconnects
	MaxAttempts int     `json:"Attempts"` // that it may have here; 0: as many as the limits say
}

// Adopted is a connection that is established already, by attempt 0: another process handed it over.
type Adopted struct {
	Request
	Endpoint string `json:"Server"`
}

// Established says that an attempt's connection is established; the deadline no longer applies.
type Established struct {
	ID       string
	Endpoint string
	Attempt  int
	Latency  time.Duration
}

// AttemptEnded is the one end of an attempt. Final is set where the request has concluded.
type AttemptEnded struct {
	ID       string
	Endpoint string
	Attempt  int
	Status   Status
	Latency  time.Duration
	Final    bool
	Load     LoadReport
}

// ClientDisconnected says that the client left; it needs no answer any more.
type ClientDisconnected struct{ ID string }

// LoadChanged carries the present load of an established connection, in work per second.
type LoadChanged struct {
	ID       string
	Endpoint string
	Attempt  int
	Load     float64
}

// LatencyChanged carries the time that a message takes at an endpoint now.
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

// PeerMessage comes from another node of the tier. A Balancer ignores it.
type PeerMessage struct {
	From int
	Data string
}

// Timer is a timer that came due.
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
