package proxy

import "example.org/loompick"

// Book: the one outcome of each attempt, and the end of a flow.

func (p *Proxy) book(a *attempt, s loompick.Status) {
	f := a.f
	switch s {
	case loompick.OK:
		p.count.OutcomeOK++
	case loompick.AppError:
		p.count.OutcomeError++
	case loompick.Full:
		p.count.OutcomeFull++
	case loompick.Timeout:
		p.count.OutcomeTimeout++
	case loompick.ConnectFailed:
		p.count.OutcomeNoConnect++
	case loompick.Reset:
		p.count.OutcomeReset++
	case loompick.Cancelled:
		p.count.OutcomeCancelled++
	case loompick.Moot:
		p.count.OutcomeMoot++
	}
	p.tell(loompick.Outcome{ID: f.id, Server: a.hop.id, Attempt: a.no, Status: s,
		Latency: p.loop.Now() - a.sentAt, Final: f.answered})
	p.forget(f)
}

// forget drops a flow that owes nothing and has nothing out.
func (p *Proxy) forget(f *flow) {
	if f.answered && f.attempt == nil && f.client == nil {
		delete(p.flows, f.id)
	}
}
