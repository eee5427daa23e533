package balancer

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// This file holds the settings and their validation. It decides nothing.

// Idempotency tells whether a request of a class may be executed twice.
type Idempotency int

const (
	// Idempotent requests may be repeated and rejected freely.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry a key by which the hosts of a DedupScope discard repeats for the DedupWindow.
	IdempotentByKey
	// NotIdempotent requests may be repeated or rejected only when no attempt was executed.
	NotIdempotent
)

// DedupScope is the group of endpoints that discards repeats of a keyed request.
type DedupScope int

const (
	// ScopeAll is all endpoints together.
	ScopeAll DedupScope = iota
	// ScopeZone is those of one zone.
	ScopeZone
	// ScopeCell is those of one cell of a zone.
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration `json:"Aim"`        // a connection established within it earns its full weight
	Timeout          time.Duration `json:"GiveUp"`     // the client leaves after this, all its attempts together
	MessageObjective time.Duration `json:"MessageAim"` // of a message on an established connection; 0 if unknown
	PriorityWeight   float64       `json:"Worth"`
	Idempotency      Idempotency   `json:"Effect"`
	DedupScope       DedupScope    `json:"Dedup"`  // for IdempotentByKey
	DedupWindow      time.Duration `json:"Memory"` // for IdempotentByKey: how long repeats are recognized
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name        string
	PerSecond   float64
	Share       float64 // of all that is active
	Connections float64 // open ones within the share, over all nodes; 0 if unknown
}

// Limits are the limits and capabilities of a site.
type Limits struct {
	Attempts       int // of one request, at most
	ConnectTimeout time.Duration
	MaxRetryAfter  time.Duration
	MaxOpen        int
	RetryAfter     bool // clients honor a Reject's RetryAfter
	HealthChecks   bool `json:"Probes"` // endpoints answer health checks
	Cancel         bool // attempts can be canceled
	HedgedRequests bool `json:"SecondCopies"`
}

// Rules are the times and figures that a site's operators set.
type Rules struct {
	AnswerSlack       time.Duration // by how much an answer may miss the deadline
	DiscoveryInterval time.Duration `json:"AskEvery"` // within which a lost subscription is renewed
	WarmUp            time.Duration `json:"Cold"`     // in which a started endpoint reaches its full capacity
	InitialCapacity   float64       `json:"ColdFrom"` // part of its capacity that it has at its start
	DrainGrace        time.Duration // between the announcement that an endpoint drains and its stop
	OverloadWindow    time.Duration `json:"Fall"` // in which overload does harm
	OverloadFactor    float64       // how many times its capacity overloads an endpoint within OverloadWindow
}

// Settings are the configuration of a node.
type Settings struct {
	Nodes           int // nodes in the tier, this one included
	NodeIndex       int `json:"Self"` // 0-based index of this node in the tier
	Zone            string
	Classes         []Class
	Tenants         []Tenant
	Limits          Limits
	Rules           Rules
	Subscribe       bool    // discovery sends changes only to subscribers
	PassThrough     bool    // packets pass through; connections outlive the node
	LoadReports     bool    `json:"Reports"`        // health checks bring UtilizationMetric and ConnectionsMetric
	OverQuotaWeight float64 `json:"OverShareWorth"` // factor on the PriorityWeight of connections beyond a tenant's share
}

// Validate returns why settings can't be used, or nil.
func (s Settings) Validate() error { return s.cloneAndValidate() }

// cloneAndValidate returns why settings can't be used. It copies the lists, which then are the Balancer's own.
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

// requirement is a condition on a setting. Its text names the setting by its key in a settings file (internal/simwire), where
// an operator has to correct it, and the condition, which also fails for a number that is NaN.
type requirement struct {
	met  bool
	text string
}

// requireAll returns the text of the first requirement that is not met as an error, or nil.
func requireAll(requirements ...requirement) error {
	for _, requirement := range requirements {
		if !requirement.met {
			return errors.New(requirement.text)
		}
	}
	return nil
}

func isFinite(figure float64) bool { return !math.IsInf(figure, 0) && !math.IsNaN(figure) }
