package fleetconfig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation simulates a small fleet: one committed log, one leader at a time, proxies with drifting clocks, and links that
// delay and lose messages. It checks the invariants after each step.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	conditions
	faultsStopped bool
	wrappers      wrappers

	state             *StateMachine
	index             uint64
	pending           []pendingCommand // proposed by the leader, in order
	leases            LeaseService
	term              uint64
	nextElection      time.Duration // when the next leader is elected; 0: a replica leads
	clock             driftingClock // the leader's
	leaderPausedUntil time.Duration
	processes         []*simulatedProxy
	messages          []message

	activeAt      map[uint64]time.Duration // of each version that was active
	successor     map[uint64]uint64        // by version: the version that superseded it
	firstSwitchAt map[uint64]time.Duration // by version: when the first proxy switched to it
	violation     string
	switches      int
	comparisons   int
}

// conditions are the size of the fleet and the faults of its environment.
type conditions struct {
	proxies        int
	lossPerMille   int           // messages lost, of 1000
	maxDelay       time.Duration // until a message arrives
	maxCommitDelay time.Duration // extra time until a command is committed, for one command in four
	maxDriftPPM    int64         // of a clock, either fast or slow
}

var moderateConditions = conditions{4, 30, 30 * time.Millisecond, time.Second, 1000}

// wrappers wrap parts of the simulation in faulty implementations that the checks must detect. A nil function wraps
// nothing.
type wrappers struct {
	state  func(*StateMachine) ReplicatedState
	leases func(*LeaseManager, *StateMachine) LeaseService
	client func(Leaseholder) Leaseholder
}

type pendingCommand struct {
	at      time.Duration
	command Command
}

type message struct {
	at      time.Duration
	term    uint64 // the message is dropped once this leader's term has ended; 0: the message is for a proxy
	deliver func()
}

// driftingClock runs fast or slow by a drift in parts per million.
type driftingClock struct {
	offset   time.Duration
	driftPPM int64
}

func (c driftingClock) at(now time.Duration) time.Duration {
	return c.offset + now + now*time.Duration(c.driftPPM)/1_000_000
}

type simulatedProxy struct {
	sim              *simulation
	name             string
	incarnation      uint64
	client           Leaseholder
	clock            driftingClock
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	unreachableUntil time.Duration // until then its renewals arrive but its leases are lost
	flapping         bool
	prepareDelay     time.Duration // added to each preparation
	timerAt          time.Duration
	events           []scheduledEvent // also received while paused
	activeVersion    uint64
	stopsAt          time.Duration // when the process exits; 0: never
	stopped          bool
}

type scheduledEvent struct {
	at    time.Duration
	event Event
}

const stepDuration = 5 * time.Millisecond

func (sim *simulation) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(longest) + 1))
}

func (sim *simulation) oneIn(n int) bool { return !sim.faultsStopped && sim.random.IntN(n) == 0 }

func (sim *simulation) newClock() driftingClock {
	return driftingClock{sim.randomDuration(time.Hour), sim.random.Int64N(2*sim.maxDriftPPM+1) - sim.maxDriftPPM}
}

func newSimulation(seed uint64, environment conditions, faulty wrappers) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), conditions: environment, wrappers: faulty, state: NewStateMachine(),
		activeAt: map[uint64]time.Duration{}, successor: map[uint64]uint64{}, firstSwitchAt: map[uint64]time.Duration{}}
	for i := range environment.proxies {
		sim.start(fmt.Sprintf("n%d", i), 1)
	}
	sim.elect()
	return sim
}

func (sim *simulation) start(name string, incarnation uint64) {
	own := Terms{AgreementTimeout: 500 * time.Millisecond}
	p := &simulatedProxy{sim: sim, name: name, incarnation: incarnation, clock: sim.newClock(), timerAt: -1}
	p.client = NewLeaseClient(name, incarnation, own)
	if sim.wrappers.client != nil {
		p.client = sim.wrappers.client(p.client)
	}
	sim.processes = append(sim.processes, p)
	p.events = append(p.events, scheduledEvent{sim.now, Tick{}})
}

func (sim *simulation) elect() {
	manager := NewLeaseManager(sim.state)
	if sim.wrappers.state != nil {
		manager = NewLeaseManager(sim.wrappers.state(sim.state))
	}
	manager.removeAfterTimeouts = 2 // low enough for unresponsive members to be removed and rejoin during a run
	sim.leases = manager
	if sim.wrappers.leases != nil {
		sim.leases = sim.wrappers.leases(manager, sim.state)
	}
	sim.term++
	sim.nextElection, sim.clock, sim.leaderPausedUntil = 0, sim.newClock(), 0
	sim.leases.BecomeLeader(sim.clock.at(sim.now), sim.term)
}

// depose ends the current leader's term. A random prefix, possibly empty, of the pending commands is committed.
func (sim *simulation) depose() {
	for _, p := range sim.pending[:sim.random.IntN(len(sim.pending)+1)] {
		sim.apply(p.command)
	}
	sim.pending = nil
	sim.term++
	sim.leases = nil
	sim.nextElection = sim.now + 1 + sim.randomDuration(600*time.Millisecond)
}

func (sim *simulation) propose(commands ...Command) {
	for _, c := range commands {
		at := sim.now + sim.randomDuration(sim.maxDelay)
		if sim.oneIn(4) {
			at += sim.randomDuration(sim.maxCommitDelay)
		}
		if n := len(sim.pending); n > 0 {
			at = max(at, sim.pending[n-1].at)
		}
		sim.pending = append(sim.pending, pendingCommand{at, c})
	}
}

func (sim *simulation) apply(c Command) {
	before, _ := sim.state.Active()
	sim.index++
	sim.state.Apply(sim.index, c)
	if v, ok := sim.state.Active(); ok && v.Number != before.Number {
		sim.activeAt[v.Number], sim.successor[before.Number] = sim.now, v.Number
	}
}

func (sim *simulation) send(term uint64, do func()) {
	if sim.faultsStopped || sim.random.IntN(1000) >= sim.lossPerMille {
		sim.messages = append(sim.messages, message{sim.now + sim.randomDuration(sim.maxDelay), term, do})
	}
}

func (p *simulatedProxy) partitioned() bool { return p.sim.now < p.partitionedUntil }
func (p *simulatedProxy) unreachable() bool {
	return p.sim.now < max(p.partitionedUntil, p.unreachableUntil)
}

// execute carries out a client's actions.
func (p *simulatedProxy) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendRenewal:
			p.sendRenewal(a)
		case PrepareVersion:
			p.prepare(a)
		case SwitchVersion:
			p.switchTo(a.Number)
		case SetTimer:
			p.timerAt = a.At
		}
	}
}

// sendRenewal sends a renewal to the leader. The exchange takes three messages: the renewal, the quorum's confirmation of
// the leader, and the lease.
func (p *simulatedProxy) sendRenewal(a SendRenewal) {
	sim := p.sim
	sentAt := p.clock.at(sim.now)
	p.events = append(p.events, scheduledEvent{sim.now + a.Timeout, RenewalFailed{a.Renewal.Seq}})
	if sim.leases == nil || p.partitioned() {
		return
	}
	receive := func(lease Lease) {
		if !p.unreachable() {
			p.events = append(p.events, scheduledEvent{sim.now, LeaseGranted{lease, sentAt}})
		}
	}
	term := sim.term
	sim.send(term, func() {
		sim.propose(sim.leases.HandleRenewal(sim.clock.at(sim.now), a.Renewal)...)
		sim.send(term, func() {
			if lease, ok := sim.leases.GrantLease(sim.clock.at(sim.now), a.Renewal); ok {
				sim.send(0, func() { receive(lease) })
			}
		})
	})
}

func (p *simulatedProxy) prepare(a PrepareVersion) {
	sim := p.sim
	done := PrepareDone{Number: a.Number}
	if sim.oneIn(25) {
		done.Rejection = &Rejection{Kind: "footprint/too-heavy", Cause: "too large"}
	}
	duration := sim.randomDuration(150 * time.Millisecond)
	if sim.oneIn(4) {
		duration *= 15 // slow fetch
	}
	p.events = append(p.events, scheduledEvent{sim.now + duration + p.prepareDelay, done})
}

func (p *simulatedProxy) switchTo(version uint64) {
	sim := p.sim
	if _, ok := sim.activeAt[version]; !ok || version <= p.activeVersion {
		sim.fail("%s switches from version %d to %d", p.name, p.activeVersion, version)
	}
	if _, ok := sim.firstSwitchAt[version]; !ok {
		sim.firstSwitchAt[version] = sim.now
	}
	p.activeVersion = version
	sim.switches++
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) step() {
	sim.now += stepDuration
	if sim.leases == nil && sim.now >= sim.nextElection {
		sim.elect()
	}
	sim.injectFaults()
	leading := func() bool { return sim.leases != nil && sim.now >= sim.leaderPausedUntil }
	if leading() {
		sim.commitPending()
	}
	sim.deliverMessages()
	if leading() && (len(sim.pending) == 0 || sim.oneIn(5)) {
		sim.propose(sim.leases.DueCommands(sim.clock.at(sim.now))...)
	}
	for _, p := range sim.processes {
		p.step()
	}
	sim.processes = slices.DeleteFunc(sim.processes, func(p *simulatedProxy) bool { return p.stopped })
	sim.check()
}

// commitPending applies the pending commands that are committed by now.
func (sim *simulation) commitPending() {
	for len(sim.pending) > 0 && sim.pending[0].at <= sim.now {
		next := sim.pending[0].command
		sim.pending = sim.pending[1:]
		sim.apply(next)
	}
}

// deliverMessages delivers the messages that have arrived, and drops those for a leader whose term has ended.
func (sim *simulation) deliverMessages() {
	messages := sim.messages
	sim.messages = nil
	for _, m := range messages {
		switch {
		case m.at > sim.now || m.term != 0 && sim.now < sim.leaderPausedUntil:
			sim.messages = append(sim.messages, m)
		case m.term == 0 || sim.leases != nil && m.term == sim.term:
			m.deliver()
		}
	}
}

func (p *simulatedProxy) step() {
	sim := p.sim
	if p.stopped = p.stopsAt != 0 && sim.now >= p.stopsAt; p.stopped || sim.now < p.pausedUntil {
		return
	}
	events := p.events
	p.events = nil
	for _, e := range events {
		if e.at > sim.now {
			p.events = append(p.events, e)
		} else {
			p.execute(p.client.Handle(p.clock.at(sim.now), e.event))
		}
	}
	if p.timerAt >= 0 && p.clock.at(sim.now) >= p.timerAt {
		p.timerAt = -1
		p.execute(p.client.Handle(p.clock.at(sim.now), Tick{}))
	}
}

// injectFaults randomly proposes and withdraws versions, deposes or pauses the leader, and pauses, partitions and restarts
// proxies.
func (sim *simulation) injectFaults() {
	if sim.oneIn(40) {
		memberTimeout := 600*time.Millisecond + sim.randomDuration(1500*time.Millisecond)
		if sim.oneIn(4) {
			memberTimeout *= 4
		}
		sim.propose(Command{Propose: &Propose{Force: sim.oneIn(2), Body: &Body{Settings: json.RawMessage(`{}`),
			Fleet: Terms{AgreementTimeout: 300*time.Millisecond + sim.randomDuration(300*time.Millisecond), MemberTimeout: memberTimeout, ClockDriftPPM: sim.maxDriftPPM}}}})
	}
	if p, ok := sim.state.Proposed(); ok && sim.oneIn(200) {
		sim.propose(Command{Withdraw: &Withdraw{Number: p.Number}})
	}
	if sim.leases != nil && sim.oneIn(1000) {
		sim.depose()
	}
	if sim.oneIn(2000) {
		sim.leaderPausedUntil = sim.now + sim.randomDuration(time.Second)
	}
	for _, p := range slices.Clone(sim.processes) {
		if sim.oneIn(1000) {
			p.pausedUntil = sim.now + sim.randomDuration(time.Second)
		}
		if sim.oneIn(1000) {
			p.flapping = !p.flapping
		}
		if !p.partitioned() && (sim.oneIn(1000) || p.flapping && sim.oneIn(20)) {
			p.partitionedUntil = sim.now + sim.randomDuration(4*time.Second)
		}
		if sim.oneIn(1000) {
			p.unreachableUntil = sim.now + sim.randomDuration(8*time.Second)
		}
		if sim.oneIn(4000) && p.stopsAt == 0 {
			p.stopsAt = sim.now + 1 + sim.randomDuration(3*time.Second)
			if sim.oneIn(2) {
				p.events = append(p.events, scheduledEvent{sim.now, StartDrain{}})
			}
			sim.start(p.name, p.incarnation+1)
		}
	}
}

// check verifies two invariants. A proxy acts on a version for at most AgreementTimeout after a later one became active, so
// no two proxies contradict each other for longer. And a proxy in the state Expired knows of the active version: it acts
// on that version or has prepared it.
func (sim *simulation) check() {
	active, _ := sim.state.Active()
	var acting []*simulatedProxy
	for _, p := range sim.processes {
		now := p.clock.at(sim.now)
		if sim.now < p.pausedUntil {
			continue
		}
		authorization, status := p.client.Authorize(now, func() bool { return true }), p.client.Status(now)
		if status.State == Expired && active.Number != status.ActiveVersion && active.Number != status.PreparedVersion {
			sim.fail("%s#%d knows versions %d and %d, but version %d is active", p.name, p.incarnation, status.ActiveVersion, status.PreparedVersion, active.Number)
		}
		if !authorization.Allowed {
			continue
		}
		acting = append(acting, p)
		later, superseded := sim.successor[status.ActiveVersion]
		if superseded && sim.now-sim.activeAt[later] > sim.agreementTimeout(status.ActiveVersion) {
			sim.fail("%s#%d acts on version %d (%s), %v after %d became active", p.name, p.incarnation, status.ActiveVersion, status.State,
				sim.now-sim.activeAt[later], later)
		}
	}
	sim.checkOverlaps(acting)
}

// checkOverlaps verifies for each pair of proxies that act on different versions that AgreementTimeout has not passed since
// the first switch to a version later than the earlier one of the two.
func (sim *simulation) checkOverlaps(acting []*simulatedProxy) {
	for _, p := range acting {
		for _, q := range acting {
			if p.activeVersion >= q.activeVersion {
				continue
			}
			sim.comparisons++
			for later, since := range sim.firstSwitchAt {
				if later > p.activeVersion && sim.now-since > sim.agreementTimeout(p.activeVersion) {
					sim.fail("%s acts on version %d and %s on %d, %v after the first switch to %d", p.name, p.activeVersion, q.name, q.activeVersion,
						sim.now-since, later)
				}
			}
		}
	}
}

func (sim *simulation) agreementTimeout(number uint64) time.Duration {
	v, ok := sim.state.Version(number)
	if !ok {
		return time.Hour // above any timeout: the version is no longer kept, so it was superseded long ago
	}
	return v.Body.Fleet.AgreementTimeout
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end && sim.violation == ""; {
		sim.step()
	}
}

// settle ends all faults and runs on for some time. Afterward every live process must act on the active version, unless the
// process could not prepare that version.
func (sim *simulation) settle() {
	sim.faultsStopped, sim.maxDelay, sim.leaderPausedUntil = true, 5*time.Millisecond, 0
	for _, p := range sim.processes {
		p.pausedUntil, p.partitionedUntil, p.unreachableUntil = 0, 0, 0
	}
	sim.run(16 * time.Second) // above the longest member timeout
	active, ok := sim.state.Active()
	if p, waits := sim.state.Proposed(); waits {
		sim.fail("version %d is still proposed", p.Number)
	}
	for _, p := range sim.processes {
		status := p.client.Status(p.clock.at(sim.now))
		if ok && status.State != Excluded && (status.State != Leased || status.ActiveVersion != active.Number) {
			sim.fail("%s#%d has status %+v, but version %d is active", p.name, p.incarnation, status, active.Number)
		}
	}
}
