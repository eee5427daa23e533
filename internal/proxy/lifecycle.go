package proxy

import (
	"time"

	"example.org/micafront/balancer"
)

// This file decides what is due in the life of a process: evacuation, rejoining, a stop. It does no I/O; the time is
// passed in.

const (
	// arrivalWindow is how long after the signal new connections come.
	arrivalWindow = 400 * time.Millisecond
	// idleBeforeClose is how long none must have come before the listeners are closed.
	idleBeforeClose = 300 * time.Millisecond
	// drainStepInterval is that of the steps of an evacuation or a stop.
	drainStepInterval = 50 * time.Millisecond
	// maxCountedTimeout is what a longer timeout counts as.
	maxCountedTimeout = 3 * time.Second
	// killDelay is how long after the longest timeout the process would be killed.
	killDelay = 700 * time.Millisecond
	// answersBeforeKill is how long before that all final answers are out.
	answersBeforeKill = 300 * time.Millisecond
	// exitBeforeKill is how long before that the process has ended.
	exitBeforeKill = 100 * time.Millisecond
	// maxMigrationTime is how long after the signal the last clients are migrated, however long the timeouts are.
	maxMigrationTime = 2300 * time.Millisecond
	// passThroughMargin is how long after the latest kill a process ends by itself where packets pass through.
	passThroughMargin = time.Second
	// signalOrderWindow is how long after a change of the settings a stop may arrive that was requested before it.
	signalOrderWindow = 500 * time.Millisecond
)

// shutdownSchedule is when the parts of a stop are due, counted from the signal.
type shutdownSchedule struct {
	migrateFrom time.Duration // clients are migrated from then on
	migrateBy   time.Duration // until then at an even pace, then each in the next step
	closeFrom   time.Duration // the listeners are closed from then on, if no answer is pending
	answerBy    time.Duration // every request has its final answer, and the listeners are closed in any case
	exitBy      time.Duration // the process has ended
	killAt      time.Duration // the process would be killed
	// exitByEstablished is when the process ends though connections are established. Where packets pass through,
	// connections that are open at the kill go on at another proxy, and those that this process closes do not: it then
	// lies after the latest kill.
	exitByEstablished time.Duration
}

// newShutdownSchedule follows from the settings alone. A request that comes at the end of the arrivals still has its
// whole timeout until answers are due, unless that is longer than the one that the kill goes by.
func newShutdownSchedule(settings balancer.Settings) shutdownSchedule {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, min(class.Timeout, maxCountedTimeout))
	}
	s := shutdownSchedule{
		migrateFrom: (arrivalWindow + idleBeforeClose) / 2,
		killAt:      longest + killDelay,
	}
	s.migrateBy = max(min(longest, maxMigrationTime), s.migrateFrom)
	s.answerBy = s.killAt - answersBeforeKill
	s.closeFrom = min(arrivalWindow+idleBeforeClose, s.answerBy)
	s.exitBy = s.killAt - exitBeforeKill
	s.exitByEstablished = s.exitBy
	if settings.PassThrough {
		s.exitByEstablished = maxCountedTimeout + killDelay + passThroughMargin
	}
	return s
}

// phase is a phase in the life of a process.
type phase int

const (
	phaseServing   phase = iota
	phaseEvacuated       // operators have clients migrated away; those that come all the same are served
	phaseStopping        // a stop has begun: clients are accepted, answered and migrated
	phaseClosed          // the listeners are closed
	phaseExited          // the event loop ends
)

// lifecycle is the state of a process. Its zero value serves.
type lifecycle struct {
	phase             phase
	notReady          bool          // readiness checks are denied
	migratingSince    time.Duration // at an evacuation or a stop
	stopRequestedAt   time.Duration
	listenersClosedAt time.Duration
	schedule          shutdownSchedule // of the stop that has begun: later settings do not put off the kill

	formerSchedule    shutdownSchedule // by the settings before they changed last
	scheduleChangedAt time.Duration
}

func (l *lifecycle) stopping() bool  { return l.phase >= phaseStopping }
func (l *lifecycle) accepting() bool { return l.phase < phaseClosed }

// evacuate reports whether clients are to be migrated from now on.
func (l *lifecycle) evacuate(now time.Duration) bool {
	l.notReady = true
	if l.phase != phaseServing {
		return false
	}
	l.phase = phaseEvacuated
	l.migratingSince = now
	return true
}

// rejoin reports whether clients are no longer to be migrated. A stop is not taken back, nor readiness in its course.
func (l *lifecycle) rejoin() bool {
	if l.phase != phaseEvacuated {
		return false
	}
	l.phase = phaseServing
	l.notReady = false
	return true
}

// recordScheduleChange notes that the settings change. former is the schedule by those that were active until now.
func (l *lifecycle) recordScheduleChange(now time.Duration, former shutdownSchedule) {
	l.formerSchedule = l.stopSchedule(now, former)
	l.scheduleChangedAt = now
}

// stopSchedule is the schedule of a stop whose signal arrives now. current is the one by the active settings.
//
// Of a stop and a reload that are requested together the order is lost: the kernel and the Go runtime deliver pending
// signals by number, SIGHUP before SIGTERM. The kill may follow from the settings before the reload or after it, so that
// the schedule with the earlier one holds.
func (l *lifecycle) stopSchedule(now time.Duration, current shutdownSchedule) shutdownSchedule {
	changedJustNow := now-l.scheduleChangedAt < signalOrderWindow
	if changedJustNow && l.formerSchedule.killAt < current.killAt {
		return l.formerSchedule
	}
	return current
}

// beginStop reports whether a stop begins. current is the schedule by the active settings.
func (l *lifecycle) beginStop(now time.Duration, current shutdownSchedule) bool {
	if l.stopping() {
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

// migrationQuota is how many of n clients a step migrates. current is the schedule by the active settings, which holds
// until a stop begins.
func (l *lifecycle) migrationQuota(now time.Duration, current shutdownSchedule, n int) int {
	schedule := current
	if l.stopping() {
		schedule = l.schedule
	}
	elapsed := now - l.migratingSince
	if elapsed < schedule.migrateFrom {
		return 0
	}
	steps := max(int((schedule.migrateBy-elapsed)/drainStepInterval), 1)
	return ceilDiv(n, steps)
}

// answersDue reports whether final answers must go out.
func (l *lifecycle) answersDue(now time.Duration) bool {
	return l.stopping() && now-l.stopRequestedAt >= l.schedule.answerBy
}

// tooLateToAttempt reports whether a request comes too late in a stop to be attempted.
func (l *lifecycle) tooLateToAttempt(now time.Duration) bool {
	return !l.accepting() || l.stopping() && now-l.stopRequestedAt >= l.schedule.answerBy-drainStepInterval
}

// boundDeadline is a request's deadline, within a stop.
func (l *lifecycle) boundDeadline(deadline time.Duration) time.Duration {
	if l.stopping() {
		return min(deadline, l.stopRequestedAt+l.schedule.answerBy)
	}
	return deadline
}

// shutdownState is what a step of a stop depends on.
type shutdownState struct {
	answersPending bool          // somebody waits for an answer of this process
	established    bool          // connections are established
	idleFor        time.Duration // since the last request came
}

// shutdownAction is what a step of a stop does.
type shutdownAction int

const (
	keepWaiting shutdownAction = iota
	closeListeners
	exitProcess
)

// nextAction decides what is due now.
func (l *lifecycle) nextAction(now time.Duration, state shutdownState) shutdownAction {
	elapsed := now - l.stopRequestedAt
	busy := state.answersPending || state.established
	switch l.phase {
	case phaseStopping:
		idle := state.idleFor >= idleBeforeClose && !busy
		if elapsed >= l.schedule.answerBy || elapsed >= l.schedule.closeFrom && idle {
			l.phase = phaseClosed
			l.listenersClosedAt = now
			return closeListeners
		}
	case phaseClosed:
		exitBy := l.schedule.exitBy
		if state.established {
			exitBy = l.schedule.exitByEstablished
		}
		// What was accepted last is read at least once: closed over unread bytes its connection would be reset.
		readOnce := now-l.listenersClosedAt >= drainStepInterval
		if readOnce && (elapsed >= exitBy || !busy) {
			l.phase = phaseExited
			return exitProcess
		}
	}
	return keepWaiting
}

// stepDelay is how long until the next step: no due time is passed over.
func (l *lifecycle) stepDelay(now time.Duration) time.Duration {
	delay := drainStepInterval
	if !l.stopping() {
		return delay
	}
	for _, due := range []time.Duration{l.schedule.answerBy, l.schedule.exitBy, l.schedule.exitByEstablished} {
		if remaining := l.stopRequestedAt + due - now; remaining > 0 {
			delay = min(delay, remaining)
		}
	}
	return delay
}
