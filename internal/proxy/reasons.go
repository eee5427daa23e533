package proxy

import (
	"example.org/micafront/balancer"
	"example.org/micafront/internal/metrics"
	"go.uber.org/zap"
)

// Reasons for which the proxy itself ends requests. Those of the balancers are of type balancer.AnswerReason.
const (
	reasonLimit           metrics.Reason = "limit"     // limit on descriptors or open requests
	reasonPlacement       metrics.Reason = "placement" // the fleet's configuration does not allow placement now
	reasonStopping        metrics.Reason = "stopping"
	reasonNoRoute         metrics.Reason = "no_route"
	reasonPoolLimit       metrics.Reason = "pool_limit"
	reasonNoEndpoint      metrics.Reason = "no_endpoint"
	reasonReattachTimeout metrics.Reason = "reattach_timeout"
	reasonUnexpectedData  metrics.Reason = "unexpected_data"
	reasonClientGone      metrics.Reason = "client_gone"
)

// statusReasons maps the status of an attempt to the reason of the retry that follows it.
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

// recordReason counts an event of a request by its reason, and logs it at debug level.
func (s *session) recordReason(event metrics.Event, reason metrics.Reason) {
	p := s.proxy
	p.reasons.Record(event, reason)
	if entry := p.log.Check(zap.DebugLevel, "request "+string(event)); entry != nil {
		entry.Write(zap.String("id", s.clientID), zap.String("reason", string(reason)), zap.Int("attempts", s.attemptCount),
			zap.Duration("remaining", s.deadline-p.loop.Now()))
	}
}
