package wire

import (
	"encoding/json"
	"slices"

	"example.org/micafront"
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
	Stats          struct {
		How    string
		Fields []string
	}
}

var effects = map[string]micafront.Effect{
	"safe": micafront.Safe, "keyed": micafront.Keyed, "unsafe": micafront.Unsafe}

var scopes = map[string]micafront.Scope{
	"all": micafront.ScopeAll, "zone": micafront.ScopeZone, "cell": micafront.ScopeCell}

func (e *envJSON) settings() micafront.Settings {
	s := micafront.Settings{Nodes: e.Balancers, Self: e.Me, Zone: e.Zone, Subscribe: e.Discovery == "subscribe",
		PassThrough: e.FamilyInfo.Mode == "pass", OverShareWorth: e.OverShareWorth,
		Reports: e.Limits.Probes && e.Stats.How != "none" && slices.Contains(e.Stats.Fields, micafront.ReportLoad)}
	for i, c := range e.Categories {
		class := micafront.Class{Name: c.Name, Aim: Seconds(c.Aim), GiveUp: Seconds(c.GiveUp), Worth: c.Credit,
			Dedup: scopes[c.DedupScope], Memory: Seconds(c.MemorySpan), Effect: micafront.Unsafe}
		if known, ok := effects[c.Effect]; ok { // an effect not known here is treated as the strictest
			class.Effect = known
		}
		if _, ok := scopes[c.DedupScope]; !ok && class.Effect == micafront.Keyed {
			class.Effect = micafront.Unsafe // nor a group of those that recognise repeats
		}
		if i < len(e.FamilyInfo.MessageAim) {
			class.MessageAim = Seconds(e.FamilyInfo.MessageAim[i])
		}
		s.Classes = append(s.Classes, class)
	}
	for i, t := range e.Customers {
		tenant := micafront.Tenant{Name: t.Name, PerSecond: t.QuotaPerS, Share: t.Share}
		if i < len(e.FamilyInfo.TenantQuotaConnections) {
			tenant.Connections = e.FamilyInfo.TenantQuotaConnections[i]
		}
		s.Tenants = append(s.Tenants, tenant)
	}
	l, r := e.Limits, e.Invariants
	s.Limits = micafront.Limits{Attempts: l.AttemptsCap, ConnectTimeout: Seconds(l.ConnectTimeout),
		MaxRetryAfter: Seconds(l.MaxRetryAfter), MaxOpen: l.MaxOpen, RetryAfter: l.RetryAfter,
		Probes: l.Probes, Cancel: l.MayCancel, SecondCopies: l.SecondCopies}
	s.Rules = micafront.Rules{AnswerSlack: Seconds(r.AnswerSlack), AskEvery: Seconds(r.AskEvery),
		Cold: Seconds(r.Cold), ColdFrom: r.ColdFrom, DrainGrace: Seconds(r.DrainGrace), Fall: Seconds(r.Fall),
		OverloadFactor: r.OverloadFactor}
	return s
}

// DecodeSettings reads the settings object, as an instance gets it in its first message.
func DecodeSettings(text []byte) (micafront.Settings, error) {
	var e envJSON
	if err := json.Unmarshal(text, &e); err != nil {
		return micafront.Settings{}, err
	}
	return e.settings(), nil
}
