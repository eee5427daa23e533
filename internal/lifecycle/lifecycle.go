// Package lifecycle decides when a proxy process migrates clients, closes its listeners and exits. It does no I/O and reads no
// clock; callers pass in the time, as the duration since any fixed moment.
package lifecycle

import (
	"time"

	"example.org/micafront/balancer"
)

const (
	// arrivalWindow is how long after the signal new connections still arrive.
	arrivalWindow = 400 * time.Millisecond
	// IdleBeforeClose is how long no request must have arrived before the listeners close.
	IdleBeforeClose = 300 * time.Millisecond
	// drainStepInterval is the time between the steps of an evacuation or a stop.
	drainStepInterval = 50 * time.Millisecond
	// maxCountedTimeout caps a class's timeout in the schedule.
	maxCountedTimeout = 3 * time.Second
	// killDelay is the time from the longest timeout, counted from the signal, to the kill of the process.
	killDelay = 700 * time.Millisecond
	// answersBeforeKill is how long before the kill all final answers have been sent.
	answersBeforeKill = 300 * time.Millisecond
	// exitBeforeKill is how long before the kill the process exits.
	exitBeforeKill = 100 * time.Millisecond
	// maxMigrationTime is how long after the signal the last clients are migrated at the latest, whatever the timeouts.
	maxMigrationTime = 2300 * time.Millisecond
	// passThroughMargin is how long after the latest kill a process with pass-through of packets exits by itself.
	passThroughMargin = time.Second
	// signalOrderWindow is how long after a change of the settings a stop that was requested before the change may arrive.
	signalOrderWindow = 500 * time.Millisecond
)

// Schedule holds the due times of the parts of a stop, counted from the signal.
type Schedule struct {
	migrateFrom time.Duration // migration of clients starts
	migrateBy   time.Duration // end of migration at an even pace; later each step migrates all remaining clients
	closeFrom   time.Duration // the listeners close from here on, once the process is idle
	answerBy    time.Duration // every request gets its final answer, and the listeners close in any case
	exitBy      time.Duration // the process exits
	killAt      time.Duration // the process would be killed
	// exitByEstablished is when the process exits although connections are established. With pass-through it lies after the
	// latest kill, because connections that are open at the kill continue at another proxy, and connections that this process
	// closes do not.
	exitByEstablished time.Duration
}

// NewSchedule computes the schedule from the settings alone. A request that arrives at the end of arrivalWindow still
// has its whole timeout until answers are due, unless that timeout exceeds maxCountedTimeout.
func NewSchedule(settings balancer.Settings) Schedule {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, min(class.Timeout, maxCountedTimeout))
	}
	s := Schedule{
		migrateFrom: (arrivalWindow + IdleBeforeClose) / 2,
		killAt:      longest + killDelay,
	}
	s.migrateBy = max(min(longest, maxMigrationTime), s.migrateFrom)
	s.answerBy = s.killAt - answersBeforeKill
	s.closeFrom = min(arrivalWindow+IdleBeforeClose, s.answerBy)
	s.exitBy = s.killAt - exitBeforeKill
	s.exitByEstablished = s.exitBy
	if settings.PassThrough {
		s.exitByEstablished = maxCountedTimeout + killDelay + passThroughMargin
	}
	return s
}

// phase is the current phase of a process's lifecycle.
type phase int

const (
	phaseServing   phase = iota
	phaseEvacuated       // clients are migrated away; clients that connect anyway are served
	phaseStopping        // a stop has begun: clients are accepted, answered and migrated
	phaseClosed          // the listeners are closed
	phaseExited          // the event loop stops
)

// Lifecycle is the state machine of a process. Its zero value is phaseServing.
type Lifecycle struct {
	NotReady bool // readiness checks fail

	phase             phase
	migratingSince    time.Duration // start of the evacuation or the stop
	stopRequestedAt   time.Duration
	listenersClosedAt time.Duration
	schedule          Schedule // of the current stop; later settings do not postpone the kill

	formerSchedule    Schedule // from the settings before their last change
	scheduleChangedAt time.Duration
}

// Stopping reports whether a stop has begun.
func (l *Lifecycle) Stopping() bool { return l.phase >= phaseStopping }

// Accepting reports whether the listeners are still open.
func (l *Lifecycle) Accepting() bool { return l.phase < phaseClosed }

// AnswersWithin returns the time from the signal of the current stop until every request has its final answer.
func (l *Lifecycle) AnswersWithin() time.Duration { return l.schedule.answerBy }

// Evacuate begins an evacuation. It reports whether the caller must start migrating clients.
func (l *Lifecycle) Evacuate(now time.Duration) bool {
	l.NotReady = true
	if l.phase != phaseServing {
		return false
	}
	l.phase = phaseEvacuated
	l.migratingSince = now
	return true
}

// Rejoin ends an evacuation. It reports whether the caller must stop migrating clients. It neither cancels a stop nor makes
// a stopping process ready.
func (l *Lifecycle) Rejoin() bool {
	if l.phase != phaseEvacuated {
		return false
	}
	l.phase = phaseServing
	l.NotReady = false
	return true
}

// RecordScheduleChange records a change of the settings. former is the schedule of the settings that were active until now.
func (l *Lifecycle) RecordScheduleChange(now time.Duration, former Schedule) {
	l.formerSchedule = l.stopSchedule(now, former)
	l.scheduleChangedAt = now
}

// stopSchedule returns the schedule of a stop whose signal arrives now. current is the schedule of the active settings.
//
// The order of a stop and a reload that are requested together is lost, because the kernel and the Go runtime deliver pending
// signals by number, SIGHUP before SIGTERM. The kill may follow the settings before or after the reload, so the schedule with
// the earlier kill applies.
func (l *Lifecycle) stopSchedule(now time.Duration, current Schedule) Schedule {
	changedJustNow := now-l.scheduleChangedAt < signalOrderWindow
	if changedJustNow && l.formerSchedule.killAt < current.killAt {
		return l.formerSchedule
	}
	return current
}

// BeginStop begins a stop. It returns false if one has begun already. current is the schedule of the active settings.
func (l *Lifecycle) BeginStop(now time.Duration, current Schedule) bool {
	if l.Stopping() {
		return false
	}
	if l.phase != phaseEvacuated {
		l.migratingSince = now
	}
	l.phase = phaseStopping
	l.stopRequestedAt = now
	l.schedule = l.stopSchedule(now, current)
	return true
}

// MigrationQuota returns how many of n clients this step migrates. current is the schedule of the active settings, which
// applies until a stop begins.
func (l *Lifecycle) MigrationQuota(now time.Duration, current Schedule, n int) int {
	schedule := current
	if l.Stopping() {
		schedule = l.schedule
	}
	elapsed := now - l.migratingSince
	if elapsed < schedule.migrateFrom {
		return 0
	}
	steps := max(int((schedule.migrateBy-elapsed)/drainStepInterval), 1)
	return (n + steps - 1) / steps
}

// AnswersDue reports whether all final answers must be sent now.
func (l *Lifecycle) AnswersDue(now time.Duration) bool {
	return l.Stopping() && now-l.stopRequestedAt >= l.schedule.answerBy
}

// TooLateToAttempt reports whether too little of a stop is left to attempt a request that arrives now.
func (l *Lifecycle) TooLateToAttempt(now time.Duration) bool {
	return !l.Accepting() || l.Stopping() && now-l.stopRequestedAt >= l.schedule.answerBy-drainStepInterval
}

// BoundDeadline returns a request's deadline, limited to the time when a stop's answers are due.
func (l *Lifecycle) BoundDeadline(deadline time.Duration) time.Duration {
	if l.Stopping() {
		return min(deadline, l.stopRequestedAt+l.schedule.answerBy)
	}
	return deadline
}

// State is the state of the proxy that a step of a stop depends on.
type State struct {
	AnswersPending bool          // a client waits for an answer of this process
	Established    bool          // connections are established
	IdleFor        time.Duration // time since the last request arrived
}

// Action is the action of one step of a stop.
type Action int

// Actions of a step.
const (
	Wait           Action = iota // nothing is due
	CloseListeners               // stop accepting
	Exit                         // stop the event loop
)

// NextAction returns the action that is due now, and moves to the phase after it.
func (l *Lifecycle) NextAction(now time.Duration, state State) Action {
	elapsed := now - l.stopRequestedAt
	busy := state.AnswersPending || state.Established
	switch l.phase {
	case phaseStopping:
		idle := state.IdleFor >= IdleBeforeClose && !busy
		if elapsed >= l.schedule.answerBy || elapsed >= l.schedule.closeFrom && idle {
			l.phase = phaseClosed
			l.listenersClosedAt = now
			return CloseListeners
		}
	case phaseClosed:
		exitBy := l.schedule.exitBy
		if state.Established {
			exitBy = l.schedule.exitByEstablished
		}
		// Connections accepted last are read at least once: closing one with unread bytes would reset it.
		readOnce := now-l.listenersClosedAt >= drainStepInterval
		if readOnce && (elapsed >= exitBy || !busy) {
			l.phase = phaseExited
			return Exit
		}
	}
	return Wait
}

// StepDelay returns the time until the next step, which is no later than the next due time of the schedule.
func (l *Lifecycle) StepDelay(now time.Duration) time.Duration {
	delay := drainStepInterval
	if !l.Stopping() {
		return delay
	}
	for _, due := range []time.Duration{l.schedule.answerBy, l.schedule.exitBy, l.schedule.exitByEstablished} {
		if remaining := l.stopRequestedAt + due - now; remaining > 0 {
			delay = min(delay, remaining)
		}
	}
	return delay
}
