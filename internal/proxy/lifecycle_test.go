package proxy

import (
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
)

// scheduleOf returns the schedule of settings whose classes have these timeouts.
func scheduleOf(passThrough bool, timeouts ...time.Duration) shutdownSchedule {
	settings := balancer.Settings{PassThrough: passThrough}
	for _, timeout := range timeouts {
		settings.Classes = append(settings.Classes, balancer.Class{Timeout: timeout})
	}
	return newShutdownSchedule(settings)
}

// TestShutdownSchedule checks the schedule for several longest timeouts: the kill comes 0.7 s after the longest timeout, capped
// at 3 s. Without pass-through, all other due times precede the kill.
func TestShutdownSchedule(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		timeout   time.Duration
		migrateBy time.Duration
		closeFrom time.Duration
		answerBy  time.Duration
		exitBy    time.Duration
		killAt    time.Duration
	}{
		{100 * ms, 350 * ms, 500 * ms, 500 * ms, 700 * ms, 800 * ms},
		{300 * ms, 350 * ms, 700 * ms, 700 * ms, 900 * ms, 1000 * ms},
		{500 * ms, 500 * ms, 700 * ms, 900 * ms, 1100 * ms, 1200 * ms},
		{1000 * ms, 1000 * ms, 700 * ms, 1400 * ms, 1600 * ms, 1700 * ms},
		{1800 * ms, 1800 * ms, 700 * ms, 2200 * ms, 2400 * ms, 2500 * ms},
		{3000 * ms, 2300 * ms, 700 * ms, 3400 * ms, 3600 * ms, 3700 * ms},
		{60000 * ms, 2300 * ms, 700 * ms, 3400 * ms, 3600 * ms, 3700 * ms},
	} {
		want := shutdownSchedule{
			migrateFrom:       350 * ms,
			migrateBy:         c.migrateBy,
			closeFrom:         c.closeFrom,
			answerBy:          c.answerBy,
			exitBy:            c.exitBy,
			killAt:            c.killAt,
			exitByEstablished: c.exitBy,
		}
		testkit.Equal(t, c.timeout.String(), want, scheduleOf(false, 50*ms, c.timeout), cmp.AllowUnexported(shutdownSchedule{}))
		want.exitByEstablished = 4700 * ms // past the latest kill
		testkit.Equal(t, c.timeout.String()+", pass-through", want, scheduleOf(true, c.timeout), cmp.AllowUnexported(shutdownSchedule{}))
		arrivals := 400 * ms
		if c.answerBy < arrivals+min(c.timeout, 3*time.Second) || c.closeFrom <= arrivals {
			t.Errorf("%v: the last request to arrive lacks time for its answer", c.timeout)
		}
	}
}

// TestLifecycleEvents checks each event in each phase.
func TestLifecycleEvents(t *testing.T) {
	type result struct {
		acts     bool
		phase    phase
		notReady bool
	}
	const now = time.Hour
	schedule := scheduleOf(false, time.Second)
	events := map[string]func(*lifecycle) bool{
		"evacuate":   func(l *lifecycle) bool { return l.evacuate(now) },
		"rejoin":     func(l *lifecycle) bool { return l.rejoin() },
		"begin stop": func(l *lifecycle) bool { return l.beginStop(now, schedule) },
	}
	for _, c := range []struct {
		from     phase
		notReady bool
		event    string
		want     result
	}{
		{phaseServing, false, "evacuate", result{true, phaseEvacuated, true}},
		{phaseServing, false, "rejoin", result{false, phaseServing, false}},
		{phaseServing, false, "begin stop", result{true, phaseStopping, false}},
		{phaseEvacuated, true, "evacuate", result{false, phaseEvacuated, true}},
		{phaseEvacuated, true, "rejoin", result{true, phaseServing, false}},
		{phaseEvacuated, true, "begin stop", result{true, phaseStopping, true}},
		{phaseStopping, false, "evacuate", result{false, phaseStopping, true}},
		{phaseStopping, true, "rejoin", result{false, phaseStopping, true}},
		{phaseStopping, false, "begin stop", result{false, phaseStopping, false}},
		{phaseClosed, true, "evacuate", result{false, phaseClosed, true}},
		{phaseClosed, true, "rejoin", result{false, phaseClosed, true}},
		{phaseClosed, true, "begin stop", result{false, phaseClosed, true}},
	} {
		l := &lifecycle{phase: c.from, notReady: c.notReady}
		acts := events[c.event](l)
		testkit.Equal(t, c.event, c.want, result{acts, l.phase, l.notReady}, cmp.AllowUnexported(result{}))
	}
}

// TestStopNearReload checks the schedule of a stop just before and after a change of the settings. A stop that arrives together
// with the change may have been requested before it, so the schedule with the earlier kill applies. After signalOrderWindow
// only the new settings count.
func TestStopNearReload(t *testing.T) {
	const now = time.Hour
	short, long := scheduleOf(false, time.Second), scheduleOf(true, time.Minute)
	for name, c := range map[string]struct {
		changes []shutdownSchedule // the schedules before and after each change, a millisecond apart, the last one now
		stopAt  time.Duration
		want    shutdownSchedule
	}{
		"before any change":       {[]shutdownSchedule{long}, now, long},
		"longer timeouts":         {[]shutdownSchedule{short, long}, now, short},
		"shorter timeouts":        {[]shutdownSchedule{long, short}, now, short},
		"the same timeouts":       {[]shutdownSchedule{long, scheduleOf(false, time.Minute)}, now, scheduleOf(false, time.Minute)},
		"several changes":         {[]shutdownSchedule{long, short, long, long}, now, short},
		"end of the window":       {[]shutdownSchedule{short, long}, now + signalOrderWindow - 1, short},
		"after the window":        {[]shutdownSchedule{short, long}, now + signalOrderWindow, long},
		"change after the signal": {[]shutdownSchedule{short, long}, now - 1, short},
	} {
		l := &lifecycle{}
		current := c.changes[0]
		for i, next := range c.changes[1:] {
			changeAt := now - time.Duration(len(c.changes)-2-i)*time.Millisecond
			if c.stopAt < changeAt {
				l.beginStop(c.stopAt, current)
			}
			l.recordScheduleChange(changeAt, current)
			current = next
		}
		l.beginStop(c.stopAt, current)
		testkit.Equal(t, name, c.want, l.schedule, cmp.AllowUnexported(shutdownSchedule{}))
	}
}

// TestShutdownSteps checks the action of a step by phase, time and open work.
func TestShutdownSteps(t *testing.T) {
	const ms = time.Millisecond
	const long = time.Minute
	for name, c := range map[string]struct {
		passThrough bool
		from        phase
		elapsed     time.Duration // since the signal; the listeners closed one step ago
		state       shutdownState
		want        shutdownAction
	}{
		"clients still arrive":        {elapsed: 699 * ms, from: phaseStopping, state: shutdownState{idleFor: long}, want: keepWaiting},
		"idle":                        {elapsed: 700 * ms, from: phaseStopping, state: shutdownState{idleFor: long}, want: closeListeners},
		"a request just arrived":      {elapsed: 700 * ms, from: phaseStopping, state: shutdownState{idleFor: 299 * ms}, want: keepWaiting},
		"an answer is pending":        {elapsed: 1399 * ms, from: phaseStopping, state: shutdownState{idleFor: long, answersPending: true}, want: keepWaiting},
		"connections are established": {elapsed: 1399 * ms, from: phaseStopping, state: shutdownState{idleFor: long, established: true}, want: keepWaiting},
		"answers are due":             {elapsed: 1400 * ms, from: phaseStopping, state: shutdownState{answersPending: true, established: true}, want: closeListeners},
		"nothing is left":             {elapsed: 800 * ms, from: phaseClosed, state: shutdownState{}, want: exitProcess},
		"an answer is being read":     {elapsed: 1599 * ms, from: phaseClosed, state: shutdownState{answersPending: true}, want: keepWaiting},
		"the exit is due":             {elapsed: 1600 * ms, from: phaseClosed, state: shutdownState{answersPending: true, established: true}, want: exitProcess},
		"kept open until the kill":    {passThrough: true, elapsed: 4699 * ms, from: phaseClosed, state: shutdownState{established: true}, want: keepWaiting},
		"not killed in time":          {passThrough: true, elapsed: 4700 * ms, from: phaseClosed, state: shutdownState{established: true}, want: exitProcess},
		"no established connections":  {passThrough: true, elapsed: 1600 * ms, from: phaseClosed, state: shutdownState{answersPending: true}, want: exitProcess},
		"serving":                     {elapsed: long, from: phaseServing, state: shutdownState{idleFor: long}, want: keepWaiting},
		"evacuated":                   {elapsed: long, from: phaseEvacuated, state: shutdownState{idleFor: long}, want: keepWaiting},
	} {
		l := &lifecycle{phase: c.from, stopRequestedAt: time.Hour, schedule: scheduleOf(c.passThrough, time.Second)}
		l.listenersClosedAt = l.stopRequestedAt + c.elapsed - drainStepInterval
		testkit.Equal(t, name, c.want, l.nextAction(l.stopRequestedAt+c.elapsed, c.state))
	}
	l := &lifecycle{phase: phaseClosed, listenersClosedAt: time.Hour}
	testkit.Equal(t, "connections accepted last are not read yet", keepWaiting, l.nextAction(time.Hour+drainStepInterval-1, shutdownState{}))
}

// TestShutdownBoundsDeadlines checks that a stop limits the deadlines of requests, and that a request with too little time
// left is not attempted.
func TestShutdownBoundsDeadlines(t *testing.T) {
	l := &lifecycle{}
	testkit.Equal(t, "serving", time.Hour, l.boundDeadline(time.Hour))
	l.beginStop(time.Minute, scheduleOf(false, time.Second))
	testkit.Equal(t, "stopping", time.Minute+1400*time.Millisecond, l.boundDeadline(time.Hour))
	testkit.Equal(t, "earlier deadline", time.Minute+time.Second, l.boundDeadline(time.Minute+time.Second))
	testkit.Equal(t, "in time", false, l.tooLateToAttempt(time.Minute+1349*time.Millisecond))
	testkit.Equal(t, "too late", true, l.tooLateToAttempt(time.Minute+1350*time.Millisecond))
	testkit.Equal(t, "the step is not later than the due time", 10*time.Millisecond, l.stepDelay(time.Minute+1390*time.Millisecond))
	l = &lifecycle{phase: phaseClosed}
	testkit.Equal(t, "closed", true, l.tooLateToAttempt(0))
}
