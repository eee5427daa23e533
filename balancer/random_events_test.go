package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// eventDriver sends random valid events to a Balancer and checks every action against the rules for actions.
type eventDriver struct {
	t                testing.TB
	rng              *rand.Rand
	settings         Settings
	balancer         *Balancer
	now              Instant
	lastEventAt      Instant
	lastID           int
	requests         map[string]*drivenRequest
	timers           []armedTimer
	listed           map[string]Endpoint
	unavailableSince map[string]Instant // time of the update that listed an endpoint as draining or removed
	everListed       map[string]bool
}

// drivenRequest is a request as its client and the endpoints see it.
type drivenRequest struct {
	Request
	answered     bool
	established  bool
	concluded    bool // answered, with no attempt in flight
	attempts     int
	inFlight     bool
	endpoint     string
	executed     bool
	executedZone string
	executedCell int
	executedAt   Instant
	sentAt       Instant
}

type armedTimer struct {
	at    Instant
	token string
}

func (d *eventDriver) handle(event Event) {
	for _, action := range d.balancer.Handle(d.now, event) {
		d.checkAction(action)
	}
}

func (d *eventDriver) class(req *drivenRequest) Class {
	for _, class := range d.settings.Classes {
		if class.Name == req.Class {
			return class
		}
	}
	return d.settings.Classes[0]
}

func (d *eventDriver) checkAction(action Action) {
	d.t.Helper()
	switch action := action.(type) {
	case Send:
		req := d.requests[action.ID]
		if req == nil || req.answered || req.concluded {
			d.t.Fatalf("attempt for %q, which has concluded or is unknown", action.ID)
		}
		if req.inFlight {
			d.t.Fatalf("second attempt in flight for %q", action.ID)
		}
		if !d.everListed[action.Endpoint] {
			d.t.Fatalf("attempt at unknown endpoint %q", action.Endpoint)
		}
		if at, ok := d.unavailableSince[action.Endpoint]; ok && d.now > at+d.settings.Rules.DrainGrace {
			d.t.Fatalf("attempt at %s, which has been unavailable for %v", action.Endpoint, d.now-at)
		}
		if req.attempts++; req.attempts > d.settings.Limits.Attempts {
			d.t.Fatalf("%q: attempt %d exceeds the limit", action.ID, req.attempts)
		}
		class, entry := d.class(req), d.listed[action.Endpoint]
		if req.executed && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && (d.now-req.executedAt > class.DedupWindow ||
			class.DedupScope != ScopeAll && entry.Zone != req.executedZone || class.DedupScope == ScopeCell && entry.Cell != req.executedCell)) {
			d.t.Fatalf("%q with idempotency %v was sent to an endpoint that may execute it a second time", action.ID, class.Idempotency)
		}
		if action.Timeout < 0 {
			d.t.Fatalf("negative timeout")
		}
		req.inFlight, req.endpoint, req.sentAt = true, action.Endpoint, d.now
	case Reject:
		req := d.recordAnswer(action.ID)
		class := d.class(req)
		if (req.executed || req.inFlight) && class.Idempotency != Idempotent && (class.Idempotency != IdempotentByKey || class.DedupScope != ScopeAll) {
			d.t.Fatalf("%q was rejected although it may have been executed", action.ID)
		}
	case Fail:
		d.recordAnswer(action.ID)
	case Cancel:
		if req := d.requests[action.ID]; !d.settings.Limits.Cancel || req == nil || action.Attempt >= req.attempts || action.Attempt < 0 {
			d.t.Fatalf("unexpected cancel of %q, attempt %d", action.ID, action.Attempt)
		}
	case Migrate:
		if req := d.requests[action.ID]; req == nil || !req.established {
			d.t.Fatalf("migration of %q, which is not established", action.ID)
		}
	case SetTimer:
		if action.Delay <= 0 || action.Delay > 71*time.Minute || action.Token == "" || len(action.Token) > 64 {
			d.t.Fatalf("invalid timer %+v", action)
		}
		d.timers = append(d.timers, armedTimer{d.now + action.Delay, action.Token})
	case HealthCheck:
		if !d.settings.Limits.HealthChecks || !d.everListed[action.Endpoint] {
			d.t.Fatalf("unexpected health check of %q", action.Endpoint)
		}
	case Watch:
		if !d.settings.Subscribe {
			d.t.Fatal("watch although Subscribe is off")
		}
	case Log:
	default:
		d.t.Fatalf("unknown action %T", action)
	}
}

// recordAnswer records the final answer to a request, which must be the only one and in time.
func (d *eventDriver) recordAnswer(id string) *drivenRequest {
	req := d.requests[id]
	if req == nil || req.answered {
		d.t.Fatalf("%q is unknown or already answered", id)
	}
	if d.now > req.Deadline+d.settings.Rules.AnswerSlack {
		d.t.Fatalf("%q answered %v after its deadline", id, d.now-req.Deadline)
	}
	req.answered = true
	req.concluded = !req.inFlight
	return req
}

// updateEndpoints sends a random endpoint list of a kind.
func (d *eventDriver) updateEndpoints(kind ListKind) {
	var update EndpointUpdate
	update.Kind = kind
	for i := range 10 {
		id := endpointID(i)
		if d.rng.IntN(3) > 0 && kind == DeltaList {
			continue
		}
		entry := Endpoint{ID: id, Phase: Phase(d.rng.IntN(6) / 3 * d.rng.IntN(3)), Size: float64(d.rng.IntN(3)),
			Zone: fmt.Sprintf("z%d", i%3), Cell: i / 2}
		if d.rng.IntN(4) == 0 {
			entry.StartedAt = d.now - time.Duration(d.rng.IntN(3))*sec
		}
		if kind != DeltaList && (entry.Phase == Removed || d.rng.IntN(5) == 0) {
			continue
		}
		update.Entries = append(update.Entries, entry)
	}
	if kind == ListFailed {
		update.Entries = nil
	}
	seen := map[string]bool{}
	for _, entry := range update.Entries {
		seen[entry.ID], d.everListed[entry.ID] = true, true
		d.listed[entry.ID] = entry
		if entry.Phase == Ready {
			delete(d.unavailableSince, entry.ID)
		} else if _, ok := d.unavailableSince[entry.ID]; !ok {
			d.unavailableSince[entry.ID] = d.now
		}
	}
	if kind == FullList || kind == CachedList {
		for id := range d.listed {
			if _, ok := d.unavailableSince[id]; !seen[id] && !ok {
				d.unavailableSince[id] = d.now
			}
		}
	}
	d.handle(update)
}

// step advances the clock, fires the due timers and sends one random event.
func (d *eventDriver) step() {
	d.now += time.Duration(d.rng.IntN(60)) * ms
	for { // due timers fire in order, each up to 5 ms late
		due := -1
		for i, timer := range d.timers {
			if timer.at <= d.now && (due < 0 || timer.at < d.timers[due].at) {
				due = i
			}
		}
		if due < 0 {
			break
		}
		timer := d.timers[due]
		d.timers = append(d.timers[:due], d.timers[due+1:]...)
		end := d.now
		d.now = max(d.lastEventAt, min(timer.at+5*ms, end))
		d.lastEventAt = d.now
		d.handle(Timer{Token: timer.token})
		d.now = end
	}
	d.lastEventAt = d.now
	for id, req := range d.requests {
		if !req.answered && !req.established && d.now > req.Deadline+d.settings.Rules.AnswerSlack {
			d.t.Fatalf("%q was never answered", id)
		}
	}
	switch d.rng.IntN(12) {
	case 0:
		d.updateEndpoints(ListKind(d.rng.IntN(4)))
	case 1, 2, 3, 4:
		d.lastID++
		req := Request{ID: fmt.Sprintf("q%d", d.lastID), Class: d.settings.Classes[d.rng.IntN(len(d.settings.Classes))].Name,
			Key: fmt.Sprintf("k%d", d.rng.IntN(40)), Deadline: d.now + time.Duration(d.rng.IntN(2000))*ms,
			Resumed: d.rng.IntN(8) == 0, Returning: d.rng.IntN(4) == 0, ClientRetry: d.rng.IntN(4) == 0}
		if d.rng.IntN(2) == 0 {
			req.Group = fmt.Sprintf("g%d", d.rng.IntN(5))
		}
		d.requests[req.ID] = &drivenRequest{Request: req}
		d.handle(req)
	default:
		ids := make([]string, 0, len(d.requests))
		for i := 1; i <= d.lastID; i++ {
			if d.requests[fmt.Sprintf("q%d", i)] != nil {
				ids = append(ids, fmt.Sprintf("q%d", i))
			}
		}
		if len(ids) == 0 {
			return
		}
		id := ids[d.rng.IntN(len(ids))]
		d.advanceRequest(id, d.requests[id])
	}
}

// advanceRequest sends the next random event of a request.
func (d *eventDriver) advanceRequest(id string, req *drivenRequest) {
	if !req.inFlight {
		if req.concluded {
			delete(d.requests, id)
		}
		return
	}
	switch choice := d.rng.IntN(10); {
	case choice < 3 && !req.established && !req.answered:
		req.established, req.answered = true, true
		d.handle(Established{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1})
	case choice == 3 && req.established:
		d.handle(LatencyChanged{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1, Latency: time.Duration(d.rng.IntN(300)) * ms})
	case choice == 4 && req.established:
		d.handle(LoadChanged{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1, Load: d.rng.Float64()})
	case choice == 5 && !req.answered:
		req.answered = true
		d.handle(ClientDisconnected{ID: id})
	case choice > 5:
		status := Status(d.rng.IntN(int(NotSent) + 1))
		req.inFlight = false
		if !status.NeverExecuted() && !req.executed {
			entry := d.listed[req.endpoint]
			req.executed, req.executedAt, req.executedZone, req.executedCell = true, req.sentAt, entry.Zone, entry.Cell
		}
		final := req.established || req.answered || status == OK
		if final {
			req.answered, req.concluded = true, true
		}
		d.handle(AttemptEnded{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1, Status: status, Final: final})
	}
}

// runValidEvents runs a number of steps and restarts the Balancer without its state every 1000 steps.
func runValidEvents(t testing.TB, seed uint64, steps int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings()
	settings.Classes = append(settings.Classes,
		Class{Name: "once", LatencyObjective: 200 * ms, Timeout: sec, Idempotency: NotIdempotent, PriorityWeight: 1},
		Class{Name: "keyed", LatencyObjective: 200 * ms, Timeout: sec, Idempotency: IdempotentByKey, DedupScope: DedupScope(rng.IntN(3)), DedupWindow: 300 * ms, PriorityWeight: 1})
	settings.Subscribe, settings.PassThrough = rng.IntN(2) == 0, rng.IntN(2) == 0
	settings.Limits.Cancel = rng.IntN(4) > 0
	settings.Limits.Attempts = 1 + rng.IntN(4)
	d := &eventDriver{t: t, rng: rng, settings: settings, now: time.Duration(rng.IntN(100)) * sec}
	restart := func() {
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.balancer, d.requests, d.timers = b, map[string]*drivenRequest{}, nil
		d.listed, d.unavailableSince, d.everListed = map[string]Endpoint{}, map[string]Instant{}, map[string]bool{}
		d.updateEndpoints(CachedList)
	}
	restart()
	for i := range steps {
		if i%1000 == 999 {
			restart()
		}
		d.step()
	}
	// No state of requests may remain after all of them have ended.
	for id, req := range d.requests {
		if req.inFlight {
			d.handle(AttemptEnded{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1, Status: Canceled, Final: true})
		} else if !req.answered {
			d.handle(ClientDisconnected{ID: id})
		}
	}
	if len(d.balancer.requests) != 0 || len(d.balancer.deadlineTimers) != 0 || d.balancer.activeCount != 0 {
		t.Fatalf("state remains after all requests have ended: %d requests, %d timers, %d active", len(d.balancer.requests), len(d.balancer.deadlineTimers), d.balancer.activeCount)
	}
}

func TestRandomValidEvents(t *testing.T) {
	for seed := range uint64(24) {
		runValidEvents(t, seed, 2500)
	}
}

func FuzzValidEvents(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { runValidEvents(t, seed, 1500) })
}
