package proxy

import (
	"os"
	"slices"
	"time"

	"example.org/micafront"
	"example.org/micafront/internal/counters"
)

// Sending clients away: at a stop, or while the operators have the proxy drained. Both share one turn.

const (
	stopArrivals = 700 * time.Millisecond  // arrivals go on for up to 0.4 s after the signal
	stopQuiet    = 300 * time.Millisecond  // and none must have come for this long
	stopMoved    = 2300 * time.Millisecond // clients are moved until then, or until the longest deadline
	// Not earlier where deadlines are shorter, though the kill then comes earlier too: where packets pass through,
	// connections that are held when the kill comes go on by another proxy, and those that the proxy ends do not.
	stopLast = 3300 * time.Millisecond
	stopStep = 50 * time.Millisecond
)

// Stop ends the proxy in an orderly way: what still arrives is accepted and answered, requests in flight are
// settled, and every open connection's client is told to move, at an even pace. It may be called from any
// goroutine.
func (p *Proxy) Stop() error {
	return p.loop.Post(func() {
		if !p.stopping {
			p.stopping, p.stoppedAt = true, p.loop.Now()
			p.tellStanding()
			p.leave()
		}
	})
}

// Ready, Telemetry, Evacuate and Rejoin are what operators ask for (operator.Proxy).
func (p *Proxy) Ready() bool { return p.closedAt == 0 && !p.starting() }

func (p *Proxy) Telemetry() []byte {
	b := p.poolFigures(p.count.Figures(nil, counters.State{Pending: len(p.flows), Members: len(p.hops),
		MembersUnavailable: p.avoided()}))
	if p.fleet != nil {
		b = p.fleet.figures(b)
	}
	return b
}

// LogLevel is the least severe level that is logged; SetLogLevel changes it (operator.Proxy).
func (p *Proxy) LogLevel() string { return p.log.Level() }

func (p *Proxy) SetLogLevel(name string) error { return p.log.SetLevel(name) }

func (p *Proxy) avoided() (n int) {
	for _, q := range p.pools {
		n += q.module.Avoided()
	}
	return n
}

// Evacuate sends clients away and keeps on serving those who come all the same. Once is as good as twice.
func (p *Proxy) Evacuate() {
	if !p.drained {
		p.drained = true
		p.leave()
	}
}

// Rejoin takes the proxy back to work. A stop that has begun goes on.
func (p *Proxy) Rejoin() {
	p.drained = false
	if !p.stopping {
		p.leavingAt = 0
	}
}

// leave begins to send clients away, unless that is under way.
func (p *Proxy) leave() {
	if p.leavingAt == 0 {
		p.leavingAt = p.loop.Now()
		p.leaveTurn(p.leavingAt)
	}
}

// leaveTurn is one step of the leave that began at since; a rejoin in between has ended it.
func (p *Proxy) leaveTurn(since time.Duration) {
	if p.leavingAt != since {
		return
	}
	if !p.stopping || !p.handOn() {
		p.sendAway(p.loop.Now() - since)
	}
	if p.stopping && p.stopped(p.loop.Now()-p.stoppedAt) {
		p.tellStanding()
		if p.offer != nil {
			_ = os.Remove(p.path)
		}
		p.printNow(p.log)
		_ = p.loop.Stop()
		return
	}
	p.loop.After(stopStep, func() { p.leaveTurn(since) })
}

// sendAway moves this step's part of those that stand. At first none: new connections still come.
func (p *Proxy) sendAway(past time.Duration) {
	if past < stopArrivals/2 {
		return
	}
	leaving := p.open
	if p.set.PassThrough {
		// Once this proxy is gone the front sends the packets of open connections by another one, and
		// they go on unbroken where that one looks for them at the right next hop: a move would only
		// cost them the way back. The others would be reset. All else is held to the end.
		leaving = nil
		for _, f := range p.open {
			if f.pool.module.Astray(f.id) {
				leaving = append(leaving, f)
			}
		}
	}
	// The kill comes 0.7 s after the longest deadline, or after 3.7 s; a drain is to be over after 4 s. All are gone
	// well before, so that those placed late can follow.
	until := time.Duration(0)
	for _, c := range p.set.Classes {
		until = max(until, min(c.GiveUp, stopMoved))
	}
	steps := max(int((until-past)/stopStep), 1)
	for _, f := range slices.Clone(leaving[:(len(leaving)+steps-1)/steps]) {
		p.count.MovesStop++
		p.move(f, micafront.Cancelled)
	}
}

// stopped closes the listener once nothing comes any more, and tells whether all is over.
func (p *Proxy) stopped(past time.Duration) bool {
	now := p.loop.Now()
	quiet := past >= stopArrivals && now-p.lastTakenIn >= stopQuiet
	if p.closedAt == 0 && (quiet && p.settled() || past >= stopLast) {
		for _, ln := range p.listeners() {
			if p.succeeded() {
				ln.Leave()
			} else {
				ln.Close()
			}
		}
		p.closedAt = now
		if p.fleet != nil {
			p.fleet.leave()
		}
	}
	// What the listener's queue still held has been accepted by its Close, but is yet to be read and answered.
	return p.closedAt != 0 && (p.settled() && now-p.closedAt >= stopStep || past >= stopLast+stopQuiet)
}

// settled tells that nobody waits for this process: no request, none whose first message is on its way, and nobody who
// has yet to read a last message.
func (p *Proxy) settled() bool {
	for e := p.strangers.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*flow).pings == 0 { // who only checked readiness asks for no more
			return false
		}
	}
	return len(p.flows) == 0 && p.strangers.leaving.Len() == 0
}
