package proxy

import (
	"example.org/micafront"
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
