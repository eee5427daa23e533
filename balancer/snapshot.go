package balancer

import (
	"time"

	"example.org/micafront/balancer/loadreport"
)

// This file declares the form of a snapshot.

// SnapshotVersion is the version of Snapshot's form. It changes whenever a field comes, goes or changes its meaning.
const SnapshotVersion = 5

// CompactSnapshotVersion is that of a snapshot in which a table has members in place of owners. All else is as in
// SnapshotVersion.
const CompactSnapshotVersion = 6

// Snapshot is the whole state of a Balancer, exactly: one that is restored from it takes the same actions ever after. A
// State is less: what another process needs in order to go on.
//
// Endpoints, requests and classes refer to one another by their indices in the lists here; -1 is none.
type Snapshot struct {
	Version     int
	Settings    Settings
	RandomState []byte `json:"Chance"` // of the random number generator
	Now         Instant

	Classes            []Class                    // in force, dropped, and as they were when requests came under them
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
	LocalTable         *TableState           `json:"Home"` // nil: the one of LocalZone
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
	Failures      int `json:"Fails"`
	RetryAt       Instant
	TrialInFlight bool `json:"Trial"`
}

// EndpointSnapshot is all that is known of an endpoint.
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
	Active             []int           `json:"Held"` // requests, in their order
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

// RequestSnapshot is a request until its last attempt has ended, or an established connection.
type RequestSnapshot struct {
	Request         Request
	Class           int
	KeyHash         uint64 `json:"KeyID"`
	ClientHash      uint64 `json:"ClientID"`
	TimerToken      string `json:"Token"`
	TimerPending    bool   `json:"Timed"` // the deadline's timer has not come due
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
