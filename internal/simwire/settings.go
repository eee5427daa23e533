package simwire

import (
	"encoding/json"
	"slices"

	"example.org/micafront/balancer"
)

// wireSettings is the settings object. All durations are in seconds.
type wireSettings struct {
	Nodes              int                    `json:"Balancers"`
	NodeIndex          int                    `json:"Me"`
	Zone               string                 `json:"Zone"`
	Discovery          string                 `json:"Discovery"`
	Classes            []wireClass            `json:"Categories"`
	Tenants            []wireTenant           `json:"Customers"`
	ConnectionSettings wireConnectionSettings `json:"FamilyInfo"`
	Limits             wireLimits             `json:"Limits"`
	Rules              wireRules              `json:"Invariants"`
	OverQuotaWeight    float64                `json:"OverShareWorth"`
	Reports            wireReportSettings     `json:"Stats"`
}

type wireClass struct {
	Name             string
	Idempotency      string `json:"Effect"`
	DedupScope       string
	LatencyObjective float64 `json:"Aim"`
	Timeout          float64 `json:"GiveUp"`
	PriorityWeight   float64 `json:"Credit"`
	DedupWindow      float64 `json:"MemorySpan"`
}

type wireTenant struct {
	Name      string
	PerSecond float64 `json:"QuotaPerS"`
	Share     float64
}

// wireConnectionSettings holds the settings that depend on the kind of connections.
type wireConnectionSettings struct {
	Mode              string
	MessageObjectives []float64 `json:"MessageAim"`             // by index of the class, in seconds
	TenantConnections []float64 `json:"TenantQuotaConnections"` // by index of the tenant
}

type wireLimits struct {
	Attempts       int `json:"AttemptsCap"`
	ConnectTimeout float64
	MaxRetryAfter  float64
	MaxOpen        int
	RetryAfter     bool
	HealthChecks   bool `json:"Probes"`
	Cancel         bool `json:"MayCancel"`
	HedgedRequests bool `json:"SecondCopies"`
}

type wireRules struct {
	AnswerSlack       float64
	DiscoveryInterval float64 `json:"AskEvery"`
	WarmUp            float64 `json:"Cold"`
	InitialCapacity   float64 `json:"ColdFrom"`
	DrainGrace        float64
	OverloadWindow    float64 `json:"Fall"`
	OverloadFactor    float64
}

// wireReportSettings specifies the transport of load reports and the metrics that they contain.
type wireReportSettings struct {
	Transport string `json:"How"`
	Fields    []string
}

// Values of string settings that this package interprets.
const (
	discoverySubscribe = "subscribe"
	modePassThrough    = "pass"
	noReports          = "none"
)

var idempotencies = map[string]balancer.Idempotency{
	"safe":   balancer.Idempotent,
	"keyed":  balancer.IdempotentByKey,
	"unsafe": balancer.NotIdempotent,
}

var dedupScopes = map[string]balancer.DedupScope{
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// DecodeSettings decodes the settings object, which an instance receives in its first message. It does not validate the
// settings; balancer.Settings.Validate does. Its errors are those of encoding/json.
func DecodeSettings(text []byte) (balancer.Settings, error) {
	var settings wireSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return balancer.Settings{}, err
	}
	return settings.settings(), nil
}

func (s *wireSettings) settings() balancer.Settings {
	return balancer.Settings{
		Nodes:           s.Nodes,
		NodeIndex:       s.NodeIndex,
		Zone:            s.Zone,
		Classes:         s.classes(),
		Tenants:         s.tenants(),
		Limits:          s.Limits.limits(),
		Rules:           s.Rules.rules(),
		Subscribe:       s.Discovery == discoverySubscribe,
		PassThrough:     s.ConnectionSettings.Mode == modePassThrough,
		LoadReports:     s.loadReports(),
		OverQuotaWeight: s.OverQuotaWeight,
	}
}

func (s *wireSettings) loadReports() bool {
	return s.Limits.HealthChecks && s.Reports.Transport != noReports && slices.Contains(s.Reports.Fields, balancer.UtilizationMetric)
}

func (s *wireSettings) classes() []balancer.Class {
	var classes []balancer.Class
	for i := range s.Classes {
		class := s.Classes[i].class()
		if i < len(s.ConnectionSettings.MessageObjectives) {
			class.MessageObjective = Seconds(s.ConnectionSettings.MessageObjectives[i])
		}
		classes = append(classes, class)
	}
	return classes
}

func (c *wireClass) class() balancer.Class {
	scope, scopeKnown := dedupScopes[c.DedupScope]
	idempotency, idempotencyKnown := idempotencies[c.Idempotency]
	// An unknown Effect, or an unknown DedupScope of a keyed class, is treated as not idempotent, which is the strictest value.
	if !idempotencyKnown || idempotency == balancer.IdempotentByKey && !scopeKnown {
		idempotency = balancer.NotIdempotent
	}
	return balancer.Class{
		Name:             c.Name,
		LatencyObjective: Seconds(c.LatencyObjective),
		Timeout:          Seconds(c.Timeout),
		PriorityWeight:   c.PriorityWeight,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      Seconds(c.DedupWindow),
	}
}

func (s *wireSettings) tenants() []balancer.Tenant {
	var tenants []balancer.Tenant
	for i := range s.Tenants {
		tenant := balancer.Tenant{Name: s.Tenants[i].Name, PerSecond: s.Tenants[i].PerSecond, Share: s.Tenants[i].Share}
		if i < len(s.ConnectionSettings.TenantConnections) {
			tenant.Connections = s.ConnectionSettings.TenantConnections[i]
		}
		tenants = append(tenants, tenant)
	}
	return tenants
}

func (l *wireLimits) limits() balancer.Limits {
	return balancer.Limits{
		Attempts:       l.Attempts,
		ConnectTimeout: Seconds(l.ConnectTimeout),
		MaxRetryAfter:  Seconds(l.MaxRetryAfter),
		MaxOpen:        l.MaxOpen,
		RetryAfter:     l.RetryAfter,
		HealthChecks:   l.HealthChecks,
		Cancel:         l.Cancel,
		HedgedRequests: l.HedgedRequests,
	}
}

func (r *wireRules) rules() balancer.Rules {
	return balancer.Rules{
		AnswerSlack:       Seconds(r.AnswerSlack),
		DiscoveryInterval: Seconds(r.DiscoveryInterval),
		WarmUp:            Seconds(r.WarmUp),
		InitialCapacity:   r.InitialCapacity,
		DrainGrace:        Seconds(r.DrainGrace),
		OverloadWindow:    Seconds(r.OverloadWindow),
		OverloadFactor:    r.OverloadFactor,
	}
}
