package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// eventWorld drives a Balancer with random legal events and checks every rule that its actions must keep.
type eventWorld struct {
	t                testing.TB
	rng              *rand.Rand
	settings         Settings
	balancer         *Balancer
	now              Instant
	lastEventAt      Instant
	lastID           int
	requests         map[string]*worldRequest
	timers           []worldTimer
	listed           map[string]Endpoint
	unavailableSince map[string]Instant // when an update said that an endpoint drains or is removed
	everSeen         map[string]bool
}

type worldRequest struct {
	Request
	answered     bool
	established  bool
	concluded    bool
	attempts     int
	inFlight     bool
	endpoint     string
	executed     bool
	executedZone string
	executedCell int
	executedAt   Instant
	sentAt       Instant
}

type worldTimer struct {
	at    Instant
	token string
}

func (w *eventWorld) handle(event Event) {
	for _, action := range w.balancer.Handle(w.now, event) {
		w.check(action)
	}
}

func (w *eventWorld) class(req *worldRequest) Class {
	for _, class := range w.settings.Classes {
		if class.Name == req.Class {
			return class
		}
	}
	return w.settings.Classes[0]
}

func (w *eventWorld) check(action Action) {
	w.t.Helper()
	switch action := action.(type) {
	case Send:
		req := w.requests[action.ID]
		if req == nil || req.answered || req.concluded {
			w.t.Fatalf("send for %q, which has concluded or is unknown", action.ID)
		}
		if req.inFlight {
			w.t.Fatalf("second attempt in flight for %q", action.ID)
		}
		if !w.everSeen[action.Endpoint] {
			w.t.Fatalf("send to unknown endpoint %q", action.Endpoint)
		}
		if at, ok := w.unavailableSince[action.Endpoint]; ok && w.now > at+w.settings.Rules.DrainGrace {
			w.t.Fatalf("send to %s, unavailable for %v", action.Endpoint, w.now-at)
		}
		if req.attempts++; req.attempts > w.settings.Limits.Attempts {
			w.t.Fatalf("%q: attempt %d", action.ID, req.attempts)
		}
		class, entry := w.class(req), w.listed[action.Endpoint]
		if req.executed && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && (w.now-req.executedAt > class.DedupWindow ||
			class.DedupScope != ScopeAll && entry.Zone != req.executedZone || class.DedupScope == ScopeCell && entry.Cell != req.executedCell)) {
			w.t.Fatalf("%q of effect %v resent where it may be executed twice", action.ID, class.Idempotency)
		}
		if action.Timeout < 0 {
			w.t.Fatalf("negative timeout")
		}
		req.inFlight, req.endpoint, req.sentAt = true, action.Endpoint, w.now
	case Reject:
		req := w.final(action.ID)
		class := w.class(req)
		if (req.executed || req.inFlight) && class.Idempotency != Idempotent && (class.Idempotency != IdempotentByKey || class.DedupScope != ScopeAll) {
			w.t.Fatalf("%q rejected though it may have been executed", action.ID)
		}
	case Fail:
		w.final(action.ID)
	case Cancel:
		if req := w.requests[action.ID]; !w.settings.Limits.Cancel || req == nil || action.Attempt >= req.attempts || action.Attempt < 0 {
			w.t.Fatalf("cancel of %q attempt %d", action.ID, action.Attempt)
		}
	case Migrate:
		if req := w.requests[action.ID]; req == nil || !req.established {
			w.t.Fatalf("migration of %q, which is not established", action.ID)
		}
	case SetTimer:
		if action.Delay <= 0 || action.Delay > 71*time.Minute || action.Token == "" || len(action.Token) > 64 {
			w.t.Fatalf("timer %+v", action)
		}
		w.timers = append(w.timers, worldTimer{w.now + action.Delay, action.Token})
	case HealthCheck:
		if !w.settings.Limits.HealthChecks || !w.everSeen[action.Endpoint] {
			w.t.Fatalf("health check of %q", action.Endpoint)
		}
	case Watch:
		if !w.settings.Subscribe {
			w.t.Fatal("watch where discovery needs no subscription")
		}
	case Log:
	default:
		w.t.Fatalf("action %T", action)
	}
}

func (w *eventWorld) final(id string) *worldRequest {
	req := w.requests[id]
	if req == nil || req.answered {
		w.t.Fatalf("second answer, or answer for unknown %q", id)
	}
	if w.now > req.Deadline+w.settings.Rules.AnswerSlack {
		w.t.Fatalf("%q answered %v after its deadline", id, w.now-req.Deadline)
	}
	req.answered = true
	req.concluded = !req.inFlight
	return req
}

func (w *eventWorld) list(kind ListKind) {
	var update EndpointUpdate
	update.Kind = kind
	for i := range 10 {
		id := endpointID(i)
		if w.rng.IntN(3) > 0 && kind == DeltaList {
			continue
		}
		entry := Endpoint{ID: id, Phase: Phase(w.rng.IntN(6) / 3 * w.rng.IntN(3)), Size: float64(w.rng.IntN(3)),
			Zone: fmt.Sprintf("z%d", i%3), Cell: i / 2}
		if w.rng.IntN(4) == 0 {
			entry.StartedAt = w.now - time.Duration(w.rng.IntN(3))*sec
		}
		if kind != DeltaList && (entry.Phase == Removed || w.rng.IntN(5) == 0) {
			continue
		}
		update.Entries = append(update.Entries, entry)
	}
	if kind == ListFailed {
		update.Entries = nil
	}
	seen := map[string]bool{}
	for _, entry := range update.Entries {
		seen[entry.ID], w.everSeen[entry.ID] = true, true
		w.listed[entry.ID] = entry
		if entry.Phase == Ready {
			delete(w.unavailableSince, entry.ID)
		} else if _, ok := w.unavailableSince[entry.ID]; !ok {
			w.unavailableSince[entry.ID] = w.now
		}
	}
	if kind == FullList || kind == CachedList {
		for id := range w.listed {
			if _, ok := w.unavailableSince[id]; !seen[id] && !ok {
				w.unavailableSince[id] = w.now
			}
		}
	}
	w.handle(update)
}

func (w *eventWorld) step() {
	w.now += time.Duration(w.rng.IntN(60)) * ms
	for { // due timers come in order, with the first batch at or after their time
		due := -1
		for i, tm := range w.timers {
			if tm.at <= w.now && (due < 0 || tm.at < w.timers[due].at) {
				due = i
			}
		}
		if due < 0 {
			break
		}
		tm := w.timers[due]
		w.timers = append(w.timers[:due], w.timers[due+1:]...)
		end := w.now
		w.now = max(w.lastEventAt, min(tm.at+5*ms, end))
		w.lastEventAt = w.now
		w.handle(Timer{Token: tm.token})
		w.now = end
	}
	w.lastEventAt = w.now
	for id, req := range w.requests {
		if !req.answered && !req.established && w.now > req.Deadline+w.settings.Rules.AnswerSlack {
			w.t.Fatalf("%q was never answered", id)
		}
	}
	switch w.rng.IntN(12) {
	case 0:
		w.list(ListKind(w.rng.IntN(4)))
	case 1, 2, 3, 4:
		w.lastID++
		req := Request{ID: fmt.Sprintf("q%d", w.lastID), Class: w.settings.Classes[w.rng.IntN(len(w.settings.Classes))].Name,
			Key: fmt.Sprintf("k%d", w.rng.IntN(40)), Deadline: w.now + time.Duration(w.rng.IntN(2000))*ms,
			Resumed: w.rng.IntN(8) == 0, Returning: w.rng.IntN(4) == 0, ClientRetry: w.rng.IntN(4) == 0}
		if w.rng.IntN(2) == 0 {
			req.Group = fmt.Sprintf("g%d", w.rng.IntN(5))
		}
		w.requests[req.ID] = &worldRequest{Request: req}
		w.handle(req)
	default:
		ids := make([]string, 0, len(w.requests))
		for i := 1; i <= w.lastID; i++ {
			if w.requests[fmt.Sprintf("q%d", i)] != nil {
				ids = append(ids, fmt.Sprintf("q%d", i))
			}
		}
		if len(ids) == 0 {
			return
		}
		id := ids[w.rng.IntN(len(ids))]
		w.advance(id, w.requests[id])
	}
}

func (w *eventWorld) advance(id string, req *worldRequest) {
	if !req.inFlight {
		if req.concluded {
			delete(w.requests, id)
		}
		return
	}
	switch k := w.rng.IntN(10); {
	case k < 3 && !req.established && !req.answered:
		req.established, req.answered = true, true
		w.handle(Established{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1})
	case k == 3 && req.established:
		w.handle(LatencyChanged{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1, Latency: time.Duration(w.rng.IntN(300)) * ms})
	case k == 4 && req.established:
		w.handle(LoadChanged{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1, Load: w.rng.Float64()})
	case k == 5 && !req.answered:
		req.answered = true
		w.handle(ClientDisconnected{ID: id})
	case k > 5:
		st := Status(w.rng.IntN(int(NotSent) + 1))
		req.inFlight = false
		if !st.NeverExecuted() && !req.executed {
			entry := w.listed[req.endpoint]
			req.executed, req.executedAt, req.executedZone, req.executedCell = true, req.sentAt, entry.Zone, entry.Cell
		}
		final := req.established || req.answered || st == OK
		if final {
			req.answered, req.concluded = true, true
		}
		w.handle(AttemptEnded{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1, Status: st, Final: final})
	}
}

func runLegalEvents(t testing.TB, seed uint64, steps int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings()
	settings.Classes = append(settings.Classes,
		Class{Name: "once", LatencyObjective: 200 * ms, Timeout: sec, Idempotency: NotIdempotent, PriorityWeight: 1},
		Class{Name: "keyed", LatencyObjective: 200 * ms, Timeout: sec, Idempotency: IdempotentByKey, DedupScope: DedupScope(rng.IntN(3)), DedupWindow: 300 * ms, PriorityWeight: 1})
	settings.Subscribe, settings.PassThrough = rng.IntN(2) == 0, rng.IntN(2) == 0
	settings.Limits.Cancel = rng.IntN(4) > 0
	settings.Limits.Attempts = 1 + rng.IntN(4)
	w := &eventWorld{t: t, rng: rng, settings: settings, now: time.Duration(rng.IntN(100)) * sec}
	boot := func() {
		b, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		w.balancer, w.requests, w.timers = b, map[string]*worldRequest{}, nil
		w.listed, w.unavailableSince, w.everSeen = map[string]Endpoint{}, map[string]Instant{}, map[string]bool{}
		w.list(CachedList)
	}
	boot()
	for i := range steps {
		if i%1000 == 999 {
			boot() // killed and restarted
		}
		w.step()
	}
	// When everything has ended nothing may be left in memory.
	for id, req := range w.requests {
		if req.inFlight {
			w.handle(AttemptEnded{ID: id, Endpoint: req.endpoint, Attempt: req.attempts - 1, Status: Canceled, Final: true})
		} else if !req.answered {
			w.handle(ClientDisconnected{ID: id})
		}
	}
	if len(w.balancer.requests) != 0 || len(w.balancer.deadlineTimers) != 0 || w.balancer.activeCount != 0 {
		t.Fatalf("left in memory: %d requests, %d timers, %d active", len(w.balancer.requests), len(w.balancer.deadlineTimers), w.balancer.activeCount)
	}
}

func TestRandomLegalEvents(t *testing.T) {
	for seed := range uint64(24) {
		runLegalEvents(t, seed, 2500)
	}
}

func FuzzLegalEvents(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { runLegalEvents(t, seed, 1500) })
}
