package proxy

import (
	"example.org/micafront/balancer"
	"example.org/micafront/internal/metrics"
	"go.uber.org/zap"
)

// Each attempt and each request has exactly one recorded outcome.

// recordOutcome counts an attempt's outcome and reports it to the balancer.
func (a *attempt) recordOutcome(status balancer.Status) {
	s := a.session
	p := s.proxy
	s.lastStatus = status
	p.countAttempt(status)
	latency := p.loop.Now() - a.startedAt
	if entry := p.log.Check(zap.DebugLevel, "attempt ended"); entry != nil {
		entry.Write(zap.String("id", s.clientID), zap.String("endpoint", a.endpoint.id), zap.Int("status", int(status)),
			zap.Duration("latency", latency))
	}
	neverExecuted := status.NeverExecuted()
	s.policyState.AttemptEnded(neverExecuted)
	if !neverExecuted {
		s.retries.recordExecution(a)
	}
	p.events.handle(s.pool, balancer.AttemptEnded{
		ID:       s.id,
		Endpoint: a.endpoint.id,
		Attempt:  a.number,
		Status:   status,
		Latency:  latency,
		Final:    s.answered,
	})
	s.forgetIfDone()
}

func (p *Proxy) countAttempt(status balancer.Status) {
	switch status {
	case balancer.OK:
		p.counters.OutcomeOK++
	case balancer.AppError:
		p.counters.OutcomeError++
	case balancer.RejectedByEndpoint:
		p.counters.OutcomeFull++
	case balancer.Timeout:
		p.counters.OutcomeTimeout++
	case balancer.ConnectFailed:
		p.counters.OutcomeConnectFailed++
	case balancer.Reset:
		p.counters.OutcomeReset++
	case balancer.Canceled:
		p.counters.OutcomeCanceled++
	case balancer.NotSent:
		p.counters.OutcomeNotSent++
	}
}

// forgetIfDone removes a session from the table once it has been answered and has no open connection.
func (s *session) forgetIfDone() {
	if s.answered && s.attempt == nil && s.downstream == nil {
		s.proxy.sessions.remove(s)
	}
}

// registerOutcomes creates the outcome counters of all classes and tenants in the settings, so that telemetry prints
// them from now on, starting at 0.
func (p *Proxy) registerOutcomes() {
	for _, class := range p.settings.Classes {
		p.counters.Class(class.Name)
	}
	for _, tenant := range p.settings.Tenants {
		p.counters.Tenant(tenant.Name)
	}
}

// tenantOutcomes returns the outcome counters of a tenant, or nil if the settings do not name the tenant.
func (p *Proxy) tenantOutcomes(tenant string) *metrics.RequestOutcomes {
	for i := range p.settings.Tenants {
		if p.settings.Tenants[i].Name == tenant {
			return p.counters.Tenant(tenant)
		}
	}
	return nil
}

// countOutcome counts a request's final answer for its class and its tenant, in the counter that outcome selects.
func (s *session) countOutcome(outcome func(*metrics.RequestOutcomes) *metrics.Counter) {
	for _, outcomes := range []*metrics.RequestOutcomes{s.classOutcomes, s.tenantOutcomes} {
		if outcomes != nil {
			*outcome(outcomes)++
		}
	}
}

func completed(o *metrics.RequestOutcomes) *metrics.Counter { return &o.Completed }
func rejected(o *metrics.RequestOutcomes) *metrics.Counter  { return &o.Rejected }
func failed(o *metrics.RequestOutcomes) *metrics.Counter    { return &o.Failed }
