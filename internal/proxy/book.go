package proxy

import (
	"example.org/micafront"
	"example.org/micafront/internal/counters"
	"go.uber.org/zap"
)

// Book: the one outcome of each attempt, and the end of a flow.

func (p *Proxy) book(a *attempt, s micafront.Status) {
	f := a.f
	switch s {
	case micafront.OK:
		p.count.OutcomeOK++
	case micafront.AppError:
		p.count.OutcomeError++
	case micafront.Full:
		p.count.OutcomeFull++
	case micafront.Timeout:
		p.count.OutcomeTimeout++
	case micafront.ConnectFailed:
		p.count.OutcomeNoConnect++
	case micafront.Reset:
		p.count.OutcomeReset++
	case micafront.Cancelled:
		p.count.OutcomeCancelled++
	case micafront.Moot:
		p.count.OutcomeMoot++
	}
	if line := p.log.Check(zap.DebugLevel, "attempt over"); line != nil {
		line.Write(zap.String("id", f.clientID), zap.String("hop", a.hop.id), zap.Int("status", int(s)),
			zap.Duration("took", p.loop.Now()-a.sentAt))
	}
	f.journey.Ended(s.NeverRan())
	if !s.NeverRan() {
		f.repeats.ran(a)
	}
	p.tell(f.pool, micafront.Outcome{ID: f.id, Server: a.hop.id, Attempt: a.no, Status: s,
		Latency: p.loop.Now() - a.sentAt, Final: f.answered})
	p.forget(f)
}

// forget drops a flow that owes nothing and has nothing out.
func (p *Proxy) forget(f *flow) {
	if f.answered && f.attempt == nil && f.client == nil {
		delete(p.flows, f.id)
		if p.ids[f.clientID] == f {
			delete(p.ids, f.clientID)
		}
	}
}

// nameFigures begins the figures of all classes and tenants in the settings, so that staff see them at 0.
func (p *Proxy) nameFigures() {
	for _, class := range p.set.Classes {
		p.count.Class(class.Name)
	}
	for _, tenant := range p.set.Tenants {
		p.count.Tenant(tenant.Name)
	}
}

// partnerOf are the figures of a tenant, if it has a contract.
func (p *Proxy) partnerOf(tenant string) *counters.Requests {
	for i := range p.set.Tenants {
		if p.set.Tenants[i].Name == tenant {
			return p.count.Tenant(tenant)
		}
	}
	return nil
}

// final counts a request's final answer, in its class's figures and its tenant's.
func (f *flow) final(which func(*counters.Requests) *counters.Counter) {
	for _, r := range []*counters.Requests{f.figures, f.partner} {
		if r != nil {
			*which(r)++
		}
	}
}

func completed(r *counters.Requests) *counters.Counter { return &r.Completed }
func rejected(r *counters.Requests) *counters.Counter  { return &r.Rejected }
func failed(r *counters.Requests) *counters.Counter    { return &r.Failed }
