package controlplane

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
	"go.uber.org/zap"
)

const (
	maxPendingEvents = 8192 // events queued for the event loop
	maxEventsPerTurn = 512  // events handled before the node does the work that results from them
)

// eventLoop is the state that only the event loop's goroutine may access. Other goroutines use Replica.runOnLoop, query and
// Replica.enqueue.
type eventLoop struct {
	replica         *Replica
	node            *consensus.Node
	state           fleetconfig.ReplicatedState
	leases          fleetconfig.LeaseService
	leaseServer     *consensus.LeaseServer
	catalogProposer *consensus.CatalogProposer
	endpoints       listPublisher

	lastRenewalID    uint64
	pendingRenewals  map[uint64]chan<- consensus.Reply // by the id given to the lease server
	pendingProposals map[consensus.ProposalID]pendingProposal
	versionWaiters   map[uint64][]chan<- versionOutcome // by version: callers that wait until it is active or withdrawn

	turnHooks     []func() bool // called in each turn until they return true
	leaderChanged chan struct{} // closed when the known leader changes
	loggedLeader  uint64        // the leader that was logged last
	loggedTerm    uint64        // the term that was logged last
	fatalErr      error         // ends the event loop
}

// pendingProposal is a proposed command that has not been applied yet.
type pendingProposal struct {
	proposedAt time.Time
	result     chan<- proposalResult
}

// proposalResult is the result of a proposed command: the state machine's answer, or the reason why it was not committed.
type proposalResult struct {
	answer fleetconfig.Answer
	err    error
}

// versionOutcome is the outcome of a proposed version: it became active or was withdrawn.
type versionOutcome struct {
	active     bool
	withdrawal fleetconfig.HistoryEntry // zero unless it was withdrawn
}

func newEventLoop(replica *Replica, node *consensus.Node, state *fleetconfig.StateMachine) *eventLoop {
	leases := fleetconfig.NewLeaseManager(state)
	publishers := federation.NewPublisherTracker(state.Federation())
	publishers.MeshTimeout = replica.config.meshTimeout()
	return &eventLoop{
		replica:          replica,
		node:             node,
		state:            state,
		leases:           leases,
		leaseServer:      consensus.NewLeaseServer(node, leases),
		catalogProposer:  consensus.NewCatalogProposer(node, state, publishers),
		pendingRenewals:  map[uint64]chan<- consensus.Reply{},
		pendingProposals: map[consensus.ProposalID]pendingProposal{},
		versionWaiters:   map[uint64][]chan<- versionOutcome{},
		leaderChanged:    make(chan struct{}),
	}
}

// query runs an operation on the event loop and returns its result. It fails with Overloaded if the operation will not run,
// with TimedOut if it may or may not run, and with Stopping if the event loop has ended.
func query[T any](ctx context.Context, r *Replica, operation func(*eventLoop) T) (result T, err error) {
	results := make(chan T, 1)
	select {
	case r.events <- func(loop *eventLoop) { results <- operation(loop) }:
	case <-r.done:
		return result, r.stoppingError()
	case <-ctx.Done():
		if len(r.events) < cap(r.events) { // the queue has room: select chose the ended context although it could have sent
			return result, r.timeoutError()
		}
		return result, overloadedError(r.place())
	}
	return await(ctx, r, results)
}

// runOnLoop runs an operation without a result on the event loop, and fails as query does.
func (r *Replica) runOnLoop(ctx context.Context, operation func(*eventLoop)) error {
	_, err := query(ctx, r, func(loop *eventLoop) struct{} {
		operation(loop)
		return struct{}{}
	})
	return err
}

// await receives an answer from the event loop. It fails with TimedOut or Stopping.
func await[T any](ctx context.Context, r *Replica, answers <-chan T) (answer T, err error) {
	select {
	case answer = <-answers:
		return answer, nil
	case <-r.done:
		return answer, r.stoppingError()
	case <-ctx.Done():
		return answer, r.timeoutError()
	}
}

func (r *Replica) stoppingError() error {
	return Stopping.New(r.place(), "the replica is stopping")
}

func (r *Replica) timeoutError() error {
	return TimedOut.New(r.place(), "no answer before the deadline")
}

func overloadedError(place string) error {
	return Overloaded.New(place, "the event queue is full (%d events)", maxPendingEvents)
}

// enqueue sends an event to the event loop, and blocks while the queue is full. The event is lost if the event loop has ended.
func (r *Replica) enqueue(event func(*eventLoop)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// reportDelivery reports to raft whether messages to a peer were delivered. snapshot is true if one of them was a snapshot.
func (r *Replica) reportDelivery(to uint64, snapshot, delivered bool) {
	r.enqueue(func(loop *eventLoop) {
		if snapshot {
			loop.recordFatal(loop.node.ReportSnapshot(to, delivered))
		}
		if !delivered {
			loop.recordFatal(loop.node.ReportUnreachable(to))
		}
	})
}

// runEventLoop handles ticks and events until stop is closed or a fatal error occurs.
func (r *Replica) runEventLoop(loop *eventLoop) {
	defer close(r.done)
	defer func() { r.err = loop.fatalErr }()
	defer loop.endpoints.stopClient()
	debug.SetPanicOnFault(true) // the store's memory-mapped file may be truncated while it is in use
	ticker := time.NewTicker(r.config.tickInterval())
	defer ticker.Stop()
	loop.runTurn()
	for loop.fatalErr == nil {
		select {
		case <-ticker.C:
			loop.tick()
		case event := <-r.events:
			event(loop)
			for n := min(len(r.events), maxEventsPerTurn); n > 0; n-- {
				(<-r.events)(loop)
			}
		case <-r.stop:
			return
		}
		loop.runTurn()
	}
	r.log.Error("micafront-controlplane: replica stopped by a fatal error", zap.Error(loop.fatalErr))
}

func (l *eventLoop) tick() {
	l.recordFatal(l.node.Tick())
	l.leaseServer.Tick()
	l.catalogProposer.Tick()
	l.replica.metrics.updateGauges(l)
}

// now returns the time since the replica was created, on the monotonic clock.
func (l *eventLoop) now() time.Duration { return time.Since(l.replica.startedAt) }

// recordFatal keeps the first error, which ends the event loop. It ignores nil and BadMessage, which rejects a peer's message.
func (l *eventLoop) recordFatal(err error) {
	if err != nil && !consensus.BadMessage.Matches(err) && l.fatalErr == nil {
		l.fatalErr = err
	}
}

// Save implements consensus.Saver. It measures the latency of the store, which shows a slow disk.
func (l *eventLoop) Save(save consensus.Save) error {
	start := time.Now()
	err := l.replica.store.Save(save)
	if isOutOfSpace(err) {
		err = l.retrySave(save, err)
	}
	l.replica.metrics.saveSeconds.Observe(time.Since(start).Seconds())
	return err
}

// runTurn does the node's work that results from the events handled so far, and sends the results to the waiting callers.
func (l *eventLoop) runTurn() {
	replies, outcome, err := l.leaseServer.Run(l.now(), l, l.replica.transport.send)
	l.recordFatal(err)
	l.answerRenewals(replies)
	l.answerProposals(outcome)
	if len(outcome.Applied) > 0 || outcome.Restored {
		l.notifyVersionWaiters()
	}
	l.stepCatalog(outcome)
	l.turnHooks = slices.DeleteFunc(l.turnHooks, func(hook func() bool) bool { return hook() })
	l.publishLeadership()
	l.endpoints.step(l, outcome)
	if l.fatalErr == nil && l.node.HasWork() { // the catalog or the endpoint list has proposed something
		l.runTurn()
	}
}

func (l *eventLoop) answerRenewals(replies []consensus.Reply) {
	for _, reply := range replies {
		if waiter := l.pendingRenewals[reply.ID]; waiter != nil {
			delete(l.pendingRenewals, reply.ID)
			waiter <- reply
		}
	}
}

func (l *eventLoop) answerProposals(outcome consensus.Outcome) {
	for _, applied := range outcome.Applied {
		if pending, found := l.pendingProposals[applied.ProposalID]; found {
			delete(l.pendingProposals, applied.ProposalID)
			l.replica.metrics.commitSeconds.Observe(time.Since(pending.proposedAt).Seconds())
			pending.result <- proposalResult{answer: applied.Answer}
		}
	}
	for _, failure := range outcome.Failed {
		if pending, found := l.pendingProposals[failure.ProposalID]; found {
			delete(l.pendingProposals, failure.ProposalID)
			pending.result <- proposalResult{err: failure.Err}
		}
	}
}

func (l *eventLoop) notifyVersionWaiters() {
	for number, waiters := range l.versionWaiters {
		if result, found := l.outcomeOf(number); found {
			delete(l.versionWaiters, number)
			for _, waiter := range waiters {
				waiter <- result
			}
		}
	}
}

// outcomeOf returns the outcome of a version; false while the version is still proposed.
func (l *eventLoop) outcomeOf(number uint64) (versionOutcome, bool) {
	for _, entry := range slices.Backward(l.state.History()) {
		if entry.Number == number && entry.IsWithdrawal() {
			return versionOutcome{withdrawal: entry}, true
		}
	}
	if active, ok := l.state.Active(); ok && active.Number >= number {
		return versionOutcome{active: true}, true
	}
	return versionOutcome{}, false
}

// publishLeadership logs a change of leader or term, and publishes the leader to the other goroutines.
func (l *eventLoop) publishLeadership() {
	leader := l.node.Leader()
	term := l.node.Term()
	if leader != l.loggedLeader {
		close(l.leaderChanged)
		l.leaderChanged = make(chan struct{})
	}
	if leader != l.loggedLeader || term != l.loggedTerm && leader != 0 {
		l.loggedLeader = leader
		l.loggedTerm = term
		l.replica.log.Info("micafront-controlplane: leadership changed", zap.Uint64("leader", leader), zap.Uint64("term", term),
			zap.Uint64("replica", l.replica.config.ID))
	}
	l.replica.leader.Store(leader)
}
