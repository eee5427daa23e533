package simwire

import (
	"encoding/json"
	"slices"

	"example.org/micafront/balancer"
)

// wireSettings is the settings object. All times are in seconds.
type wireSettings struct {
	Nodes           int            `json:"Balancers"`
	Self            int            `json:"Me"`
	Zone            string         `json:"Zone"`
	Discovery       string         `json:"Discovery"`
	Classes         []wireClass    `json:"Categories"`
	Tenants         []wireTenant   `json:"Customers"`
	Family          wireFamily     `json:"FamilyInfo"`
	Limits          wireLimits     `json:"Limits"`
	Rules           wireRules      `json:"Invariants"`
	OverQuotaWeight float64        `json:"OverShareWorth"`
	Reports         wireReportInfo `json:"Stats"`
}

type wireClass struct {
	Name             string
	Effect           string
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

// wireFamily holds what depends on the kind of connections.
type wireFamily struct {
	Mode              string
	MessageObjectives []float64 `json:"MessageAim"`             // by class
	TenantConnections []float64 `json:"TenantQuotaConnections"` // by tenant
}

type wireLimits struct {
	Attempts       int `json:"AttemptsCap"`
	ConnectTimeout float64
	MaxRetryAfter  float64
	MaxOpen        int
	RetryAfter     bool
	Probes         bool
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

// wireReportInfo tells how load reports come, and which figures they have.
type wireReportInfo struct {
	Transport string `json:"How"`
	Fields    []string
}

// The values of the settings' strings that have a meaning here.
const (
	discoverySubscribe = "subscribe"
	modePassThrough    = "pass"
	noReports          = "none"
)

var effects = map[string]balancer.Idempotency{
	"safe":   balancer.Idempotent,
	"keyed":  balancer.IdempotentByKey,
	"unsafe": balancer.NotIdempotent,
}

var scopes = map[string]balancer.DedupScope{
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// DecodeSettings reads the settings object, as an instance gets it in its first message. It does not check what the
// settings mean.
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
		NodeIndex:       s.Self,
		Zone:            s.Zone,
		Classes:         s.classes(),
		Tenants:         s.tenants(),
		Limits:          s.Limits.limits(),
		Rules:           s.Rules.rules(),
		Subscribe:       s.Discovery == discoverySubscribe,
		PassThrough:     s.Family.Mode == modePassThrough,
		LoadReports:     s.loadReports(),
		OverQuotaWeight: s.OverQuotaWeight,
	}
}

func (s *wireSettings) loadReports() bool {
	return s.Limits.Probes && s.Reports.Transport != noReports && slices.Contains(s.Reports.Fields, balancer.UtilizationMetric)
}

func (s *wireSettings) classes() []balancer.Class {
	var classes []balancer.Class
	for i := range s.Classes {
		class := s.Classes[i].class()
		if i < len(s.Family.MessageObjectives) {
			class.MessageObjective = Seconds(s.Family.MessageObjectives[i])
		}
		classes = append(classes, class)
	}
	return classes
}

func (c *wireClass) class() balancer.Class {
	scope, scopeKnown := scopes[c.DedupScope]
	effect, effectKnown := effects[c.Effect]
	// An effect or a dedup scope that is not known here is treated as the strictest.
	if !effectKnown || effect == balancer.IdempotentByKey && !scopeKnown {
		effect = balancer.NotIdempotent
	}
	return balancer.Class{
		Name:             c.Name,
		LatencyObjective: Seconds(c.LatencyObjective),
		Timeout:          Seconds(c.Timeout),
		PriorityWeight:   c.PriorityWeight,
		Idempotency:      effect,
		DedupScope:       scope,
		DedupWindow:      Seconds(c.DedupWindow),
	}
}

func (s *wireSettings) tenants() []balancer.Tenant {
	var tenants []balancer.Tenant
	for i := range s.Tenants {
		tenant := balancer.Tenant{Name: s.Tenants[i].Name, PerSecond: s.Tenants[i].PerSecond, Share: s.Tenants[i].Share}
		if i < len(s.Family.TenantConnections) {
			tenant.Connections = s.Family.TenantConnections[i]
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
		HealthChecks:   l.Probes,
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
