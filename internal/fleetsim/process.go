package fleetsim

import "time"

const million = 1_000_000

// Clock is a machine's monotonic clock.
type Clock struct {
	Offset   time.Duration // what it shows at the true time 0
	DriftPPM int64         // parts per million by which it runs fast; below 0: slow
}

// Read is what the clock shows at a true time.
func (c Clock) Read(trueTime time.Duration) time.Duration {
	// In two parts, as the product of time and PPM overflows after some hours.
	wholeDrift := int64(trueTime) / million * c.DriftPPM
	restDrift := int64(trueTime) % million * c.DriftPPM / million
	return c.Offset + trueTime + time.Duration(wholeDrift) + time.Duration(restDrift)
}

// TrueTime is the earliest true time at which the clock shows at.
func (c Clock) TrueTime(at time.Duration) time.Duration {
	t := time.Duration(float64(at-c.Offset) * million / float64(million+c.DriftPPM))
	for c.Read(t) < at { // the division is rounded
		t++
	}
	return t
}

// Process is a process on a machine. While it is paused none of its actions run, its clock goes on, and its events are
// deferred.
type Process struct {
	Name  string
	Clock Clock

	engine     *Engine
	generation uint64 // grows with each start and each crash
	up         bool
	paused     bool
	deferred   []func()
}

// Now is what the process's clock shows.
func (p *Process) Now() time.Duration { return p.Clock.Read(p.engine.now) }

// Up reports whether the process exists, running or paused.
func (p *Process) Up() bool { return p.up }

// Post runs an action in the process at a true time, unless the process has ended by then.
func (p *Process) Post(at time.Duration, action func()) {
	generation := p.generation
	p.engine.Schedule(at, func() {
		if p.generation == generation {
			p.deliver(action)
		}
	})
}

// deliver runs an action in the process, defers it while the process is paused, and drops it where it is down.
func (p *Process) deliver(action func()) {
	switch {
	case !p.up:
	case p.paused:
		p.deferred = append(p.deferred, action)
	default:
		action()
	}
}

// Timer runs an action when the process's own clock shows at.
func (p *Process) Timer(at time.Duration, action func()) { p.Post(p.Clock.TrueTime(at), action) }

// start begins a new generation of a process that is down.
func (p *Process) start() {
	p.generation++
	p.up = true
	p.paused = false
	p.deferred = nil
	p.engine.Trace(p.Name, "start", p.generation, "")
}

// crash ends the process; what it deferred is lost.
func (p *Process) crash() {
	p.generation++
	p.up = false
	p.paused = false
	p.deferred = nil
	p.engine.Trace(p.Name, "crash", p.generation, "")
}

// pause suspends a process that is up until resume.
func (p *Process) pause() {
	p.paused = p.up
	p.engine.Trace(p.Name, "pause", 0, "")
}

// resume schedules the deferred actions of a paused process, in their order, for now.
func (p *Process) resume() {
	if !p.paused {
		return
	}
	p.paused = false
	p.engine.Trace(p.Name, "resume", uint64(len(p.deferred)), "")
	deferred := p.deferred
	p.deferred = nil
	for _, action := range deferred {
		p.Post(p.engine.now, action)
	}
}
