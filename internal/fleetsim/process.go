package fleetsim

import "time"

const partsPerMillion = 1_000_000

// Clock is the monotonic clock of a machine.
type Clock struct {
	Offset   time.Duration // reading at the true time 0
	DriftPPM int64         // drift against true time in parts per million; negative: the clock runs slow
}

// Read returns the clock's reading at a true time.
func (c Clock) Read(trueTime time.Duration) time.Duration {
	// The drift is computed in two parts, because the product of trueTime and DriftPPM overflows after some hours.
	wholeDrift := int64(trueTime) / partsPerMillion * c.DriftPPM
	remainderDrift := int64(trueTime) % partsPerMillion * c.DriftPPM / partsPerMillion
	return c.Offset + trueTime + time.Duration(wholeDrift) + time.Duration(remainderDrift)
}

// TrueTime returns the earliest true time at which the clock has reached at.
func (c Clock) TrueTime(at time.Duration) time.Duration {
	t := time.Duration(float64(at-c.Offset) * partsPerMillion / float64(partsPerMillion+c.DriftPPM))
	for c.Read(t) < at { // the floating-point result may be rounded down
		t++
	}
	return t
}

// Process is a process on a machine. While a process is paused, its clock advances but its actions are deferred until it is
// resumed.
type Process struct {
	Name  string
	Clock Clock

	engine     *Engine
	generation uint64 // incremented by each start and each crash
	up         bool
	paused     bool
	deferred   []func() // actions that became due while the process was paused
}

// Now returns the current reading of the process's clock.
func (p *Process) Now() time.Duration { return p.Clock.Read(p.engine.now) }

// Up reports whether the process is up, running or paused.
func (p *Process) Up() bool { return p.up }

// Post runs an action in the process at a true time, unless the process has ended or restarted by then.
func (p *Process) Post(at time.Duration, action func()) {
	generation := p.generation
	p.engine.Schedule(at, func() {
		if p.generation == generation {
			p.deliver(action)
		}
	})
}

// deliver runs an action in the process. It defers the action if the process is paused, and drops it if the process is down.
func (p *Process) deliver(action func()) {
	switch {
	case !p.up:
	case p.paused:
		p.deferred = append(p.deferred, action)
	default:
		action()
	}
}

// Timer runs an action when the process's clock reaches at.
func (p *Process) Timer(at time.Duration, action func()) { p.Post(p.Clock.TrueTime(at), action) }

// start begins a new generation of a process that is down.
func (p *Process) start() {
	p.generation++
	p.up = true
	p.paused = false
	p.deferred = nil
	p.engine.Trace(p.Name, "start", p.generation, "")
}

// crash ends the process and drops its deferred actions.
func (p *Process) crash() {
	p.generation++
	p.up = false
	p.paused = false
	p.deferred = nil
	p.engine.Trace(p.Name, "crash", p.generation, "")
}

// pause suspends the process until resume. It has no effect on a process that is down.
func (p *Process) pause() {
	p.paused = p.up
	p.engine.Trace(p.Name, "pause", 0, "")
}

// resume continues a paused process and schedules its deferred actions for the current time, in their original order.
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
