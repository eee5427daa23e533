package balancer

import "strings"

// Handle applies one event at its time and returns the actions to perform, in order. Times should not run backwards; a time
// before that of an earlier event is replaced by the latest time so far.
func (b *Balancer) Handle(now Instant, event Event) []Action {
	b.beginEvent(now)
	b.advanceEpoch()
	b.updateAdmission()
	switch event := event.(type) {
	case EndpointUpdate:
		b.applyEndpointUpdate(event)
	case Request:
		b.handleRequest(event)
	case Adopted:
		b.adoptConnection(event)
	case Established:
		b.handleEstablished(event)
	case AttemptEnded:
		b.handleAttemptEnd(event)
	case ClientDisconnected:
		if req := b.requests[event.ID]; req != nil {
			b.markAnswered(req)
			b.cancelAttempt(req)
		}
	case LoadChanged:
		if req := b.requests[event.ID]; req != nil && req.endpoint != nil && event.Load >= 0 {
			b.observeLoad(req, event.Load)
		}
	case LatencyChanged:
		if endpoint := b.endpoints[event.Endpoint]; endpoint != nil && event.Latency >= 0 {
			b.observeLatency(endpoint, event.Latency)
		}
	case HealthCheckResult:
		b.applyLoadReport(event)
	case Timer:
		b.handleTimer(event.Token)
	}
	return b.actions
}

// Timer tokens. Each request's deadline timer has another token (request.timerToken).
const (
	watchTimer       = "watch"
	loadReportTimer  = "reports"
	drainTimerPrefix = "leave:" // followed by the endpoint's ID
)

func (b *Balancer) handleTimer(token string) {
	if id, isDrain := strings.CutPrefix(token, drainTimerPrefix); isDrain {
		if endpoint := b.endpoints[id]; endpoint != nil {
			b.drainStep(endpoint)
		}
		return
	}
	switch req := b.deadlineTimers[token]; {
	case token == watchTimer:
		b.watchRetryPending = false
		b.emit(Watch{On: true})
	case token == loadReportTimer:
		b.scheduleLoadReports()
	case req != nil:
		b.rejectOrFail(req, DeadlinePassed)
	}
}
