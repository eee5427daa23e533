package proxy

import (
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"go.uber.org/zap"
)

// drainHost is what a drainer needs of the proxy.
type drainHost interface {
	// transferConnections hands connections to a successor; false where the clients are to be migrated instead.
	transferConnections() bool
	migrateClients(now time.Duration)
	answerPendingRequests()
	closeListeners()
	shutdownState() shutdownState
	exit()
}

// drainer migrates clients away, at a stop or while operators have the proxy evacuated. Its lifecycle decides what each
// step does.
type drainer struct {
	lifecycle
	host          drainHost
	loop          *evloop.Loop
	timer         *evloop.Timer // the next step; nil: there is none
	lastRequestAt time.Duration
}

// start starts the steps, unless they are under way.
func (d *drainer) start() {
	if d.timer == nil {
		d.step()
	}
}

func (d *drainer) step() {
	d.loop.NameTurn(turnDrain)
	now := d.loop.Now()
	if !d.stopping() || !d.host.transferConnections() {
		d.host.migrateClients(now)
	}
	if d.answersDue(now) {
		d.host.answerPendingRequests()
	}
	switch d.nextAction(now, d.host.shutdownState()) {
	case closeListeners:
		d.host.closeListeners()
	case exitProcess:
		d.host.exit()
		return
	}
	d.timer = d.loop.After(d.stepDelay(now), d.step)
}

// cancel ends the steps.
func (d *drainer) cancel() {
	d.loop.Cancel(d.timer)
	d.timer = nil
}

// Stop ends the proxy gracefully: clients that still come are accepted and answered, requests under way are answered, and
// the clients of established connections are migrated at an even pace, or transferred to a successor. It may be called
// from any goroutine.
func (p *Proxy) Stop() error {
	return p.loop.Post(func() {
		if p.drainer.beginStop(p.loop.Now(), newShutdownSchedule(p.settings)) {
			p.log.Info("shutdown started", zap.Duration("answers_within", p.drainer.schedule.answerBy))
			p.restart.sendEstablishedEndpoints()
			p.drainer.start()
		}
	})
}

// isStopping reports whether a stop has begun.
func (p *Proxy) isStopping() bool { return p.drainer.stopping() }

// migrateClients migrates this step's part of the established connections.
func (p *Proxy) migrateClients(now time.Duration) {
	sessions := p.sessions.established
	if p.settings.PassThrough {
		sessions = p.misplacedSessions()
	}
	quota := p.drainer.migrationQuota(now, newShutdownSchedule(p.settings), len(sessions))
	for _, s := range slices.Clone(sessions[:quota]) {
		p.counters.MigrationsShutdown++
		s.migrate(balancer.Canceled)
	}
}

// misplacedSessions are the established connections that would not survive this process where packets pass through. The
// front then sends the packets of open connections to another proxy, and a connection goes on unbroken where that one
// looks for it at the right endpoint: a migration would only cost it the way back. Others would be reset.
func (p *Proxy) misplacedSessions() []*session {
	var misplaced []*session
	for _, s := range p.sessions.established {
		if s.pool.balancer.Misplaced(s.id) {
			misplaced = append(misplaced, s)
		}
	}
	return misplaced
}

// answersPerTurn bounds how many requests get their final answers in one turn at the end.
const answersPerTurn = 32

// answerPendingRequests gives each request that waits its final answer, some a turn: unresponsive endpoints must not take it along.
func (p *Proxy) answerPendingRequests() {
	answered := 0
	for _, id := range slices.Sorted(maps.Keys(p.sessions.byID)) {
		s := p.sessions.byID[id]
		if s == nil || s.answered {
			continue
		}
		if answered++; answered > answersPerTurn {
			p.loop.After(0, p.answerPendingRequests)
			return
		}
		if s.policyState.MayHaveRun() || s.attempt != nil && s.attempt.stage >= stageSent {
			s.fail(reasonStopping)
		} else {
			s.reject(0, reasonStopping)
		}
		s.cancelRequest()
	}
}

// closeListeners ends accepting. What the queues still held has been accepted by then; it is rejected, as are all clients
// without a request. Their connections linger, so that a request on its way meets its answer and not a reset.
func (p *Proxy) closeListeners() {
	p.listeners.close(p.restart.successorServes())
	p.restart.withdrawOffer()
	for s := p.idle.oldestWaiting(); s != nil; s = p.idle.oldestWaiting() {
		p.counters.NoRequest++
		s.buffered = nil
		s.closeDownstream(p.protocol.RejectMessage(0))
	}
	if p.fleet != nil {
		p.fleet.startDrain()
	}
}

// shutdownState is what the next step of a stop depends on.
func (p *Proxy) shutdownState() shutdownState {
	now := p.loop.Now()
	return shutdownState{
		idleFor:        now - p.drainer.lastRequestAt,
		established:    len(p.sessions.established) > 0,
		answersPending: p.idle.lingering.Len() > 0 || p.hasUnanswered() || p.idle.expectsRequest(now),
	}
}

func (p *Proxy) hasUnanswered() bool {
	for _, s := range p.sessions.byID {
		if !s.answered {
			return true
		}
	}
	return false
}

// exit ends the event loop.
func (p *Proxy) exit() {
	p.restart.sendEstablishedEndpoints()
	p.writeCounters(p.log)
	_ = p.loop.Stop() // cannot fail, see evloop.Loop.Post
}
