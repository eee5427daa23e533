package lifecycle

import (
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
)

// scheduleOf returns the schedule of settings whose classes have these timeouts.
func scheduleOf(passThrough bool, timeouts ...time.Duration) Schedule {
	settings := balancer.Settings{PassThrough: passThrough}
	for _, timeout := range timeouts {
		settings.Classes = append(settings.Classes, balancer.Class{Timeout: timeout})
	}
	return NewSchedule(settings)
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
		want := Schedule{
			migrateFrom:       350 * ms,
			migrateBy:         c.migrateBy,
			closeFrom:         c.closeFrom,
			answerBy:          c.answerBy,
			exitBy:            c.exitBy,
			killAt:            c.killAt,
			exitByEstablished: c.exitBy,
		}
		testkit.Equal(t, c.timeout.String(), want, scheduleOf(false, 50*ms, c.timeout), cmp.AllowUnexported(Schedule{}))
		want.exitByEstablished = 4700 * ms // past the latest kill
		testkit.Equal(t, c.timeout.String()+", pass-through", want, scheduleOf(true, c.timeout), cmp.AllowUnexported(Schedule{}))
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
		NotReady bool
	}
	const now = time.Hour
	schedule := scheduleOf(false, time.Second)
	events := map[string]func(*Lifecycle) bool{
		"evacuate":   func(l *Lifecycle) bool { return l.Evacuate(now) },
		"rejoin":     func(l *Lifecycle) bool { return l.Rejoin() },
		"begin stop": func(l *Lifecycle) bool { return l.BeginStop(now, schedule) },
	}
	for _, c := range []struct {
		from     phase
		NotReady bool
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
		l := &Lifecycle{phase: c.from, NotReady: c.NotReady}
		acts := events[c.event](l)
		testkit.Equal(t, c.event, c.want, result{acts, l.phase, l.NotReady}, cmp.AllowUnexported(result{}))
	}
}

// TestStopNearReload checks the schedule of a stop just before and after a change of the settings. A stop that arrives together
// with the change may have been requested before it, so the schedule with the earlier kill applies. After signalOrderWindow
// only the new settings count.
func TestStopNearReload(t *testing.T) {
	const now = time.Hour
	short, long := scheduleOf(false, time.Second), scheduleOf(true, time.Minute)
	for name, c := range map[string]struct {
		changes []Schedule // the schedules before and after each change, a millisecond apart, the last one now
		stopAt  time.Duration
		want    Schedule
	}{
		"before any change":       {[]Schedule{long}, now, long},
		"longer timeouts":         {[]Schedule{short, long}, now, short},
		"shorter timeouts":        {[]Schedule{long, short}, now, short},
		"the same timeouts":       {[]Schedule{long, scheduleOf(false, time.Minute)}, now, scheduleOf(false, time.Minute)},
		"several changes":         {[]Schedule{long, short, long, long}, now, short},
		"end of the window":       {[]Schedule{short, long}, now + signalOrderWindow - 1, short},
		"after the window":        {[]Schedule{short, long}, now + signalOrderWindow, long},
		"change after the signal": {[]Schedule{short, long}, now - 1, short},
	} {
		l := &Lifecycle{}
		current := c.changes[0]
		for i, next := range c.changes[1:] {
			changeAt := now - time.Duration(len(c.changes)-2-i)*time.Millisecond
			if c.stopAt < changeAt {
				l.BeginStop(c.stopAt, current)
			}
			l.RecordScheduleChange(changeAt, current)
			current = next
		}
		l.BeginStop(c.stopAt, current)
		testkit.Equal(t, name, c.want, l.schedule, cmp.AllowUnexported(Schedule{}))
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
		state       State
		want        Action
	}{
		"clients still arrive":        {elapsed: 699 * ms, from: phaseStopping, state: State{IdleFor: long}, want: Wait},
		"idle":                        {elapsed: 700 * ms, from: phaseStopping, state: State{IdleFor: long}, want: CloseListeners},
		"a request just arrived":      {elapsed: 700 * ms, from: phaseStopping, state: State{IdleFor: 299 * ms}, want: Wait},
		"an answer is pending":        {elapsed: 1399 * ms, from: phaseStopping, state: State{IdleFor: long, AnswersPending: true}, want: Wait},
		"connections are established": {elapsed: 1399 * ms, from: phaseStopping, state: State{IdleFor: long, Established: true}, want: Wait},
		"answers are due":             {elapsed: 1400 * ms, from: phaseStopping, state: State{AnswersPending: true, Established: true}, want: CloseListeners},
		"nothing is left":             {elapsed: 800 * ms, from: phaseClosed, state: State{}, want: Exit},
		"an answer is being read":     {elapsed: 1599 * ms, from: phaseClosed, state: State{AnswersPending: true}, want: Wait},
		"the exit is due":             {elapsed: 1600 * ms, from: phaseClosed, state: State{AnswersPending: true, Established: true}, want: Exit},
		"kept open until the kill":    {passThrough: true, elapsed: 4699 * ms, from: phaseClosed, state: State{Established: true}, want: Wait},
		"not killed in time":          {passThrough: true, elapsed: 4700 * ms, from: phaseClosed, state: State{Established: true}, want: Exit},
		"no established connections":  {passThrough: true, elapsed: 1600 * ms, from: phaseClosed, state: State{AnswersPending: true}, want: Exit},
		"serving":                     {elapsed: long, from: phaseServing, state: State{IdleFor: long}, want: Wait},
		"evacuated":                   {elapsed: long, from: phaseEvacuated, state: State{IdleFor: long}, want: Wait},
	} {
		l := &Lifecycle{phase: c.from, stopRequestedAt: time.Hour, schedule: scheduleOf(c.passThrough, time.Second)}
		l.listenersClosedAt = l.stopRequestedAt + c.elapsed - drainStepInterval
		testkit.Equal(t, name, c.want, l.NextAction(l.stopRequestedAt+c.elapsed, c.state))
	}
	l := &Lifecycle{phase: phaseClosed, listenersClosedAt: time.Hour}
	testkit.Equal(t, "connections accepted last are not read yet", Wait, l.NextAction(time.Hour+drainStepInterval-1, State{}))
}

// TestShutdownBoundsDeadlines checks that a stop limits the deadlines of requests, and that a request with too little time
// left is not attempted.
func TestShutdownBoundsDeadlines(t *testing.T) {
	l := &Lifecycle{}
	testkit.Equal(t, "serving", time.Hour, l.BoundDeadline(time.Hour))
	l.BeginStop(time.Minute, scheduleOf(false, time.Second))
	testkit.Equal(t, "stopping", time.Minute+1400*time.Millisecond, l.BoundDeadline(time.Hour))
	testkit.Equal(t, "earlier deadline", time.Minute+time.Second, l.BoundDeadline(time.Minute+time.Second))
	testkit.Equal(t, "in time", false, l.TooLateToAttempt(time.Minute+1349*time.Millisecond))
	testkit.Equal(t, "too late", true, l.TooLateToAttempt(time.Minute+1350*time.Millisecond))
	testkit.Equal(t, "the step is not later than the due time", 10*time.Millisecond, l.StepDelay(time.Minute+1390*time.Millisecond))
	l = &Lifecycle{phase: phaseClosed}
	testkit.Equal(t, "closed", true, l.TooLateToAttempt(0))
}
