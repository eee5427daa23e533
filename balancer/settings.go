package balancer

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings of a Balancer and their validation.

// Idempotency specifies whether a request of a class may be executed more than once.
type Idempotency int

const (
	// Idempotent requests may always be retried and rejected.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key. The endpoints of a DedupScope discard duplicates with the same key
	// for the DedupWindow.
	IdempotentByKey
	// NotIdempotent requests may be retried or rejected only if no attempt was executed.
	NotIdempotent
)

// DedupScope is the group of endpoints that together discard duplicates of a request with an idempotency key.
type DedupScope int

const (
	// ScopeAll covers all endpoints.
	ScopeAll DedupScope = iota
	// ScopeZone covers the endpoints of one zone.
	ScopeZone
	// ScopeCell covers the endpoints of one cell of a zone.
	ScopeCell
)

// Class describes a class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration `json:"Aim"`        // a connection established within it counts with its full PriorityWeight
	Timeout          time.Duration `json:"GiveUp"`     // the client gives up after this time, over all attempts together
	MessageObjective time.Duration `json:"MessageAim"` // latency objective of a message on an established connection; 0: unknown
	PriorityWeight   float64       `json:"Worth"`
	Idempotency      Idempotency   `json:"Effect"`
	DedupScope       DedupScope    `json:"Dedup"`  // for IdempotentByKey
	DedupWindow      time.Duration `json:"Memory"` // for IdempotentByKey: how long duplicates are recognized
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name        string
	PerSecond   float64
	Share       float64 // fraction of all active connections
	Connections float64 // open connections within the share, over all nodes; 0: unknown
}

// Limits holds the limits and capabilities of a site.
type Limits struct {
	Attempts       int // maximum number of attempts of a request
	ConnectTimeout time.Duration
	MaxRetryAfter  time.Duration
	MaxOpen        int
	RetryAfter     bool // clients honor a Reject's RetryAfter
	HealthChecks   bool `json:"Probes"` // endpoints answer health checks
	Cancel         bool // attempts can be canceled
	HedgedRequests bool `json:"SecondCopies"`
}

// Rules holds the durations and factors that a site's operators set.
type Rules struct {
	AnswerSlack       time.Duration // how late after the deadline an answer may be
	DiscoveryInterval time.Duration `json:"AskEvery"` // a lost subscription is renewed within this time
	WarmUp            time.Duration `json:"Cold"`     // time from an endpoint's start to its full capacity
	InitialCapacity   float64       `json:"ColdFrom"` // fraction of its full capacity that an endpoint has at its start
	DrainGrace        time.Duration // time from the announcement that an endpoint drains to its stop
	OverloadWindow    time.Duration `json:"Fall"` // time within which overload causes harm
	OverloadFactor    float64       // multiple of its capacity that overloads an endpoint within OverloadWindow
}

// Settings holds the configuration of a node.
type Settings struct {
	Nodes           int // number of nodes in the tier, including this one
	NodeIndex       int `json:"Self"` // 0-based index of this node in the tier
	Zone            string
	Classes         []Class
	Tenants         []Tenant
	Limits          Limits
	Rules           Rules
	Subscribe       bool    // service discovery sends changes only to subscribers
	PassThrough     bool    // the node forwards packets, so connections outlive it
	LoadReports     bool    `json:"Reports"`        // health checks return UtilizationMetric and ConnectionsMetric
	OverQuotaWeight float64 `json:"OverShareWorth"` // factor on the PriorityWeight of connections beyond their tenant's share
}

// Validate returns an error that names the first invalid setting by its key in a settings file, or nil.
func (s Settings) Validate() error { return s.cloneAndValidate() }

// cloneAndValidate copies the lists, so that the Balancer does not share them with its caller, and validates the settings.
func (s *Settings) cloneAndValidate() error {
	s.Classes = slices.Clone(s.Classes)
	s.Tenants = slices.Clone(s.Tenants)
	if len(s.Classes) == 0 {
		return errors.New("no classes")
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(); err != nil {
			return fmt.Errorf("class %q: %w", s.Classes[i].Name, err)
		}
	}
	for i := range s.Tenants {
		if err := s.Tenants[i].validate(); err != nil {
			return fmt.Errorf("tenant %q: %w", s.Tenants[i].Name, err)
		}
	}
	limits, rules := &s.Limits, &s.Rules
	return requireAll(
		requirement{s.Nodes >= 1, "Balancers must be at least 1"},
		requirement{limits.Attempts >= 1, "Limits.AttemptsCap must be at least 1"},
		requirement{limits.ConnectTimeout > 0, "Limits.ConnectTimeout must be above 0"},
		requirement{limits.MaxRetryAfter >= 0, "Limits.MaxRetryAfter must not be negative"},
		requirement{limits.MaxOpen >= 0, "Limits.MaxOpen must not be negative"},
		requirement{rules.WarmUp > 0, "Invariants.Cold must be above 0"},
		requirement{rules.OverloadWindow > 0, "Invariants.Fall must be above 0"},
		requirement{rules.DrainGrace >= 0, "Invariants.DrainGrace must not be negative"},
		requirement{rules.AnswerSlack >= 0, "Invariants.AnswerSlack must not be negative"},
		requirement{rules.DiscoveryInterval >= 0, "Invariants.AskEvery must not be negative"},
		requirement{rules.InitialCapacity > 0 && rules.InitialCapacity <= 1, "Invariants.ColdFrom must be above 0 and at most 1"},
		requirement{rules.OverloadFactor > 0 && isFinite(rules.OverloadFactor), "Invariants.OverloadFactor must be above 0 and finite"},
		requirement{!s.Subscribe || rules.DiscoveryInterval > 0, "Invariants.AskEvery must be above 0 where Discovery is subscribe"},
	)
}

func (c *Class) validate() error {
	return requireAll(
		requirement{c.LatencyObjective >= 0, "Aim must not be negative"},
		requirement{c.Timeout > 0, "GiveUp must be above 0"},
		requirement{c.MessageObjective >= 0, "FamilyInfo.MessageAim must not be negative"},
		requirement{c.DedupWindow >= 0, "MemorySpan must not be negative"},
		requirement{c.PriorityWeight >= 0 && isFinite(c.PriorityWeight), "Credit must be finite and not negative"},
	)
}

func (t *Tenant) validate() error {
	return requireAll(
		requirement{t.PerSecond >= 0, "QuotaPerS must be a number and not negative"},
		requirement{t.Share >= 0, "Share must be a number and not negative"},
		requirement{t.Connections >= 0, "FamilyInfo.TenantQuotaConnections must be a number and not negative"},
	)
}

// requirement is a condition on a setting; NaN must not meet it. The text states the condition and names the setting by its
// key in a settings file (internal/simwire), because an operator has to correct it there.
type requirement struct {
	met  bool
	text string
}

// requireAll returns an error with the text of the first requirement that is not met, or nil.
func requireAll(requirements ...requirement) error {
	for _, requirement := range requirements {
		if !requirement.met {
			return errors.New(requirement.text)
		}
	}
	return nil
}

func isFinite(figure float64) bool { return !math.IsInf(figure, 0) && !math.IsNaN(figure) }
