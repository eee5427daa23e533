package wire

import (
	"encoding/json"

	"example.org/loompick"
)

type envJSON struct {
	Balancers  int
	Me         int
	Zone       string
	Discovery  string
	Categories []struct {
		Name, Effect, DedupScope        string
		Aim, GiveUp, Credit, MemorySpan float64
	}
	Customers []struct {
		Name             string
		QuotaPerS, Share float64
	}
	FamilyInfo struct {
		Mode                   string
		MessageAim             []float64
		TenantQuotaConnections []float64
	}
	Limits struct {
		AttemptsCap                                 int
		ConnectTimeout, MaxRetryAfter               float64
		MaxOpen                                     int
		RetryAfter, Probes, MayCancel, SecondCopies bool
	}
	Invariants struct {
		AnswerSlack, AskEvery, Cold, ColdFrom, DrainGrace, Fall, OverloadFactor float64
	}
	OverShareWorth float64
}

var effects = map[string]loompick.Effect{
	"safe": loompick.Safe, "keyed": loompick.Keyed, "unsafe": loompick.Unsafe}

var scopes = map[string]loompick.Scope{
	"all": loompick.ScopeAll, "zone": loompick.ScopeZone, "cell": loompick.ScopeCell}

func (e *envJSON) settings() loompick.Settings {
	s := loompick.Settings{Nodes: e.Balancers, Self: e.Me, Zone: e.Zone, Subscribe: e.Discovery == "subscribe",
		PassThrough: e.FamilyInfo.Mode == "pass", OverShareWorth: e.OverShareWorth}
	for i, c := range e.Categories {
		class := loompick.Class{Name: c.Name, Aim: Seconds(c.Aim), GiveUp: Seconds(c.GiveUp), Worth: c.Credit,
			Dedup: scopes[c.DedupScope], Memory: Seconds(c.MemorySpan), Effect: loompick.Unsafe}
		if known, ok := effects[c.Effect]; ok { // an effect not known here is treated as the strictest
			class.Effect = known
		}
		if i < len(e.FamilyInfo.MessageAim) {
			class.MessageAim = Seconds(e.FamilyInfo.MessageAim[i])
		}
		s.Classes = append(s.Classes, class)
	}
	for i, t := range e.Customers {
		tenant := loompick.Tenant{Name: t.Name, PerSecond: t.QuotaPerS, Share: t.Share}
		if i < len(e.FamilyInfo.TenantQuotaConnections) {
			tenant.Connections = e.FamilyInfo.TenantQuotaConnections[i]
		}
		s.Tenants = append(s.Tenants, tenant)
	}
	l, r := e.Limits, e.Invariants
	s.Limits = loompick.Limits{Attempts: l.AttemptsCap, ConnectTimeout: Seconds(l.ConnectTimeout),
		MaxRetryAfter: Seconds(l.MaxRetryAfter), MaxOpen: l.MaxOpen, RetryAfter: l.RetryAfter,
		Probes: l.Probes, Cancel: l.MayCancel, SecondCopies: l.SecondCopies}
	s.Rules = loompick.Rules{AnswerSlack: Seconds(r.AnswerSlack), AskEvery: Seconds(r.AskEvery),
		Cold: Seconds(r.Cold), ColdFrom: r.ColdFrom, DrainGrace: Seconds(r.DrainGrace), Fall: Seconds(r.Fall),
		OverloadFactor: r.OverloadFactor}
	return s
}

// DecodeSettings reads the settings object, as an instance gets it in its first message.
func DecodeSettings(text []byte) (loompick.Settings, error) {
	var e envJSON
	if err := json.Unmarshal(text, &e); err != nil {
		return loompick.Settings{}, err
	}
	return e.settings(), nil
}
