package balancer

import (
	"testing"
	"time"
)

// Connections are migrated off a draining endpoint before it stops. Migration begins with the next epoch, when the slot
// table assigns their keys to other endpoints, and is spread over DrainGrace in equal parts; each connection is
// migrated once. None leaves an endpoint that is ready again. While the admission rate is below 1, migration begins up
// to DrainGrace later, because the clients would be rejected elsewhere.
func TestDrainMigratesConnections(t *testing.T) {
	const count = 40
	settings := testSettings()
	grace, step := settings.Rules.DrainGrace, settings.Rules.DrainGrace/drainSteps
	for _, c := range []struct {
		name          string
		readyAgain    bool
		admissionRate float64
		migrations    int
		first, last   time.Duration // after the update at 3 s
	}{
		{"drains", false, 1, count, sec, sec + 9*step},
		{"ready again", true, 1, 0, 0, 0},
		{"low admission rate", false, 0.5, count, grace, grace + 9*step},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBalancer(t, settings, testEndpoints(3), 1)
			now := 3 * sec
			for i := range count {
				b.Handle(now, Adopted{Request: testRequest(i, now), Endpoint: endpointID(0)})
			}
			b.admissionRate, b.admissionUpdatedAt = c.admissionRate, 1000*sec // prevents updates of the rate
			if c.admissionRate < 1 {
				now += sec - grace/2 // so that waiting starts at the end of an epoch
			}
			announcedAt := now
			drain := testEndpoints(3)[:1]
			drain[0].Phase = Draining
			timers := actionsOf[SetTimer](b.Handle(now, EndpointUpdate{Kind: DeltaList, Entries: drain}))
			if c.readyAgain {
				b.Handle(now, EndpointUpdate{Kind: DeltaList, Entries: testEndpoints(3)[:1]})
			}
			migrated, migratedAt := map[string]bool{}, []time.Duration(nil)
			for len(timers) > 0 {
				now += timers[0].Delay
				actions := b.Handle(now, Timer{Token: timers[0].Token})
				migrations := actionsOf[Migrate](actions)
				if len(migrations) > count/drainSteps {
					t.Errorf("%d migrations in one step", len(migrations))
				}
				for _, migration := range migrations {
					if migrated[migration.ID] {
						t.Errorf("%s migrated twice", migration.ID)
					}
					migrated[migration.ID] = true
					migratedAt = append(migratedAt, now-announcedAt)
				}
				timers = actionsOf[SetTimer](actions)
			}
			if len(migrated) != c.migrations {
				t.Fatalf("%d migrated, want %d", len(migrated), c.migrations)
			}
			if c.migrations > 0 && (migratedAt[0] != c.first || migratedAt[count-1] != c.last) {
				t.Errorf("migrated from %v to %v, want %v to %v", migratedAt[0], migratedAt[count-1], c.first, c.last)
			}
		})
	}
}

// An endpoint that starts to drain during an attempt gets neither new requests nor the retry of that attempt.
func TestDrainDuringAttempt(t *testing.T) {
	settings := testSettings()
	b := startBalancer(t, settings, testEndpoints(4), 1)
	req := testRequest(1, 2*sec)
	endpoint := sentTo(b.Handle(2*sec, req))
	b.Handle(2100*ms, EndpointUpdate{Entries: []Endpoint{{ID: endpoint, Phase: Draining}}})
	for i := range 300 {
		if got := sentTo(b.Handle(2101*ms, testRequest(100+i, 2101*ms))); got == endpoint {
			t.Fatal("a new request was sent to a draining endpoint")
		}
	}
	actions := b.Handle(2400*ms, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: RejectedByEndpoint})
	if got := sentTo(actions); got == "" || got == endpoint {
		t.Errorf("retry went to %q", got)
	}
}
