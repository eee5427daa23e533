package proxy

import (
	"example.org/micafront/balancer"
	"example.org/micafront/internal/metrics"
	"go.uber.org/zap"
)

// Reasons that the proxy itself has for ending requests; the balancers' own are balancer.AnswerReason.
const (
	reasonLimit           metrics.Reason = "limit"     // on descriptors or open requests
	reasonPlacement       metrics.Reason = "placement" // the fleet's configuration may not be acted on now
	reasonStopping        metrics.Reason = "stopping"
	reasonNoRoute         metrics.Reason = "no_route"
	reasonPoolLimit       metrics.Reason = "pool_limit"
	reasonNoEndpoint      metrics.Reason = "no_endpoint"
	reasonReattachTimeout metrics.Reason = "reattach_timeout"
	reasonUnexpectedData  metrics.Reason = "unexpected_data"
	reasonClientGone      metrics.Reason = "client_gone"
)

// statusReasons are the reasons of retries: how the attempt before ended.
var statusReasons = map[balancer.Status]metrics.Reason{
	balancer.OK:                 "ok",
	balancer.AppError:           "error",
	balancer.RejectedByEndpoint: "full",
	balancer.Timeout:            "timeout",
	balancer.ConnectFailed:      "no_connect",
	balancer.Reset:              "reset",
	balancer.Canceled:           "canceled",
	balancer.NotSent:            "not_sent",
}

func statusReason(status balancer.Status) metrics.Reason { return statusReasons[status] }

// recordReason counts what happens to a request, and logs it for debugging.
func (s *session) recordReason(event metrics.Event, reason metrics.Reason) {
	p := s.proxy
	p.reasons.Record(event, reason)
	if entry := p.log.Check(zap.DebugLevel, "request "+string(event)); entry != nil {
		entry.Write(zap.String("id", s.clientID), zap.String("reason", string(reason)), zap.Int("attempts", s.attemptCount),
			zap.Duration("remaining", s.deadline-p.loop.Now()))
	}
}
