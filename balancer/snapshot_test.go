package balancer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// twinDriver passes the same random events to several Balancers and checks that they return the same actions. It ends attempts
// with random statuses and fires timers.
type twinDriver struct {
	t           *rapid.T
	now         Instant
	twins       []*Balancer // get the same events and must return the same actions
	pending     map[string]AttemptEnded
	attempts    map[string]int
	established map[string]AttemptEnded
	timers      []pendingTimer
	lastID      int
	settings    Settings
}

type pendingTimer struct {
	token string
	at    Instant
}

// handle passes an event to all twins, compares their actions and performs them.
func (d *twinDriver) handle(event Event) {
	first := d.twins[0].Handle(d.now, event)
	for _, twin := range d.twins[1:] {
		if diff := cmp.Diff(first, twin.Handle(d.now, event)); diff != "" {
			d.t.Fatalf("at %v, the twins return different actions for %T%+v:\n%s", d.now, event, event, diff)
		}
	}
	d.performActions(first)
}

func (d *twinDriver) performActions(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			d.pending[action.ID] = AttemptEnded{ID: action.ID, Endpoint: action.Endpoint, Attempt: d.attempts[action.ID]}
			d.attempts[action.ID]++
		case SetTimer:
			d.timers = append(d.timers, pendingTimer{action.Token, d.now + action.Delay})
		}
	}
}

// drawAttempt draws one of several attempts. ok is false if there are none.
func (d *twinDriver) drawAttempt(attempts map[string]AttemptEnded, label string) (attempt AttemptEnded, ok bool) {
	if len(attempts) == 0 {
		return attempt, false
	}
	return attempts[rapid.SampledFrom(slices.Sorted(maps.Keys(attempts))).Draw(d.t, label)], true
}

// step advances the time by up to 300 ms and passes a random event to the twins.
func (d *twinDriver) step() {
	d.now += time.Duration(rapid.IntRange(0, 300).Draw(d.t, "ms")) * time.Millisecond
	d.fireTimers()
	switch rapid.IntRange(0, 9).Draw(d.t, "step") {
	case 0, 1, 2:
		d.sendRequest()
	case 3, 4:
		d.establishOrEndAttempt()
	case 5:
		if ended, ok := d.drawAttempt(d.established, "connection"); ok {
			delete(d.established, ended.ID)
			ended.Status = rapid.SampledFrom([]Status{OK, Reset, Reset, Canceled}).Draw(d.t, "end")
			d.handle(ended)
		}
	case 6:
		if connection, ok := d.drawAttempt(d.established, "connection"); ok {
			d.reportLoadOrLatency(connection)
		}
	case 7, 8:
		d.updateEndpoints()
	case 9:
		if rapid.IntRange(0, 3).Draw(d.t, "other settings") > 0 {
			d.handle(ClientDisconnected{ID: fmt.Sprint("r", rapid.IntRange(0, d.lastID).Draw(d.t, "client"))})
			return
		}
		d.reconfigure()
	}
}

func (d *twinDriver) fireTimers() {
	for {
		due := slices.IndexFunc(d.timers, func(timer pendingTimer) bool { return timer.at <= d.now })
		if due < 0 {
			return
		}
		token := d.timers[due].token
		d.timers = slices.Delete(d.timers, due, due+1)
		d.handle(Timer{Token: token})
	}
}

func (d *twinDriver) sendRequest() {
	t := d.t
	d.lastID++
	d.handle(Request{
		ID:          fmt.Sprint("r", d.lastID),
		Class:       rapid.SampledFrom([]string{"feed", "notes", "none"}).Draw(t, "class"),
		Key:         fmt.Sprint("k", rapid.IntRange(0, 30).Draw(t, "key")),
		Group:       rapid.SampledFrom([]string{"", "g1", "g2"}).Draw(t, "group"),
		Deadline:    d.now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait"))*time.Millisecond,
		Resumed:     rapid.IntRange(0, 9).Draw(t, "resumed") == 0,
		ClientRetry: rapid.IntRange(0, 5).Draw(t, "retry") == 0,
		Returning:   rapid.IntRange(0, 5).Draw(t, "returning") == 0,
		MaxAttempts: rapid.IntRange(0, 3).Draw(t, "attempts"),
	})
}

func (d *twinDriver) establishOrEndAttempt() {
	ended, ok := d.drawAttempt(d.pending, "attempt")
	if !ok {
		return
	}
	delete(d.pending, ended.ID)
	const established = NotSent + 1 // not a Status: the attempt establishes its connection
	ended.Status = rapid.SampledFrom([]Status{
		OK, AppError, RejectedByEndpoint, Timeout, ConnectFailed, ConnectFailed, Reset, Reset, Canceled, NotSent, established, established, established,
	}).Draw(d.t, "status")
	if ended.Status == established {
		d.established[ended.ID] = ended
		d.handle(Established{ID: ended.ID, Endpoint: ended.Endpoint, Attempt: ended.Attempt, Latency: time.Millisecond})
		return
	}
	d.handle(ended)
}

// reportLoadOrLatency passes a report about an established connection, or about its endpoint, to the twins.
func (d *twinDriver) reportLoadOrLatency(connection AttemptEnded) {
	t := d.t
	id, endpoint, attempt := connection.ID, connection.Endpoint, connection.Attempt
	switch rapid.IntRange(0, 2).Draw(t, "report") {
	case 0:
		d.handle(HealthCheckResult{Endpoint: endpoint, Load: LoadReport{
			UtilizationMetric: rapid.Float64Range(0, 3).Draw(t, "load"),
			ConnectionsMetric: float64(rapid.IntRange(0, 9).Draw(t, "connections")),
		}})
	case 1:
		load := rapid.Float64Range(0, 3).Draw(t, "load")
		d.handle(LoadChanged{ID: id, Endpoint: endpoint, Attempt: attempt, Load: load})
	case 2:
		latency := time.Duration(rapid.IntRange(0, 1500).Draw(t, "latency")) * time.Millisecond
		d.handle(LatencyChanged{ID: id, Endpoint: endpoint, Attempt: attempt, Latency: latency})
	}
}

func (d *twinDriver) updateEndpoints() {
	t := d.t
	all := []string{"s1", "s2", "s3", "s4", "s5"}
	update := EndpointUpdate{Kind: ListKind(rapid.IntRange(int(DeltaList), int(ListFailed)).Draw(t, "list"))}
	for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, len(all), rapid.ID[string]).Draw(t, "endpoints") {
		update.Entries = append(update.Entries, Endpoint{
			ID:        id,
			Phase:     rapid.SampledFrom([]Phase{Ready, Ready, Ready, Draining, Removed}).Draw(t, "phase"),
			Zone:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Size:      rapid.SampledFrom([]float64{0, 1, 2.5}).Draw(t, "size"),
			StartedAt: rapid.SampledFrom([]Instant{0, 0, d.now}).Draw(t, "started"),
		})
	}
	d.handle(update)
}

func (d *twinDriver) reconfigure() {
	t := d.t
	settings := d.settings
	settings.Classes = slices.Clone(d.settings.Classes)[:rapid.IntRange(1, 2).Draw(t, "classes")]
	settings.Classes[0].LatencyObjective = time.Duration(rapid.IntRange(100, 900).Draw(t, "objective")) * time.Millisecond
	settings.LoadReports = rapid.Bool().Draw(t, "reports")
	settings.Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "own zone")
	var first []Action
	for i, twin := range d.twins {
		actions, err := twin.Reconfigure(d.now, settings)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = actions
		} else if diff := cmp.Diff(first, actions); diff != "" {
			t.Fatalf("the twins return different actions for new settings:\n%s", diff)
		}
	}
	d.performActions(first)
}

func newTwinDriver(t *rapid.T) *twinDriver {
	settings := Settings{
		Nodes: 2, Zone: "a", Subscribe: true,
		PassThrough: rapid.Bool().Draw(t, "pass through"),
		LoadReports: rapid.Bool().Draw(t, "reports"),
		Classes: []Class{{
			Name: "feed", LatencyObjective: time.Second, Timeout: 3 * time.Second, MessageObjective: 200 * time.Millisecond,
			PriorityWeight: 5,
		}, {
			Name: "notes", LatencyObjective: 300 * time.Millisecond, Timeout: time.Second, PriorityWeight: 1,
			Idempotency: IdempotentByKey, DedupWindow: 2 * time.Second, DedupScope: ScopeZone,
		}},
		Tenants: []Tenant{{Name: "", PerSecond: 3, Share: 0.5, Connections: 4}},
		Limits: Limits{
			Attempts: 4, ConnectTimeout: 200 * time.Millisecond, MaxRetryAfter: time.Second, RetryAfter: true, Cancel: true,
		},
		Rules: Rules{
			AnswerSlack: 16 * time.Millisecond, DiscoveryInterval: time.Second, WarmUp: 9 * time.Second, InitialCapacity: 0.3,
			DrainGrace: 3 * time.Second, OverloadWindow: time.Second, OverloadFactor: 3,
		},
	}
	b, err := New(settings, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	return &twinDriver{
		t:           t,
		now:         1000 * time.Second,
		twins:       []*Balancer{b},
		pending:     map[string]AttemptEnded{},
		attempts:    map[string]int{},
		established: map[string]AttemptEnded{},
		settings:    settings,
	}
}

// TestRestoredBalancerActsLikeOriginal checks, after random events, that a Balancer restored from an encoded snapshot returns
// the same actions as the original for further events, and that both end in the same state.
func TestRestoredBalancerActsLikeOriginal(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		d := newTwinDriver(rt)
		for range rapid.IntRange(0, 150).Draw(rt, "before") {
			d.step()
		}
		text, err := json.Marshal(d.twins[0].Snapshot())
		if err != nil {
			rt.Fatal(err)
		}
		var snapshot Snapshot
		if err := json.Unmarshal(text, &snapshot); err != nil {
			rt.Fatal(err)
		}
		twin, err := Restore(snapshot)
		if err != nil {
			rt.Fatal(err)
		}
		d.twins = append(d.twins, twin)
		for range rapid.IntRange(0, 60).Draw(rt, "after") {
			d.step()
		}
		if diff := cmp.Diff(d.twins[0].Snapshot(), twin.Snapshot(), cmpopts.EquateEmpty()); diff != "" {
			rt.Fatalf("the twins have different states (-original +restored):\n%s", diff)
		}
	})
}

// TestRestoreRejectsInvalid checks that Restore returns a specific error for each kind of invalid content, and that a snapshot
// with one changed digit never results in a Balancer that panics.
func TestRestoreRejectsInvalid(t *testing.T) {
	testkit.Property(t, func(rt *rapid.T) {
		d := newTwinDriver(rt)
		for range 40 {
			d.step()
		}
		text, err := json.Marshal(d.twins[0].Snapshot())
		if err != nil {
			rt.Fatal(err)
		}
		// Replace one digit of the encoded snapshot.
		digits := []int{}
		for i, r := range string(text) {
			if strings.ContainsRune("0123456789", r) {
				digits = append(digits, i)
			}
		}
		at := rapid.SampledFrom(digits).Draw(rt, "position")
		text[at] = byte(rapid.SampledFrom([]rune("0123456789-")).Draw(rt, "digit"))
		var snapshot Snapshot
		if json.Unmarshal(text, &snapshot) != nil {
			return
		}
		b, err := Restore(snapshot)
		if err != nil {
			return
		}
		d.twins = []*Balancer{b} // the changed snapshot is valid, so the Balancer must not panic
		d.now = max(d.now, snapshot.Now)
		for range 30 {
			d.step()
		}
	})
	for want, invalidate := range map[string]func(*Snapshot){
		"version 9":                     func(snapshot *Snapshot) { snapshot.Version = 9 },
		"random generator":              func(snapshot *Snapshot) { snapshot.RandomState = snapshot.RandomState[:3] },
		"names a class":                 func(snapshot *Snapshot) { snapshot.ClassIndex["light"] = 7 },
		"no classes":                    func(snapshot *Snapshot) { snapshot.Settings.Classes = nil },
		"refers to endpoint 5":          func(snapshot *Snapshot) { snapshot.ClientEndpoints[0] = map[uint64]int{1: 5} },
		"a slot of the snapshot's":      func(snapshot *Snapshot) { snapshot.Table.Owners = []int{-1} },
		`lists endpoint "s9", which it`: func(snapshot *Snapshot) { snapshot.EndpointIndex["s9"] = -1 },
		`no table of zone "x"`:          func(snapshot *Snapshot) { snapshot.LocalTable, snapshot.LocalZone = nil, "x" },
	} {
		b, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		snapshot := b.Snapshot()
		invalidate(&snapshot)
		if _, err := Restore(snapshot); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that contains %q, got %v", want, err)
		}
	}
}

// TestRestoreKeepsTrial checks that a restore during the half-open trial of an ejected endpoint does not allow a second trial.
func TestRestoreKeepsTrial(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(1), 1)
	sentCount := func(b *Balancer, id int, now Instant) int {
		return len(actionsOf[Send](b.Handle(now, testRequest(id, now))))
	}
	if sentCount(b, 1, 2*sec) != 1 {
		t.Fatal("the first request was not sent")
	}
	b.Handle(2*sec, AttemptEnded{ID: "r1", Endpoint: endpointID(0), Status: ConnectFailed})
	if sentCount(b, 2, 20*sec) != 1 {
		t.Fatal("no trial request was sent after the ejection")
	}
	twin, err := Restore(b.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "requests sent during the trial by the original and the restored Balancer", []int{0, 0}, []int{sentCount(b, 3, 20*sec), sentCount(twin, 3, 20*sec)})
}
