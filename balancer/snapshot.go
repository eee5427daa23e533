package balancer

import (
	"time"

	"example.org/micafront/balancer/loadreport"
)

// Types of a snapshot.

// SnapshotVersion is the version of the Snapshot format. It changes whenever a field is added, removed or changes its meaning.
const SnapshotVersion = 5

// CompactSnapshotVersion is the version of a snapshot in which a table has members instead of owners. Everything else is as in
// SnapshotVersion.
const CompactSnapshotVersion = 6

// Snapshot is the complete state of a Balancer. A Balancer restored from it returns the same actions as the original for all
// further events. A State, in contrast, holds only what a successor process needs.
//
// Endpoints, requests and classes refer to each other by index in the lists of the Snapshot; noIndex (-1) represents nil.
type Snapshot struct {
	Version     int
	Settings    Settings
	RandomState []byte `json:"Chance"` // state of the random number generator
	Now         Instant

	Classes            []Class                    // current classes, dropped ones, and earlier versions that requests still use
	ClassIndex         map[string]int             `json:"ClassOf"`
	MeanLoads          map[string]float64         `json:"Usual"`
	Endpoints          []EndpointSnapshot         `json:"Servers"`
	EndpointIndex      map[string]int             `json:"ServerOf"`
	ZoneOutliers       map[string]OutlierSnapshot `json:"Zones"`
	ActiveByTenant     map[string]int             `json:"Tenants"`
	Requests           []RequestSnapshot
	NextTimerID        uint64 `json:"NextID"`
	Table              TableState
	ZoneTables         map[string]TableState `json:"Zoned"`
	PreviousTablesAt   Instant               `json:"FormerAt"`
	LocalTable         *TableState           `json:"Home"` // nil: the table of LocalZone
	LocalZone          string                `json:"HomeZone"`
	ClientEndpoints    [2]map[uint64]int     `json:"Seen"`
	ActiveCount        int                   `json:"Held"`
	ActiveLoad         float64               `json:"Weight"`
	FleetCapacity      float64               `json:"Capacity"`
	LocalCapacity      float64               `json:"HomeSize"`
	LocalKeyFraction   float64               `json:"HomeShare"`
	BaselineLocalShare float64               `json:"UsualPart"`
	ZoneCount          int

	GroupCounts       map[uint64]float64 `json:"Crowd"`
	GroupTotal        float64            `json:"CrowdTotal"`
	GroupSumOfSquares float64            `json:"CrowdSquare"`

	Started            bool
	ListDirty          bool
	HistoryReset       bool `json:"Snapped"`
	StartedAt          Instant
	LastEpoch          int64
	LastChangeEpoch    int64                            `json:"LastChange"`
	WatchFailures      int                              `json:"WatchTries"`
	WatchRetryPending  bool                             `json:"WatchPending"`
	AdmissionRate      float64                          `json:"Gate"`
	Stress             float64                          `json:"Pain"`
	AdmissionUpdatedAt Instant                          `json:"PressedAt"`
	LastAttemptAt      Instant                          `json:"SentAt"`
	LoadReports        map[string]loadreport.LoadRecord `json:"Told"`
}

// OutlierSnapshot is the outlier state of an endpoint or a zone.
type OutlierSnapshot struct {
	Failures      int     `json:"Fails"`
	RetryAt       Instant // end of the ejection
	TrialInFlight bool    `json:"Trial"` // the request that probes for recovery is in flight
}

// EndpointSnapshot is the complete state of an endpoint.
type EndpointSnapshot struct {
	ID                 string
	Zone               string
	Cell               int
	Phase              Phase
	Size               float64
	Outlier            OutlierSnapshot `json:"Suspicion"`
	StartedAt          Instant         `json:"Started"`
	LastResetAt        Instant         `json:"BrokeAt"`
	CrashSuspected     bool            `json:"Crashed"`
	Active             []int           `json:"Held"` // indices of the active requests, in order
	ActiveLoad         float64         `json:"Weight"`
	DrainStepsLeft     int             `json:"Leaving"`
	DrainForcedAt      Instant         `json:"LeaveBy"`
	MessageLatency     time.Duration   `json:"Delay"`
	MessageLatencyAt   Instant         `json:"DelayAt"`
	AdmittedFraction   float64         `json:"Load"`
	SlowStartTokens    float64         `json:"Tokens"`
	AdmittedFractionAt Instant         `json:"LoadAt"`
	SlowStartTokensAt  Instant         `json:"TokensAt"`
}

// RequestSnapshot is the state of a request whose last attempt has not ended, or of an established connection.
type RequestSnapshot struct {
	Request         Request
	Class           int
	KeyHash         uint64 `json:"KeyID"`
	ClientHash      uint64 `json:"ClientID"`
	TimerToken      string `json:"Token"`
	TimerPending    bool   `json:"Timed"` // the deadline timer has not expired
	Attempts        int
	ActiveIndex     int  `json:"Place"`
	Endpoint        int  `json:"At"`
	ExecutedOn      int  `json:"RanOn"`
	Established     bool `json:"Open"`
	Migrating       bool `json:"Moved"`
	Answered        bool
	AdmissionDenied bool    `json:"Gated"`
	Attempted       []int   `json:"Tried"`
	ExecutedAt      Instant `json:"RanAt"`
	SentAt          Instant
	Load            float64 `json:"Weight"`
}
