package proxy

import (
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/metrics"
	"go.uber.org/zap"
)

// Names of turns, by the work whose length depends on lists, routes or connections.
const (
	turnEndpointList evloop.Cause = "endpoint list"
	turnReload       evloop.Cause = "reload"
	turnTelemetry    evloop.Cause = "telemetry"
	turnHandover     evloop.Cause = "handover"
	turnSweep        evloop.Cause = "sweep"
	turnDrain        evloop.Cause = "drain"
)

// turnLogInterval is how often a long turn is logged at most.
const turnLogInterval = time.Second

// turnObserver counts and logs the turns of the event loop that keep others waiting.
type turnObserver struct {
	log           *logging.Logger
	endpoints     endpointTable
	loopMetrics   metrics.Loop
	lastLogAt     time.Duration // of a long turn
	unloggedTurns int           // long turns since
}

var _ evloop.Observer = (*turnObserver)(nil)

// TurnEnded is part of evloop.Observer.
func (o *turnObserver) TurnEnded(turn evloop.Turn) {
	if !o.loopMetrics.RecordTurn(string(turn.Cause), turn.Length) {
		return
	}
	if turn.EndedAt-o.lastLogAt < turnLogInterval {
		o.unloggedTurns++
		return
	}
	o.log.Warn("event loop: long turn", zap.String("cause", string(turn.Cause)), zap.Duration("length", turn.Length),
		zap.Int("endpoints", len(o.endpoints)), zap.Int("unlogged", o.unloggedTurns))
	o.lastLogAt = turn.EndedAt
	o.unloggedTurns = 0
}

// CaughtUp is part of evloop.Observer.
func (o *turnObserver) CaughtUp(heldUp time.Duration) {
	o.loopMetrics.RecordHoldUp(heldUp)
	o.log.Warn("event loop: was held up", zap.Duration("length", heldUp), zap.Int("endpoints", len(o.endpoints)))
}
