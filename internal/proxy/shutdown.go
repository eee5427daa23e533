package proxy

import (
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/lifecycle"
	"go.uber.org/zap"
)

// drainHost is the part of the proxy that a drainer depends on.
type drainHost interface {
	// transferConnections transfers connections to a successor. It returns false if the clients must be migrated instead.
	transferConnections() bool
	migrateClients(now time.Duration)
	answerPendingRequests()
	closeListeners()
	shutdownState() lifecycle.State
	exit()
}

// drainer migrates clients to other proxies during a stop or an evacuation. Its lifecycle decides the action of each step.
type drainer struct {
	lifecycle.Lifecycle
	host          drainHost
	loop          *evloop.Loop
	timer         *evloop.Timer // for the next step; nil: no steps scheduled
	lastRequestAt time.Duration
}

// start starts the periodic steps unless they are running.
func (d *drainer) start() {
	if d.timer == nil {
		d.step()
	}
}

func (d *drainer) step() {
	d.loop.SetTurnCause(turnDrain)
	now := d.loop.Now()
	if !d.Stopping() || !d.host.transferConnections() {
		d.host.migrateClients(now)
	}
	if d.AnswersDue(now) {
		d.host.answerPendingRequests()
	}
	switch d.NextAction(now, d.host.shutdownState()) {
	case lifecycle.CloseListeners:
		d.host.closeListeners()
	case lifecycle.Exit:
		d.host.exit()
		return
	}
	d.timer = d.loop.After(d.StepDelay(now), d.step)
}

// cancel stops the periodic steps.
func (d *drainer) cancel() {
	d.loop.Cancel(d.timer)
	d.timer = nil
}

// Stop shuts the proxy down gracefully. It accepts and answers clients that still arrive, answers pending requests, and either
// migrates the clients of established connections at an even pace or transfers the connections to a successor. It may be called
// from any goroutine; its error is that of evloop.Loop.Post.
func (p *Proxy) Stop() error {
	return p.loop.Post(func() {
		if p.drainer.BeginStop(p.loop.Now(), lifecycle.NewSchedule(p.settings)) {
			p.log.Info("shutdown started", zap.Duration("answers_within", p.drainer.AnswersWithin()))
			p.restart.sendEstablishedEndpoints()
			p.drainer.start()
		}
	})
}

// isStopping reports whether a stop has begun.
func (p *Proxy) isStopping() bool { return p.drainer.Stopping() }

// migrateClients migrates this step's share of the established connections.
func (p *Proxy) migrateClients(now time.Duration) {
	sessions := p.sessions.established
	if p.settings.PassThrough {
		sessions = p.misplacedSessions()
	}
	quota := p.drainer.MigrationQuota(now, lifecycle.NewSchedule(p.settings), len(sessions))
	for _, s := range slices.Clone(sessions[:quota]) {
		p.counters.MigrationsShutdown++
		s.migrate(balancer.Canceled)
	}
}

// misplacedSessions returns the established connections that would not survive the exit of this process under pass-through.
// The load balancer in front then sends the packets of open connections to another proxy. A connection continues unbroken if
// that proxy places it on the same endpoint, so a migration would only cost it a reconnect. The returned
// connections would be reset.
func (p *Proxy) misplacedSessions() []*session {
	var misplaced []*session
	for _, s := range p.sessions.established {
		if s.pool.balancer.Misplaced(s.id) {
			misplaced = append(misplaced, s)
		}
	}
	return misplaced
}

// answersPerTurn bounds how many requests get their final answers in one turn of the event loop.
const answersPerTurn = 32

// answerPendingRequests sends each pending request its final answer, so that requests at unresponsive endpoints get one too. It
// sends at most answersPerTurn in a turn and continues in the next one.
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

// closeListeners stops accepting. All connections in the accept queues have been accepted by then; those without a request are
// rejected. Their connections linger, so that a request in transit gets its answer instead of a reset.
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

// shutdownState returns the state that the next step of a stop depends on.
func (p *Proxy) shutdownState() lifecycle.State {
	now := p.loop.Now()
	return lifecycle.State{
		IdleFor:        now - p.drainer.lastRequestAt,
		Established:    len(p.sessions.established) > 0,
		AnswersPending: p.idle.lingering.Len() > 0 || p.hasUnanswered() || p.idle.expectsRequest(now),
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

// exit stops the event loop after sending the successor its last update and logging the counters.
func (p *Proxy) exit() {
	p.restart.sendEstablishedEndpoints()
	p.writeCounters(p.log)
	_ = p.loop.Stop() // cannot fail, see evloop.Loop.Post
}
