package evloop

import "time"

// Cause names what a turn processes.
type Cause string

// Causes that the loop assigns. Handlers can replace them with a more specific cause (SetTurnCause).
const (
	CauseConnection Cause = "connection"
	CauseAccept     Cause = "accept"
	CauseTimers     Cause = "timers"
	CausePosted     Cause = "posted"
)

// Turn describes a turn that has ended.
type Turn struct {
	Cause    Cause
	EndedAt  time.Duration // on the loop's clock
	Duration time.Duration // on the monotonic clock, including times when the host did not run the process
}

// Observer receives measurements of the loop's turns. Its methods run on the loop's goroutine and must be fast.
type Observer interface {
	// TurnEnded is called after every turn.
	TurnEnded(turn Turn)
	// CaughtUp is called when all events that arrived during a hold-up have been handled. heldUp is the time since the
	// hold-up began.
	CaughtUp(heldUp time.Duration)
}

// SetObserver sets the loop's only observer; nil removes it.
func (l *Loop) SetObserver(observer Observer) { l.observer = observer }

// SetTurnCause replaces the cause of the current turn with a more specific one. Only the first call in a turn has an effect.
func (l *Loop) SetTurnCause(cause Cause) {
	if !l.turnCauseSet {
		l.turnCauseSet = true
		l.turnCause = cause
	}
}

// beginTurn updates the clock and the cause for a new turn, and checks for a hold-up.
func (l *Loop) beginTurn(cause Cause) {
	l.updateClock()
	l.turnCause = cause
	l.turnCauseSet = false
	l.detectLateTimer()
}

// endTurn reports the turn to the observer, and records a hold-up if the turn was longer than holdUpThreshold.
func (l *Loop) endTurn() {
	endedAt := l.clock()
	length := endedAt - l.now
	if length > holdUpThreshold {
		l.recordHoldUp(l.now)
	}
	if l.observer != nil {
		l.observer.TurnEnded(Turn{Cause: l.turnCause, EndedAt: endedAt, Duration: length})
	}
}
