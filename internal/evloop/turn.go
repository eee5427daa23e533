package evloop

import "time"

// This file measures turns: what each is for, and how long it keeps the others waiting.

// Cause is what a turn is for.
type Cause string

// Causes of turns that the loop knows by itself. SetTurnCause replaces them by what the owner of a handler knows better.
const (
	CauseConnection Cause = "connection"
	CauseAccept     Cause = "accept"
	CauseTimers     Cause = "timers"
	CausePosted     Cause = "posted"
)

// Turn is a turn that has ended.
type Turn struct {
	Cause    Cause
	EndedAt  time.Duration // by the loop's clock
	Duration time.Duration // on the monotonic clock, pauses by the host included
}

// Observer is told of the loop's turns, at the end of each. It must be quick.
type Observer interface {
	// TurnEnded is called after every turn.
	TurnEnded(turn Turn)
	// CaughtUp is called when all that came during a hold-up has been handled. heldUp is the time from its beginning.
	CaughtUp(heldUp time.Duration)
}

// SetObserver sets the observer.
func (l *Loop) SetObserver(observer Observer) { l.observer = observer }

// SetTurnCause says what the present turn is for, where that is more than the loop can know. The first name of a turn stays.
func (l *Loop) SetTurnCause(cause Cause) {
	if !l.turnNamed {
		l.turnNamed = true
		l.turnCause = cause
	}
}

// beginTurn reads the clock for a turn.
func (l *Loop) beginTurn(cause Cause) {
	l.updateClock()
	l.turnCause = cause
	l.turnNamed = false
	l.detectLateTimer()
}

// endTurn notes a turn that has held up the others.
func (l *Loop) endTurn() {
	endedAt := l.clock()
	length := endedAt - l.now
	if length > holdUpThreshold {
		l.noteHoldUp(l.now)
	}
	if l.observer != nil {
		l.observer.TurnEnded(Turn{Cause: l.turnCause, EndedAt: endedAt, Duration: length})
	}
}
