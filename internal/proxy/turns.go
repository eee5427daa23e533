package proxy

import (
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/metrics"
	"go.uber.org/zap"
)

// Causes of the event loop's turns whose length depends on the number of endpoints, routes or connections.
const (
	turnEndpointList evloop.Cause = "endpoint list"
	turnReload       evloop.Cause = "reload"
	turnTelemetry    evloop.Cause = "telemetry"
	turnHandover     evloop.Cause = "handover"
	turnSweep        evloop.Cause = "sweep"
	turnDrain        evloop.Cause = "drain"
)

// turnLogInterval is the minimum time between two log entries about long turns.
const turnLogInterval = time.Second

// turnObserver counts and logs the long turns and hold-ups of the event loop.
type turnObserver struct {
	log           *logging.Logger
	endpoints     endpointTable
	loopMetrics   metrics.Loop
	lastLogAt     time.Duration // when a long turn was last logged
	unloggedTurns int           // long turns since lastLogAt
}

var _ evloop.Observer = (*turnObserver)(nil)

// TurnEnded implements evloop.Observer.
func (o *turnObserver) TurnEnded(turn evloop.Turn) {
	if !o.loopMetrics.RecordTurn(string(turn.Cause), turn.Duration) {
		return
	}
	if turn.EndedAt-o.lastLogAt < turnLogInterval {
		o.unloggedTurns++
		return
	}
	o.log.Warn("event loop: long turn", zap.String("cause", string(turn.Cause)), zap.Duration("length", turn.Duration),
		zap.Int("endpoints", len(o.endpoints)), zap.Int("unlogged", o.unloggedTurns))
	o.lastLogAt = turn.EndedAt
	o.unloggedTurns = 0
}

// CaughtUp implements evloop.Observer.
func (o *turnObserver) CaughtUp(heldUp time.Duration) {
	o.loopMetrics.RecordHoldUp(heldUp)
	o.log.Warn("event loop: was held up", zap.Duration("length", heldUp), zap.Int("endpoints", len(o.endpoints)))
}
